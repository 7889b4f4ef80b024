/** Limits the rate of messages, with a small burst after a quiet time. */

/** Decides when the next message may be sent. */
export interface MessagePacer {
    /** Time from which one more message may be sent. */
    getFreeAtMs(nowMs: number): number;
    recordMessage(nowMs: number): void;
}

const secondMs = 1_000;

/** Creates a pacer that has sent no message. */
export function createMessagePacer(messagesPerSecond: number, maxBurst: number): MessagePacer {
    const spacingMs = secondMs / messagesPerSecond;
    // Time at which all sent messages would have been spread evenly.
    let spreadUntilMs = -Infinity;
    return {
        getFreeAtMs: nowMs => Math.max(nowMs, spreadUntilMs - (maxBurst - 1) * spacingMs),
        recordMessage(nowMs) {
            spreadUntilMs = Math.max(nowMs, spreadUntilMs) + spacingMs;
        },
    };
}

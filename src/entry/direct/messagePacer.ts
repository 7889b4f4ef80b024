/** Limits the rate of messages, with a small burst after a quiet time. */

/** Decides when the next message may be sent. */
export interface MessagePacer {
    /** Time from which one more message may be sent. */
    getFreeAtMs(nowMs: number): number;
    recordMessage(nowMs: number): void;
}

const secondMs = 1_000;

/** Creates a pacer that has sent no message. The rate may change from message to message. */
export function createMessagePacer(getMessagesPerSecond: () => number, maxBurst: number): MessagePacer {
    const getSpacingMs = () => secondMs / getMessagesPerSecond();
    // Time at which all sent messages would have been spread evenly.
    let spreadUntilMs = -Infinity;
    return {
        getFreeAtMs: nowMs => Math.max(nowMs, spreadUntilMs - (maxBurst - 1) * getSpacingMs()),
        recordMessage(nowMs) {
            spreadUntilMs = Math.max(nowMs, spreadUntilMs) + getSpacingMs();
        },
    };
}

/** Rates of messages between which the utilization of the process decides. */
export interface MessageRates {
    /** Rate while the process has time left. */
    readonly mostPerSecond: number;
    /** Rate while it has none. */
    readonly leastPerSecond: number;
    /** Utilization up to which the process sends at its full rate, from 0 to 1. */
    readonly relaxedUtilization: number;
    /** Utilization from which it sends at its lowest rate. */
    readonly fullUtilization: number;
}

/** Returns the rate of messages for a utilization from 0 to 1, falling evenly between the two limits. */
export function getMessageRate(rates: MessageRates, utilization: number): number {
    const { mostPerSecond, leastPerSecond, relaxedUtilization, fullUtilization } = rates;
    const share = (utilization - relaxedUtilization) / (fullUtilization - relaxedUtilization);
    return mostPerSecond - (mostPerSecond - leastPerSecond) * Math.min(1, Math.max(0, share));
}

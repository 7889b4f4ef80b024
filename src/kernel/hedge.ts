/** Hedged calls (Dean and Barroso, "The Tail at Scale", 2013): if the first call is slow, a second one is sent on another path. */
import type { Timers } from "./host.js";
import { afterArrivals } from "./tasks.js";

/** The first reply, and the call that received it. `winner` is undefined if neither call received one. */
export interface HedgedReply<T> {
    readonly reply: T | undefined;
    readonly winner: "first" | "second" | undefined;
}

/**
 * Waits for the first call, starts a second one if there is no reply within `delayMs`, and returns the first reply. A failed call
 * resolves to undefined. The second call is not started if the first one fails earlier.
 */
export async function hedge<T>(
    timers: Timers,
    first: Promise<T | undefined>,
    startSecond: () => Promise<T | undefined>,
    delayMs: number,
): Promise<HedgedReply<T>> {
    const earlyReply = await Promise.race([first.then(reply => ({ reply })), waitForDelay()]);
    if (earlyReply !== undefined) return { reply: earlyReply.reply, winner: earlyReply.reply === undefined ? undefined : "first" };
    const second = startSecond();
    return new Promise(resolve => {
        let pendingCalls = 2;
        const createReplyHandler = (winner: "first" | "second") => (reply: T | undefined) => {
            pendingCalls--;
            if (reply !== undefined) resolve({ reply, winner });
            else if (pendingCalls === 0) resolve({ reply, winner: undefined });
        };
        void first.then(createReplyHandler("first"));
        void second.then(createReplyHandler("second"));
    });

    // A reply that has arrived is not slow, even if this process was too busy to read it.
    function waitForDelay(): Promise<undefined> {
        return new Promise(resolve => void afterArrivals(timers, delayMs, () => resolve(undefined)));
    }
}

/** Hedged calls (Dean and Barroso, "The Tail at Scale", 2013): a second way is tried when the first one is slow to answer. */
import type { Timers } from "./host.js";
import { sleep } from "./tasks.js";

/** The first answer, and which way brought it. Without an answer neither way has won. */
export interface HedgedReply<T> {
    readonly reply: T | undefined;
    readonly winner: "first" | "second" | undefined;
}

/** Waits for the first call, and makes the second one too after a time. A call that fails resolves undefined. */
export async function hedge<T>(
    timers: Timers,
    first: Promise<T | undefined>,
    startSecond: () => Promise<T | undefined>,
    delayMs: number,
): Promise<HedgedReply<T>> {
    const earlyReply = await Promise.race([first.then(reply => ({ reply })), sleep(timers, delayMs)]);
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
}

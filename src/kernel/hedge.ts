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
    afterMs: number,
): Promise<HedgedReply<T>> {
    const early = await Promise.race([first.then(reply => ({ reply })), sleep(timers, afterMs)]);
    if (early !== undefined) return { reply: early.reply, winner: early.reply === undefined ? undefined : "first" };
    const second = startSecond();
    return new Promise(resolve => {
        let left = 2;
        const take = (winner: "first" | "second") => (reply: T | undefined) => {
            left--;
            if (reply !== undefined) resolve({ reply, winner });
            else if (left === 0) resolve({ reply, winner: undefined });
        };
        void first.then(take("first"));
        void second.then(take("second"));
    });
}

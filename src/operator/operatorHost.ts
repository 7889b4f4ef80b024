/** Clock and delay of `lovagectl`. No other module of the command line reads the time or sets a timer. */
import { setTimeout as sleep } from "node:timers/promises";

/** Returns the milliseconds since the Unix epoch. */
export function getWallMs(): number {
    return Date.now();
}

/** Repeats the check until it returns true. Returns false if it has not done so within the timeout. */
export async function pollUntil(check: () => Promise<boolean>, timeoutMs: number, intervalMs: number): Promise<boolean> {
    for (let waitedMs = 0; waitedMs <= timeoutMs; waitedMs += intervalMs) {
        if (await check()) return true;
        await delay(intervalMs);
    }
    return false;
}

/** Waits the given time, in milliseconds. The promise resolves without a value when the time has passed. */
function delay(delayMs: number): Promise<void> {
    return sleep(delayMs);
}

/** Clock and delay of `lovagectl`. No other module of the command line reads the time or sets a timer. */
import { setTimeout as sleep } from "node:timers/promises";

/** Returns the milliseconds since the Unix epoch. */
export function getWallMs(): number {
    return Date.now();
}

/** Waits the given time, in milliseconds. The promise resolves without a value when the time has passed. */
export function delay(delayMs: number): Promise<void> {
    return sleep(delayMs);
}

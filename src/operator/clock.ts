/** The operator's own clock: the one place where `lovagectl` reads the time and waits. */
import { setTimeout as sleep } from "node:timers/promises";

/** Wall clock time since the epoch, in milliseconds. */
export function getWallMs(): number {
    return Date.now();
}

/** Waits for a while. */
export function pause(delayMs: number): Promise<void> {
    return sleep(delayMs);
}

/**
 * The leader's control time. It is independent of wall clocks: a new leader continues from the time of the last entry in
 * its log and advances by its own monotonic clock. Control time may fall behind during an election, but never jumps ahead.
 */
import type { Clock } from "../../kernel/host.js";

/** Control time while this voter is the leader. */
export interface ControlClock {
    /** Restarts the clock at the control time of the last entry, when this voter becomes leader. */
    startFrom(lastEntryTimeMs: number): void;
    nowMs(): number;
}

/** Creates the clock. Its time has no meaning before the first call of `startFrom`. */
export function createControlClock(clock: Clock): ControlClock {
    let startControlTimeMs = 0;
    let startClockMs = 0;
    return {
        startFrom(lastEntryTimeMs) {
            startControlTimeMs = lastEntryTimeMs;
            startClockMs = clock.nowMs();
        },
        nowMs: () => startControlTimeMs + (clock.nowMs() - startClockMs),
    };
}

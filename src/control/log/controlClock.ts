/**
 * The leader's control time. It is counted, not read: a new leader goes on from the last stamp in its
 * log by its own monotonic clock, so that the time may lag over an election but never jumps ahead.
 */
import type { Clock } from "../../kernel/host.js";

/** Control time while this voter leads. */
export interface ControlClock {
    startFrom(lastStampMs: number): void;
    nowMs(): number;
}

/** Creates a clock that stands at zero until a leadership starts. */
export function createControlClock(clock: Clock): ControlClock {
    let baseMs = 0;
    let startedAtMs = 0;
    return {
        startFrom(lastStampMs) {
            baseMs = lastStampMs;
            startedAtMs = clock.nowMs();
        },
        nowMs: () => baseMs + (clock.nowMs() - startedAtMs),
    };
}

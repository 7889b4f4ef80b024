/**
 * An upper bound of control's time, kept by each node from the times that control's answers carry.
 *
 * A node asks at local time t0 and learns that control's time was T at some moment after t0. Control's
 * time advances no faster than real time, also over a change of leader, so that at local time t it is at
 * most T + (t - t0), widened by the drift that two clocks may have against each other.
 */
import type { Clock } from "./host.js";

/** Relative error that two monotonic clocks may have against each other. */
export const maxClockDrift = 0.001;

/** Upper bound of control's time. */
export interface ControlTimeBound {
    /** Takes in a time that control gave in answer to a question asked at `askedAtMs`. */
    observe(controlTimeMs: number, requestSentAtMs: number): void;
    /** Control's time is at most this. Infinite while nothing is known. */
    getUpperBoundMs(): number;
    /** True when a lease with this expiry may still be used. */
    isCertainlyBefore(expiresAtMs: number): boolean;
}

/** Creates a bound that knows nothing yet. */
export function createControlTimeBound(clock: Clock): ControlTimeBound {
    let controlTimeMs = Infinity;
    let requestSentAtMs = 0;
    const getUpperBoundMs = () => controlTimeMs + (clock.nowMs() - requestSentAtMs) * (1 + maxClockDrift);
    return {
        observe(newControlTimeMs, newRequestSentAtMs) {
            // Every answer gives a valid bound, so the lowest of them is one too.
            const candidateMs = newControlTimeMs + (clock.nowMs() - newRequestSentAtMs) * (1 + maxClockDrift);
            if (candidateMs >= getUpperBoundMs()) return;
            controlTimeMs = newControlTimeMs;
            requestSentAtMs = newRequestSentAtMs;
        },
        getUpperBoundMs,
        isCertainlyBefore: expiresAtMs => getUpperBoundMs() < expiresAtMs,
    };
}

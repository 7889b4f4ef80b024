/**
 * An upper bound of control's time, which each process derives from the timestamps in control's replies.
 *
 * A process sends a request at local time t0 and learns that control's time was T at some moment after t0.
 * Control's time advances no faster than real time, even across a change of leader. At local time t it is
 * therefore at most T + (t - t0), plus an allowance for the drift between the two clocks.
 */
import type { Clock } from "./host.js";

/** Maximum relative drift between two monotonic clocks. */
export const maxClockDrift = 0.001;

/** Upper bound of control's time. */
export interface ControlTimeBound {
    /** Records the time from control's reply to a request that was sent at the local time `requestSentAtMs`. */
    observe(controlTimeMs: number, requestSentAtMs: number): void;
    /** Returns the upper bound. Infinite until the first reply. */
    getUpperBoundMs(): number;
    /** True if control's time has certainly not reached the given expiry, so that the lease may still be used. */
    isCertainlyBefore(expiresAtMs: number): boolean;
}

/** Creates a bound without any observation. */
export function createControlTimeBound(clock: Clock): ControlTimeBound {
    let controlTimeMs = Infinity;
    let requestSentAtMs = 0;
    const getUpperBoundMs = () => controlTimeMs + (clock.nowMs() - requestSentAtMs) * (1 + maxClockDrift);
    return {
        observe(newControlTimeMs, newRequestSentAtMs) {
            // Every reply gives a valid bound, so the lowest one is valid too.
            const candidateMs = newControlTimeMs + (clock.nowMs() - newRequestSentAtMs) * (1 + maxClockDrift);
            if (candidateMs >= getUpperBoundMs()) return;
            controlTimeMs = newControlTimeMs;
            requestSentAtMs = newRequestSentAtMs;
        },
        getUpperBoundMs,
        isCertainlyBefore: expiresAtMs => getUpperBoundMs() < expiresAtMs,
    };
}

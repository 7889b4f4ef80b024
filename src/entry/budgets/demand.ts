/** Demand for one budget at one entry: tokens a second as an exponentially weighted mean, and request sizes. */

/** Measures demand. */
export interface DemandMeter {
    /** A request asked for a reservation of this size. */
    noteRequest(reservedTokens: number, nowMs: number): void;
    /** A request was billed. */
    noteUse(billedTokens: number, nowMs: number): void;
    /** Unreserved tokens that are good to hold for a time without control. */
    getTargetTokens(horizonMs: number, nowMs: number): number;
    /** Unreserved tokens below which the next requests may have to wait. */
    getUrgentTokens(nowMs: number): number;
}

const rateHalfLifeMs = 60_000;
const sizeHalfLifeMs = 60_000;
/** A rate that was measured for less than this is not extrapolated further. */
const minMeasuredMs = 10_000;
const requestsAhead = 6;
const urgentHorizonMs = 3_000;

/** Creates a meter that has seen nothing. */
export function createDemandMeter(): DemandMeter {
    let weightedTokens = 0;
    let largestTokens = 0;
    let startedAtMs: number | undefined;
    let updatedAtMs = 0;

    return {
        noteRequest(reservedTokens, nowMs) {
            decay(nowMs);
            largestTokens = Math.max(largestTokens, reservedTokens);
        },
        noteUse(billedTokens, nowMs) {
            decay(nowMs);
            weightedTokens += billedTokens;
        },
        getTargetTokens(horizonMs, nowMs) {
            decay(nowMs);
            return Math.ceil(getRatePerMs(nowMs) * horizonMs + requestsAhead * largestTokens);
        },
        getUrgentTokens(nowMs) {
            decay(nowMs);
            return Math.ceil(getRatePerMs(nowMs) * urgentHorizonMs + largestTokens);
        },
    };

    function decay(nowMs: number): void {
        startedAtMs ??= nowMs;
        const elapsedMs = nowMs - updatedAtMs;
        updatedAtMs = nowMs;
        weightedTokens *= 2 ** (-elapsedMs / rateHalfLifeMs);
        largestTokens *= 2 ** (-elapsedMs / sizeHalfLifeMs);
    }

    // The weights of the time measured so far sum to less than those of an endless one, which is made good.
    function getRatePerMs(nowMs: number): number {
        const measuredMs = Math.max(minMeasuredMs, nowMs - (startedAtMs ?? nowMs));
        const weightMs = rateHalfLifeMs / Math.LN2 * (1 - 2 ** (-measuredMs / rateHalfLifeMs));
        return weightedTokens / weightMs;
    }
}

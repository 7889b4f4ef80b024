/** Demand for one budget at one entry: tokens a second as an exponentially weighted mean, and request sizes. */

/** Measures demand. */
export interface DemandMeter {
    /** A request asked for a reservation of this size. */
    noteRequest(reservedTokens: number, nowMs: number): void;
    /** A request was billed. */
    noteUse(billedTokens: number, nowMs: number): void;
    /** Unreserved tokens that are good to hold. */
    getTargetTokens(horizonMs: number, nowMs: number): number;
}

const halfLifeMs = 10_000;
const requestsAhead = 2;

/** Creates a meter that has seen nothing. */
export function createDemandMeter(): DemandMeter {
    let ratePerMs = 0;
    let largestTokens = 0;
    let updatedAtMs: number | undefined;

    return {
        noteRequest(reservedTokens, nowMs) {
            decay(nowMs);
            largestTokens = Math.max(largestTokens, reservedTokens);
        },
        noteUse(billedTokens, nowMs) {
            decay(nowMs);
            ratePerMs += billedTokens * Math.LN2 / halfLifeMs;
        },
        getTargetTokens(horizonMs, nowMs) {
            decay(nowMs);
            return Math.ceil(ratePerMs * horizonMs + requestsAhead * largestTokens);
        },
    };

    function decay(nowMs: number): void {
        const elapsedMs = nowMs - (updatedAtMs ?? nowMs);
        updatedAtMs = nowMs;
        if (elapsedMs <= 0) return;
        const factor = 2 ** (-elapsedMs / halfLifeMs);
        ratePerMs *= factor;
        largestTokens *= factor;
    }
}

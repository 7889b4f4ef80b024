/** Demand for one budget at one entry: tokens a second as an exponentially weighted mean, and request sizes. */

/** Measures demand. */
export interface DemandMeter {
    /** A request asked for a reservation of this size. */
    recordRequest(reservedTokens: number, nowMs: number): void;
    /** A request was billed. */
    recordBilling(billedTokens: number, nowMs: number): void;
    /** Unreserved tokens that are good to hold for a time without control. */
    getTargetTokens(horizonMs: number, nowMs: number): number;
    /** Unreserved tokens below which the next requests may have to wait. */
    getUrgentTokens(nowMs: number): number;
}

/** How a meter weighs what it has seen. */
export interface DemandRules {
    readonly halfLifeMs: number;
    /** A rate that was measured for less than this is not extrapolated further. */
    readonly minMeasuredMs: number;
    /** Requests of the largest size that are good to hold tokens for. */
    readonly requestsAhead: number;
    readonly urgentHorizonMs: number;
}

/** Rules for an entry that seldom talks to control. */
export const defaultDemandRules: DemandRules = { halfLifeMs: 60_000, minMeasuredMs: 10_000, requestsAhead: 6, urgentHorizonMs: 3_000 };

/** Creates a meter that has seen nothing. */
export function createDemandMeter(rules: DemandRules = defaultDemandRules): DemandMeter {
    const { halfLifeMs, minMeasuredMs, requestsAhead, urgentHorizonMs } = rules;
    let weightedTokens = 0;
    let largestTokens = 0;
    let startedAtMs: number | undefined;
    let updatedAtMs = 0;

    return {
        recordRequest(reservedTokens, nowMs) {
            decay(nowMs);
            largestTokens = Math.max(largestTokens, reservedTokens);
        },
        recordBilling(billedTokens, nowMs) {
            decay(nowMs);
            weightedTokens += billedTokens;
        },
        getTargetTokens(horizonMs, nowMs) {
            decay(nowMs);
            return Math.ceil(getRatePerMs(nowMs) * horizonMs + requestsAhead * largestTokens);
        },
        getUrgentTokens(nowMs) {
            decay(nowMs);
            return Math.ceil(getRatePerMs(nowMs) * urgentHorizonMs + Math.min(1, requestsAhead) * largestTokens);
        },
    };

    function decay(nowMs: number): void {
        startedAtMs ??= nowMs;
        const elapsedMs = nowMs - updatedAtMs;
        updatedAtMs = nowMs;
        weightedTokens *= 2 ** (-elapsedMs / halfLifeMs);
        largestTokens *= 2 ** (-elapsedMs / halfLifeMs);
    }

    // The weights of the time measured so far sum to less than those of an endless one, which is made good.
    function getRatePerMs(nowMs: number): number {
        const measuredMs = Math.max(minMeasuredMs, nowMs - (startedAtMs ?? nowMs));
        const weightMs = halfLifeMs / Math.LN2 * (1 - 2 ** (-measuredMs / halfLifeMs));
        return weightedTokens / weightMs;
    }
}

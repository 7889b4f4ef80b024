/** Measures the demand for one budget at one entry: an exponentially weighted mean token rate, and the largest request size. */

/** Demand meter of one budget. */
export interface DemandMeter {
    /** Records that a request asked for a reservation of this size. */
    recordRequest(reservedTokens: number, nowMs: number): void;
    /** Records that a request was billed. */
    recordBilling(billedTokens: number, nowMs: number): void;
    /** Unreserved tokens to hold so that the entry can serve for `horizonMs` without contacting control. */
    getTargetTokens(horizonMs: number, nowMs: number): number;
    /** Level of unreserved tokens below which the next requests may have to wait. */
    getUrgentTokens(nowMs: number): number;
}

/** Parameters of a demand meter. */
export interface DemandRules {
    readonly halfLifeMs: number;
    /** Minimum time over which the rate is averaged, so that a short first burst is not extrapolated. */
    readonly minMeasuredMs: number;
    /** Number of requests of the largest recent size for which tokens are held. */
    readonly requestsAhead: number;
    readonly urgentHorizonMs: number;
}

/** Default for an entry that contacts control infrequently. */
export const defaultDemandRules: DemandRules = { halfLifeMs: 60_000, minMeasuredMs: 10_000, requestsAhead: 6, urgentHorizonMs: 3_000 };

/** Creates a meter without observations. */
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

    // Divides by the sum of the decay weights over the measured time, which corrects the bias of a short measurement.
    function getRatePerMs(nowMs: number): number {
        const measuredMs = Math.max(minMeasuredMs, nowMs - (startedAtMs ?? nowMs));
        const weightMs = halfLifeMs / Math.LN2 * (1 - 2 ** (-measuredMs / halfLifeMs));
        return weightedTokens / weightMs;
    }
}

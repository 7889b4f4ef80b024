/**
 * Usage ceiling of one lease at an entry: the most that the entry may have delivered under it. The entry delivers only up to the highest
 * ceiling that control acknowledged, and control counts at least that as spent when the entry is lost. What is lost with the entry is then
 * bounded by the distance between its use and its ceiling instead of by its reservations.
 */
import { createDemandMeter } from "./demand.js";
import type { DemandMeter } from "./demand.js";

/** Rules for the ceilings that an entry proposes. */
export interface CeilingRules {
    /** Time of use at the measured rate that a proposal covers. */
    readonly aheadMs: number;
    /** A higher ceiling is requested when less than this time of use is left. */
    readonly lowMs: number;
    /** Time of use that a proposal covers even where the budget runs low. */
    readonly minAheadMs: number;
    /** Tokens that a proposal covers for each running request, whose use may not have been measured yet. */
    readonly tokensPerRequest: number;
    /** Share of a budget's free tokens that the ceilings of all entries together may lie above their use, beyond `minAheadMs`. */
    readonly fleetAheadShare: number;
    /** Half-life of use in the measured rate. */
    readonly halfLifeMs: number;
    /** Minimum time over which the rate is averaged. It keeps the first ceilings of a lease below a fixed multiple of its use. */
    readonly minMeasuredMs: number;
}

/** What a proposal depends on, apart from the use. */
export interface CeilingDemand {
    readonly runningRequests: number;
    /** Free tokens of the budget, as control last reported them. */
    readonly freeTokens: number;
    readonly entryCount: number;
}

/** Usage ceiling of one lease. All counts are totals since the lease was opened. */
export interface UsageCeiling {
    /** Counts the tokens as used if they fit under the acknowledged ceiling. */
    tryUse(tokens: number): boolean;
    /** True if the tokens fit under the acknowledged ceiling. */
    canUse(tokens: number): boolean;
    /** Replaces the counted use of a request by its bill. */
    settle(usedTokens: number, billedTokens: number): void;
    /** Records the prompt of a request that asked for a reservation. */
    recordRequest(promptTokens: number, nowMs: number): void;
    /** Registers what a waiter needs under the ceiling, so that the next proposal covers it. */
    addWaiter(waiter: number, tokens: number): void;
    removeWaiter(waiter: number): void;
    hasWaiters(): boolean;
    /** True if a higher ceiling should be requested. `spendableTokens` are granted and not released: no ceiling is higher. */
    isLow(spendableTokens: number): boolean;
    /** Returns the ceiling to propose with a renewal, or undefined if the lease has none. */
    propose(demand: CeilingDemand, nowMs: number): number | undefined;
    /** Applies control's reply to a proposal. Undefined if control keeps no ceiling for the lease. */
    acknowledge(ceilingTokens: number | undefined): void;
    getUsedTokens(): number;
    /** Returns the acknowledged ceiling. Infinite for a lease without one. */
    getCeilingTokens(): number;
}

/** Creates the ceiling of a new lease. Without rules the lease has none, and any use fits. */
export function createUsageCeiling(rules: CeilingRules | undefined): UsageCeiling {
    const meter = rules === undefined ? undefined : createRateMeter(rules);
    const waiters = new Map<number, number>();
    let ceilingTokens = rules === undefined ? Infinity : 0;
    let usedTokens = 0;
    /** Highest use that the meter has recorded. */
    let measuredTokens = 0;
    /** Use from which on a higher ceiling is requested. */
    let lowMarkTokens = 0;
    let proposedAheadTokens = 0;
    let isAcknowledged = false;

    return {
        tryUse(tokens) {
            if (usedTokens + tokens > ceilingTokens) return false;
            usedTokens += tokens;
            return true;
        },
        canUse: tokens => usedTokens + tokens <= ceilingTokens,
        settle(used, billedTokens) {
            usedTokens += billedTokens - used;
        },
        recordRequest: (promptTokens, nowMs) => meter?.recordRequest(promptTokens, nowMs),
        addWaiter: (waiter, tokens) => void waiters.set(waiter, tokens),
        removeWaiter: waiter => void waiters.delete(waiter),
        hasWaiters: () => waiters.size > 0,
        isLow: spendableTokens => usedTokens > lowMarkTokens && ceilingTokens < spendableTokens,
        propose(demand, nowMs) {
            if (rules === undefined || meter === undefined || ceilingTokens === Infinity) return undefined;
            meter.recordBilling(Math.max(0, usedTokens - measuredTokens), nowMs);
            measuredTokens = Math.max(measuredTokens, usedTokens);
            proposedAheadTokens = getAheadTokens(rules, meter, { ...demand, waitingRequests: waiters.size }, nowMs);
            const waitingTokens = [...waiters.values()].reduce((sum, tokens) => sum + tokens, 0);
            return Math.max(ceilingTokens, usedTokens + waitingTokens + proposedAheadTokens);
        },
        acknowledge(acknowledgedTokens) {
            if (rules === undefined) return;
            // A control VM of an earlier version counts all tokens of the lease as spent when it recovers the lease.
            if (acknowledgedTokens === undefined && !isAcknowledged) ceilingTokens = Infinity;
            if (acknowledgedTokens === undefined) return;
            isAcknowledged = true;
            ceilingTokens = Math.max(ceilingTokens, acknowledgedTokens);
            lowMarkTokens = ceilingTokens - proposedAheadTokens * rules.lowMs / rules.aheadMs;
        },
        getUsedTokens: () => usedTokens,
        getCeilingTokens: () => ceilingTokens,
    };
}

function createRateMeter({ halfLifeMs, minMeasuredMs }: CeilingRules): DemandMeter {
    return createDemandMeter({ halfLifeMs, minMeasuredMs, requestsAhead: 1, urgentHorizonMs: 0 });
}

function getAheadTokens(
    rules: CeilingRules,
    meter: DemandMeter,
    demand: CeilingDemand & { readonly waitingRequests: number; },
    nowMs: number,
): number {
    const { aheadMs, minAheadMs, tokensPerRequest, fleetAheadShare } = rules;
    // With no horizon and one request ahead, the target is the largest recent prompt.
    const largestTokens = meter.getTargetTokens(0, nowMs);
    const ratePerMs = (meter.getTargetTokens(aheadMs, nowMs) - largestTokens) / aheadMs;
    const shareTokens = demand.freeTokens * fleetAheadShare / demand.entryCount;
    const requestTokens = tokensPerRequest * (demand.runningRequests + demand.waitingRequests);
    return Math.ceil(Math.max(ratePerMs * minAheadMs, Math.min(ratePerMs * aheadMs + largestTokens, shareTokens)) + requestTokens);
}

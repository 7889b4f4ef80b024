/**
 * Decides at a saturated entry which requests are refused, when the caller of one should come back, and how many waiting requests are
 * dispatched after a turn of the event loop. A refusal costs the caller a round trip, and most callers come back only once. So a request is
 * refused only if it would be late even if all estimates were too high by the allowance.
 */

/** What is known of a request when it is decided on. */
export interface ArrivalFacts {
    readonly deadlineMs: number;
    /** Expected time from the dispatch to the start of the answer. */
    readonly startMs: number;
    /** Expected time from the dispatch to the end of the answer. */
    readonly endMs: number;
    /** True if the request was refused before and has come back. */
    readonly isReturning: boolean;
}

/** What a request that arrives has to wait for. */
export interface ExpectedWait {
    readonly requestsAhead: number;
    readonly waitMs: number;
}

/** How the event loop has spent its time since the queue was last looked at. */
export interface TurnFacts {
    readonly isSaturated: boolean;
    /** Time for which the event loop had nothing to do. */
    readonly idleMs: number;
    /** Time since the last dispatch of a waiting request. */
    readonly sinceDispatchMs: number;
    /** Dispatches allowed after the turn before, if that one had time to spare. Zero otherwise. */
    readonly lastSpareDispatches: number;
}

/** Number of dispatches that are allowed now. */
export interface TurnDecision {
    readonly dispatches: number;
    /** The part of them that uses spare time. Passed to the next decision. */
    readonly spareDispatches: number;
}

/** Factor by which an estimated time may be too high. */
const timeAllowance = 2;
/** The same for the time between the first and the last event, because length hints are often far off. */
const lengthAllowance = 4;
/** Time that an attempt needs at least. */
const minAttemptMs = 20;
/** With fewer requests ahead, the expected wait is too inaccurate to refuse a request. */
const minAheadForEstimate = 8;
/** Idle time that shows that the event loop had no event to handle. A timer that waits for a turn idles for up to 1 ms. */
const spareIdleMs = 0.2;
/** After the first turn with time to spare, more than one request is dispatched at once, so that the idle time between them is small. */
const maxDispatchesPerTurn = 4;
/** A waiting request is dispatched after this time, even if the running ones leave no time, so that none waits for ever. */
const maxDispatchPauseMs = 100;
const maxRetryPart = 1 / 3;

/** Latest time at which a dispatch of the request can be of use to its caller. */
export function getLatestStartMs({ deadlineMs, startMs, endMs, isReturning }: ArrivalFacts): number {
    if (isReturning) return deadlineMs - minAttemptMs;
    const earliestEndMs = startMs / timeAllowance + (endMs - startMs) / lengthAllowance;
    return deadlineMs - Math.max(minAttemptMs, earliestEndMs);
}

/** True if a request that arrives now can be of use to its caller after it has waited. */
export function isWorthWaiting(latestStartMs: number, isReturning: boolean, expected: ExpectedWait, nowMs: number): boolean {
    const certainWaitMs = isReturning || expected.requestsAhead < minAheadForEstimate ? 0 : expected.waitMs / timeAllowance;
    return nowMs + certainWaitMs <= latestStartMs;
}

/**
 * Time after which the caller of a refused request should come back: when the queue will have drained, and early enough for a second attempt.
 * `randomUnit` is a random number in [0, 1), which spreads callers that were refused together.
 */
export function getRetryAfterMs(drainMs: number, leftMs: number, randomUnit: number): number {
    return Math.max(0, Math.min(drainMs, leftMs * maxRetryPart)) * (1 + randomUnit) / 2;
}

/** Decides how many waiting requests are dispatched after a turn. Running requests go first: their events were handled in the turn. */
export function decideTurn(facts: TurnFacts): TurnDecision {
    if (!facts.isSaturated) return { dispatches: maxDispatchesPerTurn, spareDispatches: 0 };
    const spareDispatches = facts.idleMs < spareIdleMs ? 0 : Math.min(maxDispatchesPerTurn, Math.max(1, facts.lastSpareDispatches * 2));
    const dueDispatches = facts.sinceDispatchMs >= maxDispatchPauseMs ? 1 : 0;
    return { dispatches: Math.max(spareDispatches, dueDispatches), spareDispatches };
}

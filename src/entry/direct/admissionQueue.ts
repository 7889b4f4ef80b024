/**
 * The order in which requests that wait at a saturated entry are dispatched. It holds no timers: the caller decides when a request is taken,
 * and passes the present time.
 */
import type { AccountShares } from "./accountShares.js";

/** A request that waits. Times are on the clock of the process. */
export interface WaitingRequest {
    /** 0 is the most urgent. */
    readonly rank: number;
    readonly account: string;
    readonly sizeBytes: number;
    /** Expected processor time of the entry for the request. */
    readonly costMs: number;
    readonly arrivedAtMs: number;
    /** Time by which the answer should start. */
    readonly objectiveAtMs: number;
    readonly deadlineMs: number;
    /** Expected time from the dispatch to the start of the answer. */
    readonly startMs: number;
    /** Expected time from the dispatch to the end of the answer. */
    readonly endMs: number;
    /** True if the request was refused before and has come back. */
    readonly isReturning: boolean;
}

/** Position of a request in the order. Lower values go first, the earlier fields decide. */
export interface Urgency {
    /** Configured rank, plus the excess shares of the account. */
    readonly rank: number;
    readonly stage: Stage;
    /** Latest time of a dispatch for the target of the stage. */
    readonly dueAtMs: number;
}

/** The best target that a request can still meet: 0 its latency objective, 1 its deadline, 2 none. */
export type Stage = 0 | 1 | 2;

/** Requests in their order. */
export interface AdmissionQueue<T extends WaitingRequest> {
    readonly waitingCount: number;
    readonly sizeBytes: number;
    add(request: T): void;
    /** Returns false if the request does not wait. */
    remove(request: T): boolean;
    list(): Iterable<T>;
    /** Removes and returns the request whose turn it is, and counts it as used by its account. */
    takeNext(nowMs: number): T | undefined;
    /** The request that would be dispatched last, or the largest one. A request that has come back is returned only if all have. */
    findLast(nowMs: number, by: "order" | "size"): T | undefined;
    /** Number of waiting requests that go before this one. */
    countAhead(request: T, nowMs: number): number;
}

/**
 * One turn in this many goes to the request that has waited for the largest part of its time, whatever its rank and account, so that none
 * starves. If requests gained rank as they wait, most would be dispatched shortly before their deadline and make more urgent ones late.
 */
const turnsPerLongestWait = 8;
const maxExcessAgeMs = 10;

/** Creates a queue that holds no requests. */
export function createAdmissionQueue<T extends WaitingRequest>(shares: AccountShares): AdmissionQueue<T> {
    const waiting = new Set<T>();
    const excessShares = new Map<string, number>();
    let excessReadAtMs = -Infinity;
    let sizeBytes = 0;
    let turns = 0;

    return {
        get waitingCount() {
            return waiting.size;
        },
        get sizeBytes() {
            return sizeBytes;
        },
        add(request) {
            waiting.add(request);
            sizeBytes += request.sizeBytes;
        },
        remove,
        list: () => waiting,
        takeNext(nowMs) {
            const next = findNext(nowMs);
            if (next === undefined) return undefined;
            turns++;
            remove(next);
            shares.recordUse(next.account, next.costMs, nowMs);
            excessShares.delete(next.account);
            return next;
        },
        findLast(nowMs, by) {
            let candidates = [...waiting].filter(request => !request.isReturning);
            if (candidates.length === 0) candidates = [...waiting];
            if (by === "size") return findFirst(candidates, (left, right) => right.sizeBytes - left.sizeBytes);
            const toUrgency = (request: T) => getUrgency(request, getExcessShares(request.account, nowMs), nowMs);
            return findFirst(candidates, (left, right) => compareUrgency(toUrgency(right), toUrgency(left)));
        },
        countAhead(request, nowMs) {
            const own = getUrgency(request, getExcessShares(request.account, nowMs), nowMs);
            let ahead = 0;
            for (const other of waiting) {
                if (other !== request && isAhead(other, own, nowMs)) ahead++;
            }
            return ahead;
        },
    };

    /** Whether a waiting request goes before or together with one in that position. */
    function isAhead(request: T, other: Urgency, nowMs: number): boolean {
        const excess = getExcessShares(request.account, nowMs);
        return request.rank + excess <= other.rank && compareUrgency(getUrgency(request, excess, nowMs), other) <= 0;
    }

    function remove(request: T): boolean {
        if (!waiting.delete(request)) return false;
        sizeBytes -= request.sizeBytes;
        return true;
    }

    function findNext(nowMs: number): T | undefined {
        if ((turns + 1) % turnsPerLongestWait === 0) {
            const longest = findLongestWait(nowMs);
            if (longest !== undefined) return longest;
        }
        let next: T | undefined;
        let best: Urgency | undefined;
        for (const request of waiting) {
            const excess = getExcessShares(request.account, nowMs);
            // Most requests are told apart by their rank alone, which is the cheapest to compare.
            if (best !== undefined && request.rank + excess > best.rank) continue;
            const urgency = getUrgency(request, excess, nowMs);
            if (best !== undefined && compareUrgency(best, urgency) <= 0) continue;
            best = urgency;
            next = request;
        }
        return next;
    }

    /** Of the requests that can still be answered in time, the one that has waited for the largest part of its time. */
    function findLongestWait(nowMs: number): T | undefined {
        let longest: T | undefined;
        let longestPart = -1;
        for (const request of waiting) {
            const waitedPart = getWaitedPart(request, nowMs);
            if (waitedPart <= longestPart || getStage(request, nowMs) === 2) continue;
            longestPart = waitedPart;
            longest = request;
        }
        return longest;
    }

    /** The shares change little within a few milliseconds, but are needed for each waiting request at each dispatch. */
    function getExcessShares(account: string, nowMs: number): number {
        if (nowMs - excessReadAtMs > maxExcessAgeMs) {
            excessShares.clear();
            excessReadAtMs = nowMs;
        }
        const known = excessShares.get(account);
        if (known !== undefined) return known;
        const excess = shares.getExcessShares(account, nowMs);
        excessShares.set(account, excess);
        return excess;
    }
}

/** Returns the position of a request. `excessShares` are those of its account (see `AccountShares`). */
export function getUrgency(request: WaitingRequest, excessShares: number, nowMs: number): Urgency {
    const rank = request.rank + excessShares;
    const stage = getStage(request, nowMs);
    switch (stage) {
        case 0:
            return { rank, stage, dueAtMs: request.objectiveAtMs - request.startMs };
        case 1:
            return { rank, stage, dueAtMs: request.deadlineMs - request.endMs };
        case 2:
            return { rank, stage, dueAtMs: request.deadlineMs };
    }
}

/** Compares two positions: negative if the left one goes first. */
export function compareUrgency(left: Urgency, right: Urgency): number {
    return left.rank - right.rank || left.stage - right.stage || left.dueAtMs - right.dueAtMs;
}

function getStage(request: WaitingRequest, nowMs: number): Stage {
    if (nowMs + request.startMs <= request.objectiveAtMs) return 0;
    return nowMs + request.endMs <= request.deadlineMs ? 1 : 2;
}

/** Part of the time between its arrival and its deadline for which the request has waited. */
function getWaitedPart({ arrivedAtMs, deadlineMs }: WaitingRequest, nowMs: number): number {
    return (nowMs - arrivedAtMs) / Math.max(1, deadlineMs - arrivedAtMs);
}

function findFirst<T>(items: readonly T[], compare: (left: T, right: T) => number): T | undefined {
    let first: T | undefined;
    for (const item of items) {
        if (first === undefined || compare(item, first) < 0) first = item;
    }
    return first;
}

/**
 * Bounded admission queue in front of the backend servers. It shares capacity among client accounts by start-time fair queueing
 * (Goyal, Vin and Cheng, 1996), and prefers interactive requests to batch requests without starving the latter.
 */
import type { Host } from "../kernel/host.js";
import { createNotifier } from "../kernel/tasks.js";
import type { ServiceClass } from "../kernel/types.js";
import { refuse } from "../kernel/verdict.js";

/** A request for admission. */
export interface QueueRequest {
    readonly pool: string;
    readonly clientAccount: string;
    readonly weight: number;
    readonly serviceClass: ServiceClass;
    /** Cost of the request for fair sharing, in tokens. */
    readonly costTokens: number;
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
}

/** Admission queues of all pools. */
export interface FairQueue {
    /** Resolves when the request is admitted. Throws a `notRun` verdict when the queue is full or the deadline cannot be met. */
    enter(request: QueueRequest): Promise<void>;
    /** Records the time from a request's admission to the end of its answer. */
    recordServiceTime(pool: string, serviceClass: ServiceClass, durationMs: number): void;
    /** Signals that capacity may have become available. */
    notify(): void;
    getWaitingCount(): number;
}

/** Options of a fair queue. */
export interface FairQueueOptions {
    readonly hasCapacity: (pool: string, nowMs: number) => boolean;
    readonly maxWaiting: number;
    readonly maxWaitingPerAccount: number;
}

interface Waiter {
    readonly request: QueueRequest;
    /** Virtual time at which its service starts. The smallest is admitted first. */
    readonly startTag: number;
    resolve(isAdmitted: boolean): void;
}

interface PoolQueue {
    readonly waiting: Record<ServiceClass, Waiter[]>;
    /** Virtual finish time of each account's latest request. */
    readonly finishTags: Map<string, number>;
    virtualTime: number;
    admittedSinceBatch: number;
    /** Moving average of the time between two admissions while requests were waiting. */
    meanGapMs: number;
    /** Time of the last admission. Undefined if it left no request waiting. */
    lastAdmittedMs: number | undefined;
    /** Moving average of the time from admission to the end of an answer. */
    readonly meanServiceMs: Record<ServiceClass, number>;
}

/** Interactive requests that may be admitted in a row while a batch request waits. */
const maxInteractiveBetweenBatch = 8;
const pollMs = 20;
/** Weight of the latest value in the moving averages. */
const gapGain = 0.05;
const serviceGain = 0.05;
const initialGapMs = 20;
/** Number of requests ahead from which the waiting time is estimated. With fewer, the estimate is too inaccurate to refuse a request. */
const minWaitersForEstimate = 8;
const maxFinishTags = 20_000;

/** Creates a queue that holds no requests. */
export function createFairQueue(host: Host, options: FairQueueOptions): FairQueue {
    const poolQueues = new Map<string, PoolQueue>();
    const capacitySignal = createNotifier(host.timers);
    let waitingCount = 0;
    let isAdmitting = false;

    return {
        async enter(request) {
            const nowMs = host.clock.nowMs();
            const queue = getPoolQueue(request.pool);
            if (countWaiting(queue) === 0 && options.hasCapacity(request.pool, nowMs)) {
                recordAdmission(queue, assignStartTag(queue, request), request, nowMs, false);
                return;
            }
            checkCanWait(queue, request, nowMs);
            waitingCount++;
            const isAdmitted = await new Promise<boolean>(resolve => {
                queue.waiting[request.serviceClass].push({ request, startTag: assignStartTag(queue, request), resolve });
                void admitWaiters();
            });
            waitingCount--;
            if (!isAdmitted) refuse("overloaded", undefined, getRetryAfterMs(queue));
        },
        recordServiceTime(pool, serviceClass, durationMs) {
            const { meanServiceMs } = getPoolQueue(pool);
            meanServiceMs[serviceClass] += (durationMs - meanServiceMs[serviceClass]) * serviceGain;
            capacitySignal.notify();
        },
        notify: () => capacitySignal.notify(),
        getWaitingCount: () => waitingCount,
    };

    function getPoolQueue(pool: string): PoolQueue {
        const existing = poolQueues.get(pool);
        if (existing !== undefined) return existing;
        const created: PoolQueue = {
            waiting: { interactive: [], batch: [] },
            finishTags: new Map(),
            virtualTime: 0,
            admittedSinceBatch: 0,
            meanGapMs: initialGapMs,
            lastAdmittedMs: undefined,
            meanServiceMs: { interactive: 0, batch: 0 },
        };
        poolQueues.set(pool, created);
        return created;
    }

    function countWaiting(queue: PoolQueue): number {
        return queue.waiting.interactive.length + queue.waiting.batch.length;
    }

    // A request that would miss its deadline in the queue is refused immediately, since it certainly has not run yet.
    function checkCanWait(queue: PoolQueue, request: QueueRequest, nowMs: number): void {
        if (waitingCount >= options.maxWaiting) refuse("queueFull", undefined, getRetryAfterMs(queue));
        const accountWaiters = [...queue.waiting.interactive, ...queue.waiting.batch].filter(waiter =>
            waiter.request.clientAccount === request.clientAccount
        );
        if (accountWaiters.length >= options.maxWaitingPerAccount) refuse("queueFull", undefined, getRetryAfterMs(queue));
        const startTag = Math.max(queue.virtualTime, queue.finishTags.get(request.clientAccount) ?? 0);
        const requestsAhead = queue.waiting[request.serviceClass].filter(waiter => waiter.startTag <= startTag).length
            + (request.serviceClass === "batch" ? queue.waiting.interactive.length : 0);
        const canEstimate = requestsAhead >= minWaitersForEstimate;
        if (
            canEstimate &&
            nowMs + requestsAhead * queue.meanGapMs + queue.meanServiceMs[request.serviceClass] > request.deadlineMs
        ) {
            refuse("overloaded", undefined, getRetryAfterMs(queue));
        }
    }

    function getRetryAfterMs(queue: PoolQueue): number {
        return Math.max(1_000, countWaiting(queue) * queue.meanGapMs);
    }

    function assignStartTag(queue: PoolQueue, request: QueueRequest): number {
        const startTag = Math.max(queue.virtualTime, queue.finishTags.get(request.clientAccount) ?? 0);
        queue.finishTags.delete(request.clientAccount);
        queue.finishTags.set(request.clientAccount, startTag + request.costTokens / request.weight);
        if (queue.finishTags.size > maxFinishTags) queue.finishTags.delete(queue.finishTags.keys().next().value!);
        return startTag;
    }

    function recordAdmission(queue: PoolQueue, startTag: number, request: QueueRequest, nowMs: number, hadWaited: boolean): void {
        queue.virtualTime = Math.max(queue.virtualTime, startTag);
        queue.admittedSinceBatch = request.serviceClass === "batch" ? 0 : queue.admittedSinceBatch + 1;
        if (hadWaited && queue.lastAdmittedMs !== undefined) queue.meanGapMs += (nowMs - queue.lastAdmittedMs - queue.meanGapMs) * gapGain;
        queue.lastAdmittedMs = countWaiting(queue) > 0 ? nowMs : undefined;
    }

    async function admitWaiters(): Promise<void> {
        if (isAdmitting) return;
        isAdmitting = true;
        while (waitingCount > 0) {
            const nowMs = host.clock.nowMs();
            for (const [pool, queue] of poolQueues) {
                rejectLateWaiters(queue, nowMs);
                while (countWaiting(queue) > 0 && options.hasCapacity(pool, nowMs)) {
                    const waiter = dequeueNext(queue);
                    recordAdmission(queue, waiter.startTag, waiter.request, nowMs, true);
                    waiter.resolve(true);
                    // Let the admitted request reach the router, so that the next capacity check counts it.
                    await Promise.resolve();
                    await capacitySignal.wait(0);
                }
            }
            await capacitySignal.wait(pollMs);
        }
        isAdmitting = false;
    }

    // Refuses requests that can no longer finish before their deadline. They have certainly not run yet.
    function rejectLateWaiters(queue: PoolQueue, nowMs: number): void {
        for (const serviceClass of ["interactive", "batch"] as const) {
            const isLate = (waiter: Waiter) =>
                nowMs + queue.meanServiceMs[serviceClass] >= waiter.request.deadlineMs || waiter.request.signal.aborted;
            const late = queue.waiting[serviceClass].filter(isLate);
            if (late.length === 0) continue;
            queue.waiting[serviceClass] = queue.waiting[serviceClass].filter(waiter => !isLate(waiter));
            for (const waiter of late) waiter.resolve(false);
        }
    }

    function dequeueNext(queue: PoolQueue): Waiter {
        const { interactive, batch } = queue.waiting;
        const isBatchTurn = batch.length > 0 && (interactive.length === 0 || queue.admittedSinceBatch >= maxInteractiveBetweenBatch);
        const candidates = isBatchTurn ? batch : interactive;
        let best = 0;
        for (let position = 1; position < candidates.length; position++) {
            if (candidates[position]!.startTag < candidates[best]!.startTag) best = position;
        }
        return candidates.splice(best, 1)[0]!;
    }
}

/**
 * The waiting line before the backend servers: fair among client accounts by start-time fair queueing
 * (Goyal, Vin and Cheng, 1996), interactive before batch without starving batch, and bounded.
 */
import type { Host } from "../kernel/host.js";
import { createSignal } from "../kernel/tasks.js";
import type { ServiceClass } from "../kernel/types.js";
import { refuse } from "../kernel/verdict.js";

/** A request that wants to go on. */
export interface QueueRequest {
    readonly pool: string;
    readonly clientAccount: string;
    readonly weight: number;
    readonly serviceClass: ServiceClass;
    /** Size of the request relative to others, in tokens. */
    readonly costTokens: number;
    readonly deadlineMs: number;
    readonly signal: AbortSignal;
}

/** The waiting line. */
export interface FairQueue {
    /** Resolves when it is the request's turn. Refuses as not run when it cannot meet its deadline. */
    enter(request: QueueRequest): Promise<void>;
    /** Tells that an answer has ended, after this time from its admission. */
    noteServiceTime(pool: string, serviceClass: ServiceClass, durationMs: number): void;
    /** Tells that room may have come free. */
    notify(): void;
    getWaitingCount(): number;
}

/** Options of a waiting line. */
export interface FairQueueOptions {
    readonly hasCapacity: (pool: string, nowMs: number) => boolean;
    readonly maxWaiting: number;
    readonly maxWaitingPerAccount: number;
}

interface Waiter {
    readonly request: QueueRequest;
    /** Virtual time at which its service starts. The least goes first. */
    readonly startTag: number;
    resolve(isAdmitted: boolean): void;
}

interface PoolQueue {
    readonly waiting: Record<ServiceClass, Waiter[]>;
    /** Virtual finish time by account. */
    readonly finishTags: Map<string, number>;
    virtualTime: number;
    admittedSinceBatch: number;
    /** Mean time between two admissions while there was a line, in milliseconds. */
    meanGapMs: number;
    /** Last admission while others waited. Undefined after the line was empty. */
    lastAdmittedMs: number | undefined;
    /** Mean time from admission to the end of an answer, in milliseconds. */
    readonly meanServiceMs: Record<ServiceClass, number>;
}

/** A batch request goes at least every so many turns. */
const maxInteractiveBetweenBatch = 8;
const pollMs = 20;
const gapGain = 0.05;
const serviceGain = 0.05;
const initialGapMs = 20;
/** Lines longer than this are judged by their speed. Shorter ones say too little. */
const minWaitersForEstimate = 8;
const maxFinishTags = 20_000;

/** Creates an empty waiting line. */
export function createFairQueue(host: Host, options: FairQueueOptions): FairQueue {
    const poolQueues = new Map<string, PoolQueue>();
    const capacitySignal = createSignal(host.timers);
    let waitingCount = 0;
    let isAdmitting = false;

    return {
        async enter(request) {
            const nowMs = host.clock.nowMs();
            const queue = getPoolQueue(request.pool);
            if (countWaiting(queue) === 0 && options.hasCapacity(request.pool, nowMs)) {
                noteAdmission(queue, assignStartTag(queue, request), request, nowMs, false);
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
        noteServiceTime(pool, serviceClass, durationMs) {
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

    // A request that would wait past its deadline is refused at once, while it has certainly not run.
    function checkCanWait(queue: PoolQueue, request: QueueRequest, nowMs: number): void {
        if (waitingCount >= options.maxWaiting) refuse("queueFull", undefined, getRetryAfterMs(queue));
        const ofAccount = [...queue.waiting.interactive, ...queue.waiting.batch].filter(waiter =>
            waiter.request.clientAccount === request.clientAccount
        );
        if (ofAccount.length >= options.maxWaitingPerAccount) refuse("queueFull", undefined, getRetryAfterMs(queue));
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

    function noteAdmission(queue: PoolQueue, startTag: number, request: QueueRequest, nowMs: number, hadWaited: boolean): void {
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
                    noteAdmission(queue, waiter.startTag, waiter.request, nowMs, true);
                    waiter.resolve(true);
                    // The admitted request places itself before the next one is let through.
                    await Promise.resolve();
                    await capacitySignal.wait(0);
                }
            }
            await capacitySignal.wait(pollMs);
        }
        isAdmitting = false;
    }

    // What could no longer be finished in time is let go while it has certainly not run.
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
        const from = isBatchTurn ? batch : interactive;
        let best = 0;
        for (let position = 1; position < from.length; position++) {
            if (from[position]!.startTag < from[best]!.startTag) best = position;
        }
        return from.splice(best, 1)[0]!;
    }
}

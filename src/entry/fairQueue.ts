/**
 * The waiting line before the backend servers: fair among client accounts by start-time fair queueing
 * (Goyal, Vin and Cheng, 1996), interactive before batch without starving batch, and bounded.
 */
import type { Host } from "../kernel/host.js";
import { createNotifier } from "../kernel/tasks.js";
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
    noteDone(pool: string, serviceClass: ServiceClass, durationMs: number): void;
    /** Tells that room may have come free. */
    notify(): void;
    getWaitingCount(): number;
}

/** Options of a waiting line. */
export interface FairQueueOptions {
    readonly hasRoom: (pool: string, nowMs: number) => boolean;
    readonly maxWaiting: number;
    readonly maxWaitingPerAccount: number;
}

interface Waiter {
    readonly request: QueueRequest;
    /** Virtual time at which its service starts. The least goes first. */
    readonly startTag: number;
    resolve(isAdmitted: boolean): void;
}

interface PoolLine {
    readonly waiting: Record<ServiceClass, Waiter[]>;
    /** Virtual finish time by account. */
    readonly finishTags: Map<string, number>;
    virtualTime: number;
    admittedSinceBatch: number;
    /** Mean time between two admissions while there was a line, in milliseconds. */
    meanGapMs: number;
    /** Last admission while others waited. Undefined after the line was empty. */
    lastAdmittedAtMs: number | undefined;
    /** Mean time from admission to the end of an answer, in milliseconds. */
    readonly serviceMs: Record<ServiceClass, number>;
}

/** A batch request goes at least every so many turns. */
const turnsPerBatch = 8;
const pollMs = 20;
const gapGain = 0.05;
const serviceGain = 0.05;
const initialGapMs = 20;
/** Lines longer than this are judged by their speed. Shorter ones say too little. */
const minJudgedLine = 8;
const maxFinishTags = 20_000;

/** Creates an empty waiting line. */
export function createFairQueue(host: Host, options: FairQueueOptions): FairQueue {
    const lines = new Map<string, PoolLine>();
    const wake = createNotifier(host.timers);
    let waitingCount = 0;
    let isPumping = false;

    return {
        async enter(request) {
            const nowMs = host.clock.nowMs();
            const line = getLine(request.pool);
            if (countWaiting(line) === 0 && options.hasRoom(request.pool, nowMs)) {
                noteAdmitted(line, tag(line, request), request, nowMs, false);
                return;
            }
            checkRoomInLine(line, request, nowMs);
            waitingCount++;
            const isAdmitted = await new Promise<boolean>(resolve => {
                line.waiting[request.serviceClass].push({ request, startTag: tag(line, request), resolve });
                void pump();
            });
            waitingCount--;
            if (!isAdmitted) refuse("overloaded", undefined, getRetryAfterMs(line));
        },
        noteDone(pool, serviceClass, durationMs) {
            const { serviceMs } = getLine(pool);
            serviceMs[serviceClass] += (durationMs - serviceMs[serviceClass]) * serviceGain;
            wake.notify();
        },
        notify: () => wake.notify(),
        getWaitingCount: () => waitingCount,
    };

    function getLine(pool: string): PoolLine {
        const known = lines.get(pool);
        if (known !== undefined) return known;
        const created: PoolLine = {
            waiting: { interactive: [], batch: [] },
            finishTags: new Map(),
            virtualTime: 0,
            admittedSinceBatch: 0,
            meanGapMs: initialGapMs,
            lastAdmittedAtMs: undefined,
            serviceMs: { interactive: 0, batch: 0 },
        };
        lines.set(pool, created);
        return created;
    }

    function countWaiting(line: PoolLine): number {
        return line.waiting.interactive.length + line.waiting.batch.length;
    }

    // A request that would wait past its deadline is refused at once, while it has certainly not run.
    function checkRoomInLine(line: PoolLine, request: QueueRequest, nowMs: number): void {
        if (waitingCount >= options.maxWaiting) refuse("queueFull", undefined, getRetryAfterMs(line));
        const own = [...line.waiting.interactive, ...line.waiting.batch].filter(waiter =>
            waiter.request.clientAccount === request.clientAccount
        );
        if (own.length >= options.maxWaitingPerAccount) refuse("queueFull", undefined, getRetryAfterMs(line));
        const startTag = Math.max(line.virtualTime, line.finishTags.get(request.clientAccount) ?? 0);
        const ahead = line.waiting[request.serviceClass].filter(waiter => waiter.startTag <= startTag).length
            + (request.serviceClass === "batch" ? line.waiting.interactive.length : 0);
        const isJudged = ahead >= minJudgedLine;
        if (isJudged && nowMs + ahead * line.meanGapMs + line.serviceMs[request.serviceClass] > request.deadlineMs) {
            refuse("overloaded", undefined, getRetryAfterMs(line));
        }
    }

    function getRetryAfterMs(line: PoolLine): number {
        return Math.max(1_000, countWaiting(line) * line.meanGapMs);
    }

    function tag(line: PoolLine, request: QueueRequest): number {
        const startTag = Math.max(line.virtualTime, line.finishTags.get(request.clientAccount) ?? 0);
        line.finishTags.delete(request.clientAccount);
        line.finishTags.set(request.clientAccount, startTag + request.costTokens / request.weight);
        if (line.finishTags.size > maxFinishTags) line.finishTags.delete(line.finishTags.keys().next().value!);
        return startTag;
    }

    function noteAdmitted(line: PoolLine, startTag: number, request: QueueRequest, nowMs: number, hadWaited: boolean): void {
        line.virtualTime = Math.max(line.virtualTime, startTag);
        line.admittedSinceBatch = request.serviceClass === "batch" ? 0 : line.admittedSinceBatch + 1;
        if (hadWaited && line.lastAdmittedAtMs !== undefined) line.meanGapMs += (nowMs - line.lastAdmittedAtMs - line.meanGapMs) * gapGain;
        line.lastAdmittedAtMs = countWaiting(line) > 0 ? nowMs : undefined;
    }

    async function pump(): Promise<void> {
        if (isPumping) return;
        isPumping = true;
        while (waitingCount > 0) {
            const nowMs = host.clock.nowMs();
            for (const [pool, line] of lines) {
                dropLate(line, nowMs);
                while (countWaiting(line) > 0 && options.hasRoom(pool, nowMs)) {
                    const waiter = takeNext(line);
                    noteAdmitted(line, waiter.startTag, waiter.request, nowMs, true);
                    waiter.resolve(true);
                    // The admitted request places itself before the next one is let through.
                    await Promise.resolve();
                    await wake.wait(0);
                }
            }
            await wake.wait(pollMs);
        }
        isPumping = false;
    }

    // What could no longer be finished in time is let go while it has certainly not run.
    function dropLate(line: PoolLine, nowMs: number): void {
        for (const serviceClass of ["interactive", "batch"] as const) {
            const isLate = (waiter: Waiter) =>
                nowMs + line.serviceMs[serviceClass] >= waiter.request.deadlineMs || waiter.request.signal.aborted;
            const late = line.waiting[serviceClass].filter(isLate);
            if (late.length === 0) continue;
            line.waiting[serviceClass] = line.waiting[serviceClass].filter(waiter => !isLate(waiter));
            for (const waiter of late) waiter.resolve(false);
        }
    }

    function takeNext(line: PoolLine): Waiter {
        const { interactive, batch } = line.waiting;
        const isBatchTurn = batch.length > 0 && (interactive.length === 0 || line.admittedSinceBatch >= turnsPerBatch);
        const from = isBatchTurn ? batch : interactive;
        let best = 0;
        for (let position = 1; position < from.length; position++) {
            if (from[position]!.startTag < from[best]!.startTag) best = position;
        }
        return from.splice(best, 1)[0]!;
    }
}

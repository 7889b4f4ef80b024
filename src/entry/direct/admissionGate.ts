/**
 * Lets requests wait while the entry is saturated, and dispatches them in the order of the queue as the event loop has time for them. While the
 * entry is not saturated, no request passes through it.
 */
import type { Host } from "../../kernel/host.js";
import type { MetricReading } from "../../kernel/metrics.js";
import type { AccountShares } from "./accountShares.js";
import { decideTurn, getLatestStartMs, getRetryAfterMs, isWorthWaiting } from "./admission.js";
import { createAdmissionCounts } from "./admissionCounts.js";
import type { RefusalReason } from "./admissionCounts.js";
import { createAdmissionQueue } from "./admissionQueue.js";
import type { WaitingRequest } from "./admissionQueue.js";

/** A request for admission. */
export interface AdmissionRequest extends WaitingRequest {
    /** Equal for a request and its repetitions. */
    readonly fingerprint: string;
    /** Aborted when the caller disconnects. */
    readonly signal: AbortSignal;
}

/** Outcome of waiting. */
export type AdmissionResult =
    | { readonly kind: "admitted"; }
    | { readonly kind: "refused"; readonly reason: RefusalReason; readonly expectedWaitMs: number; readonly retryAfterMs: number; };

/** Admission of requests. */
export interface AdmissionGate {
    /** True while requests have to `enter`. */
    isClosed(): boolean;
    /** Calls back once the request is admitted or refused, which may be before the call returns. */
    enter(request: Omit<AdmissionRequest, "isReturning">, onDecided: (result: AdmissionResult) => void): void;
    /** Refuses all that wait, because the process ends. */
    end(): void;
    getWaitingCount(): number;
    readMetrics(): readonly MetricReading[];
}

/** The part of a host that a gate needs. */
export type AdmissionHost = Pick<Host, "clock" | "timers" | "processor" | "random" | "createLogger">;

/** Options of a gate. */
export interface AdmissionGateOptions {
    readonly isSaturated: () => boolean;
    /** Shares of the client accounts. The demand is recorded by the caller, also while the entry is not saturated. */
    readonly shares: AccountShares;
    readonly limits?: QueueLimits;
}

/** Limits of what waits, in requests and in bytes of their bodies. */
export interface QueueLimits {
    readonly maxRequests: number;
    readonly maxBytes: number;
}

interface Waiter extends AdmissionRequest {
    readonly latestStartMs: number;
    readonly enteredAtMs: number;
    decide(result: AdmissionResult): void;
}

/** Several seconds of what the largest entries can take. */
const defaultLimits: QueueLimits = { maxRequests: 400, maxBytes: 16 * 1024 * 1024 };
/** The shortest delay of a timer. Between two timers the event loop handles all events that have arrived. */
const turnMs = 1;
const initialGapMs = 20;
/** Weight of a new gap between two dispatches in the mean. */
const gapGain = 0.1;
const turnGain = 0.1;
const sweepIntervalMs = 20;
const maxRefusedFingerprints = 2_000;

/** Creates a gate where nothing waits. */
export function createAdmissionGate(host: AdmissionHost, options: AdmissionGateOptions): AdmissionGate {
    const limits = options.limits ?? defaultLimits;
    const { shares } = options;
    const queue = createAdmissionQueue<Waiter>(shares);
    const counts = createAdmissionCounts(host, () => ({
        waiting: queue.waitingCount,
        waitingBytes: queue.sizeBytes,
        meanGapMs,
        largest: shares.findLargest(host.clock.nowMs()),
    }));
    /** Deadlines of refused requests by fingerprint, in the order of refusal. */
    const refusedUntilMs = new Map<string, number>();
    /** Mean time between two dispatches while requests waited. */
    let meanGapMs = initialGapMs;
    let lastDispatchAtMs = 0;
    let lastSpareDispatches = 0;
    let isTurning = false;
    /** Mean duration of a turn of the event loop while requests waited. It delays each event of an answer. */
    let meanTurnMs = turnMs;
    let turnStart = { atMs: 0, busyMs: 0 };
    let sweptAtMs = 0;

    return {
        isClosed: options.isSaturated,
        enter,
        end() {
            for (const waiter of [...queue.list()]) refuseWaiter(waiter, "stopping");
        },
        getWaitingCount: () => queue.waitingCount,
        readMetrics: () => counts.readMetrics([...queue.list()].map(({ rank, account }) => ({ rank, isOverShare: isOverShare(account) }))),
    };

    function isOverShare(account: string): boolean {
        return shares.getExcessShares(account, host.clock.nowMs()) > 0;
    }

    function enter(request: Omit<AdmissionRequest, "isReturning">, onDecided: (result: AdmissionResult) => void): void {
        const nowMs = host.clock.nowMs();
        const waiter = createWaiter(request, nowMs, onDecided);
        if (waiter.signal.aborted) return refuseWaiter(waiter, "disconnected");
        const isUseful = (requestsAhead: number) =>
            isWorthWaiting(waiter.latestStartMs, waiter.isReturning, { requestsAhead, waitMs: requestsAhead * meanGapMs }, nowMs);
        // Where a request goes in the order matters only if it would be too late behind all others.
        const requestsAhead = isUseful(queue.waitingCount) ? 0 : queue.countAhead(waiter, nowMs);
        if (!isUseful(requestsAhead)) return refuseWaiter(waiter, "late", requestsAhead * meanGapMs);
        queue.add(waiter);
        waiter.signal.addEventListener("abort", onDisconnect, { once: true });
        makeRoom(nowMs);
        if (!isTurning) startTurns(nowMs);

        function onDisconnect(): void {
            if (queue.remove(waiter)) refuseWaiter(waiter, "disconnected");
        }
    }

    function createWaiter(
        request: Omit<AdmissionRequest, "isReturning">,
        nowMs: number,
        onDecided: (result: AdmissionResult) => void,
    ): Waiter {
        const isReturning = (refusedUntilMs.get(request.fingerprint) ?? -Infinity) > nowMs;
        const latestStartMs = getLatestStartMs({ ...request, isReturning });
        // All fields are named, because the objects of spread literals are slow to read, and each one is read for each dispatch.
        return {
            rank: request.rank,
            account: request.account,
            sizeBytes: request.sizeBytes,
            costMs: request.costMs,
            arrivedAtMs: request.arrivedAtMs,
            objectiveAtMs: request.objectiveAtMs,
            deadlineMs: request.deadlineMs,
            startMs: request.startMs + meanTurnMs,
            endMs: request.endMs + meanTurnMs,
            isReturning,
            fingerprint: request.fingerprint,
            signal: request.signal,
            latestStartMs,
            enteredAtMs: nowMs,
            decide: onDecided,
        };
    }

    function makeRoom(nowMs: number): void {
        while (queue.waitingCount > limits.maxRequests) refuseWaiter(queue.findLast(nowMs, "order")!, "queueFull");
        while (queue.sizeBytes > limits.maxBytes) refuseWaiter(queue.findLast(nowMs, "size")!, "queueFull");
    }

    function refuseWaiter(waiter: Waiter, reason: RefusalReason, expectedWaitMs = queue.waitingCount * meanGapMs): void {
        const nowMs = host.clock.nowMs();
        queue.remove(waiter);
        if (reason !== "disconnected") rememberRefusal(waiter, nowMs);
        counts.recordRefusal(reason, expectedWaitMs);
        const retryAfterMs = getRetryAfterMs(queue.waitingCount * meanGapMs, waiter.deadlineMs - nowMs, host.random.nextFloat());
        waiter.decide({ kind: "refused", reason, expectedWaitMs, retryAfterMs });
    }

    function rememberRefusal({ fingerprint, deadlineMs }: Waiter, nowMs: number): void {
        refusedUntilMs.delete(fingerprint);
        refusedUntilMs.set(fingerprint, deadlineMs);
        for (const [known, untilMs] of refusedUntilMs) {
            if (refusedUntilMs.size <= maxRefusedFingerprints && untilMs > nowMs) return;
            refusedUntilMs.delete(known);
        }
    }

    function startTurns(nowMs: number): void {
        isTurning = true;
        lastDispatchAtMs = nowMs;
        lastSpareDispatches = 0;
        scheduleTurn(nowMs);
    }

    function scheduleTurn(nowMs: number): void {
        turnStart = { atMs: nowMs, busyMs: host.processor.getBusyMs() };
        host.timers.after(turnMs, endTurn);
    }

    function endTurn(): void {
        const nowMs = host.clock.nowMs();
        const tookMs = nowMs - turnStart.atMs;
        meanTurnMs += (tookMs - meanTurnMs) * turnGain;
        const decision = decideTurn({
            isSaturated: options.isSaturated(),
            idleMs: tookMs - (host.processor.getBusyMs() - turnStart.busyMs),
            sinceDispatchMs: nowMs - lastDispatchAtMs,
            lastSpareDispatches,
        });
        lastSpareDispatches = decision.spareDispatches;
        if (decision.dispatches > 0 || nowMs - sweptAtMs >= sweepIntervalMs) refuseLate(nowMs);
        dispatch(decision.dispatches, nowMs);
        isTurning = queue.waitingCount > 0;
        if (isTurning) scheduleTurn(host.clock.nowMs());
    }

    function dispatch(maxDispatches: number, nowMs: number): void {
        const admitted: Waiter[] = [];
        while (admitted.length < maxDispatches) {
            const next = queue.takeNext(nowMs);
            if (next === undefined) break;
            admitted.push(next);
        }
        if (admitted.length === 0) return;
        const gapMs = (nowMs - lastDispatchAtMs) / admitted.length;
        lastDispatchAtMs = nowMs;
        for (const waiter of admitted) {
            meanGapMs += (gapMs - meanGapMs) * gapGain;
            counts.recordAdmission({ rank: waiter.rank, isOverShare: isOverShare(waiter.account) }, nowMs - waiter.enteredAtMs);
            waiter.decide({ kind: "admitted" });
        }
    }

    function refuseLate(nowMs: number): void {
        sweptAtMs = nowMs;
        for (const waiter of queue.list()) {
            if (nowMs > waiter.latestStartMs) refuseWaiter(waiter, "late", 0);
        }
    }
}

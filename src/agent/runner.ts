/** Runs dispatched requests on the backend server and records what each is billed. */
import type { CancelReply, CancelRequest } from "../kernel/contracts.js";
import { assert } from "../kernel/debug.js";
import type { Host } from "../kernel/host.js";
import type { AgentLoad, Dispatch } from "../kernel/messages.js";
import { sleep } from "../kernel/tasks.js";
import { getBilledTokens } from "../kernel/types.js";
import type { TokenUsage } from "../kernel/types.js";
import { createVerdict } from "../kernel/verdict.js";
import type { Verdict } from "../kernel/verdict.js";
import type { LeaseCounters, LeasedAttempt } from "./leaseCounters.js";
import type { ResponseStream, StreamBuffer } from "./streams.js";
import type { BackendServerAdapter, RunOutcome } from "./types.js";

/** Options of a runner. */
export interface RunnerOptions {
    readonly adapter: BackendServerAdapter;
    readonly streams: StreamBuffer;
    readonly counters: LeaseCounters;
}

/** Runs the requests of this agent. */
export interface Runner {
    /** Starts an admitted dispatch. Its start is counted and recorded before this returns. */
    start(dispatch: Dispatch, body: Uint8Array): ResponseStream;
    /** Stops an idempotent attempt. A non-idempotent one runs to its end. */
    cancel(request: CancelRequest): Promise<CancelReply>;
    /** True if the id was cancelled before its dispatch arrived, or belongs to a non-idempotent request that has already started. */
    isStartBlocked(requestId: string): boolean;
    /**
     * Stops idempotent runs without an idempotency key whose response has had no reader for `orphanTimeoutMs`. Also drops the
     * runs whose response was evicted, and the oldest recorded ids.
     */
    stopOrphanedRuns(): void;
    /** True while a request that is suspected of crashing backend servers runs alone, or waits to. */
    hasSoloRun(): boolean;
    getRunningCount(): number;
    /** Number of readers of all responses. */
    getReaderCount(): number;
    getLoad(): AgentLoad;
    /** Aborts all runs without completing their responses or billing them, as in a crash. */
    halt(): void;
}

interface Run {
    readonly dispatch: Dispatch;
    readonly stream: ResponseStream;
    readonly abort: AbortController;
    /** True if a stopped attempt is billed for the tokens that it generated until then. */
    isBilledWhenStopped: boolean;
    /** True once the first chunk of the response has arrived. */
    hasProducedOutput: boolean;
    billedTokens: number;
    isFinished: boolean;
}

/**
 * Time for which a finished response is kept. With an idempotency key it serves retries, without one it only has to outlast a
 * dropped connection.
 */
const retentionMs = { keyed: 600_000, unkeyed: 30_000 } as const;
const orphanTimeoutMs = 15_000;
const maxCancelledIds = 10_000;
const soloPollIntervalMs = 20;
/** Number of ids of started non-idempotent requests to keep, so that a late cancel or dispatch is recognized. */
const maxStartedIds = 200_000;

/** Creates a runner with no running requests. */
export function createRunner(host: Host, options: RunnerOptions): Runner {
    const { adapter, streams, counters } = options;
    const runs = new Map<string, Run>();
    const cancelledIds = new Set<string>();
    const startedIds = new Set<string>();
    let isHalted = false;

    return {
        isStartBlocked: requestId => cancelledIds.has(requestId) || startedIds.has(requestId),
        start(dispatch, body) {
            assert(!runs.has(dispatch.requestId), `request ${dispatch.requestId} is already running`);
            const stream = streams.open(
                dispatch.requestId,
                dispatch.idempotencyKey === undefined ? retentionMs.unkeyed : retentionMs.keyed,
            );
            const attempt = getLeasedAttempt(dispatch);
            if (attempt !== undefined) counters.start(attempt);
            const abort = new AbortController();
            const run: Run = {
                dispatch,
                stream,
                abort,
                isBilledWhenStopped: false,
                hasProducedOutput: false,
                billedTokens: 0,
                isFinished: false,
            };
            runs.set(dispatch.requestId, run);
            if (!dispatch.isIdempotent) startedIds.add(dispatch.requestId);
            void execute(run, body);
            return stream;
        },
        async cancel({ requestId, bill }) {
            const run = runs.get(requestId);
            if (run === undefined) {
                if (startedIds.has(requestId)) return { state: "finished", billedTokens: 0 };
                // A dispatch that arrives after its cancel is refused as a duplicate, so the attempt can never start.
                cancelledIds.add(requestId);
                return { state: "unknown", billedTokens: 0 };
            }
            if (run.isFinished) {
                if (bill === "never") reverseBilling(run);
                return { state: "finished", billedTokens: run.billedTokens };
            }
            // A non-idempotent request must not be repeated, so it runs to its end.
            if (!run.dispatch.isIdempotent) return { state: "running", billedTokens: 0 };
            run.isBilledWhenStopped = bill === "generated";
            run.abort.abort();
            while (!run.isFinished) await sleep(host.timers, 5);
            return { state: "stopped", billedTokens: run.billedTokens };
        },
        stopOrphanedRuns() {
            dropOldest(cancelledIds, maxCancelledIds);
            dropOldest(startedIds, maxStartedIds);
            const nowMs = host.clock.nowMs();
            for (const run of runs.values()) {
                const { dispatch, stream } = run;
                const isUnread = stream.unreadSinceMs !== undefined && nowMs - stream.unreadSinceMs > orphanTimeoutMs;
                if (!run.isFinished && dispatch.isIdempotent && dispatch.idempotencyKey === undefined && isUnread) run.abort.abort();
                if (run.isFinished && streams.get(dispatch.requestId) === undefined) runs.delete(dispatch.requestId);
            }
        },
        hasSoloRun: () => listRunning().some(run => run.dispatch.isSolo),
        getRunningCount: () => listRunning().length,
        getReaderCount: () => [...runs.values()].reduce((sum, run) => sum + run.stream.readerCount, 0),
        getLoad() {
            const running = listRunning();
            const pending = running.filter(run => !run.hasProducedOutput);
            return {
                outstandingRequests: running.length,
                pendingTokens: pending.reduce((sum, run) => sum + run.dispatch.prefillTokens, 0),
            };
        },
        halt() {
            isHalted = true;
            for (const run of runs.values()) run.abort.abort();
        },
    };

    function listRunning(): readonly Run[] {
        return [...runs.values()].filter(run => !run.isFinished);
    }

    // Waits until no other request runs. The admission checks refuse all others meanwhile.
    async function waitUntilAlone(run: Run): Promise<void> {
        while (run.dispatch.isSolo && listRunning().length > 1 && !run.abort.signal.aborted) {
            await sleep(host.timers, soloPollIntervalMs, run.abort.signal);
        }
    }

    async function execute(run: Run, body: Uint8Array): Promise<void> {
        const { dispatch, stream } = run;
        if (dispatch.isSolo) await waitUntilAlone(run);
        const cancelDeadline = dispatch.isIdempotent
            ? host.timers.after(dispatch.timeoutMs, () => run.abort.abort())
            : () => undefined;
        const outcome = await adapter.run(dispatch, body, run.abort.signal, {
            head: (status, contentType) => void stream.push({ kind: "head", status, contentType }),
            chunk(data) {
                run.hasProducedOutput = true;
                return stream.push({ kind: "chunk", data });
            },
        }).catch((error: unknown): RunOutcome => ({ kind: "broken", detail: String(error) }));
        cancelDeadline();
        if (isHalted) return;
        await completeRun(run, dispatch.isTight ? replaceCappedOutcome(dispatch, outcome) : outcome);
    }

    async function completeRun(run: Run, outcome: RunOutcome): Promise<void> {
        const { stream } = run;
        settleBilling(run, outcome);
        if (outcome.kind === "finished") await stream.push({ kind: "end", ...outcome.usage });
        else await stream.push({ kind: "failed", verdict: toVerdict(outcome) });
    }

    function settleBilling(run: Run, outcome: RunOutcome): void {
        const attempt = getLeasedAttempt(run.dispatch);
        const usage = getBilledUsage(run, outcome);
        run.billedTokens = usage === undefined ? 0 : Math.min(getBilledTokens(usage), attempt?.reservedTokens ?? 0);
        run.isFinished = true;
        if (attempt !== undefined) counters.finish(attempt, run.billedTokens);
    }

    function getBilledUsage(run: Run, outcome: RunOutcome): TokenUsage | undefined {
        if (outcome.kind === "finished") return outcome.usage;
        return outcome.kind === "stopped" && run.isBilledWhenStopped ? outcome.usage : undefined;
    }

    function reverseBilling(run: Run): void {
        const attempt = getLeasedAttempt(run.dispatch);
        if (attempt !== undefined && run.billedTokens > 0) counters.reverseBilling(attempt, run.billedTokens);
        run.billedTokens = 0;
    }
}

// Called if the budget covered fewer tokens than the caller requested. A completion that reached that limit was truncated.
function replaceCappedOutcome(dispatch: Dispatch, outcome: RunOutcome): RunOutcome {
    const isCapped = outcome.kind === "finished" && outcome.usage.completionTokens >= dispatch.maxCompletionTokens;
    return isCapped ? { kind: "capped" } : outcome;
}

function dropOldest(ids: Set<string>, maxIds: number): void {
    for (const id of ids) {
        if (ids.size <= maxIds) return;
        ids.delete(id);
    }
}

function getLeasedAttempt(dispatch: Dispatch): LeasedAttempt | undefined {
    if (dispatch.lease === undefined) return undefined;
    const { requestId, clientAccount, idempotencyKey } = dispatch;
    return { ...dispatch.lease, requestId, clientAccount, idempotencyKey };
}

/** Verdict for the caller of a run that did not finish. */
function toVerdict(outcome: Exclude<RunOutcome, { kind: "finished"; }>): Verdict {
    switch (outcome.kind) {
        case "notRun":
            return createVerdict("notRun", "backendServerRefused");
        case "refused":
            return createVerdict("notRun", "backendServerRefused", outcome.detail);
        case "broken":
            return createVerdict("mayHaveRun", "backendServerCrashed");
        case "capped":
            return createVerdict("mayHaveRun", "budgetExhausted", "The answer would have been longer than the rest of the budget covers.");
        case "stopped":
            return createVerdict("mayHaveRun", "deadlineExceeded", "The request was stopped before it finished.");
    }
}

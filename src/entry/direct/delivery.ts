/**
 * Serves one request: chooses backend servers, makes attempts and decides which failures are retried. This is
 * the only place where direct dispatches are retried.
 */
import VError from "verror";
import type { HeldBytes } from "../../kernel/heldBytes.js";
import type { BackendConnections, Host, HttpResponse, Logger } from "../../kernel/host.js";
import { createVerdict } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import type { Reservation } from "../budgets/leaseTypes.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import { runAttempt } from "./attempt.js";
import type { AttemptOutcome, BufferedAnswer, StreamSink } from "./attempt.js";
import { getTraceFields } from "./attemptTrace.js";
import type { AttemptTrace } from "./attemptTrace.js";
import type { CrashGuard } from "./crashGuard.js";
import type { LoadExchange } from "./loadExchange.js";
import type { LoadTracker } from "./loadTracker.js";
import { choosePlacement } from "./placement.js";
import type { Placement } from "./placement.js";
import type { RetryWindow } from "./retryWindow.js";
import { chooseServers } from "./serverChoice.js";
import type { ServerChoice } from "./serverChoice.js";
import type { ServerLimits } from "./serverLimits.js";
import type { ServerNotices } from "./serverNotices.js";
import { createServerReports } from "./serverReports.js";
import type { ServerView } from "./serverView.js";
import type { StreamOrigins } from "./streamOrigins.js";
import { isRepeatable } from "./types.js";
import type { DirectCall, DirectProtocol, Headers } from "./types.js";

/** Options of a delivery. */
export interface DeliveryOptions {
    readonly protocol: DirectProtocol;
    readonly connections: BackendConnections;
    readonly servers: ServerView;
    readonly configuration: Pick<NodeConfiguration, "isEvacuated">;
    readonly loads: LoadTracker;
    readonly serverLimits: ServerLimits;
    readonly serverNotices: ServerNotices;
    readonly loadExchange: Pick<LoadExchange, "recordDispatch" | "recordLimitChange">;
    readonly retryWindow: RetryWindow;
    readonly streamOrigins: Pick<StreamOrigins, "record" | "confirm">;
    readonly crashGuard: CrashGuard;
    /** Counts what is held of all answers. */
    readonly heldAnswers: HeldBytes;
    readonly log: Logger;
    /** Headers that are added to every answer. */
    readonly getAnswerHeaders: () => Headers;
    /** What delivered events count against. Absent for a request without a budget. */
    readonly use?: EventUse;
}

/** Counts delivered events against a reservation. */
export interface EventUse {
    readonly reservation: Pick<Reservation, "reservedTokens" | "tryUse" | "use">;
    /** Undefined where it is not known. A single event then uses the whole reservation. */
    readonly tokensPerEvent: number | undefined;
}

/** Result of serving a request. */
export interface DeliveryResult {
    /** Absent when an answer was written to the end. */
    readonly verdict?: Verdict;
    /** True when any backend server may have run the request. */
    readonly mayHaveRun: boolean;
    /** True when a backend server started to answer. */
    readonly hasAnswered: boolean;
    /** Time at which a backend server first started to answer. */
    readonly answeredAtMs?: number;
    readonly deliveredEvents: number;
    /** Number of dispatches made, including those that were refused. */
    readonly attempts: number;
    /** Last placement, for the log. */
    readonly placement?: Placement;
    /** What the attempts without an answer did, in their order, for the log. */
    readonly failedAttempts: readonly AttemptTrace[];
    /** Status of the backend server's answer that was written. */
    readonly answerStatus?: number;
}

interface Progress {
    readonly triedServers: Set<string>;
    /** Attempts whose connection broke, so that the backend server may have crashed. */
    brokenAttempts: number;
    /** Attempts that may have run the request. Only these count against the route's `maxAttempts`. */
    possibleRuns: number;
    answeredAtMs: number | undefined;
    placement: Placement | undefined;
    readonly failedAttempts: AttemptTrace[];
    answerStatus: number | undefined;
    dispatches: number;
    /** True when a dispatch has reached a backend server, so that another one adds to the load. */
    hasReachedServer: boolean;
    deliveredEvents: number;
    lastEventId: string | undefined;
    streamContentType: string | undefined;
    /** Software version that the stream goes on with. Undefined until its first event. */
    softwareVersion: string | undefined;
    /** Servers that have another version than their records say. */
    otherServers: ReadonlySet<string> | undefined;
    /** Resolves when the first event of a stream may be delivered. Undefined if there is nothing to wait for. */
    originRecorded: Promise<void> | undefined;
    /** Last complete error answer, which is returned when no later attempt succeeds and no stream has begun. */
    failedAnswer: BufferedAnswer | undefined;
    verdict: Verdict;
}

/** Maximum number of dispatches of one request, including those that were refused. */
const maxDispatches = 4;
/** A request that broke off at this many backend servers may have crashed them, and is not sent to another one. */
const maxBrokenAttempts = 2;
/** No attempt is made when less than this time is left before the deadline. */
const minAttemptMs = 20;
/** A wait of events for a higher usage ceiling is logged from this time on. */
const slowUseMs = 500;
/** Base and random spread of the time after which a caller may retry. */
const retryAfterMs = { base: 250, spread: 500 } as const;

/** Serves a request. Writes the answer, unless it returns a verdict and `response` has not started. */
export async function deliver(host: Host, call: DirectCall, response: HttpResponse, options: DeliveryOptions): Promise<DeliveryResult> {
    const progress: Progress = {
        triedServers: new Set(),
        brokenAttempts: 0,
        possibleRuns: 0,
        answeredAtMs: undefined,
        placement: undefined,
        failedAttempts: [],
        answerStatus: undefined,
        dispatches: 0,
        hasReachedServer: false,
        deliveredEvents: 0,
        lastEventId: undefined,
        streamContentType: undefined,
        softwareVersion: call.softwareVersion,
        otherServers: call.otherServers,
        originRecorded: undefined,
        failedAnswer: undefined,
        verdict: createVerdict("notRun", "noBackendServer", undefined, getRetryAfterMs()),
    };
    const sink = createSink();
    const { use } = options;
    const usedTokensPerEvent = use?.tokensPerEvent ?? use?.reservation.reservedTokens ?? 0;
    const crashWatch = options.crashGuard.watch(call);
    const reports = createServerReports(host, options, call.head.requestId);
    options.retryWindow.recordRequest(call.pool, host.clock.nowMs());
    try {
        return await makeAttempts();
    }
    finally {
        keepFailedAnswer(undefined);
    }

    async function makeAttempts(): Promise<DeliveryResult> {
        for (;;) {
            await confirmVersion();
            // The caller may have disconnected while the request waited.
            if (call.request.signal.aborted) break;
            if (!hasTimeForAttempt()) {
                progress.verdict = createVerdict("notRun", "overloaded", "No time is left for an attempt.");
                break;
            }
            const heldBackMs = call.isTrial === true ? undefined : options.crashGuard.getHeldBackMs(call);
            if (heldBackMs !== undefined) {
                progress.verdict = createVerdict("notRun", "heldBack", undefined, heldBackMs);
                break;
            }
            const placement = choosePlacementForCall();
            if (placement === undefined) break;
            const outcome = await makeAttempt(placement);
            if (outcome.kind === "streamed") {
                crashWatch.end("succeeded");
                response.end();
                return createResult(undefined);
            }
            if (outcome.kind === "answer") {
                const isFinal = outcome.answer.status < 500 || !isRepeatable(call.route);
                if (isFinal && !response.hasStarted) {
                    crashWatch.end(outcome.answer.status < 300 ? "succeeded" : "failed");
                    return writeAnswer(outcome.answer);
                }
                keepFailedAnswer(outcome.answer);
                progress.verdict = createVerdict("ran", "backendServerFailed");
                if (isFinal) break;
            }
            else progress.verdict = outcome.verdict;
            if (!mayRetry()) break;
        }
        crashWatch.end("failed");
        if (progress.failedAnswer !== undefined && !response.hasStarted) return writeAnswer(progress.failedAnswer);
        if (response.hasStarted) response.abort();
        return createResult(toFinalVerdict());
    }

    function keepFailedAnswer(answer: BufferedAnswer | undefined): void {
        progress.failedAnswer?.held.release();
        progress.failedAnswer = answer;
    }

    // Before a stream goes on in the same answer, control tells which servers have started again at another version.
    async function confirmVersion(): Promise<void> {
        if (progress.deliveredEvents === 0 || progress.softwareVersion === undefined) return;
        const { softwareVersion } = progress;
        progress.otherServers = (await options.streamOrigins.confirm({ pool: call.pool, softwareVersion })).otherServers;
    }

    function choosePlacementForCall(): Placement | undefined {
        const nowMs = host.clock.nowMs();
        const { serverLimits: limits, serverNotices: notices, configuration: { isEvacuated } } = options;
        const pool = options.servers.listPool(call.pool);
        const choice = chooseServers(pool, progress, { limits, notices, isEvacuated }, nowMs);
        limits.countHeldBack(pool, nowMs);
        if (choice.kind !== "open") {
            if (progress.dispatches === 0) progress.verdict = createNoServerVerdict(choice);
            return undefined;
        }
        const candidates = choice.servers.map(server => ({ server, tracked: options.loads.get(server.backendServer) }));
        const request = { promptTokens: call.head.generation?.promptTokens ?? 0, promptParts: call.head.promptParts };
        return choosePlacement(request, candidates, nowMs, host.random.nextFloat());
    }

    function createNoServerVerdict(choice: Exclude<ServerChoice, { kind: "open"; }>): Verdict {
        switch (choice.kind) {
            case "none":
                return createVerdict("notRun", "noBackendServer", undefined, getRetryAfterMs());
            case "versionGone":
                return createVerdict("notRun", "streamVersionGone", `Version ${progress.softwareVersion}.`, getRetryAfterMs());
            case "evacuated":
                return createVerdict("notRun", "poolEvacuated", undefined, getRetryAfterMs());
            case "limited":
                return createVerdict("notRun", "serversLimited", undefined, choice.fleetWaitMs + getRetryAfterMs());
        }
    }

    async function makeAttempt(placement: Placement): Promise<AttemptOutcome> {
        const { server } = placement;
        const nowMs = host.clock.nowMs();
        progress.triedServers.add(server.backendServer);
        progress.dispatches++;
        progress.placement = placement;
        options.serverLimits.recordDispatch(server.backendServer, nowMs);
        if (call.route.repeat === "resumableStream" && progress.softwareVersion === undefined) {
            const { pool, softwareVersion } = server;
            const target = { host: call.head.host, path: call.request.path };
            const record = { requestId: call.head.requestId, pool, softwareVersion, attempt: progress.dispatches };
            progress.originRecorded = options.streamOrigins.record(record, target);
        }
        const dispatch = options.loads.begin(server.backendServer, placement, call.head.promptParts, nowMs);
        options.loadExchange.recordDispatch(server.backendServer, placement.prefillTokens, call.head.promptParts.map(part => part.partId));
        const eventsBefore = progress.deliveredEvents;
        const outcome = await runAttempt(host, call, {
            protocol: options.protocol,
            connections: options.connections,
            server,
            sink,
            heldAnswers: options.heldAnswers,
            log: options.log,
            enginePriority: call.head.generation === undefined ? undefined : getEnginePriority(call.priority),
            onLoad: load => options.loads.recordLoad(server.backendServer, load, host.clock.nowMs()),
            onReplyHead: head => reports.recordHead(server, head, nowMs),
            onStarted: () => {
                options.loads.recordResponseStart(server.backendServer, dispatch, host.clock.nowMs());
                progress.answeredAtMs ??= host.clock.nowMs();
            },
            onSurplus: () => reports.recordSurplus(server),
        });
        const end = outcome.kind === "failed" ? outcome.end : outcome.kind === "answer" && outcome.answer.status >= 500 ? "failed" : "good";
        options.loads.end(server.backendServer, dispatch, end, host.clock.nowMs());
        if (outcome.kind !== "failed" || outcome.verdict.kind !== "notRun") progress.possibleRuns++;
        if (outcome.kind !== "failed" || outcome.isSent) progress.hasReachedServer = true;
        if (outcome.kind === "failed") {
            progress.failedAttempts.push(outcome.trace);
            logFailure(placement, outcome.verdict, outcome.trace);
        }
        if (end === "unreachable" || end === "broken") {
            options.serverLimits.recordBrokenConnection(server.backendServer, host.clock.nowMs());
        }
        if (end === "broken") {
            progress.brokenAttempts++;
            crashWatch.recordBreak(server, progress.deliveredEvents - eventsBefore);
        }
        if (outcome.kind === "answer" && end === "failed") {
            logFailure(placement, createVerdict("ran", "backendServerFailed", `status ${outcome.answer.status}`), outcome.trace);
        }
        return outcome;
    }

    function logFailure(placement: Placement, verdict: Verdict, trace: AttemptTrace): void {
        options.log.info("An attempt failed.", {
            requestId: call.head.requestId,
            route: call.route.name,
            backendServer: placement.server.backendServer,
            address: placement.server.address,
            verdict: verdict.kind,
            code: verdict.code,
            detail: verdict.detail,
            ...getTraceFields(trace),
            expectedStartMs: Math.round(placement.expectedStartMs),
            leftMs: Math.round(call.deadlineMs - host.clock.nowMs()),
            events: progress.deliveredEvents,
        });
    }

    function hasTimeForAttempt(): boolean {
        return !call.endSignal.aborted && call.deadlineMs - host.clock.nowMs() >= minAttemptMs;
    }

    function mayRetry(): boolean {
        const nowMs = host.clock.nowMs();
        if (call.request.signal.aborted || !hasTimeForAttempt()) return false;
        if (progress.dispatches >= maxDispatches) return false;
        if (progress.verdict.kind !== "notRun" && !isRepeatable(call.route)) return false;
        if (progress.possibleRuns >= call.route.maxAttempts) return false;
        // A trial shows what the request does to one backend server, whatever that server answers.
        if (call.isTrial === true && progress.hasReachedServer) return false;
        if (progress.brokenAttempts >= maxBrokenAttempts) return false;
        // A stream that has started can be resumed at another server only when the id of its last event is known.
        if (progress.deliveredEvents > 0 && progress.lastEventId === undefined) return false;
        return !progress.hasReachedServer || options.retryWindow.tryAcquire(call.pool, nowMs);
    }

    // When any attempt may have run, the verdict cannot be that the request did not run.
    function toFinalVerdict(): Verdict {
        if (progress.possibleRuns > 0 && progress.verdict.kind === "notRun") return createVerdict("mayHaveRun", "outcomeUnknown");
        const { kind, code, detail, retryAfterMs } = progress.verdict;
        return kind === "notRun" ? createVerdict(kind, code, detail, retryAfterMs ?? getRetryAfterMs()) : progress.verdict;
    }

    function getRetryAfterMs(): number {
        return retryAfterMs.base + host.random.nextFloat() * retryAfterMs.spread;
    }

    async function writeAnswer(answer: BufferedAnswer): Promise<DeliveryResult> {
        progress.answerStatus = answer.status;
        const headers = { ...answer.headers, ...options.getAnswerHeaders() };
        if (answer.isCloseDelimited) response.start(answer.status, headers, true);
        else response.start(answer.status, { ...headers, "content-length": String(answer.body.length) });
        // A caller that does not read its answer must not keep room from the answers of others.
        answer.held.allowEnd(() => response.abort(), answerReceivers);
        try {
            if (answer.body.length > 0 && call.request.method !== "HEAD") await response.write(answer.body);
        }
        finally {
            answer.held.release();
        }
        response.end();
        return createResult(undefined);
    }

    function createResult(verdict: Verdict | undefined): DeliveryResult {
        const { possibleRuns, answeredAtMs, deliveredEvents, dispatches, placement, failedAttempts, answerStatus } = progress;
        return {
            verdict,
            mayHaveRun: possibleRuns > 0,
            hasAnswered: answeredAtMs !== undefined,
            answeredAtMs,
            deliveredEvents,
            attempts: dispatches,
            placement,
            failedAttempts,
            answerStatus,
        };
    }

    function createSink(): StreamSink {
        return {
            get hasStarted() {
                return response.hasStarted;
            },
            get contentType() {
                return progress.streamContentType;
            },
            get lastEventId() {
                return progress.lastEventId;
            },
            start(status, headers, isCloseDelimited) {
                progress.streamContentType = headers["content-type"];
                response.start(status, { ...headers, ...options.getAnswerHeaders() }, isCloseDelimited);
            },
            write(data, eventCount, lastEventId) {
                if (eventCount === 0) return writeData(data, eventCount, lastEventId);
                if (progress.originRecorded === undefined) return writeEvents(data, eventCount, lastEventId);
                return progress.originRecorded.then(() => {
                    // The record may have taken longer than the caller waits.
                    if (host.clock.nowMs() >= call.deadlineMs) {
                        throw new VError("the origin of the stream was not recorded before the deadline");
                    }
                    progress.originRecorded = undefined;
                    return writeEvents(data, eventCount, lastEventId);
                });
            },
        };
    }

    function writeEvents(data: Uint8Array, eventCount: number, lastEventId: string | undefined): Promise<void> | undefined {
        progress.softwareVersion ??= progress.placement?.server.softwareVersion;
        if (use === undefined || use.reservation.tryUse(eventCount * usedTokensPerEvent)) return writeData(data, eventCount, lastEventId);
        return waitToUse(use, eventCount).then(() => writeData(data, eventCount, lastEventId));
    }

    function writeData(data: Uint8Array, eventCount: number, lastEventId: string | undefined): Promise<void> | undefined {
        progress.deliveredEvents += eventCount;
        progress.lastEventId = lastEventId;
        return response.write(data);
    }

    async function waitToUse({ reservation }: EventUse, eventCount: number): Promise<void> {
        const startedAtMs = host.clock.nowMs();
        await reservation.use(eventCount * usedTokensPerEvent, { deadlineMs: call.deadlineMs, signal: call.request.signal });
        const waitedMs = Math.round(host.clock.nowMs() - startedAtMs);
        if (waitedMs >= slowUseMs) {
            options.log.info("Events waited for a higher usage ceiling.", { requestId: call.head.requestId, waitedMs });
        }
    }

    function getEnginePriority(priority: number): number {
        return Math.min(maxEnginePriority, priority);
    }
}

const maxEnginePriority = 9;
/** Answers that wait for their callers count together, apart from those that are still read from a backend server. */
const answerReceivers = "callers";

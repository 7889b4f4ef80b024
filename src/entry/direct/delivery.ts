/**
 * Brings one call to an answer: chooses backend servers, makes attempts and decides which failures are tried again. This is
 * the only place that repeats a direct dispatch.
 */
import type { BackendConnections, Host, HttpResponse, Logger } from "../../kernel/host.js";
import { createVerdict } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { runAttempt } from "./attempt.js";
import type { AttemptOutcome, StreamSink, WholeAnswer } from "./attempt.js";
import type { LoadExchange } from "./loadExchange.js";
import type { LoadTracker } from "./loadTracker.js";
import { place } from "./placement.js";
import type { Placement } from "./placement.js";
import type { RetryWindow } from "./retryWindow.js";
import type { ServerView } from "./serverView.js";
import { isRepeatable } from "./types.js";
import type { DirectCall, DirectProtocol, Headers } from "./types.js";

/** What a delivery works with. */
export interface DeliveryOptions {
    readonly protocol: DirectProtocol;
    readonly connections: BackendConnections;
    readonly servers: ServerView;
    readonly loads: LoadTracker;
    readonly exchange: Pick<LoadExchange, "noteDispatch">;
    readonly retries: RetryWindow;
    readonly log: Logger;
    /** Headers that every answer gets besides its own. */
    readonly getAnswerHeaders: () => Headers;
}

/** What became of a call. */
export interface Delivery {
    /** Absent when the answer was written. */
    readonly verdict?: Verdict;
    /** True when the call may have run anywhere. */
    readonly mayHaveRun: boolean;
    /** True when a backend server began to answer. */
    readonly hasAnswered: boolean;
    /** When a backend server began to answer. */
    readonly answeredAtMs?: number;
    readonly deliveredEvents: number;
    readonly attempts: number;
    /** The last choice, for the log. */
    readonly placement?: Placement;
}

interface Progress {
    readonly tried: Set<string>;
    /** Attempts that may have run, which count against the route's bound. */
    runs: number;
    answeredAtMs: number | undefined;
    placement: Placement | undefined;
    dispatches: number;
    deliveredEvents: number;
    lastEventId: string | undefined;
    /** The last whole answer that was a failure, kept in case no other attempt does better. */
    failure: WholeAnswer | undefined;
    verdict: Verdict;
}

/** Dispatches that one call may make at most, those that were refused included. */
const maxDispatches = 4;
/** No new attempt is made when less than this is left. */
const minAttemptMs = 20;
const retryAfterMs = { first: 250, spread: 500 } as const;

/** Delivers a call. The answer is written here, except where a verdict is returned and nothing has been written. */
export async function deliver(host: Host, call: DirectCall, response: HttpResponse, options: DeliveryOptions): Promise<Delivery> {
    const progress: Progress = {
        tried: new Set(),
        runs: 0,
        answeredAtMs: undefined,
        placement: undefined,
        dispatches: 0,
        deliveredEvents: 0,
        lastEventId: undefined,
        failure: undefined,
        verdict: createVerdict("notRun", "noBackendServer", undefined, getRetryAfterMs()),
    };
    const sink = createSink();
    options.retries.noteRequest(call.pool, host.clock.nowMs());
    // The caller may have left while the call waited.
    while (!call.request.signal.aborted) {
        const placement = choose();
        if (placement === undefined) break;
        const outcome = await attempt(placement);
        if (outcome.kind === "streamed") {
            response.end();
            return createDelivery(undefined);
        }
        if (outcome.kind === "answer" && (outcome.answer.status < 500 || !isRepeatable(call.route))) return writeAnswer(outcome.answer);
        if (outcome.kind === "answer") {
            progress.failure = outcome.answer;
            progress.verdict = createVerdict("ran", "backendServerFailed");
        }
        else progress.verdict = outcome.verdict;
        if (!mayTryAgain()) break;
    }
    if (progress.failure !== undefined && !response.hasStarted) return writeAnswer(progress.failure);
    if (response.hasStarted) response.abort();
    return createDelivery(toFinalVerdict());

    function choose(): Placement | undefined {
        const candidates = options.servers.listPool(call.pool)
            .filter(server => !progress.tried.has(server.backendServer))
            .map(server => ({ server, facts: options.loads.get(server.backendServer) }));
        const request = { promptTokens: call.head.generation?.promptTokens ?? 0, promptParts: call.head.promptParts };
        return place(request, candidates, host.clock.nowMs(), host.random.nextFloat());
    }

    async function attempt(placement: Placement): Promise<AttemptOutcome> {
        const { server } = placement;
        const nowMs = host.clock.nowMs();
        progress.tried.add(server.backendServer);
        progress.dispatches++;
        progress.placement = placement;
        const dispatch = options.loads.begin(server.backendServer, placement, call.head.promptParts, nowMs);
        options.exchange.noteDispatch(server.backendServer, placement.readTokens, call.head.promptParts.map(part => part.partId));
        const outcome = await runAttempt(host, call, {
            protocol: options.protocol,
            connections: options.connections,
            server,
            sink,
            enginePriority: call.head.generation === undefined ? undefined : getEnginePriority(call.priority),
            onLoad: load => options.loads.noteLoad(server.backendServer, load, host.clock.nowMs()),
            onStarted: () => {
                options.loads.noteStarted(server.backendServer, dispatch, host.clock.nowMs());
                progress.answeredAtMs ??= host.clock.nowMs();
            },
        });
        const end = outcome.kind === "failed" ? outcome.end : outcome.kind === "answer" && outcome.answer.status >= 500 ? "failed" : "good";
        options.loads.end(server.backendServer, dispatch, end, host.clock.nowMs());
        if (outcome.kind !== "failed" || outcome.verdict.kind !== "notRun") progress.runs++;
        if (outcome.kind === "failed") logFailure(placement, outcome.verdict);
        if (outcome.kind === "answer" && end === "failed") {
            logFailure(placement, createVerdict("ran", "backendServerFailed", `status ${outcome.answer.status}`));
        }
        return outcome;
    }

    function logFailure(placement: Placement, verdict: Verdict): void {
        options.log.info("An attempt failed.", {
            requestId: call.head.requestId,
            route: call.route.name,
            backendServer: placement.server.backendServer,
            address: placement.server.address,
            verdict: verdict.kind,
            code: verdict.code,
            detail: verdict.detail,
            expectedStartMs: Math.round(placement.expectedStartMs),
            leftMs: Math.round(call.deadlineAtMs - host.clock.nowMs()),
            events: progress.deliveredEvents,
        });
    }

    function mayTryAgain(): boolean {
        const nowMs = host.clock.nowMs();
        if (call.request.signal.aborted || call.deadlineAtMs - nowMs < minAttemptMs) return false;
        if (progress.dispatches >= maxDispatches) return false;
        if (progress.verdict.kind !== "notRun" && !isRepeatable(call.route)) return false;
        if (progress.runs >= call.route.maxAttempts) return false;
        // A stream that has begun goes on elsewhere only where its last event is known.
        if (progress.deliveredEvents > 0 && progress.lastEventId === undefined) return false;
        return options.retries.tryTake(call.pool, nowMs);
    }

    // Once anything may have run, the call as a whole may have.
    function toFinalVerdict(): Verdict {
        if (progress.runs > 0 && progress.verdict.kind === "notRun") return createVerdict("mayHaveRun", "outcomeUnknown");
        const { kind, code, detail } = progress.verdict;
        return kind === "notRun" ? createVerdict(kind, code, detail, getRetryAfterMs()) : progress.verdict;
    }

    function getRetryAfterMs(): number {
        return retryAfterMs.first + host.random.nextFloat() * retryAfterMs.spread;
    }

    async function writeAnswer(answer: WholeAnswer): Promise<Delivery> {
        const headers = { ...answer.headers, ...options.getAnswerHeaders() };
        if (answer.isUnframed) response.start(answer.status, headers, true);
        else response.start(answer.status, { ...headers, "content-length": String(answer.body.length) });
        if (answer.body.length > 0 && call.request.method !== "HEAD") await response.write(answer.body);
        response.end();
        return createDelivery(undefined);
    }

    function createDelivery(verdict: Verdict | undefined): Delivery {
        const { runs, answeredAtMs, deliveredEvents, dispatches, placement } = progress;
        return {
            verdict,
            mayHaveRun: runs > 0,
            hasAnswered: answeredAtMs !== undefined,
            answeredAtMs,
            deliveredEvents,
            attempts: dispatches,
            placement,
        };
    }

    function createSink(): StreamSink {
        return {
            get hasStarted() {
                return response.hasStarted;
            },
            get lastEventId() {
                return progress.lastEventId;
            },
            start: (status, headers, isUnframed) => response.start(status, { ...headers, ...options.getAnswerHeaders() }, isUnframed),
            async write(data, eventCount, lastEventId) {
                progress.deliveredEvents += eventCount;
                progress.lastEventId = lastEventId;
                await response.write(data);
            },
        };
    }

    function getEnginePriority(priority: number): number {
        return Math.min(maxEnginePriority, priority);
    }
}

const maxEnginePriority = 9;

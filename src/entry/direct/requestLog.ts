/** One log line for the end of each request, with what decided it, and the counters that go with it. */
import type { Host, HttpRequest } from "../../kernel/host.js";
import type { Verdict } from "../../kernel/verdict.js";
import type { EntryStatistics } from "../statistics.js";
import type { AttemptTrace } from "./attemptTrace.js";
import { getReservationTokens } from "./billing.js";
import type { DeliveryResult } from "./delivery.js";
import type { DirectCall } from "./types.js";

/** A request that ended before it was known what it asks, or that was refused. */
export interface EndedRequest {
    readonly request: HttpRequest;
    /** Absent if the request could not be read. */
    readonly requestId: string | undefined;
    readonly arrivedAtMs: number;
    /** What attempts did before the request ended. Absent if none was made. */
    readonly failedAttempts?: readonly AttemptTrace[];
}

/** Records the ends of requests. */
export interface RequestLog {
    recordCompletion(call: DirectCall, delivery: DeliveryResult, billedTokens: number, reservedAtMs: number): void;
    recordDisconnect(ended: EndedRequest): void;
    recordRefusal(ended: EndedRequest, verdict: Verdict): void;
}

/** Options of a log. */
export interface RequestLogOptions {
    readonly statistics: EntryStatistics;
    /** Version of the configuration in force. */
    readonly getVersion: () => number;
    /** Time since control last confirmed the configuration in force. */
    readonly getConfigurationAgeMs: () => number;
}

/** Creates a log of requests. */
export function createRequestLog(host: Host, options: RequestLogOptions): RequestLog {
    const log = host.createLogger("gateway");
    const { statistics, getVersion, getConfigurationAgeMs } = options;
    return {
        recordCompletion(call, delivery, billedTokens, reservedAtMs) {
            const { generation } = call.head;
            const tookMs = host.clock.nowMs() - call.arrivedAtMs;
            for (let attempt = 0; attempt < delivery.attempts; attempt++) statistics.recordDispatch();
            for (let attempt = 1; attempt < delivery.attempts; attempt++) statistics.recordRetry();
            if (delivery.verdict === undefined) statistics.recordAnswer("interactive", tookMs);
            log.info("A request ended.", {
                requestId: call.head.requestId,
                route: call.route.name,
                account: call.account?.name,
                outcome: delivery.verdict?.code ?? "answered",
                status: delivery.answerStatus,
                failedAttempts: summarizeAttempts(delivery.failedAttempts),
                attempts: delivery.attempts,
                events: delivery.deliveredEvents,
                billedTokens,
                reservedTokens: generation === undefined ? 0 : getReservationTokens(generation),
                version: getVersion(),
                backendServer: delivery.placement?.server.backendServer,
                readTokens: delivery.placement?.prefillTokens,
                aheadTokens: roundOptional(delivery.placement?.queuedTokens),
                expectedStartMs: roundOptional(delivery.placement?.expectedStartMs),
                connectionAgeMs: Math.round(call.request.connectionAgeMs),
                waitedMs: Math.round(call.request.waitedMs),
                reservedAfterMs: Math.round(reservedAtMs - call.arrivedAtMs),
                answeredAfterMs: roundOptional(delivery.answeredAtMs === undefined ? undefined : delivery.answeredAtMs - call.arrivedAtMs),
                tookMs: Math.round(tookMs),
            });
        },
        recordDisconnect({ request, requestId, arrivedAtMs }) {
            statistics.recordAbandoned();
            log.info("The caller disconnected before the answer.", {
                requestId,
                path: request.path,
                connectionAgeMs: Math.round(request.connectionAgeMs),
                waitedMs: Math.round(request.waitedMs),
                tookMs: Math.round(host.clock.nowMs() - arrivedAtMs),
            });
        },
        recordRefusal({ request, requestId, arrivedAtMs, failedAttempts }, verdict) {
            statistics.recordRefusal(verdict.code);
            log.info("A request was refused.", {
                requestId,
                path: request.path,
                verdict: verdict.kind,
                code: verdict.code,
                detail: verdict.detail,
                failedAttempts: summarizeAttempts(failedAttempts),
                retryAfterMs: roundOptional(verdict.retryAfterMs),
                version: getVersion(),
                configurationAgeMs: Math.round(getConfigurationAgeMs()),
                tookMs: Math.round(host.clock.nowMs() - arrivedAtMs),
            });
        },
    };
}

/** One word for each attempt: what shows that it has not run the request or, without such evidence, how far it got. */
function summarizeAttempts(traces: readonly AttemptTrace[] = []): string | undefined {
    if (traces.length === 0) return undefined;
    return traces.map(trace => trace.notRunEvidence ?? trace.stage).join(" ");
}

function roundOptional(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}

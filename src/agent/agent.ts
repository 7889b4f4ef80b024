/**
 * The agent runs next to one backend server. It admits dispatches, buffers responses, counts the use of leases, reports load
 * and carries out orders.
 */
import { createAgentRouter } from "../kernel/contracts.js";
import type { AgentApi } from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import { messages } from "../kernel/diagnostics.js";
import type { MessageCode } from "../kernel/diagnostics.js";
import type { Host, HttpRequest, HttpResponse } from "../kernel/host.js";
import { agentLoadHeader, dispatchSchema } from "../kernel/messages.js";
import type { AgentAnnouncement, AgentLoad, AgentRefusal, Dispatch, Frame } from "../kernel/messages.js";
import { decodePathSegment } from "../kernel/pathSegment.js";
import { createStopController, runPeriodically, sleep } from "../kernel/tasks.js";
import { findRefusal } from "./admission.js";
import type { AdmissionState } from "./admission.js";
import { createLeaseCounters } from "./leaseCounters.js";
import { createReporter } from "./reporter.js";
import { createRunner } from "./runner.js";
import { createStreamBuffer } from "./streams.js";
import type { BackendServerAdapter } from "./types.js";

/** Options of an agent. */
export interface AgentOptions {
    readonly announcement: AgentAnnouncement;
    readonly adapter: BackendServerAdapter;
    readonly control: ControlClient;
    /** Size of the response buffer above which finished responses are dropped before their retention has passed. */
    readonly maxBufferBytes?: number;
    /** Authenticates a request from an entry. Omitted if the host's network already does so. */
    readonly isAuthentic?: (request: HttpRequest) => boolean;
}

/** A running agent. */
export interface Agent {
    readonly router: ReturnType<typeof createAgentRouter>;
    readonly api: AgentApi;
    readonly incarnation: string;
    /** Serves dispatches and resumed streams. */
    handle(request: HttpRequest, response: HttpResponse): Promise<void>;
    start(): void;
    isReady(): boolean;
    getRunningCount(): number;
    /** Refuses new work immediately, waits for the running requests and their readers, reports to control, then stops. */
    stop(): Promise<void>;
    /** Stops immediately and reports nothing, as in a crash. */
    halt(): void;
}

const defaultMaxBufferBytes = 64 * 1024 * 1024;
const maxUnreadFrames = 256;
const evictionIntervalMs = 1_000;
/** Requests beyond `maxConcurrent` that the agent accepts for each concurrent one, to queue at the backend server. */
const queuedRequestsPerSlot = 2;
const leaveTimeoutMs = 5_000;
const drainPollIntervalMs = 50;

/** Creates an agent. It refuses dispatches until control has acknowledged its announcement. */
export function createAgent(host: Host, options: AgentOptions): Agent {
    const { announcement, control } = options;
    const { incarnation } = announcement;
    const log = host.createLogger("agent");
    const stopController = createStopController();
    const streams = createStreamBuffer(host, { maxBytes: options.maxBufferBytes ?? defaultMaxBufferBytes, maxUnreadFrames });
    const counters = createLeaseCounters();
    const runner = createRunner(host, { adapter: options.adapter, streams, counters });
    const reporter = createReporter(host, {
        announcement,
        adapter: options.adapter,
        control,
        counters,
        runner,
        stopSignal: stopController.signal,
    });
    let isStopping = false;

    const admissionState: AdmissionState = {
        incarnation,
        get isAnnounced() {
            return reporter.isAnnounced();
        },
        get isStopping() {
            return isStopping;
        },
        get isDraining() {
            return reporter.isDraining();
        },
        get isHealthy() {
            return reporter.isHealthy();
        },
        get runningRequests() {
            return runner.getRunningCount();
        },
        get isReservedForSoloRun() {
            return runner.hasSoloRun();
        },
        maxOutstandingRequests: announcement.maxConcurrent * (1 + queuedRequestsPerSlot),
        time: control.time,
        counters,
        hasRequest: requestId => streams.get(requestId) !== undefined || runner.isStartBlocked(requestId),
    };

    const api: AgentApi = {
        async closeLeases(request) {
            if (request.incarnation !== incarnation) return { kind: "otherIncarnation", incarnation };
            for (const leaseId of request.leaseIds) counters.close(leaseId);
            return { kind: "closed", uses: request.leaseIds.map(counters.getUse) };
        },
        async cancel(request) {
            if ((request.incarnation ?? incarnation) !== incarnation) return { state: "otherIncarnation", billedTokens: 0 };
            return runner.cancel(request);
        },
        async countTokens({ body }) {
            return { promptTokens: await options.adapter.countPromptTokens(body).catch(() => undefined) };
        },
    };

    return {
        api,
        router: createAgentRouter(api),
        incarnation,
        handle,
        start() {
            reporter.start();
            void runPeriodically(host.timers, evictionIntervalMs, stopController.signal, async () => {
                streams.evictExpired();
                runner.stopOrphanedRuns();
            }, () => undefined);
        },
        isReady: () => reporter.isAnnounced() && reporter.isHealthy() && !isStopping,
        getRunningCount: () => runner.getRunningCount(),
        async stop() {
            isStopping = true;
            reporter.setLeaving();
            while (runner.getRunningCount() > 0 || runner.getReaderCount() > 0) await sleep(host.timers, drainPollIntervalMs);
            await control.submit("fleet.leave", { incarnation, uses: [...counters.listUses()] }, { timeoutMs: leaveTimeoutMs });
            stopController.abort();
            log.info("The agent has drained and stops.");
        },
        halt() {
            isStopping = true;
            stopController.abort();
            runner.halt();
        },
    };

    async function handle(request: HttpRequest, response: HttpResponse): Promise<void> {
        const url = new URL(request.path, "http://agent");
        if (options.isAuthentic?.(request) === false) {
            return refuse(response, 401, { code: "unauthenticated", detail: messages.unauthenticated.text });
        }
        if (request.method === "POST" && url.pathname === "/dispatch") return handleDispatch(request, response);
        if (request.method === "GET" && url.pathname.startsWith("/streams/")) return handleResume(url, request, response);
        return refuse(response, 404, { code: "unknownPath", detail: messages.unknownPath.text });
    }

    // There is no await between the admission check and the start, so the checked state cannot change in between.
    async function handleDispatch(request: HttpRequest, response: HttpResponse): Promise<void> {
        const dispatch = tryParseDispatch(request);
        if (dispatch === undefined) return refuse(response, 400, { code: "badRequest", detail: "the dispatch envelope cannot be read" });
        const code = findRefusal(dispatch, admissionState);
        if (code !== undefined) return refuse(response, 409, createRefusal(code), runner.getLoad());
        const stream = runner.start(dispatch, request.body);
        await sendFrames(response, stream.read(0, request.signal), runner.getLoad());
    }

    async function handleResume(url: URL, request: HttpRequest, response: HttpResponse): Promise<void> {
        const requestId = decodePathSegment(url.pathname.slice("/streams/".length));
        if (requestId === undefined) return refuse(response, 400, { code: "badRequest", detail: messages.badRequest.text });
        const stream = streams.get(requestId);
        if (url.searchParams.get("incarnation") !== incarnation) return refuse(response, 409, createRefusal("staleIncarnation"));
        if (stream === undefined) return refuse(response, 404, createRefusal("answerLost"));
        await sendFrames(response, stream.read(Number(url.searchParams.get("from") ?? 0), request.signal), runner.getLoad());
    }
}

/** Header that carries the dispatch envelope. */
export const dispatchHeader = "lovage-dispatch";

function tryParseDispatch(request: HttpRequest): Dispatch | undefined {
    try {
        return dispatchSchema.parse(JSON.parse(decodeURIComponent(request.headers[dispatchHeader] ?? "")));
    }
    catch {
        return undefined;
    }
}

function createRefusal(code: MessageCode): AgentRefusal {
    return { code, detail: messages[code].text };
}

async function refuse(response: HttpResponse, status: number, refusal: AgentRefusal, load?: AgentLoad): Promise<void> {
    const loadHeaders: Record<string, string> = load === undefined ? {} : { [agentLoadHeader]: JSON.stringify(load) };
    response.start(status, { "content-type": "application/json", ...loadHeaders });
    await response.write(Buffer.from(JSON.stringify(refusal)));
    response.end();
}

async function sendFrames(response: HttpResponse, frames: AsyncIterable<Frame>, load: AgentLoad): Promise<void> {
    response.start(200, { "content-type": "application/x-ndjson", [agentLoadHeader]: JSON.stringify(load) });
    for await (const frame of frames) await response.write(Buffer.from(JSON.stringify(frame) + "\n"));
    response.end();
}

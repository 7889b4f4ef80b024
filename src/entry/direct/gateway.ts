/**
 * Serves requests to backend servers without agents. Each request passes through routing, authentication, ingress limits, budget
 * reservation, delivery and settlement, and is answered as soon as its outcome is known.
 */
import { createCapacity } from "../../kernel/capacity.js";
import type { Capacity } from "../../kernel/capacity.js";
import { createGatewayRouter } from "../../kernel/contracts.js";
import type { ControlClient } from "../../kernel/controlClient.js";
import { messages } from "../../kernel/diagnostics.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import { createHeldBytes } from "../../kernel/heldBytes.js";
import type { HeldBytes } from "../../kernel/heldBytes.js";
import type {
    BackendConnections,
    BodyRefusal,
    BodyRefusalHandler,
    Host,
    HttpHandler,
    HttpRequest,
    HttpResponse,
} from "../../kernel/host.js";
import type { ClientAccountObject, HttpRouteObject, IngressLimitsObject } from "../../kernel/objects.js";
import { noRoomRetryAfterMs } from "../../kernel/requestBody.js";
import { choosePool, createRouteTable } from "../../kernel/routeTable.js";
import type { RouteTable } from "../../kernel/routeTable.js";
import { createNotifier, createStopController, getErrorText, sleep, waitUntil } from "../../kernel/tasks.js";
import type { ProcessIdentity } from "../../kernel/types.js";
import { createVerdict, refuse, toVerdict } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { announceDirectEntry } from "../announcement.js";
import { createLeaseManager } from "../budgets/leaseManager.js";
import type { LeasePacing, Reservation } from "../budgets/leaseManager.js";
import { createNodeConfiguration } from "../nodeConfiguration.js";
import { createEntryStatistics } from "../statistics.js";
import type { EntryStatistics } from "../statistics.js";
import { getBilledTokens, getReservationTokens } from "./billing.js";
import { createCallAdmission } from "./callAdmission.js";
import type { CallAdmission } from "./callAdmission.js";
import { createColdReport } from "./coldReport.js";
import { createColdServers } from "./coldServers.js";
import type { ColdBound } from "./coldServers.js";
import { createCrashGuard, getFingerprint } from "./crashGuard.js";
import { deliver } from "./delivery.js";
import type { DeliveryResult } from "./delivery.js";
import { createEntryShare } from "./entryShare.js";
import { createLoadExchange } from "./loadExchange.js";
import { createLoadTracker } from "./loadTracker.js";
import { createRequestLog } from "./requestLog.js";
import type { EndedRequest } from "./requestLog.js";
import { createRetryWindow } from "./retryWindow.js";
import type { RetryRules } from "./retryWindow.js";
import { isPoolEvacuated } from "./serverChoice.js";
import { createServerLimits } from "./serverLimits.js";
import { createServerNotices } from "./serverNotices.js";
import { createServerView } from "./serverView.js";
import { createStreamOrigins } from "./streamOrigins.js";
import { isResumption } from "./types.js";
import type { DirectCall, DirectProtocol, RequestHead } from "./types.js";

/** Options of a gateway. */
export interface GatewayOptions {
    readonly identity: ProcessIdentity;
    readonly control: ControlClient;
    readonly connections: BackendConnections;
    readonly protocol: DirectProtocol;
    readonly retryRules: RetryRules;
    /** Without it cold servers get no more than their rates. */
    readonly coldBound?: ColdBound;
    readonly leasePacing?: LeasePacing;
    /** Lets requests wait in order while the process is saturated. Otherwise each is dispatched as it arrives. */
    readonly hasAdmissionQueue?: boolean;
    /** Beyond this age of the configuration, a path or key that it lacks may be valid. Without it, the configuration counts as current. */
    readonly maxConfigurationAgeMs?: number;
    /** Time after the start of a stop at which requests that still run are ended with an answer. */
    readonly stopTimeoutMs: number;
    readonly onServers: (servers: readonly BackendServerRecord[]) => void;
    readonly onVoterAddresses: (addresses: readonly string[]) => void;
    /** Called when the gateway starts to refuse new requests, so that idle keep-alive connections can be closed. */
    readonly onRefusing: () => void;
}

/** Numbers of backend servers that are cold or may be. */
export interface ColdCounts {
    /** Servers that are cold by their records. */
    readonly cold: number;
    /** Servers that are limited, also for a while after their cold times. */
    readonly limited: number;
    /** Dispatches so far that had to leave out such a server. */
    readonly heldBack: number;
}

/** A running gateway. */
export interface Gateway {
    readonly handle: HttpHandler;
    readonly refuseBody: BodyRefusalHandler;
    /** Largest body by the configuration. Infinite while it states none. */
    getMaxBodyBytes(): number;
    /** RPC procedures that other entries call. */
    readonly router: ReturnType<typeof createGatewayRouter>;
    isReady(): boolean;
    readonly statistics: EntryStatistics;
    getVersion(): number;
    /** Time since control last answered the watch for a newer configuration. */
    getConfigurationAgeMs(): number;
    countEvacuatedDomains(): number;
    /** Number of times that events waited for a higher usage ceiling. */
    getUseWaits(): number;
    readonly capacity: Capacity;
    readonly heldAnswers: Pick<HeldBytes, "getTotalBytes" | "getEndedCount">;
    readonly admission: Pick<CallAdmission, "readMetrics">;
    getColdCounts(): ColdCounts;
    start(): void;
    stop(): Promise<void>;
}

/** Maximum time that a request waits for tokens that other entries hold. */
const budgetWaitMs = 700;
/** Time for which the gateway holds leased tokens in advance. */
const budgetHorizonMs = 1_500;
/** Time after which the platform has stopped sending new connections to a process that is not ready. */
const readinessDelayMs = 2_400;
const drainPollMs = 50;
/** Time for writing the answers of requests that are ended because the process ends. */
const endedAnswersMs = 150;
const closeTimeoutMs = 800;
const defaultTimeoutMs = 60_000;
/** Maximum time that a request waits for a process that has just started to become ready. */
const startWaitMs = 600;
/** Bound within which a cold server gets its rate and no more. */
const strictColdBound: ColdBound = { overrunFactor: 1, extraRequests: 0 };
const retryAfterMs = { notReady: 500, configurationOutdated: 500, stopping: 20, originUnknown: 400, poolEvacuated: 500 } as const;

/** Callers may take a stream up again for the timeout of its route. The margin covers how late an entry learns of a new version. */
const resumptionMarginMs = 5_000;
const minResumptionMs = 15_000;

/** Creates a gateway, which becomes ready after `start`. */
export function createGateway(host: Host, options: GatewayOptions): Gateway {
    const { identity, control, protocol } = options;
    const log = host.createLogger("gateway");
    const stopController = createStopController();
    const loads = createLoadTracker();
    const stateChanged = createNotifier(host.timers);
    const capacity = createCapacity(host, host.createLogger("process"));
    const statistics = createEntryStatistics();
    const retryWindow = createRetryWindow(options.retryRules);
    const coldServers = createColdServers(options.coldBound ?? strictColdBound, createEntryShare(identity.address));
    const coldReport = createColdReport(host, coldServers);
    const serverLimits = createServerLimits(host.random.nextFloat, coldServers);
    const serverNotices = createServerNotices();
    const heldAnswers = createHeldBytes(host.limits.maxAnswerBytes, log);
    const loadExchange = createLoadExchange(host, {
        incarnation: identity.incarnation,
        loads,
        serverLimits,
        getUtilization: capacity.getUtilization,
    });
    const servers = createServerView(host, {
        control,
        watcher: identity.address,
        needsEntries: () => !configuration.isReady() || coldServers.hasRates(),
        onChange(all) {
            stateChanged.notify();
            presentServers = all;
            loads.retainServers(all);
            loads.recordColdTimes(all, host.clock.nowMs());
            coldServers.updateServers(all, host.clock.nowMs());
            const names = new Set(all.map(server => server.backendServer));
            serverLimits.retainServers(names);
            serverNotices.retainServers(names);
            callAdmission.retainServers(names);
            options.onServers(all);
        },
        onContact: (listing, saidAtMs) => coldServers.recordContact(listing, saidAtMs, host.clock.nowMs()),
        onAnswer: records => streamOrigins.observe(records),
        onWatchers(watchers, position) {
            loadExchange.addPeers(watchers);
            retryWindow.updateEntryCount(position.count);
            leases.setEntryCount(position.count);
            serverLimits.updatePosition(position, host.clock.nowMs());
        },
    });
    const callAdmission = createCallAdmission(host, {
        isSaturated: () => options.hasAdmissionQueue === true && capacity.isSaturated(),
        servers,
        loads,
        getTokensPerEvent,
    });
    const leases = createLeaseManager(host, {
        vm: identity.vm,
        incarnation: identity.incarnation,
        control,
        pacing: options.leasePacing,
        isDirect: true,
        preferences: {
            overspend: { horizonMs: budgetHorizonMs, maxWaitMs: budgetWaitMs },
            falseRefusals: { horizonMs: budgetHorizonMs, maxWaitMs: budgetWaitMs },
        },
    });
    const streamOrigins = createStreamOrigins(host, control);
    const configuration = createNodeConfiguration(host, {
        identity,
        control,
        timing: { watchTimeoutMs: 1_000, retryMs: 50 },
        onRecall: leases.returnUnreserved,
        onVoterAddresses: options.onVoterAddresses,
        onChange: applyConfiguration,
        onEvacuationsEnded: markDomainsPossiblyCold,
    });
    const requestLog = createRequestLog(host, {
        statistics,
        getVersion: () => configuration.version,
        getConfigurationAgeMs: () => configuration.getAgeMs(host.clock.nowMs()),
    });
    const crashGuard = createCrashGuard(host, { control, configuration, connections: options.connections });
    let routes: RouteTable = createRouteTable([]);
    let presentServers: readonly BackendServerRecord[] = [];
    let limits: IngressLimitsObject | undefined;
    // Prepaid tokens by budget name.
    let prepaid: ReadonlyMap<string, number> = new Map();
    let isStopping = false;
    let isRefusing = false;
    let servesUntilMs = Infinity;
    const endOfService = createStopController();
    let runningRequests = 0;

    return {
        handle,
        refuseBody,
        getMaxBodyBytes: () => limits?.maxBodyBytes ?? Infinity,
        router: createGatewayRouter({ shareLoad: loadExchange.receive }),
        // A saturated gateway goes on to serve what arrives, but new connections should go to others.
        isReady: () => isSynced() && !isStopping && !capacity.isSaturated(),
        statistics,
        getVersion: () => configuration.version,
        getConfigurationAgeMs: () => configuration.getAgeMs(host.clock.nowMs()),
        countEvacuatedDomains: () => configuration.listEvacuatedDomains().length,
        getUseWaits: leases.getUseWaits,
        capacity,
        heldAnswers,
        admission: callAdmission,
        getColdCounts() {
            const nowMs = host.clock.nowMs();
            return {
                cold: coldServers.countCold(nowMs),
                limited: coldServers.countLimited(nowMs),
                heldBack: serverLimits.getHeldBackCount(),
            };
        },
        start() {
            configuration.start(stopController.signal);
            servers.start(stopController.signal);
            loadExchange.start(stopController.signal);
            streamOrigins.start(stopController.signal);
            capacity.start(stopController.signal);
            leases.start(stopController.signal);
            void announceDirectEntry(host, { identity, control, log }, stopController.signal);
            crashGuard.start(stopController.signal);
        },
        async stop() {
            isStopping = true;
            servesUntilMs = host.clock.nowMs() + options.stopTimeoutMs;
            log.info("The gateway is stopping.", { running: runningRequests });
            await sleep(host.timers, readinessDelayMs);
            // A request accepted after this point might not finish before the process exits.
            isRefusing = true;
            options.onRefusing();
            await waitUntilIdle(servesUntilMs);
            if (runningRequests > 0) log.warn("Requests are ended because the process ends.", { running: runningRequests });
            endOfService.abort();
            callAdmission.end();
            await waitUntilIdle(host.clock.nowMs() + endedAnswersMs);
            const isClosed = await leases.close(closeTimeoutMs);
            log.info("The gateway has stopped.", { running: runningRequests, isClosed });
            stopController.abort();
        },
    };

    async function waitUntilIdle(untilMs: number): Promise<void> {
        while (runningRequests > 0 && host.clock.nowMs() < untilMs) await sleep(host.timers, drainPollMs);
    }

    function markDomainsPossiblyCold(failureDomains: readonly string[]): void {
        const returning = presentServers.filter(server => failureDomains.includes(server.failureDomain));
        coldServers.markPossiblyCold(returning.map(server => server.backendServer), "evacuationEnded", host.clock.nowMs());
    }

    function isSynced(): boolean {
        return configuration.isReady() && servers.hasSynced();
    }

    function applyConfiguration(): void {
        stateChanged.notify();
        const objects = configuration.getObjects();
        routes = createRouteTable(objects.list("httpRoute"));
        streamOrigins.observeRoutes(objects.list("httpRoute"));
        limits = objects.list("ingressLimits")[0];
        coldServers.setPools(objects.list("backendServerPool"));
        if (coldServers.hasRates()) coldReport.start(stopController.signal);
        const resumableTimeoutsMs = objects.list("httpRoute").filter(route => route.repeat === "resumableStream").map(route =>
            route.timeoutMs
        );
        streamOrigins.setWindow(Math.max(minResumptionMs, ...resumableTimeoutsMs.map(timeoutMs => timeoutMs + resumptionMarginMs)));
        const previousPrepaid = prepaid;
        prepaid = new Map(objects.list("budget").map(budget => [budget.name, budget.prepaidTokens ?? 0]));
        logPrepaidChanges(previousPrepaid);
        // Leased tokens of a reduced total are returned, so that control grants them again under the new total.
        const loweredBudgets = [...prepaid].filter(([name, tokens]) => tokens < (previousPrepaid.get(name) ?? 0)).map(([name]) => name);
        if (loweredBudgets.length > 0) leases.returnUnreserved(loweredBudgets);
    }

    function logPrepaidChanges(previousPrepaid: ReadonlyMap<string, number>): void {
        if (previousPrepaid.size === 0) return;
        for (const [budget, prepaidTokens] of prepaid) {
            const beforeTokens = previousPrepaid.get(budget);
            if (prepaidTokens === beforeTokens) continue;
            log.info("The prepaid token total of a budget changed.", {
                budget,
                beforeTokens,
                prepaidTokens,
                version: configuration.version,
            });
        }
    }

    async function handle(request: HttpRequest, response: HttpResponse): Promise<void> {
        const arrivedAtMs = host.clock.nowMs() - request.waitedMs;
        runningRequests++;
        statistics.recordRequest();
        let requestId: string | undefined;
        try {
            const head = protocol.parseRequest(request);
            if ("problem" in head) refuse("badRequest", head.problem);
            requestId = head.requestId;
            if (request.signal.aborted) return requestLog.recordDisconnect({ request, requestId, arrivedAtMs });
            if (isRefusing) refuse("stopping", undefined, retryAfterMs.stopping);
            await waitUntil(host, stateChanged, isSynced, Math.min(startWaitMs, head.timeoutMs ?? startWaitMs));
            const call = await followOrigin(createCall(head, request, arrivedAtMs));
            if (options.hasAdmissionQueue === true) callAdmission.recordArrival(call);
            if (callAdmission.isNeeded()) await callAdmission.admit(call);
            await serve(call, response);
        }
        catch (error) {
            const verdict = toVerdict(error, "mayHaveRun");
            if (verdict.code === "outcomeUnknown" && !request.signal.aborted) {
                log.error("A request failed.", { requestId, detail: getErrorText(error) });
            }
            writeRefusal({ request, requestId, arrivedAtMs }, response, verdict);
        }
        finally {
            runningRequests--;
        }
    }

    function refuseBody(request: HttpRequest, refusal: BodyRefusal, response: HttpResponse): void {
        statistics.recordRequest();
        const head = protocol.parseRequest(request);
        const requestId = "problem" in head ? undefined : head.requestId;
        const retryMs = refusal === "noRoomForBody" ? noRoomRetryAfterMs : undefined;
        const arrivedAtMs = host.clock.nowMs() - request.waitedMs;
        writeRefusal({ request, requestId, arrivedAtMs }, response, createVerdict("notRun", refusal, undefined, retryMs));
    }

    function createCall(head: RequestHead, request: HttpRequest, arrivedAtMs: number): DirectCall {
        if (!configuration.isReady()) refuse("notReady", undefined, retryAfterMs.notReady);
        // The limit may have become lower since the server began to read the body.
        if (limits !== undefined && request.body.length > limits.maxBodyBytes) refuse("bodyTooLarge");
        const route = routes.find(head.host, request.path);
        if (route === undefined) refuseUnknown("unknownPath");
        const account = findAccount(head, route);
        const timeoutMs = Math.min(head.timeoutMs ?? defaultTimeoutMs, route.timeoutMs);
        return {
            head,
            request,
            route,
            pool: choosePool(route, host.random.nextFloat()),
            account,
            fingerprint: getFingerprint({ head, request, account }),
            priority: account?.priority ?? route.priority,
            arrivedAtMs,
            deadlineMs: Math.min(arrivedAtMs + timeoutMs, servesUntilMs),
            endSignal: endOfService.signal,
        };
    }

    // A stream goes on in the pool and at the software version that began it.
    async function followOrigin(call: DirectCall): Promise<DirectCall> {
        if (!isResumption(call)) return call;
        const target = { host: call.head.host, path: call.request.path };
        const origin = await streamOrigins.resolve(call.head.resumedRequestId, target, call.pool);
        if (origin === undefined) refuse("streamOriginUnknown", undefined, retryAfterMs.originUnknown);
        const isRouted = call.route.targets.some(target => target.pool === origin.pool);
        if (!isRouted) refuse("streamVersionGone", `The route no longer leads to pool ${origin.pool}.`, retryAfterMs.originUnknown);
        return { ...call, ...origin };
    }

    function findAccount(head: RequestHead, route: HttpRouteObject): ClientAccountObject | undefined {
        const objects = configuration.getObjects();
        // A policy is there for the sake of client accounts, also after the last one was removed: then no key is valid.
        const hasAccounts = objects.list("policy").length > 0 || objects.list("clientAccount").length > 0;
        const account = head.accountKey === undefined ? undefined : configuration.findAccount(head.accountKey);
        if (account === undefined && hasAccounts && !route.isPublic) refuseUnknown("unauthenticated");
        return account;
    }

    // Callers do not repeat a request after these codes, so they need a configuration that is known to be current.
    function refuseUnknown(code: "unknownPath" | "unauthenticated"): never {
        const isOutdated = configuration.getAgeMs(host.clock.nowMs()) > (options.maxConfigurationAgeMs ?? Infinity);
        if (isOutdated) refuse("configurationOutdated", undefined, retryAfterMs.configurationOutdated);
        refuse(code);
    }

    async function serve(call: DirectCall, response: HttpResponse): Promise<void> {
        refuseIfEvacuated(call.pool);
        const admission = await crashGuard.admit(call);
        if (admission.kind === "heldBack") refuse("heldBack", undefined, admission.retryAfterMs);
        const { generation } = call.head;
        const reservation = await reserve(call);
        const reservedAtMs = host.clock.nowMs();
        // Read once, so that the bill is what was counted under the usage ceiling, even if the configuration changes meanwhile.
        const tokensPerEvent = getTokensPerEvent(call.pool);
        let delivery: DeliveryResult | undefined;
        try {
            delivery = await deliver(host, { ...call, isTrial: admission.kind === "trial" }, response, {
                protocol,
                connections: options.connections,
                servers,
                configuration,
                loads,
                serverLimits,
                serverNotices,
                loadExchange,
                retryWindow,
                streamOrigins,
                crashGuard,
                heldAnswers,
                log,
                getAnswerHeaders,
                use: reservation === undefined ? undefined : { reservation, tokensPerEvent },
            });
        }
        finally {
            // An unexpected error bills the full reservation, because it is unknown what was delivered.
            const billedTokens = delivery === undefined
                ? reservation?.reservedTokens ?? 0
                : getBilledTokens(generation, delivery, tokensPerEvent);
            reservation?.settle(directAgentKey, Math.min(billedTokens, reservation.reservedTokens));
        }
        callAdmission.recordAnswer(call, delivery);
        requestLog.recordCompletion(call, delivery, getBilledTokens(generation, delivery, tokensPerEvent), reservedAtMs);
        if (delivery.verdict !== undefined && !response.hasStarted) {
            const { request, arrivedAtMs, head: { requestId } } = call;
            writeRefusal({ request, requestId, arrivedAtMs, failedAttempts: delivery.failedAttempts }, response, delivery.verdict);
        }
    }

    // Refuses before the request waits for tokens or uses up a trial of a quarantined request.
    function refuseIfEvacuated(pool: string): void {
        if (!isPoolEvacuated(servers.listPool(pool), configuration.isEvacuated)) return;
        refuse("poolEvacuated", undefined, retryAfterMs.poolEvacuated * (1 + host.random.nextFloat()));
    }

    async function reserve(call: DirectCall): Promise<Reservation | undefined> {
        const { generation } = call.head;
        if (generation === undefined || call.account === undefined) return undefined;
        return leases.reserve({
            budget: call.account.budget,
            weighsMore: "overspend",
            tokens: getReservationTokens(generation),
            promptTokens: generation.promptTokens,
            deadlineMs: call.deadlineMs,
            signal: call.request.signal,
        });
    }

    function getTokensPerEvent(pool: string): number | undefined {
        return configuration.getObjects().get("backendServerPool", pool)?.engine?.tokensPerEvent;
    }

    function getAnswerHeaders(): Readonly<Record<string, string>> {
        return isStopping ? { connection: "close" } : {};
    }

    function writeRefusal(ended: EndedRequest, response: HttpResponse, verdict: Verdict): void {
        if (ended.request.signal.aborted) return requestLog.recordDisconnect(ended);
        requestLog.recordRefusal(ended, verdict);
        if (response.hasStarted) return response.abort();
        const headers = { ...protocol.createRefusalHeaders(verdict, ended.requestId), ...getAnswerHeaders() };
        const body = Buffer.from(JSON.stringify({ code: verdict.code, detail: verdict.detail }));
        response.start(getStatus(verdict), {
            ...headers,
            "content-type": "application/problem+json",
            "content-length": String(body.length),
        });
        void response.write(body);
        response.end();
    }
}

/** Key of direct dispatch in the settled totals of a lease, which are kept per agent. */
const directAgentKey = "direct";

function getStatus(verdict: Verdict): number {
    return messages[verdict.code].status;
}

/**
 * The entry's way for requests whose backend servers have no agent: route, account, limits, budget, delivery, settlement.
 * An answer is always given at once when its outcome is known.
 */
import { createGatewayRouter } from "../../kernel/contracts.js";
import type { ControlClient } from "../../kernel/controlClient.js";
import { messages } from "../../kernel/diagnostics.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { BackendConnections, Host, HttpHandler, HttpRequest, HttpResponse } from "../../kernel/host.js";
import { createLagMonitor } from "../../kernel/lagMonitor.js";
import type { ClientAccountObject, HttpRouteObject, IngressLimitsObject } from "../../kernel/objects.js";
import { createNotifier, createStopController, getErrorText, sleep, waitUntil } from "../../kernel/tasks.js";
import type { ProcessIdentity } from "../../kernel/types.js";
import { refuse, toVerdict } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createLeaseManager } from "../budgets/leaseManager.js";
import type { LeasePacing, Reservation } from "../budgets/leaseManager.js";
import { createNodeConfiguration } from "../configurationView.js";
import { createEntryStatistics } from "../statistics.js";
import type { EntryStatistics } from "../statistics.js";
import { getBilledTokens, getMostTokens } from "./billing.js";
import { deliver } from "./delivery.js";
import type { Delivery } from "./delivery.js";
import { createLoadExchange } from "./loadExchange.js";
import { createLoadTracker } from "./loadTracker.js";
import { createRetryWindow } from "./retryWindow.js";
import type { RetryRules } from "./retryWindow.js";
import { choosePool, createRouteTable } from "./routeTable.js";
import type { RouteTable } from "./routeTable.js";
import { createServerView } from "./serverView.js";
import type { DirectCall, DirectProtocol, RequestHead } from "./types.js";

/** Options of a gateway. */
export interface GatewayOptions {
    readonly identity: ProcessIdentity;
    readonly control: ControlClient;
    readonly connections: BackendConnections;
    readonly protocol: DirectProtocol;
    readonly retryRules: RetryRules;
    readonly leasePacing?: LeasePacing;
    /** Longest time that a stop takes. */
    readonly stopMs: number;
    readonly onServers: (servers: readonly BackendServerRecord[]) => void;
    readonly onMembers: (addresses: readonly string[]) => void;
    /** Called when no more requests are taken, so that kept connections can be closed. */
    readonly onRefusing: () => void;
}

/** A running gateway. */
export interface Gateway {
    readonly handle: HttpHandler;
    /** What other entries call. */
    readonly router: ReturnType<typeof createGatewayRouter>;
    isReady(): boolean;
    readonly statistics: EntryStatistics;
    getVersion(): number;
    start(): void;
    stop(): Promise<void>;
}

/** How long a request may wait for tokens that other entries hold. */
const budgetWaitMs = 700;
const budgetHorizonMs = 1_500;
/** Time after which the platform no longer sends new connections to a process that is not ready. */
const readyGoneMs = 2_400;
const stopPollMs = 50;
const closeLeasesMs = 800;
const defaultTimeoutMs = 60_000;
const catchUpAboveMs = 50;
/** How long a request waits for a process that has just started. */
const startWaitMs = 600;
const retryAfterMs = { notReady: 500, stopping: 20 } as const;

/** Creates a gateway that is not ready yet. */
export function createGateway(host: Host, options: GatewayOptions): Gateway {
    const { identity, control, protocol } = options;
    const log = host.createLogger("gateway");
    const stopping = createStopController();
    const loads = createLoadTracker();
    const learnt = createNotifier(host.timers);
    const lag = createLagMonitor(host, host.createLogger("process"));
    const statistics = createEntryStatistics();
    const retries = createRetryWindow(options.retryRules);
    const exchange = createLoadExchange(host, { incarnation: identity.incarnation, loads });
    const servers = createServerView(host, {
        control,
        watcher: identity.address,
        onChange(all) {
            learnt.notify();
            loads.keepOnly(all);
            options.onServers(all);
        },
        onWatchers(watchers, watcherCount) {
            exchange.learnPeers(watchers);
            retries.learnEntryCount(watcherCount);
        },
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
    const configuration = createNodeConfiguration(host, {
        identity,
        control,
        timing: { watchTimeoutMs: 1_000, retryMs: 50 },
        onRecall: leases.returnUnreserved,
        onVoterAddresses: options.onMembers,
        onChange: onConfiguration,
    });
    let routes: RouteTable = createRouteTable([]);
    let limits: IngressLimitsObject | undefined;
    let prepaid: ReadonlyMap<string, number> = new Map();
    let isStopping = false;
    let isRefusing = false;
    let running = 0;

    return {
        handle,
        router: createGatewayRouter({ shareLoad: exchange.take }),
        isReady: () => isSynced() && !isStopping,
        statistics,
        getVersion: () => configuration.version,
        start() {
            configuration.start(stopping.signal);
            servers.start(stopping.signal);
            exchange.start(stopping.signal);
            lag.start(stopping.signal);
            leases.start(stopping.signal);
        },
        async stop() {
            isStopping = true;
            const startedAtMs = host.clock.nowMs();
            log.info("The gateway stops.", { running });
            await sleep(host.timers, readyGoneMs);
            // What is taken later may not end before the process does.
            isRefusing = true;
            options.onRefusing();
            while (running > 0 && host.clock.nowMs() - startedAtMs < options.stopMs) await sleep(host.timers, stopPollMs);
            const isClosed = await leases.close(closeLeasesMs);
            log.info("The gateway has stopped.", { running, isClosed });
            stopping.abort();
        },
    };

    function isSynced(): boolean {
        return configuration.isReady() && servers.hasSynced();
    }

    function onConfiguration(): void {
        learnt.notify();
        const objects = configuration.getObjects();
        routes = createRouteTable(objects.list("httpRoute"));
        limits = objects.list("ingressLimits")[0];
        const before = prepaid;
        prepaid = new Map(objects.list("budget").map(budget => [budget.name, budget.prepaidTokens ?? 0]));
        logPrepaid(before);
        // What was leased of a total that shrank is asked for anew.
        const lowered = [...prepaid].filter(([name, tokens]) => tokens < (before.get(name) ?? 0)).map(([name]) => name);
        if (lowered.length > 0) leases.returnUnreserved(lowered);
    }

    function logPrepaid(before: ReadonlyMap<string, number>): void {
        if (before.size === 0) return;
        for (const [budget, prepaidTokens] of prepaid) {
            const beforeTokens = before.get(budget);
            if (prepaidTokens === beforeTokens) continue;
            log.info("A prepaid total changed.", { budget, beforeTokens, prepaidTokens, version: configuration.version });
        }
    }

    async function handle(request: HttpRequest, response: HttpResponse): Promise<void> {
        const arrivedAtMs = host.clock.nowMs();
        running++;
        statistics.noteRequest();
        let requestId: string | undefined;
        try {
            const head = protocol.parseRequest(request);
            if ("problem" in head) refuse("badRequest", head.problem);
            requestId = head.requestId;
            if (isRefusing) refuse("stopping", undefined, retryAfterMs.stopping);
            await waitUntil(host, learnt, isSynced, Math.min(startWaitMs, head.deadlineMs ?? startWaitMs));
            // A process that is behind may not have read yet that the caller has left.
            if (lag.getLagMs() > catchUpAboveMs) await sleep(host.timers, 0);
            await serve(createCall(head, request, arrivedAtMs), response);
        }
        catch (error) {
            const verdict = toVerdict(error, "mayHaveRun");
            if (verdict.code === "outcomeUnknown" && !request.signal.aborted) {
                log.error("A request failed.", { requestId, detail: getErrorText(error) });
            }
            writeRefusal(request, response, verdict, requestId, arrivedAtMs);
        }
        finally {
            running--;
        }
    }

    function createCall(head: RequestHead, request: HttpRequest, arrivedAtMs: number): DirectCall {
        if (!configuration.isReady()) refuse("notReady", undefined, retryAfterMs.notReady);
        if (limits !== undefined && request.body.length > limits.maxBodyBytes) refuse("bodyTooLarge");
        const route = routes.find(head.host, request.path);
        if (route === undefined) refuse("unknownPath");
        const account = findAccount(head, route);
        const waitMs = Math.min(head.deadlineMs ?? defaultTimeoutMs, route.timeoutMs);
        return {
            head,
            request,
            route,
            pool: choosePool(route, host.random.nextFloat()),
            account,
            priority: account?.priority ?? route.priority,
            arrivedAtMs,
            deadlineAtMs: arrivedAtMs + waitMs,
        };
    }

    function findAccount(head: RequestHead, route: HttpRouteObject): ClientAccountObject | undefined {
        const hasAccounts = configuration.getObjects().list("clientAccount").length > 0;
        const account = head.accountKey === undefined ? undefined : configuration.findAccount(head.accountKey);
        if (account === undefined && hasAccounts && !route.isPublic) refuse("unauthenticated");
        return account;
    }

    async function serve(call: DirectCall, response: HttpResponse): Promise<void> {
        const reservation = await reserve(call);
        const reservedAtMs = host.clock.nowMs();
        let delivery: Delivery | undefined;
        try {
            delivery = await deliver(host, call, response, {
                protocol,
                connections: options.connections,
                servers,
                loads,
                exchange,
                retries,
                log,
                getAnswerHeaders,
            });
        }
        finally {
            // An unexpected failure bills the whole reservation, because nothing is known of what was delivered.
            const billedTokens = delivery === undefined ? reservation?.reservedTokens ?? 0 : getBilled(call, delivery);
            reservation?.settle(directAgent, Math.min(billedTokens, reservation.reservedTokens));
        }
        logEnd(call, delivery, reservedAtMs);
        if (delivery.verdict !== undefined && !response.hasStarted) {
            writeRefusal(call.request, response, delivery.verdict, call.head.requestId, call.arrivedAtMs);
        }
    }

    function logEnd(call: DirectCall, delivery: Delivery, reservedAtMs: number): void {
        const { generation } = call.head;
        const tookMs = host.clock.nowMs() - call.arrivedAtMs;
        for (let attempt = 0; attempt < delivery.attempts; attempt++) statistics.noteDispatch();
        for (let attempt = 1; attempt < delivery.attempts; attempt++) statistics.noteRetry();
        if (delivery.verdict === undefined) statistics.noteAnswered("interactive", tookMs);
        log.info("A request ended.", {
            requestId: call.head.requestId,
            route: call.route.name,
            account: call.account?.name,
            outcome: delivery.verdict?.code ?? "answered",
            attempts: delivery.attempts,
            events: delivery.deliveredEvents,
            billedTokens: getBilled(call, delivery),
            reservedTokens: generation === undefined ? 0 : getMostTokens(generation),
            version: configuration.version,
            backendServer: delivery.placement?.server.backendServer,
            readTokens: delivery.placement?.readTokens,
            aheadTokens: toWhole(delivery.placement?.aheadTokens),
            expectedStartMs: toWhole(delivery.placement?.expectedStartMs),
            reservedAfterMs: Math.round(reservedAtMs - call.arrivedAtMs),
            answeredAfterMs: toWhole(delivery.answeredAtMs === undefined ? undefined : delivery.answeredAtMs - call.arrivedAtMs),
            tookMs: Math.round(tookMs),
        });
    }

    async function reserve(call: DirectCall): Promise<Reservation | undefined> {
        const { generation } = call.head;
        if (generation === undefined || call.account === undefined) return undefined;
        return leases.reserve({
            budget: call.account.budget,
            weighsMore: "overspend",
            tokens: getMostTokens(generation),
            deadlineMs: call.deadlineAtMs,
            signal: call.request.signal,
        });
    }

    function getBilled(call: DirectCall, delivery: Delivery): number {
        const pool = configuration.getObjects().get("backendServerPool", call.pool);
        return getBilledTokens(call.head.generation, delivery, pool?.engine?.tokensPerEvent);
    }

    function getAnswerHeaders(): Readonly<Record<string, string>> {
        return isStopping ? { connection: "close" } : {};
    }

    function writeRefusal(
        request: HttpRequest,
        response: HttpResponse,
        verdict: Verdict,
        requestId: string | undefined,
        arrivedAtMs: number,
    ): void {
        if (request.signal.aborted) {
            log.info("A caller has left.", { requestId, path: request.path, tookMs: Math.round(host.clock.nowMs() - arrivedAtMs) });
            return;
        }
        statistics.noteRefusal(verdict.code);
        log.info("A request was refused.", {
            requestId,
            path: request.path,
            verdict: verdict.kind,
            code: verdict.code,
            detail: verdict.detail,
            retryAfterMs: verdict.retryAfterMs === undefined ? undefined : Math.round(verdict.retryAfterMs),
            version: configuration.version,
            tookMs: Math.round(host.clock.nowMs() - arrivedAtMs),
        });
        if (response.hasStarted) return response.abort();
        const headers = { ...protocol.createRefusalHeaders(verdict, requestId), ...getAnswerHeaders() };
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

/** Stands for direct dispatch in the settled totals of a lease, which are kept by agent. */
const directAgent = "direct";

function toWhole(value: number | undefined): number | undefined {
    return value === undefined ? undefined : Math.round(value);
}

function getStatus(verdict: Verdict): number {
    return messages[verdict.code].status;
}

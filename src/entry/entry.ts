/** The entry: accepts HTTP requests of callers and runs them through the stages of the pipeline. */
import { createCapacity } from "../kernel/capacity.js";
import type { Capacity } from "../kernel/capacity.js";
import { createEntryRouter } from "../kernel/contracts.js";
import type { AgentRouter, EntryApi } from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import type { Host, HttpRequest, HttpResponse } from "../kernel/host.js";
import { createRpcClients } from "../kernel/rpc.js";
import { createStopController, getErrorText, sleep } from "../kernel/tasks.js";
import type { ProcessIdentity } from "../kernel/types.js";
import { toVerdict, VerdictError } from "../kernel/verdict.js";
import { sendProblem } from "./answers.js";
import { createLeaseManager } from "./budgets/leaseManager.js";
import type { BudgetPreference, LeaseManager } from "./budgets/leaseManager.js";
import { createDeliveryStage } from "./delivery/stage.js";
import type { BackgroundTasks, DeliveryContext } from "./delivery/types.js";
import { createFairQueue } from "./fairQueue.js";
import { createNodeConfiguration } from "./nodeConfiguration.js";
import { createAccountLimits } from "./rateLimit.js";
import { createRetryBudget } from "./retryBudget.js";
import { createRouter } from "./routing/router.js";
import type { Router } from "./routing/router.js";
import type { RoutingPolicy } from "./routing/types.js";
import { createAuthenticateStage } from "./stages/authenticate.js";
import { createEvacuationStage } from "./stages/evacuation.js";
import { createLimitsStage, createQueueStage } from "./stages/limits.js";
import { createParseRequestStage } from "./stages/parseRequest.js";
import { createQuarantineStage } from "./stages/quarantine.js";
import { createEntryStatistics } from "./statistics.js";
import type { EntryStatistics } from "./statistics.js";
import { createPipeline } from "./types.js";
import type { Exchange } from "./types.js";

/** Options of an entry. */
export interface EntryOptions {
    readonly identity: ProcessIdentity;
    readonly control: ControlClient;
    readonly routingPolicy?: RoutingPolicy;
    readonly chooseOverride?: () => string | undefined;
    readonly budgetPreferences?: Readonly<Record<"overspend" | "falseRefusals", BudgetPreference>>;
    /** Replaces the default lease manager, for baselines in benchmarks. */
    readonly createLeases?: (host: Host) => LeaseManager;
}

/** A running entry. */
export interface Entry {
    readonly router: ReturnType<typeof createEntryRouter>;
    readonly requestRouter: Router;
    readonly statistics: EntryStatistics;
    readonly leases: LeaseManager;
    readonly capacity: Capacity;
    handle(request: HttpRequest, response: HttpResponse): Promise<void>;
    start(): void;
    isReady(): boolean;
    getVersion(): number;
    /** Time since control last answered the watch for a newer configuration. */
    getConfigurationAgeMs(): number;
    countEvacuatedDomains(): number;
    /** Background tasks that are still running, such as settlements and claims that control or an agent has not confirmed. */
    getPendingTaskCount(): number;
    /** Fails the readiness check, waits for running requests, then settles and closes the leases. */
    stop(): Promise<void>;
    /** Stops immediately without settling anything, to simulate a crash. */
    halt(): void;
}

const maxWaiting = 10_000;
const maxWaitingPerAccount = 2_000;
const announceTimeoutMs = 3_000;
const announceRetryMs = 500;
const drainPollMs = 50;
const closeTimeoutMs = 10_000;
/** Minimum interval between two load reports of an agent. */
const minReportIntervalMs = 100;
const unthrottledServerCount = 16;
/** Above `unthrottledServerCount`, each further backend server adds this time to the report interval of every agent. */
const reportIntervalPerServerMs = 50;
const fleetPollMs = 10_000;

/** Creates an entry. It becomes ready once control has registered it and returned a configuration. */
export function createEntry(host: Host, options: EntryOptions): Entry {
    const { identity, control } = options;
    const log = host.createLogger("entry");
    const stopController = createStopController();
    const statistics = createEntryStatistics();
    const capacity = createCapacity(host, host.createLogger("process"));
    const requestRouter = createRouter(host, {
        policy: options.routingPolicy,
        chooseOverride: options.chooseOverride,
        isEvacuated: failureDomain => configuration.isEvacuated(failureDomain),
    });
    const leases = options.createLeases?.(host) ?? createLeaseManager(host, {
        vm: identity.vm,
        incarnation: identity.incarnation,
        control,
        preferences: options.budgetPreferences,
    });
    const configuration = createNodeConfiguration(host, { identity, control, onRecall: leases.returnUnreserved });
    const queue = createFairQueue(host, { hasCapacity: requestRouter.hasCapacity, maxWaiting, maxWaitingPerAccount });
    const background = createBackgroundTasks(error => log.warn("Background task failed.", { detail: getErrorText(error) }));
    let entryCount = 1;
    let isAnnounced = false;
    let isStopping = false;
    let inFlightExchanges = 0;
    const delivery: DeliveryContext = {
        host,
        control,
        configuration,
        router: requestRouter,
        leases,
        retryBudget: createRetryBudget(),
        agents: createRpcClients<AgentRouter>(host.network),
        failureDomain: identity.failureDomain,
        statistics,
        background,
    };
    const runPipeline = createPipeline([
        createAuthenticateStage(configuration),
        createParseRequestStage(configuration),
        createQuarantineStage(configuration, control.time),
        createEvacuationStage(requestRouter),
        createLimitsStage(host.clock, createAccountLimits(() => entryCount)),
        createQueueStage(host.clock, queue),
        createDeliveryStage(delivery),
    ]);
    const api: EntryApi = {
        async report(report) {
            const isKnown = requestRouter.applyReport(report, host.clock.nowMs());
            queue.notify();
            const nextReportMs = Math.max(
                minReportIntervalMs,
                (requestRouter.getServerCount() - unthrottledServerCount) * reportIntervalPerServerMs,
            );
            requestRouter.setReportInterval(nextReportMs);
            return { nextReportMs, wantsAgent: !isKnown };
        },
    };

    return {
        router: createEntryRouter(api),
        requestRouter,
        statistics,
        leases,
        capacity,
        handle,
        start() {
            void announceAndPollFleet();
            configuration.start(stopController.signal);
            leases.start(stopController.signal);
            capacity.start(stopController.signal);
        },
        // A saturated entry goes on to serve what arrives, but new connections should go to others.
        isReady: () => isAnnounced && configuration.isReady() && !isStopping && !capacity.isSaturated(),
        getVersion: () => configuration.version,
        getConfigurationAgeMs: () => configuration.getAgeMs(host.clock.nowMs()),
        countEvacuatedDomains: () => configuration.listEvacuatedDomains().length,
        getPendingTaskCount: background.getCount,
        async stop() {
            isStopping = true;
            while (inFlightExchanges > 0) await sleep(host.timers, drainPollMs);
            const isClosed = await leases.close(closeTimeoutMs);
            await control.submit("fleet.leave", { incarnation: identity.incarnation, uses: [] }, { timeoutMs: announceTimeoutMs });
            stopController.abort();
            log.info("Entry has stopped.", { isClosed });
        },
        halt() {
            isStopping = true;
            stopController.abort();
        },
    };

    async function announceAndPollFleet(): Promise<void> {
        const { vm, failureDomain, incarnation, address } = identity;
        while (!isAnnounced && !stopController.signal.aborted) {
            const entry = { vm, failureDomain, incarnation, address };
            const outcome = await control.submit("fleet.announceEntry", { entry }, { timeoutMs: announceTimeoutMs });
            isAnnounced = outcome.kind === "done";
            if (!isAnnounced) await sleep(host.timers, announceRetryMs, stopController.signal);
        }
        while (!stopController.signal.aborted) {
            const fleet = await control.query("fleet.list", {}, { timeoutMs: announceTimeoutMs });
            if (fleet.kind === "done") entryCount = Math.max(1, fleet.result.entries.length);
            await sleep(host.timers, fleetPollMs, stopController.signal);
        }
    }

    async function handle(request: HttpRequest, response: HttpResponse): Promise<void> {
        const exchange: Exchange = {
            requestId: host.random.nextId(),
            request,
            response,
            startMs: host.clock.nowMs() - request.waitedMs,
            deadlineMs: Infinity,
            isSolo: false,
            hasDispatched: false,
        };
        inFlightExchanges++;
        statistics.recordRequest();
        try {
            if (request.path === "/v1/models" && request.method === "GET") await listModels(exchange);
            else await runPipeline(exchange);
            if (exchange.parsed !== undefined) statistics.recordAnswer(exchange.parsed.serviceClass, host.clock.nowMs() - exchange.startMs);
        }
        catch (error) {
            const verdict = toVerdict(error, exchange.hasDispatched ? "mayHaveRun" : "notRun");
            if (!(error instanceof VerdictError)) {
                log.error("Request failed with an unexpected error.", { requestId: exchange.requestId, detail: getErrorText(error) });
            }
            statistics.recordRefusal(verdict.code);
            await sendProblem(response, exchange.requestId, verdict);
        }
        finally {
            inFlightExchanges--;
        }
    }

    async function listModels(exchange: Exchange): Promise<void> {
        await createPipeline([createAuthenticateStage(configuration), { name: "models", run: sendModels }])(exchange);
    }

    async function sendModels(exchange: Exchange): Promise<void> {
        const models = configuration.getObjects().list("route").flatMap(route => route.model === undefined ? [] : [route.model]);
        const data = models.map(id => ({ id, object: "model", created: 0, owned_by: "lovagefold" }));
        exchange.response.start(200, {
            "content-type": "application/json",
            "lovage-request-id": exchange.requestId,
            "lovage-verdict": "ran",
        });
        await exchange.response.write(Buffer.from(JSON.stringify({ object: "list", data })));
        exchange.response.end();
    }
}

function createBackgroundTasks(onError: (error: unknown) => void): BackgroundTasks {
    let count = 0;
    return {
        run(task) {
            count++;
            task().catch(onError).finally(() => count--);
        },
        getCount: () => count,
    };
}

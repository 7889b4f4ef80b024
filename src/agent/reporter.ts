/** Sends announcements and heartbeats to control and load reports to entries, and executes the orders that control returns. */
import type { EntryRouter, HeartbeatResult, ReportReply } from "../kernel/contracts.js";
import type { ControlClient } from "../kernel/controlClient.js";
import { getSha256 } from "../kernel/digest.js";
import type { Host } from "../kernel/host.js";
import type { AgentAnnouncement, EngineOrder, EntryAnnouncement, LoadReport } from "../kernel/messages.js";
import { createRpcClients } from "../kernel/rpc.js";
import { getErrorText, runPeriodically, sleep, withTimeout } from "../kernel/tasks.js";
import { createUnhealthyLoad } from "./adapters/modelEngine.js";
import type { LeaseCounters } from "./leaseCounters.js";
import type { Runner } from "./runner.js";
import type { BackendServerAdapter, BackendServerLoad } from "./types.js";

/** Options of a reporter. */
export interface ReporterOptions {
    readonly announcement: AgentAnnouncement;
    readonly adapter: BackendServerAdapter;
    readonly control: ControlClient;
    readonly counters: LeaseCounters;
    readonly runner: Pick<Runner, "getLoad">;
    readonly stopSignal: AbortSignal;
}

/** Reports the state of the agent to control and to entries. */
export interface Reporter {
    start(): void;
    /** True from the acknowledgement of the announcement until control reports that it does not know the agent. */
    isAnnounced(): boolean;
    /** True while control asks the agent to take no new work. */
    isDraining(): boolean;
    /** True while the backend server responds to probes. */
    isHealthy(): boolean;
    /** Reports to entries immediately that the agent takes no new work. */
    setLeaving(): void;
}

const heartbeatIntervalMs = 2_000;
/** Interval between load reports while no entry has requested another one. */
const defaultReportIntervalMs = 500;
/** Interval between load probes of the backend server. */
const probeIntervalMs = 500;
const callTimeoutMs = 1_500;
const announceTimeoutMs = 3_000;
const leasesPerHeartbeat = 200;
/** Maximum number of entries that an agent sends load reports to. With more entries, each agent selects this many by hash. */
export const reportFanOut = 12;
/** Consecutive failed probes after which a backend server is reported unhealthy. */
const maxProbeFailures = 2;

/** Creates a reporter. */
export function createReporter(host: Host, options: ReporterOptions): Reporter {
    const { adapter, control, counters, stopSignal } = options;
    const log = host.createLogger("reporter");
    const entryClients = createRpcClients<EntryRouter>(host.network);
    let announcement = options.announcement;
    let entries: readonly EntryAnnouncement[] = [];
    let entriesIndex = 0;
    let isAnnounced = false;
    let isDraining = false;
    let isLeaving = false;
    let load: BackendServerLoad = createUnhealthyLoad();
    let consecutiveProbeFailures = 0;
    let sequence = 0;
    let highestEpoch = -1;
    const requestedIntervalsMs = new Map<string, number>();
    // The announcement that each entry has received, by the incarnation of the entry.
    const announcementsByEntry = new Map<string, AgentAnnouncement>();
    const completedOrderIds = new Set<number>();

    return {
        start() {
            void runPeriodically(
                host.timers,
                heartbeatIntervalMs,
                stopSignal,
                sendHeartbeat,
                error => log.warn("Sending the heartbeat to control failed.", { detail: getErrorText(error) }),
            );
            void runPeriodically(
                host.timers,
                probeIntervalMs,
                stopSignal,
                probe,
                error => log.debug("Probing the backend server failed.", { detail: getErrorText(error) }),
            );
            void runReportLoop();
        },
        isAnnounced: () => isAnnounced,
        isDraining: () => isDraining,
        isHealthy: () => load.isHealthy,
        setLeaving() {
            isLeaving = true;
            reportLoad();
        },
    };

    async function sendHeartbeat(): Promise<void> {
        if (!isAnnounced && !await announce()) return;
        const { vm, failureDomain, incarnation, backendServer } = announcement;
        const leaseIds = [...counters.takeLeaseIdsToCheck(leasesPerHeartbeat)];
        const outcome = await control.heartbeat(
            { vm, failureDomain, incarnation, backendServer, leaseIds, entriesIndex },
            heartbeatIntervalMs,
        );
        if (outcome.kind === "done") await applyHeartbeatResult(outcome.result);
    }

    // No request may start until control has reported which leases are being recovered.
    async function announce(): Promise<boolean> {
        const outcome = await control.submit("fleet.announceAgent", { agent: announcement }, { timeoutMs: announceTimeoutMs });
        if (outcome.kind !== "done") return false;
        for (const leaseId of outcome.result.recoveringLeaseIds) counters.close(leaseId);
        isAnnounced = true;
        log.info("Control acknowledged the announcement of this agent.", { backendServer: announcement.backendServer });
        return true;
    }

    async function applyHeartbeatResult(result: HeartbeatResult): Promise<void> {
        if (!result.isKnown) isAnnounced = false;
        isDraining = result.isDraining;
        counters.remove(result.closedLeaseIds);
        entriesIndex = result.entriesIndex;
        entries = result.entries ?? entries;
        // Control sends only epochs that a quorum has confirmed, so a lower epoch comes from a deposed leader.
        if (result.epoch < highestEpoch) return;
        highestEpoch = result.epoch;
        for (const order of result.orders) await executeOrder(order);
    }

    async function executeOrder(order: EngineOrder): Promise<void> {
        if (completedOrderIds.has(order.orderId) || order.epoch < highestEpoch) return;
        const isDone = await adapter.applyOrder(order).catch(() => false);
        if (!isDone) return;
        completedOrderIds.add(order.orderId);
        const adapters = announcement.adapters.filter(artifact => artifact !== order.artifact);
        announcement = { ...announcement, adapters: order.action === "load" ? [...adapters, order.artifact] : adapters };
        await control.submit("fleet.announceAgent", { agent: announcement }, { timeoutMs: announceTimeoutMs });
        await control.submit("orders.done", { orderId: order.orderId, isDone: true }, { timeoutMs: announceTimeoutMs });
        log.info("Executed an order.", { artifact: order.artifact });
    }

    // Reports to all entries at the longest interval that any of them requested, so that none is overloaded.
    async function runReportLoop(): Promise<void> {
        while (!stopSignal.aborted) {
            reportLoad();
            await sleep(host.timers, Math.max(0, ...requestedIntervalsMs.values()) || defaultReportIntervalMs, stopSignal);
        }
    }

    function reportLoad(): void {
        if (!isAnnounced) return;
        const report: LoadReport = {
            backendServer: announcement.backendServer,
            incarnation: announcement.incarnation,
            sequence: sequence++,
            isLeaving: isLeaving || isDraining,
            isHealthy: load.isHealthy,
            ...options.runner.getLoad(),
            runningRequests: load.runningRequests,
            queuedRequests: load.queuedRequests,
            tokensPerSecond: load.tokensPerSecond,
            cacheAdded: load.cacheAdded,
            cacheRemoved: load.cacheRemoved,
        };
        load = { ...load, cacheAdded: [], cacheRemoved: [] };
        const targets = selectReportTargets(entries, announcement.backendServer, reportFanOut);
        for (const address of requestedIntervalsMs.keys()) {
            if (!targets.some(entry => entry.address === address)) requestedIntervalsMs.delete(address);
        }
        for (const incarnation of announcementsByEntry.keys()) {
            if (!targets.some(entry => entry.incarnation === incarnation)) announcementsByEntry.delete(incarnation);
        }
        // Not awaited: an entry that does not respond must not delay the next report to the others.
        for (const entry of targets) void sendReport(entry, report);
    }

    async function sendReport(entry: EntryAnnouncement, report: LoadReport): Promise<void> {
        const isKnown = announcementsByEntry.get(entry.incarnation) === announcement;
        const call = entryClients.get(entry.address).report.mutate(isKnown ? report : { ...report, agent: announcement }) as Promise<
            ReportReply
        >;
        const reply = await withTimeout(host.timers, call, callTimeoutMs, "report").catch(() => undefined);
        if (reply === undefined) return;
        requestedIntervalsMs.set(entry.address, reply.nextReportMs);
        if (reply.wantsAgent) announcementsByEntry.delete(entry.incarnation);
        else announcementsByEntry.set(entry.incarnation, announcement);
    }

    async function probe(): Promise<void> {
        try {
            const probedLoad = await withTimeout(host.timers, adapter.refreshLoad(), callTimeoutMs, "load probe");
            // Keeps the cache events that no report has included yet.
            const cacheAdded = [...load.cacheAdded, ...probedLoad.cacheAdded];
            const cacheRemoved = [...load.cacheRemoved, ...probedLoad.cacheRemoved];
            load = { ...probedLoad, cacheAdded, cacheRemoved };
            consecutiveProbeFailures = 0;
        }
        catch {
            consecutiveProbeFailures++;
            if (consecutiveProbeFailures >= maxProbeFailures) load = createUnhealthyLoad();
        }
    }
}

/**
 * Selects the entries that receive the load reports of a backend server by rendezvous (highest random weight) hashing
 * (Thaler and Ravishankar, 1998).
 */
export function selectReportTargets(
    entries: readonly EntryAnnouncement[],
    backendServer: string,
    count: number,
): readonly EntryAnnouncement[] {
    if (entries.length <= count) return entries;
    const weighted = entries.map(entry => ({ entry, weight: getSha256(`${backendServer} ${entry.vm}`) }));
    return weighted.sort((a, b) => a.weight < b.weight ? 1 : -1).slice(0, count).map(item => item.entry);
}

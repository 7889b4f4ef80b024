/** The agent's announcements: to control by heartbeats, to entries by load reports, and the orders that come back. */
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
import type { BackendServerAdapter, EngineLoad } from "./types.js";

/** What the reporter works with. */
export interface ReporterOptions {
    readonly announcement: AgentAnnouncement;
    readonly adapter: BackendServerAdapter;
    readonly control: ControlClient;
    readonly counters: LeaseCounters;
    readonly runner: Pick<Runner, "getLoad">;
    readonly stopSignal: AbortSignal;
}

/** The agent's word to the rest of the fleet. */
export interface Reporter {
    start(): void;
    isAnnounced(): boolean;
    isDraining(): boolean;
    isHealthy(): boolean;
    /** Tells entries at once that no new work is taken. */
    setLeaving(): void;
}

const heartbeatMs = 2_000;
/** Pause between two load reports until an entry asks for another one. */
const initialReportMs = 500;
/** Pause between two looks at the backend server itself. */
const probeMs = 500;
const callTimeoutMs = 1_500;
const announceTimeoutMs = 3_000;
const leasesPerHeartbeat = 200;
/** Entries that hear each agent's load reports. A larger fleet is divided among entries by hash. */
export const reportFanOut = 12;
/** Failed probes after which a backend server counts as gone. */
const failedProbes = 2;

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
    let load: EngineLoad = createUnhealthyLoad();
    let failures = 0;
    let sequence = 0;
    let highestEpoch = -1;
    const wantedPaces = new Map<string, number>();
    // The announcement that each entry has, by the entry's incarnation.
    const knownBy = new Map<string, AgentAnnouncement>();
    const doneOrders = new Set<number>();

    return {
        start() {
            void runPeriodically(
                host.timers,
                heartbeatMs,
                stopSignal,
                beat,
                error => log.warn("A heartbeat failed.", { detail: getErrorText(error) }),
            );
            void runPeriodically(
                host.timers,
                probeMs,
                stopSignal,
                refresh,
                error => log.debug("A probe failed.", { detail: getErrorText(error) }),
            );
            void reportTask();
        },
        isAnnounced: () => isAnnounced,
        isDraining: () => isDraining,
        isHealthy: () => load.isHealthy,
        setLeaving() {
            isLeaving = true;
            reportLoad();
        },
    };

    async function beat(): Promise<void> {
        if (!isAnnounced && !await announce()) return;
        const { vm, failureDomain, incarnation, backendServer } = announcement;
        const leaseIds = [...counters.takeForCheck(leasesPerHeartbeat)];
        const outcome = await control.heartbeat({ vm, failureDomain, incarnation, backendServer, leaseIds, entriesIndex }, heartbeatMs);
        if (outcome.kind === "done") await learn(outcome.result);
    }

    // Until control has said which leases are being recovered, nothing may start here.
    async function announce(): Promise<boolean> {
        const outcome = await control.submit("fleet.announceAgent", { agent: announcement }, { timeoutMs: announceTimeoutMs });
        if (outcome.kind !== "done") return false;
        for (const leaseId of outcome.result.recoveringLeaseIds) counters.close(leaseId);
        isAnnounced = true;
        log.info("Control knows this agent.", { backendServer: announcement.backendServer });
        return true;
    }

    async function learn(result: HeartbeatResult): Promise<void> {
        if (!result.isKnown) isAnnounced = false;
        isDraining = result.isDraining;
        counters.forget(result.closedLeaseIds);
        entriesIndex = result.entriesIndex;
        entries = result.entries ?? entries;
        // Every epoch here was confirmed by a quorum, so an older one belongs to a deposed leader.
        if (result.epoch < highestEpoch) return;
        highestEpoch = result.epoch;
        for (const order of result.orders) await carryOut(order);
    }

    async function carryOut(order: EngineOrder): Promise<void> {
        if (doneOrders.has(order.orderId) || order.epoch < highestEpoch) return;
        const isDone = await adapter.applyOrder(order).catch(() => false);
        if (!isDone) return;
        doneOrders.add(order.orderId);
        const adapters = announcement.adapters.filter(artifact => artifact !== order.artifact);
        announcement = { ...announcement, adapters: order.action === "load" ? [...adapters, order.artifact] : adapters };
        await control.submit("fleet.announceAgent", { agent: announcement }, { timeoutMs: announceTimeoutMs });
        await control.submit("orders.done", { orderId: order.orderId, isDone: true }, { timeoutMs: announceTimeoutMs });
        log.info("An order was carried out.", { artifact: order.artifact });
    }

    // The slowest pace that any entry asks for holds for all, so that none is flooded.
    async function reportTask(): Promise<void> {
        while (!stopSignal.aborted) {
            reportLoad();
            await sleep(host.timers, Math.max(0, ...wantedPaces.values()) || initialReportMs, stopSignal);
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
        const targets = pickEntries(entries, announcement.backendServer, reportFanOut);
        for (const address of wantedPaces.keys()) {
            if (!targets.some(entry => entry.address === address)) wantedPaces.delete(address);
        }
        for (const incarnation of knownBy.keys()) {
            if (!targets.some(entry => entry.incarnation === incarnation)) knownBy.delete(incarnation);
        }
        // An entry that does not answer must not delay the next report to the others.
        for (const entry of targets) void sendReport(entry, report);
    }

    async function sendReport(entry: EntryAnnouncement, report: LoadReport): Promise<void> {
        const isKnown = knownBy.get(entry.incarnation) === announcement;
        const call = entryClients.get(entry.address).report.mutate(isKnown ? report : { ...report, agent: announcement }) as Promise<
            ReportReply
        >;
        const reply = await withTimeout(host.timers, call, callTimeoutMs, "report").catch(() => undefined);
        if (reply === undefined) return;
        wantedPaces.set(entry.address, reply.nextReportMs);
        if (reply.wantsAgent) knownBy.delete(entry.incarnation);
        else knownBy.set(entry.incarnation, announcement);
    }

    async function refresh(): Promise<void> {
        try {
            const fresh = await withTimeout(host.timers, adapter.refreshLoad(), callTimeoutMs, "load probe");
            // Cache events that no report has carried yet are kept for the next one.
            const cacheAdded = [...load.cacheAdded, ...fresh.cacheAdded];
            const cacheRemoved = [...load.cacheRemoved, ...fresh.cacheRemoved];
            load = { ...fresh, cacheAdded, cacheRemoved };
            failures = 0;
        }
        catch {
            failures++;
            if (failures >= failedProbes) load = createUnhealthyLoad();
        }
    }
}

/** Entries that hear a backend server's reports: those with the highest hash (Thaler and Ravishankar, 1998). */
export function pickEntries(entries: readonly EntryAnnouncement[], backendServer: string, count: number): readonly EntryAnnouncement[] {
    if (entries.length <= count) return entries;
    const weighted = entries.map(entry => ({ entry, weight: getSha256(`${backendServer} ${entry.vm}`) }));
    return weighted.sort((a, b) => a.weight < b.weight ? 1 : -1).slice(0, count).map(item => item.entry);
}

/** The one module that constructs the parts and connects them. Every program and every test bench uses it. */
import { createModelEngineAdapter } from "./agent/adapters/modelEngine.js";
import { createPlainServiceAdapter } from "./agent/adapters/plainService.js";
import { createAgent } from "./agent/agent.js";
import type { Agent } from "./agent/agent.js";
import { createRelay } from "./agent/relay.js";
import type { BackendServerAdapter } from "./agent/types.js";
import { createAdministration } from "./control/administration.js";
import { createControl } from "./control/control.js";
import type { Control } from "./control/control.js";
import { prepareMember } from "./control/group.js";
import type { ReplicaTiming } from "./control/log/replicaTypes.js";
import { formatStore } from "./control/log/store.js";
import { getVoters } from "./control/log/types.js";
import type { Member } from "./control/log/types.js";
import type { leaseRules } from "./control/plugins/budgets/types.js";
import { createControlState } from "./control/plugins/index.js";
import { createGateway } from "./entry/direct/gateway.js";
import type { Gateway } from "./entry/direct/gateway.js";
import type { RetryRules } from "./entry/direct/retryWindow.js";
import type { DirectProtocol } from "./entry/direct/types.js";
import { createEntry } from "./entry/entry.js";
import type { Entry, EntryOptions } from "./entry/entry.js";
import { createControlClient } from "./kernel/controlClient.js";
import type { ControlClient } from "./kernel/controlClient.js";
import { createControlPaths } from "./kernel/controlPaths.js";
import { createProcessHandler } from "./kernel/endpoints.js";
import type { Host, HttpRequest, Listener, ServerOptions, TlsFiles } from "./kernel/host.js";
import { fleetSecretHeader, isSameSecret } from "./kernel/hostNode.js";
import type { AgentAnnouncement } from "./kernel/messages.js";
import { readHistogram } from "./kernel/metrics.js";
import type { MetricReading } from "./kernel/metrics.js";
import { createStopController, repeat } from "./kernel/tasks.js";
import type { Address, BackendServerKind, FailureDomainName, VmName } from "./kernel/types.js";

/** Where and as what a process runs. */
export interface ProcessSettings {
    readonly vm: VmName;
    readonly failureDomain: FailureDomainName;
    readonly listen: Address;
    readonly controlAddresses: readonly Address[];
}

/** Settings of a control VM. */
export interface ControlSettings extends ProcessSettings {
    readonly voterId: string;
    readonly groupId: string;
    readonly dataFolder: string;
    readonly operatorToken: string;
    /** Address of the administration API. The same as `listen` serves both. */
    readonly administrationListen: Address;
    readonly tls?: TlsFiles;
    readonly timing?: ReplicaTiming;
    readonly snapshotEveryEntries?: number;
    readonly leaseRules?: typeof leaseRules;
}

/** Settings of an entry. */
export interface EntrySettings extends ProcessSettings {
    /** Address for the fleet's own calls. */
    readonly fleetListen: Address;
    readonly tls?: TlsFiles;
    readonly overrides?: Partial<Pick<EntryOptions, "routingPolicy" | "chooseOverride" | "budgetPreferences" | "createLeases">>;
}

/** Settings of an agent. */
export interface AgentSettings extends ProcessSettings {
    readonly backendServer: string;
    readonly backendServerAddress: Address;
    readonly kind: BackendServerKind;
    readonly pool: string;
    readonly models: readonly string[];
    readonly adapters: readonly string[];
    readonly checksFencing: boolean;
    readonly maxConcurrent: number;
    readonly fleetSecret: string;
}

/** A process that serves. */
export interface RunningProcess<T> {
    readonly part: T;
    readonly listeners: readonly Listener[];
    readonly control: ControlClient;
    /** Graceful stop, then closed listeners. */
    stop(): Promise<void>;
}

/** A running process that finds control through seeds. */
export interface SeededProcess<T> extends RunningProcess<T> {
    /** Takes other addresses in place of the seeds that it was started with. */
    setSeeds(seeds: readonly Address[]): void;
}

const maxBodyBytes = 8 * 1024 * 1024;
const maxFleetBodyBytes = 64 * 1024 * 1024;

/** Formats the data folder of a founding voter. */
export function initializeControl(
    host: Host,
    settings: Pick<ControlSettings, "dataFolder" | "groupId" | "voterId">,
    founders: readonly Member[],
): Promise<void> {
    const { dataFolder, groupId, voterId } = settings;
    return formatStore(host.disk, dataFolder, { groupId, voterId, founders: { voters: founders, learners: [] } });
}

/** Starts a control VM. */
export async function startControl(host: Host, settings: ControlSettings): Promise<RunningProcess<Control>> {
    const part = await createControl(host, {
        vm: settings.vm,
        groupId: settings.groupId,
        self: { voterId: settings.voterId, address: settings.listen, failureDomain: settings.failureDomain },
        dataFolder: settings.dataFolder,
        timing: settings.timing,
        snapshotEveryEntries: settings.snapshotEveryEntries,
        createState: (register, registry) => createControlState(register, registry, { leaseRules: settings.leaseRules }),
    });
    const control = createControlClient(host, settings.controlAddresses);
    const administration = createAdministration(host, {
        isOperator: token => isSameSecret(token, settings.operatorToken),
        control,
        local: part.api,
        controlAddresses: settings.controlAddresses,
    });
    const handler = createProcessHandler({ isReady: part.isReady, readMetrics: () => readControlMetrics(part), handler: administration });
    const fleet = await host.network.serve({ address: settings.listen, handler, router: part.router, maxBodyBytes: maxFleetBodyBytes });
    const listeners = [fleet];
    if (settings.administrationListen !== settings.listen) {
        listeners.push(
            await host.network.serve({
                address: settings.administrationListen,
                handler,
                maxBodyBytes: maxFleetBodyBytes,
                tls: settings.tls,
            }),
        );
    }
    return createRunning(part, listeners, control);
}

/** Starts an entry. */
export async function startEntry(host: Host, settings: EntrySettings): Promise<RunningProcess<Entry>> {
    const control = createControlClient(host, settings.controlAddresses);
    const { vm, failureDomain, fleetListen } = settings;
    const incarnation = host.random.nextId();
    const parts: { entry?: Entry; } = {};
    const handler = createProcessHandler({
        isReady: () => parts.entry?.isReady() ?? false,
        readMetrics: () => parts.entry === undefined ? [] : readEntryMetrics(parts.entry),
        handler: (request, response) => parts.entry!.handle(request, response),
    });
    const entry = createEntry(host, {
        identity: { vm, role: "entry", failureDomain, incarnation, address: fleetListen },
        control,
        ...settings.overrides,
    });
    parts.entry = entry;
    const listeners = [
        await host.network.serve({ address: fleetListen, handler: refuseAll, router: entry.router, maxBodyBytes: maxFleetBodyBytes }),
        await host.network.serve({ address: settings.listen, handler, maxBodyBytes, tls: settings.tls }),
    ];
    entry.start();
    return createRunning(entry, listeners, control);
}

/** Settings of a control VM whose group forms itself from seeds. */
export interface MemberControlSettings {
    readonly vm: VmName;
    readonly failureDomain: FailureDomainName;
    /** Address for the fleet's own calls. */
    readonly fleetListen: Address;
    readonly groupId: string;
    readonly dataFolder: string;
    readonly seeds: readonly Address[];
    readonly isBootstrap: boolean;
    readonly targetVoters: number;
    readonly timing?: ReplicaTiming;
}

/** What else a control VM serves, on addresses of its own. */
export type ExtraServer = (part: Control, control: ControlClient) => Pick<ServerOptions, "address" | "handler">;

/** Starts a control VM that finds its group by itself. */
export async function startSeededControl(
    host: Host,
    settings: MemberControlSettings,
    createExtraServer: ExtraServer,
): Promise<SeededProcess<Control>> {
    const { vm, failureDomain, fleetListen, groupId, dataFolder } = settings;
    let seeds = settings.seeds;
    const self = await prepareMember(host, {
        dataFolder,
        groupId,
        address: fleetListen,
        failureDomain,
        seeds,
        isFounding: settings.isBootstrap,
    });
    const part = await createControl(host, {
        vm,
        groupId,
        self,
        dataFolder,
        timing: settings.timing,
        snapshotEveryEntries: memberSnapshotEveryEntries,
        createState: (register, registry) => createControlState(register, registry, { leaseRules: directLeaseRules }),
        group: { getSeeds: () => seeds, targetVoters: settings.targetVoters },
    });
    const paths = createControlPaths(host, [fleetListen, ...seeds.filter(seed => seed !== fleetListen)]);
    const control = createControlClient(host, paths, directClientTiming);
    const followMembers = () => paths.learnMembers(getVoters(part.replica.getStatus().membership).map(voter => voter.address));
    const following = createStopController();
    void repeat(host.timers, followMembersMs, following.signal, async () => followMembers(), () => undefined);
    const handler = createProcessHandler({ isReady: part.isReady, readMetrics: () => readControlMetrics(part), handler: refuseAll });
    const listeners = [
        await host.network.serve({ address: fleetListen, handler, router: part.router, maxBodyBytes: maxFleetBodyBytes }),
        await host.network.serve({ ...createExtraServer(part, control), maxBodyBytes: maxFleetBodyBytes }),
    ];
    const running = createRunning(part, listeners, control);
    return {
        ...running,
        setSeeds(addresses) {
            seeds = addresses;
            paths.setSeeds(addresses);
        },
        async stop() {
            following.abort();
            await running.stop();
        },
    };
}

/** A restart applies no more than these anew, which bounds the time until the group serves again. */
const memberSnapshotEveryEntries = 250;
const followMembersMs = 500;
/** Entries that dispatch themselves hold a small part of what is free, because it is lost with them. */
const directLeaseRules = {
    overspend: { leaseMs: 300_000, maxGrantShare: 0.1, isRecallEnabled: true },
    falseRefusals: { leaseMs: 300_000, maxGrantShare: 0.1, isRecallEnabled: true },
} as const;
/** Calls within a region answer in a few milliseconds, so a silent way is soon given up. */
const directClientTiming = { attemptTimeoutMs: 350, hedgeAfterMs: 60, probeEveryMs: 500 } as const;
const directLeasePacing = {
    tickMs: 60,
    refillPauseMs: { given: 150, refused: 400 },
    settleDelayMs: { quiet: 500, steady: 2_000 },
    renewTimeoutMs: 900,
    // Little is held ahead, because what an entry holds is lost with it.
    demand: { halfLifeMs: 3_000, minMeasuredMs: 1_500, requestsAhead: 2, urgentHorizonMs: 600 },
    maxHeldShare: 0.03,
} as const;

/** Settings of an entry that dispatches to backend servers itself. */
export interface GatewaySettings {
    readonly vm: VmName;
    readonly failureDomain: FailureDomainName;
    readonly listen: Address;
    readonly readyListen: Address;
    readonly fleetListen: Address;
    readonly seeds: readonly Address[];
    readonly retryRules: RetryRules;
    readonly stopTimeoutMs: number;
    /** Connections to one backend server. */
    readonly maxConnections: number;
    readonly connectTimeoutMs: number;
}

/** Starts an entry that dispatches to backend servers itself. */
export async function startGateway(host: Host, settings: GatewaySettings, protocol: DirectProtocol): Promise<SeededProcess<Gateway>> {
    const { vm, failureDomain, fleetListen } = settings;
    const paths = createControlPaths(host, settings.seeds);
    const control = createControlClient(host, paths, directClientTiming);
    const connections = host.network.createBackendConnections({
        connectTimeoutMs: settings.connectTimeoutMs,
        maxConnections: settings.maxConnections,
    });
    const fleetPort = fleetListen.slice(fleetListen.lastIndexOf(":"));
    let callers: Listener | undefined = undefined;
    const gateway = createGateway(host, {
        identity: { vm, role: "entry", failureDomain, incarnation: host.random.nextId(), address: fleetListen },
        control,
        connections,
        protocol,
        retryRules: settings.retryRules,
        leasePacing: directLeasePacing,
        stopMs: settings.stopTimeoutMs,
        // A relay stands beside each model engine, at the fleet's port.
        onServers: servers => paths.learnRelays([...new Set(servers.map(server => server.address.replace(/:\d+$/, fleetPort)))]),
        onMembers: paths.learnMembers,
        onRefusing: () => callers?.closeIdleConnections(),
    });
    const endpoints = createProcessHandler({
        isReady: gateway.isReady,
        readMetrics: () => readRequestMetrics(gateway),
        handler: refuseAll,
    });
    callers = await host.network.serve({ address: settings.listen, handler: gateway.handle, maxBodyBytes });
    const listeners = [
        await host.network.serve({ address: settings.readyListen, handler: endpoints, maxBodyBytes }),
        await host.network.serve({ address: fleetListen, handler: endpoints, router: gateway.router, maxBodyBytes: maxFleetBodyBytes }),
        callers,
    ];
    gateway.start();
    return { ...createRunning(gateway, listeners, control), setSeeds: paths.setSeeds };
}

/** Settings of a relay. */
export interface RelaySettings {
    readonly fleetListen: Address;
    readonly fleetSecret: string;
}

/** Starts a relay of the fleet's calls. */
export async function startRelay(host: Host, settings: RelaySettings): Promise<{ readonly listeners: readonly Listener[]; }> {
    const { fleetListen, fleetSecret } = settings;
    const fleetPort = Number(fleetListen.slice(fleetListen.lastIndexOf(":") + 1));
    const relay = createRelay(host, { fleetPort, isAuthentic: request => isFromFleet(request, fleetSecret) });
    const handler = createProcessHandler({ isReady: () => true, readMetrics: () => [], handler: relay });
    return { listeners: [await host.network.serve({ address: fleetListen, handler, maxBodyBytes: maxFleetBodyBytes })] };
}

/** Starts an agent beside its backend server. */
export async function startAgent(host: Host, settings: AgentSettings): Promise<RunningProcess<Agent>> {
    const control = createControlClient(host, settings.controlAddresses);
    const announcement: AgentAnnouncement = {
        backendServer: settings.backendServer,
        vm: settings.vm,
        failureDomain: settings.failureDomain,
        incarnation: host.random.nextId(),
        address: settings.listen,
        kind: settings.kind,
        pool: settings.pool,
        models: settings.models,
        adapters: settings.adapters,
        checksFencing: settings.checksFencing,
        maxConcurrent: settings.maxConcurrent,
    };
    const agent = createAgent(host, {
        announcement,
        adapter: adapterFactories[settings.kind](host, settings.backendServerAddress),
        control,
        isAuthentic: request => isFromFleet(request, settings.fleetSecret),
    });
    const handler = createProcessHandler({ isReady: agent.isReady, readMetrics: () => readAgentMetrics(agent), handler: agent.handle });
    const listener = await host.network.serve({ address: settings.listen, handler, router: agent.router, maxBodyBytes });
    agent.start();
    return createRunning(agent, [listener], control);
}

const adapterFactories: Readonly<Record<BackendServerKind, (host: Host, address: Address) => BackendServerAdapter>> = {
    modelEngine: createModelEngineAdapter,
    plainService: createPlainServiceAdapter,
};

// A fake network has no strangers on it, and its requests carry no secret.
function isFromFleet(request: HttpRequest, fleetSecret: string): boolean {
    return fleetSecret === "" || isSameSecret(request.headers[fleetSecretHeader], fleetSecret);
}

async function refuseAll(_request: HttpRequest, response: Parameters<Agent["handle"]>[1]): Promise<void> {
    response.start(401, {});
    response.end();
}

function createRunning<T extends { stop(): Promise<void>; }>(
    part: T,
    listeners: readonly Listener[],
    control: ControlClient,
): RunningProcess<T> {
    return {
        part,
        listeners,
        control,
        async stop() {
            await part.stop();
            await Promise.all(listeners.map(listener => listener.close()));
        },
    };
}

function readControlMetrics(control: Control): readonly MetricReading[] {
    const status = control.replica.getStatus();
    const budgets = control.state.ledger.listViews();
    const sum = (pick: (budget: (typeof budgets)[number]) => number) => budgets.reduce((total, budget) => total + pick(budget), 0);
    return [
        { name: "lovage_control_is_leader", help: "1 while this VM leads", value: status.role === "leader" ? 1 : 0 },
        { name: "lovage_control_term", help: "term of the log", value: status.term },
        { name: "lovage_control_commit_index", help: "last committed index", value: status.commitIndex },
        { name: "lovage_control_disk_failed", help: "1 while the data folder cannot be written", value: status.hasDiskFailed ? 1 : 0 },
        { name: "lovage_budget_settled_tokens", help: "settled tokens of all budgets", value: sum(budget => budget.settledTokens) },
        { name: "lovage_budget_leased_tokens", help: "leased tokens of all budgets", value: sum(budget => budget.leasedTokens) },
        { name: "lovage_budget_in_doubt_tokens", help: "tokens in doubt of all budgets", value: sum(budget => budget.inDoubtTokens) },
    ];
}

function readEntryMetrics(entry: Entry): readonly MetricReading[] {
    return [
        ...readRequestMetrics(entry),
        { name: "lovage_entry_owed", help: "settlements and claims that are not confirmed yet", value: entry.getPendingTaskCount() },
    ];
}

function readRequestMetrics(entry: Pick<Entry, "statistics" | "getVersion">): readonly MetricReading[] {
    const counts = entry.statistics.read();
    return [
        { name: "lovage_entry_requests", help: "requests so far", value: counts.requests },
        { name: "lovage_entry_dispatches", help: "dispatches so far", value: counts.dispatches },
        { name: "lovage_entry_retries", help: "retries so far", value: counts.retries },
        { name: "lovage_entry_version", help: "version in force", value: entry.getVersion() },
        ...Object.entries(counts.refusals).map(([code, value]) => ({
            name: "lovage_entry_refusals",
            help: "refusals by code",
            value,
            labels: { code },
        })),
        ...Object.entries(counts.answered).flatMap(([serviceClass, histogram]) =>
            readHistogram("lovage_entry_duration_seconds", "time from arrival to the end of the answer", histogram, { serviceClass })
        ),
    ];
}

function readAgentMetrics(agent: Agent): readonly MetricReading[] {
    return [{ name: "lovage_agent_running_requests", help: "requests that run now", value: agent.getRunningCount() }];
}

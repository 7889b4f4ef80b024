/** Composition root: constructs the components of each process and connects them. Programs, tests and benchmarks start processes here. */
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
import { openStore } from "./control/log/store.js";
import { formatStore } from "./control/log/storeFiles.js";
import { getVoters } from "./control/log/types.js";
import type { Member } from "./control/log/types.js";
import type { leaseRules } from "./control/plugins/budgets/types.js";
import { createControlState } from "./control/plugins/index.js";
import type { ColdBound } from "./entry/direct/coldServers.js";
import { createGateway } from "./entry/direct/gateway.js";
import type { Gateway } from "./entry/direct/gateway.js";
import type { RetryRules } from "./entry/direct/retryWindow.js";
import type { DirectProtocol } from "./entry/direct/types.js";
import { warmUp } from "./entry/direct/warmUp.js";
import { createEntry } from "./entry/entry.js";
import type { Entry, EntryOptions } from "./entry/entry.js";
import { createCapacity } from "./kernel/capacity.js";
import { createControlClient } from "./kernel/controlClient.js";
import type { ControlClient } from "./kernel/controlClient.js";
import { createControlPaths } from "./kernel/controlPaths.js";
import { createProcessHandler } from "./kernel/endpoints.js";
import { fleetSecretHeader, isSameSecret } from "./kernel/fleetSecret.js";
import type { Host, HttpRequest, Listener, ServerOptions, TlsFiles } from "./kernel/host.js";
import type { AgentAnnouncement } from "./kernel/messages.js";
import { createStopController, runPeriodically, sleep } from "./kernel/tasks.js";
import type { Address, BackendServerKind, FailureDomainName, VmName } from "./kernel/types.js";
import {
    readAgentMetrics,
    readCallMetrics,
    readCapacityMetrics,
    readControlMetrics,
    readEntryMetrics,
    readGatewayMetrics,
    readListenerMetrics,
} from "./processMetrics.js";

/** Settings that all processes have in common. */
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
    /** Address of the administration API. May equal `listen`, which then serves the API as well. */
    readonly administrationListen: Address;
    readonly tls?: TlsFiles;
    readonly timing?: ReplicaTiming;
    readonly snapshotEveryEntries?: number;
    readonly leaseRules?: typeof leaseRules;
}

/** Settings of an entry that dispatches through agents. */
export interface EntrySettings extends ProcessSettings {
    /** Address for RPC between processes of the fleet. */
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

/** A process that is listening. */
export interface RunningProcess<T> {
    /** Component that the process runs. */
    readonly part: T;
    readonly listeners: readonly Listener[];
    readonly control: ControlClient;
    /** Stops the component gracefully, then closes the listeners. */
    stop(): Promise<void>;
}

/** A running process that discovers the control VMs through seed addresses. */
export interface SeededProcess<T> extends RunningProcess<T> {
    /** Replaces the seed addresses. */
    setSeeds(seeds: readonly Address[]): void;
}

const maxBodyBytes = 8 * 1024 * 1024;
const maxFleetBodyBytes = 64 * 1024 * 1024;
/** Nothing at the address for readiness takes a body. */
const maxReadinessBodyBytes = 16 * 1024;
/** A caller gives up a new connection after about a second. Half of it leaves time to go elsewhere. */
const maxAcceptWaitMs = 500;

/** Initializes the data folder of a voter. Without initial voters, the voter is added to an existing group later. */
export function initializeControl(
    host: Host,
    settings: Pick<ControlSettings, "dataFolder" | "groupId" | "voterId">,
    initialVoters: readonly Member[],
): Promise<void> {
    const { dataFolder, groupId, voterId } = settings;
    return formatStore(host.disk, dataFolder, { groupId, voterId, founders: { voters: initialVoters, learners: [] } });
}

/** Starts a control VM on a data folder that `initializeControl` has prepared. */
export async function startControl(host: Host, settings: ControlSettings): Promise<RunningProcess<Control>> {
    const { groupId, voterId, dataFolder } = settings;
    const store = await openStore(host, dataFolder, groupId, voterId);
    const localControl = createControl(host, {
        vm: settings.vm,
        store,
        self: { voterId, address: settings.listen, failureDomain: settings.failureDomain },
        timing: settings.timing,
        snapshotEveryEntries: settings.snapshotEveryEntries,
        createState: (register, registry) => createControlState(register, registry, { leaseRules: settings.leaseRules }),
        submit: (kind, input, callOptions) => control.submit(kind, input, callOptions),
    });
    const control = createControlClient(host, settings.controlAddresses);
    const administration = createAdministration(host, {
        isOperator: token => isSameSecret(token, settings.operatorToken),
        control,
        local: localControl.api,
        listFailureDomains: localControl.listFailureDomains,
        controlAddresses: settings.controlAddresses,
    });
    const handler = createProcessHandler({
        isReady: localControl.isReady,
        readMetrics: () => [...readControlMetrics(localControl), ...readCallMetrics(host.network)],
        handler: administration,
    });
    const fleetListener = await host.network.serve({
        address: settings.listen,
        kind: "fleet",
        handler,
        router: localControl.router,
        maxBodyBytes: maxFleetBodyBytes,
        // It may be the address of the administration as well.
        getMaxBodyBytes: () => host.limits.maxBodyBytes.administration,
    });
    const listeners = [fleetListener];
    if (settings.administrationListen !== settings.listen) {
        listeners.push(
            await host.network.serve({
                address: settings.administrationListen,
                kind: "administration",
                handler,
                maxBodyBytes: maxFleetBodyBytes,
                tls: settings.tls,
            }),
        );
    }
    return createRunningProcess(localControl, listeners, control);
}

/** Starts an entry that dispatches through agents. */
export async function startEntry(host: Host, settings: EntrySettings): Promise<RunningProcess<Entry>> {
    const control = createControlClient(host, settings.controlAddresses);
    const { vm, failureDomain, fleetListen } = settings;
    const incarnation = host.random.nextId();
    // The handler needs the entry and its listener, which are created after it.
    const forwardReference: { entry?: Entry; clientListener?: Listener; } = {};
    const handler = createProcessHandler({
        isReady: () => forwardReference.entry?.isReady() ?? false,
        readMetrics: () =>
            forwardReference.entry === undefined
                ? []
                : [
                    ...readEntryMetrics(forwardReference.entry),
                    ...readListenerMetrics(forwardReference.clientListener),
                    ...readCallMetrics(host.network),
                ],
        handler: (request, response) => forwardReference.entry!.handle(request, response),
    });
    const entry = createEntry(host, {
        identity: { vm, role: "entry", failureDomain, incarnation, address: fleetListen },
        control,
        ...settings.overrides,
    });
    forwardReference.entry = entry;
    const listeners = [
        await host.network.serve({
            address: fleetListen,
            kind: "fleet",
            handler: rejectUnauthorized,
            router: entry.router,
            maxBodyBytes: maxFleetBodyBytes,
        }),
        await host.network.serve({ address: settings.listen, kind: "callers", handler, maxBodyBytes, maxAcceptWaitMs, tls: settings.tls }),
    ];
    forwardReference.clientListener = listeners[1];
    entry.start();
    return createRunningProcess(entry, listeners, control);
}

/** Settings of a control VM that creates or joins its group through seed addresses. */
export interface SeededControlSettings {
    readonly vm: VmName;
    readonly failureDomain: FailureDomainName;
    /** Address for RPC between processes of the fleet. */
    readonly fleetListen: Address;
    readonly groupId: string;
    readonly dataFolder: string;
    readonly seeds: readonly Address[];
    /** True only when the whole fleet starts for the first time. The seeds then become the initial voters. */
    readonly isBootstrap: boolean;
    /** Number of voters that the group grows to. */
    readonly targetVoters: number;
    readonly timing?: ReplicaTiming;
}

/** Creates the options of a server that a control VM runs besides its RPC server. */
export type AdditionalServerFactory = (localControl: Control, control: ControlClient) => Pick<ServerOptions, "address" | "handler">;

/** Starts a control VM that creates or joins its group through seed addresses. */
export async function startSeededControl(
    host: Host,
    settings: SeededControlSettings,
    createAdditionalServer: AdditionalServerFactory,
): Promise<SeededProcess<Control>> {
    const { vm, failureDomain, fleetListen, groupId, dataFolder } = settings;
    let seeds = settings.seeds;
    const { member, store } = await prepareMember(host, {
        dataFolder,
        groupId,
        address: fleetListen,
        failureDomain,
        seeds,
        isBootstrap: settings.isBootstrap,
    });
    const localControl = createControl(host, {
        vm,
        self: member,
        store,
        timing: settings.timing,
        snapshotEveryEntries: seededSnapshotEveryEntries,
        createState: (register, registry) => createControlState(register, registry, { leaseRules: gatewayLeaseRules }),
        group: { getSeeds: () => seeds, targetVoters: settings.targetVoters },
        submit: (kind, input, callOptions) => control.submit(kind, input, callOptions),
    });
    const paths = createControlPaths(host, [fleetListen, ...seeds.filter(seed => seed !== fleetListen)]);
    const control = createControlClient(host, paths, seededClientTiming);
    const updateMembers = () => paths.updateMembers(getVoters(localControl.replica.getStatus().membership).map(voter => voter.address));
    const memberUpdates = createStopController();
    const capacity = createCapacity(host, host.createLogger("process"));
    capacity.start(memberUpdates.signal);
    void runPeriodically(host.timers, memberUpdateIntervalMs, memberUpdates.signal, async () => updateMembers(), () => undefined);
    const handler = createProcessHandler({
        isReady: localControl.isReady,
        readMetrics: () => [...readControlMetrics(localControl), ...readCapacityMetrics(capacity), ...readCallMetrics(host.network)],
        handler: rejectUnauthorized,
    });
    const listeners = [
        await host.network.serve({
            address: fleetListen,
            kind: "fleet",
            handler,
            router: localControl.router,
            maxBodyBytes: maxFleetBodyBytes,
        }),
        await host.network.serve({
            ...createAdditionalServer(localControl, control),
            kind: "administration",
            maxBodyBytes: maxFleetBodyBytes,
        }),
    ];
    const running = createRunningProcess(localControl, listeners, control);
    return {
        ...running,
        setSeeds(addresses) {
            seeds = addresses;
            paths.setSeeds(addresses);
        },
        async stop() {
            memberUpdates.abort();
            await running.stop();
        },
    };
}

/** Log entries between two snapshots. A restart replays at most this many, which bounds the time until the group serves again. */
const seededSnapshotEveryEntries = 250;
const memberUpdateIntervalMs = 500;
/**
 * Gateways lease only a small share of a budget's free tokens, because tokens that a gateway holds cannot be used elsewhere until its lease
 * is recovered. Their leases have usage ceilings, so a short lease cannot lead to overspend.
 */
export const gatewayLeaseRules = {
    overspend: { leaseMs: 30_000, maxGrantShare: 0.1, isRecallEnabled: true },
    falseRefusals: { leaseMs: 30_000, maxGrantShare: 0.1, isRecallEnabled: true },
} as const;
/** Calls within a region complete in a few milliseconds, so an unresponsive path is abandoned early. */
const seededClientTiming = { attemptTimeoutMs: 350, hedgingDelayMs: 60, probeIntervalMs: 500 } as const;
/** Timing of the lease calls of gateways, which call control often. */
export const gatewayLeasePacing = {
    tickMs: 60,
    refillPauseMs: { granted: 150, refused: 400 },
    settleDelayMs: { quiet: 500, steady: 2_000 },
    renewTimeoutMs: 900,
    // Few tokens are leased ahead of demand, because tokens that a gateway holds cannot be used elsewhere.
    demand: { halfLifeMs: 3_000, minMeasuredMs: 1_500, requestsAhead: 2, urgentHorizonMs: 600 },
    maxHeldShare: 0.03,
    fleetHeldShare: 0.5,
    // Raised with the settlements, which are at most 2 s apart, so a gateway can deliver for 4 s without control.
    ceiling: {
        aheadMs: 6_000,
        lowMs: 4_000,
        minAheadMs: 1_500,
        tokensPerRequest: 32,
        fleetAheadShare: 0.2,
        halfLifeMs: 3_000,
        minMeasuredMs: 4_000,
    },
} as const;

const warmUpPollMs = 100;
/** A few requests of callers do not show that there is traffic. */
const maxRequestsBesideWarmUp = 3;

/** Settings of a gateway, an entry that sends requests to backend servers directly instead of through agents. */
export interface GatewaySettings {
    readonly vm: VmName;
    readonly failureDomain: FailureDomainName;
    readonly listen: Address;
    readonly readyListen: Address;
    readonly fleetListen: Address;
    readonly seeds: readonly Address[];
    readonly retryRules: RetryRules;
    /** Bound of what a cold backend server may get within one second. Without it, no more than the rate of its pool. */
    readonly coldBound?: ColdBound;
    /** Time within which operators expect an acknowledged configuration in force. */
    readonly configurationApplyMs?: number;
    /** Maximum duration of a graceful stop. */
    readonly stopTimeoutMs: number;
    /** Maximum number of connections to one backend server. */
    readonly maxConnections: number;
    readonly connectTimeoutMs: number;
    /** Lets requests wait while the process is saturated, and dispatches the most urgent ones first. Off by default. */
    readonly hasAdmissionQueue?: boolean;
    /** Makes requests to itself once it is ready and until callers send some. Needs a real network. */
    readonly isWarmedUp?: boolean;
}

/** Starts a gateway, an entry that sends requests to backend servers directly instead of through agents. */
export async function startGateway(host: Host, settings: GatewaySettings, protocol: DirectProtocol): Promise<SeededProcess<Gateway>> {
    const { vm, failureDomain, fleetListen } = settings;
    const paths = createControlPaths(host, settings.seeds);
    const control = createControlClient(host, paths, seededClientTiming);
    const connections = host.network.createBackendConnections({
        connectTimeoutMs: settings.connectTimeoutMs,
        maxConnections: settings.maxConnections,
    });
    const fleetPort = fleetListen.slice(fleetListen.lastIndexOf(":"));
    let clientListener: Listener | undefined = undefined;
    const identity = { vm, role: "entry", failureDomain, incarnation: host.random.nextId(), address: fleetListen } as const;
    const gateway = createGateway(host, {
        identity,
        control,
        connections,
        protocol,
        retryRules: settings.retryRules,
        coldBound: settings.coldBound,
        leasePacing: gatewayLeasePacing,
        hasAdmissionQueue: settings.hasAdmissionQueue,
        maxConfigurationAgeMs: settings.configurationApplyMs,
        stopTimeoutMs: settings.stopTimeoutMs,
        // Each model engine has a relay on the same VM, which listens on the fleet port.
        onServers: servers => paths.updateRelays([...new Set(servers.map(server => server.address.replace(/:\d+$/, fleetPort)))]),
        onVoterAddresses: paths.updateMembers,
        onRefusing: () => clientListener?.closeIdleConnections(),
    });
    const endpoints = createProcessHandler({
        isReady: gateway.isReady,
        readMetrics: () => [...readGatewayMetrics(gateway), ...readListenerMetrics(clientListener), ...readCallMetrics(host.network)],
        handler: rejectUnauthorized,
    });
    clientListener = await host.network.serve({
        address: settings.listen,
        kind: "callers",
        handler: gateway.handle,
        maxBodyBytes,
        getMaxBodyBytes: gateway.getMaxBodyBytes,
        refuseBody: gateway.refuseBody,
        maxAcceptWaitMs,
    });
    const listeners = [
        await host.network.serve({
            address: settings.readyListen,
            kind: "readiness",
            handler: endpoints,
            maxBodyBytes: maxReadinessBodyBytes,
        }),
        await host.network.serve({
            address: fleetListen,
            kind: "fleet",
            handler: endpoints,
            router: gateway.router,
            maxBodyBytes: maxFleetBodyBytes,
        }),
        clientListener,
    ];
    gateway.start();
    if (settings.isWarmedUp === true) void warmUpWhenReady();
    return { ...createRunningProcess(gateway, listeners, control), setSeeds: paths.setSeeds };

    async function warmUpWhenReady(): Promise<void> {
        while (!gateway.isReady()) await sleep(host.timers, warmUpPollMs);
        const isOver = () => gateway.statistics.read().requests > maxRequestsBesideWarmUp;
        await warmUp(host, { protocol, identity, leasePacing: gatewayLeasePacing, isOver });
    }
}

/** Settings of a relay. */
export interface RelaySettings {
    readonly fleetListen: Address;
    readonly fleetSecret: string;
}

/** Starts a relay, which forwards RPC between processes that cannot reach each other directly. */
export async function startRelay(host: Host, settings: RelaySettings): Promise<{ readonly listeners: readonly Listener[]; }> {
    const { fleetListen, fleetSecret } = settings;
    const fleetPort = Number(fleetListen.slice(fleetListen.lastIndexOf(":") + 1));
    const relay = createRelay(host, { fleetPort, isAuthentic: request => isFromFleet(request, fleetSecret) });
    const handler = createProcessHandler({ isReady: () => true, readMetrics: () => readCallMetrics(host.network), handler: relay });
    return { listeners: [await host.network.serve({ address: fleetListen, kind: "fleet", handler, maxBodyBytes: maxFleetBodyBytes })] };
}

/** Starts the agent of a backend server. */
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
    const handler = createProcessHandler({
        isReady: agent.isReady,
        readMetrics: () => [...readAgentMetrics(agent), ...readCallMetrics(host.network)],
        handler: agent.handle,
    });
    const listener = await host.network.serve({ address: settings.listen, kind: "fleet", handler, router: agent.router, maxBodyBytes });
    agent.start();
    return createRunningProcess(agent, [listener], control);
}

const adapterFactories: Readonly<Record<BackendServerKind, (host: Host, address: Address) => BackendServerAdapter>> = {
    modelEngine: createModelEngineAdapter,
    plainService: createPlainServiceAdapter,
};

// Tests leave the secret empty: requests on the simulated network do not carry it.
function isFromFleet(request: HttpRequest, fleetSecret: string): boolean {
    return fleetSecret === "" || isSameSecret(request.headers[fleetSecretHeader], fleetSecret);
}

async function rejectUnauthorized(_request: HttpRequest, response: Parameters<Agent["handle"]>[1]): Promise<void> {
    response.start(401, {});
    response.end();
}

function createRunningProcess<T extends { stop(): Promise<void>; }>(
    component: T,
    listeners: readonly Listener[],
    control: ControlClient,
): RunningProcess<T> {
    return {
        part: component,
        listeners,
        control,
        async stop() {
            await component.stop();
            await Promise.all(listeners.map(listener => listener.close()));
        },
    };
}

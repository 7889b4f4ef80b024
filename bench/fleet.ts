/**
 * Creates a simulated fleet: the production code of control, entries and agents on fake hosts, with stand-in backend servers
 * and a VM for callers.
 */
import type { Agent } from "../src/agent/agent.js";
import type { Control } from "../src/control/control.js";
import type { Member } from "../src/control/log/types.js";
import type { leaseRules } from "../src/control/plugins/budgets/types.js";
import type { Entry } from "../src/entry/entry.js";
import { createControlClient } from "../src/kernel/controlClient.js";
import type { ControlClient } from "../src/kernel/controlClient.js";
import { getSha256 } from "../src/kernel/digest.js";
import type { FakeVm, Simulation } from "../src/standins/fakeHost.js";
import { createModelEngine } from "../src/standins/modelEngine.js";
import type { ModelEngine, ModelEngineOptions } from "../src/standins/modelEngine.js";
import { createPlainService } from "../src/standins/plainService.js";
import type { PlainService } from "../src/standins/plainService.js";
import type { RunningProcess } from "../src/wiring.js";
import { initializeControl, startAgent, startControl, startEntry } from "../src/wiring.js";
import type { EntrySettings } from "../src/wiring.js";

/** Numbers of processes and settings of a fleet. */
export interface FleetOptions {
    readonly controls: number;
    readonly entries: number;
    readonly engines: number;
    readonly services: number;
    /** Configuration objects that are applied before the entries and agents start. */
    readonly objects: readonly unknown[];
    /** Tokens by budget. */
    readonly topUps: Readonly<Record<string, number>>;
    readonly engine?: Partial<ModelEngineOptions>;
    readonly entryOverrides?: EntrySettings["overrides"];
    readonly leaseRules?: typeof leaseRules;
    readonly snapshotEveryEntries?: number;
    /** Relative speeds of the engines, for fleets of mixed hardware. Used in turn when there are more engines than speeds. */
    readonly engineSpeeds?: readonly number[];
}

/** A process and its VM. `process` is undefined until the first start. */
export interface FleetProcess<T> {
    readonly vm: FakeVm;
    process: RunningProcess<T> | undefined;
}

/** An agent and its backend server, which runs on the same VM. */
export interface BackendNode extends FleetProcess<Agent> {
    readonly name: string;
    engine: ModelEngine | undefined;
    service: PlainService | undefined;
}

/** A running fleet. */
export interface Fleet {
    readonly simulation: Simulation;
    readonly controls: readonly FleetProcess<Control>[];
    readonly entries: readonly FleetProcess<Entry>[];
    readonly backends: readonly BackendNode[];
    readonly operator: ControlClient;
    readonly callerVm: FakeVm;
    /** Stand-ins of every start, also from before restarts, so that their run logs can be compared with what callers saw. */
    readonly engines: readonly ModelEngine[];
    readonly services: readonly PlainService[];
    readonly controlAddresses: readonly string[];
    restartControl(index: number): Promise<void>;
    restartEntry(index: number): Promise<void>;
    restartBackendNode(index: number): Promise<void>;
    getLeader(): FleetProcess<Control> | undefined;
    getEntryAddress(index: number): string;
}

const failureDomains = ["pnw-a", "pnw-b", "pnw-c"] as const;
const groupId = "test";
const startTimeoutMs = 60_000;

/** Policy object of each user organization. */
export const policies = {
    cascade: createPolicy("cascade", "overspend"),
    suhara: createPolicy("suhara", "falseRefusals"),
} as const;

function createPolicy(name: string, weighsMore: "overspend" | "falseRefusals") {
    return {
        kind: "policy",
        name,
        weighsMore,
        maxConcurrentRequests: 10_000,
        requestsPerSecond: 10_000,
        burstRequests: 10_000,
        lostWork: weighsMore === "overspend" ? "hold" : "writeOff",
    };
}

/** Creates the objects of a configuration: client accounts with a budget each, one pool of model engines and one of plain services. */
export function createConfigurationObjects(
    accountNames: readonly string[],
    policy: keyof typeof policies,
    routeChanges: object = {},
): readonly unknown[] {
    const accounts = accountNames.flatMap(name => [
        { kind: "clientAccount", name, keyDigests: [getSha256(getApiKey(name))], budget: `budget-${name}`, policy },
        { kind: "budget", name: `budget-${name}`, clientAccounts: [name], policy },
    ]);
    return [
        policies[policy],
        ...accounts,
        { kind: "backendServerPool", name: "lovage-pool", backendServerKind: "modelEngine" },
        { kind: "backendServerPool", name: "shopdesk", backendServerKind: "plainService" },
        {
            kind: "route",
            name: "lovage-pool",
            model: "lovage-pool",
            pool: "lovage-pool",
            serviceClass: "interactive",
            timeoutMs: 60_000,
            maxCompletionTokens: 64,
            ...routeChanges,
        },
        {
            kind: "route",
            name: "shopdesk",
            service: "shopdesk",
            pool: "shopdesk",
            serviceClass: "interactive",
            timeoutMs: 20_000,
            nonIdempotent: [{ method: "POST", pathPrefix: "/orders" }],
        },
    ];
}

/** API key of a client account of `createConfigurationObjects`. */
export function getApiKey(clientAccount: string): string {
    return `key-${clientAccount}`;
}

/** Starts a fleet and waits until every process is ready and every entry can route to every backend server. */
export async function createFleet(simulation: Simulation, options: FleetOptions): Promise<Fleet> {
    const controlAddresses = Array.from({ length: options.controls }, (_, index) => `10.0.1.${index + 1}:7000`);
    const members: readonly Member[] = controlAddresses.map((address, index) => ({
        voterId: `v${index + 1}`,
        address,
        failureDomain: failureDomains[index % 3]!,
    }));
    const engines: ModelEngine[] = [];
    const services: PlainService[] = [];
    const controls: FleetProcess<Control>[] = members.map((_, index) => ({
        vm: simulation.createVm(`10.0.1.${index + 1}`),
        process: undefined,
    }));
    const entries: FleetProcess<Entry>[] = Array.from({ length: options.entries }, (_, index) => ({
        vm: simulation.createVm(`10.0.2.${index + 1}`),
        process: undefined,
    }));
    const backends: BackendNode[] = Array.from({ length: options.engines + options.services }, (_, index) => ({
        vm: simulation.createVm(`10.0.3.${index + 1}`),
        process: undefined,
        name: index < options.engines ? `engine-${index + 1}` : `desk-${index - options.engines + 1}`,
        engine: undefined,
        service: undefined,
    }));
    const callerVm = simulation.createVm("10.0.9.1");
    const operator = createControlClient(simulation.createVm("10.0.8.1").host, controlAddresses);

    for (const [index, member] of members.entries()) {
        await initializeControl(controls[index]!.vm.host, { dataFolder: "/data", groupId, voterId: member.voterId }, members);
        await launchControl(index);
    }
    await applyInitialState();
    for (const index of backends.keys()) await launchBackendNode(index);
    for (const index of entries.keys()) await launchEntry(index);
    await waitUntilReady();
    return {
        simulation,
        controls,
        entries,
        backends,
        operator,
        callerVm,
        engines,
        services,
        controlAddresses,
        getLeader: () => controls.find(control => control.process?.part.replica.getStatus().role === "leader"),
        getEntryAddress: index => `10.0.2.${index + 1}:8080`,
        async restartControl(index) {
            controls[index]!.vm.restart();
            await launchControl(index);
        },
        async restartEntry(index) {
            entries[index]!.vm.restart();
            await launchEntry(index);
        },
        async restartBackendNode(index) {
            backends[index]!.vm.restart();
            await launchBackendNode(index);
        },
    };

    async function launchControl(index: number): Promise<void> {
        const control = controls[index]!;
        control.process = await startControl(control.vm.host, {
            vm: `control-${index + 1}`,
            failureDomain: members[index]!.failureDomain,
            listen: controlAddresses[index]!,
            controlAddresses,
            voterId: members[index]!.voterId,
            groupId,
            dataFolder: "/data",
            operatorToken: "operator",
            administrationListen: controlAddresses[index]!,
            leaseRules: options.leaseRules,
            snapshotEveryEntries: options.snapshotEveryEntries,
        });
    }

    async function launchEntry(index: number): Promise<void> {
        const entry = entries[index]!;
        entry.process = await startEntry(entry.vm.host, {
            vm: `entry-${index + 1}`,
            failureDomain: failureDomains[index % 3]!,
            listen: `10.0.2.${index + 1}:8080`,
            fleetListen: `10.0.2.${index + 1}:7100`,
            controlAddresses,
            overrides: options.entryOverrides,
        });
    }

    async function launchBackendNode(index: number): Promise<void> {
        const backendNode = backends[index]!;
        const isEngine = index < options.engines;
        const { host, ip } = backendNode.vm;
        backendNode.engine = isEngine ? createModelEngine(host, createEngineOptions(index)) : undefined;
        backendNode.service = isEngine ? undefined : createPlainService(host);
        if (backendNode.engine !== undefined) engines.push(backendNode.engine);
        if (backendNode.service !== undefined) services.push(backendNode.service);
        const handler = backendNode.engine?.handle ?? backendNode.service!.handle;
        await host.network.serve({ address: `${ip}:9000`, handler, maxBodyBytes: 1e9 });
        backendNode.process = await startAgent(host, {
            vm: `agent-${backendNode.name}`,
            failureDomain: failureDomains[index % 3]!,
            listen: `${ip}:7200`,
            controlAddresses,
            backendServer: backendNode.name,
            backendServerAddress: `${ip}:9000`,
            kind: isEngine ? "modelEngine" : "plainService",
            pool: isEngine ? "lovage-pool" : "shopdesk",
            models: isEngine ? ["lovage-pool", "lovage-pool-batch"] : [],
            adapters: [],
            checksFencing: true,
            maxConcurrent: options.engine?.maxConcurrent ?? 8,
            fleetSecret: "",
        });
    }

    function createEngineOptions(index: number): Partial<ModelEngineOptions> {
        const speed = options.engineSpeeds?.[index % options.engineSpeeds.length] ?? 1;
        const { stepMs = 15, stepMsPerSequence = 1, prefillTokensPerSecond = 8_000 } = options.engine ?? {};
        return {
            ...options.engine,
            stepMs: stepMs / speed,
            stepMsPerSequence: stepMsPerSequence / speed,
            prefillTokensPerSecond: prefillTokensPerSecond * speed,
        };
    }

    async function applyInitialState(): Promise<void> {
        const callOptions = { timeoutMs: startTimeoutMs };
        const input = { baseVersion: 0, changeId: "first", objects: [...options.objects], actor: "test" };
        const applied = await simulation.runUntil(operator.submit("configuration.apply", input, callOptions));
        if (applied.kind !== "done" || applied.result.outcome !== "accepted") {
            throw new Error(`the initial configuration was rejected: ${JSON.stringify(applied)}`);
        }
        for (const [budget, tokens] of Object.entries(options.topUps)) {
            await simulation.runUntil(
                operator.submit("budgets.topUp", { budget, tokens, actor: "test" }, { ...callOptions, operationId: `first-${budget}` }),
            );
        }
    }

    async function waitUntilReady(): Promise<void> {
        for (let waitedMs = 0; waitedMs < startTimeoutMs; waitedMs += 100) {
            await simulation.advance(100);
            const areAllReady = entries.every(entry => entry.process!.part.isReady()) &&
                backends.every(backendNode => backendNode.process!.part.isReady());
            const hasAllCandidates = (entry: FleetProcess<Entry>) =>
                entry.process!.part.requestRouter.countCandidates("lovage-pool", simulation.nowMs()) === options.engines
                && entry.process!.part.requestRouter.countCandidates("shopdesk", simulation.nowMs()) === options.services;
            if (areAllReady && entries.every(hasAllCandidates)) return;
        }
        throw new Error(`the fleet did not become ready within the start timeout:\n${simulation.logLines.slice(-20).join("\n")}`);
    }
}

/**
 * Costs per unit for the capacity page: CPU time, heap or bytes of each unit of work or state, as the slope of a line
 * fitted over three sizes or more.
 */
import { createHash } from "node:crypto";
import { createLeaseCounters } from "../src/agent/leaseCounters.js";
import { createStreamBuffer } from "../src/agent/streams.js";
import { encodeRecord } from "../src/control/log/records.js";
import { createLeaseId, createLedger } from "../src/control/plugins/budgets/ledger.js";
import { leaseRules } from "../src/control/plugins/budgets/types.js";
import { createClaims } from "../src/control/plugins/claims.js";
import { checkObjects } from "../src/control/plugins/configuration.js";
import { createControlState } from "../src/control/plugins/index.js";
import type { ControlState } from "../src/control/plugins/index.js";
import { createStateMachine } from "../src/control/stateMachine.js";
import { createRouter } from "../src/entry/routing/router.js";
import type { RouteRequest } from "../src/entry/routing/types.js";
import { commandSchemas, loadReportSchema } from "../src/kernel/messages.js";
import type { CommandKind, LeaseRenewal } from "../src/kernel/messages.js";
import { getSetDigest } from "../src/kernel/objects.js";
import type { ConfigurationObject } from "../src/kernel/objects.js";
import { getPrefixHashes } from "../src/kernel/prefix.js";
import { createRegistry } from "../src/kernel/registry.js";
import type { ApplyContext, Registry } from "../src/kernel/registry.js";
import { createRandom, createSimulation } from "../src/standins/fakeHost.js";
import { createConfigurationObjects } from "./fleet.js";
import { measureCpuMicros, measureHeapBytes, measureMs, measureSlope } from "./measureCost.js";
import type { LineFit } from "./measureCost.js";
import { createAnnouncement, createFirstReport, createReport } from "./reports.js";
import { measureCalls } from "./slopeCalls.js";
import type { CallCosts } from "./slopeCalls.js";

/** All costs. The name of each says what one unit is, and in what the cost is measured. */
export interface Slopes {
    readonly leaseRenewalCpuMicros: LineFit;
    readonly leaseRenewalBytes: LineFit;
    readonly logBytesPerLeaseRenewal: LineFit;
    readonly claimCpuMicros: LineFit;
    /** Mean size of the two calls of a claim, as JSON. */
    readonly claimBytes: number;
    readonly claimHeapBytes: LineFit;
    readonly claimSnapshotBytes: LineFit;
    readonly budgetHeapBytes: LineFit;
    readonly leaseHeapBytes: LineFit;
    readonly agentHeapBytes: LineFit;
    readonly objectCheckCpuMicros: LineFit;
    readonly setDigestCpuMicros: LineFit;
    readonly objectBytes: LineFit;
    readonly snapshotMs: LineFit;
    readonly restoreMs: LineFit;
    readonly reportCpuMicros: LineFit;
    readonly reportBytes: number;
    readonly routeCpuMicros: LineFit;
    readonly routeHeapBytes: LineFit;
    readonly heldStreamHeapBytes: LineFit;
    readonly counterHeapBytes: LineFit;
    readonly calls: CallCosts;
}

const renewalCounts = [200, 1_000, 5_000] as const;
const budgetSizes = [1_000, 5_000, 11_000] as const;
const backendServerCounts = [8, 64, 512, 4_600] as const;
const seed = 7;
const reportingAgents = 60;

/** Measures all costs. Takes about a minute. */
export async function measureSlopes(): Promise<Slopes> {
    return {
        leaseRenewalCpuMicros: await measureSlope(renewalCounts, measureRenewalCpu),
        leaseRenewalBytes: await measureSlope(renewalCounts, count => JSON.stringify(createRenewals(count, "b")).length),
        logBytesPerLeaseRenewal: await measureSlope(renewalCounts, count => encodeRecord(createRenewals(count, "b")).length),
        claimCpuMicros: await measureSlope([2_000, 10_000, 50_000], measureClaimCpu),
        claimBytes: measureClaimBytes(),
        claimHeapBytes: await measureSlope([5_000, 20_000, 80_000], count => measureHeapBytes(() => createFilledClaims(count))),
        claimSnapshotBytes: await measureSlope(
            [5_000, 20_000, 80_000],
            count => encodeRecord(createFilledClaims(count).plugin.sections![0]!.save()).length,
        ),
        budgetHeapBytes: await measureSlope(budgetSizes, count => measureHeapBytes(() => createFilledLedger(count, 0))),
        leaseHeapBytes: await measureSlope(
            [2_000, 10_000, 40_000],
            count => measureHeapBytes(() => createFilledLedger(Math.ceil(count / 20), 20)),
        ),
        agentHeapBytes: await measureSlope([500, 2_000, 4_600], count => measureHeapBytes(() => createFilledFleet(count))),
        objectCheckCpuMicros: await measureSlope([2_000, 8_000, 20_000], measureObjectCheckCpu),
        setDigestCpuMicros: await measureSlope([2_000, 8_000, 20_000], count => {
            const objects = createObjectSet(count) as readonly ConfigurationObject[];
            return measureCpuMicros(() => getSetDigest(objects), 3);
        }),
        objectBytes: await measureSlope([2_000, 8_000, 20_000], count => JSON.stringify(createObjectSet(count)).length),
        snapshotMs: await measureSlope(budgetSizes, async count => {
            const { machine } = createLoadedStateMachine(count);
            return measureMs(() => encodeRecord(machine.save()));
        }),
        restoreMs: await measureSlope(budgetSizes, async count => {
            const { machine } = createLoadedStateMachine(count);
            const saved = structuredClone(machine.save());
            const fresh = createLoadedStateMachine(0);
            return measureMs(() => fresh.machine.load(saved));
        }),
        reportCpuMicros: await measureSlope([1_000, 4_000, 16_000], measureReportCpu),
        reportBytes: JSON.stringify(createReport(1, 1)).length,
        routeCpuMicros: await measureSlope(backendServerCounts, measureRouteCpu),
        routeHeapBytes: await measureSlope(backendServerCounts, count => measureHeapBytes(() => createRouterWithBackendServers(count))),
        heldStreamHeapBytes: await measureSlope([200, 800, 3_200], count => measureHeapBytes(() => createFilledStreamBuffer(count))),
        counterHeapBytes: await measureSlope([500, 2_000, 8_000], count => measureHeapBytes(() => createFilledLeaseCounters(count))),
        calls: await measureCalls(),
    };
}

function createApplyContext(index: number): ApplyContext {
    return { index, term: 1, nowMs: index, wallMs: index, operationId: `op-${index}` };
}

function createRenewals(count: number, budget: string): LeaseRenewal[] {
    return Array.from({ length: count }, (_, position) => ({
        leaseId: createLeaseId("incarnation-0001", position + 1),
        budget: `${budget}-${position}`,
        settledTokens: { "agent-incarnation-1": 1_234_567, "agent-incarnation-2": 234_567, "agent-incarnation-3": 34_567 },
        settledBeforeMs: 1_000_000,
        releasedTokens: 123_456,
        wantTokens: 5_000,
        starvingTokens: 0,
        isClosing: false,
    }));
}

function createState(): { readonly registry: Registry; readonly state: ControlState; } {
    const registry = createRegistry();
    const state = createControlState(plugin => registry.register(plugin), registry);
    return { registry, state };
}

async function measureRenewalCpu(count: number): Promise<number> {
    const ledger = createLedger();
    const renewals = createRenewals(count, "b").map(renewal => ({ ...renewal, settledTokens: {}, releasedTokens: 0 }));
    for (const renewal of renewals) ledger.topUp(renewal.budget, 1e9);
    let nowMs = 0;
    // Includes the validation of the command and the encoding of its log record, as control does them.
    return measureCpuMicros(() => {
        nowMs++;
        const input = commandSchemas["leases.renew"].parse({ vm: "entry-1", incarnation: "incarnation-0001", leases: renewals });
        encodeRecord(input);
        for (const renewal of input.leases) {
            ledger.renew({ vm: "entry-1", incarnation: "incarnation-0001" }, renewal, leaseRules.overspend, nowMs);
        }
    });
}

function measureClaimBytes(): number {
    const claimFields = { clientAccount: "account-4711", key: "key-4711-0123456789abcdef", requestId: "request-4711-0123456789.0" };
    const dispatchFields = {
        incarnation: "agent-incarnation-1",
        address: "10.0.3.17:7200",
        isIdempotent: true,
        bodyDigest: "0".repeat(64),
    };
    const open = { kind: "claims.open", operationId: "0123456789abcdef", input: { ...claimFields, ...dispatchFields } };
    const finish = { kind: "claims.finish", operationId: "0123456789abcdef", input: { ...claimFields, billedTokens: 300 } };
    return (JSON.stringify(open).length + JSON.stringify(finish).length) / 2;
}

function createFilledClaims(count: number): ReturnType<typeof createClaims> {
    const claims = createClaims();
    for (let index = 0; index < count; index++) openAndFinish(claims, index);
    return claims;
}

function openAndFinish(claims: ReturnType<typeof createClaims>, index: number): void {
    const claimFields = {
        clientAccount: `account-${index % 8_900}`,
        key: `key-${index}-0123456789`,
        requestId: `request-${index}-0123456789.0`,
    };
    const dispatchFields = { incarnation: "agent-incarnation-1", address: "10.0.3.17:7200", isIdempotent: true };
    const bodyDigest = createHash("sha256").update(String(index)).digest("hex");
    claims.plugin.commands!["claims.open"]!({ ...claimFields, ...dispatchFields, bodyDigest }, createApplyContext(index + 1));
    claims.plugin.commands!["claims.finish"]!({ ...claimFields, billedTokens: 300 }, createApplyContext(index + 1));
}

async function measureClaimCpu(count: number): Promise<number> {
    return measureCpuMicros(() => {
        const claims = createClaims();
        for (let index = 0; index < count; index++) {
            encodeRecord({
                index,
                kind: "claims.open",
                clientAccount: `account-${index}`,
                key: `key-${index}-0123456789`,
                digest: "0".repeat(64),
            });
            openAndFinish(claims, index);
        }
    }, 3);
}

function createFilledLedger(budgets: number, leasesPerBudget: number): ReturnType<typeof createLedger> {
    const ledger = createLedger();
    for (let index = 0; index < budgets; index++) {
        ledger.topUp(`budget-${index}`, 1e9);
        for (let lease = 0; lease < leasesPerBudget; lease++) {
            const incarnation = `incarnation-${lease}`;
            const renewal = { ...createRenewals(1, "x")[0]!, leaseId: createLeaseId(incarnation, index + 1), budget: `budget-${index}` };
            ledger.renew({ vm: `entry-${lease}`, incarnation }, renewal, leaseRules.overspend, 1);
        }
    }
    return ledger;
}

function createFilledFleet(count: number): Registry {
    const { registry } = createState();
    for (let index = 0; index < count; index++) {
        registry.apply("fleet.announceAgent", { agent: createAnnouncement(index) }, createApplyContext(index + 1));
    }
    return registry;
}

function createObjectSet(count: number): readonly unknown[] {
    return createConfigurationObjects(Array.from({ length: Math.floor(count / 2) }, (_, index) => `account-${index}`), "cascade");
}

async function measureObjectCheckCpu(count: number): Promise<number> {
    const { registry } = createState();
    const objects = createObjectSet(count);
    return measureCpuMicros(() => {
        const { problems } = checkObjects(objects, registry, []);
        if (problems.length > 0) throw new Error("the objects of the benchmark are invalid");
    }, 3);
}

function createLoadedStateMachine(accounts: number) {
    const { registry, state } = createState();
    const machine = createStateMachine(registry);
    const apply = (command: CommandKind, input: unknown, index: number) =>
        machine.apply(
            { kind: "command", index, term: 1, controlTimeMs: index, wallMs: index, operationId: `op-${index}`, command, input },
            createApplyContext(index),
        );
    if (accounts > 0) {
        apply("configuration.apply", { baseVersion: 0, changeId: "c", objects: createObjectSet(accounts * 2), actor: "bench" }, 1);
    }
    for (let index = 0; index < accounts; index++) {
        apply("budgets.topUp", { budget: `budget-account-${index}`, tokens: 1e6, actor: "bench" }, index + 2);
    }
    return { machine, state };
}

async function measureReportCpu(count: number): Promise<number> {
    const router = createRouter({ random: { nextFloat: createRandom(seed), nextId: () => "" } });
    for (let index = 0; index < reportingAgents; index++) router.applyReport(createFirstReport(index), 0);
    const encodedReports = Array.from({ length: count }, (_, index) => JSON.stringify(createReport(index % reportingAgents, index)));
    return measureCpuMicros(() => {
        for (const [index, text] of encodedReports.entries()) router.applyReport(loadReportSchema.parse(JSON.parse(text)), index);
    }, 3);
}

function createRouterWithBackendServers(count: number) {
    const router = createRouter({ random: { nextFloat: createRandom(seed), nextId: () => "" } });
    for (let index = 0; index < count; index++) router.applyReport(createFirstReport(index), 0);
    return router;
}

const decisionsPerRun = 2_000;

// One routing decision for a long prompt and the record of its dispatch.
async function measureRouteCpu(count: number): Promise<number> {
    const router = createRouterWithBackendServers(count);
    const hashes = getPrefixHashes("a long job sheet ".repeat(500));
    const request: RouteRequest = {
        pool: "lovage-pool",
        model: "model-1",
        promptTokens: 2_000,
        prefixHashes: hashes,
        excluded: new Set(),
        failureDomain: "domain-1",
    };
    const totalMicros = await measureCpuMicros(() => {
        for (let index = 0; index < decisionsPerRun; index++) {
            const choice = router.choose(request, 1);
            if (choice === undefined) throw new Error("the router chose no backend server");
            router.recordDispatch(choice, request, 1)();
        }
    });
    return totalMicros / decisionsPerRun;
}

function createFilledStreamBuffer(count: number) {
    const simulation = createSimulation(seed);
    const buffer = createStreamBuffer(simulation.createVm("10.0.0.1").host, { maxBytes: 1e9, maxUnreadFrames: 256 });
    for (let index = 0; index < count; index++) {
        const stream = buffer.open(`request-${index}`, 1_000);
        for (let chunk = 0; chunk < 50; chunk++) {
            void stream.push({ kind: "chunk", data: `{"choices":[{"index":0,"delta":{"content":" t${chunk}-${index}"}}]}` });
        }
    }
    return buffer;
}

function createFilledLeaseCounters(count: number) {
    const counters = createLeaseCounters();
    for (let index = 0; index < count; index++) {
        const attempt = { leaseId: `lease-${index}`, requestId: `request-${index}`, reservedTokens: 100, clientAccount: "a" };
        counters.start(attempt);
        counters.finish(attempt, 50);
    }
    return counters;
}

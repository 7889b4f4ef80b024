/** Slopes for the capacity page: what each unit of work or state costs, measured at three sizes or more. */
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
import { createSet } from "./fleet.js";
import { measureCpuMicros, measureHeapBytes, measureMs, measureSlope } from "./measureCost.js";
import type { LineFit } from "./measureCost.js";
import { createAnnouncement, createFirstReport, createReport } from "./reports.js";
import { measureCalls } from "./slopeCalls.js";
import type { CallCosts } from "./slopeCalls.js";

/** All slopes. Names say what one unit is and the unit of the cost. */
export interface Slopes {
    readonly leaseRenewalCpuMicros: LineFit;
    readonly leaseRenewalBytes: LineFit;
    readonly logBytesPerLeaseRenewal: LineFit;
    readonly claimCpuMicros: LineFit;
    /** Mean bytes of the two calls of one claim, as JSON. */
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

const sizes = [200, 1_000, 5_000] as const;
const budgetSizes = [1_000, 5_000, 11_000] as const;
const fleetSizes = [8, 64, 512, 4_600] as const;
const seed = 7;
const agentsHeard = 60;

/** Measures all slopes. Takes about a minute. */
export async function measureSlopes(): Promise<Slopes> {
    return {
        leaseRenewalCpuMicros: await measureSlope(sizes, measureRenewalCpu),
        leaseRenewalBytes: await measureSlope(sizes, count => JSON.stringify(createRenewals(count, "b")).length),
        logBytesPerLeaseRenewal: await measureSlope(sizes, count => encodeRecord(createRenewals(count, "b")).length),
        claimCpuMicros: await measureSlope([2_000, 10_000, 50_000], measureClaimCpu),
        claimBytes: measureClaimBytes(),
        claimHeapBytes: await measureSlope([5_000, 20_000, 80_000], count => measureHeapBytes(() => fillClaims(count))),
        claimSnapshotBytes: await measureSlope(
            [5_000, 20_000, 80_000],
            count => encodeRecord(fillClaims(count).plugin.sections![0]!.save()).length,
        ),
        budgetHeapBytes: await measureSlope(budgetSizes, count => measureHeapBytes(() => fillLedger(count, 0))),
        leaseHeapBytes: await measureSlope([2_000, 10_000, 40_000], count => measureHeapBytes(() => fillLedger(Math.ceil(count / 20), 20))),
        agentHeapBytes: await measureSlope([500, 2_000, 4_600], count => measureHeapBytes(() => fillFleet(count))),
        objectCheckCpuMicros: await measureSlope([2_000, 8_000, 20_000], measureCheckCpu),
        setDigestCpuMicros: await measureSlope([2_000, 8_000, 20_000], count => {
            const objects = createObjects(count) as readonly ConfigurationObject[];
            return measureCpuMicros(() => getSetDigest(objects), 3);
        }),
        objectBytes: await measureSlope([2_000, 8_000, 20_000], count => JSON.stringify(createObjects(count)).length),
        snapshotMs: await measureSlope(budgetSizes, async count => {
            const { machine } = createLoadedMachine(count);
            return measureMs(() => encodeRecord(machine.save()));
        }),
        restoreMs: await measureSlope(budgetSizes, async count => {
            const { machine } = createLoadedMachine(count);
            const saved = structuredClone(machine.save());
            const fresh = createLoadedMachine(0);
            return measureMs(() => fresh.machine.load(saved));
        }),
        reportCpuMicros: await measureSlope([1_000, 4_000, 16_000], measureReportCpu),
        reportBytes: JSON.stringify(createReport(1, 1)).length,
        routeCpuMicros: await measureSlope(fleetSizes, measureRouteCpu),
        routeHeapBytes: await measureSlope(fleetSizes, count => measureHeapBytes(() => createFilledRouter(count))),
        heldStreamHeapBytes: await measureSlope([200, 800, 3_200], count => measureHeapBytes(() => fillStreams(count))),
        counterHeapBytes: await measureSlope([500, 2_000, 8_000], count => measureHeapBytes(() => fillCounters(count))),
        calls: await measureCalls(),
    };
}

function createContext(index: number): ApplyContext {
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
    // The check of the command, its record in the log and its application, as control does them.
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
    const common = { clientAccount: "account-4711", key: "key-4711-0123456789abcdef", requestId: "request-4711-0123456789.0" };
    const place = { incarnation: "agent-incarnation-1", address: "10.0.3.17:7200", isIdempotent: true, bodyDigest: "0".repeat(64) };
    const open = { kind: "claims.open", operationId: "0123456789abcdef", input: { ...common, ...place } };
    const finish = { kind: "claims.finish", operationId: "0123456789abcdef", input: { ...common, billedTokens: 300 } };
    return (JSON.stringify(open).length + JSON.stringify(finish).length) / 2;
}

function fillClaims(count: number): ReturnType<typeof createClaims> {
    const claims = createClaims();
    for (let index = 0; index < count; index++) openAndFinish(claims, index);
    return claims;
}

function openAndFinish(claims: ReturnType<typeof createClaims>, index: number): void {
    const common = {
        clientAccount: `account-${index % 8_900}`,
        key: `key-${index}-0123456789`,
        requestId: `request-${index}-0123456789.0`,
    };
    const place = { incarnation: "agent-incarnation-1", address: "10.0.3.17:7200", isIdempotent: true };
    const bodyDigest = createHash("sha256").update(String(index)).digest("hex");
    claims.plugin.commands!["claims.open"]!({ ...common, ...place, bodyDigest }, createContext(index + 1));
    claims.plugin.commands!["claims.finish"]!({ ...common, billedTokens: 300 }, createContext(index + 1));
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

function fillLedger(budgets: number, leasesEach: number): ReturnType<typeof createLedger> {
    const ledger = createLedger();
    for (let index = 0; index < budgets; index++) {
        ledger.topUp(`budget-${index}`, 1e9);
        for (let lease = 0; lease < leasesEach; lease++) {
            const incarnation = `incarnation-${lease}`;
            const renewal = { ...createRenewals(1, "x")[0]!, leaseId: createLeaseId(incarnation, index + 1), budget: `budget-${index}` };
            ledger.renew({ vm: `entry-${lease}`, incarnation }, renewal, leaseRules.overspend, 1);
        }
    }
    return ledger;
}

function fillFleet(count: number): Registry {
    const { registry } = createState();
    for (let index = 0; index < count; index++) {
        registry.apply("fleet.announceAgent", { agent: createAnnouncement(index) }, createContext(index + 1));
    }
    return registry;
}

function createObjects(count: number): readonly unknown[] {
    return createSet(Array.from({ length: Math.floor(count / 2) }, (_, index) => `account-${index}`), "cascade");
}

async function measureCheckCpu(count: number): Promise<number> {
    const { registry } = createState();
    const objects = createObjects(count);
    return measureCpuMicros(() => {
        const { problems } = checkObjects(objects, registry, []);
        if (problems.length > 0) throw new Error("the set of the bench is wrong");
    }, 3);
}

function createLoadedMachine(accounts: number) {
    const { registry, state } = createState();
    const machine = createStateMachine(registry);
    const apply = (command: CommandKind, input: unknown, index: number) =>
        machine.apply(
            { kind: "command", index, term: 1, controlTimeMs: index, wallMs: index, operationId: `op-${index}`, command, input },
            createContext(index),
        );
    if (accounts > 0) {
        apply("configuration.apply", { baseVersion: 0, changeId: "c", objects: createObjects(accounts * 2), actor: "bench" }, 1);
    }
    for (let index = 0; index < accounts; index++) {
        apply("budgets.topUp", { budget: `budget-account-${index}`, tokens: 1e6, actor: "bench" }, index + 2);
    }
    return { machine, state };
}

async function measureReportCpu(count: number): Promise<number> {
    const router = createRouter({ random: { nextFloat: createRandom(seed), nextId: () => "" } });
    for (let index = 0; index < agentsHeard; index++) router.applyReport(createFirstReport(index), 0);
    const texts = Array.from({ length: count }, (_, index) => JSON.stringify(createReport(index % agentsHeard, index)));
    return measureCpuMicros(() => {
        for (const [index, text] of texts.entries()) router.applyReport(loadReportSchema.parse(JSON.parse(text)), index);
    }, 3);
}

function createFilledRouter(count: number) {
    const router = createRouter({ random: { nextFloat: createRandom(seed), nextId: () => "" } });
    for (let index = 0; index < count; index++) router.applyReport(createFirstReport(index), 0);
    return router;
}

const decisionsPerTry = 2_000;

// One choice with a long prompt whose prefix some backend servers hold, and the note of its dispatch.
async function measureRouteCpu(count: number): Promise<number> {
    const router = createFilledRouter(count);
    const hashes = getPrefixHashes("a long job sheet ".repeat(500));
    const request: RouteRequest = {
        pool: "lovage-pool",
        model: "model-1",
        promptTokens: 2_000,
        prefixHashes: hashes,
        excluded: new Set(),
        failureDomain: "domain-1",
    };
    const micros = await measureCpuMicros(() => {
        for (let index = 0; index < decisionsPerTry; index++) {
            const choice = router.choose(request, 1);
            if (choice === undefined) throw new Error("no backend server was chosen");
            router.recordDispatch(choice, request, 1)();
        }
    });
    return micros / decisionsPerTry;
}

function fillStreams(count: number) {
    const world = createSimulation(seed);
    const buffer = createStreamBuffer(world.createVm("10.0.0.1").host, { maxBytes: 1e9, maxUnreadFrames: 256 });
    for (let index = 0; index < count; index++) {
        const stream = buffer.open(`request-${index}`, 1_000);
        for (let chunk = 0; chunk < 50; chunk++) {
            void stream.push({ kind: "chunk", data: `{"choices":[{"index":0,"delta":{"content":" t${chunk}-${index}"}}]}` });
        }
    }
    return buffer;
}

function fillCounters(count: number) {
    const counters = createLeaseCounters();
    for (let index = 0; index < count; index++) {
        const attempt = { leaseId: `lease-${index}`, requestId: `request-${index}`, reservedTokens: 100, clientAccount: "a" };
        counters.start(attempt);
        counters.finish(attempt, 50);
    }
    return counters;
}

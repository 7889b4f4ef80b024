/** Unit tests of policies: fair queueing, limits, retries, ejection, quarantine, engine orders and the bound on control's time. */
import { test } from "tap";
import { policies } from "../bench/fleet.js";
import { createAnnouncement, createFirstReport } from "../bench/reports.js";
import { createModelEngineAdapter } from "../src/agent/adapters/modelEngine.js";
import { createAuditTrail } from "../src/control/plugins/audit.js";
import { createFleet as createFleetState } from "../src/control/plugins/fleet.js";
import { createOrders } from "../src/control/plugins/orders.js";
import { createQuarantine } from "../src/control/plugins/quarantine.js";
import { createFairQueue } from "../src/entry/fairQueue.js";
import { createAccountLimits } from "../src/entry/rateLimit.js";
import { createRetryBudget } from "../src/entry/retryBudget.js";
import { createEjection } from "../src/entry/routing/ejection.js";
import { createRouter } from "../src/entry/routing/router.js";
import { createControlTimeBound } from "../src/kernel/controlTime.js";
import type { EngineOrder, QueryResults, Suspicion } from "../src/kernel/messages.js";
import { createObjectIndex, policySchema } from "../src/kernel/objects.js";
import type { ApplyContext } from "../src/kernel/registry.js";
import { VerdictError } from "../src/kernel/verdict.js";
import type { Verdict } from "../src/kernel/verdict.js";
import { createRandom, createSimulation } from "../src/standins/fakeHost.js";
import { createModelEngine } from "../src/standins/modelEngine.js";
import { createWeightStore } from "../src/standins/weightStore.js";

function createContext(nowMs: number, term = 1): ApplyContext {
    return { index: nowMs + 1, term, nowMs, wallMs: nowMs, operationId: `op-${nowMs}` };
}

async function getVerdict(work: Promise<void>): Promise<Verdict | undefined> {
    try {
        await work;
        return undefined;
    }
    catch (error) {
        return error instanceof VerdictError ? error.verdict : undefined;
    }
}

test("a large account does not starve small ones, and interactive requests do not starve batch requests", async t => {
    const simulation = createSimulation(1);
    const { host } = simulation.createVm("10.0.0.1");
    let capacity = 0;
    const queue = createFairQueue(host, { hasCapacity: () => capacity > 0, maxWaiting: 1_000, maxWaitingPerAccount: 500 });
    const order: string[] = [];
    const enter = async (clientAccount: string, serviceClass: "interactive" | "batch") => {
        const { signal } = new AbortController();
        await queue.enter({ pool: "p", clientAccount, weight: 1, serviceClass, costTokens: 100, deadlineMs: Infinity, signal });
        capacity--;
        order.push(`${clientAccount}/${serviceClass}`);
    };
    for (let count = 0; count < 50; count++) void enter("large", "interactive");
    for (let count = 0; count < 3; count++) void enter("small", "interactive");
    void enter("night", "batch");
    for (let turn = 0; turn < 12; turn++) {
        capacity++;
        await simulation.advance(100);
    }
    t.ok(order.slice(0, 8).filter(item => item === "small/interactive").length === 3, order.join(" "));
    t.ok(order.slice(0, 10).includes("night/batch"), order.join(" "));
});

test("a full queue refuses requests as not run, and so does a missed deadline", async t => {
    const simulation = createSimulation(2);
    const { host } = simulation.createVm("10.0.0.1");
    const queue = createFairQueue(host, { hasCapacity: () => false, maxWaiting: 2, maxWaitingPerAccount: 2 });
    const { signal } = new AbortController();
    const enter = () =>
        queue.enter({ pool: "p", clientAccount: "a", weight: 1, serviceClass: "interactive", costTokens: 1, deadlineMs: 500, signal });
    const waiting = [enter(), enter()];
    t.match(await getVerdict(enter()), { kind: "notRun", code: "queueFull" });
    const verdicts = Promise.all(waiting.map(getVerdict));
    await simulation.advance(1_000);
    for (const verdict of await verdicts) t.match(verdict, { kind: "notRun", code: "overloaded" });
});

test("an account's rate and concurrency limits are divided among the entries", t => {
    const policy = policySchema.parse({ ...policies.cascade, maxConcurrentRequests: 4, requestsPerSecond: 2, burstRequests: 3 });
    const limits = createAccountLimits(() => 2);
    const kinds = Array.from({ length: 4 }, () => limits.tryAcquire("a", policy, 0).kind);
    t.same(kinds, ["admitted", "admitted", "concurrencyLimited", "concurrencyLimited"]);
    limits.release("a");
    limits.release("a");
    t.equal(limits.tryAcquire("a", policy, 0).kind, "admitted");
    t.match(limits.tryAcquire("a", policy, 0), { kind: "rateLimited", retryAfterMs: 1_000 });
    t.equal(limits.tryAcquire("a", policy, 1_000).kind, "admitted");
    t.end();
});

test("retries are limited to a tenth of the requests", t => {
    const budget = createRetryBudget();
    let retries = 0;
    for (let count = 0; count < 1_000; count++) {
        budget.recordRequest();
        if (budget.tryAcquire()) retries++;
    }
    t.ok(retries <= 103 && retries > 90, `${retries} retries`);
    t.end();
});

test("ejection removes a minority of the fleet, and one success on probation ends it", t => {
    const ejection = createEjection();
    ejection.setServerCount(5);
    for (let server = 0; server < 5; server++) {
        for (let count = 0; count < 3; count++) ejection.record(`s${server}`, "failed", 0);
    }
    t.equal([0, 1, 2, 3, 4].filter(server => ejection.isEjected(`s${server}`, 1)).length, 2);
    t.ok(ejection.isOnProbation("s0"));
    ejection.record("s0", "good", 10_000);
    t.notOk(ejection.isOnProbation("s0") || ejection.isEjected("s0", 10_001));
    t.end();
});

test("two crashes quarantine a request, and the loss of a failure domain quarantines none", t => {
    const { plugin, getPublished } = createQuarantine(createAuditTrail().write);
    const report = (fingerprint: string, server: number, failureDomain: string, nowMs: number, isSolo = false): Suspicion => {
        const crash = { fingerprint, requestId: "r", backendServer: `s${server}`, incarnation: `i${server}`, failureDomain, isSolo };
        return plugin.commands!["quarantine.report"]!({ crashes: [crash] }, createContext(nowMs)).suspicions[fingerprint]!;
    };
    for (let server = 0; server < 6; server++) report("innocent", server, "lost-domain", 100 + server);
    t.equal(getPublished().quarantined.length, 0);
    t.equal(report("bad", 10, "d1", 60_000), "suspect");
    t.equal(report("bad", 10, "d1", 60_001), "suspect", "a crash reported by two entries counts once");
    t.equal(report("bad", 11, "d2", 90_000, true), "quarantined");
    t.equal(report("other", 12, "d3", 120_000), "suspect");
    plugin.commands!["quarantine.exonerate"]!({ fingerprint: "other" }, createContext(121_000));
    t.equal(report("other", 13, "d3", 200_000), "suspect", "a successful solo run clears the suspicion");
    t.equal(report("bad", 14, "d4", 90_000 + 3_600_001), "suspect", "the quarantine expired");
    t.end();
});

test("a request that crashes three backend servers of one failure domain, one after the other, is quarantined", t => {
    const { plugin, getPublished } = createQuarantine(createAuditTrail().write);
    for (let server = 0; server < 3; server++) {
        const crash = {
            fingerprint: "bad",
            requestId: `r${server}`,
            backendServer: `s${server}`,
            incarnation: "1",
            failureDomain: "d",
            isSolo: false,
        };
        plugin.commands!["quarantine.report"]!({ crashes: [crash] }, createContext(1_000 + server * 1_200));
    }
    t.same(getPublished().quarantined.map(view => view.fingerprint), ["bad"]);
    t.end();
});

test("a request that ran on a whole pool when it failed at one moment is not quarantined", t => {
    const { plugin, getPublished } = createQuarantine(createAuditTrail().write);
    const crashes = [0, 1, 2, 3].map(server => ({
        fingerprint: "popular",
        requestId: `r${server}`,
        backendServer: `s${server}`,
        incarnation: "1",
        failureDomain: `d${server}`,
        isSolo: false,
        ageMs: 500 - server * 30,
    }));
    plugin.commands!["quarantine.report"]!({ crashes }, createContext(10_000));
    t.equal(getPublished().quarantined.length, 0);
    t.end();
});

test("an operator sees a prompt part that crashed backend servers and can clear it", t => {
    const { plugin, getPublished } = createQuarantine(createAuditTrail().write);
    const report = (server: number, nowMs: number) => {
        const crash = { requestId: `r${server}`, backendServer: `s${server}`, incarnation: "1", failureDomain: "d", isSolo: false };
        const crashes = [{ ...crash, fingerprint: `f${server}`, partIds: ["bad"] }];
        plugin.commands!["quarantine.report"]!({ crashes }, createContext(nowMs));
    };
    report(1, 10_000);
    t.same(getPublished().suspectParts, [], "one crash is not published");
    report(2, 12_000);
    report(3, 14_000);
    t.match(getPublished().suspectParts, [{ partId: "bad", crashes: [{}, {}, {}] }]);
    t.match(plugin.queries!["quarantine.list"]!({}, 15_000).parts, [{ partId: "bad", suspicion: "quarantined" }]);
    t.ok(plugin.commands!["quarantine.clear"]!({ fingerprint: "bad", actor: "operator" }, createContext(16_000)).isKnown);
    t.same(getPublished().suspectParts, []);
    t.end();
});

test("a restored snapshot holds the crashes of requests and prompt parts", t => {
    const { plugin } = createQuarantine(createAuditTrail().write);
    const crash = { fingerprint: "f", requestId: "r", backendServer: "s", incarnation: "1", failureDomain: "d", isSolo: false };
    for (const ageMs of [0, 2_000, 4_000]) {
        const crashes = [{ ...crash, incarnation: String(ageMs), ageMs, partIds: ["bad"] }];
        plugin.commands!["quarantine.report"]!({ crashes }, createContext(10_000));
    }
    const restored = createQuarantine(createAuditTrail().write);
    restored.plugin.sections![0]!.load(JSON.parse(JSON.stringify(plugin.sections![0]!.save())));
    t.match(restored.getPublished(), { quarantined: [{ fingerprint: "f" }], suspectParts: [{ partId: "bad" }] });
    t.end();
});

function createOrderPlan(maxLoadsPerMinute: number) {
    const fleet = createFleetState(createAuditTrail().write, () => []);
    for (let index = 0; index < 3; index++) {
        fleet.plugin.commands!["fleet.announceAgent"]!({ agent: { ...createAnnouncement(index), pool: "p" } }, createContext(0));
    }
    const pool = {
        kind: "backendServerPool",
        name: "p",
        backendServerKind: "modelEngine",
        artifacts: ["lora-1"],
        maxLoadsPerMinute,
    } as const;
    const orders = createOrders({ getObjects: () => createObjectIndex([pool]), fleet: fleet.state });
    const listOrders = (index: number, nowMs: number): QueryResults["orders.for"] =>
        orders.queries!["orders.for"]!({ backendServer: `engine-${index}` }, nowMs);
    return { orders, listOrders };
}

test("load orders are paced to the weight store's rate limit and carry the leader's fencing token", async t => {
    const { orders, listOrders } = createOrderPlan(6);
    t.equal(orders.commands!["orders.plan"]!({}, createContext(0, 3)).planned, 3);
    t.equal(orders.commands!["orders.plan"]!({}, createContext(1, 4)).planned, 0, "no order is issued twice");
    const enginesWithOrders = [0, 10_000, 20_000].map(nowMs =>
        [0, 1, 2].filter(index => listOrders(index, nowMs).orders.length > 0).length
    );
    t.same(enginesWithOrders, [1, 2, 3]);
    t.equal(listOrders(0, 0).epoch, 4);
    const simulation = createSimulation(3);
    const store = createWeightStore(simulation.createVm("10.0.0.9").host, 6);
    const vm = simulation.createVm("10.0.0.8");
    await vm.host.network.serve({ address: "10.0.0.9:1", handler: store.handle, maxBodyBytes: 1 });
    for (let load = 0; load < 3; load++) {
        await simulation.runUntil(vm.host.network.request("10.0.0.9:1", { method: "GET", path: "/lora-1" }));
        await simulation.advance(10_000);
    }
    t.same([store.getServedCount(), store.getRefusedCount()], [3, 0]);
});

test("an engine that checks fencing tokens refuses an order with an older epoch", async t => {
    const simulation = createSimulation(4);
    const vm = simulation.createVm("10.0.3.1");
    const engine = createModelEngine(vm.host, { checksFencing: true });
    await vm.host.network.serve({ address: "10.0.3.1:9000", handler: engine.handle, maxBodyBytes: 1e6 });
    const adapter = createModelEngineAdapter(vm.host, "10.0.3.1:9000");
    const order: EngineOrder = { orderId: 1, epoch: 5, backendServer: "e", action: "load", artifact: "lora-1", notBeforeMs: 0 };
    t.ok(await simulation.runUntil(adapter.applyOrder(order)));
    t.notOk(await simulation.runUntil(adapter.applyOrder({ ...order, epoch: 4, action: "unload" })));
    t.ok(engine.loadedArtifacts.has("lora-1"));
});

test("the upper bound on control's time holds although replies are delayed", t => {
    let nowMs = 0;
    const bound = createControlTimeBound({ nowMs: () => nowMs, wallMs: () => 0 });
    t.notOk(bound.isCertainlyBefore(1e12), "no lease is usable before control has replied");
    nowMs = 100;
    bound.observe(5_000, 50);
    t.ok(bound.getUpperBoundMs() >= 5_050 && bound.getUpperBoundMs() < 5_051);
    bound.observe(9_000, 100);
    t.ok(bound.getUpperBoundMs() < 5_051, "a later reply never raises the bound");
    nowMs = 10_000;
    t.ok(bound.getUpperBoundMs() >= 14_950);
    t.end();
});

test("an agent that stops reporting is removed, but not treated as replaced", t => {
    const router = createRouter({ random: { nextFloat: createRandom(1), nextId: () => "" } });
    const { incarnation } = createFirstReport(0);
    router.applyReport(createFirstReport(0), 0);
    for (let report = 0; report < 50; report++) router.applyReport({ ...createFirstReport(1), sequence: report }, 60_000 + report);
    t.equal(router.getServerCount(), 1, "the silent agent is removed");
    t.notOk(router.isReplaced("engine-0", incarnation));
    const agent = { ...createFirstReport(0).agent!, incarnation: "newer" };
    router.applyReport({ ...createFirstReport(0), incarnation: "newer", agent }, 61_000);
    t.ok(router.isReplaced("engine-0", incarnation));
    t.end();
});

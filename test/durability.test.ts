/** Failures of single parts, each with the promise that must hold through it. */
import { test } from "tap";
import { sendChat, sendOrder } from "../bench/caller.js";
import { createFleet, createSet } from "../bench/fleet.js";
import type { Fleet, FleetOptions } from "../bench/fleet.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { crashMarker } from "../src/standins/modelEngine.js";

function start(seed: number, changes: Partial<FleetOptions> = {}): Promise<Fleet> {
    return createFleet(createSimulation(seed), {
        controls: 3,
        entries: 2,
        engines: 3,
        services: 2,
        objects: createSet(["a", "b"], "cascade"),
        topUps: { "budget-a": 100_000, "budget-b": 5_000 },
        ...changes,
    });
}

function getView(fleet: Fleet, budget: string) {
    return fleet.getLeader()!.process!.part.state.ledger.getView(budget)!;
}

const longAnswer = { clientAccount: "a", prompt: "length:60 write long", maxTokens: 64 } as const;

test("an agent that dies mid-answer gives the whole answer or a clear error", async t => {
    for (const isStreamed of [false, true]) {
        const fleet = await start(isStreamed ? 21 : 22);
        const { world, callerVm } = fleet;
        const pending = sendChat(callerVm.host, fleet.getEntryAddress(0), { ...longAnswer, isStreamed });
        await world.advance(400);
        const busy = fleet.workers.find(worker => worker.process!.part.getRunningCount() > 0)!;
        busy.vm.crash();
        const record = await world.runUntil(pending);
        if (isStreamed) t.match(record, { isWhole: false, code: "cut" });
        else t.match(record, { isWhole: true, isRight: true });
    }
});

test("a retry through another entry after the first died gets the answer and one bill", async t => {
    const fleet = await start(23);
    const { world, callerVm } = fleet;
    const request = { ...longAnswer, idempotencyKey: "k" };
    void sendChat(callerVm.host, fleet.getEntryAddress(0), request);
    await world.advance(400);
    fleet.entries[0]!.vm.crash();
    const second = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), request));
    t.match(second, { isWhole: true, isRight: true });
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1, "it ran once");
    await fleet.restartEntry(0);
    await world.advance(30_000);
    t.equal(getView(fleet, "budget-a").settledTokens, second.billedTokens, "recovery billed it once");
    t.equal(getView(fleet, "budget-a").inDoubtTokens, 0);
});

test("a dead entry's lease is recovered after its expiry by asking the agents", async t => {
    const fleet = await start(24);
    const { world, callerVm } = fleet;
    const record = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(0), longAnswer));
    fleet.entries[0]!.vm.crash();
    await world.advance(20_000);
    t.ok(getView(fleet, "budget-a").leasedTokens > 0, "held until the lease expires");
    await world.advance(150_000);
    t.match(getView(fleet, "budget-a"), { settledTokens: record.billedTokens, leasedTokens: 0, inDoubtTokens: 0 });
});

test("lost use is held in doubt until an operator releases it", async t => {
    const fleet = await start(25);
    const { world, callerVm, operator } = fleet;
    const pending = sendChat(callerVm.host, fleet.getEntryAddress(0), longAnswer);
    await world.advance(400);
    const index = fleet.workers.findIndex(worker => worker.process!.part.getRunningCount() > 0);
    fleet.entries[0]!.vm.crash();
    fleet.workers[index]!.vm.crash();
    void pending;
    await fleet.restartWorker(index);
    await world.advance(180_000);
    const held = getView(fleet, "budget-a");
    t.ok(held.inDoubtTokens > 0, "the rest is in doubt");
    const leases = await world.runUntil(operator.query("leases.list", {}, { timeoutMs: 5_000 }));
    const lease = leases.kind === "done" ? leases.result.leases.find(candidate => candidate.state === "inDoubt") : undefined;
    const input = { leaseId: lease!.leaseId, spentTokens: 70, actor: "t" };
    const released = await world.runUntil(operator.submit("budgets.release", input, { timeoutMs: 5_000 }));
    t.match(released, { kind: "done", result: { isKnown: true } });
    t.match(getView(fleet, "budget-a"), { inDoubtTokens: 0, settledTokens: 70 });
});

test("an order is refused as not run when control has no quorum, and runs later", async t => {
    const fleet = await start(26);
    const { world, callerVm } = fleet;
    world.setPartition((from, to) => from.startsWith("10.0.1") && !to.startsWith("10.0.1"));
    const refused = await world.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(0), "a", "cut 1", "o1"));
    t.match(refused, { status: 503, verdict: "not-run" });
    t.equal(fleet.services.reduce((sum, service) => sum + service.runs.length, 0), 0);
    world.healPartition();
    await world.advance(5_000);
    const later = await world.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 1", "o1"));
    t.match(later, { status: 200, verdict: "ran" });
});

test("an order whose agent died says that it may have run and never runs twice", async t => {
    const fleet = await start(27);
    const { world, callerVm } = fleet;
    const pending = sendOrder(callerVm.host, fleet.getEntryAddress(0), "a", "cut 2", "o2");
    let busy = -1;
    while (busy < 0) {
        await world.advance(1);
        busy = fleet.workers.findIndex(worker => (worker.service?.runs.length ?? 0) > 0);
    }
    fleet.workers[busy]!.vm.crash();
    t.match(await world.runUntil(pending), { verdict: "may-have-run" });
    await fleet.restartWorker(busy);
    await world.advance(3_000);
    const again = await world.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 2", "o2"));
    t.match(again, { verdict: "may-have-run" });
    t.equal(fleet.services.reduce((sum, service) => sum + service.runs.length, 0), 1);
});

test("an entry that was cut off from control spends its lease and no more", async t => {
    const fleet = await start(28);
    const { world, callerVm } = fleet;
    const warm = Array.from({ length: 10 }, () => sendChat(callerVm.host, fleet.getEntryAddress(0), { ...longAnswer, clientAccount: "b" }));
    const first = await world.runUntil(Promise.all(warm));
    const ip = fleet.entries[0]!.vm.ip;
    world.setPartition((from, to) => from === ip && to.startsWith("10.0.1"));
    const records = [...first];
    for (let count = 0; count < 100; count++) {
        records.push(
            await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(count % 2), { ...longAnswer, clientAccount: "b" })),
        );
    }
    const billed = records.reduce((sum, record) => sum + record.billedTokens, 0);
    t.ok(billed <= 5_000, `billed ${billed} of 5000`);
    const refused = records.filter(record => !record.isWhole);
    t.ok(refused.length > 0 && refused.every(record => record.verdict === "not-run"));
    world.healPartition();
    await world.advance(20_000);
    t.equal(getView(fleet, "budget-b").settledTokens, billed);
});

test("a request that crashes engines takes down two at the most", async t => {
    const fleet = await start(29, { engines: 6 });
    const { world, callerVm } = fleet;
    for (let sends = 0; sends < 8; sends++) {
        const request = { clientAccount: "a", prompt: `${crashMarker} now`, maxTokens: 10, idempotencyKey: `k${sends}` };
        const record = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(sends % 2), request));
        t.not(record.status, 200);
        await world.advance(1_000);
    }
    t.ok(fleet.engines.reduce((sum, engine) => sum + engine.getCrashCount(), 0) <= 2);
    const other = await world.runUntil(
        sendChat(callerVm.host, fleet.getEntryAddress(0), { clientAccount: "a", prompt: "fine", maxTokens: 10 }),
    );
    t.match(other, { isWhole: true, isRight: true });
});

test("a drained backend server starts nothing after three seconds and cuts nothing", async t => {
    const fleet = await start(30);
    const { world, callerVm, operator } = fleet;
    const pending = Array.from({ length: 6 }, (_, index) => sendChat(callerVm.host, fleet.getEntryAddress(index % 2), longAnswer));
    await world.advance(300);
    await world.runUntil(operator.submit("fleet.drain", { backendServer: "engine-1", isDraining: true, actor: "t" }, { timeoutMs: 5_000 }));
    t.ok((await world.runUntil(Promise.all(pending))).every(record => record.isRight));
    await world.advance(3_000);
    const before = fleet.workers[0]!.engine!.runs.size;
    const later = Array.from(
        { length: 12 },
        (_, index) => sendChat(callerVm.host, fleet.getEntryAddress(index % 2), { ...longAnswer, prompt: `p${index}` }),
    );
    t.ok((await world.runUntil(Promise.all(later))).every(record => record.isRight));
    t.equal(fleet.workers[0]!.engine!.runs.size, before);
});

test("a graceful stop of an entry and an agent cuts off nothing and settles all", async t => {
    const fleet = await start(31);
    const { world, callerVm } = fleet;
    const pending = Array.from(
        { length: 6 },
        (_, index) =>
            sendChat(callerVm.host, fleet.getEntryAddress(0), {
                ...longAnswer,
                prompt: `p${index} length:40`,
                isStreamed: index % 2 === 0,
            }),
    );
    await world.advance(300);
    const busy = fleet.workers.find(worker => worker.process!.part.getRunningCount() > 0)!;
    const stopped = Promise.all([fleet.entries[0]!.process!.stop(), busy.process!.stop()]);
    const records = await world.runUntil(Promise.all(pending));
    t.ok(records.every(record => record.isRight), JSON.stringify(records.find(record => !record.isRight)));
    await world.runUntil(stopped, 60_000);
    const view = getView(fleet, "budget-a");
    t.match(view, { leasedTokens: 0, inDoubtTokens: 0, settledTokens: records.reduce((sum, record) => sum + record.billedTokens, 0) });
});

test("a change is in force everywhere within five seconds and survives control's restart", async t => {
    const fleet = await start(32);
    const { world, operator } = fleet;
    const objects = [...createSet(["a", "b"], "cascade", { timeoutMs: 50_000 })];
    const baseVersion = fleet.entries[0]!.process!.part.getVersion();
    const change = { baseVersion, changeId: "second", objects, actor: "t" };
    const [first, racing] = await world.runUntil(Promise.all([
        operator.submit("configuration.apply", change, { timeoutMs: 5_000 }),
        operator.submit("configuration.apply", { ...change, changeId: "racing" }, { timeoutMs: 5_000 }),
    ]));
    const outcomes = [first, racing].map(outcome => outcome.kind === "done" ? outcome.result.outcome : outcome.kind);
    t.same([...outcomes].sort(), ["accepted", "conflict"]);
    await world.advance(5_000);
    const version = fleet.entries[0]!.process!.part.getVersion();
    t.ok(version > baseVersion && fleet.entries.every(entry => entry.process!.part.getVersion() === version));
    for (const index of fleet.controls.keys()) fleet.controls[index]!.vm.crash();
    for (const index of fleet.controls.keys()) await fleet.restartControl(index);
    await world.advance(5_000);
    t.equal(fleet.getLeader()!.process!.part.state.getConfiguration().version, version);
    const repeated = await world.runUntil(
        operator.submit("configuration.apply", { ...change, changeId: outcomes[0] === "accepted" ? "second" : "racing" }, {
            timeoutMs: 5_000,
        }),
    );
    t.match(repeated, { kind: "done", result: { outcome: "repeated", version } });
});

test("a resent top-up adds its tokens once", async t => {
    const fleet = await start(33);
    const { world, operator } = fleet;
    const input = { budget: "budget-a", tokens: 500, actor: "t" };
    for (let sends = 0; sends < 3; sends++) {
        await world.runUntil(operator.submit("budgets.topUp", input, { timeoutMs: 5_000, operationId: "invoice" }));
    }
    t.equal(getView(fleet, "budget-a").toppedUpTokens, 100_500);
    const other = await world.runUntil(
        operator.submit("budgets.topUp", { ...input, tokens: 900 }, { timeoutMs: 5_000, operationId: "invoice" }),
    );
    t.equal(other.kind, "rejected");
});

test("a lone grey backend server is given up and the answer comes from another", async t => {
    const fleet = await start(34);
    const { world, callerVm } = fleet;
    fleet.workers[0]!.engine!.setHung(true);
    const pending = Array.from(
        { length: 9 },
        (_, index) => sendChat(callerVm.host, fleet.getEntryAddress(index % 2), { ...longAnswer, prompt: `p${index}` }),
    );
    const records = await world.runUntil(Promise.all(pending));
    t.ok(records.filter(record => record.isRight).length >= 7, `${records.filter(record => record.isRight).length} of 9`);
    t.ok(records.filter(record => !record.isRight).every(record => record.verdict !== "not-run" || record.status >= 500));
});

test("a change reaches entries as a delta, also after missed ones", async t => {
    const fleet = await start(35);
    const { world, operator } = fleet;
    const ip = fleet.entries[0]!.vm.ip;
    const names = ["a", "b"];
    for (let count = 0; count < 6; count++) {
        if (count === 2) world.setPartition((from, to) => from === ip && to.startsWith("10.0.1"));
        if (count === 5) world.healPartition();
        names.push(`extra-${count}`);
        const gone = count === 4 ? names.filter(name => name !== "extra-1") : names;
        const { version } = fleet.getLeader()!.process!.part.state.getConfiguration();
        const input = { baseVersion: version, changeId: `c${count}`, objects: [...createSet(gone, "cascade")], actor: "t" };
        t.match(await world.runUntil(operator.submit("configuration.apply", input, { timeoutMs: 5_000 })), {
            result: { outcome: "accepted" },
        });
        await world.advance(1_000);
    }
    await world.advance(15_000);
    const { version } = fleet.getLeader()!.process!.part.state.getConfiguration();
    t.ok(fleet.entries.every(entry => entry.process!.part.getVersion() === version));
    t.notOk(world.logLines.some(line => line.includes("does not fit")));
});

async function leaveAfter(fleet: Fleet, durationMs: number, headers: Record<string, string>): Promise<void> {
    const { world, callerVm } = fleet;
    const gone = new AbortController();
    // The same bytes that sendChat sends, or the key would count as used with another body.
    const messages = [{ role: "user", content: longAnswer.prompt }];
    const body = { model: "lovage-pool", messages, max_tokens: longAnswer.maxTokens, stream: false };
    const pending = callerVm.host.network.request(fleet.getEntryAddress(0), {
        method: "POST",
        path: "/v1/chat/completions",
        headers: { "authorization": "Bearer key-a", "content-type": "application/json", ...headers },
        body: Buffer.from(JSON.stringify(body)),
        signal: gone.signal,
    });
    pending.catch(() => undefined);
    await world.advance(durationMs);
    gone.abort();
    await world.advance(200);
}

test("a caller with a key who leaves finds the whole answer later, run and billed once", async t => {
    const fleet = await start(36);
    const { world, callerVm } = fleet;
    await leaveAfter(fleet, 300, { "idempotency-key": "left" });
    const record = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), { ...longAnswer, idempotencyKey: "left" }));
    t.match(record, { isWhole: true, isRight: true });
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1);
    await world.advance(20_000);
    t.equal(getView(fleet, "budget-a").settledTokens, record.billedTokens);
});

test("a caller without a key who leaves stops the work and pays for what was generated", async t => {
    const fleet = await start(37);
    await leaveAfter(fleet, 500, {});
    await fleet.world.advance(20_000);
    const run = fleet.engines.flatMap(engine => [...engine.runs.values()])[0]!;
    t.equal(run.state, "stopped");
    const { settledTokens } = getView(fleet, "budget-a");
    t.ok(settledTokens > 0 && settledTokens <= run.completionTokens + run.promptTokens, `${settledTokens} settled`);
});

test("a non-idempotent chat whose caller leaves runs to its end and is billed for it", async t => {
    const fleet = await start(38);
    await leaveAfter(fleet, 300, { "lovage-idempotent": "false" });
    await fleet.world.advance(20_000);
    const run = fleet.engines.flatMap(engine => [...engine.runs.values()])[0]!;
    t.equal(run.state, "finished");
    t.equal(getView(fleet, "budget-a").settledTokens, run.completionTokens + run.promptTokens);
});

test("an answer that a retry fetched behind a cut is billed once the first entry is back", async t => {
    const fleet = await start(39, { engines: 1 });
    const { world, callerVm } = fleet;
    const request = { ...longAnswer, idempotencyKey: "cut" };
    const first = sendChat(callerVm.host, fleet.getEntryAddress(0), request);
    await world.advance(300);
    const ip = fleet.entries[0]!.vm.ip;
    world.setPartition((from, to) => from === ip && to.startsWith("10.0.3"));
    await world.advance(1_500);
    const second = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), request));
    t.match(second, { isWhole: true, isRight: true });
    await world.advance(40_000);
    world.healPartition();
    await world.runUntil(first);
    await world.advance(30_000);
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1);
    t.equal(getView(fleet, "budget-a").settledTokens, second.billedTokens);
});

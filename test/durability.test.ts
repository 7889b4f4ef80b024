/** Failures of single processes and links, and the guarantees that must hold in spite of them. */
import { test } from "tap";
import { sendChat, sendOrder } from "../bench/caller.js";
import { createConfigurationObjects, createFleet } from "../bench/fleet.js";
import type { Fleet, FleetOptions } from "../bench/fleet.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { crashMarker } from "../src/standins/modelEngine.js";

function startFleet(seed: number, overrides: Partial<FleetOptions> = {}): Promise<Fleet> {
    return createFleet(createSimulation(seed), {
        controls: 3,
        entries: 2,
        engines: 3,
        services: 2,
        objects: createConfigurationObjects(["a", "b"], "cascade"),
        topUps: { "budget-a": 100_000, "budget-b": 5_000 },
        ...overrides,
    });
}

function getBudgetView(fleet: Fleet, budget: string) {
    return fleet.getLeader()!.process!.part.state.ledger.getView(budget)!;
}

const longAnswer = { clientAccount: "a", prompt: "length:60 write long", maxTokens: 64 } as const;

test("when an agent crashes mid-answer, its caller gets the whole answer or an incomplete stream", async t => {
    for (const isStreamed of [false, true]) {
        const fleet = await startFleet(isStreamed ? 21 : 22);
        const { simulation, callerVm } = fleet;
        const pending = sendChat(callerVm.host, fleet.getEntryAddress(0), { ...longAnswer, isStreamed });
        await simulation.advance(400);
        const busyNode = fleet.backends.find(node => node.process!.part.getRunningCount() > 0)!;
        busyNode.vm.crash();
        const record = await simulation.runUntil(pending);
        if (isStreamed) t.match(record, { isComplete: false, code: "cut" });
        else t.match(record, { isComplete: true, isCorrect: true });
    }
});

test("a retry through another entry after the first crashed gets the answer and is billed once", async t => {
    const fleet = await startFleet(23);
    const { simulation, callerVm } = fleet;
    const request = { ...longAnswer, idempotencyKey: "k" };
    void sendChat(callerVm.host, fleet.getEntryAddress(0), request);
    await simulation.advance(400);
    fleet.entries[0]!.vm.crash();
    const second = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), request));
    t.match(second, { isComplete: true, isCorrect: true });
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1, "the request ran once");
    await fleet.restartEntry(0);
    await simulation.advance(30_000);
    t.equal(getBudgetView(fleet, "budget-a").settledTokens, second.billedTokens, "recovery billed the request once");
    t.equal(getBudgetView(fleet, "budget-a").inDoubtTokens, 0);
});

test("the lease of a crashed entry is recovered from the agents after it expires", async t => {
    const fleet = await startFleet(24);
    const { simulation, callerVm } = fleet;
    const record = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(0), longAnswer));
    fleet.entries[0]!.vm.crash();
    await simulation.advance(20_000);
    t.ok(getBudgetView(fleet, "budget-a").leasedTokens > 0, "the tokens stay leased until the lease expires");
    await simulation.advance(150_000);
    t.match(getBudgetView(fleet, "budget-a"), { settledTokens: record.billedTokens, leasedTokens: 0, inDoubtTokens: 0 });
});

test("tokens whose use is lost stay in doubt until an operator releases them", async t => {
    const fleet = await startFleet(25);
    const { simulation, callerVm, operator } = fleet;
    const pending = sendChat(callerVm.host, fleet.getEntryAddress(0), longAnswer);
    await simulation.advance(400);
    const nodeIndex = fleet.backends.findIndex(node => node.process!.part.getRunningCount() > 0);
    fleet.entries[0]!.vm.crash();
    fleet.backends[nodeIndex]!.vm.crash();
    void pending;
    await fleet.restartBackendNode(nodeIndex);
    await simulation.advance(180_000);
    const view = getBudgetView(fleet, "budget-a");
    t.ok(view.inDoubtTokens > 0, "the tokens with unknown use are in doubt");
    const leases = await simulation.runUntil(operator.query("leases.list", {}, { timeoutMs: 5_000 }));
    const lease = leases.kind === "done" ? leases.result.leases.find(candidate => candidate.state === "inDoubt") : undefined;
    const input = { leaseId: lease!.leaseId, spentTokens: 70, actor: "t" };
    const released = await simulation.runUntil(operator.submit("budgets.release", input, { timeoutMs: 5_000 }));
    t.match(released, { kind: "done", result: { isKnown: true } });
    t.match(getBudgetView(fleet, "budget-a"), { inDoubtTokens: 0, settledTokens: 70 });
});

test("an order is refused as not run while control is unreachable, and runs when it is resent later", async t => {
    const fleet = await startFleet(26);
    const { simulation, callerVm } = fleet;
    simulation.setPartition((from, to) => from.startsWith("10.0.1") && !to.startsWith("10.0.1"));
    const refused = await simulation.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(0), "a", "cut 1", "o1"));
    t.match(refused, { status: 503, verdict: "not-run" });
    t.equal(fleet.services.reduce((sum, service) => sum + service.runs.length, 0), 0);
    simulation.healPartition();
    await simulation.advance(5_000);
    const later = await simulation.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 1", "o1"));
    t.match(later, { status: 200, verdict: "ran" });
});

test("an order whose agent crashed is reported as possibly run and never runs twice", async t => {
    const fleet = await startFleet(27);
    const { simulation, callerVm } = fleet;
    const pending = sendOrder(callerVm.host, fleet.getEntryAddress(0), "a", "cut 2", "o2");
    let busyIndex = -1;
    while (busyIndex < 0) {
        await simulation.advance(1);
        busyIndex = fleet.backends.findIndex(node => (node.service?.runs.length ?? 0) > 0);
    }
    fleet.backends[busyIndex]!.vm.crash();
    t.match(await simulation.runUntil(pending), { verdict: "may-have-run" });
    await fleet.restartBackendNode(busyIndex);
    await simulation.advance(3_000);
    const resent = await simulation.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 2", "o2"));
    t.match(resent, { verdict: "may-have-run" });
    t.equal(fleet.services.reduce((sum, service) => sum + service.runs.length, 0), 1);
});

test("an entry that is partitioned from control spends no more than its lease", async t => {
    const fleet = await startFleet(28);
    const { simulation, callerVm } = fleet;
    const warmUpRequests = Array.from(
        { length: 10 },
        () => sendChat(callerVm.host, fleet.getEntryAddress(0), { ...longAnswer, clientAccount: "b" }),
    );
    const first = await simulation.runUntil(Promise.all(warmUpRequests));
    const ip = fleet.entries[0]!.vm.ip;
    simulation.setPartition((from, to) => from === ip && to.startsWith("10.0.1"));
    const records = [...first];
    for (let count = 0; count < 100; count++) {
        records.push(
            await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(count % 2), { ...longAnswer, clientAccount: "b" })),
        );
    }
    const billed = records.reduce((sum, record) => sum + record.billedTokens, 0);
    t.ok(billed <= 5_000, `billed ${billed} of 5000`);
    const refused = records.filter(record => !record.isComplete);
    t.ok(refused.length > 0 && refused.every(record => record.verdict === "not-run"));
    simulation.healPartition();
    await simulation.advance(20_000);
    t.equal(getBudgetView(fleet, "budget-b").settledTokens, billed);
});

test("a request that crashes engines crashes at most two of them", async t => {
    const fleet = await startFleet(29, { engines: 6 });
    const { simulation, callerVm } = fleet;
    for (let sends = 0; sends < 8; sends++) {
        const request = { clientAccount: "a", prompt: `${crashMarker} now`, maxTokens: 10, idempotencyKey: `k${sends}` };
        const record = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(sends % 2), request));
        t.not(record.status, 200);
        await simulation.advance(1_000);
    }
    t.ok(fleet.engines.reduce((sum, engine) => sum + engine.getCrashCount(), 0) <= 2);
    const other = await simulation.runUntil(
        sendChat(callerVm.host, fleet.getEntryAddress(0), { clientAccount: "a", prompt: "fine", maxTokens: 10 }),
    );
    t.match(other, { isComplete: true, isCorrect: true });
});

test("a drained backend server finishes its requests and starts none after three seconds", async t => {
    const fleet = await startFleet(30);
    const { simulation, callerVm, operator } = fleet;
    const pending = Array.from({ length: 6 }, (_, index) => sendChat(callerVm.host, fleet.getEntryAddress(index % 2), longAnswer));
    await simulation.advance(300);
    await simulation.runUntil(
        operator.submit("fleet.drain", { backendServer: "engine-1", isDraining: true, actor: "t" }, { timeoutMs: 5_000 }),
    );
    t.ok((await simulation.runUntil(Promise.all(pending))).every(record => record.isCorrect));
    await simulation.advance(3_000);
    const runsAfterDrain = fleet.backends[0]!.engine!.runs.size;
    const later = Array.from(
        { length: 12 },
        (_, index) => sendChat(callerVm.host, fleet.getEntryAddress(index % 2), { ...longAnswer, prompt: `p${index}` }),
    );
    t.ok((await simulation.runUntil(Promise.all(later))).every(record => record.isCorrect));
    t.equal(fleet.backends[0]!.engine!.runs.size, runsAfterDrain);
});

test("a graceful stop of an entry and an agent interrupts no request and settles all tokens", async t => {
    const fleet = await startFleet(31);
    const { simulation, callerVm } = fleet;
    const pending = Array.from(
        { length: 6 },
        (_, index) =>
            sendChat(callerVm.host, fleet.getEntryAddress(0), {
                ...longAnswer,
                prompt: `p${index} length:40`,
                isStreamed: index % 2 === 0,
            }),
    );
    await simulation.advance(300);
    const busyNode = fleet.backends.find(node => node.process!.part.getRunningCount() > 0)!;
    const stopped = Promise.all([fleet.entries[0]!.process!.stop(), busyNode.process!.stop()]);
    const records = await simulation.runUntil(Promise.all(pending));
    t.ok(records.every(record => record.isCorrect), JSON.stringify(records.find(record => !record.isCorrect)));
    await simulation.runUntil(stopped, 60_000);
    const view = getBudgetView(fleet, "budget-a");
    t.match(view, { leasedTokens: 0, inDoubtTokens: 0, settledTokens: records.reduce((sum, record) => sum + record.billedTokens, 0) });
});

test("a configuration change is in force on every entry within five seconds and survives a restart of control", async t => {
    const fleet = await startFleet(32);
    const { simulation, operator } = fleet;
    const objects = [...createConfigurationObjects(["a", "b"], "cascade", { timeoutMs: 50_000 })];
    const baseVersion = fleet.entries[0]!.process!.part.getVersion();
    const change = { baseVersion, changeId: "second", objects, actor: "t" };
    const [first, racing] = await simulation.runUntil(Promise.all([
        operator.submit("configuration.apply", change, { timeoutMs: 5_000 }),
        operator.submit("configuration.apply", { ...change, changeId: "racing" }, { timeoutMs: 5_000 }),
    ]));
    const outcomes = [first, racing].map(outcome => outcome.kind === "done" ? outcome.result.outcome : outcome.kind);
    t.same([...outcomes].sort(), ["accepted", "conflict"]);
    await simulation.advance(5_000);
    const version = fleet.entries[0]!.process!.part.getVersion();
    t.ok(version > baseVersion && fleet.entries.every(entry => entry.process!.part.getVersion() === version));
    for (const index of fleet.controls.keys()) fleet.controls[index]!.vm.crash();
    for (const index of fleet.controls.keys()) await fleet.restartControl(index);
    await simulation.advance(5_000);
    t.equal(fleet.getLeader()!.process!.part.state.getConfiguration().version, version);
    const repeated = await simulation.runUntil(
        operator.submit("configuration.apply", { ...change, changeId: outcomes[0] === "accepted" ? "second" : "racing" }, {
            timeoutMs: 5_000,
        }),
    );
    t.match(repeated, { kind: "done", result: { outcome: "repeated", version } });
});

test("a resent top-up adds its tokens once", async t => {
    const fleet = await startFleet(33);
    const { simulation, operator } = fleet;
    const input = { budget: "budget-a", tokens: 500, actor: "t" };
    for (let sends = 0; sends < 3; sends++) {
        await simulation.runUntil(operator.submit("budgets.topUp", input, { timeoutMs: 5_000, operationId: "invoice" }));
    }
    t.equal(getBudgetView(fleet, "budget-a").toppedUpTokens, 100_500);
    const other = await simulation.runUntil(
        operator.submit("budgets.topUp", { ...input, tokens: 900 }, { timeoutMs: 5_000, operationId: "invoice" }),
    );
    t.equal(other.kind, "rejected");
});

test("while one backend server hangs, requests are answered by the others", async t => {
    const fleet = await startFleet(34);
    const { simulation, callerVm } = fleet;
    fleet.backends[0]!.engine!.setHung(true);
    const pending = Array.from(
        { length: 9 },
        (_, index) => sendChat(callerVm.host, fleet.getEntryAddress(index % 2), { ...longAnswer, prompt: `p${index}` }),
    );
    const records = await simulation.runUntil(Promise.all(pending));
    t.ok(records.filter(record => record.isCorrect).length >= 7, `${records.filter(record => record.isCorrect).length} of 9`);
    t.ok(records.filter(record => !record.isCorrect).every(record => record.verdict !== "not-run" || record.status >= 500));
});

test("a configuration change reaches entries as a delta, also after missed changes", async t => {
    const fleet = await startFleet(35);
    const { simulation, operator } = fleet;
    const ip = fleet.entries[0]!.vm.ip;
    const accountNames = ["a", "b"];
    for (let count = 0; count < 6; count++) {
        if (count === 2) simulation.setPartition((from, to) => from === ip && to.startsWith("10.0.1"));
        if (count === 5) simulation.healPartition();
        accountNames.push(`extra-${count}`);
        const includedNames = count === 4 ? accountNames.filter(name => name !== "extra-1") : accountNames;
        const { version } = fleet.getLeader()!.process!.part.state.getConfiguration();
        const input = {
            baseVersion: version,
            changeId: `c${count}`,
            objects: [...createConfigurationObjects(includedNames, "cascade")],
            actor: "t",
        };
        t.match(await simulation.runUntil(operator.submit("configuration.apply", input, { timeoutMs: 5_000 })), {
            result: { outcome: "accepted" },
        });
        await simulation.advance(1_000);
    }
    await simulation.advance(15_000);
    const { version } = fleet.getLeader()!.process!.part.state.getConfiguration();
    t.ok(fleet.entries.every(entry => entry.process!.part.getVersion() === version));
    t.notOk(simulation.logLines.some(line => line.includes("does not match its digest")));
});

async function sendAndDisconnect(fleet: Fleet, durationMs: number, headers: Record<string, string>): Promise<void> {
    const { simulation, callerVm } = fleet;
    const abortController = new AbortController();
    // The body must equal that of sendChat byte for byte. Otherwise a resend with the same key is refused with keyConflict.
    const messages = [{ role: "user", content: longAnswer.prompt }];
    const body = { model: "lovage-pool", messages, max_tokens: longAnswer.maxTokens, stream: false };
    const pending = callerVm.host.network.request(fleet.getEntryAddress(0), {
        method: "POST",
        path: "/v1/chat/completions",
        headers: { "authorization": "Bearer key-a", "content-type": "application/json", ...headers },
        body: Buffer.from(JSON.stringify(body)),
        signal: abortController.signal,
    });
    pending.catch(() => undefined);
    await simulation.advance(durationMs);
    abortController.abort();
    await simulation.advance(200);
}

test("a caller with an idempotency key who disconnects gets the whole answer later, run and billed once", async t => {
    const fleet = await startFleet(36);
    const { simulation, callerVm } = fleet;
    await sendAndDisconnect(fleet, 300, { "idempotency-key": "left" });
    const record = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), { ...longAnswer, idempotencyKey: "left" }));
    t.match(record, { isComplete: true, isCorrect: true });
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1);
    await simulation.advance(20_000);
    t.equal(getBudgetView(fleet, "budget-a").settledTokens, record.billedTokens);
});

test("a request without an idempotency key stops when its caller disconnects, and is billed for what was generated", async t => {
    const fleet = await startFleet(37);
    await sendAndDisconnect(fleet, 500, {});
    await fleet.simulation.advance(20_000);
    const run = fleet.engines.flatMap(engine => [...engine.runs.values()])[0]!;
    t.equal(run.state, "stopped");
    const { settledTokens } = getBudgetView(fleet, "budget-a");
    t.ok(settledTokens > 0 && settledTokens <= run.completionTokens + run.promptTokens, `${settledTokens} settled`);
});

test("a non-idempotent chat request whose caller disconnects runs to its end and is billed in full", async t => {
    const fleet = await startFleet(38);
    await sendAndDisconnect(fleet, 300, { "lovage-idempotent": "false" });
    await fleet.simulation.advance(20_000);
    const run = fleet.engines.flatMap(engine => [...engine.runs.values()])[0]!;
    t.equal(run.state, "finished");
    t.equal(getBudgetView(fleet, "budget-a").settledTokens, run.completionTokens + run.promptTokens);
});

test("an answer that a retry fetches while the first entry is partitioned is billed exactly once", async t => {
    const fleet = await startFleet(39, { engines: 1 });
    const { simulation, callerVm } = fleet;
    const request = { ...longAnswer, idempotencyKey: "cut" };
    const first = sendChat(callerVm.host, fleet.getEntryAddress(0), request);
    await simulation.advance(300);
    const ip = fleet.entries[0]!.vm.ip;
    simulation.setPartition((from, to) => from === ip && to.startsWith("10.0.3"));
    await simulation.advance(1_500);
    const second = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), request));
    t.match(second, { isComplete: true, isCorrect: true });
    await simulation.advance(40_000);
    simulation.healPartition();
    await simulation.runUntil(first);
    await simulation.advance(30_000);
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1);
    t.equal(getBudgetView(fleet, "budget-a").settledTokens, second.billedTokens);
});

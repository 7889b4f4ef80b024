/** Requests end to end through control, entries and agents on fake hosts. */
import { test } from "tap";
import { sendChat, sendOrder } from "../bench/caller.js";
import { createConfigurationObjects, createFleet, getApiKey } from "../bench/fleet.js";
import type { Fleet, FleetOptions } from "../bench/fleet.js";
import { createSimulation } from "../src/standins/fakeHost.js";

const prompt = "Word a tab for exhibits.";

function startFleet(seed: number, overrides: Partial<FleetOptions> = {}): Promise<Fleet> {
    return createFleet(createSimulation(seed), {
        controls: 3,
        entries: 2,
        engines: 3,
        services: 2,
        objects: createConfigurationObjects(["a", "b"], "cascade"),
        topUps: { "budget-a": 100_000, "budget-b": 150 },
        ...overrides,
    });
}

test("an answer arrives complete and is billed once", async t => {
    const fleet = await startFleet(1);
    const { simulation, callerVm } = fleet;
    const record = await simulation.runUntil(
        sendChat(callerVm.host, fleet.getEntryAddress(0), { clientAccount: "a", prompt, maxTokens: 20 }),
    );
    t.match(record, { status: 200, verdict: "ran", isComplete: true, isCorrect: true });
    await simulation.advance(8_000);
    const view = fleet.getLeader()!.process!.part.state.ledger.getView("budget-a")!;
    t.equal(view.settledTokens, record.billedTokens);
});

test("a streamed answer arrives complete", async t => {
    const fleet = await startFleet(2);
    const request = { clientAccount: "a", prompt, maxTokens: 20, isStreamed: true };
    const record = await fleet.simulation.runUntil(sendChat(fleet.callerVm.host, fleet.getEntryAddress(1), request));
    t.match(record, { status: 200, isComplete: true, isCorrect: true });
});

test("a retry with the same idempotency key gets the same answer and is billed once", async t => {
    const fleet = await startFleet(3);
    const { simulation, callerVm } = fleet;
    const request = { clientAccount: "a", prompt, maxTokens: 20, idempotencyKey: "k1" };
    const first = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(0), request));
    const second = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), request));
    t.ok(first.isCorrect && second.isCorrect);
    const conflict = await simulation.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), { ...request, prompt: "Another body." }));
    t.match(conflict, { status: 409, code: "keyConflict", verdict: "not-run" });
    await simulation.advance(8_000);
    t.equal(fleet.getLeader()!.process!.part.state.ledger.getView("budget-a")!.settledTokens, first.billedTokens);
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1);
});

test("a budget is never exceeded, and refused requests are reported as not run", async t => {
    const fleet = await startFleet(4);
    const { simulation, callerVm } = fleet;
    const records = await simulation.runUntil(
        Promise.all(
            Array.from(
                { length: 12 },
                (_, index) =>
                    sendChat(callerVm.host, fleet.getEntryAddress(index % 2), {
                        clientAccount: "b",
                        prompt: `Tab ${index}.`,
                        maxTokens: 16,
                    }),
            ),
        ),
    );
    const billed = records.reduce((sum, record) => sum + record.billedTokens, 0);
    t.ok(billed <= 150 && billed > 80, `billed ${billed}`);
    t.ok(
        records.filter(record => record.status !== 200).every(record => record.code === "budgetExhausted" && record.verdict === "not-run"),
    );
    await simulation.advance(8_000);
    t.equal(fleet.getLeader()!.process!.part.state.ledger.getView("budget-b")!.settledTokens, billed);
});

test("a resent order runs once", async t => {
    const fleet = await startFleet(5);
    const { simulation, callerVm } = fleet;
    const first = await simulation.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(0), "a", "cut 7", "order-7"));
    const second = await simulation.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 7", "order-7"));
    t.match(first, { status: 200, verdict: "ran" });
    t.equal(second.body, first.body);
    t.equal(fleet.services.reduce((sum, service) => sum + service.runs.length, 0), 1);
});

test("an unknown API key is refused", async t => {
    const fleet = await startFleet(6);
    const { simulation, callerVm } = fleet;
    const unknownAccount = await simulation.runUntil(
        sendChat(callerVm.host, fleet.getEntryAddress(0), { clientAccount: "stranger", prompt, maxTokens: 5 }),
    );
    t.match(unknownAccount, { status: 401, code: "unauthenticated", verdict: "not-run" });
});

test("an order whose caller left while its claim waited for control does not run until it is sent again", async t => {
    const fleet = await startFleet(7);
    const { simulation, callerVm } = fleet;
    const entryAddress = fleet.getEntryAddress(0);
    const entryIp = entryAddress.slice(0, entryAddress.indexOf(":"));
    const controlIps = new Set(fleet.controls.map(control => control.vm.ip));
    const isCut = (a: string, b: string) => a === entryIp && controlIps.has(b);
    simulation.setPartition((from, to) => isCut(from, to) || isCut(to, from));
    const leaving = new AbortController();
    const order = sendOrder(callerVm.host, entryAddress, "a", "cut 8", "order-8", leaving.signal);
    await simulation.advance(200);
    leaving.abort();
    await simulation.runUntil(order);
    await simulation.advance(200);
    simulation.healPartition();
    await simulation.advance(10_000);
    const countRuns = () => fleet.services.reduce((sum, service) => sum + service.runs.length, 0);
    t.equal(countRuns(), 0);
    const resent = await simulation.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 8", "order-8"));
    t.match(resent, { status: 200, verdict: "ran" });
    t.equal(countRuns(), 1);
});

test("an agent refuses a stream whose path cannot be decoded", async t => {
    const fleet = await startFleet(8);
    const address = `${fleet.backends[0]!.vm.ip}:7200`;
    const request = { method: "GET", path: "/streams/%zz?incarnation=i" };
    t.equal((await fleet.simulation.runUntil(fleet.callerVm.host.network.request(address, request))).status, 400);
});

// Guards against plain services that fail some requests by themselves: their error answers cleared a request that crashes servers.
test("an error of a plain service does not clear a request during which another one crashed", async t => {
    for (const [status, records] of [[500, 1], [422, 1], [200, 0]] as const) {
        const fleet = await startFleet(9);
        const { simulation } = fleet;
        const request = {
            method: "GET",
            path: `/services/shopdesk/page?status=${status}`,
            headers: { authorization: `Bearer ${getApiKey("a")}` },
        };
        const reply = fleet.callerVm.host.network.request(fleet.getEntryAddress(0), request);
        const findRunning = () => fleet.backends.findIndex(node => node.service !== undefined && node.service.runs.length > 0);
        while (findRunning() === -1) await simulation.advance(1);
        fleet.backends[findRunning()]!.service!.crash();
        t.equal((await simulation.runUntil(reply)).status, status);
        await simulation.advance(2_000);
        const list = await simulation.runUntil(fleet.operator.query("quarantine.list", {}, { timeoutMs: 2_000 }));
        t.equal(list.kind === "done" ? list.result.fingerprints.length : undefined, records, `status ${status}`);
    }
});

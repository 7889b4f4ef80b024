/** The whole path on fake hosts: requests end to end, through separate parts. */
import { test } from "tap";
import { sendChat, sendOrder } from "../bench/caller.js";
import { createFleet, createSet } from "../bench/fleet.js";
import type { Fleet, FleetOptions } from "../bench/fleet.js";
import { createSimulation } from "../src/standins/fakeHost.js";

const prompt = "Word a tab for exhibits.";

function start(seed: number, changes: Partial<FleetOptions> = {}): Promise<Fleet> {
    return createFleet(createSimulation(seed), {
        controls: 3,
        entries: 2,
        engines: 3,
        services: 2,
        objects: createSet(["a", "b"], "cascade"),
        topUps: { "budget-a": 100_000, "budget-b": 150 },
        ...changes,
    });
}

test("an answer comes whole and is billed once", async t => {
    const fleet = await start(1);
    const { world, callerVm } = fleet;
    const record = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(0), { clientAccount: "a", prompt, maxTokens: 20 }));
    t.match(record, { status: 200, verdict: "ran", isWhole: true, isRight: true });
    await world.advance(8_000);
    const view = fleet.getLeader()!.process!.part.state.ledger.getView("budget-a")!;
    t.equal(view.settledTokens, record.billedTokens);
});

test("a streamed answer comes whole", async t => {
    const fleet = await start(2);
    const request = { clientAccount: "a", prompt, maxTokens: 20, isStreamed: true };
    const record = await fleet.world.runUntil(sendChat(fleet.callerVm.host, fleet.getEntryAddress(1), request));
    t.match(record, { status: 200, isWhole: true, isRight: true });
});

test("a retry with the same key gets the same answer and one bill", async t => {
    const fleet = await start(3);
    const { world, callerVm } = fleet;
    const request = { clientAccount: "a", prompt, maxTokens: 20, idempotencyKey: "k1" };
    const first = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(0), request));
    const second = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), request));
    t.ok(first.isRight && second.isRight);
    const conflict = await world.runUntil(sendChat(callerVm.host, fleet.getEntryAddress(1), { ...request, prompt: "Another body." }));
    t.match(conflict, { status: 409, code: "keyConflict", verdict: "not-run" });
    await world.advance(8_000);
    t.equal(fleet.getLeader()!.process!.part.state.ledger.getView("budget-a")!.settledTokens, first.billedTokens);
    t.equal(fleet.engines.reduce((sum, engine) => sum + engine.runs.size, 0), 1);
});

test("a budget is never exceeded and refusals say not run", async t => {
    const fleet = await start(4);
    const { world, callerVm } = fleet;
    const records = await world.runUntil(
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
    await world.advance(8_000);
    t.equal(fleet.getLeader()!.process!.part.state.ledger.getView("budget-b")!.settledTokens, billed);
});

test("a resent order runs once", async t => {
    const fleet = await start(5);
    const { world, callerVm } = fleet;
    const first = await world.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(0), "a", "cut 7", "order-7"));
    const second = await world.runUntil(sendOrder(callerVm.host, fleet.getEntryAddress(1), "a", "cut 7", "order-7"));
    t.match(first, { status: 200, verdict: "ran" });
    t.equal(second.body, first.body);
    t.equal(fleet.services.reduce((sum, service) => sum + service.runs.length, 0), 1);
});

test("a wrong key and an unknown model are refused", async t => {
    const fleet = await start(6);
    const { world, callerVm } = fleet;
    const stranger = await world.runUntil(
        sendChat(callerVm.host, fleet.getEntryAddress(0), { clientAccount: "stranger", prompt, maxTokens: 5 }),
    );
    t.match(stranger, { status: 401, code: "unauthenticated", verdict: "not-run" });
});

/** Hedged calls, and calls to control through a relay while the direct path does not respond. */
import { test } from "tap";
import { hedge } from "../src/kernel/hedge.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { createDirectFleet } from "./directFleet.js";

test("a network partition between an entry and control does not delay a request", async t => {
    const fleet = await createDirectFleet(43);
    const { simulation, entries } = fleet;
    await simulation.runUntil(fleet.call(0, { path: "/stream/1", id: "a", tokens: "100,20" }));
    simulation.setPartition((from, to) => from === "10.0.1.1" && to.startsWith("10.0.0."));
    const startedAtMs = entries[0]!.vm.host.clock.nowMs();
    // Needs more tokens than the entry holds in its lease, so that it must reach control.
    const result = await simulation.runUntil(fleet.call(0, { path: "/stream/1", id: "b", tokens: "30000,2000" }));
    const durationMs = entries[0]!.vm.host.clock.nowMs() - startedAtMs;
    t.equal(result.status, 200);
    t.ok(durationMs < 200, `${durationMs} ms`);
});

test("the second call starts only if the first is slow, and wins only if it is answered first", async t => {
    const { simulation, host } = createHost();
    const runHedged = (firstMs: number, secondMs: number) => {
        let secondCalls = 0;
        const replyAfter = async (afterMs: number, reply: string) => {
            await sleep(host.timers, afterMs);
            return reply;
        };
        const startSecond = () => {
            secondCalls++;
            return replyAfter(secondMs, "second");
        };
        const hedged = hedge<string>(host.timers, replyAfter(firstMs, "first"), startSecond, 60);
        return simulation.runUntil(hedged).then(reply => ({ ...reply, secondCalls }));
    };
    t.strictSame(await runHedged(20, 10), { reply: "first", winner: "first", secondCalls: 0 });
    t.strictSame(
        await runHedged(80, 100),
        { reply: "first", winner: "first", secondCalls: 1 },
        "the first call is slow but still answered first",
    );
    t.strictSame(await runHedged(500, 10), { reply: "second", winner: "second", secondCalls: 1 });
});

test("without a reply neither call wins", async t => {
    const { simulation, host } = createHost();
    const hedged = hedge<string>(host.timers, sleep(host.timers, 100) as Promise<undefined>, async () => undefined, 60);
    t.strictSame(await simulation.runUntil(hedged), { reply: undefined, winner: undefined });
});

function createHost() {
    const simulation = createSimulation(1);
    return { simulation, host: simulation.createVm("10.0.0.1").host };
}

/** Readiness of entries that have more to do than they can do. */
import { test } from "tap";
import { createConfigurationObjects, createFleet } from "../bench/fleet.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { FakeVm } from "../src/standins/fakeHost.js";
import { createDirectFleet } from "./directFleet.js";

const busyMs = 29;
const pauseMs = 1;

/** Lets the process of a VM compute nearly all the time, in short turns. */
function keepBusy(vm: FakeVm): () => void {
    let isBusy = true;
    const compute = () => {
        if (!isBusy) return;
        vm.compute(busyMs);
        vm.host.timers.after(pauseMs, compute);
    };
    compute();
    return () => {
        isBusy = false;
    };
}

test("a saturated gateway says it is not ready, still serves what arrives, and is ready once it has room", async t => {
    const fleet = await createDirectFleet(31);
    const entry = fleet.entries[0]!;
    const isReady = () => entry.process!.part.isReady();
    t.ok(isReady(), "before");
    const stopBusy = keepBusy(entry.vm);
    await fleet.simulation.advance(1_500);
    t.notOk(isReady(), "while its event loop has no pause");
    stopBusy();
    t.match(await fleet.simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a" })), { status: 200, isComplete: true });
    t.notOk(isReady(), "when it has answered");
    await fleet.simulation.advance(2_000);
    t.ok(isReady(), "with room again");
});

test("a saturated entry that dispatches through agents says it is not ready until it has room", async t => {
    const simulation = createSimulation(32);
    const objects = createConfigurationObjects(["a", "b"], "cascade");
    const fleet = await createFleet(simulation, {
        controls: 3,
        entries: 1,
        engines: 1,
        services: 1,
        objects,
        topUps: { "budget-a": 1_000 },
    });
    const entry = fleet.entries[0]!;
    const isReady = () => entry.process!.part.isReady();
    t.ok(isReady(), "before");
    const stopBusy = keepBusy(entry.vm);
    await simulation.advance(1_500);
    t.notOk(isReady(), "while its event loop has no pause");
    stopBusy();
    await simulation.advance(2_000);
    t.ok(isReady(), "with room again");
});

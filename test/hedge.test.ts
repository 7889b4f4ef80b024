/** Calls to control through a relay while the direct way is silent. */
import { test } from "tap";
import { createDirectFleet } from "./directFleet.js";

test("a request is not held up by a cut from control", async t => {
    const fleet = await createDirectFleet(43);
    const { world, entries } = fleet;
    await world.runUntil(fleet.call(0, { path: "/stream/1", id: "a", tokens: "100,20" }));
    world.setPartition((from, to) => from === "10.0.1.1" && to.startsWith("10.0.0."));
    const startedAtMs = entries[0]!.vm.host.clock.nowMs();
    // More than the entry holds ahead.
    const result = await world.runUntil(fleet.call(0, { path: "/stream/1", id: "b", tokens: "30000,2000" }));
    const tookMs = entries[0]!.vm.host.clock.nowMs() - startedAtMs;
    t.equal(result.status, 200);
    t.ok(tookMs < 200, `${tookMs} ms`);
});

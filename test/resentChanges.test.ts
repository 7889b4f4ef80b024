/** Changes and commands that are sent again: each makes one log entry at the most. */
import { test } from "tap";
import { createConfiguration, createDirectFleet } from "./directFleet.js";
import { createLogGroup } from "./logGroup.js";

test("a command that is proposed again while it is pending makes one log entry, and both calls get its result", async t => {
    const group = await createLogGroup(11, 3);
    const leader = await group.waitForLeader();
    const before = leader.replica!.getStatus().lastIndex;
    const calls = Array.from({ length: 20 }, () => leader.replica!.propose("operation", "value", "v"));
    const results = await group.simulation.runUntil(Promise.all(calls));
    t.equal(leader.replica!.getStatus().lastIndex, before + 1);
    t.equal(new Set(results.map(result => result.kind === "applied" ? result.index : undefined)).size, 1);
    t.ok(results.every(result => result.kind === "applied"));
});

test("a command under the id of another pending one gets an entry of its own", async t => {
    const group = await createLogGroup(12, 3);
    const leader = await group.waitForLeader();
    const before = leader.replica!.getStatus().lastIndex;
    await group.simulation.runUntil(Promise.all(["a", "b"].map(value => leader.replica!.propose("operation", "value", value))));
    t.equal(leader.replica!.getStatus().lastIndex, before + 2);
});

test("a configuration that is in force is acknowledged without a log entry, at any control VM", async t => {
    const fleet = await createDirectFleet(13);
    const { simulation } = fleet;
    const state = createConfiguration(2);
    t.equal(await simulation.runUntil(fleet.replace(0, state)), 200);
    await simulation.advance(3_000);
    const before = fleet.getLeader()!.replica.getStatus().lastIndex;
    for (let count = 0; count < 9; count++) t.equal(await simulation.runUntil(fleet.replace(count % 3, state)), 200);
    t.equal(fleet.getLeader()!.replica.getStatus().lastIndex, before);
    t.equal(
        await simulation.runUntil(fleet.replace(0, createConfiguration(2, { tenants: [] }))),
        409,
        "another set under the same version",
    );
});

test("a configuration in force is not acknowledged by control VMs that reach no quorum", async t => {
    const fleet = await createDirectFleet(14);
    const { simulation } = fleet;
    const state = createConfiguration(2);
    t.equal(await simulation.runUntil(fleet.replace(0, state)), 200);
    await simulation.advance(1_000);
    const leader = fleet.controls.findIndex(control => control.process?.part === fleet.getLeader());
    const ip = fleet.controls[leader]!.vm.ip;
    simulation.setPartition((from, to) => (from === ip) !== (to === ip) && from !== "10.0.9.1" && to !== "10.0.9.1");
    t.equal(await simulation.runUntil(fleet.replace(leader, state), 10_000), 503);
});

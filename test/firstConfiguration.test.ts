/** How entries get their first configuration after a start. */
import { test } from "tap";
import { createConfiguration, createDirectFleet } from "./directFleet.js";

test("entries that start together read the large sets from all control VMs, and only numbers from the leader", async t => {
    const fleet = await createDirectFleet(51, { entries: 12 });
    const { simulation } = fleet;
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(2))), 200);
    const setsByControl = fleet.controls.map(() => 0);
    let setsByQuery = 0;
    for (const [index, control] of fleet.controls.entries()) {
        const { api } = control.process!.part;
        const { watch, query } = api;
        Object.assign(api, {
            async watch(request: Parameters<typeof watch>[0]) {
                const reply = await watch(request);
                if (request.version === 0 && (reply.configuration ?? reply.delta) !== undefined) setsByControl[index]!++;
                return reply;
            },
            query(request: Parameters<typeof query>[0]) {
                if (request.kind === "configuration.get") setsByQuery++;
                return query(request);
            },
        });
    }
    for (const [index, entry] of fleet.entries.entries()) {
        entry.vm.restart();
        await fleet.startEntry(index);
    }
    await simulation.advance(1_000);
    t.ok(fleet.entries.every(entry => entry.process!.part.isReady()));
    t.equal(setsByQuery, 0);
    t.ok(setsByControl.every(count => count > 0 && count <= 8), setsByControl.join(" "));
});

test("an entry is not ready with a set that is older than the confirmed version", async t => {
    const fleet = await createDirectFleet(52, { entries: 1 });
    const { simulation } = fleet;
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(2))), 200);
    await simulation.advance(500);
    const stale = fleet.controls.map(control => control.process!.part.state.getConfiguration());
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(3))), 200);
    await simulation.advance(500);
    const apis = fleet.controls.map(control => control.process!.part.api);
    const watches = apis.map(api => api.watch);
    for (const [index, api] of apis.entries()) {
        Object.assign(api, {
            watch: async (request: Parameters<typeof api.watch>[0]) => ({
                ...await watches[index]!(request),
                delta: undefined,
                configuration: stale[index],
            }),
        });
    }
    fleet.entries[0]!.vm.restart();
    await fleet.startEntry(0);
    await simulation.advance(2_000);
    t.equal(fleet.entries[0]!.process!.part.isReady(), false);
    for (const [index, api] of apis.entries()) Object.assign(api, { watch: watches[index] });
    await simulation.advance(2_500);
    t.equal(fleet.entries[0]!.process!.part.isReady(), true);
    t.equal(fleet.entries[0]!.process!.part.getVersion(), fleet.controls[0]!.process!.part.state.getConfiguration().version);
});

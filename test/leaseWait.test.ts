/** Requests that wait at an entry for budget tokens. */
import { test } from "tap";
import { createLeaseManager } from "../src/entry/budgets/leaseManager.js";
import type { ControlClient } from "../src/kernel/controlClient.js";
import { createControlTimeBound } from "../src/kernel/controlTime.js";
import { createSimulation } from "../src/standins/fakeHost.js";

test("a request stops waiting at once when its caller disconnects", async t => {
    const simulation = createSimulation(1);
    const { host } = simulation.createVm("10.0.0.1");
    const unreachableControl = {
        time: createControlTimeBound(host.clock),
        submit: async () => ({ kind: "unreachable" }),
    } as unknown as ControlClient;
    const leases = createLeaseManager(host, { vm: "e", incarnation: "i", control: unreachableControl });
    const caller = new AbortController();
    const waiting = leases.reserve({ budget: "b", weighsMore: "overspend", tokens: 100, deadlineMs: 5_000, signal: caller.signal });
    const outcome = waiting.then(() => "reserved", () => "refused");
    await simulation.advance(100);
    caller.abort();
    t.equal(await simulation.runUntil(outcome), "refused");
    t.ok(simulation.nowMs() < 150, `${simulation.nowMs()} ms`);
});

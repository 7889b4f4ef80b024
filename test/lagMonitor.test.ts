/** Measurement of late timers. */
import { test } from "tap";
import { createLagMonitor } from "../src/kernel/lagMonitor.js";
import { createSimulation } from "../src/standins/fakeHost.js";

test("the lag rises when the process is suspended and returns to zero after it resumes", async t => {
    const simulation = createSimulation(1);
    const vm = simulation.createVm("10.0.0.1");
    const warnings: string[] = [];
    const log = { ...vm.host.createLogger("process"), warn: (message: string) => void warnings.push(message) };
    const monitor = createLagMonitor(vm.host, log);
    const abortController = new AbortController();
    monitor.start(abortController.signal);
    await simulation.advance(1_000);
    t.equal(monitor.getLagMs(), 0);
    t.strictSame(warnings, []);
    vm.freeze(900);
    await simulation.advance(950);
    t.ok(monitor.getLagMs() > 700, `${monitor.getLagMs()} ms`);
    t.equal(warnings.length, 1);
    await simulation.advance(1_000);
    t.equal(monitor.getLagMs(), 0);
    abortController.abort();
});

/** What a process knows of its own capacity: utilization, saturation and late timers. */
import { test } from "tap";
import { computeUtilization, createCapacity, initialSaturation, updateSaturation } from "../src/kernel/capacity.js";
import { createSimulation } from "../src/standins/fakeHost.js";

test("the lag rises when the process is suspended and returns to zero after it resumes", async t => {
    const simulation = createSimulation(1);
    const vm = simulation.createVm("10.0.0.1");
    const warnings: string[] = [];
    const log = { ...vm.host.createLogger("process"), warn: (message: string) => void warnings.push(message) };
    const monitor = createCapacity(vm.host, log);
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

function update(utilizations: readonly number[], intervalMs = 250) {
    return utilizations.map((_, index) =>
        utilizations.slice(0, index + 1).reduce(
            (state, utilization, window) => updateSaturation(state, utilization, window * intervalMs),
            initialSaturation,
        ).isSaturated
    );
}

test("half a second of full windows does not make a process saturated, three windows in a row do", async t => {
    t.strictSame(update([1, 1, 0.5, 1, 0.8, 0.95, 0.92, 0.91]), [false, false, false, false, false, false, false, true]);
});

test("a process stays saturated until a window has room, and at least as long as the platform takes to ask", async t => {
    t.strictSame(update([1, 1, 1, 0.2, 0.2, 0.2, 0.2]), [false, false, true, true, true, true, false]);
    t.strictSame(update([1, 1, 1, 0.8, 0.8, 0.8, 0.8, 0.8, 0.69]), [false, false, true, true, true, true, true, true, false]);
});

test("a process that was relieved stays so for a second", async t => {
    t.strictSame(update([1, 1, 1, 0, 0, 0, 0, 1, 1, 1, 1]).slice(6), [false, false, false, false, true]);
});

test("utilization is the busy share of the time that has passed, also if the window ends late", async t => {
    t.equal(computeUtilization({ atMs: 100, busyMs: 40 }, { atMs: 600, busyMs: 440 }), 0.8);
    t.equal(computeUtilization({ atMs: 100, busyMs: 40 }, { atMs: 200, busyMs: 240 }), 1);
    t.equal(computeUtilization({ atMs: 100, busyMs: 40 }, { atMs: 100, busyMs: 40 }), 0);
});

test("a process whose turns are short but without a pause is saturated although its timers are in time", async t => {
    const simulation = createSimulation(1);
    const vm = simulation.createVm("10.0.0.1");
    const lines: string[] = [];
    const note = (message: string) => void lines.push(message);
    const capacity = createCapacity(vm.host, { ...vm.host.createLogger("process"), info: note, warn: note });
    const abortController = new AbortController();
    capacity.start(abortController.signal);
    for (let turn = 0; turn < 40; turn++) {
        vm.compute(29);
        await simulation.advance(30);
    }
    t.ok(capacity.isSaturated(), `utilization ${capacity.getUtilization()}`);
    t.ok(capacity.getLagMs() < 60, `${capacity.getLagMs()} ms`);
    await simulation.advance(1_500);
    t.notOk(capacity.isSaturated());
    t.strictSame(lines, ["The process is saturated.", "The process is no longer saturated."]);
    abortController.abort();
});

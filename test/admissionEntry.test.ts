/** Admission in a gateway on a fake host: what callers get while its process is saturated and after that. */
import { test } from "tap";
import { createAccountShares } from "../src/entry/direct/accountShares.js";
import { createAdmissionGate } from "../src/entry/direct/admissionGate.js";
import { createAnswerPredictor } from "../src/entry/direct/expectedAnswer.js";
import { createLoadTracker } from "../src/entry/direct/loadTracker.js";
import type { DirectCall } from "../src/entry/direct/types.js";
import type { BackendServerRecord } from "../src/kernel/directory.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { createConfiguration, createDirectFleet, createSealHeaders, sendCompleteAnswer } from "./directFleet.js";
import type { CallOptions, DirectFleet } from "./directFleet.js";

/** Makes the event loop of the entry appear to be busy all the time, until the returned function is called. */
function keepBusy(fleet: DirectFleet): () => void {
    const { host } = fleet.entries[0]!.vm;
    let busyUntilMs = Infinity;
    const getBusyMs = () => Math.min(host.clock.nowMs(), busyUntilMs);
    Object.assign(host, { processor: { getBusyMs } });
    return () => {
        busyUntilMs = host.clock.nowMs();
    };
}

/** Without a turn to spare, the entry dispatches ten waiting requests a second. */
async function createSaturatedFleet(seed: number, changes: object = {}) {
    const fleet = await createDirectFleet(seed, { state: createConfiguration(1, changes), hasAdmissionQueue: true });
    const stopBusy = keepBusy(fleet);
    await fleet.simulation.advance(1_500);
    const { part } = fleet.entries[0]!.process!;
    return { fleet, stopBusy, part };
}

/** Calls all at once, and returns what each one got, with the order in which the backend servers ran them. */
async function callAll(fleet: DirectFleet, calls: readonly CallOptions[], maxMs = 10_000) {
    const runs: string[] = [];
    for (const server of fleet.servers) {
        server.behavior = (request, response, self) => {
            runs.push(request.headers["x-attempt-id"] ?? "");
            return sendCompleteAnswer(request, response, self);
        };
    }
    const results = await fleet.simulation.runUntil(Promise.all(calls.map(call => fleet.call(0, call))), maxMs);
    return { results, runs };
}

function readMetric(part: Awaited<ReturnType<typeof createSaturatedFleet>>["part"], name: string): number {
    return part.admission.readMetrics().filter(reading => reading.name === name).reduce((sum, { value }) => sum + value, 0);
}

const route = { host: "h.example", timeout_ms: 3_000, slo_ms: 300, service: "models", attempts: 2, type: "idempotent", public: true };
const rankedRoutes = {
    routes: [
        { ...route, name: "low", path_prefix: "/low/", priority: 5 },
        { ...route, name: "high", path_prefix: "/high/", priority: 0 },
    ],
    tenants: [{ name: "acme", api_keys: ["key-1"], reserved: 100_000 }],
};

test("an entry that is not saturated has no request wait, and counts none", async t => {
    const fleet = await createDirectFleet(71, { hasAdmissionQueue: true });
    const calls = Array.from({ length: 30 }, (_, index) => ({ path: `/safe/${index}`, id: `c${index}`, tokens: "100,20" }));
    const { results } = await callAll(fleet, calls);
    t.equal(results.filter(({ status }) => status === 200).length, 30);
    t.equal(readMetric(fleet.entries[0]!.process!.part, "lovage_admission_admitted"), 0);
});

test("a saturated entry dispatches the more urgent requests first, and answers all of them", async t => {
    const { fleet, part } = await createSaturatedFleet(72, rankedRoutes);
    const calls = Array.from({ length: 12 }, (_, index) => ({ path: index < 8 ? `/low/${index}` : `/high/${index}`, id: `c${index}` }));
    const { results, runs } = await callAll(fleet, calls);
    t.equal(results.filter(({ status }) => status === 200).length, 12);
    t.equal(readMetric(part, "lovage_admission_admitted"), 12);
    const places = [8, 9, 10, 11].map(index => runs.indexOf(`c${index}`));
    t.ok(Math.max(...places) <= 5, `places ${places.join(" ")}`);
});

test("what cannot be dispatched before its deadline is refused as not run, with a time to come back", async t => {
    const { fleet, part } = await createSaturatedFleet(73, rankedRoutes);
    const calls = Array.from({ length: 60 }, (_, index) => ({ path: `/low/${index}`, id: `c${index}`, deadlineMs: 600 }));
    const { results, runs } = await callAll(fleet, calls);
    const refused = results.filter(({ status }) => status === 503);
    t.ok(refused.length >= 50 && refused.length < 60, `${refused.length} refused`);
    for (const { headers, text } of refused) {
        t.match(text, /overloaded/);
        t.ok(Number(headers["retry-after"]) * 1_000 <= 200, `retry after ${headers["retry-after"]} s`);
    }
    t.equal(runs.length, results.filter(({ status }) => status === 200).length, "refused requests have not run");
    t.equal(readMetric(part, "lovage_admission_refused"), refused.length);
});

test("a caller that leaves while its request waits costs no dispatch", async t => {
    const { fleet } = await createSaturatedFleet(74, rankedRoutes);
    const controller = new AbortController();
    const calls = Array.from({ length: 10 }, (_, index) => ({ path: `/high/${index}`, id: `c${index}` }));
    const leaving = { path: "/low/1", id: "leaves", signal: controller.signal };
    fleet.callerVm.host.timers.after(50, () => controller.abort());
    const { runs } = await callAll(fleet, [...calls, leaving]);
    t.notOk(runs.includes("leaves"));
    t.equal(runs.length, 10);
});

test("what waits is served soon after the process has time again", async t => {
    const { fleet, part, stopBusy } = await createSaturatedFleet(75, rankedRoutes);
    fleet.callerVm.host.timers.after(200, stopBusy);
    const startedAtMs = fleet.simulation.nowMs();
    const calls = Array.from({ length: 40 }, (_, index) => ({ path: `/high/${index}`, id: `c${index}` }));
    const { results } = await callAll(fleet, calls);
    t.equal(results.filter(({ status }) => status === 200).length, 40);
    t.ok(fleet.simulation.nowMs() - startedAtMs < 400, `${fleet.simulation.nowMs() - startedAtMs} ms`);
    t.equal(readMetric(part, "lovage_admission_waiting"), 0);
});

const server: BackendServerRecord = {
    backendServer: "s",
    pool: "p",
    address: "10.0.0.9:1",
    failureDomain: "a",
    softwareVersion: "1",
    maxRunning: 8,
    state: "ready",
    coldLeftMs: 0,
    bornMs: 0,
    sequence: 1,
    isSilent: false,
};

function createStreamCall(lengthHintTokens: number | undefined, maxCompletionTokens: number, lastEventId?: string): DirectCall {
    const generation = { promptTokens: 100, maxCompletionTokens };
    const head = { requestId: "1", host: "h", generation, lengthHintTokens, promptParts: [], lastEventId, passthroughHeaders: {} };
    return { head, pool: "p", route: { repeat: "resumableStream" } } as unknown as DirectCall;
}

test("the end of a stream is predicted from the hint, the maximum and the measured time between events", async t => {
    const predictor = createAnswerPredictor({ servers: { listPool: () => [server] }, loads: createLoadTracker() });
    const predictLengthMs = (call: DirectCall) => {
        const { startMs, endMs } = predictor.predict(call, 2, 10_000);
        return Math.round(endMs - startMs);
    };
    t.equal(predictLengthMs(createStreamCall(100, 200)), 0, "nothing is known of the server");
    const delivery = { mayHaveRun: true, hasAnswered: true, answeredAtMs: 0, deliveredEvents: 51, attempts: 1, failedAttempts: [] };
    const placement = { server, prefillTokens: 0, queuedTokens: 0, expectedStartMs: 0 };
    predictor.recordEnd(createStreamCall(undefined, 200), { ...delivery, placement }, 2, 2_000);
    t.equal(predictLengthMs(createStreamCall(100, 200)), 49 * 40, "hint");
    t.equal(predictLengthMs(createStreamCall(100, 40)), 19 * 40, "no longer than the maximum");
    t.ok(predictLengthMs(createStreamCall(undefined, 200)) < 100 * 40, "without a hint, a part of the maximum");
    t.equal(predictLengthMs(createStreamCall(100, 200, "7")), 0, "how much of a resumed stream is left is not known");
    predictor.retainServers(new Set());
    t.equal(predictLengthMs(createStreamCall(100, 200)), 0, "after the server has gone");
});

test("a stream that is relayed goes on while other requests wait", async t => {
    const { fleet } = await createSaturatedFleet(76);
    const events: number[] = [];
    const streaming = fleet.servers.map(streamServer => {
        streamServer.behavior = async (request, response) => {
            response.start(200, { ...createSealHeaders(request), "content-type": "text/event-stream" });
            for (let id = 1; id <= 20; id++) {
                await response.write(Buffer.from(`id: ${id}\ndata: x\n\n`));
                events.push(fleet.simulation.nowMs());
                await new Promise<void>(resolve => void fleet.callerVm.host.timers.after(20, resolve));
            }
            response.end();
        };
        return streamServer;
    });
    t.equal(streaming.length, 2);
    const stream = fleet.call(0, { path: "/stream/1", id: "stream", tokens: "10,40" });
    await fleet.simulation.advance(200);
    const waiting = Array.from({ length: 10 }, (_, index) => fleet.call(0, { path: `/safe/${index}`, id: `w${index}`, deadlineMs: 2_900 }));
    const result = await fleet.simulation.runUntil(stream);
    t.match(result, { status: 200, isComplete: true });
    t.equal(result.text.match(/data: x/g)?.length, 20);
    await fleet.simulation.runUntil(Promise.all(waiting));
});

test("on a real event loop, requests are dispatched as fast as it has time, and only now and then while it has none", async t => {
    const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });
    const gate = createAdmissionGate(host, { isSaturated: () => true, shares: createAccountShares() });
    const enterAll = (count: number) => {
        const nowMs = host.clock.nowMs();
        const deadlineMs = nowMs + 60_000;
        const times = { arrivedAtMs: nowMs, objectiveAtMs: deadlineMs, deadlineMs, startMs: 10, endMs: 10 };
        const signal = new AbortController().signal;
        const request = { ...times, rank: 0, account: "a", sizeBytes: 1, costMs: 4, fingerprint: "f", signal };
        for (let index = 0; index < count; index++) gate.enter(request, () => undefined);
    };
    enterAll(40);
    await sleep(host.timers, 1_000);
    t.equal(gate.getWaitingCount(), 0, "40 requests in a second of an idle loop");
    enterAll(40);
    const untilMs = host.clock.nowMs() + 500;
    while (host.clock.nowMs() < untilMs) {
        for (const turnEndMs = host.clock.nowMs() + 3; host.clock.nowMs() < turnEndMs;);
        await new Promise(resolve => setImmediate(resolve));
    }
    const dispatched = 40 - gate.getWaitingCount();
    t.ok(dispatched >= 2 && dispatched <= 8, `${dispatched} in half a second of a busy loop`);
    gate.end();
});

/** A busy process neither takes its own delay for a failure of others nor sends as many messages as an idle one. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";
import { test } from "tap";
import { createLoadExchange } from "../src/entry/direct/loadExchange.js";
import { createLoadTracker } from "../src/entry/direct/loadTracker.js";
import { createServerLimits } from "../src/entry/direct/serverLimits.js";
import { createControlRouter, createGatewayRouter } from "../src/kernel/contracts.js";
import type { ControlApi, WatchReply } from "../src/kernel/contracts.js";
import { createControlClient } from "../src/kernel/controlClient.js";
import { createControlPaths } from "../src/kernel/controlPaths.js";
import type { Host, Logger } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createStopController, sleep } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { FakeVm, Simulation } from "../src/standins/fakeHost.js";

const controlAddress = "10.0.0.1:7000";
const relayAddress = "10.0.0.2:7000";
const pathFailedText = "A path to a control VM failed.";
const maxBodyBytes = 1_000_000;
const clientTiming = { attemptTimeoutMs: 350, hedgingDelayMs: 60, probeIntervalMs: 500 };
const watchRequest = { vm: "e", role: "entry", failureDomain: "d", incarnation: "e1", version: 0, revision: 0, timeoutMs: 50 } as const;
const watchReply: WatchReply = { revision: 7, recalledBudgets: [], isConnected: true, members: [], waitedMs: 0 };

test("a process that was busy while control answered does not send a second copy of its call", async t => {
    const { calls, run } = await startBusyCall(51, vm => vm.host, clientTiming.hedgingDelayMs + 90);
    t.equal(await run(), "done");
    t.equal(calls.length, 1, "calls that reach control");
});

test("a process that was busy while control answered does not take the path to control for failed", async t => {
    const { simulation, calls, run } = await startBusyCall(52, readAfterTimers);
    t.equal(await run(), "done");
    t.same(simulation.logLines.filter(line => line.includes(pathFailedText)), []);
    t.equal(calls.length, 1, "calls that reach control");
});

test("a path to control that does not answer still fails for a process that is busy now and then", async t => {
    const { simulation, run } = await startBusyCall(53, readAfterTimers, Infinity);
    t.equal(await run(), "unreachable");
    t.ok(simulation.logLines.some(line => line.includes(pathFailedText)));
});

test("a reply that is in the socket when a blocked process looks at its timeout counts as answered", async t => {
    const answerAfterMs = 200;
    const attemptTimeoutMs = 700;
    const blockedMs = 1_000;
    const worker = new Worker(answeringServer, { eval: true, workerData: { answerAfterMs, body: { result: { data: watchReply } } } });
    const [port] = await once(worker, "message") as [number];
    const lines: string[] = [];
    const host = createNodeHost({ fleetSecret: "test-secret", createLogger: () => createListLogger(lines) });
    const client = createControlClient(host, [`127.0.0.1:${port}`], { ...clientTiming, attemptTimeoutMs });
    for (let call = 0; call < 2; call++) {
        const answered = once(worker, "message") as Promise<[number]>;
        const expiresAtMs = Date.now() + watchRequest.timeoutMs + attemptTimeoutMs;
        const watching = client.watch(watchRequest);
        await sleep(host.timers, answerAfterMs / 2);
        if (call > 0) setImmediate(block, blockedMs);
        t.same(await watching, watchReply, call === 0 ? "with time left" : "blocked");
        const [answeredAtMs] = await answered;
        t.ok(answeredAtMs < expiresAtMs, `answered ${expiresAtMs - answeredAtMs} ms before the timeout`);
    }
    t.same(lines.filter(line => line.includes(pathFailedText)), []);
    await worker.terminate();
});

test("a full entry sends at most 5 load messages a second to all its peers together", async t => {
    const perSecond = await measureMessageRate(54, 1);
    t.ok(perSecond <= 5, `${perSecond} a second`);
});

test("an entry with time left sends load messages at its full rate", async t => {
    const perSecond = await measureMessageRate(55, 0);
    t.ok(perSecond > 20 && perSecond <= 25.5, `${perSecond} a second`);
});

/** Answers each call after a time, and posts when it did, from a thread that the test does not block. */
const answeringServer = `
    const { createServer } = require("node:http");
    const { parentPort, workerData } = require("node:worker_threads");
    const server = createServer((request, response) => {
        setTimeout(() => {
            response.writeHead(200, { "content-type": "application/json" });
            response.end(JSON.stringify(workerData.body));
            parentPort.postMessage(Date.now());
        }, workerData.answerAfterMs);
    });
    server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port));
`;

/** Keeps the event loop from turning. */
function block(durationMs: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs);
}

function createListLogger(lines: string[]): Logger {
    const write = (message: string, fields?: object) => void lines.push(`${message} ${JSON.stringify(fields ?? {})}`);
    return { debug: () => undefined, info: write, warn: write, error: write };
}

/** Prepares a call to control, with a relay at hand, of a process that computes for 400 ms from just after it sends the call. */
async function startBusyCall(seed: number, getHost: (vm: FakeVm) => Host, answerAfterMs = 20) {
    const simulation = createSimulation(seed);
    const calls: number[] = [];
    const control = simulation.createVm("10.0.0.1");
    const submit = async () => {
        calls.push(simulation.nowMs());
        await sleep(control.host.timers, answerAfterMs);
        return { kind: "done", index: 1, controlTimeMs: 1, result: {} };
    };
    const router = createControlRouter({ submit, ping: () => ({ isConnected: true }) } as unknown as ControlApi);
    const handler = () => Promise.resolve();
    await control.host.network.serve({ address: controlAddress, handler, router, maxBodyBytes });
    await simulation.createVm("10.0.0.2").host.network.serve({ address: relayAddress, handler, maxBodyBytes });
    const caller = simulation.createVm("10.0.0.9");
    const host = getHost(caller);
    const paths = createControlPaths(host, [controlAddress]);
    paths.updateRelays([relayAddress]);
    const client = createControlClient(host, paths, clientTiming);
    const run = async () => {
        const outcome = client.submit("budgets.release", { leaseId: "l", spentTokens: 0, actor: "a" }, { timeoutMs: 1_500 });
        await simulation.advance(1);
        caller.compute(400);
        const { kind } = await simulation.runUntil(outcome);
        await simulation.advance(50);
        return kind;
    };
    return { simulation, calls, run };
}

/** Reads replies after the timers that are due, as the event loop of Node.js does. */
function readAfterTimers(vm: FakeVm): Host {
    const { timers, network } = vm.host;
    const linkTo: Host["network"]["linkTo"] = (address, relay) => runtime => {
        const send = network.linkTo(address, relay)(runtime);
        return request => {
            const replies = send(request);
            return {
                ...replies,
                subscribe: observer =>
                    replies.subscribe({
                        next: value => void timers.after(0, () => observer.next?.(value)),
                        error: error => void timers.after(0, () => observer.error?.(error)),
                        complete: () => void timers.after(0, () => observer.complete?.()),
                    }),
            };
        };
    };
    return { ...vm.host, network: { ...network, linkTo } };
}

/** Returns the mean number of load messages in a second, of an entry with twelve peers and much to tell. */
async function measureMessageRate(seed: number, utilization: number): Promise<number> {
    const simulation = createSimulation(seed);
    const receivedAtMs: number[] = [];
    const peers = await servePeers(simulation, receivedAtMs);
    const options = {
        incarnation: "e0",
        loads: createLoadTracker(),
        serverLimits: createServerLimits(() => 0),
        getUtilization: () => utilization,
    };
    const exchange = createLoadExchange(simulation.createVm("10.0.0.1").host, options);
    const stopping = createStopController();
    exchange.addPeers(peers);
    exchange.start(stopping.signal);
    for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += 10) {
        exchange.recordDispatch("s1", 6_000, [`p${elapsedMs}`]);
        await simulation.advance(10);
    }
    stopping.abort();
    // The first second holds a burst after a quiet time.
    const times = receivedAtMs.filter(timeMs => timeMs > 1_000);
    return (times.length - 1) / 5;
}

async function servePeers(simulation: Simulation, receivedAtMs: number[]): Promise<string[]> {
    const addresses = Array.from({ length: 12 }, (_, index) => `10.0.1.${index + 1}:7200`);
    for (const address of addresses) {
        const { host } = simulation.createVm(address.split(":")[0]!);
        const router = createGatewayRouter({ shareLoad: () => void receivedAtMs.push(simulation.nowMs()) });
        await host.network.serve({ address, handler: () => Promise.resolve(), router, maxBodyBytes });
    }
    return addresses;
}

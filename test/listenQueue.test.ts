/** A process whose event loop is busy: its listen queue and its readiness, on real sockets. */
import { mkdtemp, rm } from "node:fs/promises";
import * as net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as threads from "node:worker_threads";
import { test } from "tap";
import { createControlApi } from "../platform/controlApi.js";
import { platformProtocol } from "../platform/requests.js";
import type { Host, HttpHandler } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll, sleep } from "../src/kernel/tasks.js";
import { findFreeAddress } from "../src/standins/freeAddress.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { startGateway, startSeededControl } from "../src/wiring.js";
import { createConfiguration } from "./directFleet.js";

const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });
const turnMs = 25;
const callersPerSecond = 80;
const callerCount = 280;
const maxAcceptWaitMs = 500;
/** Three times the bound that the server was given, and half a second more than callers wait for their request to be read. */
const maxOutcomeMs = 1_500;
/** Time until all callers have seen the end of their connection, if connections wait for the whole queue before them. */
const lastPatienceMs = 8_000;
const callerPatienceMs = 1_000;
const shortBusyMs = 500;
/** An entry has to know after a second, and some turns of its event loop pass before it is asked. */
const longBusyMs = 2_000;
const maxReadyDelayMs = 5_000;

/** What a caller saw: the status of the answer, or how its connection ended. */
interface Outcome {
    readonly startedMs: number;
    readonly tookMs: number;
    readonly end: string;
}

interface CallerPlan {
    readonly port: number;
    readonly count: number;
    readonly intervalMs: number;
    readonly patienceMs: number;
}

/** Runs in a thread of its own, so that callers are on time while the server's thread is busy. Must not use anything from outside. */
function runCallers(network: typeof net, { parentPort, workerData }: typeof threads): void {
    const plan = workerData as CallerPlan;
    const beganMs = performance.now();
    const outcomes: Outcome[] = [];
    const call = () => {
        const startedMs = performance.now() - beganMs;
        const socket = network.connect(plan.port, "127.0.0.1", () => socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"));
        const timer = setTimeout(() => finish("gave up"), plan.patienceMs);
        let isFinished = false;
        const finish = (end: string) => {
            if (isFinished) return;
            isFinished = true;
            clearTimeout(timer);
            socket.destroy();
            outcomes.push({ startedMs, tookMs: performance.now() - beganMs - startedMs, end });
            if (outcomes.length === plan.count) parentPort?.postMessage(outcomes);
        };
        socket.on("data", data => finish(data.toString().slice(9, 12)));
        socket.on("error", (error: NodeJS.ErrnoException) => finish(error.code ?? "error"));
        socket.on("close", () => finish("closed"));
    };
    for (let index = 0; index < plan.count; index++) setTimeout(call, index * plan.intervalMs);
}

/** Starts callers at an even rate and returns what each of them saw, in the order of their start. */
async function call(address: string, patienceMs: number): Promise<readonly Outcome[]> {
    const workerData: CallerPlan = {
        port: Number(address.split(":")[1]),
        count: callerCount,
        intervalMs: 1_000 / callersPerSecond,
        patienceMs,
    };
    const source = `(${runCallers.toString()})(require("node:net"), require("node:worker_threads"))`;
    const worker = new threads.Worker(source, { eval: true, execArgv: [], workerData });
    const outcomes = await new Promise<Outcome[]>((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
    });
    await worker.terminate();
    return outcomes.sort((a, b) => a.startedMs - b.startedMs);
}

/** Keeps the event loop busy: every turn takes a fixed time, as at an entry without spare processor time. */
function keepBusy(): () => void {
    let isBusy = true;
    const burn = () => {
        const untilMs = performance.now() + turnMs;
        while (performance.now() < untilMs);
        if (isBusy) setImmediate(burn);
    };
    setImmediate(burn);
    return () => {
        isBusy = false;
    };
}

/** Lets callers with the given patience call a server, and returns what they saw. */
async function callServer(patienceMs: number): Promise<readonly Outcome[]> {
    const handler: HttpHandler = async (request, response) => {
        if (request.signal.aborted) return response.abort();
        response.start(200, { "content-length": "0" });
        response.end();
    };
    const options = { address: "127.0.0.1:0", handler, maxBodyBytes: 1_000, maxAcceptWaitMs };
    const listener = await host.network.serve(options);
    const outcomes = await call(listener.address, patienceMs);
    await listener.close();
    return outcomes;
}

async function callBusyServer(patienceMs: number): Promise<readonly Outcome[]> {
    const stopBusy = keepBusy();
    try {
        return await callServer(patienceMs);
    }
    finally {
        stopBusy();
    }
}

/** Number of callers served in each whole second in which callers start. */
function countServedBySecond(outcomes: readonly Outcome[]): readonly number[] {
    return Array.from(
        { length: Math.floor(callerCount / callersPerSecond) },
        (_, second) =>
            outcomes.filter(({ end, startedMs, tookMs }) => end === "200" && Math.floor((startedMs + tookMs) / 1_000) === second).length,
    );
}

function summarize(outcomes: readonly Outcome[]): string {
    const counts = new Map<string, number>();
    for (const { end } of outcomes) counts.set(end, (counts.get(end) ?? 0) + 1);
    return [...counts].map(([end, count]) => `${end}: ${count}`).join(", ");
}

test("no connection waits in the listen queue of a busy process for long", async t => {
    const outcomes = await callBusyServer(lastPatienceMs);
    const late = outcomes.filter(outcome => outcome.tookMs > maxOutcomeMs);
    const longestMs = Math.round(Math.max(...outcomes.map(outcome => outcome.tookMs)));
    t.equal(late.length, 0, `${late.length} waited over ${maxOutcomeMs} ms, longest ${longestMs} ms; ${summarize(outcomes)}`);
    const served = countServedBySecond(outcomes);
    t.ok(served.every(count => count > 0), `served by second: ${served.join(", ")}`);
});

test("a busy process serves callers in every second, not only those that have left", async t => {
    const outcomes = await callBusyServer(callerPatienceMs);
    const served = countServedBySecond(outcomes);
    t.ok(served.every(count => count > 0), `served by second: ${served.join(", ")}; ${summarize(outcomes)}`);
});

test("a process with time to spare resets no connection", async t => {
    const outcomes = await callServer(callerPatienceMs);
    t.ok(outcomes.every(outcome => outcome.end === "200"), summarize(outcomes));
});

/** Host whose timers do not keep the test's process alive. A stopped entry leaves some behind. */
const fleetHost: Host = {
    ...host,
    timers: {
        after(delayMs, callback) {
            const timer = setTimeout(callback, delayMs).unref();
            return () => clearTimeout(timer);
        },
    },
};

/** Starts a control VM and an entry with a configuration. Both run in this process. */
async function startFleet(dataFolder: string) {
    const [controlAddress, apiAddress, fleetAddress, readyAddress] = await Promise.all([1, 2, 3, 4].map(() => findFreeAddress(host)));
    const control = await startSeededControl(fleetHost, {
        vm: "control",
        failureDomain: "a",
        fleetListen: controlAddress!,
        groupId: "test",
        dataFolder,
        seeds: [controlAddress!],
        isBootstrap: true,
        targetVoters: 1,
    }, (part, client) => ({ address: apiAddress!, handler: createControlApi(fleetHost, client, part) }));
    const entry = await startGateway(fleetHost, {
        vm: "entry",
        failureDomain: "a",
        listen: "127.0.0.1:0",
        readyListen: readyAddress!,
        fleetListen: fleetAddress!,
        seeds: [controlAddress!],
        retryRules: { windowMs: 10_000, ratio: 0.2, slack: 60 },
        stopTimeoutMs: 1_000,
        maxConnections: 20,
        connectTimeoutMs: 400,
    }, platformProtocol);
    const body = Buffer.from(JSON.stringify(createConfiguration(1)));
    const isReady = async () => {
        const reply = await host.network.request(readyAddress!, { method: "GET", path: "/readyz" });
        await readAll(reply.body, maxMessageBytes.answer);
        return reply.status === 200;
    };
    const becomesReady = async () => {
        for (const untilMs = host.clock.nowMs() + maxReadyDelayMs; host.clock.nowMs() < untilMs; await sleep(host.timers, 50)) {
            if (await isReady()) return true;
        }
        return false;
    };
    while ((await host.network.request(apiAddress!, { method: "POST", path: "/config/replace", body })).status !== 200) {
        await sleep(host.timers, 50);
    }
    return {
        isReady,
        becomesReady,
        async stop() {
            await entry.stop();
            await control.stop();
        },
    };
}

test("an entry whose event loop is full says it is not ready until it has time to spare", async t => {
    const dataFolder = await mkdtemp(join(tmpdir(), "lovage-busy-"));
    const fleet = await startFleet(dataFolder);
    t.ok(await fleet.becomesReady(), "ready after the start");
    const stopShortBusy = keepBusy();
    await sleep(host.timers, shortBusyMs);
    t.ok(await fleet.isReady(), `ready after ${shortBusyMs} ms without time to spare`);
    stopShortBusy();
    await sleep(host.timers, 1_000);
    const stopBusy = keepBusy();
    await sleep(host.timers, longBusyMs);
    t.notOk(await fleet.isReady(), `not ready after ${longBusyMs} ms without time to spare`);
    stopBusy();
    t.ok(await fleet.becomesReady(), "ready with time to spare again");
    await fleet.stop();
    await rm(dataFolder, { recursive: true, force: true });
});

/** Benchmark of the overhead of entry and agent, compared with direct calls to the same stand-in engine in the same run. */
import { build } from "hdr-histogram-js";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Host } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll, sleep } from "../src/kernel/tasks.js";
import { findFreeAddress } from "../src/standins/freeAddress.js";
import { createModelEngine } from "../src/standins/modelEngine.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { initializeControl, startAgent, startControl, startEntry } from "../src/wiring.js";
import { createConfigurationObjects, getApiKey } from "./fleet.js";

const requestCount = 600;
const concurrency = 8;

/** Measures latency quantiles and request rates through entry and agent and directly, and their ratios. */
export async function measureOverhead() {
    const host = createNodeHost({ fleetSecret: "bench", createLogger: createSilentLogger });
    const folder = await mkdtemp(join(tmpdir(), "lovage-overhead-"));
    const engine = createModelEngine(host, { stepMs: 2, stepMsPerSequence: 0, maxConcurrent: 16 });
    const engineListener = await host.network.serve({ address: "127.0.0.1:0", handler: engine.handle, maxBodyBytes: 1e7 });
    const entryAddress = await startFleet(host, folder, engineListener.address);
    await sendRequests(host, entryAddress, 100);
    const through = await sendRequests(host, entryAddress, requestCount);
    const direct = await sendRequests(host, engineListener.address, requestCount);
    await rm(folder, { recursive: true, force: true });
    return {
        direct,
        through,
        latencyRatioP50: through.p50Ms / direct.p50Ms,
        latencyRatioP99: through.p99Ms / direct.p99Ms,
        rateRatio: through.requestsPerSecond / direct.requestsPerSecond,
        addedP50Ms: through.p50Ms - direct.p50Ms,
    };
}

async function startFleet(host: Host, folder: string, engineAddress: string): Promise<string> {
    const findAddress = () => findFreeAddress(host);
    const listen = await findAddress();
    const voter = { voterId: "v", address: listen, failureDomain: "d" };
    const commonSettings = { failureDomain: "d", controlAddresses: [listen] };
    await initializeControl(host, { dataFolder: folder, groupId: "g", voterId: "v" }, [voter]);
    const control = await startControl(host, {
        ...commonSettings,
        vm: "c",
        listen,
        administrationListen: listen,
        voterId: "v",
        groupId: "g",
        dataFolder: folder,
        operatorToken: "t",
    });
    const callOptions = { timeoutMs: 10_000 };
    await control.control.submit("configuration.apply", {
        baseVersion: 0,
        changeId: "c",
        objects: [...createConfigurationObjects(["a"], "cascade")],
        actor: "b",
    }, callOptions);
    await control.control.submit("budgets.topUp", { budget: "budget-a", tokens: 1e9, actor: "b" }, callOptions);
    const agent = await startAgent(host, {
        ...commonSettings,
        vm: "a",
        listen: await findAddress(),
        backendServer: "engine",
        backendServerAddress: engineAddress,
        kind: "modelEngine",
        pool: "lovage-pool",
        models: ["lovage-pool"],
        adapters: [],
        checksFencing: true,
        maxConcurrent: 16,
        fleetSecret: "bench",
    });
    const entry = await startEntry(host, { ...commonSettings, vm: "e", listen: "127.0.0.1:0", fleetListen: await findAddress() });
    while (
        !entry.part.isReady() || !agent.part.isReady() || entry.part.requestRouter.countCandidates("lovage-pool", host.clock.nowMs()) === 0
    ) {
        await sleep(host.timers, 20);
    }
    return entry.listeners[1]!.address;
}

async function sendRequests(host: Host, address: string, count: number) {
    const histogram = build({ numberOfSignificantValueDigits: 3, highestTrackableValue: 60_000_000, bitBucketSize: 32 });
    let sentCount = 0;
    const sendUntilDone = async () => {
        while (sentCount < count) {
            const requestNumber = sentCount++;
            const startedMs = performance.now();
            const body = {
                model: "lovage-pool",
                messages: [{ role: "user", content: `length:8 ${requestNumber}` }],
                max_tokens: 16,
                stream: true,
            };
            const reply = await host.network.request(address, {
                method: "POST",
                path: "/v1/chat/completions",
                headers: { "authorization": `Bearer ${getApiKey("a")}`, "content-type": "application/json" },
                body: Buffer.from(JSON.stringify(body)),
            });
            const text = Buffer.from(await readAll(reply.body, maxMessageBytes.answer)).toString("utf8");
            if (reply.status !== 200 || !text.includes("[DONE]")) throw new Error(`status ${reply.status}: ${text.slice(0, 200)}`);
            histogram.recordValue(Math.round((performance.now() - startedMs) * 1_000));
        }
    };
    const startedMs = performance.now();
    await Promise.all(Array.from({ length: concurrency }, sendUntilDone));
    const elapsedMs = performance.now() - startedMs;
    const read = (percentile: number) => histogram.getValueAtPercentile(percentile) / 1_000;
    return { p50Ms: read(50), p99Ms: read(99), requestsPerSecond: count / elapsedMs * 1_000 };
}

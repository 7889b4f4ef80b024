/** Exchange of dispatch loads between entries, and its effect on placement. */
import { test } from "tap";
import { createWatcherList } from "../src/control/watcherList.js";
import { createLoadExchange } from "../src/entry/direct/loadExchange.js";
import { createLoadTracker } from "../src/entry/direct/loadTracker.js";
import type { LoadTracker } from "../src/entry/direct/loadTracker.js";
import { createServerLimits } from "../src/entry/direct/serverLimits.js";
import { createGatewayRouter } from "../src/kernel/contracts.js";
import type { SharedServerLoad } from "../src/kernel/contracts.js";
import { createStopController } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { Simulation } from "../src/standins/fakeHost.js";
import { createDirectFleet, sendCompleteAnswer } from "./directFleet.js";
import type { DirectFleet, ServerBehavior } from "./directFleet.js";

const load: SharedServerLoad = { backendServer: "s1", running: 2, waiting: 1, waitingTokens: 6_000, partIds: ["p1"] };

test("an entry avoids a server that another entry has loaded", async t => {
    const fleet = await createDirectFleet(41, { entries: 2 });
    await fleet.simulation.advance(2_000);
    for (let round = 0; round < 6; round++) {
        const answering = holdAnswers(fleet);
        // Both prompts have the same home server, which would also get the second one without the load exchange.
        const first = fleet.call(0, {
            path: "/stream/1",
            id: `a${round}`,
            tokens: "8000,2",
            headers: createPrompt(`d${round}`, `a${round}`),
        });
        await fleet.simulation.advance(50);
        const second = fleet.call(1, {
            path: "/stream/1",
            id: `b${round}`,
            tokens: "900,2",
            headers: createPrompt(`d${round}`, `b${round}`),
        });
        await fleet.simulation.advance(50);
        t.same(fleet.servers.map(server => server.receivedRequests.length), [round + 1, round + 1], `round ${round}`);
        answering.release();
        t.equal((await fleet.simulation.runUntil(first)).status, 200);
        t.equal((await fleet.simulation.runUntil(second)).status, 200);
        await fleet.simulation.advance(1_000);
    }
});

test("a prompt part with a very long id does not keep the load of its request from the other entries", async t => {
    const fleet = await createDirectFleet(46, { entries: 2 });
    await fleet.simulation.advance(2_000);
    const document = "d".repeat(300);
    const answering = holdAnswers(fleet);
    const calls = [0, 1].map(async entry => {
        await fleet.simulation.advance(entry * 50);
        return fleet.call(entry, {
            path: "/stream/1",
            id: `r${entry}`,
            tokens: "8000,2",
            headers: createPrompt(document, `r${entry}`),
        });
    });
    await fleet.simulation.advance(200);
    t.same(fleet.servers.map(server => server.receivedRequests.length), [1, 1]);
    answering.release();
    for (const call of calls) t.equal((await fleet.simulation.runUntil(call)).status, 200);
});

test("a prompt is sent to the server to which another entry has sent its parts", async t => {
    const fleet = await createDirectFleet(42, { entries: 2, servers: 3 });
    const documents = Array.from({ length: 12 }, (_, index) => `d${index}`);
    const ask = async (entry: number, document: string) => {
        const id = `${document}-${entry}`;
        const headers = createPrompt(document, id, 1_000);
        t.equal((await fleet.simulation.runUntil(fleet.call(entry, { path: "/stream/1", id, tokens: "1100,2", headers }))).status, 200);
        await fleet.simulation.advance(100);
        return fleet.servers.findIndex(server => server.receivedRequests.some(request => request.headers["x-attempt-id"] === id));
    };
    const sendHeartbeats = async (count: number) => {
        for (const server of fleet.servers.slice(0, count)) await fleet.simulation.runUntil(fleet.heartbeat(server, 0));
        await fleet.simulation.advance(1_000);
    };
    // The third server sends no heartbeats, so that prompts of which it is the home server go to the others.
    for (let round = 0; round < 6; round++) await sendHeartbeats(2);
    const firstServerIndexes = [];
    for (const document of documents) firstServerIndexes.push(await ask(0, document));
    t.notOk(firstServerIndexes.includes(2));
    await sendHeartbeats(3);
    for (const [index, document] of documents.entries()) t.equal(await ask(1, document), firstServerIndexes[index], document);
});

test("a peer's message replaces its previous one and expires", t => {
    const loads = createLoadTracker();
    loads.applyPeerLoad({ from: "e2", sequence: 1, servers: [load] }, 1_000);
    loads.applyPeerLoad({ from: "e3", sequence: 1, servers: [{ ...load, waitingTokens: 2_000 }] }, 1_000);
    t.equal(loads.get("s1").getPeerLoad(1_000)?.running, 4);
    t.equal(getQueuedTokens(loads, 1_000), 8_000);
    t.ok(loads.get("s1").hasCachedPart("p1"));
    loads.applyPeerLoad({ from: "e3", sequence: 2, servers: [] }, 1_000);
    loads.applyPeerLoad({ from: "e3", sequence: 1, servers: [load] }, 1_000);
    t.equal(getQueuedTokens(loads, 1_000), 6_000);
    t.equal(loads.get("s1").getPeerLoad(4_000), undefined);
    t.equal(getQueuedTokens(loads, 4_000), 0);
    t.end();
});

test("a prompt in prefill counts only for its remaining tokens", t => {
    const loads = createLoadTracker();
    loads.applyPeerLoad({ from: "e2", sequence: 1, servers: [load] }, 1_000);
    const left = getQueuedTokens(loads, 1_050);
    t.ok(left > 2_000 && left < 4_000, `${left} of 6,000 after 50 ms at 60 a millisecond`);
    t.end();
});

test("an entry is listed a limited number of other entries, without expired ones", t => {
    const watchers = createWatcherList();
    watchers.addLocal("e1", 0);
    watchers.addRemote(["e2"], 0);
    t.same(watchers.listPeersOf("e1", 100), ["e2"]);
    t.same(watchers.listLocal(100), ["e1"], "addresses learned from other control VMs are not listed");
    t.same(watchers.listPeersOf("e1", 60_000), []);
    watchers.addRemote(Array.from({ length: 100 }, (_, index) => `f${index}`), 60_000);
    const listed = watchers.listPeersOf("e1", 60_000);
    t.equal(listed.length, 12);
    watchers.addRemote(["g1"], 60_000);
    t.ok(watchers.listPeersOf("e1", 60_000).filter(address => listed.includes(address)).length >= 11);
    t.end();
});

test("an entry sends a limited number of load messages, whatever the traffic and the number of peers", async t => {
    const { simulation, exchange, receivedAtMs, stopping } = await startExchange(43);
    const durationMs = 4_000;
    const maxBurst = 4;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
        exchange.recordDispatch("s1", 6_000, [`p${elapsedMs}`]);
        await simulation.advance(10);
    }
    stopping.abort();
    const count = [...receivedAtMs.values()].flat().length;
    t.ok(count <= maxBurst + 25 * durationMs / 1_000, `${count} messages in ${durationMs} ms`);
    for (const [peer, times] of receivedAtMs) {
        const gaps = times.slice(1).map((time, index) => time - times[index]!);
        t.ok(Math.max(...gaps) < 1_500, `${peer} hears again before the last message is out of date`);
    }
});

test("an entry without traffic refreshes its peers before their information is out of date", async t => {
    const { simulation, receivedAtMs, stopping } = await startExchange(44);
    await simulation.advance(6_000);
    stopping.abort();
    for (const [peer, times] of receivedAtMs) {
        const gaps = times.slice(1).map((time, index) => time - times[index]!);
        t.ok(gaps.length >= 4 && Math.max(...gaps) < 1_500, `${peer}: gaps of ${gaps.map(Math.round).join(", ")} ms`);
        t.ok(Math.min(...gaps) > 600, `${peer} gets no more than it needs`);
    }
});

/** Creates the header of a prompt with a shared document and a unique part. */
function createPrompt(document: string, uniquePartId: string, documentTokens = 100): Record<string, string> {
    return { "x-prompt-prefix": `${document}:${documentTokens},${uniquePartId}:100` };
}

function getQueuedTokens(loads: LoadTracker, nowMs: number): number {
    const trackedServer = loads.get("s1");
    return trackedServer.getQueuedTokens(trackedServer.getPeerLoad(nowMs), nowMs);
}

/** Delays all answers until `release` is called. */
function holdAnswers(fleet: DirectFleet): { release(): void; } {
    let release = () => {};
    const held = new Promise<void>(resolve => release = resolve);
    const hold: ServerBehavior = async (request, response, server) => {
        await held;
        await sendCompleteAnswer(request, response, server);
    };
    for (const server of fleet.servers) server.behavior = hold;
    return { release };
}

/** Starts entries that record when they receive load messages, by their addresses. */
async function servePeers(simulation: Simulation, peerCount: number): Promise<Map<string, number[]>> {
    const receivedAtMs = new Map<string, number[]>();
    for (let index = 0; index < peerCount; index++) {
        const vm = simulation.createVm(`10.0.1.${index + 1}`);
        const address = `${vm.ip}:7200`;
        const times: number[] = [];
        receivedAtMs.set(address, times);
        await vm.host.network.serve({
            address,
            handler: () => Promise.resolve(),
            router: createGatewayRouter({ shareLoad: () => void times.push(simulation.nowMs()) }),
            maxBodyBytes: 1_000_000,
        });
    }
    return receivedAtMs;
}

/** Starts an exchange with twelve peers. */
async function startExchange(seed: number) {
    const simulation = createSimulation(seed);
    const receivedAtMs = await servePeers(simulation, 12);
    const { host } = simulation.createVm("10.0.0.1");
    const exchange = createLoadExchange(host, {
        incarnation: "e0",
        loads: createLoadTracker(),
        serverLimits: createServerLimits(() => 0),
        getUtilization: () => 0,
    });
    const stopping = createStopController();
    exchange.addPeers([...receivedAtMs.keys()]);
    exchange.start(stopping.signal);
    return { simulation, exchange, receivedAtMs, stopping };
}

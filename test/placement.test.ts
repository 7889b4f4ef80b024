/** Placement of direct dispatches by prompt cache, load of other entries, and server failures. */
import { test } from "tap";
import { createLoadTracker } from "../src/entry/direct/loadTracker.js";
import { choosePlacement } from "../src/entry/direct/placement.js";
import type { BackendServerRecord } from "../src/kernel/directory.js";

const servers: readonly BackendServerRecord[] = ["s1", "s2", "s3"].map(name => ({
    backendServer: name,
    pool: "models",
    address: `${name}:80`,
    failureDomain: "a",
    softwareVersion: "v1",
    maxRunning: 32,
    state: "ready",
    coldLeftMs: 0,
    bornMs: 0,
    sequence: 1,
    isSilent: false,
}));

const request = { promptTokens: 6_000, promptParts: [{ partId: "p1", tokens: 2_000 }, { partId: "p2", tokens: 3_000 }] };

function createPlacer() {
    const loads = createLoadTracker();
    return {
        loads,
        choose: (nowMs: number) =>
            choosePlacement(request, servers.map(server => ({ server, tracked: loads.get(server.backendServer) })), nowMs, 0.5)!,
    };
}

test("a prompt is sent to the server that has its parts cached", t => {
    const { loads, choose } = createPlacer();
    const first = choose(0);
    const dispatch = loads.begin(first.server.backendServer, first, request.promptParts, 0);
    loads.recordResponseStart(first.server.backendServer, dispatch, 50);
    loads.end(first.server.backendServer, dispatch, "good", 100);
    const second = choose(200);
    t.equal(second.server.backendServer, first.server.backendServer);
    t.ok(second.prefillTokens < first.prefillTokens);
    t.end();
});

test("a server with late answers is avoided for a while", t => {
    const { loads, choose } = createPlacer();
    const first = choose(0);
    const name = first.server.backendServer;
    const dispatch = loads.begin(name, first, request.promptParts, 0);
    t.not(choose(900).server.backendServer, name, "its answer is overdue");
    loads.recordResponseStart(name, dispatch, 1_000);
    loads.end(name, dispatch, "good", 1_000);
    t.not(choose(1_050).server.backendServer, name, "its answer began late");
    t.equal(choose(12_000).server.backendServer, name, "the delay has decayed");
    t.end();
});

test("an unreachable server is not chosen", t => {
    const { loads, choose } = createPlacer();
    const first = choose(0);
    const name = first.server.backendServer;
    loads.end(name, loads.begin(name, first, [], 0), "unreachable", 10);
    t.not(choose(20).server.backendServer, name);
    t.end();
});

test("entries agree on the home server of prompts that share a document", t => {
    const homes = new Set<string>();
    for (const partId of ["q1", "q2", "q3", "q4", "q5", "q6", "q7", "q8"]) {
        const prompt = {
            promptTokens: 6_000,
            promptParts: [{ partId: "system", tokens: 500 }, { partId: "document", tokens: 4_000 }, { partId, tokens: 1_500 }],
        };
        const { loads } = createPlacer();
        homes.add(
            choosePlacement(prompt, servers.map(server => ({ server, tracked: loads.get(server.backendServer) })), 0, 0.5)!.server
                .backendServer,
        );
    }
    t.equal(homes.size, 1);
    t.end();
});

test("a server that restarted under the same name has nothing cached", t => {
    const { loads, choose } = createPlacer();
    loads.begin("s1", choose(0), request.promptParts, 0);
    loads.retainServers(servers);
    loads.retainServers(servers);
    t.ok(loads.get("s1").hasCachedPart("p1"));
    loads.retainServers(servers.map(server => ({ ...server, bornMs: 5_000 })));
    t.notOk(loads.get("s1").hasCachedPart("p1"));
    t.end();
});

test("home servers are distributed evenly", t => {
    const names = Array.from({ length: 12 }, (_, index) => `server-${index + 1}`);
    const counts = new Map<string, number>();
    const loads = createLoadTracker();
    for (let index = 0; index < 2_400; index++) {
        const prompt = { promptTokens: 900, promptParts: [{ partId: `document-${index}`, tokens: 800 }, { partId: "own", tokens: 100 }] };
        const candidates = names.map(name => ({ server: { ...servers[0]!, backendServer: name }, tracked: loads.get(name) }));
        const { backendServer } = choosePlacement(prompt, candidates, 0, 0.5)!.server;
        counts.set(backendServer, (counts.get(backendServer) ?? 0) + 1);
    }
    t.ok(Math.min(...counts.values()) > 140 && Math.max(...counts.values()) < 260, [...counts.values()].join(" "));
    t.end();
});

test("a server whose own report shows more load than the entries that are heard from is not taken for the emptier one", t => {
    const { loads } = createPlacer();
    const shared = servers.map(({ backendServer }) => ({ backendServer, running: 1, waiting: 0, waitingTokens: 0, partIds: [] }));
    loads.applyPeerLoad({ from: "peer", sequence: 1, servers: shared }, 0);
    // Two servers answered just now that they are busy, with requests of entries that send no messages here.
    for (const { backendServer } of servers.slice(0, 2)) loads.recordLoad(backendServer, { running: 6, waiting: 3, slots: 6 }, 10);
    loads.recordLoad("s3", { running: 1, waiting: 0, slots: 6 }, 10);
    const candidates = servers.map(server => ({ server: { ...server, maxRunning: 6 }, tracked: loads.get(server.backendServer) }));
    for (let unit = 0; unit < 1; unit += 0.1) {
        const placement = choosePlacement({ promptTokens: 0, promptParts: [] }, candidates, 20, unit);
        t.equal(placement?.server.backendServer, "s3");
    }
    t.end();
});

test("dispatches of other entries that a server's report does not hold yet still count", t => {
    const { loads, choose } = createPlacer();
    const busy = servers.slice(0, 2).map(({ backendServer }) => ({
        backendServer,
        running: 60,
        waiting: 0,
        waitingTokens: 0,
        partIds: [],
    }));
    loads.applyPeerLoad({ from: "peer", sequence: 1, servers: busy }, 0);
    for (const { backendServer } of servers) loads.recordLoad(backendServer, { running: 1, waiting: 0, slots: 32 }, 10);
    t.equal(choose(20).server.backendServer, "s3");
    t.end();
});

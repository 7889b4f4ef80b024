/** Backend servers that say in an answer that they leave, or that they want no requests for a time. */
import { test } from "tap";
import { createServerNotices } from "../src/entry/direct/serverNotices.js";
import { createDirectFleet, createSealHeaders, sendCompleteAnswer } from "./directFleet.js";
import type { CallResult, DirectFleet, FakeServer, ServerBehavior } from "./directFleet.js";

const answerAsLeaving: ServerBehavior = (request, response, server) => {
    server.runs.push(request.headers["x-attempt-id"] ?? "");
    response.start(200, { ...createSealHeaders(request), "server-leaving": "1" });
    response.end();
    return Promise.resolve();
};

function createRefusal(headers: Readonly<Record<string, string>>): ServerBehavior {
    return (request, response) => {
        response.start(503, { "x-attempt-id": request.headers["x-attempt-id"] ?? "", ...headers });
        response.end();
        return Promise.resolve();
    };
}

const pauseS = 3;
const refuseForAWhile = createRefusal({ "x-not-executed": "1", "retry-after": String(pauseS) });

async function callMany(fleet: DirectFleet, count: number, prefix: string): Promise<readonly CallResult[]> {
    const calls = Array.from({ length: count }, (_, index) => fleet.call(0, { path: "/once/1", id: `${prefix}${index}` }));
    return fleet.simulation.runUntil(Promise.all(calls));
}

function countReceived(server: FakeServer): number {
    return server.receivedRequests.length;
}

test("no request reaches a server that has said in an answer that it leaves, while another is there", async t => {
    const fleet = await createDirectFleet(61);
    const leaving = fleet.servers[0]!;
    leaving.behavior = answerAsLeaving;
    await callMany(fleet, 10, "a");
    const received = countReceived(leaving);
    t.ok(received > 0);
    const results = await callMany(fleet, 30, "b");
    t.ok(results.every(result => result.status === 200));
    t.equal(countReceived(leaving), received);
});

test("a server that leaves is used for a second if no other is there, then its requests are refused at once", async t => {
    const fleet = await createDirectFleet(62, { servers: 1 });
    const leaving = fleet.servers[0]!;
    leaving.behavior = answerAsLeaving;
    for (const result of await callMany(fleet, 1, "a")) t.equal(result.status, 200);
    await fleet.simulation.advance(500);
    for (const result of await callMany(fleet, 1, "b")) t.equal(result.status, 200);
    await fleet.simulation.advance(600);
    const received = countReceived(leaving);
    for (const result of await callMany(fleet, 5, "c")) t.equal(result.status, 503);
    t.equal(countReceived(leaving), received);
});

test("a server that was started again under its id takes requests, whatever it said before", async t => {
    const fleet = await createDirectFleet(63, { servers: 1 });
    const [server] = fleet.servers;
    server!.behavior = answerAsLeaving;
    await callMany(fleet, 1, "a");
    await fleet.simulation.advance(1_500);
    server!.behavior = sendCompleteAnswer;
    server!.bornMs += 5_000;
    server!.sequence = 0;
    await fleet.simulation.runUntil(fleet.heartbeat(server!, 0));
    await fleet.simulation.advance(500);
    for (const result of await callMany(fleet, 3, "b")) t.equal(result.status, 200);
});

test("no request reaches a server for the time that it named when it turned one away, and then requests reach it again", async t => {
    const fleet = await createDirectFleet(64);
    const busy = fleet.servers[0]!;
    busy.behavior = refuseForAWhile;
    await callMany(fleet, 10, "a");
    const received = countReceived(busy);
    t.ok(received > 0);
    await fleet.simulation.advance(500);
    for (let round = 0; round < 4; round++) {
        const results = await callMany(fleet, 10, `b${round}.`);
        t.ok(results.every(result => result.status === 200));
        await fleet.simulation.advance(500);
    }
    t.equal(countReceived(busy), received);
    busy.behavior = sendCompleteAnswer;
    await fleet.simulation.advance(1_000);
    await callMany(fleet, 30, "c");
    t.ok(countReceived(busy) > received);
});

test("while all servers want no requests, callers are refused at once and told when to come back", async t => {
    const fleet = await createDirectFleet(65);
    for (const server of fleet.servers) server.behavior = refuseForAWhile;
    await callMany(fleet, 10, "a");
    await fleet.simulation.advance(500);
    const received = fleet.servers.map(countReceived);
    const sentAtMs = fleet.simulation.nowMs();
    const results = await callMany(fleet, 5, "b");
    t.ok(fleet.simulation.nowMs() - sentAtMs < 100);
    for (const { status, headers } of results) {
        t.equal(status, 503);
        t.ok(Number(headers["retry-after"]) > pauseS - 1.5 && Number(headers["retry-after"]) < pauseS + 1, headers["retry-after"] ?? "");
    }
    t.same(fleet.servers.map(countReceived), received);
});

test("a time named in a 503 holds whether or not the request was run, and one named in another answer does not", async t => {
    const fleet = await createDirectFleet(66, { servers: 1 });
    const [server] = fleet.servers;
    server!.behavior = async (request, response) => {
        response.start(500, { ...createSealHeaders(request), "retry-after": "30" });
        response.end();
    };
    await callMany(fleet, 1, "a");
    server!.behavior = createRefusal({ "retry-after": "1", "x-worker-seal": "seal" });
    for (const result of await callMany(fleet, 1, "b")) t.equal(result.status, 503);
    t.equal(countReceived(server!), 2);
    server!.behavior = sendCompleteAnswer;
    for (const result of await callMany(fleet, 1, "c")) t.equal(result.status, 503);
    t.equal(countReceived(server!), 2);
    await fleet.simulation.advance(1_100);
    for (const result of await callMany(fleet, 1, "d")) t.equal(result.status, 200);
});

test("notices of servers that are gone are not kept", t => {
    const notices = createServerNotices();
    const server = {
        backendServer: "s",
        pool: "p",
        address: "10.0.0.1:80",
        failureDomain: "a",
        softwareVersion: "v1",
        maxRunning: 1,
        state: "ready",
        coldLeftMs: 0,
        bornMs: 5,
        sequence: 1,
        isSilent: false,
    } as const;
    notices.recordPause(server, 1_000, 0);
    t.equal(notices.getWaitMs(server, 400), 600);
    notices.retainServers(new Set());
    t.equal(notices.getWaitMs(server, 400), 0);
    t.end();
});

/** End-to-end tests of direct dispatch on fake hosts, from the view of callers and backend servers. */
import { test } from "tap";
import { createConfiguration, createDirectFleet, createSealHeaders, sendCompleteAnswer } from "./directFleet.js";

test("each kind of request gets a complete answer", async t => {
    const fleet = await createDirectFleet(11);
    for (const kind of ["safe", "once", "stream", "resume"]) {
        const result = await fleet.simulation.runUntil(fleet.call(0, { path: `/${kind}/1`, id: `id-${kind}`, tokens: "100,20" }));
        t.match(result, { status: 200, isComplete: true, headers: { "x-attempt-id": `id-${kind}`, "x-worker-seal": "seal" } });
    }
});

test("the API key is not forwarded and the account name is added", async t => {
    const fleet = await createDirectFleet(12, { servers: 1 });
    await fleet.simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a", headers: { "x-tenant": "other", "x-pin-ms": "9" } }));
    const received = fleet.servers[0]!.receivedRequests[0]!;
    t.equal(received.headers["x-tenant"], "acme");
    t.equal(received.headers["authorization"], undefined);
    t.equal(received.headers["x-pin-ms"], undefined);
    t.equal(received.headers["x-expect-worker"], "server-1");
});

test("invalid keys, paths and headers are refused", async t => {
    const fleet = await createDirectFleet(13);
    const { simulation } = fleet;
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a", key: "wrong" }))).status, 401);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/open/1", id: "b", key: "wrong" }))).status, 200);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/nowhere/1", id: "c" }))).status, 404);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "" }))).status, 400);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "d", tokens: "many" }))).status, 400);
});

test("after a change that removes the last client account no key is valid, and public routes are served", async t => {
    const fleet = await createDirectFleet(15);
    const { simulation } = fleet;
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(2, { tenants: [] }))), 200);
    await simulation.advance(2_000);
    for (const key of ["key-1", "never-held"]) {
        t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: `a-${key}`, key }))).status, 401, key);
    }
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/open/1", id: "b", key: "never-held" }))).status, 200);
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(3, { tenants: undefined }))), 200);
    await simulation.advance(2_000);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "c", key: "never-held" }))).status, 200);
});

test("a non-idempotent request is not retried when its answer is lost", async t => {
    const fleet = await createDirectFleet(14);
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            server.runs.push(request.headers["x-attempt-id"]!);
            response.abort();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a" }));
    t.equal(result.status, 502);
    t.equal(fleet.servers.flatMap(server => server.runs).length, 1);
});

test("an idempotent request is retried at another server when its answer is lost", async t => {
    const fleet = await createDirectFleet(15);
    let isFirst = true;
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            if (!isFirst) return sendCompleteAnswer(request, response, server);
            isFirst = false;
            response.abort();
        };
    }
    t.match(await fleet.simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a" })), { status: 200, isComplete: true });
});

test("a request that a backend server refuses is sent to another server", async t => {
    const fleet = await createDirectFleet(16);
    fleet.servers[0]!.behavior = async (_request, response) => {
        response.start(503, { "x-not-executed": "1" });
        response.end();
    };
    for (let count = 0; count < 4; count++) {
        t.equal((await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: `a${count}` }))).status, 200);
    }
});

test("a request refused by every backend server gets 503 with a retry-after header", async t => {
    const fleet = await createDirectFleet(17);
    for (const server of fleet.servers) {
        server.behavior = async (_request, response) => {
            response.start(503, { "x-not-executed": "1" });
            response.end();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a" }));
    t.equal(result.status, 503);
    t.ok(Number(result.headers["retry-after"]) > 0);
});

test("the answer to another request is not forwarded", async t => {
    const fleet = await createDirectFleet(18);
    for (const server of fleet.servers) {
        server.behavior = async (_request, response) => {
            response.start(200, { "x-attempt-id": "other", "x-worker-seal": "seal" });
            await response.write(Buffer.from("of another"));
            response.end();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a" }));
    t.equal(result.status, 502);
    t.notMatch(result.text, "of another");
});

test("a successful answer without a seal is not forwarded", async t => {
    const fleet = await createDirectFleet(19);
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            response.start(200, { "x-attempt-id": request.headers["x-attempt-id"]! });
            response.end();
        };
    }
    t.equal((await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a" }))).status, 502);
});

test("a broken resumable stream continues at another server", async t => {
    const fleet = await createDirectFleet(20);
    let isFirst = true;
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            if (!isFirst) return sendCompleteAnswer(request, response, server);
            isFirst = false;
            response.start(200, createSealHeaders(request));
            await response.write(Buffer.from("id: 1\ndata: piece 1\n\nid: 2\nda"));
            response.abort();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/resume/1", id: "a", tokens: "10,10" }));
    t.equal(result.text, [1, 2, 3].map(id => `id: ${id}\ndata: piece ${id}\n\n`).join(""));
    t.ok(result.isComplete);
});

test("a broken stream that cannot be resumed is aborted", async t => {
    const fleet = await createDirectFleet(21);
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            response.start(200, createSealHeaders(request));
            await response.write(Buffer.from("id: 1\ndata: piece 1\n\nid: 2\nda"));
            response.abort();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/stream/1", id: "a", tokens: "10,10" }));
    t.equal(result.text, "id: 1\ndata: piece 1\n\n");
    t.notOk(result.isComplete);
});

test("a request is answered as soon as its deadline passes", async t => {
    const fleet = await createDirectFleet(22);
    for (const server of fleet.servers) server.behavior = () => new Promise(() => undefined);
    const startedAtMs = fleet.simulation.nowMs();
    t.equal((await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a", deadlineMs: 500 }))).status, 504);
    t.ok(fleet.simulation.nowMs() - startedAtMs < 600);
});

test("a draining backend server receives no new requests", async t => {
    const fleet = await createDirectFleet(23);
    const drainingServer = fleet.servers[0]!;
    drainingServer.state = "draining";
    t.equal(await fleet.simulation.runUntil(fleet.heartbeat(drainingServer, 1)), 200);
    await fleet.simulation.advance(100);
    for (let count = 0; count < 6; count++) await fleet.simulation.runUntil(fleet.call(0, { path: "/safe/1", id: `a${count}` }));
    t.equal(drainingServer.runs.length, 0);
});

test("an isolated control VM does not acknowledge a draining heartbeat", async t => {
    const fleet = await createDirectFleet(24);
    fleet.simulation.setPartition((from, to) => from === "10.0.0.1" && to.startsWith("10.0.0."));
    await fleet.simulation.advance(2_000);
    const drainingServer = fleet.servers[0]!;
    drainingServer.state = "draining";
    t.equal(await fleet.simulation.runUntil(fleet.heartbeat(drainingServer, 0)), 503);
    t.equal(await fleet.simulation.runUntil(fleet.heartbeat(drainingServer, 1)), 200);
});

test("the budget is enforced across entries and entry crashes", async t => {
    const fleet = await createDirectFleet(25, {
        entries: 2,
        state: createConfiguration(1, { tenants: [{ name: "acme", api_keys: ["key-1"], reserved: 2_000 }] }),
    });
    const { simulation } = fleet;
    const statuses: (number | undefined)[] = [];
    for (let count = 0; count < 40; count++) {
        const result = await simulation.runUntil(fleet.call(count % 2, { path: "/stream/1", id: `a${count}`, tokens: "100,6" }));
        statuses.push(result.status);
        if (count !== 10) continue;
        fleet.entries[0]!.vm.restart();
        fleet.entries[0]!.vm.restart();
        await fleet.startEntry(0);
        await simulation.advance(500);
    }
    const served = statuses.filter(status => status === 200).length;
    t.ok(served * 106 <= 2_000, "at most the prepaid tokens");
    t.ok(served >= 16, `most of the budget was used: ${served}`);
    t.equal(statuses.at(-1), 402);
});

test("a raised budget takes effect at once and a lowered one stops new runs", async t => {
    const tenants = (reserved: number) => ({ tenants: [{ name: "acme", api_keys: ["key-1"], reserved }] });
    const fleet = await createDirectFleet(26, { state: createConfiguration(1, tenants(150)) });
    const { simulation } = fleet;
    const call = (id: string) => simulation.runUntil(fleet.call(0, { path: "/stream/1", id, tokens: "100,6" }));
    t.equal((await call("a")).status, 200);
    t.equal((await call("b")).status, 402);
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(2, tenants(1_000)))), 200);
    await simulation.advance(600);
    t.equal((await call("c")).status, 200);
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(3, tenants(100)))), 200);
    await simulation.advance(2_000);
    t.notSame((await call("d")).status, 200);
});

test("an entry that is cut off from control uses a relay", async t => {
    const fleet = await createDirectFleet(27, { servers: 2 });
    const { simulation } = fleet;
    simulation.setPartition((from, to) => from === "10.0.1.1" && to.startsWith("10.0.0."));
    await simulation.advance(3_000);
    t.equal(await simulation.runUntil(fleet.replace(0, createConfiguration(2, { routes: [] }))), 200);
    await simulation.advance(1_500);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a" }))).status, 404);
});

test("a stopping entry serves requests at first and then refuses those that might not finish in time", async t => {
    const fleet = await createDirectFleet(28);
    const { simulation } = fleet;
    const stopped = fleet.entries[0]!.process!.part.stop();
    await simulation.advance(1_000);
    const early = await simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a" }));
    t.match(early, { status: 200, headers: { connection: "close" } });
    await simulation.advance(2_000);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/once/1", id: "b" }))).status, 503);
    t.notOk(fleet.servers.some(server => server.runs.includes("b")));
    await simulation.runUntil(stopped);
});

test("a request to an entry that has just started waits until it is ready", async t => {
    const fleet = await createDirectFleet(29, { entries: 1 });
    const { simulation, entries } = fleet;
    entries[0]!.vm.restart();
    await simulation.advance(100);
    await fleet.startEntry(0);
    t.equal(entries[0]!.process!.part.isReady(), false);
    t.equal((await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a" }))).status, 200);
});

test("an entry that cannot become ready refuses a request without delay", async t => {
    const fleet = await createDirectFleet(30, { entries: 1 });
    const { simulation, entries } = fleet;
    entries[0]!.vm.restart();
    simulation.setPartition((from, to) => from === "10.0.1.1" && to !== "10.0.9.1");
    await fleet.startEntry(0);
    const startedAtMs = simulation.nowMs();
    const result = await simulation.runUntil(fleet.call(0, { path: "/safe/1", id: "a" }));
    t.equal(result.status, 503);
    t.ok(simulation.nowMs() - startedAtMs < 800);
    t.ok(Number(result.headers["retry-after"]) > 0);
});

test("a request is not dispatched when its caller disconnects while it waits", async t => {
    const fleet = await createDirectFleet(31, { entries: 1 });
    const { simulation, entries } = fleet;
    entries[0]!.vm.restart();

    await fleet.startEntry(0);
    const callerAbort = new AbortController();
    const call = fleet.call(0, { path: "/safe/1", id: "a", signal: callerAbort.signal });
    await simulation.advance(3);
    callerAbort.abort();
    await simulation.runUntil(call);

    await simulation.advance(3_000);
    t.ok(entries[0]!.process!.part.isReady());
    t.equal(fleet.servers.flatMap(server => server.receivedRequests).length, 0);
    t.equal(entries[0]!.process!.part.statistics.read().abandoned, 1);
});

test("a request that has no time left is refused as not run and reaches no backend server", async t => {
    const fleet = await createDirectFleet(32);
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/once/1", id: "a", deadlineMs: 10 }));
    t.equal(result.status, 503);
    t.ok(Number(result.headers["retry-after"]) > 0);
    await fleet.simulation.advance(1_000);
    t.equal(fleet.servers.flatMap(server => server.receivedRequests).length, 0);
});

test("connections that are refused do not use up the retry budget", async t => {
    const fleet = await createDirectFleet(33, { servers: 4 });
    const { simulation } = fleet;
    for (const server of fleet.servers.slice(1)) server.vm.crash();
    const statuses: (number | undefined)[] = [];
    for (let count = 0; count < 40; count++) {
        statuses.push((await simulation.runUntil(fleet.call(0, { path: "/once/1", id: `a${count}` }))).status);
        await simulation.advance(100);
    }
    t.same(statuses.filter(status => status !== 200), []);
});

test("a stream that ends inside an event with its connection is resumed at another server", async t => {
    const fleet = await createDirectFleet(34);
    let isFirst = true;
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            if (!isFirst) return sendCompleteAnswer(request, response, server);
            isFirst = false;
            response.start(200, createSealHeaders(request), true);
            await response.write(Buffer.from("id: 1\ndata: piece 1\n\nid: 2\nda"));
            response.end();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/resume/1", id: "a", tokens: "10,10" }));
    t.equal(result.text, [1, 2, 3].map(id => `id: ${id}\ndata: piece ${id}\n\n`).join(""));
    t.ok(result.isComplete);
});

test("a stream that ends inside an event and cannot be resumed ends visibly broken, without the partial event", async t => {
    const fleet = await createDirectFleet(35);
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            response.start(200, createSealHeaders(request), true);
            await response.write(Buffer.from("id: 1\ndata: piece 1\n\nid: 2\nda"));
            response.end();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/stream/1", id: "a", tokens: "10,10" }));
    t.equal(result.text, "id: 1\ndata: piece 1\n\n");
    t.notOk(result.isComplete);
});

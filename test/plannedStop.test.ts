/** Requests around a planned stop of an entry. */
import { test } from "tap";
import { createConfiguration, createDirectFleet, createSealHeaders } from "./directFleet.js";
import type { DirectFleet, ServerBehavior } from "./directFleet.js";

/** As in the fixture. */
const stopTimeoutMs = 6_000;
const routeTimeoutMs = 30_000;
const lateMs = 2_300;

const hold: ServerBehavior = (request, _response, server) => {
    server.runs.push(request.headers["x-attempt-id"] ?? "");
    return new Promise(() => undefined);
};

const startStream: ServerBehavior = async (request, response) => {
    response.start(200, createSealHeaders(request));
    await response.write(Buffer.from("id: 1\ndata: piece 1\n\n"));
    await new Promise(() => undefined);
};

async function createSlowFleet(seed: number, behavior: ServerBehavior): Promise<DirectFleet> {
    const route = { host: "h.example", timeout_ms: routeTimeoutMs, slo_ms: 300, priority: 0, service: "models", attempts: 1 };
    const routes = [
        { ...route, name: "once", path_prefix: "/once/", type: "non_idempotent" },
        { ...route, name: "stream", path_prefix: "/stream/", type: "streaming" },
    ];
    const fleet = await createDirectFleet(seed, { state: createConfiguration(1, { routes }) });
    for (const server of fleet.servers) server.behavior = behavior;
    return fleet;
}

test("a request that may not be repeated and still runs at the end of a planned stop gets an answer before its connection is cut", async t => {
    const fleet = await createSlowFleet(51, hold);
    const early = fleet.call(0, { path: "/once/1", id: "early", deadlineMs: 20_000 });
    await fleet.simulation.advance(500);
    const stopped = fleet.entries[0]!.process!.stop();
    await fleet.simulation.advance(lateMs);
    const late = fleet.call(0, { path: "/once/2", id: "late", deadlineMs: 20_000 });
    await fleet.simulation.runUntil(stopped);
    for (const call of [early, late]) t.match(await fleet.simulation.runUntil(call, 1_000), { status: 504, isComplete: true });
    t.equal(fleet.servers.flatMap(server => server.runs).length, 2);
});

test("a request that arrives during a planned stop is passed on with no more time than the process has left", async t => {
    const fleet = await createSlowFleet(52, hold);
    const stopped = fleet.entries[0]!.process!.stop();
    await fleet.simulation.advance(lateMs);
    const call = fleet.call(0, { path: "/once/1", id: "late", deadlineMs: 20_000 });
    await fleet.simulation.advance(100);
    const [received] = fleet.servers.flatMap(server => server.receivedRequests);
    t.ok(Number(received?.headers["x-deadline-ms"]) <= stopTimeoutMs - lateMs, String(received?.headers["x-deadline-ms"]));
    await fleet.simulation.runUntil(stopped);
    await fleet.simulation.runUntil(call, 1_000);
});

test("a stream that still runs at the end of a planned stop ends visibly incomplete", async t => {
    const fleet = await createSlowFleet(53, startStream);
    const call = fleet.call(0, { path: "/stream/1", id: "s", deadlineMs: 20_000, tokens: "10,10" });
    await fleet.simulation.advance(500);
    const stopped = fleet.entries[0]!.process!.stop();
    await fleet.simulation.runUntil(stopped);
    t.match(await fleet.simulation.runUntil(call, 1_000), { status: 200, isComplete: false });
});

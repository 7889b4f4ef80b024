/** The time at which a request arrived, on real sockets of a process whose event loop turns slowly, and the deadline that counts from it. */
import * as net from "node:net";
import { test } from "tap";
import type { HttpHandler, HttpRequest, HttpResponse } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { createDirectFleet, sendCompleteAnswer } from "./directFleet.js";

const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });
const turnMs = 100;

/** Serves requests with slow turns of the event loop, and returns what handlers were given. */
async function collectRequests(send: (socket: net.Socket) => Promise<void>): Promise<readonly HttpRequest[]> {
    const requests: HttpRequest[] = [];
    const handler: HttpHandler = async (request, response) => {
        requests.push(request);
        response.start(200, { "content-length": "0" });
        response.end();
    };
    const listener = await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes: 1_000 });
    let isBusy = true;
    const burn = () => {
        for (const untilMs = performance.now() + turnMs; performance.now() < untilMs;);
        if (isBusy) setImmediate(burn);
    };
    const socket = net.connect(Number(listener.address.split(":")[1]), "127.0.0.1");
    await new Promise(resolve => socket.once("connect", resolve));
    burn();
    await send(socket);
    isBusy = false;
    socket.destroy();
    await listener.close();
    return requests;
}

async function exchange(socket: net.Socket): Promise<void> {
    socket.write("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    await new Promise(resolve => socket.once("data", resolve));
}

test("a request that was there when its connection was accepted has waited since then", async t => {
    const [request] = await collectRequests(exchange);
    // One turn until its head is read, and two until what arrived with it has been read.
    t.ok(request!.waitedMs >= 3 * turnMs, `${request!.waitedMs} ms`);
    t.ok(request!.waitedMs >= request!.connectionAgeMs + turnMs, `${request!.waitedMs} of ${request!.connectionAgeMs} ms`);
});

test("the time for which a client leaves its connection idle is not taken from its requests", async t => {
    const idleMs = 10 * turnMs;
    const [first, second] = await collectRequests(async socket => {
        await sleep(host.timers, idleMs);
        await exchange(socket);
        await sleep(host.timers, idleMs);
        await exchange(socket);
    });
    for (const { waitedMs, connectionAgeMs } of [first!, second!]) {
        t.ok(connectionAgeMs >= idleMs - 2 * turnMs, `age ${connectionAgeMs} ms`);
        t.ok(waitedMs <= connectionAgeMs - idleMs / 2, `${waitedMs} of ${connectionAgeMs} ms`);
    }
});

/** Hands a request that has waited to a gateway, and returns the status of its answer and the times that backend servers were given. */
async function callAfterWait(waitedMs: number, headers: Readonly<Record<string, string>>) {
    const fleet = await createDirectFleet(33);
    const givenMs: number[] = [];
    for (const server of fleet.servers) {
        server.behavior = (request, response) => {
            givenMs.push(Number(request.headers["x-deadline-ms"]));
            return sendCompleteAnswer(request, response, server);
        };
    }
    let status = 0;
    const response: HttpResponse = {
        get hasStarted() {
            return status !== 0;
        },
        start(startedStatus) {
            status = startedStatus;
        },
        write: () => Promise.resolve(),
        end: () => undefined,
        abort: () => undefined,
    };
    const request: HttpRequest = {
        method: "GET",
        path: "/open/1",
        headers: { "host": "h.example", "x-attempt-id": "a", ...headers },
        body: new Uint8Array(),
        signal: new AbortController().signal,
        connectionAgeMs: waitedMs,
        waitedMs,
    };
    await fleet.simulation.runUntil(fleet.entries[0]!.process!.part.handle(request, response));
    return { status, givenMs };
}

test("the time that a request has waited is taken from its route's and its caller's time limit", async t => {
    const byRoute = await callAfterWait(1_200, {});
    t.equal(byRoute.status, 200);
    t.ok(byRoute.givenMs[0]! <= 1_800 && byRoute.givenMs[0]! > 1_700, `${byRoute.givenMs[0]} ms`);
    const byCaller = await callAfterWait(1_200, { "x-deadline-ms": "2000" });
    t.equal(byCaller.status, 200);
    t.ok(byCaller.givenMs[0]! <= 800 && byCaller.givenMs[0]! > 700, `${byCaller.givenMs[0]} ms`);
});

test("a request whose time has passed before its handler is refused and runs nowhere", async t => {
    t.strictSame(await callAfterWait(3_100, {}), { status: 503, givenMs: [] });
    t.strictSame(await callAfterWait(1_000, { "x-deadline-ms": "900" }), { status: 503, givenMs: [] });
});

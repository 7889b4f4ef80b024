/** Calls on kept WebSocket connections of the production host, on real sockets, and how they fail. */
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import type { IncomingMessage } from "node:http";
import { createConnection, createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { Worker } from "node:worker_threads";
import tap, { test } from "tap";
import { fleetSecretHeader } from "../src/kernel/fleetSecret.js";
import type { Host, Listener } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createRpcClients, longPollOptions, rpc } from "../src/kernel/rpc.js";
import { callWithTimeout, sleep } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

// The silence of real connections takes its time. This is the limit of `npm test`.
tap.setTimeout(240_000);

const secret = "test-secret";
const maxBodyBytes = 100_000;
/** Far more than an answer takes on loopback, and less than any timeout of the connections. */
const atOnceMs = 900;
/** More than a silent connection is kept. */
const keptMs = 4_000;
/** Time in which a silent connection must have been dropped, on a busy machine too. */
const droppedMs = 6_000;

const held = new Set<() => void>();
const router = rpc.router({
    quick: rpc.procedure.query(() => "answered"),
    echo: rpc.procedure.input((value: unknown) => String(value)).mutation(({ input }) => input.length),
    nothing: rpc.procedure.mutation(() => undefined),
    failing: rpc.procedure.query(() => {
        throw new Error("failed on purpose");
    }),
    held: rpc.procedure.query(() => new Promise<string>(resolve => held.add(() => resolve("released")))),
});

function createHost(fleetSecret = secret): Host {
    return createNodeHost({ fleetSecret, createLogger: createSilentLogger });
}

function serveRouter(host: Host, address = "127.0.0.1:0"): Promise<Listener> {
    return host.network.serve({
        address,
        handler: (_request, response) => Promise.resolve(response.start(404, {})).then(() => response.end()),
        router,
        maxBodyBytes,
    });
}

function getClient(host: Host, address: string) {
    return createRpcClients<typeof router>(host.network).get(address);
}

/** A TCP server in front of a process. It counts connections, and it can stop to forward and cut them as a broken network does. */
async function startProxy(target: { address: string; }) {
    const fronts = new Set<Socket>();
    const counts = { connections: 0, bytes: 0 };
    const silenced = new Set<Socket>();
    let isForwarding = true;
    const server = createServer(front => {
        counts.connections++;
        const back = createConnection(getPort(target.address), "127.0.0.1");
        fronts.add(front);
        // A paused direction swallows what arrives, so that neither side sees an end.
        const isOpen = () => isForwarding && !silenced.has(front);
        front.on("data", data => isOpen() && back.write(data));
        back.on("data", data => isOpen() && front.write(data));
        for (const socket of [front, back]) socket.on("data", data => counts.bytes += data.length);
        for (const [from, to] of [[front, back], [back, front]] as const) {
            from.on("error", () => to.destroy());
            from.on("close", () => {
                fronts.delete(front);
                to.destroy();
            });
        }
    });
    await listen(server);
    return {
        address: getAddress(server),
        counts,
        setForwarding(value: boolean) {
            isForwarding = value;
        },
        /** Silences the connections of this time for good. */
        silenceOpen() {
            for (const front of fronts) silenced.add(front);
        },
        countOpen: () => fronts.size,
        cut() {
            for (const front of fronts) front.resetAndDestroy();
        },
        async close() {
            for (const front of fronts) front.destroy();
            await new Promise(resolve => server.close(resolve));
        },
    };
}

function listen(server: Server, port = 0): Promise<void> {
    return new Promise(resolve => server.listen(port, "127.0.0.1", resolve));
}

function getAddress(server: Server): string {
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function getOutcome(call: Promise<unknown>): Promise<string> {
    return call.then(value => `answered ${String(value)}`, error => `failed: ${(error as Error).message}`);
}

/** The outcome of a call, or "pending" after the time. */
function getOutcomeWithin(host: Host, call: Promise<unknown>, timeMs: number): Promise<string> {
    return Promise.race([getOutcome(call), sleep(host.timers, timeMs).then(() => "pending")]);
}

async function waitUntil(host: Host, condition: () => boolean, timeMs: number): Promise<boolean> {
    const deadlineMs = host.clock.nowMs() + timeMs;
    while (!condition() && host.clock.nowMs() < deadlineMs) await sleep(host.timers, 10);
    return condition();
}

function releaseHeld(): void {
    for (const release of held) release();
    held.clear();
}

test("calls of all clients of an address, values and errors, share one connection, so that no call pays for a handshake", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const first = getClient(host, proxy.address);
    const second = getClient(host, proxy.address);
    const calls = Array.from({ length: 50 }, (_, index) => (index % 2 === 0 ? first : second).echo.mutate("x".repeat(index)));
    t.same(await Promise.all(calls), Array.from({ length: 50 }, (_, index) => index));
    for (let count = 0; count < 50; count++) t.equal(await first.quick.query(), "answered");
    t.equal(await second.nothing.mutate(), undefined);
    t.equal(await getOutcome(first.failing.query()), "failed: failed on purpose");
    t.equal(proxy.counts.connections, 1);
    await proxy.close();
    await listener.close();
});

test("a long poll does not hold up another call on its connection", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const client = getClient(host, proxy.address);
    const longPoll = client.held.query(undefined, longPollOptions);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    t.ok(await waitUntil(host, () => held.size === 1, atOnceMs), "the long poll has arrived");
    releaseHeld();
    t.equal(await longPoll, "released");
    t.equal(proxy.counts.connections, 1);
    await proxy.close();
    await listener.close();
});

test("a long poll outlives the time after which a silent connection is dropped, because its peer answers probes", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const longPoll = getClient(host, proxy.address).held.query(undefined, longPollOptions);
    t.equal(await getOutcomeWithin(host, longPoll, keptMs), "pending");
    releaseHeld();
    t.equal(await longPoll, "released");
    t.equal(proxy.counts.connections, 1);
    await proxy.close();
    await listener.close();
});

test("calls to a process that does not listen fail at once, each time, and the first call after its start is answered", async t => {
    const host = createHost();
    const { address } = await serveRouter(host).then(async listener => (await listener.close(), listener));
    const client = getClient(host, address);
    for (let count = 0; count < 5; count++) {
        const outcomes = await Promise.all(
            [client.quick.query(), client.echo.mutate("x")].map(call => getOutcomeWithin(host, call, atOnceMs)),
        );
        for (const outcome of outcomes) t.match(outcome, /^failed: .*ECONNREFUSED/);
    }
    const listener = await serveRouter(host, address);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    await listener.close();
});

test("a call whose connection is reset fails at once and is not sent again, and the next call uses a new connection", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const client = getClient(host, proxy.address);
    const pending = client.held.query();
    t.ok(await waitUntil(host, () => held.size === 1, atOnceMs), "the call has arrived");
    proxy.cut();
    t.match(await getOutcomeWithin(host, pending, atOnceMs), /^failed: /);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    t.equal(held.size, 1, "the call arrived once");
    t.equal(proxy.counts.connections, 2);
    releaseHeld();
    await proxy.close();
    await listener.close();
});

test("calls to a process that is killed fail at once, and the first call after its restart is answered", async t => {
    const host = createHost();
    const peer = await startPeer("127.0.0.1:0");
    const client = getClient(host, peer.address);
    t.equal(await client.quick.query(), "answered");
    const pending = [client.held.query(), client.held.query(undefined, longPollOptions)].map(getOutcome);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    await peer.kill();
    const ended = await Promise.race([Promise.all(pending), sleep(host.timers, atOnceMs).then(() => ["pending"])]);
    for (const outcome of ended) t.match(outcome, /^failed: /);
    t.match(await getOutcomeWithin(host, client.quick.query(), atOnceMs), /^failed: .*ECONNREFUSED/);
    const restarted = await startPeer(peer.address);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    await restarted.kill();
});

test("calls to a process that is frozen for long fail, and the first call after its resumption is answered", async t => {
    const host = createHost();
    const peer = await startPeer("127.0.0.1:0");
    const client = getClient(host, peer.address);
    t.equal(await client.quick.query(), "answered");
    peer.signal("SIGSTOP");
    t.match(await getOutcomeWithin(host, client.held.query(), droppedMs), /^failed: .* was silent/);
    peer.signal("SIGCONT");
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    await peer.kill();
});

test("a process that was itself late keeps its connection, because its peer is not to blame", async t => {
    const host = createHost();
    const peer = await startPeer("127.0.0.1:0");
    const client = getClient(host, peer.address);
    t.equal(await client.quick.query(), "answered");
    const longPoll = client.held.query(undefined, longPollOptions);
    await sleep(host.timers, 100);
    blockEventLoop(3_200);
    t.equal(await getOutcomeWithin(host, longPoll, 300), "pending");
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    await peer.kill();
});

function blockEventLoop(timeMs: number): void {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, timeMs);
}

/** Serves some procedures in a process of its own, which writes its address. */
const peerCode = `
const [hostNodeUrl, rpcUrl, fleetSecret, address] = process.argv.slice(1);
const { createNodeHost } = await import(hostNodeUrl);
const { rpc } = await import(rpcUrl);
const ignore = () => undefined;
const createLogger = () => ({ debug: ignore, info: ignore, warn: ignore, error: ignore });
const router = rpc.router({ quick: rpc.procedure.query(() => "answered"), held: rpc.procedure.query(() => new Promise(ignore)) });
const handler = (_request, response) => Promise.resolve(response.abort());
const listener = await createNodeHost({ fleetSecret, createLogger }).network.serve({ address, handler, router, maxBodyBytes: 1e6 });
process.stdout.write(listener.address);
`;

async function startPeer(address: string) {
    const urls = ["../src/kernel/hostNode.js", "../src/kernel/rpc.js"].map(file => new URL(file, import.meta.url).href);
    const peer = spawn(process.execPath, ["--input-type=module", "-e", peerCode, ...urls, secret, address], {
        stdio: ["ignore", "pipe", "inherit"],
    });
    const exited = once(peer, "exit");
    process.once("exit", () => peer.kill("SIGKILL"));
    const [output] = await once(peer.stdout, "data") as [Buffer];
    return {
        address: output.toString("utf8"),
        signal: (name: NodeJS.Signals) => peer.kill(name),
        async kill() {
            peer.kill("SIGKILL");
            await exited;
        },
    };
}

test("a silent connection fails its calls and is replaced, although nothing resets it", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const client = getClient(host, proxy.address);
    t.equal(await client.quick.query(), "answered");
    proxy.setForwarding(false);
    const lost = client.held.query();
    const startedAtMs = host.clock.nowMs();
    t.match(await getOutcomeWithin(host, lost, droppedMs), /^failed: .* was silent for 3,?000 ms/);
    t.ok(host.clock.nowMs() - startedAtMs > 1_900, "a peer that is only slow keeps its connection");
    proxy.setForwarding(true);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    t.equal(proxy.counts.connections, 2);
    t.ok(await waitUntil(host, () => proxy.countOpen() === 1, atOnceMs), "the silent connection is closed");
    await proxy.close();
    await listener.close();
});

test("a call uses a new connection as soon as a probe of the silent one is unanswered, before that one is dropped", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const client = getClient(host, proxy.address);
    t.equal(await client.quick.query(), "answered");
    proxy.silenceOpen();
    const lost = getOutcome(client.held.query());
    const lostAt = lost.then(() => host.clock.nowMs());
    while (proxy.counts.connections === 1) await Promise.race([getOutcomeWithin(host, client.quick.query(), 100), lost]);
    const replacedAtMs = host.clock.nowMs();
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    t.match(await lost, /^failed: .* was silent/);
    t.ok(replacedAtMs < await lostAt, "the new connection did not wait for the end of the silent one");
    t.equal(proxy.counts.connections, 2);
    await proxy.close();
    await listener.close();
});

test("a call after a lost connection request does not wait until the system repeats the request", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    // While the thread is blocked and its queue is full, the system drops connection requests.
    const gate = new Int32Array(new SharedArrayBuffer(4));
    const worker = new Worker(blockedServerCode, { eval: true, workerData: { gate, targetPort: getPort(listener.address) } });
    const address = `127.0.0.1:${await getMessage(worker)}`;
    const fillers = Array.from({ length: 4 }, () => createConnection(getPort(address), "127.0.0.1").on("error", () => undefined));
    await sleep(host.timers, 100);
    const client = getClient(host, address);
    const order: string[] = [];
    const first = getOutcome(client.quick.query()).then(outcome => order.push(`first ${outcome}`));
    await sleep(host.timers, 250);
    t.same(order, [], "the first connection request was lost");
    Atomics.store(gate, 0, 1);
    Atomics.notify(gate, 0);
    await getMessage(worker);
    const second = getOutcome(client.quick.query()).then(outcome => order.push(`second ${outcome}`));
    await Promise.all([first, second]);
    t.same(order, ["second answered answered", "first answered answered"]);
    for (const filler of fillers) filler.destroy();
    await worker.terminate();
    await listener.close();
});

/** Listens with the shortest queue, accepts nothing until the gate opens, and then forwards to the target. */
const blockedServerCode = `
const { createConnection, createServer } = require("node:net");
const { parentPort, workerData } = require("node:worker_threads");
const server = createServer(front => {
    const back = createConnection(workerData.targetPort, "127.0.0.1");
    front.pipe(back).pipe(front);
    front.on("error", () => back.destroy());
    back.on("error", () => front.destroy());
});
server.listen(0, "127.0.0.1", 1, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(workerData.gate, 0, 0);
    setTimeout(() => parentPort.postMessage("accepting"), 50);
});
`;

function getMessage(worker: Worker): Promise<unknown> {
    return new Promise((resolve, reject) => {
        worker.once("message", resolve);
        worker.once("error", reject);
    });
}

function getPort(address: string): number {
    return Number(address.slice(address.lastIndexOf(":") + 1));
}

test("a call that is given up while its connection is being opened is not sent later", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    let release = (): void => undefined;
    const slowProxy = createServer(front => {
        front.on("error", () => undefined);
        release = () =>
            void front.pipe(createConnection(getPort(listener.address), "127.0.0.1").on("error", () => front.destroy())).pipe(front);
    });
    await listen(slowProxy);
    const client = getClient(host, getAddress(slowProxy));
    const givenUp = callWithTimeout(host.timers, signal => client.held.query(undefined, { signal }), 50, "call");
    t.match(await getOutcomeWithin(host, givenUp, atOnceMs), /^failed: call took longer than 50 ms/);
    release();
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    t.equal(held.size, 0);
    await listener.close();
    await new Promise(resolve => slowProxy.close(resolve));
});

test("a peer that accepts and never answers the handshake fails calls after the connect timeout", async t => {
    const host = createHost();
    const server = createServer(socket => socket.on("error", () => undefined));
    const sockets = new Set<Socket>();
    server.on("connection", socket => sockets.add(socket));
    await listen(server);
    const client = getClient(host, getAddress(server));
    const outcomes = await Promise.all([client.quick.query(), client.quick.query()].map(call => getOutcomeWithin(host, call, droppedMs)));
    for (const outcome of outcomes) t.match(outcome, /^failed: .*handshake has timed out/);
    t.equal(sockets.size, 1);
    for (const socket of sockets) socket.destroy();
    await new Promise(resolve => server.close(resolve));
});

test("calls with a wrong secret are refused on a WebSocket connection as on HTTP", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    t.match(await getOutcomeWithin(host, getClient(createHost("wrong"), listener.address).quick.query(), atOnceMs), /^failed: /);
    for (
        const [headers, status] of [[`${fleetSecretHeader}: wrong`, 401], ["x: y", 401], [`${fleetSecretHeader}: ${secret}`, 101]] as const
    ) {
        t.match(await requestUpgrade(listener.address, "/rpc", headers), new RegExp(`^HTTP/1.1 ${status} `), headers);
    }
    t.match(await requestUpgrade(listener.address, "/other", `${fleetSecretHeader}: ${secret}`), /^HTTP\/1.1 404 /);
    await listener.close();
});

test("a server without a router takes no WebSocket connections", async t => {
    const host = createHost();
    const handler = async (_request: unknown, response: { start(status: number, headers: Record<string, string>): void; end(): void; }) => {
        response.start(404, {});
        response.end();
    };
    const listener = await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes });
    t.match(await requestUpgrade(listener.address, "/rpc", `${fleetSecretHeader}: ${secret}`), /^HTTP\/1.1 404 /);
    await listener.close();
});

/** Sends a handshake and returns what arrives first. */
function requestUpgrade(address: string, path: string, header: string): Promise<string> {
    return new Promise((resolve, reject) => {
        const socket = createConnection(getPort(address), "127.0.0.1");
        socket.on("error", reject);
        socket.once("data", data => {
            socket.destroy();
            resolve(data.toString("latin1"));
        });
        socket.write(
            `GET ${path} HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n` +
                `Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n${header}\r\n\r\n`,
        );
    });
}

test("a process of an earlier version, which serves HTTP only, is called over HTTP without asking each time", async t => {
    const host = createHost();
    const paths: string[] = [];
    const server = createHttpServer((request: IncomingMessage, response) => {
        paths.push(request.url ?? "");
        const isCall = request.url?.startsWith("/rpc/") === true;
        response.writeHead(isCall ? 200 : 401, { "content-type": "application/json" });
        response.end(isCall ? JSON.stringify([{ result: { data: "answered" } }]) : "");
    });
    await listen(server);
    const client = getClient(host, getAddress(server));
    for (let count = 0; count < 3; count++) t.equal(await client.quick.query(), "answered");
    t.same(paths, ["/rpc", ...Array.from({ length: 3 }, () => "/rpc/quick?batch=1")]);
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});

test("a malformed message ends the connection, not the process", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const proxy = await startProxy(listener);
    const client = getClient(host, proxy.address);
    t.equal(await client.quick.query(), "answered");
    await proxy.close();
    await listener.close();

    const server = createHttpServer();
    const { WebSocketServer } = await import("ws");
    const sockets = new WebSocketServer({ server });
    sockets.on("connection", socket => socket.on("message", () => socket.send("{")));
    await listen(server);
    const outcome = await getOutcomeWithin(host, getClient(host, getAddress(server)).quick.query(), atOnceMs);
    t.match(outcome, /^failed: .* sent a malformed message/);
    await new Promise(resolve => server.close(resolve));
});

test("a message larger than the limit of a body is refused, and later calls are answered", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const client = getClient(host, listener.address);
    t.match(await getOutcomeWithin(host, client.echo.mutate("x".repeat(2 * maxBodyBytes)), atOnceMs), /^failed: /);
    t.equal(await getOutcomeWithin(host, client.echo.mutate("xx"), atOnceMs), "answered 2");
    await listener.close();
});

test("a large message that repeats itself takes few bytes, and is limited by its size and not by its bytes", async t => {
    const listener = await serveRouter(createHost());
    const proxy = await startProxy(listener);
    const client = getClient(createHost(), proxy.address);
    const lease = JSON.stringify({ leaseId: "incarnation/1", settledTokens: { direct: 1 }, releasedTokens: 0, wantTokens: 0 });
    const message = lease.repeat(500);
    t.equal(await client.echo.mutate(message), message.length);
    t.ok(proxy.counts.bytes < message.length / 5, `${proxy.counts.bytes} bytes for ${message.length}`);
    t.match(await getOutcome(client.echo.mutate("x".repeat(maxBodyBytes * 3))), /failed/);
    t.equal(await client.echo.mutate("small"), 5);
    await proxy.close();
    await listener.close();
});

test("a server without unanswered calls closes at once, although its callers keep connections", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const client = getClient(host, listener.address);
    t.equal(await client.quick.query(), "answered");
    const startedAtMs = host.clock.nowMs();
    await listener.close();
    t.ok(host.clock.nowMs() - startedAtMs < 400, "it does not wait for the grace period");
    t.match(await getOutcomeWithin(host, client.quick.query(), atOnceMs), /^failed: .*ECONNREFUSED/);
    const restarted = await serveRouter(host, listener.address);
    t.equal(await getOutcomeWithin(host, client.quick.query(), atOnceMs), "answered answered");
    await restarted.close();
});

test("a server closes connections with unanswered calls after the grace period, and answers what ends before", async t => {
    const host = createHost();
    const listener = await serveRouter(host);
    const client = getClient(host, listener.address);
    const lost = client.held.query();
    t.ok(await waitUntil(host, () => held.size === 1, atOnceMs), "the call has arrived");
    const [loseCall] = held;
    held.clear();
    const answered = client.held.query();
    t.ok(await waitUntil(host, () => held.size === 1, atOnceMs), "the second call has arrived");
    const closed = listener.close();
    releaseHeld();
    t.equal(await getOutcomeWithin(host, answered, atOnceMs), "answered released");
    t.match(await getOutcomeWithin(host, lost, 2 * atOnceMs), /^failed: /);
    await closed;
    loseCall?.();
});

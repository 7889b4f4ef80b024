/** What a server does with the connections and requests of one client, on real sockets. */
import * as net from "node:net";
import { test } from "tap";
import { parseAddress } from "../src/kernel/address.js";
import { createGatewayRouter } from "../src/kernel/contracts.js";
import type { HttpHandler, ServerOptions } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { defaultAllowance, getProcessLimits } from "../src/kernel/processLimits.js";
import type { ProcessAllowance } from "../src/kernel/processLimits.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { maxRequestsAhead, maxWaitingRequests } from "../src/kernel/serverConnections.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

async function startServer(handler: HttpHandler, allowance?: ProcessAllowance, options: Partial<ServerOptions> = {}) {
    const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger, allowance });
    const listener = await host.network.serve({ address: "127.0.0.1:0", maxBodyBytes: 1_000_000, handler, ...options });
    return { listener, ...parseAddress(listener.address) };
}

/** Opens a connection that collects what it receives. */
async function connect(address: { readonly host: string; readonly port: number; }) {
    const socket = net.connect(address.port, address.host);
    let text = "";
    let isClosed = false;
    socket.on("data", data => {
        text += data.toString();
    });
    socket.on("error", () => undefined);
    const closed = new Promise<void>(resolve =>
        socket.on("close", () => {
            isClosed = true;
            resolve();
        })
    );
    await new Promise<void>(resolve => socket.once("connect", resolve));
    return { socket, closed, getText: () => text, isClosed: () => isClosed };
}

async function waitFor(check: () => boolean): Promise<void> {
    while (!check()) await new Promise(resolve => setTimeout(resolve, 5));
}

const answerPath: HttpHandler = (request, response) => {
    response.start(200, { "content-length": String(request.path.length) });
    void response.write(Buffer.from(request.path));
    response.end();
    return Promise.resolve();
};

test("requests sent ahead are all answered, one after another and in their order", async t => {
    let running = 0;
    let mostRunning = 0;
    const server = await startServer(async (request, response) => {
        running++;
        mostRunning = Math.max(mostRunning, running);
        await new Promise(resolve => setImmediate(resolve));
        running--;
        return answerPath(request, response);
    });
    const count = 10 * maxWaitingRequests;
    const client = await connect(server);
    const paths = Array.from({ length: count }, (_, number) => `/${String(number).padStart(4, "0")}`);
    client.socket.write(paths.map(path => `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`).join(""));
    await waitFor(() => client.getText().includes(paths.at(-1)!));
    t.same(client.getText().match(/\/\d{4}/g), paths);
    t.equal(mostRunning, 1);
    client.socket.destroy();
    await server.listener.close();
});

test("a request with a body behind others that wait is served", async t => {
    const bodies: string[] = [];
    const server = await startServer((request, response) => {
        bodies.push(Buffer.from(request.body).toString());
        return answerPath(request, response);
    });
    const client = await connect(server);
    const ahead = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2 * maxWaitingRequests);
    client.socket.write(`${ahead}POST /last HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n`);
    for (const part of ["first ", "second"]) {
        await new Promise(resolve => setTimeout(resolve, 5));
        client.socket.write(`6\r\n${part}\r\n`);
    }
    client.socket.write("0\r\n\r\n");
    await waitFor(() => client.getText().includes("/last"));
    t.equal(bodies.at(-1), "first second");
    client.socket.destroy();
    await server.listener.close();
});

test("a connection on which far too many requests are sent ahead is closed, and nothing of them is held", async t => {
    let handled = 0;
    const server = await startServer((request, response) => {
        handled++;
        return answerPath(request, response);
    });
    const client = await connect(server);
    client.socket.write("GET / HTTP/1.1\r\nHost:a\r\n\r\n".repeat(maxRequestsAhead + 2));
    await client.closed;
    t.ok(handled <= 1, `${handled} were handled`);
    t.equal(server.listener.getRefusedConnections(), 1);
    await waitFor(() => server.listener.held.getTotalBytes() === 0);
    await server.listener.close();
});

test("a client that leaves leaves nothing behind of requests that waited, and those do not run", async t => {
    const handled: string[] = [];
    const aborted: string[] = [];
    let finish: (() => void) | undefined;
    const server = await startServer(async (request, response) => {
        handled.push(request.path);
        request.signal.addEventListener("abort", () => aborted.push(request.path));
        if (request.signal.aborted) aborted.push(request.path);
        if (request.path === "/slow") await new Promise<void>(resolve => finish = resolve);
        return answerPath(request, response);
    });
    const slow = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
    const whole = `POST /whole HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n${"b".repeat(100_000)}`;
    const broken = "POST /broken HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nbbb";
    const resetting = await connect(server);
    resetting.socket.write(slow + whole + broken);
    await waitFor(() => server.listener.held.getTotalBytes() > 100_000);
    resetting.socket.resetAndDestroy();
    await waitFor(() => aborted.length === 1);
    finish!();
    await waitFor(() => server.listener.held.getTotalBytes() === 0);
    t.same(handled, ["/slow"]);

    const ending = await connect(server);
    ending.socket.end(slow + slow.replace("/slow", "/next"));
    await waitFor(() => aborted.length === 2);
    finish!();
    await waitFor(() => handled.length === 2 || aborted.length === 3);
    await waitFor(() => server.listener.held.getTotalBytes() === 0);
    t.same(handled.slice(1).filter(path => !aborted.includes(path)), []);
    await server.listener.close();
});

test("requests behind an answer that closes the connection do not run", async t => {
    const handled: string[] = [];
    const server = await startServer((request, response) => {
        handled.push(request.path);
        response.start(200, { "content-length": "0", "connection": "close" });
        response.end();
        return Promise.resolve();
    });
    const client = await connect(server);
    client.socket.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n".repeat(3));
    await client.closed;
    await waitFor(() => server.listener.held.getTotalBytes() === 0);
    t.same(handled, ["/first"]);
    await server.listener.close();
});

test("a single body in chunks of one byte is served", async t => {
    const sizeBytes = 100_000;
    let received = 0;
    const server = await startServer((request, response) => {
        received = request.body.length;
        return answerPath(request, response);
    });
    const client = await connect(server);
    client.socket.write("POST /small HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
    client.socket.write(`${"1\r\nb\r\n".repeat(sizeBytes)}0\r\n\r\n`);
    await waitFor(() => client.getText().includes("/small"));
    t.equal(received, sizeBytes);
    client.socket.destroy();
    await server.listener.close();
});

test("a body whose announced length is over the limit is refused before it is read", async t => {
    let handled = 0;
    const server = await startServer(() => Promise.resolve(void handled++));
    const client = await connect(server);
    client.socket.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1000001\r\n\r\n");
    await client.closed;
    t.match(client.getText(), /^HTTP\/1.1 413 [^]*lovage-verdict: not-run/i);
    t.equal(handled, 0);
    await server.listener.close();
});

test("a body over the limit of the configuration is refused before it is whole, whether its length is announced or not", async t => {
    let handled = 0;
    let maxBytes = 1_000;
    const server = await startServer(() => Promise.resolve(void handled++), undefined, { getMaxBodyBytes: () => maxBytes });
    const sendings = ["Content-Length: 1001\r\n\r\n", `Transfer-Encoding: chunked\r\n\r\n3e9\r\n${"b".repeat(1_001)}\r\n`];
    for (const sending of sendings) {
        const client = await connect(server);
        client.socket.write(`POST /a HTTP/1.1\r\nHost: a\r\n${sending}`);
        await client.closed;
        t.match(client.getText(), /^HTTP\/1.1 413 [^]*lovage-verdict: not-run/i);
    }
    t.equal(handled, 0);
    maxBytes = 2_000;
    const client = await connect(server);
    client.socket.write(`POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n${"b".repeat(1_001)}`);
    await waitFor(() => handled === 1);
    client.socket.destroy();
    await server.listener.close();
});

test("a server may refuse bodies itself, which learns the head of the request, and the connection is closed", async t => {
    const refused: (readonly [string, string | undefined])[] = [];
    const server = await startServer(() => Promise.resolve(), undefined, {
        maxBodyBytes: 10,
        refuseBody(request, refusal, response) {
            refused.push([refusal, request.headers["x-id"]]);
            response.start(413, { "content-length": "0" });
            response.end();
        },
    });
    const client = await connect(server);
    client.socket.write("POST /a HTTP/1.1\r\nHost: a\r\nX-Id: 7\r\nContent-Length: 11\r\n\r\n");
    await client.closed;
    t.match(client.getText(), /^HTTP\/1.1 413 [^]*connection: close/i);
    t.same(refused, [["bodyTooLarge", "7"]]);
    await server.listener.close();
});

test("a request whose refusal fails is ended, and the server goes on", async t => {
    const server = await startServer(answerPath, undefined, {
        maxBodyBytes: 10,
        refuseBody() {
            throw new Error("failed on purpose");
        },
    });
    const client = await connect(server);
    client.socket.write("POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    await client.closed;
    const next = await connect(server);
    next.socket.write("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitFor(() => next.getText().includes("/next"));
    next.socket.destroy();
    t.equal(client.getText(), "");
    await server.listener.close();
});

/** Longer than a connection has for its next request. */
const longIdleMs = 1_200;
/** Descriptors for a few connections of callers. */
const fewDescriptors: ProcessAllowance = { ...defaultAllowance, maxDescriptors: 223 };
const fewConnections = getProcessLimits(fewDescriptors).maxConnections.callers;

test("a connection too many closes the one that was idle for longest, not one whose request is handled", async t => {
    let finish: (() => void) | undefined;
    const server = await startServer(async (request, response) => {
        if (request.path === "/slow") await new Promise<void>(resolve => finish = resolve);
        return answerPath(request, response);
    }, fewDescriptors);
    const busy = await connect(server);
    busy.socket.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitFor(() => finish !== undefined);
    const used = await connect(server);
    const idle = [];
    for (let number = 2; number < fewConnections; number++) idle.push(await connect(server));
    used.socket.write("GET /used HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitFor(() => used.getText().includes("/used"));
    const early = await connect(server);
    await early.closed;
    t.ok(idle.every(client => !client.isClosed()), "connections that had no time to send a request stay");
    await new Promise(resolve => setTimeout(resolve, longIdleMs));
    const last = await connect(server);
    last.socket.write("GET /last HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitFor(() => last.getText().includes("/last"));
    await idle[0]!.closed;
    t.same([busy, used, ...idle.slice(1)].map(client => client.isClosed()), [false, false, ...idle.slice(1).map(() => false)]);
    t.equal(server.listener.getRefusedConnections(), 2);
    finish!();
    await waitFor(() => busy.getText().includes("/slow"));
    for (const client of [busy, used, last, ...idle]) client.socket.destroy();
    await server.listener.close();
});

test("while all connections have a request that is handled, a further one is closed", async t => {
    const finishes: (() => void)[] = [];
    const server = await startServer(async (request, response) => {
        await new Promise<void>(resolve => finishes.push(resolve));
        return answerPath(request, response);
    }, fewDescriptors);
    const clients = await Promise.all(Array.from({ length: fewConnections }, () => connect(server)));
    for (const client of clients) client.socket.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
    await waitFor(() => finishes.length === fewConnections);
    const further = await connect(server);
    await further.closed;
    t.equal(further.getText(), "");
    for (const finish of finishes) finish();
    await waitFor(() => clients.every(client => client.getText().includes("/slow")));
    for (const client of clients) client.socket.destroy();
    await server.listener.close();
});

test("a call over HTTP that does not state the length of its body is refused before it is read", async t => {
    let calls = 0;
    const router = createGatewayRouter({ shareLoad: () => Promise.resolve(void calls++) });
    const server = await startServer(answerPath, undefined, { kind: "fleet", router });
    const client = await connect(server);
    client.socket.write(
        "POST /rpc/shareLoad HTTP/1.1\r\nHost: a\r\nlovage-fleet-secret: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nthere",
    );
    await client.closed;
    t.match(client.getText(), /^HTTP\/1.1 411 /);
    t.equal(calls, 0);
    await server.listener.close();
});

test("limits follow the settings, and each kind of server has descriptors of its own", t => {
    const small = getProcessLimits({ memoryMb: 160, maxDescriptors: 4_100 });
    const large = getProcessLimits({ memoryMb: 490, maxDescriptors: 10_500 });
    const maxBodyBytes = 4 * 1024 * 1024;
    t.ok(small.maxRequestBytes >= 2 * maxBodyBytes, "two of the largest bodies at once");
    t.ok(small.maxAnswerBytes >= maxMessageBytes.answer, "the largest answer");
    t.ok(large.maxRequestBytes > small.maxRequestBytes);
    for (const { maxConnections: { callers, readiness, fleet, administration } } of [small, large]) {
        t.ok(Math.min(callers, readiness, fleet, administration) > 0);
    }
    const { callers, readiness, fleet } = small.maxConnections;
    t.ok(2 * callers + readiness + fleet <= 4_100, "as many connections to backend servers as callers");
    t.end();
});

test("a change of the configuration fits into a message between control VMs, whatever the memory", t => {
    for (const memoryMb of [1, 160, 256, 350, 4_096]) {
        const { maxSocketMessageBytes, maxBodyBytes } = getProcessLimits({ ...defaultAllowance, memoryMb });
        // What the message adds to it, with room for characters that are escaped.
        t.ok(maxBodyBytes.administration * 1.5 <= maxSocketMessageBytes, `${memoryMb} MB`);
        t.ok(maxBodyBytes.callers >= 8 * 1024 * 1024, "two bodies of callers");
    }
    t.end();
});

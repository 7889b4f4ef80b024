/** Connections to backend servers, on real sockets: close-delimited responses, connection reuse, and errors before sending. */
import * as net from "node:net";
import t from "tap";
import { createNodeBackendConnections } from "../src/kernel/backendConnections.js";
import type { BackendConnections } from "../src/kernel/host.js";
import { NotSentError } from "../src/kernel/host.js";
import { nodeClock } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

/** Starts a server that answers each request with the given function and counts its connections. */
async function serve(respond: (socket: net.Socket) => void) {
    const counts = { connections: 0 };
    const server = net.createServer(socket => {
        counts.connections++;
        socket.on("error", () => undefined);
        socket.on("data", () => respond(socket));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as net.AddressInfo;
    return { address: `127.0.0.1:${port}`, counts, close: () => server.close() };
}

function createConnections(maxConnections = 4, maxTotalConnections = 100): BackendConnections {
    const context = { clock: nodeClock, log: createSilentLogger(), maxTotalConnections };
    return createNodeBackendConnections({ connectTimeoutMs: 500, maxConnections }, context);
}

async function get(connections: BackendConnections, address: string): Promise<string> {
    const response = await connections.request(address, { method: "GET", path: "/" });
    return Buffer.from(await readAll(response.body, maxMessageBytes.answer)).toString();
}

t.test("a close-delimited response that ends normally is complete", async t => {
    const server = await serve(socket => socket.end("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"));
    const connections = createConnections();
    t.equal(await get(connections, server.address), "whole");
    connections.close();
    server.close();
});

t.test("a close-delimited response that is reset is truncated", async t => {
    const server = await serve(socket => {
        socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        setTimeout(() => socket.resetAndDestroy(), 30);
    });
    const connections = createConnections();
    await t.rejects(get(connections, server.address));
    connections.close();
    server.close();
});

t.test("an idle connection is reused", async t => {
    const server = await serve(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    const connections = createConnections();
    for (let count = 0; count < 3; count++) t.equal(await get(connections, server.address), "ok");
    t.equal(server.counts.connections, 1);
    connections.close();
    server.close();
});

t.test("aborting a request releases its connection", async t => {
    const server = await serve(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"));
    const connections = createConnections(1);
    const abortController = new AbortController();
    await connections.request(server.address, { method: "GET", path: "/", signal: abortController.signal });
    await t.rejects(connections.request(server.address, { method: "GET", path: "/" }), NotSentError);
    abortController.abort();
    const response = await connections.request(server.address, { method: "GET", path: "/" });
    t.equal(response.status, 200);
    connections.close();
    server.close();
});

t.test("a refused connection is reported as a request that was not sent", async t => {
    const server = await serve(() => undefined);
    server.close();
    await t.rejects(createConnections().request(server.address, { method: "GET", path: "/" }), NotSentError);
});

t.test("connections to all servers together are bounded, and the one that was idle for longest gives way", async t => {
    const servers = await Promise.all([1, 2, 3].map(() => serveKept()));
    const connections = createConnections(4, 2);
    const [first, second, third] = servers as [KeptServer, KeptServer, KeptServer];
    await get(connections, first.address);
    await get(connections, second.address);
    await get(connections, third.address);
    await first.closed;
    await get(connections, second.address);
    t.same(servers.map(server => server.counts.connections), [1, 1, 1], "the second was kept");
    connections.close();
    for (const server of servers) server.close();
});

t.test("a request for which no connection can be opened is not sent", async t => {
    const server = await serve(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"));
    const other = await serveKept();
    const connections = createConnections(4, 1);
    const abortController = new AbortController();
    await connections.request(server.address, { method: "GET", path: "/", signal: abortController.signal });
    await t.rejects(connections.request(other.address, { method: "GET", path: "/" }), NotSentError);
    abortController.abort();
    t.equal(await get(connections, other.address), "ok");
    connections.close();
    server.close();
    other.close();
});

t.test("a connection that replaces the only other one of its server is used again", async t => {
    const server = await serveKept();
    const connections = createConnections(4, 1);
    const refused = await connections.request(server.address, { method: "GET", path: "/", requestId: "a" });
    refused.recordRefusal!();
    await readAll(refused.body, maxMessageBytes.answer);
    for (const requestId of ["a", "b"]) {
        const response = await connections.request(server.address, { method: "GET", path: "/", requestId });
        await readAll(response.body, maxMessageBytes.answer);
    }
    t.equal(server.counts.connections, 2);
    connections.close();
    server.close();
});

type KeptServer = Awaited<ReturnType<typeof serveKept>>;

/** Starts a server that keeps its connections, and tells when one of them was closed. */
async function serveKept() {
    let reportClosed: () => void;
    const closed = new Promise<void>(resolve => reportClosed = resolve);
    const watched = new Set<net.Socket>();
    const server = await serve(socket => {
        if (!watched.has(socket)) socket.once("close", () => reportClosed());
        watched.add(socket);
        socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    });
    return { ...server, closed };
}

/** Faulty backend servers that write an earlier answer once more on a kept connection, on real sockets. */
import * as net from "node:net";
import { test } from "tap";
import { createNodeBackendConnections } from "../src/kernel/backendConnections.js";
import { readAll } from "../src/kernel/tasks.js";

const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
const ownAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";

/** A server that refuses the first request in this way and answers all others. */
async function startRefusingServer(refuse: (socket: net.Socket) => void) {
    const state = { requests: 0, connections: 0, socket: undefined as net.Socket | undefined };
    const server = net.createServer(socket => {
        state.connections++;
        socket.on("error", () => undefined);
        socket.on("data", () => {
            state.requests++;
            if (state.requests > 1) return void socket.write(ownAnswer);
            state.socket = socket;
            refuse(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const connections = createNodeBackendConnections({ connectTimeoutMs: 500, maxConnections: 1 });
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    return {
        state,
        async request() {
            const reply = await connections.request(address, { method: "POST", path: "/", body: Buffer.from("body") });
            return `${reply.status} ${Buffer.from(await readAll(reply.body)).toString()}`;
        },
        close() {
            connections.close();
            server.close();
        },
    };
}

/** Runs an action in the turn in which the event loop has just read from a socket, so that nothing more is read in this turn. */
function runAfterRead<T>(action: () => Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
        const server = net.createServer(socket => {
            socket.once("data", () => {
                action().then(resolve, reject);
                socket.destroy();
                server.close();
            });
        });
        server.listen(0, "127.0.0.1", () => {
            net.connect((server.address() as net.AddressInfo).port, "127.0.0.1").on("error", () => undefined).write("x");
        });
    });
}

function wait(durationMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, durationMs));
}

test("a refusal sent once more at once behind the first does not answer the next request", async t => {
    const server = await startRefusingServer(socket => void socket.write(refusal + refusal));
    t.equal(await server.request(), "503 full");
    t.equal(await server.request(), "200 own");
    t.match(server.state, { requests: 2, connections: 2 });
    server.close();
});

test("a refusal sent once more on an idle connection does not answer the next request", async t => {
    const server = await startRefusingServer(socket => {
        socket.write(refusal);
        setTimeout(() => socket.write(refusal), 20);
    });
    t.equal(await server.request(), "503 full");
    await wait(60);
    t.equal(await server.request(), "200 own");
    t.match(server.state, { requests: 2, connections: 2 });
    server.close();
});

test("a refusal sent once more that a busy process has not read yet does not answer the next request", async t => {
    const server = await startRefusingServer(socket => void socket.write(refusal));
    t.equal(await server.request(), "503 full");
    await wait(20);
    const next = await runAfterRead(() => {
        server.state.socket?.write(refusal);
        return server.request();
    });
    t.equal(next, "200 own");
    t.match(server.state, { requests: 2, connections: 2 });
    server.close();
});

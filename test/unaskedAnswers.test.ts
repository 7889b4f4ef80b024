/** Faulty backend servers that write an earlier answer once more on a kept connection, on real sockets. */
import * as net from "node:net";
import { test } from "tap";
import { createNodeBackendConnections } from "../src/kernel/backendConnections.js";
import { nodeClock } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { createSealedHead, startRealDelivery } from "./realDelivery.js";

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
    const connections = createNodeBackendConnections(
        { connectTimeoutMs: 500, maxConnections: 1 },
        { clock: nodeClock, log: createSilentLogger() },
    );
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    return {
        state,
        async request() {
            const reply = await connections.request(address, { method: "POST", path: "/", body: Buffer.from("body") });
            return `${reply.status} ${Buffer.from(await readAll(reply.body, maxMessageBytes.answer)).toString()}`;
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

/** Makes a request, and another one on the same connection that gets a copy of an earlier answer. Tells whether that connection is closed. */
async function answerWithCopy(copy: string) {
    let isClosed = false;
    const delivery = await startRealDelivery("nonIdempotent", ({ socket, id, number }) => {
        if (number !== 2) return void socket.write(`${createSealedHead(id, "Content-Length: 5")}whole`);
        socket.once("close", () => {
            isClosed = true;
        });
        delivery.useServers(2);
        socket.write(copy);
    });
    const firstCaller = await delivery.call("a");
    const caller = await delivery.call("b");
    await wait(50);
    await delivery.close();
    return { firstCaller, caller, delivery, isClosed };
}

test("a whole answer of an earlier request closes the connection on which the next one runs", async t => {
    const { firstCaller, caller, delivery, isClosed } = await answerWithCopy(`${createSealedHead("a", "Content-Length: 5")}whole`);
    t.match(firstCaller.text, /^HTTP\/1.1 200 .*whole$/s);
    t.match(caller.text, /^HTTP\/1.1 502 /);
    t.same(delivery.arrivals.map(arrival => [arrival.id, arrival.connection]), [["a", 1], ["b", 1]]);
    t.ok(isClosed, "the backend server sees that nobody waits");
});

test("a refusal without an id that comes with the next request does not make it count as not run", async t => {
    for (const status of ["503 Service Unavailable\r\nX-Not-Executed: 1", "421 Misdirected Request"]) {
        const copy = `HTTP/1.1 ${status}\r\nX-Worker-Load: 8,9,8\r\nServer-Limit: 1\r\nContent-Length: 4\r\n\r\nfull`;
        const { firstCaller, caller, delivery, isClosed } = await answerWithCopy(copy);
        t.match(firstCaller.text, /^HTTP\/1.1 200 .*whole$/s);
        t.match(caller.text, /^HTTP\/1.1 502 /, status);
        t.equal(delivery.arrivals.filter(arrival => arrival.id === "b").length, 1, "no second server gets the request");
        t.match(delivery.results[1], { mayHaveRun: true, attempts: 1 });
        t.same(delivery.reportedLoads, []);
        t.same(delivery.reportedLimits, [{ kind: "none" }], "of the first answer");
        t.ok(isClosed);
    }
});

test("a refusal of an earlier request that comes with the next request does not make it count as not run", async t => {
    const copy = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull";
    const { caller, delivery, isClosed } = await answerWithCopy(copy);
    t.match(caller.text, /^HTTP\/1.1 502 /);
    t.equal(delivery.arrivals.filter(arrival => arrival.id === "b").length, 1);
    t.ok(isClosed);
});

test("a refusal without an id on a new connection is believed, and no other request is sent on that connection", async t => {
    const delivery = await startRealDelivery("nonIdempotent", ({ socket }) => void socket.write(refusal));
    for (const id of ["a", "b", "c"]) t.match((await delivery.call(id)).text, /^HTTP\/1.1 503 /);
    t.same(delivery.arrivals.map(arrival => [arrival.id, arrival.connection]), [["a", 1], ["b", 2], ["c", 3]]);
    await delivery.close();
});

test("a refusal that names its request is believed on a kept connection, which is used again", async t => {
    const delivery = await startRealDelivery("nonIdempotent", ({ socket, id }) => {
        socket.write(refusal.replace("\r\n", `\r\nX-Attempt-Id: ${id}\r\n`));
    });
    for (const id of ["a", "b"]) t.match((await delivery.call(id)).text, /^HTTP\/1.1 503 /);
    t.same(delivery.arrivals.map(arrival => arrival.connection), [1, 1]);
    await delivery.close();
});

/** What calls without an answer hold is bounded, and costs other processes nothing. On real sockets. */
import { once } from "node:events";
import * as net from "node:net";
import { test } from "tap";
import { WebSocket } from "ws";
import { parseAddress } from "../src/kernel/address.js";
import { fleetSecretHeader } from "../src/kernel/fleetSecret.js";
import type { LogFields } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { defaultAllowance } from "../src/kernel/processLimits.js";
import { createRpcClients, rpc } from "../src/kernel/rpc.js";
import { maxBatchItems } from "../src/kernel/rpcLinks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const secret = "test-secret";
/** More than the room for calls of a process with little memory. */
const tooManyCalls = 4_000;
const manyCalls = 500;

/** Serves calls that are answered when the test releases them, with as many bytes as they ask for. */
async function startServer(log = createSilentLogger()) {
    const waiting: (() => void)[] = [];
    const router = rpc.router({
        held: rpc.procedure.query(() => new Promise<string>(resolve => waiting.push(() => resolve("released")))),
        sized: rpc.procedure.input(value => Number(value)).query(({ input }) => "a".repeat(input)),
    });
    const host = createNodeHost({
        fleetSecret: secret,
        createLogger: () => log,
        allowance: { ...defaultAllowance, memoryMb: 160 },
    });
    const listener = await host.network.serve({
        address: "127.0.0.1:0",
        kind: "fleet",
        handler: () => Promise.resolve(),
        router,
        maxBodyBytes: 1_000_000,
    });
    const client = createRpcClients<typeof router>(host.network).get(listener.address);
    return { listener, waiting, client };
}

/** Opens a connection from another address than that of the ordinary clients. */
async function connect(address: string) {
    const socket = new WebSocket(`ws://${address}/rpc`, { localAddress: "127.0.0.9", headers: { [fleetSecretHeader]: secret } });
    const answers: { readonly error?: { readonly message: string; }; }[] = [];
    socket.on("error", () => undefined);
    socket.on("message", data => answers.push(JSON.parse((data as Buffer).toString()) as (typeof answers)[number]));
    await once(socket, "open");
    return { socket, answers };
}

let lastId = 0;

function createCall(path: string, input?: unknown): string {
    lastId++;
    return JSON.stringify({ id: lastId, method: "query", params: { path, input } });
}

async function waitFor(check: () => boolean): Promise<void> {
    while (!check()) await new Promise(resolve => setTimeout(resolve, 5));
}

test("a connection with too many unanswered calls is closed, and the call of another process is answered", async t => {
    const { listener, waiting, client } = await startServer();
    const ordinary = client.held.query();
    await waitFor(() => waiting.length === 1);
    const { socket } = await connect(listener.address);
    const closed = once(socket, "close");
    for (let number = 0; number < tooManyCalls; number++) socket.send(createCall("held"));
    await closed;
    t.equal(listener.held.getEndedCount(), 1);
    for (const release of waiting) release();
    t.equal(await ordinary, "released");
    await listener.close();
});

test("a call without an answer holds its input", async t => {
    const { listener, waiting } = await startServer();
    const { socket } = await connect(listener.address);
    const closed = once(socket, "close");
    const input = "i".repeat(500_000);
    // The room for calls is 10 MiB.
    for (let number = 0; number < 30; number++) socket.send(createCall("held", input));
    await closed;
    t.ok(waiting.length < 30, `${waiting.length} were handled`);
    t.equal(listener.held.getEndedCount(), 1);
    for (const release of waiting) release();
    await listener.close();
});

test("messages that ask for no answer hold nothing", async t => {
    const { listener, client } = await startServer();
    const { socket } = await connect(listener.address);
    const stop = JSON.stringify({ id: "s".repeat(100_000), method: "subscription.stop" });
    for (let number = 0; number < 200; number++) socket.send(stop);
    socket.send(createCall("sized", 1));
    await once(socket, "message");
    t.ok(listener.held.getTotalBytes() < 1_000_000, `${listener.held.getTotalBytes()} bytes`);
    t.equal(await client.sized.query(3), "aaa");
    socket.terminate();
    await listener.close();
});

for (
    const [name, message] of [
        ["a message with several calls", `[${createCall("sized", 1)},${createCall("sized", 1)}]`],
        ["a message that is not understood", "{"],
        ["a call of a kind that no process serves", JSON.stringify({ id: 1, method: "subscription", params: { path: "sized", input: 1 } })],
    ] as const
) {
    test(`unanswered calls count as before after ${name}`, async t => {
        const { listener, waiting } = await startServer();
        const { socket } = await connect(listener.address);
        const closed = once(socket, "close");
        for (let number = 0; number < tooManyCalls && socket.readyState === WebSocket.OPEN; number++) {
            socket.send(createCall("held"));
            socket.send(message);
            if (number % manyCalls === 0) await new Promise(resolve => setTimeout(resolve, 50));
        }
        await closed;
        t.equal(listener.held.getEndedCount(), 1);
        for (const release of waiting) release();
        await listener.close();
    });
}

test("a connection whose answers are not read is closed, and another process is answered", async t => {
    const { listener, client } = await startServer();
    const { socket } = await connect(listener.address);
    const closed = once(socket, "close");
    socket.pause();
    for (let number = 0; number < manyCalls; number++) socket.send(createCall("sized", 100_000));
    await waitFor(() => listener.held.getEndedCount() === 1);
    t.equal(await client.sized.query(3), "aaa");
    socket.resume();
    await closed;
    await listener.close();
});

test("as many calls as a process may have without an answer are all answered", async t => {
    const { listener, waiting } = await startServer();
    const { socket, answers } = await connect(listener.address);
    for (let number = 0; number < manyCalls; number++) socket.send(createCall("held"));
    await waitFor(() => waiting.length === manyCalls);
    for (const release of waiting) release();
    await waitFor(() => answers.length === manyCalls);
    t.equal(listener.held.getEndedCount(), 0);
    for (let number = 0; number < tooManyCalls; number++) socket.send(createCall("sized", 1));
    await waitFor(() => answers.length === manyCalls + tooManyCalls);
    t.equal(listener.held.getEndedCount(), 0, "answered calls hold nothing");
    socket.terminate();
    await listener.close();
});

test("a message with many calls is refused", async t => {
    const { listener, waiting } = await startServer();
    const { socket, answers } = await connect(listener.address);
    const calls = Array.from({ length: 100 }, () => createCall("held"));
    socket.send(`[${calls.join()}]`);
    await waitFor(() => answers.length > 0);
    t.match(answers[0]!.error?.message, /batch/i);
    t.equal(waiting.length, 0);
    socket.terminate();
    await listener.close();
});

test("an answer to a call over HTTP that is not read gives way, and another process is answered", async t => {
    const { listener, client } = await startServer();
    const { host, port } = parseAddress(listener.address);
    const socket = net.connect({ host, port, localAddress: "127.0.0.9" });
    socket.on("error", () => undefined);
    socket.pause();
    socket.write(`GET /rpc/sized?input=30000000 HTTP/1.1\r\nHost: a\r\n${fleetSecretHeader}: ${secret}\r\n\r\n`);
    await waitFor(() => listener.held.getEndedCount() === 1);
    t.equal(listener.held.getTotalBytes() < 1_000_000, true);
    t.equal(await client.sized.query(3), "aaa");
    socket.destroy();
    await listener.close();
});

test("a batch over HTTP that is larger than those of our processes is refused", async t => {
    const { listener, waiting } = await startServer();
    const headers = { [fleetSecretHeader]: secret };
    const procedures = Array.from({ length: maxBatchItems + 1 }, () => "held").join();
    const response = await fetch(`http://${listener.address}/rpc/${procedures}?batch=1`, { headers });
    t.match(await response.text(), /batch/i);
    t.equal(waiting.length, 0);
    await listener.close();
});

test("a message that is too large closes its connection and is logged with its sender", async t => {
    const lines: string[] = [];
    const log = {
        ...createSilentLogger(),
        warn: (message: string, fields?: LogFields) => void lines.push(`${message} ${String(fields?.["sender"])}`),
    };
    const { listener } = await startServer(log);
    const { socket } = await connect(listener.address);
    socket.send(createCall("sized", "i".repeat(1_000_000)));
    await once(socket, "close");
    t.same(lines, ["A connection for calls failed. 127.0.0.9"]);
    await listener.close();
});

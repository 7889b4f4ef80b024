/** Answers that begin while their request is still being written, and answers with a status that is none: what the entry makes of them. */
import * as net from "node:net";
import { test } from "tap";
import { createNodeBackendConnections } from "../src/kernel/backendConnections.js";
import type { IncomingResponse } from "../src/kernel/host.js";
import { nodeClock } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { createSealedHead, startRealDelivery } from "./realDelivery.js";

const uploadBytes = 8 * 1024 * 1024;
const rounds = 20;
const answerPart = `${createSealedHead("a1", "Content-Type: text/plain")}the first part of a body`;

/** Ways in which a server breaks off an answer while its request is being written. The delay varies from round to round. */
const endings: Readonly<Record<string, (socket: net.Socket, delayMs: number) => void>> = {
    "reset at once": socket => socket.write(answerPart, () => socket.resetAndDestroy()),
    "reset later": (socket, delayMs) => {
        socket.write(answerPart);
        setTimeout(() => socket.resetAndDestroy(), delayMs);
    },
    "closed with unread data": (socket, delayMs) => {
        socket.write(answerPart);
        setTimeout(() => socket.destroy(), delayMs);
    },
    "reset in the turn in which it began": socket => {
        socket.write(answerPart);
        socket.resetAndDestroy();
    },
    "reset after a part of the request was read": (socket, delayMs) => {
        let readBytes = 0;
        socket.on("data", data => {
            readBytes += data.length;
            if (readBytes < uploadBytes * delayMs / (rounds + 1)) return;
            socket.write(answerPart);
            socket.resetAndDestroy();
        });
        socket.resume();
    },
};

const readers: Readonly<Record<string, (response: IncomingResponse) => Promise<unknown>>> = {
    body: response => readAll(response.body, maxMessageBytes.answer),
    parts: response => response.forEachPart!(() => undefined),
};

for (const [ending, breakOff] of Object.entries(endings)) {
    for (const [reader, read] of Object.entries(readers)) {
        test(`an early answer without a length that is ${ending} is not complete (read by its ${reader})`, async t => {
            let complete = 0;
            for (let round = 0; round < rounds; round++) {
                const server = await startServer(socket => breakOff(socket, round));
                const connections = createNodeBackendConnections({ connectTimeoutMs: 500, maxConnections: 4 }, {
                    clock: nodeClock,
                    log: createSilentLogger(),
                });
                const request = { method: "POST", path: "/", body: Buffer.alloc(uploadBytes) };
                await connections.request(server.address, request).then(read).then(() => complete++, () => undefined);
                connections.close();
                server.close();
            }
            t.equal(complete, 0);
        });
    }
}

for (const status of ["000", "001", "099"]) {
    test(`an answer whose status is ${status} does not reach the caller`, async t => {
        const delivery = await startRealDelivery("nonIdempotent", ({ socket, id }) => {
            socket.write(`${createSealedHead(id, "Content-Length: 2").replace("200", status)}ok`);
            setTimeout(() => socket.destroy(), 50);
        });
        const { text } = await delivery.call("a1");
        await delivery.close();
        t.match(text, /^HTTP\/1\.1 502 /);
    });
}

/** Starts a server that answers as soon as a connection brings data, and reads no more. */
async function startServer(respond: (socket: net.Socket) => void) {
    const sockets: net.Socket[] = [];
    const server = net.createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.once("data", () => {
            socket.pause();
            respond(socket);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as net.AddressInfo).port}`,
        close() {
            for (const socket of sockets) socket.destroy();
            server.close();
        },
    };
}

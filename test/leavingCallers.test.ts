/** Callers that leave while their request is on its way, on real sockets: what their backend servers still get to do. */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import * as net from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "tap";
import { parseAddress } from "../src/kernel/address.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { createSealedHead, startRealDelivery } from "./realDelivery.js";
import type { Arrival } from "./realDelivery.js";

const firstEvent = "id: 1\ndata: piece 1\n\n";

test("a stream whose caller leaves while control confirms its version does not go on at another server", async t => {
    let leave: () => void = () => undefined;
    const delivery = await startRealDelivery("resumableStream", arrival => {
        startStream(arrival);
        if (arrival.number === 1) setTimeout(() => arrival.socket.resetAndDestroy(), 30);
    }, {
        async beforeConfirm() {
            leave();
            await sleep(50);
        },
    });
    delivery.useServers(2);
    const caller = openCaller(delivery.address, "a1");
    leave = () => caller.destroy();
    while (delivery.results.length === 0) await sleep(10);
    t.equal(delivery.arrivals.length, 1);
    await delivery.close();
});

for (const repeat of ["nonIdempotent", "resumableStream"] as const) {
    test(`a ${repeat} request whose caller is read to have left right after the connection to its server was made is not sent`, async t => {
        const delivery = await startRealDelivery(repeat, startStream);
        const caller = openCaller(delivery.address, "a1");
        await once(caller, "connect");
        const connects = holdConnects();
        const { socket } = await nextRequest();
        socket.prependOnceListener("end", connects.release);
        await connects.held;
        caller.destroy();
        while (delivery.results.length === 0) await sleep(10);
        connects.close();
        t.equal(delivery.arrivals.length, 0);
        await delivery.close();
    });
}

test("a dispatch to an agent that is aborted right after the connection was made is not sent", async t => {
    const host = createNodeHost({ fleetSecret: "secret", createLogger: createSilentLogger });
    let arrivals = 0;
    const agent = net.createServer(socket => socket.on("error", () => undefined).on("data", () => arrivals++));
    await new Promise<void>(resolve => agent.listen(0, "127.0.0.1", resolve));
    const connects = holdConnects();
    const abort = new AbortController();
    const { port } = agent.address() as net.AddressInfo;
    const request = host.network.request(`127.0.0.1:${port}`, { method: "POST", path: "/dispatch", signal: abort.signal });
    await connects.held;
    connects.release();
    abort.abort();
    await t.rejects(request);
    await sleep(50);
    connects.close();
    agent.close();
    t.equal(arrivals, 0);
});

/** Holds back the event that the next connection is made, so that it can come in one turn of the event loop with another event. */
function holdConnects() {
    const channel = "net.client.socket";
    let release: () => void = () => undefined;
    let reportHeld: () => void;
    const held = new Promise<void>(resolve => {
        reportHeld = resolve;
    });
    const hold = (message: unknown) => {
        const { socket } = message as { readonly socket: net.Socket; };
        const emit = socket.emit.bind(socket);
        socket.emit = (event: string, ...parameters: unknown[]) => {
            if (event !== "connect") return emit(event, ...parameters);
            release = () => void emit("connect");
            reportHeld();
            return true;
        };
    };
    subscribe(channel, hold);
    return { held, release: () => release(), close: () => unsubscribe(channel, hold) };
}

function nextRequest(): Promise<IncomingMessage> {
    const channel = "http.server.request.start";
    return new Promise(resolve => {
        const take = (message: unknown) => {
            unsubscribe(channel, take);
            resolve((message as { readonly request: IncomingMessage; }).request);
        };
        subscribe(channel, take);
    });
}

function startStream({ socket, id }: Arrival): void {
    socket.write(`${createSealedHead(id, "Content-Type: text/event-stream", "Connection: close")}${firstEvent}`);
}

function openCaller(address: string, id: string): net.Socket {
    const { host, port } = parseAddress(address);
    const socket = net.connect(port, host);
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(`POST /a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: ${id}\r\nContent-Length: 4\r\n\r\nbody`);
    return socket;
}

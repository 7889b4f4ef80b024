/** Requests whose callers left before the process read them, on real sockets. */
import * as net from "node:net";
import { test } from "tap";
import type { HttpHandler } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll, sleep } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });
const callerCount = 60;

/** Sends a request as soon as the connection is established. */
function send(address: string, onSent: (socket: net.Socket) => void): net.Socket {
    const [ip, port] = address.split(":");
    const socket = net.connect(Number(port), ip);
    socket.on("error", () => undefined);
    socket.on("connect", () => {
        socket.write("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
        onSent(socket);
    });
    return socket;
}

/** Serves requests that take a while, and counts those whose callers appeared to be present when the handler was called. */
async function serve() {
    const counts = { called: 0, present: 0 };
    const handler: HttpHandler = async (request, response) => {
        counts.called++;
        if (!request.signal.aborted) counts.present++;
        await sleep(host.timers, 20, request.signal);
        response.start(200, { "content-length": "0" });
        response.end();
    };
    return { counts, listener: await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes: 1_000 }) };
}

// More connections than the event loop accepts in a few turns wait in the listen queue, together with their requests and closes.
test("a request whose caller left while it waited in the listen queue is handled as abandoned", async t => {
    const { counts, listener } = await serve();
    const sockets = Array.from({ length: callerCount }, () => send(listener.address, socket => socket.end()));
    await Promise.all(sockets.map(socket => new Promise(resolve => socket.once("close", resolve))));
    await sleep(host.timers, 50);
    t.ok(counts.present <= 3, `${counts.present} of ${counts.called} handled as if their callers were present`);
    await listener.close();
});

test("a request whose caller waits in the listen queue is answered", async t => {
    const { counts, listener } = await serve();
    const answers = Array.from({ length: callerCount }, () =>
        new Promise<string>(resolve => {
            const socket = send(listener.address, () => undefined);
            socket.once("data", data => {
                socket.destroy();
                resolve(data.toString().slice(9, 12));
            });
        }));
    t.same([...new Set(await Promise.all(answers))], ["200"]);
    t.equal(counts.present, callerCount);
    await listener.close();
});

test("the age of a connection is counted from its acceptance to each request", async t => {
    const agesMs: number[] = [];
    const handler: HttpHandler = async (request, response) => {
        agesMs.push(request.connectionAgeMs);
        response.start(200, { "content-length": "0" });
        response.end();
    };
    const listener = await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes: 1_000 });
    for (let count = 0; count < 2; count++) {
        await readAll((await host.network.request(listener.address, { method: "GET", path: "/" })).body, maxMessageBytes.answer);
        await sleep(host.timers, 30);
    }
    t.ok(agesMs[1]! - agesMs[0]! >= 29, `ages ${agesMs.join(", ")}`);
    await listener.close();
});

/** A busy process beside replies that have arrived, and connections that came within one long turn of its event loop, on real sockets. */
import * as http from "node:http";
import * as net from "node:net";
import { test } from "tap";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { sleep, withTimeout } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });

function burn(durationMs: number): void {
    for (const untilMs = performance.now() + durationMs; performance.now() < untilMs;);
}

async function isReplyTaken(otherTimers: number): Promise<string> {
    const server = net.createServer(socket => socket.resume());
    const accepted = new Promise<net.Socket>(resolve => server.once("connection", resolve));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const client = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    await new Promise(resolve => client.once("connect", resolve));
    const peer = await accepted;
    const reply = new Promise<string>(resolve => client.once("data", data => resolve(data.toString())));
    const outcome = withTimeout(host.timers, reply, 50, "call").catch(() => "timeout");
    // Other timers of the process, due at the same moment or shortly after, each with a little work.
    // Half of it follows in a timer without a delay, as afterArrivals itself has it.
    for (let n = 1; n <= otherTimers; n++) {
        setTimeout(() => {
            burn(5);
            setTimeout(() => burn(5), 0);
        }, 50 + n);
    }
    // The reply is sent long before the timeout; then the process is busy beyond it.
    peer.write("reply");
    burn(120);
    const result = await outcome;
    client.destroy();
    peer.destroy();
    server.close();
    return result;
}

test("a reply that has arrived counts, without other timers", async t => {
    t.equal(await isReplyTaken(0), "reply");
});

test("a reply that has arrived counts, also if other timers of this process are late", async t => {
    t.equal(await isReplyTaken(6), "reply");
});

/** Number of connections, of those that came within one long turn, that were answered and that were reset. */
async function countAfterLongTurn(turnMs: number): Promise<{ readonly answered: number; readonly reset: number; readonly drops: number; }> {
    let hasBurnt = false;
    const listener = await host.network.serve({
        address: "127.0.0.1:0",
        maxBodyBytes: 1_000,
        maxAcceptWaitMs: 500,
        handler: async (_request, response) => {
            response.start(200, { "content-length": "0", "connection": "close" });
            response.end();
        },
    });
    const port = Number(listener.address.split(":")[1]);
    const attempt = () =>
        new Promise<"answered" | "reset">(resolve => {
            const request = http.get({ host: "127.0.0.1", port, agent: false }, response => {
                response.resume();
                resolve("answered");
            });
            request.on("error", () => resolve("reset"));
        });
    const first = net.connect(port, "127.0.0.1");
    first.on("error", () => undefined);
    // One turn that accepts a connection and then takes long: garbage collection, a replay, or a pause of the machine.
    const outcomes: Promise<"answered" | "reset">[] = [];
    const watch = setInterval(() => undefined, 1_000);
    const original = net.Server.prototype.emit;
    await new Promise<void>(resolve => {
        net.Server.prototype.emit = function(this: net.Server, event: string, ...rest: unknown[]) {
            const result = Reflect.apply(original, this, [event, ...rest]) as boolean;
            if (event === "connection" && !hasBurnt) {
                hasBurnt = true;
                burn(turnMs - 20);
                // These come 20 ms before the turn ends, so none of them is older than that.
                for (let n = 0; n < 20; n++) outcomes.push(attempt());
                burn(20);
                resolve();
            }
            return result;
        } as typeof original;
    });
    net.Server.prototype.emit = original;
    const results = await Promise.all(outcomes);
    clearInterval(watch);
    first.destroy();
    const drops = listener.getQueueResets();
    await listener.close();
    return { answered: results.filter(r => r === "answered").length, reset: results.filter(r => r === "reset").length, drops };
}

test("a single long turn of a process with time to spare does not drop a young queue", async t => {
    const result = await countAfterLongTurn(600);
    await sleep(host.timers, 10);
    t.strictSame(result, { answered: 20, reset: 0, drops: 0 });
});

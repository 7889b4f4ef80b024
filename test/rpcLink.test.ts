/** RPC over the links of the production host, on real sockets. */
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "tap";
import { createControlRouter } from "../src/kernel/contracts.js";
import type { ControlApi, ControlRouter, DirectoryReply, WatchReply } from "../src/kernel/contracts.js";
import { createControlClient } from "../src/kernel/controlClient.js";
import type { Host, Listener } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createRpcClients, rpc } from "../src/kernel/rpc.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { startRelay } from "../src/wiring.js";

const secret = "test-secret";
const maxBodyBytes = 1_000_000;
/** Far more than an answer takes on loopback. */
const heldAfterMs = 2_000;

function createHost(): Host {
    return createNodeHost({ fleetSecret: secret, createLogger: createSilentLogger });
}

const watchReply: WatchReply = { revision: 7, recalledBudgets: [], isConnected: true, members: [], waitedMs: 0 };
const directoryReply: DirectoryReply = {
    incarnation: "i",
    revision: 1,
    servers: [],
    watchers: [],
    watcherCount: 1,
    watcherRank: 0,
    isConnected: true,
    waitedMs: 0,
};
const watchRequest = { vm: "e", role: "entry", failureDomain: "d", incarnation: "e1", version: 0, revision: 0, timeoutMs: 1_000 } as const;
const directoryRequest = { incarnation: "", revision: 0, timeoutMs: 1_000 };

function serveControl(host: Host, api: Partial<ControlApi>): Promise<Listener> {
    const handler = () => Promise.reject(new Error("only RPC is served"));
    return host.network.serve({ address: "127.0.0.1:0", handler, router: createControlRouter(api as ControlApi), maxBodyBytes });
}

function createGate(): { readonly opened: Promise<void>; open(): void; } {
    let open: () => void = () => undefined;
    const opened = new Promise<void>(resolve => {
        open = resolve;
    });
    return { opened, open };
}

test("a configuration watch is not answered later because a directory watch of the same tick is pending", async t => {
    const host = createHost();
    const gate = createGate();
    const listener = await serveControl(host, {
        watch: async () => watchReply,
        watchDirectory: async () => {
            await gate.opened;
            return directoryReply;
        },
    });
    const control = createControlClient(host, [listener.address]);
    const directoryWatch = control.watchDirectory(directoryRequest);
    const outcome = await Promise.race([control.watch(watchRequest), sleep(host.timers, heldAfterMs).then(() => "held")]);
    gate.open();
    t.same(outcome, watchReply);
    await directoryWatch;
    await listener.close();
});

test("no call waits for a pending call of another procedure, also through a relay", async t => {
    const host = createHost();
    const gate = createGate();
    const router = rpc.router({
        slow: rpc.procedure.query(() => gate.opened),
        quick: rpc.procedure.query(() => "answered"),
    });
    const handler = () => Promise.reject(new Error("only RPC is served"));
    const server = await host.network.serve({ address: "127.0.0.1:0", handler, router, maxBodyBytes });
    const port = server.address.slice(server.address.lastIndexOf(":") + 1);
    const relay = (await startRelay(host, { fleetListen: `127.0.0.2:${port}`, fleetSecret: secret })).listeners[0]!;
    for (const relayAddress of [undefined, relay.address]) {
        const client = createRpcClients<typeof router>(host.network).get(server.address, relayAddress);
        void client.slow.query();
        const outcome = await Promise.race([client.quick.query(), sleep(host.timers, heldAfterMs).then(() => "held")]);
        t.equal(outcome, "answered", relayAddress === undefined ? "direct" : "through a relay");
        if (relayAddress !== undefined) gate.open();
    }
    await relay.close();
    await server.close();
});

test("calls of one procedure in one tick share a request over HTTP", async t => {
    const host = createHost();
    const urls: string[] = [];
    const server = createServer((request, response) => {
        urls.push(request.url ?? "");
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify([{ result: { data: { isConnected: true } } }, { result: { data: { isConnected: false } } }]));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const client = createRpcClients<ControlRouter>(host.network).get(address);
    t.same(await Promise.all([client.ping.query(), client.ping.query()]), [{ isConnected: true }, { isConnected: false }]);
    // The first request asks for a WebSocket connection, which this server does not take.
    t.same(urls, ["/rpc", "/rpc/ping,ping?batch=1"]);
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
});

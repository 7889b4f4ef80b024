/** Paths of callers' requests that a server uses for calls of its own fleet elsewhere, on real sockets. */
import { test } from "tap";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

test("a server without procedures hands every path to its handler, also those under /rpc", async t => {
    const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });
    const paths: string[] = [];
    const listener = await host.network.serve({
        address: "127.0.0.1:0",
        maxBodyBytes: 1_000,
        handler(request, response) {
            paths.push(request.path);
            response.start(200, { "content-length": "0" });
            response.end();
            return Promise.resolve();
        },
    });
    const sent = ["/rpc", "/rpc/", "/rpc/watch?batch=1"];
    for (const path of sent) t.equal((await fetch(`http://${listener.address}${path}`)).status, 200, path);
    t.same(paths, sent);
    await listener.close();
});

/** Answers that the entry breaks off, as callers on real sockets see them. */
import { connect } from "node:net";
import { test } from "tap";
import { parseAddress } from "../src/kernel/address.js";
import type { ServerOptions } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const host = createNodeHost({ fleetSecret: "secret", createLogger: createSilentLogger });

test("an answer without a length that is broken off does not look complete to its caller", async t => {
    let onReceived: () => void = () => undefined;
    const received = new Promise<void>(resolve => {
        onReceived = resolve;
    });
    const handler: ServerOptions["handler"] = async (_request, response) => {
        response.start(200, { "content-type": "text/event-stream" }, true);
        await response.write(Buffer.from("id: 1\ndata: piece\n\n"));
        await received;
        response.abort();
    };
    const listener = await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes: 100 });
    const { host: ip, port } = parseAddress(listener.address);
    const socket = connect(port, ip);
    const ended = new Promise<Error | undefined>(resolve => {
        socket.once("error", resolve);
        socket.once("end", () => resolve(undefined));
    });
    socket.once("data", onReceived);
    socket.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    t.match(await ended, { code: "ECONNRESET" });
    socket.destroy();
    await listener.close();
});

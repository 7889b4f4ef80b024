/** Model engines that send bytes without end to their agent, on real sockets. */
import * as http from "node:http";
import type * as net from "node:net";
import { test } from "tap";
import { createModelEngineAdapter } from "../src/agent/adapters/modelEngine.js";
import type { RunOutcome } from "../src/agent/types.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import type { Dispatch } from "../src/kernel/messages.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const maxSentBytes = 64 * 1024 * 1024;
/** Far more than one event and the buffers of both sockets. */
const maxExpectedBytes = 16 * 1024 * 1024;
const timeoutMs = 5_000;

/** Runs one request at an engine that answers with this status and repeats `part` until the connection is closed. */
async function runEndless(status: number, part: string): Promise<{ readonly outcome: RunOutcome; readonly sentBytes: number; }> {
    let sentBytes = 0;
    const block = Buffer.from(part.repeat(Math.ceil(65_536 / part.length)));
    const server = http.createServer((_request, response) => {
        response.writeHead(status, { "content-type": "text/event-stream" });
        const send = () => {
            while (!response.destroyed && sentBytes < maxSentBytes) {
                sentBytes += block.length;
                if (!response.write(block)) return;
            }
        };
        response.on("drain", send);
        response.on("error", () => undefined);
        send();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const host = createNodeHost({ fleetSecret: "s", createLogger: createSilentLogger });
    const adapter = createModelEngineAdapter(host, `127.0.0.1:${(server.address() as net.AddressInfo).port}`);
    const sink = { head: () => undefined, chunk: () => Promise.resolve() };
    const dispatch = { requestId: "r", maxCompletionTokens: 10, serviceClass: "interactive" } as unknown as Dispatch;
    const outcome = await adapter.run(dispatch, Buffer.from("{}"), AbortSignal.timeout(timeoutMs), sink);
    server.closeAllConnections();
    server.close();
    return { outcome, sentBytes };
}

test("an event without end breaks the run and closes the connection to the engine", async t => {
    const { outcome, sentBytes } = await runEndless(200, "data: more");
    t.equal(outcome.kind, "broken");
    t.ok(sentBytes < maxExpectedBytes, `${sentBytes} bytes`);
});

for (const [status, kind] of [[503, "refused"], [500, "broken"]] as const) {
    test(`an answer of status ${status} without end is still taken for its status`, async t => {
        const { outcome, sentBytes } = await runEndless(status, "more");
        t.match(outcome, { kind, detail: new RegExp(`^status ${status}: more`) });
        t.ok(sentBytes < maxExpectedBytes, `${sentBytes} bytes`);
    });
}

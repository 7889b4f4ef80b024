/** Failures without a seal, which the backend server may not have made: what the caller is told, on real sockets. */
import { test } from "tap";
import { startRealDelivery } from "./realDelivery.js";
import type { Arrival } from "./realDelivery.js";

function answer({ socket, id }: Arrival, status: number, ...headers: readonly string[]): void {
    const lines = [`HTTP/1.1 ${status} Failure`, `X-Attempt-Id: ${id}`, ...headers, "Content-Length: 4", "", "fail"];
    socket.write(lines.join("\r\n"));
}

for (const repeat of ["nonIdempotent", "stream"] as const) {
    for (const status of [503, 429, 408]) {
        test(`a ${repeat} request that ran is not called "not run" because of an answer ${status} without a seal`, async t => {
            const delivery = await startRealDelivery(repeat, arrival => answer(arrival, status));
            delivery.useServers(2);
            const { text } = await delivery.call("a1");
            await delivery.close();
            t.same(delivery.arrivals.length, 1);
            t.match(text, /^HTTP\/1\.1 502 /);
        });
    }
}

test("an idempotent request that was answered 503 without a seal is sent to another server", async t => {
    const delivery = await startRealDelivery("idempotent", arrival => answer(arrival, 503));
    delivery.useServers(2);
    const { text } = await delivery.call("a1");
    await delivery.close();
    t.same(delivery.arrivals.length, 2);
    t.match(text, /^HTTP\/1\.1 502 /);
});

test("a sealed 503 is passed on as the server's answer", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => answer(arrival, 503, "X-Worker-Seal: seal"));
    const { text } = await delivery.call("a1");
    await delivery.close();
    t.match(text, /^HTTP\/1\.1 503 [^]*x-worker-seal: seal[^]*fail$/i);
});

test("a refusal that its server states is told to the caller as not run", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => answer(arrival, 429, "X-Not-Executed: 1"));
    const { text } = await delivery.call("a1");
    await delivery.close();
    t.match(text, /^HTTP\/1\.1 503 /);
});

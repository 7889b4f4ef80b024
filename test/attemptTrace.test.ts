/** What the log says of attempts: how far they got and why they count as not run, on real sockets. */
import { test } from "tap";
import { startRealDelivery } from "./realDelivery.js";
import type { Arrival } from "./realDelivery.js";

function refuse({ socket, id }: Arrival): void {
    socket.write(`HTTP/1.1 503 Busy\r\nX-Attempt-Id: ${id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
}

test("an attempt that its server refused is traced with the header that says so", async t => {
    const delivery = await startRealDelivery("nonIdempotent", refuse);
    await delivery.call("a1");
    await delivery.call("a2");
    await delivery.close();
    const traces = delivery.results.map(result => result.failedAttempts);
    t.match(traces, [
        [{ stage: "answered", status: 503, isSealed: false, notRunEvidence: "header", connection: { earlierAnswers: 0 } }],
        [{ stage: "answered", status: 503, isSealed: false, notRunEvidence: "header", connection: { earlierAnswers: 1 } }],
    ]);
});

test("attempts on the same connection are traced with the same port", async t => {
    const serverPorts: unknown[] = [];
    const delivery = await startRealDelivery("nonIdempotent", arrival => {
        serverPorts.push(arrival.socket.remotePort);
        refuse(arrival);
    });
    await delivery.call("a1");
    await delivery.call("a2");
    await delivery.close();
    t.equal(serverPorts[0], serverPorts[1]);
    t.same(delivery.results.map(result => result.failedAttempts[0]!.connection?.localPort), serverPorts);
});

test("an attempt whose connection was reset after the request was read is traced as sent", async t => {
    const delivery = await startRealDelivery("nonIdempotent", ({ socket }) => void socket.resetAndDestroy());
    await delivery.call("a1");
    await delivery.close();
    const [trace] = delivery.results[0]!.failedAttempts;
    t.match(trace, { stage: "sent", connection: { earlierAnswers: 0 } });
    t.equal(trace!.notRunEvidence, undefined);
});

test("an attempt at a server that refuses connections is traced as not sent", async t => {
    const delivery = await startRealDelivery("nonIdempotent", refuse);
    delivery.stopServer(0);
    await delivery.call("a1");
    await delivery.close();
    t.same(delivery.results[0]!.failedAttempts, [{ stage: "notSent", notRunEvidence: "notSent" }]);
});

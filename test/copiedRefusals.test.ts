/** Copies of a refusal that arrive while the refused request is in progress again, on real sockets. */
import { test } from "tap";
import { createSealedHead, startRealDelivery } from "./realDelivery.js";
import type { Arrival } from "./realDelivery.js";

const refusals = {
    421: "HTTP/1.1 421 Misdirected Request",
    503: "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1",
} as const;
/** Time after which a server answers a request that it runs. */
const workMs = 50;

function refuse({ socket, id }: Arrival, status: keyof typeof refusals): void {
    socket.write(`${refusals[status]}\r\nX-Attempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`);
}

function answer({ socket, id }: Arrival): void {
    socket.write(`${createSealedHead(id, "Content-Length: 2")}ok`);
}

/** Runs the request. The copy of the refusal arrives meanwhile, on the connection of the refused one. */
function runAfterCopy(refused: Arrival, arrival: Arrival, status: keyof typeof refusals): void {
    refuse(refused, status);
    setTimeout(() => answer(arrival), workMs);
}

for (const status of [421, 503] as const) {
    test(`a request that a renamed server runs does not run at another server because of the copy of a refusal ${status}`, async t => {
        const delivery = await startRealDelivery("nonIdempotent", arrival => {
            const { number } = arrival;
            if (number === 2) {
                delivery.renameServer(0, "w1b");
                refuse(arrival, status);
            }
            else if (number === 3) {
                delivery.addServer(1);
                runAfterCopy(delivery.arrivals[1]!, arrival, status);
            }
            else answer(arrival);
        });
        // Each request allows for one more retry.
        await delivery.call("a0");
        const { text } = await delivery.call("a1");
        await delivery.close();
        t.same(delivery.arrivals.map(({ id }) => id), ["a0", "a1", "a1"], "refused once and run once");
        t.match(text, /^HTTP\/1\.1 200 /);
    });

    test(`a request that a renamed server runs is not refused because of the copy of a refusal ${status}`, async t => {
        const delivery = await startRealDelivery("nonIdempotent", arrival => {
            if (arrival.number > 1) return runAfterCopy(delivery.arrivals[0]!, arrival, status);
            delivery.renameServer(0, "w1b");
            refuse(arrival, status);
        });
        const { text } = await delivery.call("a1");
        await delivery.close();
        t.equal(delivery.arrivals.length, 2, "refused once and run once");
        t.match(text, /^HTTP\/1\.1 200 /);
    });
}

test("a request that a caller sends again under its id is not refused because of the copy of a refusal", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => {
        if (arrival.number > 1) runAfterCopy(delivery.arrivals[0]!, arrival, 503);
        else refuse(arrival, 503);
    });
    t.match((await delivery.call("a1")).text, /^HTTP\/1\.1 503 /);
    const { text } = await delivery.call("a1");
    await delivery.close();
    t.equal(delivery.arrivals.length, 2, "refused once and run once");
    t.match(text, /^HTTP\/1\.1 200 /);
});

test("a refused request is sent again on a new connection if no other one may be opened", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => {
        if (arrival.number > 1) return answer(arrival);
        delivery.renameServer(0, "w1b");
        refuse(arrival, 421);
    }, { maxConnections: 1 });
    const { text } = await delivery.call("a1");
    await delivery.close();
    t.same(delivery.arrivals.map(({ connection }) => connection), [1, 2]);
    t.match(text, /^HTTP\/1\.1 200 /);
});

test("a connection is closed after a hundred refusals, whose ids it would have to remember", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => refuse(arrival, 503));
    for (let call = 1; call <= 101; call++) await delivery.call(`a${call}`);
    await delivery.close();
    t.same(delivery.arrivals.map(({ connection }) => connection), [...Array<number>(100).fill(1), 2]);
});

test("a connection is closed after refusals of requests with long ids", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => refuse(arrival, 503));
    for (const letter of ["a", "b", "c"]) await delivery.call(letter.repeat(8_192));
    await delivery.close();
    t.same(delivery.arrivals.map(({ connection }) => connection), [1, 1, 2]);
});

test("other requests are sent on the connection of a refused one", async t => {
    const delivery = await startRealDelivery("nonIdempotent", arrival => arrival.number === 1 ? refuse(arrival, 503) : answer(arrival));
    await delivery.call("a1");
    await delivery.call("a2");
    await delivery.close();
    t.same(delivery.arrivals.map(({ connection }) => connection), [1, 1]);
});

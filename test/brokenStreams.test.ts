/** Streams that break off and go on at a backend server that answers with something else, on real sockets and in a whole fleet. */
import { test } from "tap";
import { createDirectFleet, createSealHeaders } from "./directFleet.js";
import { createSealedHead, startRealDelivery } from "./realDelivery.js";
import type { Arrival } from "./realDelivery.js";

const firstEvent = "id: 1\ndata: piece 1\n\n";
const errorText = "the error\n\nof another backend server\n\n";
const framings = {
    "in chunks": ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"],
    "without a length": ["Content-Type: text/event-stream", "Connection: close"],
} as const;

function createAnswer(statusLine: string, id: string, ...lines: readonly string[]): string {
    const head = [`HTTP/1.1 ${statusLine}`, `X-Attempt-Id: ${id}`, ...lines, `Content-Length: ${errorText.length}`];
    return `${head.join("\r\n")}\r\n\r\n${errorText}`;
}

const nextAnswers: Readonly<Record<string, (id: string) => string>> = {
    "a 400": id => createAnswer("400 Bad Request", id, "X-Worker-Seal: seal"),
    "a 404 without a seal": id => createAnswer("404 Not Found", id),
    "a 500": id => createAnswer("500 Internal Server Error", id, "X-Worker-Seal: seal"),
    "a 200 that is no stream": id => createAnswer("200 OK", id, "X-Worker-Seal: seal", "Content-Type: application/json"),
    "a 200 of an unstated kind": id => createAnswer("200 OK", id, "X-Worker-Seal: seal"),
    "a refusal": id => createAnswer("503 Service Unavailable", id, "X-Not-Executed: 1"),
};

/** Begins a stream and breaks off after its first event. */
function breakOff({ socket, id }: Arrival, framing: keyof typeof framings): void {
    const event = framing === "in chunks" ? `${firstEvent.length.toString(16)}\r\n${firstEvent}\r\n` : firstEvent;
    socket.write(createSealedHead(id, ...framings[framing]) + event);
    setTimeout(() => socket.resetAndDestroy(), 30);
}

for (const framing of ["in chunks", "without a length"] as const) {
    for (const [name, createNext] of Object.entries(nextAnswers)) {
        test(`${name} at the next backend server does not get into a stream ${framing} that had begun, which ends visibly broken`, async t => {
            const delivery = await startRealDelivery("resumableStream", arrival => {
                if (arrival.number > 1) return void arrival.socket.write(createNext(arrival.id));
                delivery.useServers(2);
                breakOff(arrival, framing);
            });
            const { text, isReset } = await delivery.call("a");
            const [head, body] = text.split(/\r\n\r\n(.*)/s);
            t.match(head, /^HTTP\/1.1 200 /);
            t.equal(body, framing === "in chunks" ? `${firstEvent.length.toString(16)}\r\n${firstEvent}\r\n` : firstEvent);
            t.ok(framing === "in chunks" || isReset, "a caller that knows no length sees a reset");
            t.equal(delivery.arrivals.length, 2);
            t.same(delivery.thrown, []);
            t.match(delivery.results, [{ deliveredEvents: 1, mayHaveRun: true, verdict: { kind: /^(ran|mayHaveRun)$/ } }]);
            await delivery.close();
        });
    }
}

test("a stream that had begun goes on at the next backend server, which names the same kind of content in another way", async t => {
    const delivery = await startRealDelivery("resumableStream", arrival => {
        if (arrival.number === 1) {
            delivery.useServers(2);
            return breakOff(arrival, "in chunks");
        }
        const event = "id: 2\ndata: piece 2\n\n";
        const lines = ["Content-Type: Text/Event-Stream; charset=utf-8", `Content-Length: ${event.length}`];
        arrival.socket.write(createSealedHead(arrival.id, ...lines) + event);
    });
    t.match((await delivery.call("a")).text, /piece 1\n.*piece 2\n\n\r\n0\r\n\r\n$/s);
    t.match(delivery.results, [{ deliveredEvents: 2, verdict: undefined }]);
    await delivery.close();
});

test("a stream that another backend server ends with an error is billed for the events that were delivered", async t => {
    const fleet = await createDirectFleet(61);
    let isFirst = true;
    for (const server of fleet.servers) {
        server.behavior = async (request, response) => {
            const isBroken = isFirst;
            isFirst = false;
            response.start(isBroken ? 200 : 400, createSealHeaders(request));
            await response.write(Buffer.from(isBroken ? firstEvent : errorText));
            if (isBroken) response.abort();
            else response.end();
        };
    }
    const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/resume/1", id: "a", tokens: "10,1000" }));
    t.match(result, { status: 200, text: firstEvent, isComplete: false });
    const [ended] = fleet.simulation.logLines.filter(line => line.includes("A request ended."));
    t.match(ended, /"outcome":"backendServerFailed".*"events":1,"billedTokens":12,/);
    t.notOk(fleet.simulation.logLines.some(line => line.includes("A request failed.")));
});

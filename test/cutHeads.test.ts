/** Backend servers that stop inside an answer and close or reset the connection, on real sockets. */
import { test } from "tap";
import { createSealedHead, startRealDelivery } from "./realDelivery.js";
import type { CallerView } from "./realDelivery.js";

const answers = {
    "with a length": { lines: ["Content-Length: 10"], body: "0123456789" },
    "in chunks": { lines: ["Transfer-Encoding: chunked"], body: "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n" },
    "with no body": { lines: ["Content-Length: 0"], body: "" },
    "without a length": { lines: ["Connection: close"], body: "" },
} as const;

function createAnswer(name: keyof typeof answers, id: string): string {
    return createSealedHead(id, ...answers[name].lines) + answers[name].body;
}

/** Makes a request whose answer is `sent` and then ends, on a new connection or on one that has carried an answer. */
async function callCut(
    sent: string,
    options: { end: "close" | "reset"; isKept: boolean; repeat: "nonIdempotent" | "stream"; },
): Promise<CallerView> {
    const delivery = await startRealDelivery(options.repeat, ({ socket, id }) => {
        if (id === "first") return void socket.write(createAnswer("with a length", id));
        socket.write(sent, () => {
            // The bytes are read before the connection ends.
            setTimeout(() => options.end === "close" ? socket.end() : socket.resetAndDestroy(), 5);
        });
    });
    if (options.isKept) await delivery.call("first");
    const view = await delivery.call("cut");
    await delivery.close();
    return view;
}

/** Every place at which an answer may stop without being whole. */
function listCuts(answer: string): readonly number[] {
    return Array.from({ length: answer.length - 1 }, (_, index) => index + 1);
}

for (const name of ["with a length", "in chunks", "with no body", "without a length"] as const) {
    for (const end of ["close", "reset"] as const) {
        test(`an answer ${name} that stops anywhere before its end with a ${end} is no success to its caller`, async t => {
            const answer = createAnswer(name, "cut");
            const cuts = listCuts(answer);
            for (const isKept of [false, true]) {
                const views = await Promise.all(
                    cuts.map(cut => callCut(answer.slice(0, cut), { end, isKept, repeat: "nonIdempotent" })),
                );
                t.same(cuts.filter((_, index) => !/^HTTP\/1.1 502 /.test(views[index]!.text)), [], isKept ? "kept" : "new");
            }
            if (end === "reset") return;
            t.match(await callCut(answer, { end, isKept: false, repeat: "nonIdempotent" }), { text: /^HTTP\/1.1 200 / }, "whole");
        });
    }
}

const event = "id: 1\ndata: piece 1\n\n";
const chunk = `${event.length.toString(16)}\r\n${event}\r\n`;

for (const end of ["close", "reset"] as const) {
    test(`a stream in chunks that stops anywhere before its end with a ${end} does not look complete to its caller`, async t => {
        const answer = `${createSealedHead("cut", "Transfer-Encoding: chunked")}${chunk}${chunk}0\r\n\r\n`;
        const cuts = listCuts(answer);
        const views = await Promise.all(cuts.map(cut => callCut(answer.slice(0, cut), { end, isKept: false, repeat: "stream" })));
        t.same(cuts.filter((_, index) => /^HTTP\/1.1 200 .*\r\n0\r\n\r\n$/s.test(views[index]!.text)), []);
        const whole = await callCut(answer, { end: "close", isKept: false, repeat: "stream" });
        t.match(whole.text, /^HTTP\/1.1 200 .*\r\n0\r\n\r\n$/s);
    });
}

test("a stream without a length that is reset anywhere in its body is reset to its caller", async t => {
    const head = createSealedHead("cut", "Connection: close");
    const cuts = listCuts(event + event);
    const views = await Promise.all(
        cuts.map(cut => callCut(head + (event + event).slice(0, cut), { end: "reset", isKept: false, repeat: "stream" })),
    );
    t.same(cuts.filter((_, index) => /^HTTP\/1.1 200 /.test(views[index]!.text) && !views[index]!.isReset), []);
});

test("a stream without a length whose reset is read together with its last bytes is reset to its caller, also after a whole event", async t => {
    const head = createSealedHead("cut", "Connection: close");
    for (const sent of [head + event, head + event + event, head + event.slice(0, 5)]) {
        const delivery = await startRealDelivery("stream", ({ socket }) => {
            socket.write(sent);
            socket.resetAndDestroy();
        });
        const views = await Promise.all(Array.from({ length: 20 }, () => delivery.call("cut")));
        for (const view of views) t.ok(view.isReset || !view.text.startsWith("HTTP/1.1 200 "), view.text);
        await delivery.close();
    }
});

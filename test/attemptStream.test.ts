/** Tests reading an attempt's frames: reconnecting after broken connections, unexpected frames and answers that cannot be read. */
import { test } from "tap";
import { AnswerLostError, followAttempt, UnexpectedFrameError } from "../src/entry/attemptStream.js";
import type { Host, IncomingResponse, OutgoingRequest } from "../src/kernel/host.js";
import type { Frame } from "../src/kernel/messages.js";
import { createSimulation } from "../src/standins/fakeHost.js";

const location = { address: "10.0.3.1:7200", incarnation: "i", requestId: "r.0" };
const frames: readonly Frame[] = [
    { kind: "head", requestId: "r.0", sequence: 0, status: 200, contentType: "text/event-stream" },
    { kind: "chunk", requestId: "r.0", sequence: 1, data: "a" },
    { kind: "chunk", requestId: "r.0", sequence: 2, data: "b" },
    { kind: "end", requestId: "r.0", sequence: 3, promptTokens: 1, completionTokens: 2 },
];

function createReply(lines: readonly Frame[], isBroken: boolean): IncomingResponse {
    async function* read(): AsyncGenerator<Uint8Array> {
        for (const frame of lines) yield Buffer.from(`${JSON.stringify(frame)}\n`);
        if (isBroken) throw new Error("connection reset");
    }
    return { status: 200, headers: {}, body: read() };
}

function createHost(respond: (request: OutgoingRequest) => IncomingResponse) {
    const simulation = createSimulation(1);
    const { host } = simulation.createVm("10.0.2.1");
    const requestedPaths: string[] = [];
    const request = (_address: string, outgoing: OutgoingRequest) => {
        requestedPaths.push(outgoing.path);
        return Promise.resolve(respond(outgoing));
    };
    return { simulation, requestedPaths, host: { ...host, network: { ...host.network, request } } as Host };
}

async function collect(host: Host, reply: IncomingResponse | undefined, maxUnreachableMs = 1_000): Promise<readonly Frame[]> {
    const seen: Frame[] = [];
    for await (const frame of followAttempt(host, location, { signal: new AbortController().signal, maxUnreachableMs, reply })) {
        seen.push(frame);
    }
    return seen;
}

test("a broken connection is resumed at the first missing frame", async t => {
    const { simulation, host, requestedPaths } = createHost(() => createReply(frames.slice(2), false));
    t.same(await simulation.runUntil(collect(host, createReply(frames.slice(0, 2), true))), frames);
    t.same(requestedPaths, ["/streams/r.0?from=2&incarnation=i"]);
});

test("frames received twice are yielded once", async t => {
    const { simulation, host } = createHost(() => createReply(frames, false));
    t.same(await simulation.runUntil(collect(host, createReply(frames.slice(0, 3), true))), frames);
});

test("a frame of another request or with a gap in the sequence is rejected", async t => {
    const { simulation, host } = createHost(() => createReply(frames, false));
    const otherRequestFrames = [frames[0]!, { ...frames[1]!, requestId: "other.0" }] as readonly Frame[];
    await t.rejects(simulation.runUntil(collect(host, createReply(otherRequestFrames, false))), UnexpectedFrameError);
    await t.rejects(simulation.runUntil(collect(host, createReply([frames[0]!, frames[2]!], false))), UnexpectedFrameError);
});

test("an unknown request, a restarted agent and an unreachable agent raise AnswerLostError", async t => {
    const unknown = createHost(() => ({ status: 404, headers: {}, body: createReply([], false).body }));
    await t.rejects(unknown.simulation.runUntil(collect(unknown.host, undefined)), /unknownRequest/);
    const restarted = createHost(() => ({ status: 409, headers: {}, body: createReply([], false).body }));
    await t.rejects(restarted.simulation.runUntil(collect(restarted.host, undefined)), /otherIncarnation/);
    const unreachable = createHost(() => {
        throw new Error("no route to host");
    });
    await t.rejects(unreachable.simulation.runUntil(collect(unreachable.host, undefined)), AnswerLostError);
});

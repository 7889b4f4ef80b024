/** Following an attempt over broken connections, and frames that belong to somebody else. */
import { test } from "tap";
import { AnswerLostError, CrossedAnswerError, followAttempt } from "../src/entry/attemptStream.js";
import type { Host, IncomingResponse, OutgoingRequest } from "../src/kernel/host.js";
import type { Frame } from "../src/kernel/messages.js";
import { createSimulation } from "../src/standins/fakeHost.js";

const place = { address: "10.0.3.1:7200", incarnation: "i", requestId: "r.0" };
const frames: readonly Frame[] = [
    { kind: "head", requestId: "r.0", sequence: 0, status: 200, contentType: "text/event-stream" },
    { kind: "chunk", requestId: "r.0", sequence: 1, data: "a" },
    { kind: "chunk", requestId: "r.0", sequence: 2, data: "b" },
    { kind: "end", requestId: "r.0", sequence: 3, promptTokens: 1, completionTokens: 2 },
];

function createReply(lines: readonly Frame[], isBroken: boolean): IncomingResponse {
    async function* read(): AsyncGenerator<Uint8Array> {
        for (const frame of lines) yield Buffer.from(`${JSON.stringify(frame)}\n`);
        if (isBroken) throw new Error("the connection broke");
    }
    return { status: 200, headers: {}, body: read() };
}

function createHost(answer: (request: OutgoingRequest) => IncomingResponse) {
    const world = createSimulation(1);
    const { host } = world.createVm("10.0.2.1");
    const asked: string[] = [];
    const request = (_address: string, outgoing: OutgoingRequest) => {
        asked.push(outgoing.path);
        return Promise.resolve(answer(outgoing));
    };
    return { world, asked, host: { ...host, network: { ...host.network, request } } as Host };
}

async function collect(host: Host, reply: IncomingResponse | undefined, maxUnreachableMs = 1_000): Promise<readonly Frame[]> {
    const seen: Frame[] = [];
    for await (const frame of followAttempt(host, place, { signal: new AbortController().signal, maxUnreachableMs, reply })) {
        seen.push(frame);
    }
    return seen;
}

test("a broken connection is resumed at the frame where it broke", async t => {
    const { world, host, asked } = createHost(() => createReply(frames.slice(2), false));
    t.same(await world.runUntil(collect(host, createReply(frames.slice(0, 2), true))), frames);
    t.same(asked, ["/streams/r.0?from=2&incarnation=i"]);
});

test("frames that come twice are passed on once", async t => {
    const { world, host } = createHost(() => createReply(frames, false));
    t.same(await world.runUntil(collect(host, createReply(frames.slice(0, 3), true))), frames);
});

test("a frame of another request or out of order ends the answer", async t => {
    const { world, host } = createHost(() => createReply(frames, false));
    const foreign = [frames[0]!, { ...frames[1]!, requestId: "other.0" }] as readonly Frame[];
    await t.rejects(world.runUntil(collect(host, createReply(foreign, false))), CrossedAnswerError);
    await t.rejects(world.runUntil(collect(host, createReply([frames[0]!, frames[2]!], false))), CrossedAnswerError);
});

test("an answer that the agent does not hold is lost, and so is one that stays out of reach", async t => {
    const unknown = createHost(() => ({ status: 404, headers: {}, body: createReply([], false).body }));
    await t.rejects(unknown.world.runUntil(collect(unknown.host, undefined)), /unknownRequest/);
    const restarted = createHost(() => ({ status: 409, headers: {}, body: createReply([], false).body }));
    await t.rejects(restarted.world.runUntil(collect(restarted.host, undefined)), /otherIncarnation/);
    const silent = createHost(() => {
        throw new Error("no way");
    });
    await t.rejects(silent.world.runUntil(collect(silent.host, undefined)), AnswerLostError);
});

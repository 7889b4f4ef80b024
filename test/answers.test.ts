/** Tests the answer writers: a retry discards unsent data, and a failed answer is recognizable as incomplete. */
import { test } from "tap";
import { createAnswerWriter } from "../src/entry/answers.js";
import type { AnswerFormat, Exchange } from "../src/entry/types.js";

function createRecordingExchange() {
    const sent = { text: "", isEnded: false, isAborted: false, hasStarted: false };
    const response = {
        get hasStarted() {
            return sent.hasStarted;
        },
        start() {
            sent.hasStarted = true;
        },
        async write(chunk: Uint8Array) {
            sent.text += Buffer.from(chunk).toString("utf8");
        },
        end() {
            sent.isEnded = true;
        },
        abort() {
            sent.isAborted = true;
        },
    };
    return { sent, exchange: { requestId: "r", response } as unknown as Exchange };
}

function createChunk(content: string): string {
    return JSON.stringify({ choices: [{ delta: { content } }] });
}

const end = { kind: "end", requestId: "r.1", sequence: 9, promptTokens: 1, completionTokens: 1 } as const;

test("restarting a writer discards the data of the failed attempt", async t => {
    const chunks: Readonly<Record<Exclude<AnswerFormat, "eventStream">, readonly [string, string]>> = {
        completion: [createChunk("lost"), createChunk("whole")],
        raw: [Buffer.from("lost").toString("base64"), Buffer.from("whole").toString("base64")],
    };
    for (const format of ["completion", "raw"] as const) {
        const { sent, exchange } = createRecordingExchange();
        const writer = createAnswerWriter(exchange, format);
        await writer.chunk(chunks[format][0]);
        writer.restart();
        await writer.chunk(chunks[format][1]);
        await writer.finish(end);
        t.match(sent.text, /whole/);
        t.notMatch(sent.text, /lost/);
    }
});

test("a failed event stream ends with an error event and without [DONE]", async t => {
    const { sent, exchange } = createRecordingExchange();
    const writer = createAnswerWriter(exchange, "eventStream");
    await writer.chunk(createChunk("a"));
    await writer.chunk(createChunk("b"));
    await writer.fail({ kind: "mayHaveRun", code: "outcomeUnknown", detail: "broken" });
    t.match(sent.text, /event: error/);
    t.notMatch(sent.text, /\[DONE\]/);
});

test("a failed raw answer aborts the response instead of ending it", async t => {
    const { sent, exchange } = createRecordingExchange();
    const writer = createAnswerWriter(exchange, "raw");
    await writer.chunk(Buffer.from("a").toString("base64"));
    await writer.chunk(Buffer.from("b").toString("base64"));
    await writer.fail({ kind: "mayHaveRun", code: "outcomeUnknown", detail: "broken" });
    t.match(sent, { isAborted: true, isEnded: false });
});

/** Responses to callers: answers in each format, and RFC 9457 problem details that carry the verdict. */
import { messages } from "../kernel/diagnostics.js";
import type { HttpResponse } from "../kernel/host.js";
import type { Frame } from "../kernel/messages.js";
import { verdictHeaders } from "../kernel/verdict.js";
import type { Verdict } from "../kernel/verdict.js";
import type { AnswerFormat, Exchange } from "./types.js";

/** Writes one answer to the caller. Chunks are passed in order; the answer is complete only after `finish`. */
export interface AnswerWriter {
    /** True once part of the answer was sent to the caller. A retry is no longer possible then. */
    readonly hasStarted: boolean;
    /** Discards the unsent data of an earlier attempt. */
    restart(): void;
    /** Sets the status and content type of the answer. Only the raw format uses them. */
    head(frame: Extract<Frame, { kind: "head"; }>): void;
    chunk(data: string): Promise<void>;
    /** Sends the remaining data and ends the answer. */
    finish(frame: Extract<Frame, { kind: "end"; }>): Promise<void>;
    /** Reports to the caller that the answer is missing or incomplete. */
    fail(verdict: Verdict): Promise<void>;
}

type WriterFactory = (exchange: Exchange) => AnswerWriter;

const factories: Readonly<Record<AnswerFormat, WriterFactory>> = {
    eventStream: createEventStreamWriter,
    completion: createCompletionWriter,
    raw: createRawWriter,
};

/** Creates the writer for an answer format. */
export function createAnswerWriter(exchange: Exchange, format: AnswerFormat): AnswerWriter {
    return factories[format](exchange);
}

/** Wraps a writer so that nothing is sent to the caller until the answer is complete. */
export function createBufferedWriter(writer: AnswerWriter): AnswerWriter {
    let bufferedChunks: string[] = [];
    return {
        get hasStarted() {
            return writer.hasStarted;
        },
        restart() {
            bufferedChunks = [];
        },
        head: frame => writer.head(frame),
        async chunk(data) {
            bufferedChunks.push(data);
        },
        async finish(frame) {
            for (const data of bufferedChunks) await writer.chunk(data);
            await writer.finish(frame);
        },
        fail: verdict => writer.fail(verdict),
    };
}

/**
 * Responds with problem details in the format of RFC 9457. Once a response has started, its connection is aborted instead, so that
 * the caller cannot take it for complete.
 */
export async function sendProblem(response: HttpResponse, requestId: string, verdict: Verdict): Promise<void> {
    if (response.hasStarted) return response.abort();
    const { status } = messages[verdict.code];
    const headers: Record<string, string> = {
        "content-type": "application/problem+json",
        "lovage-verdict": verdictHeaders[verdict.kind],
        "lovage-request-id": requestId,
    };
    if (verdict.retryAfterMs !== undefined) headers["retry-after"] = String(Math.max(1, Math.ceil(verdict.retryAfterMs / 1_000)));
    response.start(status, headers);
    await response.write(Buffer.from(JSON.stringify(createProblem(requestId, verdict))));
    response.end();
}

function createProblem(requestId: string, verdict: Verdict) {
    const { status, title } = messages[verdict.code];
    return {
        type: "about:blank",
        title,
        status,
        code: verdict.code,
        detail: verdict.detail,
        verdict: verdictHeaders[verdict.kind],
        requestId,
    };
}

function createAnswerHeaders(exchange: Exchange, contentType: string): Record<string, string> {
    return { "content-type": contentType, "lovage-verdict": verdictHeaders.ran, "lovage-request-id": exchange.requestId };
}

// The last chunk is withheld until `finish`, which is called when the bill is durable, so that a complete answer is a billed one.
// `settleFinished` limits that wait; billing then continues in the background.
function createEventStreamWriter(exchange: Exchange): AnswerWriter {
    const { response } = exchange;
    let pendingChunk: string | undefined;
    const send = (data: string) => response.write(Buffer.from(`data: ${data}\n\n`));
    return {
        get hasStarted() {
            return response.hasStarted;
        },
        restart() {
            pendingChunk = undefined;
        },
        head: () => undefined,
        async chunk(data) {
            if (!response.hasStarted) {
                response.start(200, { ...createAnswerHeaders(exchange, "text/event-stream"), "cache-control": "no-store" });
            }
            const previousChunk = pendingChunk;
            pendingChunk = data;
            if (previousChunk !== undefined) await send(previousChunk);
        },
        async finish() {
            if (pendingChunk !== undefined) await send(pendingChunk);
            await send("[DONE]");
            response.end();
        },
        async fail(verdict) {
            if (!response.hasStarted) return sendProblem(response, exchange.requestId, verdict);
            await response.write(Buffer.from(`event: error\ndata: ${JSON.stringify(createProblem(exchange.requestId, verdict))}\n\n`));
            response.end();
        },
    };
}

interface CompletionChunk {
    readonly id?: string;
    readonly created?: number;
    readonly model?: string;
    readonly choices?: readonly {
        readonly delta?: { readonly content?: string; };
        readonly finish_reason?: string;
    }[];
}

function createCompletionWriter(exchange: Exchange): AnswerWriter {
    const { response } = exchange;
    let contentParts: string[] = [];
    let firstChunk: CompletionChunk | undefined;
    let finishReason = "stop";
    return {
        get hasStarted() {
            return response.hasStarted;
        },
        restart() {
            contentParts = [];
            firstChunk = undefined;
            finishReason = "stop";
        },
        head: () => undefined,
        async chunk(data) {
            const chunk = JSON.parse(data) as CompletionChunk;
            firstChunk ??= chunk;
            const choice = chunk.choices?.[0];
            if (choice?.delta?.content) contentParts.push(choice.delta.content);
            if (choice?.finish_reason) finishReason = choice.finish_reason;
        },
        async finish(frame) {
            const completion = {
                id: firstChunk?.id ?? exchange.requestId,
                object: "chat.completion",
                created: firstChunk?.created ?? 0,
                model: firstChunk?.model ?? exchange.parsed?.model,
                choices: [{ index: 0, message: { role: "assistant", content: contentParts.join("") }, finish_reason: finishReason }],
                usage: {
                    prompt_tokens: frame.promptTokens,
                    completion_tokens: frame.completionTokens,
                    total_tokens: frame.promptTokens + frame.completionTokens,
                },
            };
            const body = Buffer.from(JSON.stringify(completion));
            response.start(200, { ...createAnswerHeaders(exchange, "application/json"), "content-length": String(body.length) });
            await response.write(body);
            response.end();
        },
        fail: verdict => sendProblem(response, exchange.requestId, verdict),
    };
}

// The length is not known in advance, so the response is chunked. An incomplete answer is aborted without the final chunk.
function createRawWriter(exchange: Exchange): AnswerWriter {
    const { response } = exchange;
    let head: Extract<Frame, { kind: "head"; }> | undefined;
    let pendingChunk: Buffer | undefined;
    const startResponse = () => {
        if (!response.hasStarted) {
            response.start(head?.status ?? 200, createAnswerHeaders(exchange, head?.contentType ?? "application/octet-stream"));
        }
    };
    return {
        get hasStarted() {
            return response.hasStarted;
        },
        restart() {
            head = undefined;
            pendingChunk = undefined;
        },
        head(frame) {
            head = frame;
        },
        async chunk(data) {
            const previousChunk = pendingChunk;
            pendingChunk = Buffer.from(data, "base64");
            if (previousChunk === undefined) return;
            startResponse();
            await response.write(previousChunk);
        },
        async finish() {
            startResponse();
            if (pendingChunk !== undefined) await response.write(pendingChunk);
            response.end();
        },
        async fail(verdict) {
            if (response.hasStarted) return response.abort();
            await sendProblem(response, exchange.requestId, verdict);
        },
    };
}

/** Callers of a fleet: they send requests, read the responses to the end and record the results. */
import type { Host } from "../src/kernel/host.js";
import { NotSentError } from "../src/kernel/host.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll } from "../src/kernel/tasks.js";
import { getExpectedAnswer } from "../src/standins/modelEngine.js";
import { getApiKey } from "./fleet.js";

/** A chat request of a caller. */
export interface CallerRequest {
    readonly clientAccount: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly isStreamed?: boolean;
    readonly idempotencyKey?: string;
    readonly timeoutMs?: number;
    readonly model?: string;
}

/** Result of a chat request, as its caller saw it. */
export interface CallerRecord {
    readonly status: number;
    readonly verdict: string;
    /** Problem code of the response, `ok`, or `cut` when the answer ended early. */
    readonly code: string;
    readonly requestId: string;
    /** True when the whole answer arrived. */
    readonly isComplete: boolean;
    /** True when the answer is complete and is the one that the stand-in engine gives to this prompt. */
    readonly isCorrect: boolean;
    readonly billedTokens: number;
    /** Time from sending the request to the first token. */
    readonly firstTokenMs: number | undefined;
    readonly durationMs: number;
    /** Time between successive chunks of the response body. */
    readonly interChunkLatenciesMs: readonly number[];
}

/** Sends a chat request and reads its answer. */
export async function sendChat(host: Host, address: string, request: CallerRequest): Promise<CallerRecord> {
    const startedAtMs = host.clock.nowMs();
    const body = {
        model: request.model ?? "lovage-pool",
        messages: [{ role: "user", content: request.prompt }],
        max_tokens: request.maxTokens,
        stream: request.isStreamed === true,
    };
    const headers: Record<string, string> = {
        "authorization": `Bearer ${getApiKey(request.clientAccount)}`,
        "content-type": "application/json",
    };
    if (request.idempotencyKey !== undefined) headers["idempotency-key"] = request.idempotencyKey;
    if (request.timeoutMs !== undefined) headers["lovage-timeout-ms"] = String(request.timeoutMs);
    const response: ResponseState = {
        status: 0,
        verdict: "unknown",
        requestId: "",
        text: "",
        firstTokenMs: undefined,
        interChunkLatenciesMs: [],
        isInterrupted: false,
    };
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: "/v1/chat/completions",
            headers,
            body: Buffer.from(JSON.stringify(body)),
        });
        response.status = reply.status;
        response.verdict = reply.headers["lovage-verdict"] ?? "unknown";
        response.requestId = reply.headers["lovage-request-id"] ?? "";
        await readResponseBody(host, reply.body, startedAtMs, response);
    }
    catch (error) {
        response.isInterrupted = true;
        if (error instanceof NotSentError) response.verdict = "not-run";
    }
    return createRecord(request, response, host.clock.nowMs() - startedAtMs);
}

interface ResponseState {
    status: number;
    verdict: string;
    requestId: string;
    text: string;
    firstTokenMs: number | undefined;
    interChunkLatenciesMs: number[];
    /** True when the request or the connection failed before the response ended. */
    isInterrupted: boolean;
}

async function readResponseBody(
    host: Host,
    chunks: AsyncIterable<Uint8Array>,
    startedAtMs: number,
    response: ResponseState,
): Promise<void> {
    let lastChunkMs = startedAtMs;
    for await (const chunk of chunks) {
        const nowMs = host.clock.nowMs();
        if (response.firstTokenMs === undefined) response.firstTokenMs = nowMs - startedAtMs;
        else response.interChunkLatenciesMs.push(nowMs - lastChunkMs);
        lastChunkMs = nowMs;
        response.text += Buffer.from(chunk).toString("utf8");
    }
}

interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
}

function createRecord(request: CallerRequest, response: ResponseState, durationMs: number): CallerRecord {
    const answer = response.status !== 200 ? undefined : request.isStreamed === true ? parseStream(response) : parseCompletion(response);
    const isComplete = !response.isInterrupted && answer !== undefined;
    const problem = response.status === 200 || response.isInterrupted ? undefined : JSON.parse(response.text) as { code?: string; };
    return {
        status: response.status,
        verdict: response.isInterrupted && response.verdict === "ran" ? "may-have-run" : response.verdict,
        code: problem?.code ?? (isComplete ? "ok" : "cut"),
        requestId: response.requestId,
        isComplete,
        isCorrect: isComplete && answer.content === getExpectedAnswer(request.prompt, request.maxTokens),
        billedTokens: isComplete ? answer.usage.prompt_tokens + answer.usage.completion_tokens : 0,
        firstTokenMs: isComplete ? response.firstTokenMs : undefined,
        durationMs,
        interChunkLatenciesMs: response.interChunkLatenciesMs,
    };
}

interface Answer {
    readonly content: string;
    readonly usage: Usage;
}

function parseCompletion(response: ResponseState): Answer | undefined {
    if (response.isInterrupted) return undefined;
    const completion = JSON.parse(response.text) as { choices: { message: { content: string; }; }[]; usage: Usage; };
    return { content: completion.choices[0]!.message.content, usage: completion.usage };
}

function parseStream(response: ResponseState): Answer | undefined {
    const events = response.text.split("\n\n").filter(event => event !== "");
    if (events.at(-1) !== "data: [DONE]" || events.some(event => event.startsWith("event: error"))) return undefined;
    const chunks = events.slice(0, -1).map(event =>
        JSON.parse(event.slice("data: ".length)) as { choices: { delta: { content?: string; }; }[]; usage?: Usage; }
    );
    const usage = chunks.findLast(chunk => chunk.usage !== undefined)?.usage;
    if (usage === undefined) return undefined;
    return { content: chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join(""), usage };
}

/** Result of a request to a plain service, as its caller saw it. */
export interface ServiceRecord {
    readonly status: number;
    readonly verdict: string;
    readonly body: string;
}

/** Sends an order to the plain service. */
export async function sendOrder(
    host: Host,
    address: string,
    clientAccount: string,
    body: string,
    idempotencyKey?: string,
    signal?: AbortSignal,
): Promise<ServiceRecord> {
    const headers: Record<string, string> = { authorization: `Bearer ${getApiKey(clientAccount)}` };
    if (idempotencyKey !== undefined) headers["idempotency-key"] = idempotencyKey;
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: "/services/shopdesk/orders",
            headers,
            body: Buffer.from(body),
            signal,
        });
        const verdict = reply.headers["lovage-verdict"] ?? "unknown";
        const text = Buffer.from(await readAll(reply.body, maxMessageBytes.answer)).toString("utf8");
        return { status: reply.status, verdict, body: text };
    }
    catch (error) {
        return { status: 0, verdict: error instanceof NotSentError ? "not-run" : "may-have-run", body: "" };
    }
}

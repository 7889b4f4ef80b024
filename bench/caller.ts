/** Callers of a fake fleet: they send requests, read answers to the end, and keep what they saw. */
import type { Host } from "../src/kernel/host.js";
import { NotSentError } from "../src/kernel/host.js";
import { readAll } from "../src/kernel/tasks.js";
import { getExpectedAnswer } from "../src/standins/modelEngine.js";
import { getKey } from "./fleet.js";

/** One request of a caller. */
export interface CallerRequest {
    readonly clientAccount: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly isStreamed?: boolean;
    readonly idempotencyKey?: string;
    readonly timeoutMs?: number;
    readonly model?: string;
}

/** What a caller saw. */
export interface CallerRecord {
    readonly status: number;
    readonly verdict: string;
    readonly code: string;
    readonly requestId: string;
    /** True when the answer came whole. */
    readonly isWhole: boolean;
    /** True when the answer is the one that belongs to the prompt. */
    readonly isRight: boolean;
    readonly billedTokens: number;
    readonly firstTokenMs: number | undefined;
    readonly durationMs: number;
    readonly tokenGapsMs: readonly number[];
}

/** Sends one chat request and reads its answer. */
export async function sendChat(host: Host, address: string, request: CallerRequest): Promise<CallerRecord> {
    const startedAtMs = host.clock.nowMs();
    const body = {
        model: request.model ?? "lovage-pool",
        messages: [{ role: "user", content: request.prompt }],
        max_tokens: request.maxTokens,
        stream: request.isStreamed === true,
    };
    const headers: Record<string, string> = {
        "authorization": `Bearer ${getKey(request.clientAccount)}`,
        "content-type": "application/json",
    };
    if (request.idempotencyKey !== undefined) headers["idempotency-key"] = request.idempotencyKey;
    if (request.timeoutMs !== undefined) headers["lovage-timeout-ms"] = String(request.timeoutMs);
    const seen: Seen = { status: 0, verdict: "unknown", requestId: "", text: "", firstTokenMs: undefined, gapsMs: [], isCut: false };
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: "/v1/chat/completions",
            headers,
            body: Buffer.from(JSON.stringify(body)),
        });
        seen.status = reply.status;
        seen.verdict = reply.headers["lovage-verdict"] ?? "unknown";
        seen.requestId = reply.headers["lovage-request-id"] ?? "";
        await readBody(host, reply.body, startedAtMs, seen);
    }
    catch (error) {
        seen.isCut = true;
        if (error instanceof NotSentError) seen.verdict = "not-run";
    }
    return toRecord(request, seen, host.clock.nowMs() - startedAtMs);
}

interface Seen {
    status: number;
    verdict: string;
    requestId: string;
    text: string;
    firstTokenMs: number | undefined;
    gapsMs: number[];
    isCut: boolean;
}

async function readBody(host: Host, chunks: AsyncIterable<Uint8Array>, startedAtMs: number, seen: Seen): Promise<void> {
    let lastMs = startedAtMs;
    for await (const chunk of chunks) {
        const nowMs = host.clock.nowMs();
        if (seen.firstTokenMs === undefined) seen.firstTokenMs = nowMs - startedAtMs;
        else seen.gapsMs.push(nowMs - lastMs);
        lastMs = nowMs;
        seen.text += Buffer.from(chunk).toString("utf8");
    }
}

interface Usage {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
}

function toRecord(request: CallerRequest, seen: Seen, durationMs: number): CallerRecord {
    const answer = seen.status !== 200 ? undefined : request.isStreamed === true ? readStream(seen) : readCompletion(seen);
    const isWhole = !seen.isCut && answer !== undefined;
    const problem = seen.status === 200 || seen.isCut ? undefined : JSON.parse(seen.text) as { code?: string; };
    return {
        status: seen.status,
        verdict: seen.isCut && seen.verdict === "ran" ? "may-have-run" : seen.verdict,
        code: problem?.code ?? (isWhole ? "ok" : "cut"),
        requestId: seen.requestId,
        isWhole,
        isRight: isWhole && answer.content === getExpectedAnswer(request.prompt, request.maxTokens),
        billedTokens: isWhole ? answer.usage.prompt_tokens + answer.usage.completion_tokens : 0,
        firstTokenMs: isWhole ? seen.firstTokenMs : undefined,
        durationMs,
        tokenGapsMs: seen.gapsMs,
    };
}

interface Answer {
    readonly content: string;
    readonly usage: Usage;
}

function readCompletion(seen: Seen): Answer | undefined {
    if (seen.isCut) return undefined;
    const completion = JSON.parse(seen.text) as { choices: { message: { content: string; }; }[]; usage: Usage; };
    return { content: completion.choices[0]!.message.content, usage: completion.usage };
}

function readStream(seen: Seen): Answer | undefined {
    const events = seen.text.split("\n\n").filter(event => event !== "");
    if (events.at(-1) !== "data: [DONE]" || events.some(event => event.startsWith("event: error"))) return undefined;
    const chunks = events.slice(0, -1).map(event =>
        JSON.parse(event.slice("data: ".length)) as { choices: { delta: { content?: string; }; }[]; usage?: Usage; }
    );
    const usage = chunks.findLast(chunk => chunk.usage !== undefined)?.usage;
    if (usage === undefined) return undefined;
    return { content: chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join(""), usage };
}

/** What a caller of a plain service saw. */
export interface ServiceRecord {
    readonly status: number;
    readonly verdict: string;
    readonly body: string;
}

/** Sends one request to the order desk. */
export async function sendOrder(
    host: Host,
    address: string,
    clientAccount: string,
    body: string,
    idempotencyKey?: string,
): Promise<ServiceRecord> {
    const headers: Record<string, string> = { authorization: `Bearer ${getKey(clientAccount)}` };
    if (idempotencyKey !== undefined) headers["idempotency-key"] = idempotencyKey;
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: "/services/shopdesk/orders",
            headers,
            body: Buffer.from(body),
        });
        const verdict = reply.headers["lovage-verdict"] ?? "unknown";
        const text = Buffer.from(await readAll(reply.body)).toString("utf8");
        return { status: reply.status, verdict, body: text };
    }
    catch (error) {
        return { status: 0, verdict: error instanceof NotSentError ? "not-run" : "may-have-run", body: "" };
    }
}

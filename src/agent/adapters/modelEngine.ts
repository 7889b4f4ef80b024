/** Adapter for a model engine with the OpenAI chat completions API. It always requests a streamed response with usage. */
import { createParser } from "eventsource-parser";
import { z } from "zod";
import { NotSentError } from "../../kernel/host.js";
import type { Host, IncomingResponse } from "../../kernel/host.js";
import type { EngineOrder } from "../../kernel/messages.js";
import { maxMessageBytes } from "../../kernel/readLimits.js";
import { getErrorText, readAll, readStart } from "../../kernel/tasks.js";
import type { Address, TokenUsage } from "../../kernel/types.js";
import type { BackendServerAdapter, BackendServerLoad, ResponseSink, RunOutcome } from "../types.js";

const loadSchema = z.object({
    runningRequests: z.number(),
    queuedRequests: z.number(),
    tokensPerSecond: z.number(),
});
const cacheEventsSchema = z.object({ next: z.number(), added: z.array(z.string()), removed: z.array(z.string()) });
const tokenCountSchema = z.object({ count: z.number().int().nonnegative() });
const usageSchema = z.object({ prompt_tokens: z.number(), completion_tokens: z.number() });
const chunkSchema = z.object({
    choices: z.array(z.object({ delta: z.object({ content: z.string().nullish() }).nullish() })).nullish(),
    usage: usageSchema.nullish(),
});

const enginePriorities = { interactive: 0, batch: 1 } as const;
const serverErrorStatus = 500;
/** Beginning of an error answer that is passed on with its status. */
const maxDetailBytes = 200;

/** Creates an adapter for the engine at an address. */
export function createModelEngineAdapter(host: Host, address: Address): BackendServerAdapter {
    let cacheEventCursor = 0;
    return {
        async run(dispatch, body, signal, sink) {
            const sent: Record<string, unknown> = JSON.parse(Buffer.from(body).toString("utf8"));
            const request = {
                ...sent,
                stream: true,
                stream_options: { include_usage: true },
                max_tokens: dispatch.maxCompletionTokens,
                priority: enginePriorities[dispatch.serviceClass],
            };
            const progress = { promptTokens: 0, completionTokens: 0 };
            try {
                const reply = await host.network.request(address, {
                    method: "POST",
                    path: "/v1/chat/completions",
                    headers: { "content-type": "application/json", "x-request-id": dispatch.requestId },
                    body: Buffer.from(JSON.stringify(request)),
                    signal,
                });
                if (reply.status !== 200) return await toFailedOutcome(reply);
                sink.head(200, "text/event-stream");
                return await readEvents(reply, sink, progress, signal);
            }
            catch (error) {
                if (signal.aborted) return { kind: "stopped", usage: progress };
                if (error instanceof NotSentError) return { kind: "notRun", detail: error.message };
                return { kind: "broken", detail: getErrorText(error) };
            }
        },
        async refreshLoad() {
            const [load, cache] = await Promise.all([
                getJson(host, address, "/load", loadSchema),
                getJson(host, address, `/cache-events?after=${cacheEventCursor}`, cacheEventsSchema),
            ]);
            cacheEventCursor = cache.next;
            return { ...load, isHealthy: true, cacheAdded: cache.added, cacheRemoved: cache.removed };
        },
        async countPromptTokens(body) {
            const { model, messages } = JSON.parse(body) as { model: unknown; messages: unknown; };
            const reply = await host.network.request(address, {
                method: "POST",
                path: "/tokenize",
                headers: { "content-type": "application/json" },
                body: Buffer.from(JSON.stringify({ model, messages })),
            });
            const counted = tokenCountSchema.safeParse(
                JSON.parse(Buffer.from(await readAll(reply.body, maxMessageBytes.shortReply)).toString("utf8")),
            );
            return reply.status === 200 && counted.success ? counted.data.count : undefined;
        },
        applyOrder: order => sendOrder(host, address, order),
    };
}

async function toFailedOutcome(reply: IncomingResponse): Promise<RunOutcome> {
    const text = Buffer.from(await readStart(reply.body, maxDetailBytes)).toString("utf8");
    const kind = reply.status >= serverErrorStatus && reply.status !== 503 ? "broken" : "refused";
    return { kind, detail: `status ${reply.status}: ${text}` };
}

async function readEvents(
    reply: IncomingResponse,
    sink: ResponseSink,
    progress: { promptTokens: number; completionTokens: number; },
    signal: AbortSignal,
): Promise<RunOutcome> {
    let usage: TokenUsage | undefined;
    let isDone = false;
    let events: string[] = [];
    const parser = createParser({ onEvent: event => events.push(event.data) });
    const decoder = new TextDecoder();
    let bytesSinceEvent = 0;
    for await (const bytes of reply.body) {
        parser.feed(decoder.decode(bytes, { stream: true }));
        bytesSinceEvent = events.length > 0 ? 0 : bytesSinceEvent + bytes.length;
        if (bytesSinceEvent > maxMessageBytes.event) {
            return { kind: "broken", detail: `an event is larger than ${maxMessageBytes.event} bytes` };
        }
        const arrived = events;
        events = [];
        for (const data of arrived) {
            if (data === "[DONE]") {
                isDone = true;
                continue;
            }
            const chunk = chunkSchema.parse(JSON.parse(data));
            if (chunk.usage) usage = { promptTokens: chunk.usage.prompt_tokens, completionTokens: chunk.usage.completion_tokens };
            if (chunk.choices?.[0]?.delta?.content) progress.completionTokens++;
            await sink.chunk(data);
        }
        if (signal.aborted) return { kind: "stopped", usage: progress };
    }
    if (signal.aborted) return { kind: "stopped", usage: progress };
    if (!isDone || usage === undefined) return { kind: "broken", detail: "the event stream ended without usage or [DONE]" };
    return { kind: "finished", usage };
}

async function getJson<T>(host: Host, address: Address, path: string, schema: z.ZodType<T>): Promise<T> {
    const reply = await host.network.request(address, { method: "GET", path });
    return schema.parse(JSON.parse(Buffer.from(await readAll(reply.body, maxMessageBytes.loadReport)).toString("utf8")));
}

/** Sends an order to an engine. Resolves to true if the engine carried it out. */
export async function sendOrder(host: Host, address: Address, order: EngineOrder): Promise<boolean> {
    const body = Buffer.from(JSON.stringify({ action: order.action, artifact: order.artifact, fencingNumber: order.epoch }));
    const reply = await host.network.request(address, {
        method: "POST",
        path: "/orders",
        headers: { "content-type": "application/json" },
        body,
    });
    await readAll(reply.body, maxMessageBytes.shortReply);
    return reply.status === 200;
}

/** Load to report for a backend server that does not respond. */
export function createUnhealthyLoad(): BackendServerLoad {
    return {
        isHealthy: false,
        runningRequests: 0,
        queuedRequests: 0,
        tokensPerSecond: 0,
        cacheAdded: [],
        cacheRemoved: [],
    };
}

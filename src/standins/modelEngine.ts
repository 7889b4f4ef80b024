/**
 * Stand-in for a model engine that speaks the OpenAI chat completions format: continuous batching with a
 * queue by priority, a prefix cache with limited memory, late and gappy cache events, lagged load reports,
 * orders with or without fencing, and a prompt that crashes it. Seeded, and on the host's time.
 */
import { getSha256 } from "../kernel/digest.js";
import type { Host, HttpHandler, HttpRequest, HttpResponse } from "../kernel/host.js";
import { getPrefixHashes, prefixBlockChars } from "../kernel/prefix.js";
import { sleep } from "../kernel/tasks.js";

/** Speeds and limits of an engine. */
export interface ModelEngineOptions {
    readonly model: string;
    readonly maxConcurrent: number;
    readonly maxQueued: number;
    readonly prefillTokensPerSecond: number;
    readonly stepMs: number;
    /** Added to a step for each sequence that runs. */
    readonly stepMsPerSequence: number;
    readonly tokensPerChunk: number;
    readonly maxCachedPrefixes: number;
    readonly loadLagMs: number;
    readonly cacheEventLagMs: number;
    readonly cacheEventLossShare: number;
    readonly checksFencing: boolean;
    readonly restartMs: number;
}

/** Defaults of a small engine. */
export const defaultEngineOptions: ModelEngineOptions = {
    model: "lovage-pool",
    maxConcurrent: 8,
    maxQueued: 64,
    prefillTokensPerSecond: 8_000,
    stepMs: 15,
    stepMsPerSequence: 1,
    tokensPerChunk: 1,
    maxCachedPrefixes: 512,
    loadLagMs: 200,
    cacheEventLagMs: 500,
    cacheEventLossShare: 0.1,
    checksFencing: true,
    restartMs: 2_000,
};

/** One line of the engine's run log. */
export interface EngineRun {
    readonly requestId: string;
    readonly promptDigest: string;
    readonly startedAtMs: number;
    readonly state: "running" | "finished" | "stopped" | "crashed";
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly cachedTokens: number;
}

/** A stand-in engine. */
export interface ModelEngine {
    readonly handle: HttpHandler;
    readonly runs: ReadonlyMap<string, EngineRun>;
    readonly loadedArtifacts: ReadonlySet<string>;
    isUp(): boolean;
    getCrashCount(): number;
    /** Accepts requests and never answers, while true. */
    setHung(isGrey: boolean): void;
    /** Time that one sequence after another would need for all that is here. */
    getOutstandingWorkMs(): number;
}

/** Text in a prompt that crashes the engine. */
export const crashMarker = "CRASH-ENGINE";
const charsPerToken = 4;
const tokensPerMessage = 4;
const minAnswerTokens = 8;
const answerTokensRange = 48;
const lengthPattern = /length:(\d+)/;

interface Sequence {
    readonly requestId: string;
    readonly request: HttpRequest;
    readonly response: HttpResponse;
    readonly priority: number;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    readonly answerTokens: number;
    readonly finishReason: "stop" | "length";
    readonly contentKey: string;
    readonly isCrashing: boolean;
    readonly finished: () => void;
    state: "queued" | "running" | "done";
    prefillLeftMs: number;
    sentTokens: number;
}

interface LoadSample {
    readonly atMs: number;
    readonly runningRequests: number;
    readonly queuedRequests: number;
    readonly queuedTokens: number;
}

interface CacheEvent {
    readonly visibleAtMs: number;
    readonly kind: "added" | "removed";
    readonly hash: string;
}

/** Prompt tokens of a text, as this engine counts them. */
export function countPromptTokens(messages: readonly { readonly content?: unknown; }[]): number {
    const chars = messages.reduce((sum, message) => sum + getContent(message.content).length, 0);
    return Math.ceil(chars / charsPerToken) + messages.length * tokensPerMessage;
}

/** The whole answer that this engine gives to a prompt, so that a test knows what its caller must receive. */
export function getExpectedAnswer(prompt: string, maxTokens: number): string {
    const contentKey = getContentKey(prompt);
    const count = Math.min(maxTokens, getAnswerTokens(prompt, contentKey));
    return Array.from({ length: count }, (_, position) => getToken(contentKey, position)).join("");
}

/** Creates an engine. */
export function createModelEngine(host: Host, overrides: Partial<ModelEngineOptions> = {}): ModelEngine {
    const options = { ...defaultEngineOptions, ...overrides };
    const runs = new Map<string, EngineRun>();
    const artifacts = new Set<string>();
    const cache = new Map<string, true>();
    let queue: Sequence[] = [];
    let running: Sequence[] = [];
    let samples: LoadSample[] = [];
    let events: CacheEvent[] = [];
    let highestFence = -1;
    let isStepping = false;
    let isDown = false;
    let isGrey = false;
    let crashCount = 0;

    return {
        runs,
        loadedArtifacts: artifacts,
        isUp: () => !isDown,
        getCrashCount: () => crashCount,
        setHung(value) {
            isGrey = value;
        },
        getOutstandingWorkMs,
        async handle(request, response) {
            if (isDown) return response.abort();
            const path = request.path.split("?", 1)[0];
            if (path === "/v1/chat/completions" && request.method === "POST") return complete(request, response);
            if (path === "/tokenize" && request.method === "POST") return sendJson(response, 200, { count: countTokens(request) });
            if (path === "/load") return sendJson(response, 200, getLaggedLoad());
            if (path === "/cache-events") return sendJson(response, 200, takeCacheEvents(request.path));
            if (path === "/orders" && request.method === "POST") return onOrder(request, response);
            if (path === "/kv/export") return sendJson(response, 200, { prefixes: [...cache.keys()] });
            if (path === "/kv/import" && request.method === "POST") return onImport(request, response);
            return sendJson(response, 404, { error: "unknown path" });
        },
    };

    function countTokens(request: HttpRequest): number {
        const { messages } = JSON.parse(Buffer.from(request.body).toString("utf8")) as { messages: { content?: unknown; }[]; };
        return countPromptTokens(messages);
    }

    function getOutstandingWorkMs(): number {
        const decodeMs = (sequence: Sequence) => (sequence.answerTokens - sequence.sentTokens) * options.stepMs / options.maxConcurrent;
        const waitingMs = queue.reduce(
            (sum, sequence) => sum + sequence.promptTokens / options.prefillTokensPerSecond * 1_000 + decodeMs(sequence),
            0,
        );
        return running.reduce((sum, sequence) => sum + sequence.prefillLeftMs + decodeMs(sequence), waitingMs);
    }

    async function complete(request: HttpRequest, response: HttpResponse): Promise<void> {
        if (isGrey) return new Promise(resolve => request.signal.addEventListener("abort", () => resolve()));
        if (queue.length >= options.maxQueued) return sendJson(response, 503, { error: "the queue is full" });
        const body = JSON.parse(Buffer.from(request.body).toString("utf8")) as {
            messages: { content?: unknown; }[];
            max_tokens?: number;
            priority?: number;
        };
        const prompt = body.messages.map(message => getContent(message.content)).join("\n");
        const contentKey = getContentKey(prompt);
        const wholeTokens = getAnswerTokens(prompt, contentKey);
        const answerTokens = Math.min(body.max_tokens ?? answerTokensRange, wholeTokens);
        await new Promise<void>(finished => {
            queue.push({
                requestId: request.headers["x-request-id"] ?? host.random.nextId(),
                request,
                response,
                priority: body.priority ?? 0,
                promptTokens: countPromptTokens(body.messages),
                prefixHashes: getPrefixHashes(prompt),
                answerTokens,
                finishReason: answerTokens < wholeTokens ? "length" : "stop",
                contentKey,
                isCrashing: prompt.includes(crashMarker),
                finished,
                state: "queued",
                prefillLeftMs: 0,
                sentTokens: 0,
            });
            if (!isStepping) void stepTask();
        });
    }

    async function stepTask(): Promise<void> {
        isStepping = true;
        while (queue.length + running.length > 0 && !isDown) {
            admit();
            const stepMs = options.stepMs + options.stepMsPerSequence * running.length;
            await sleep(host.timers, stepMs);
            if (isDown) break;
            step(stepMs);
            noteLoad();
        }
        isStepping = false;
    }

    function admit(): void {
        for (const sequence of queue.filter(waiting => waiting.request.signal.aborted)) finish(sequence, "stopped");
        queue = queue.filter(waiting => waiting.state === "queued");
        queue.sort((a, b) => a.priority - b.priority);
        while (running.length < options.maxConcurrent && queue.length > 0) start(queue.shift()!);
    }

    function start(sequence: Sequence): void {
        const cachedBlocks = sequence.prefixHashes.findLastIndex(hash => cache.has(hash)) + 1;
        const cachedTokens = Math.min(sequence.promptTokens, cachedBlocks * prefixBlockChars / charsPerToken);
        sequence.state = "running";
        sequence.prefillLeftMs = (sequence.promptTokens - cachedTokens) / options.prefillTokensPerSecond * 1_000;
        running.push(sequence);
        runs.set(sequence.requestId, {
            requestId: sequence.requestId,
            promptDigest: sequence.contentKey,
            startedAtMs: host.clock.nowMs(),
            state: "running",
            promptTokens: sequence.promptTokens,
            completionTokens: 0,
            cachedTokens,
        });
        for (const hash of sequence.prefixHashes) addToCache(hash);
    }

    // Prefill goes on for one sequence after another; those past it give one token each.
    function step(stepMs: number): void {
        if (running.some(sequence => sequence.isCrashing)) return crash();
        let prefillMs = stepMs;
        for (const sequence of [...running]) {
            if (sequence.request.signal.aborted) {
                finish(sequence, "stopped");
                continue;
            }
            const usedMs = Math.min(prefillMs, sequence.prefillLeftMs);
            sequence.prefillLeftMs -= usedMs;
            prefillMs -= usedMs;
            if (sequence.prefillLeftMs <= 0) giveTokens(sequence);
        }
        running = running.filter(sequence => sequence.state === "running");
    }

    function giveTokens(sequence: Sequence): void {
        const { response, contentKey, requestId } = sequence;
        if (!response.hasStarted) response.start(200, { "content-type": "text/event-stream" });
        const from = sequence.sentTokens;
        sequence.sentTokens = Math.min(sequence.answerTokens, from + 1);
        const isDue = sequence.sentTokens % options.tokensPerChunk === 0 || sequence.sentTokens === sequence.answerTokens;
        if (!isDue) return;
        const first = sequence.sentTokens - ((sequence.sentTokens - 1) % options.tokensPerChunk) - 1;
        const text = Array.from({ length: sequence.sentTokens - first }, (_, offset) => getToken(contentKey, first + offset)).join("");
        const isLast = sequence.sentTokens === sequence.answerTokens;
        void response.write(
            Buffer.from(
                createEvent(requestId, {
                    choices: [{ index: 0, delta: { content: text }, finish_reason: isLast ? sequence.finishReason : undefined }],
                }),
            ),
        );
        if (isLast) finish(sequence, "finished");
    }

    function createEvent(requestId: string, fields: object): string {
        const event = { id: `chatcmpl-${requestId}`, object: "chat.completion.chunk", created: 0, model: options.model, ...fields };
        return `data: ${JSON.stringify(event)}\n\n`;
    }

    function finish(sequence: Sequence, state: "finished" | "stopped" | "crashed"): void {
        const { requestId, response, promptTokens, sentTokens } = sequence;
        sequence.state = "done";
        const run = runs.get(requestId);
        if (run !== undefined) runs.set(requestId, { ...run, state, completionTokens: sentTokens });
        if (state === "finished") {
            const usage = { prompt_tokens: promptTokens, completion_tokens: sentTokens, total_tokens: promptTokens + sentTokens };
            void response.write(Buffer.from(`${createEvent(requestId, { choices: [], usage })}data: [DONE]\n\n`));
            response.end();
        }
        else response.abort();
        sequence.finished();
    }

    function crash(): void {
        isDown = true;
        crashCount++;
        const inFlight = [...running, ...queue];
        running = [];
        queue = [];
        cache.clear();
        events = [];
        for (const sequence of inFlight) finish(sequence, "crashed");
        host.timers.after(options.restartMs, () => {
            isDown = false;
        });
    }

    function addToCache(hash: string): void {
        const isNew = !cache.delete(hash);
        cache.set(hash, true);
        if (isNew) noteCacheEvent("added", hash);
        if (cache.size <= options.maxCachedPrefixes) return;
        const oldest = cache.keys().next().value!;
        cache.delete(oldest);
        noteCacheEvent("removed", oldest);
    }

    function noteCacheEvent(kind: CacheEvent["kind"], hash: string): void {
        if (host.random.nextFloat() < options.cacheEventLossShare) return;
        events.push({ visibleAtMs: host.clock.nowMs() + options.cacheEventLagMs, kind, hash });
        if (events.length > maxEvents) events = events.slice(-maxEvents);
    }

    function takeCacheEvents(path: string) {
        const nowMs = host.clock.nowMs();
        const after = Number(new URL(path, "http://engine").searchParams.get("after") ?? 0);
        const visible = events.filter(event => event.visibleAtMs > after && event.visibleAtMs <= nowMs);
        const pick = (kind: CacheEvent["kind"]) => visible.filter(event => event.kind === kind).map(event => event.hash);
        return { next: nowMs, added: pick("added"), removed: pick("removed") };
    }

    function noteLoad(): void {
        const atMs = host.clock.nowMs();
        const queuedTokens = queue.reduce((sum, sequence) => sum + sequence.promptTokens, 0);
        samples.push({ atMs, runningRequests: running.length, queuedRequests: queue.length, queuedTokens });
        if (samples.length > maxSamples) samples = samples.slice(-maxSamples / 2);
    }

    function getLaggedLoad() {
        const asOfMs = host.clock.nowMs() - options.loadLagMs;
        const sample = samples.findLast(candidate => candidate.atMs <= asOfMs);
        const isIdle = running.length + queue.length === 0 && (samples.at(-1)?.atMs ?? 0) <= asOfMs;
        const { runningRequests, queuedRequests, queuedTokens } = isIdle || sample === undefined
            ? { runningRequests: 0, queuedRequests: 0, queuedTokens: 0 }
            : sample;
        return { runningRequests, queuedRequests, queuedTokens, tokensPerSecond: options.prefillTokensPerSecond };
    }

    async function onOrder(request: HttpRequest, response: HttpResponse): Promise<void> {
        const order = JSON.parse(Buffer.from(request.body).toString("utf8")) as {
            action: string;
            artifact: string;
            fencingNumber: number;
        };
        if (options.checksFencing && order.fencingNumber < highestFence) return sendJson(response, 409, { error: "an old fencing number" });
        highestFence = Math.max(highestFence, order.fencingNumber);
        if (order.action === "load") artifacts.add(order.artifact);
        else artifacts.delete(order.artifact);
        return sendJson(response, 200, { loaded: [...artifacts] });
    }

    async function onImport(request: HttpRequest, response: HttpResponse): Promise<void> {
        const { prefixes } = JSON.parse(Buffer.from(request.body).toString("utf8")) as { prefixes: string[]; };
        for (const hash of prefixes) addToCache(hash);
        return sendJson(response, 200, { imported: prefixes.length });
    }
}

const maxEvents = 2_000;
const maxSamples = 400;

/** Answers with JSON. */
export async function sendJson(response: HttpResponse, status: number, value: unknown): Promise<void> {
    response.start(status, { "content-type": "application/json" });
    await response.write(Buffer.from(JSON.stringify(value)));
    response.end();
}

function getContent(content: unknown): string {
    if (typeof content === "string") return content;
    return Array.isArray(content) ? content.map(part => String((part as { text?: unknown; }).text ?? "")).join("") : "";
}

function getContentKey(prompt: string): string {
    return getSha256(prompt).slice(0, 12);
}

function getAnswerTokens(prompt: string, contentKey: string): number {
    const asked = lengthPattern.exec(prompt)?.[1];
    if (asked !== undefined) return Number(asked);
    return minAnswerTokens + Number.parseInt(contentKey.slice(0, 6), 16) % answerTokensRange;
}

// The answer depends on the prompt alone, so that a piece of another caller's answer is noticed.
function getToken(contentKey: string, position: number): string {
    return position === 0 ? contentKey : ` t${position}`;
}

/**
 * Simulated model engine with the OpenAI chat completions API: continuous batching with a priority queue, a prefix cache of
 * limited size, delayed and lossy cache events, delayed load reports, orders with or without fencing, and a prompt that
 * crashes the engine. Uses the clock and the random numbers of its host, so that it is deterministic on a simulated host.
 */
import { getSha256 } from "../kernel/digest.js";
import type { Host, HttpHandler, HttpRequest, HttpResponse } from "../kernel/host.js";
import { getPrefixHashes, prefixBlockChars } from "../kernel/prefix.js";
import { sleep } from "../kernel/tasks.js";

/** Speeds, limits and faults of an engine. */
export interface ModelEngineOptions {
    readonly model: string;
    readonly maxConcurrent: number;
    readonly maxQueued: number;
    readonly prefillTokensPerSecond: number;
    /** Base duration of a decoding step, in which each decoding sequence generates one token. */
    readonly stepMs: number;
    /** Added to the duration of a step for each running sequence. */
    readonly stepMsPerSequence: number;
    readonly tokensPerChunk: number;
    readonly maxCachedPrefixes: number;
    readonly loadLagMs: number;
    readonly cacheEventLagMs: number;
    readonly cacheEventLossProbability: number;
    /** True if the engine rejects orders with an older fencing number than it has seen. */
    readonly checksFencing: boolean;
    /** Time from a crash until the engine accepts requests again. */
    readonly restartMs: number;
}

/** Options of a small engine. */
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
    cacheEventLossProbability: 0.1,
    checksFencing: true,
    restartMs: 2_000,
};

/** One request that the engine ran. */
export interface EngineRun {
    readonly requestId: string;
    readonly promptDigest: string;
    readonly startedAtMs: number;
    readonly state: "running" | "finished" | "stopped" | "crashed";
    readonly promptTokens: number;
    readonly completionTokens: number;
    readonly cachedTokens: number;
}

/** A simulated engine. */
export interface ModelEngine {
    readonly handle: HttpHandler;
    /** The last run of each request, by request id. */
    readonly runs: ReadonlyMap<string, EngineRun>;
    readonly loadedArtifacts: ReadonlySet<string>;
    isUp(): boolean;
    getCrashCount(): number;
    /** While true, the engine accepts requests and never responds. */
    setHung(isHung: boolean): void;
    /** Estimated time to process all queued and running sequences. */
    getOutstandingWorkMs(): number;
}

/** A prompt that contains this text crashes the engine. */
export const crashMarker = "CRASH-ENGINE";
const charsPerToken = 4;
const tokensPerMessage = 4;
const minAnswerTokens = 8;
const answerTokensRange = 48;
const answerLengthPattern = /length:(\d+)/;

interface Sequence {
    readonly requestId: string;
    readonly request: HttpRequest;
    readonly response: HttpResponse;
    readonly priority: number;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    readonly answerTokens: number;
    readonly finishReason: "stop" | "length";
    readonly promptDigest: string;
    readonly causesCrash: boolean;
    /** Ends the HTTP exchange once the sequence is done. */
    readonly finished: () => void;
    state: "queued" | "running" | "done";
    remainingPrefillMs: number;
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

/** Prompt tokens of the messages, as this engine counts them. */
export function countPromptTokens(messages: readonly { readonly content?: unknown; }[]): number {
    const chars = messages.reduce((sum, message) => sum + getContentText(message.content).length, 0);
    return Math.ceil(chars / charsPerToken) + messages.length * tokensPerMessage;
}

/** The full response text of this engine to a prompt, for comparison with what a caller received. */
export function getExpectedAnswer(prompt: string, maxTokens: number): string {
    const promptDigest = getPromptDigest(prompt);
    const count = Math.min(maxTokens, getAnswerTokenCount(prompt, promptDigest));
    return Array.from({ length: count }, (_, position) => getToken(promptDigest, position)).join("");
}

/** Creates an engine. */
export function createModelEngine(host: Host, overrides: Partial<ModelEngineOptions> = {}): ModelEngine {
    const options = { ...defaultEngineOptions, ...overrides };
    const runs = new Map<string, EngineRun>();
    const artifacts = new Set<string>();
    const cache = new Map<string, true>();
    let queue: Sequence[] = [];
    let running: Sequence[] = [];
    let loadSamples: LoadSample[] = [];
    let cacheEvents: CacheEvent[] = [];
    let highestEpoch = -1;
    let isStepping = false;
    let isDown = false;
    let isHung = false;
    let crashCount = 0;

    return {
        runs,
        loadedArtifacts: artifacts,
        isUp: () => !isDown,
        getCrashCount: () => crashCount,
        setHung(value) {
            isHung = value;
        },
        getOutstandingWorkMs,
        async handle(request, response) {
            if (isDown) return response.abort();
            const path = request.path.split("?", 1)[0];
            if (path === "/v1/chat/completions" && request.method === "POST") return complete(request, response);
            if (path === "/tokenize" && request.method === "POST") return sendJson(response, 200, { count: countTokens(request) });
            if (path === "/load") return sendJson(response, 200, getLaggedLoad());
            if (path === "/cache-events") return sendJson(response, 200, getCacheEvents(request.path));
            if (path === "/orders" && request.method === "POST") return handleOrder(request, response);
            if (path === "/kv/export") return sendJson(response, 200, { prefixes: [...cache.keys()] });
            if (path === "/kv/import" && request.method === "POST") return handleImport(request, response);
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
        return running.reduce((sum, sequence) => sum + sequence.remainingPrefillMs + decodeMs(sequence), waitingMs);
    }

    async function complete(request: HttpRequest, response: HttpResponse): Promise<void> {
        if (isHung) return new Promise(resolve => request.signal.addEventListener("abort", () => resolve()));
        if (queue.length >= options.maxQueued) return sendJson(response, 503, { error: "the queue is full" });
        const body = JSON.parse(Buffer.from(request.body).toString("utf8")) as {
            messages: { content?: unknown; }[];
            max_tokens?: number;
            priority?: number;
        };
        const prompt = body.messages.map(message => getContentText(message.content)).join("\n");
        const promptDigest = getPromptDigest(prompt);
        const fullAnswerTokens = getAnswerTokenCount(prompt, promptDigest);
        const answerTokens = Math.min(body.max_tokens ?? answerTokensRange, fullAnswerTokens);
        await new Promise<void>(finished => {
            queue.push({
                requestId: request.headers["x-request-id"] ?? host.random.nextId(),
                request,
                response,
                priority: body.priority ?? 0,
                promptTokens: countPromptTokens(body.messages),
                prefixHashes: getPrefixHashes(prompt),
                answerTokens,
                finishReason: answerTokens < fullAnswerTokens ? "length" : "stop",
                promptDigest,
                causesCrash: prompt.includes(crashMarker),
                finished,
                state: "queued",
                remainingPrefillMs: 0,
                sentTokens: 0,
            });
            if (!isStepping) void runStepLoop();
        });
    }

    async function runStepLoop(): Promise<void> {
        isStepping = true;
        while (queue.length + running.length > 0 && !isDown) {
            admitWaiting();
            const stepMs = options.stepMs + options.stepMsPerSequence * running.length;
            await sleep(host.timers, stepMs);
            if (isDown) break;
            step(stepMs);
            recordLoadSample();
        }
        isStepping = false;
    }

    function admitWaiting(): void {
        for (const sequence of queue.filter(waiting => waiting.request.signal.aborted)) finish(sequence, "stopped");
        queue = queue.filter(waiting => waiting.state === "queued");
        queue.sort((a, b) => a.priority - b.priority);
        while (running.length < options.maxConcurrent && queue.length > 0) startSequence(queue.shift()!);
    }

    function startSequence(sequence: Sequence): void {
        const cachedBlocks = sequence.prefixHashes.findLastIndex(hash => cache.has(hash)) + 1;
        const cachedTokens = Math.min(sequence.promptTokens, cachedBlocks * prefixBlockChars / charsPerToken);
        sequence.state = "running";
        sequence.remainingPrefillMs = (sequence.promptTokens - cachedTokens) / options.prefillTokensPerSecond * 1_000;
        running.push(sequence);
        runs.set(sequence.requestId, {
            requestId: sequence.requestId,
            promptDigest: sequence.promptDigest,
            startedAtMs: host.clock.nowMs(),
            state: "running",
            promptTokens: sequence.promptTokens,
            completionTokens: 0,
            cachedTokens,
        });
        for (const hash of sequence.prefixHashes) addToCache(hash);
    }

    // Prefill proceeds sequence by sequence within the duration of the step. Each sequence past prefill generates one token.
    function step(stepMs: number): void {
        if (running.some(sequence => sequence.causesCrash)) return crash();
        let prefillMs = stepMs;
        for (const sequence of [...running]) {
            if (sequence.request.signal.aborted) {
                finish(sequence, "stopped");
                continue;
            }
            const usedMs = Math.min(prefillMs, sequence.remainingPrefillMs);
            sequence.remainingPrefillMs -= usedMs;
            prefillMs -= usedMs;
            if (sequence.remainingPrefillMs <= 0) emitTokens(sequence);
        }
        running = running.filter(sequence => sequence.state === "running");
    }

    function emitTokens(sequence: Sequence): void {
        const { response, promptDigest, requestId } = sequence;
        if (!response.hasStarted) response.start(200, { "content-type": "text/event-stream" });
        const from = sequence.sentTokens;
        sequence.sentTokens = Math.min(sequence.answerTokens, from + 1);
        const isChunkComplete = sequence.sentTokens % options.tokensPerChunk === 0 || sequence.sentTokens === sequence.answerTokens;
        if (!isChunkComplete) return;
        const chunkStart = sequence.sentTokens - ((sequence.sentTokens - 1) % options.tokensPerChunk) - 1;
        const text = Array.from({ length: sequence.sentTokens - chunkStart }, (_, offset) => getToken(promptDigest, chunkStart + offset))
            .join("");
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
        cacheEvents = [];
        for (const sequence of inFlight) finish(sequence, "crashed");
        host.timers.after(options.restartMs, () => {
            isDown = false;
        });
    }

    function addToCache(hash: string): void {
        const isNew = !cache.delete(hash);
        cache.set(hash, true);
        if (isNew) recordCacheEvent("added", hash);
        if (cache.size <= options.maxCachedPrefixes) return;
        const oldest = cache.keys().next().value!;
        cache.delete(oldest);
        recordCacheEvent("removed", oldest);
    }

    function recordCacheEvent(kind: CacheEvent["kind"], hash: string): void {
        if (host.random.nextFloat() < options.cacheEventLossProbability) return;
        cacheEvents.push({ visibleAtMs: host.clock.nowMs() + options.cacheEventLagMs, kind, hash });
        if (cacheEvents.length > maxCacheEvents) cacheEvents = cacheEvents.slice(-maxCacheEvents);
    }

    function getCacheEvents(path: string) {
        const nowMs = host.clock.nowMs();
        const after = Number(new URL(path, "http://engine").searchParams.get("after") ?? 0);
        const visibleEvents = cacheEvents.filter(event => event.visibleAtMs > after && event.visibleAtMs <= nowMs);
        const getHashes = (kind: CacheEvent["kind"]) => visibleEvents.filter(event => event.kind === kind).map(event => event.hash);
        return { next: nowMs, added: getHashes("added"), removed: getHashes("removed") };
    }

    function recordLoadSample(): void {
        const atMs = host.clock.nowMs();
        const queuedTokens = queue.reduce((sum, sequence) => sum + sequence.promptTokens, 0);
        loadSamples.push({ atMs, runningRequests: running.length, queuedRequests: queue.length, queuedTokens });
        if (loadSamples.length > maxLoadSamples) loadSamples = loadSamples.slice(-maxLoadSamples / 2);
    }

    function getLaggedLoad() {
        const asOfMs = host.clock.nowMs() - options.loadLagMs;
        const sample = loadSamples.findLast(candidate => candidate.atMs <= asOfMs);
        const isIdle = running.length + queue.length === 0 && (loadSamples.at(-1)?.atMs ?? 0) <= asOfMs;
        const { runningRequests, queuedRequests, queuedTokens } = isIdle || sample === undefined
            ? { runningRequests: 0, queuedRequests: 0, queuedTokens: 0 }
            : sample;
        return { runningRequests, queuedRequests, queuedTokens, tokensPerSecond: options.prefillTokensPerSecond };
    }

    async function handleOrder(request: HttpRequest, response: HttpResponse): Promise<void> {
        const order = JSON.parse(Buffer.from(request.body).toString("utf8")) as {
            action: string;
            artifact: string;
            fencingNumber: number;
        };
        if (options.checksFencing && order.fencingNumber < highestEpoch) return sendJson(response, 409, { error: "an old fencing number" });
        highestEpoch = Math.max(highestEpoch, order.fencingNumber);
        if (order.action === "load") artifacts.add(order.artifact);
        else artifacts.delete(order.artifact);
        return sendJson(response, 200, { loaded: [...artifacts] });
    }

    async function handleImport(request: HttpRequest, response: HttpResponse): Promise<void> {
        const { prefixes } = JSON.parse(Buffer.from(request.body).toString("utf8")) as { prefixes: string[]; };
        for (const hash of prefixes) addToCache(hash);
        return sendJson(response, 200, { imported: prefixes.length });
    }
}

const maxCacheEvents = 2_000;
const maxLoadSamples = 400;

/** Sends a JSON response. */
export async function sendJson(response: HttpResponse, status: number, value: unknown): Promise<void> {
    response.start(status, { "content-type": "application/json" });
    await response.write(Buffer.from(JSON.stringify(value)));
    response.end();
}

function getContentText(content: unknown): string {
    if (typeof content === "string") return content;
    return Array.isArray(content) ? content.map(part => String((part as { text?: unknown; }).text ?? "")).join("") : "";
}

function getPromptDigest(prompt: string): string {
    return getSha256(prompt).slice(0, 12);
}

function getAnswerTokenCount(prompt: string, promptDigest: string): number {
    const requestedLength = answerLengthPattern.exec(prompt)?.[1];
    if (requestedLength !== undefined) return Number(requestedLength);
    return minAnswerTokens + Number.parseInt(promptDigest.slice(0, 6), 16) % answerTokensRange;
}

// The response depends on the prompt alone, so that tests detect parts of the response to another caller.
function getToken(promptDigest: string, position: number): string {
    return position === 0 ? promptDigest : ` t${position}`;
}

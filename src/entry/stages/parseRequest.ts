/** Second stage: parses the request's path, headers and body. */
import { z } from "zod";
import { checkDefined } from "../../kernel/debug.js";
import { getSha256 } from "../../kernel/digest.js";
import type { RouteObject } from "../../kernel/objects.js";
import { getPrefixHashes } from "../../kernel/prefix.js";
import { refuse } from "../../kernel/verdict.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import type { Exchange, ParsedRequest, Stage } from "../types.js";

const contentSchema = z.union([z.string(), z.array(z.looseObject({ type: z.string(), text: z.string().optional() }))]);
const chatSchema = z.looseObject({
    model: z.string(),
    messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.nullish() })).min(1),
    stream: z.boolean().nullish(),
    n: z.literal(1, "only one answer per request is served").nullish(),
    max_tokens: z.number().int().positive().nullish(),
    max_completion_tokens: z.number().int().positive().nullish(),
});
type Chat = z.infer<typeof chatSchema>;

/** Upper bound on the tokens that a chat template adds to each message and to the prompt as a whole. */
const templateOverheadTokens = { perMessage: 8, perPrompt: 8 } as const;
const maxKeyChars = 200;
const maxTimeoutMs = 3_600_000;
const servicePattern = /^\/services\/([^/?]+)(\/[^]*)?$/;

/** Creates the stage that parses the request and sets its deadline. */
export function createParseRequestStage(configuration: NodeConfiguration): Stage {
    return {
        name: "parseRequest",
        async run(exchange, next) {
            exchange.parsed = parseRequest(exchange, configuration);
            exchange.deadlineMs = exchange.startMs + getTimeoutMs(exchange, exchange.parsed.route);
            await next();
        },
    };
}

function parseRequest(exchange: Exchange, configuration: NodeConfiguration): ParsedRequest {
    const { path, method } = exchange.request;
    const pathname = path.split("?", 1)[0];
    const service = servicePattern.exec(path);
    if (service) return parseServiceRequest(exchange, service[1]!, service[2] ?? "/", configuration);
    if (pathname !== "/v1/chat/completions") refuse("unknownPath");
    if (method !== "POST") refuse("methodNotAllowed");
    return parseChatRequest(exchange, configuration);
}

function parseChatRequest(exchange: Exchange, configuration: NodeConfiguration): ParsedRequest {
    const chat = parseChatBody(exchange.request.body);
    const route = configuration.findModelRoute(chat.model);
    if (route === undefined) refuse("unknownModel", `No route serves the model ${JSON.stringify(chat.model)}.`);
    const prompt = chat.messages.map(message => getText(message.content)).join("\n");
    const requested = chat.max_completion_tokens ?? chat.max_tokens ?? route.maxCompletionTokens;
    return {
        ...createCommonFields(exchange, route),
        path: "/v1/chat/completions",
        format: chat.stream === true ? "eventStream" : "completion",
        model: chat.model,
        promptTokensBound: getPromptTokensBound(chat, prompt, exchange.request.body.length),
        maxCompletionTokens: requested,
        prefixHashes: getPrefixHashes(prompt),
        contentType: "application/json",
    };
}

function parseServiceRequest(exchange: Exchange, service: string, path: string, configuration: NodeConfiguration): ParsedRequest {
    const route = configuration.findServiceRoute(service);
    if (route === undefined) refuse("unknownPath", `No route serves ${JSON.stringify(service)}.`);
    return {
        ...createCommonFields(exchange, route),
        ...getIdempotence(exchange, route, path),
        path,
        format: "raw",
        promptTokensBound: 0,
        maxCompletionTokens: 0,
        prefixHashes: [],
        contentType: exchange.request.headers["content-type"] ?? "application/octet-stream",
    };
}

function createCommonFields(exchange: Exchange, route: RouteObject) {
    const account = checkDefined(exchange.clientAccount, "the request is authenticated");
    const { method, path, body } = exchange.request;
    const bodyDigest = getSha256(Buffer.concat([Buffer.from(`${method} ${path}\n`), body]));
    return {
        route,
        pool: route.pool,
        serviceClass: route.serviceClass,
        ...getIdempotence(exchange, route, path),
        idempotencyKey: getIdempotencyKey(exchange),
        bodyDigest,
        fingerprint: getSha256(`${account.name}\n${bodyDigest}`),
    };
}

function getIdempotence(exchange: Exchange, route: RouteObject, path: string): { readonly isIdempotent: boolean; } {
    const header = exchange.request.headers["lovage-idempotent"]?.toLowerCase();
    if (header !== undefined && header !== "true" && header !== "false") refuse("badRequest", "Lovage-Idempotent must be true or false.");
    // The header may declare a request non-idempotent, but may not override a rule of the route.
    const isMarkedNonIdempotent = route.nonIdempotent.some(rule =>
        rule.method === exchange.request.method && path.startsWith(rule.pathPrefix)
    );
    return { isIdempotent: header !== "false" && !isMarkedNonIdempotent };
}

function getIdempotencyKey(exchange: Exchange): string | undefined {
    const key = exchange.request.headers["idempotency-key"];
    if (key === undefined) return undefined;
    if (key.length === 0 || key.length > maxKeyChars) refuse("badRequest", `Idempotency-Key must have 1 to ${maxKeyChars} characters.`);
    return key;
}

function getTimeoutMs(exchange: Exchange, route: RouteObject): number {
    const requested = exchange.request.headers["lovage-timeout-ms"];
    if (requested === undefined) return route.timeoutMs;
    const timeoutMs = Number(requested);
    if (!(timeoutMs >= 1 && timeoutMs <= maxTimeoutMs)) refuse("badRequest", "Lovage-Timeout-Ms must be a number of milliseconds.");
    return Math.min(timeoutMs, route.timeoutMs);
}

function parseChatBody(body: Uint8Array): Chat {
    let value: unknown;
    try {
        value = JSON.parse(Buffer.from(body).toString("utf8"));
    }
    catch {
        refuse("badRequest", "The body is not JSON.");
    }
    const result = chatSchema.safeParse(value);
    if (result.success) return result.data;
    const issue = checkDefined(result.error.issues[0], "a failed validation has an issue");
    refuse("badRequest", `${issue.path.join(".") || "body"}: ${issue.message}`);
}

function getText(content: Chat["messages"][number]["content"]): string {
    if (content === undefined || !content) return "";
    return typeof content === "string" ? content : content.map(part => part.text ?? "").join("");
}

// A token has at least one byte, so the byte length of the text is an upper bound on its tokens. If a field may add to the prompt in an
// unknown way, the byte length of the whole body is used instead.
function getPromptTokensBound(chat: Chat, prompt: string, bodyBytes: number): number {
    const isPromptFullyCounted = Object.keys(chat).every(field => knownChatFields.has(field)) && chat.messages.every(hasOnlyTextContent);
    const textBytes = isPromptFullyCounted ? Buffer.byteLength(prompt) : bodyBytes;
    return textBytes + chat.messages.length * templateOverheadTokens.perMessage + templateOverheadTokens.perPrompt;
}

function hasOnlyTextContent(message: Chat["messages"][number]): boolean {
    const isText = message.content === undefined || !Array.isArray(message.content) || message.content.every(part => part.type === "text");
    return isText && Object.keys(message).every(field => field === "role" || field === "content");
}

/** Known fields of a chat request. Of these, only the messages add to the prompt. */
const knownChatFields: ReadonlySet<string> = new Set([
    "model",
    "messages",
    "stream",
    "stream_options",
    "max_tokens",
    "max_completion_tokens",
    "n",
    "temperature",
    "top_p",
    "seed",
    "stop",
    "user",
    "presence_penalty",
    "frequency_penalty",
]);

/**
 * Shared vocabulary of direct dispatch: requests that an entry sends to backend servers itself, because no agent stands
 * beside them. The wire format of callers and backend servers is behind `DirectProtocol`.
 */
import type { HttpRequest } from "../../kernel/host.js";
import type { ClientAccountObject, HttpRouteObject } from "../../kernel/objects.js";
import type { Verdict } from "../../kernel/verdict.js";

/** Headers by their names in lower case. */
export type Headers = Readonly<Record<string, string>>;

/** One part of a prompt that other requests may share. */
export interface PromptPart {
    readonly partId: string;
    readonly tokens: number;
}

/** Size of a generation. */
export interface GenerationSize {
    readonly promptTokens: number;
    readonly maxCompletionTokens: number;
}

/** What a caller's headers say, decoded. */
export interface RequestHead {
    /** Identifier that the caller gave to this attempt of its own. */
    readonly requestId: string;
    readonly host: string;
    /** Time that the caller waits. Absent when it does not say. */
    readonly deadlineMs?: number;
    readonly accountKey?: string;
    readonly generation?: GenerationSize;
    /** Parts of the prompt in their order. */
    readonly promptParts: readonly PromptPart[];
    /** Last event that the caller holds of a stream that it goes on with. */
    readonly lastEventId?: string;
    /** Headers that go along to the backend server as they came. */
    readonly passthroughHeaders: Headers;
}

/** A head that cannot be used, with the reason. */
export interface InvalidHead {
    readonly problem: string;
}

/** What a dispatch says to the backend server besides the request. */
export interface DispatchMetadata {
    readonly backendServer: string;
    readonly remainingMs: number;
    readonly clientAccount?: string;
    /** Urgency at the engine, where 0 goes first. */
    readonly enginePriority?: number;
    readonly lastEventId?: string;
}

/** Load that a backend server says it has. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What a backend server's answer says, decoded. */
export interface ReplyHead {
    readonly status: number;
    /** Identifier of the request that the answer belongs to. Absent where the answer names none. */
    readonly requestId?: string;
    /** True when the backend server proves that it answered itself. */
    readonly isSealed: boolean;
    /** True when the backend server says that it has not run the request. */
    readonly isNotRun: boolean;
    /** True when another backend server has this address. */
    readonly isMisdirected: boolean;
    /** True when the body is encoded, which a backend server's own body never is. */
    readonly isEncoded: boolean;
    readonly load?: ServerLoad;
    /** Headers that go back to the caller as they came. */
    readonly passthroughHeaders: Headers;
}

/** The wire format of callers and backend servers. */
export interface DirectProtocol {
    parseRequest(request: HttpRequest): RequestHead | InvalidHead;
    createDispatchHeaders(call: RequestHead, facts: DispatchMetadata): Headers;
    parseReply(status: number, headers: Headers): ReplyHead;
    /** Headers of an answer that the entry gives itself. */
    createRefusalHeaders(verdict: Verdict, requestId: string | undefined): Headers;
}

/** One call on its way through the entry. */
export interface DirectCall {
    readonly head: RequestHead;
    readonly request: HttpRequest;
    readonly route: HttpRouteObject;
    readonly pool: string;
    readonly account?: ClientAccountObject;
    /** Rank of the call, where 0 goes first. */
    readonly priority: number;
    readonly arrivedAtMs: number;
    readonly deadlineAtMs: number;
}

/** True when a call may be run more than once. */
export function isRepeatable(route: HttpRouteObject): boolean {
    return route.repeat === "idempotent" || route.repeat === "resumableStream";
}

/** True when the answer is a stream of events. */
export function isStream(route: HttpRouteObject): boolean {
    return route.repeat === "stream" || route.repeat === "resumableStream";
}

/**
 * Types shared by direct dispatch, in which an entry sends requests straight to backend servers that have no agent. The wire
 * format of callers and backend servers is defined by an implementation of `DirectProtocol`.
 */
import type { HttpRequest } from "../../kernel/host.js";
import type { ClientAccountObject, HttpRouteObject } from "../../kernel/objects.js";
import type { Verdict } from "../../kernel/verdict.js";

/** Headers by lower-case name. */
export type Headers = Readonly<Record<string, string>>;

/** A part of a prompt that other requests may share. */
export interface PromptPart {
    readonly partId: string;
    readonly tokens: number;
}

/** Token counts of a generation request. */
export interface GenerationSize {
    readonly promptTokens: number;
    readonly maxCompletionTokens: number;
}

/** Decoded headers of a caller's request. */
export interface RequestHead {
    /** Identifier that the caller chose for this attempt. */
    readonly requestId: string;
    readonly host: string;
    /** Time for which the caller waits. Absent when the caller states none. */
    readonly timeoutMs?: number;
    readonly accountKey?: string;
    readonly generation?: GenerationSize;
    /** Completion tokens that the caller expects. Often far off. */
    readonly lengthHintTokens?: number;
    /** Parts of the prompt, in prompt order. */
    readonly promptParts: readonly PromptPart[];
    /** Last event that the caller received of the stream that it resumes. */
    readonly lastEventId?: string;
    /** Identifier of the request that brought the first event of the stream that the caller resumes. */
    readonly resumedRequestId?: string;
    /** Headers that are forwarded to the backend server unchanged. */
    readonly passthroughHeaders: Headers;
}

/** Result for request headers that are invalid, with the reason. */
export interface InvalidHead {
    readonly problem: string;
}

/** Metadata that is sent to the backend server with the request. */
export interface DispatchMetadata {
    readonly backendServer: string;
    readonly remainingMs: number;
    readonly clientAccount?: string;
    /** Priority at the engine. 0 is the most urgent. */
    readonly enginePriority?: number;
    readonly lastEventId?: string;
}

/** Load that a backend server reports. */
export interface ServerLoad {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
}

/** What an answer says about the rate of requests that its backend server takes from all entries together. */
export type NamedLimit =
    | { readonly kind: "none"; }
    | { readonly kind: "named"; readonly perSecond: number; }
    /** A rate is named that cannot be read. */
    | { readonly kind: "unreadable"; };

/** Decoded status and headers of a backend server's answer. */
export interface ReplyHead {
    readonly status: number;
    /** Identifier of the request that is answered. Absent when the answer has none. */
    readonly requestId?: string;
    /** True when the answer carries the backend server's seal, which shows that the server itself produced it. */
    readonly isSealed: boolean;
    /** True when the backend server states that it did not run the request. */
    readonly isNotRun: boolean;
    /** True when the address now belongs to another backend server. */
    readonly isMisdirected: boolean;
    /** True when the body has a content encoding. Backend servers never encode a body, so an intermediary did. */
    readonly isEncoded: boolean;
    readonly load?: ServerLoad;
    readonly limit: NamedLimit;
    /** True when the backend server is about to leave. */
    readonly isLeaving: boolean;
    /** Time for which the backend server, which has answered 503, wants no more from this entry. */
    readonly pauseMs?: number;
    /** Headers that are returned to the caller unchanged. */
    readonly passthroughHeaders: Headers;
}

/** The wire format of callers and backend servers. */
export interface DirectProtocol {
    /** Statuses that tell a caller that its request has not run and never will. */
    readonly notRunStatuses: ReadonlySet<number>;
    parseRequest(request: HttpRequest): RequestHead | InvalidHead;
    createDispatchHeaders(head: RequestHead, metadata: DispatchMetadata): Headers;
    parseReply(status: number, headers: Headers): ReplyHead;
    /** Headers of an error answer that the entry generates. */
    createRefusalHeaders(verdict: Verdict, requestId: string | undefined): Headers;
    /** Headers of a caller's request with this head, for requests that the entry makes to itself. */
    createSampleRequest(head: RequestHead): Headers;
    /** Headers of a backend server's whole answer to a dispatch, for the same. */
    createSampleReply(dispatchHeaders: Headers): Headers;
}

/** A request that the entry is serving. */
export interface DirectCall {
    readonly head: RequestHead;
    readonly request: HttpRequest;
    readonly route: HttpRouteObject;
    readonly pool: string;
    /** Software version at which the stream began that the request goes on with. */
    readonly softwareVersion?: string;
    /** Backend servers that cannot go on with that stream, whatever their records say. */
    readonly otherServers?: ReadonlySet<string>;
    /** True if the request is quarantined and may reach one backend server, to see whether it crashes it. */
    readonly isTrial?: boolean;
    readonly account?: ClientAccountObject;
    /** Digest of what makes two requests the same, without the attempt. */
    readonly fingerprint: string;
    /** Priority of the request. 0 is the most urgent. */
    readonly priority: number;
    readonly arrivedAtMs: number;
    readonly deadlineMs: number;
    /** Aborted shortly before the process ends, so that the caller still gets an answer. */
    readonly endSignal: AbortSignal;
}

/** True when requests of the route may be run more than once. */
export function isRepeatable(route: HttpRouteObject): boolean {
    return route.repeat === "idempotent" || route.repeat === "resumableStream";
}

/** True when answers of the route are event streams. */
export function isStream(route: HttpRouteObject): boolean {
    return route.repeat === "stream" || route.repeat === "resumableStream";
}

/** True when the request goes on with a stream of which the caller has events. */
export function isResumption(call: DirectCall): boolean {
    return call.route.repeat === "resumableStream" && call.head.lastEventId !== undefined && call.head.lastEventId !== "";
}

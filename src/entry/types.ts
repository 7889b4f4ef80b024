/** Shared vocabulary of the entry: one request on its way through the stages. */
import type { HttpRequest, HttpResponse } from "../kernel/host.js";
import type { ClientAccountObject, PolicyObject, RouteObject } from "../kernel/objects.js";
import type { ServiceClass } from "../kernel/types.js";

/** How the answer goes back to the caller. */
export type AnswerFormat = "eventStream" | "completion" | "raw";

/** What the request asks for, once it is read. */
export interface ParsedRequest {
    readonly route: RouteObject;
    readonly pool: string;
    /** Path on the backend server. */
    readonly path: string;
    readonly serviceClass: ServiceClass;
    readonly isIdempotent: boolean;
    readonly idempotencyKey?: string;
    readonly bodyDigest: string;
    /** Account and body, so that a resend under another key is known again. */
    readonly fingerprint: string;
    readonly format: AnswerFormat;
    readonly model?: string;
    /** Upper bound of the prompt's tokens. Zero for plain services. */
    readonly promptTokensBound: number;
    readonly maxCompletionTokens: number;
    readonly prefixHashes: readonly string[];
    readonly contentType: string;
}

/** One request on its way through the stages. Each stage adds what it found. */
export interface Exchange {
    readonly requestId: string;
    readonly request: HttpRequest;
    readonly response: HttpResponse;
    readonly startMs: number;
    clientAccount?: ClientAccountObject;
    policy?: PolicyObject;
    parsed?: ParsedRequest;
    deadlineMs: number;
    isSolo: boolean;
    /** True from the first dispatch on, so that an unexpected failure is never called "not run". */
    hasDispatched: boolean;
}

/** One stage. It passes the request on by calling `next`, and may act on the way back. */
export interface Stage {
    readonly name: string;
    run(exchange: Exchange, next: () => Promise<void>): Promise<void>;
}

/** Runs the stages in order. */
export function createPipeline(stages: readonly Stage[]): (exchange: Exchange) => Promise<void> {
    return exchange => runFrom(0, exchange);

    async function runFrom(position: number, exchange: Exchange): Promise<void> {
        await stages[position]?.run(exchange, () => runFrom(position + 1, exchange));
    }
}

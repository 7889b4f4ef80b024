/** Types of the entry's request pipeline. */
import type { HttpRequest, HttpResponse } from "../kernel/host.js";
import type { ClientAccountObject, PolicyObject, RouteObject } from "../kernel/objects.js";
import type { ServiceClass } from "../kernel/types.js";

/** Format of the answer to the caller. */
export type AnswerFormat = "eventStream" | "completion" | "raw";

/** Content of a request after parsing. */
export interface ParsedRequest {
    readonly route: RouteObject;
    readonly pool: string;
    /** Path on the backend server. */
    readonly path: string;
    readonly serviceClass: ServiceClass;
    readonly isIdempotent: boolean;
    readonly idempotencyKey?: string;
    /** Digest of the method, path and body. */
    readonly bodyDigest: string;
    /** Digest of the account and the request, so that a resend with another idempotency key is recognized. */
    readonly fingerprint: string;
    readonly format: AnswerFormat;
    readonly model?: string;
    /** Upper bound on the number of prompt tokens. Zero for services without a model. */
    readonly promptTokensBound: number;
    readonly maxCompletionTokens: number;
    readonly prefixHashes: readonly string[];
    readonly contentType: string;
}

/** State of one request in the pipeline. Stages add to it. */
export interface Exchange {
    readonly requestId: string;
    readonly request: HttpRequest;
    readonly response: HttpResponse;
    /** Time at which the request arrived. */
    readonly startMs: number;
    clientAccount?: ClientAccountObject;
    policy?: PolicyObject;
    parsed?: ParsedRequest;
    deadlineMs: number;
    /** True when the request must run alone on its backend server, because it is suspected of crashing others. */
    isSolo: boolean;
    /** True from the first dispatch on. An unexpected error is then reported as `mayHaveRun`, never as `notRun`. */
    hasDispatched: boolean;
}

/** A stage of the pipeline. It runs the remaining stages by calling `next`, and may act before and after that. */
export interface Stage {
    readonly name: string;
    run(exchange: Exchange, next: () => Promise<void>): Promise<void>;
}

/** Returns a function that runs the stages in order. */
export function createPipeline(stages: readonly Stage[]): (exchange: Exchange) => Promise<void> {
    return exchange => runFrom(0, exchange);

    async function runFrom(position: number, exchange: Exchange): Promise<void> {
        await stages[position]?.run(exchange, () => runFrom(position + 1, exchange));
    }
}

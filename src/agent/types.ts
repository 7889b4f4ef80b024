/** Shared vocabulary of the agent. */
import type { Dispatch, EngineOrder } from "../kernel/messages.js";
import type { TokenUsage } from "../kernel/types.js";

/** Load of the backend server as the adapter last learned it. */
export interface BackendServerLoad {
    readonly isHealthy: boolean;
    readonly runningRequests: number;
    readonly queuedRequests: number;
    readonly tokensPerSecond: number;
    readonly cacheAdded: readonly string[];
    readonly cacheRemoved: readonly string[];
}

/** Takes the pieces of an answer. `head` comes first and once. */
export interface ResponseSink {
    head(status: number, contentType: string): void;
    /** Resolves when more may come. Text for model engines, base64 for plain services. */
    chunk(data: string): Promise<void>;
}

/** Outcome of one run on a backend server. */
export type RunOutcome =
    | { readonly kind: "finished"; readonly usage: TokenUsage; }
    /** The connection was refused, so nothing ran. */
    | { readonly kind: "notRun"; readonly detail: string; }
    /** The backend server refused before it ran anything. */
    | { readonly kind: "refused"; readonly detail: string; }
    /** The connection broke. The backend server may have crashed. */
    | { readonly kind: "broken"; readonly detail: string; }
    | { readonly kind: "stopped"; readonly usage: TokenUsage; }
    /** The answer reached a cap below what its caller asked for, so it is not whole. */
    | { readonly kind: "capped"; };

/** The way to one kind of backend server. */
export interface BackendServerAdapter {
    run(dispatch: Dispatch, body: Uint8Array, signal: AbortSignal, sink: ResponseSink): Promise<RunOutcome>;
    /** Asks the backend server for its load and cache events. */
    refreshLoad(): Promise<BackendServerLoad>;
    /** Prompt tokens of a chat request, by the engine's own tokenizer. */
    countPromptTokens(body: string): Promise<number | undefined>;
    applyOrder(order: EngineOrder): Promise<boolean>;
}

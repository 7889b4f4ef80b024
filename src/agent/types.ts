/** Types shared by the modules of the agent. */
import type { Dispatch, EngineOrder } from "../kernel/messages.js";
import type { TokenUsage } from "../kernel/types.js";

/** Load of the backend server as of the adapter's last probe. */
export interface BackendServerLoad {
    readonly isHealthy: boolean;
    readonly runningRequests: number;
    readonly queuedRequests: number;
    readonly tokensPerSecond: number;
    readonly cacheAdded: readonly string[];
    readonly cacheRemoved: readonly string[];
}

/** Receives a response in parts. `head` is called once, before any chunk. */
export interface ResponseSink {
    head(status: number, contentType: string): void;
    /** `data` is text from a model engine and base64 from a plain service. Resolves when the sink can accept the next chunk. */
    chunk(data: string): Promise<void>;
}

/** Outcome of executing one request on a backend server. */
export type RunOutcome =
    | { readonly kind: "finished"; readonly usage: TokenUsage; }
    /** No connection was established, so the request did not run. */
    | { readonly kind: "notRun"; readonly detail: string; }
    /** The backend server rejected the request without running it. */
    | { readonly kind: "refused"; readonly detail: string; }
    /** The connection broke or the backend server returned an error. It may have crashed, and the request may have run. */
    | { readonly kind: "broken"; readonly detail: string; }
    /** The run was aborted. `usage` is what was generated until then. */
    | { readonly kind: "stopped"; readonly usage: TokenUsage; }
    /** The completion was truncated at a token limit below the one that the caller requested. */
    | { readonly kind: "capped"; };

/** Protocol adapter for one kind of backend server. */
export interface BackendServerAdapter {
    run(dispatch: Dispatch, body: Uint8Array, signal: AbortSignal, sink: ResponseSink): Promise<RunOutcome>;
    /** Fetches the current load of the backend server, and its cache events since the last call. */
    refreshLoad(): Promise<BackendServerLoad>;
    /** Prompt tokens of a chat request as counted by the engine's tokenizer. Undefined if the backend server cannot count them. */
    countPromptTokens(body: string): Promise<number | undefined>;
    /** Loads or unloads an artifact. Resolves to true if the backend server carried the order out. */
    applyOrder(order: EngineOrder): Promise<boolean>;
}

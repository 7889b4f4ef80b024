/** Shared vocabulary of routing. Times are the entry's monotonic time. */
import type { AgentAnnouncement } from "../../kernel/messages.js";
import type { BackendServerName, FailureDomainName, Incarnation } from "../../kernel/types.js";

/** What this entry knows of one backend server. */
export interface Candidate {
    readonly agent: AgentAnnouncement;
    readonly isLeaving: boolean;
    readonly isHealthy: boolean;
    readonly joinedAtMs: number;
    readonly reportedAtMs: number;
    /** Time of which the reported load tells, which is before the report came. */
    readonly loadAtMs: number;
    /** The agent's own word at that time. */
    readonly outstandingRequests: number;
    readonly pendingTokens: number;
    /** The engine's word, which lags. */
    readonly runningRequests: number;
    readonly queuedRequests: number;
    /** Prompt tokens a second. Zero where the engine does not tell. */
    readonly tokensPerSecond: number;
}

/** One attempt of this entry that is not finished. */
export interface OwnDispatch {
    readonly sentAtMs: number;
    readonly prefillTokens: number;
}

/** What the choice is made for. */
export interface RouteRequest {
    readonly pool: string;
    readonly model?: string;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    readonly excluded: ReadonlySet<BackendServerName>;
    readonly failureDomain: FailureDomainName;
}

/** A choice, with what was expected of it. */
export interface Choice {
    readonly candidate: Candidate;
    readonly backendServer: BackendServerName;
    readonly incarnation: Incarnation;
    readonly expectedMs: number;
    /** Mean time to the first token of late. */
    readonly averageFirstTokenMs: number;
    /** Prompt tokens that are not expected in its prefix cache. */
    readonly prefillTokens: number;
}

/** Times of a finished attempt, from its dispatch on. */
export interface AttemptTimes {
    readonly firstTokenMs: number;
    readonly durationMs: number;
}

/** A way to choose. `ours` is the design; the others are baselines for measurements. */
export type RoutingPolicy = "expectedCompletion" | "random" | "roundRobin" | "leastReported" | "prefixOnly";

/** Types shared by routing. Times are in the entry's monotonic clock. */
import type { AgentAnnouncement } from "../../kernel/messages.js";
import type { BackendServerName, FailureDomainName, Incarnation } from "../../kernel/types.js";

/** State of one backend server, as known to this entry. */
export interface Candidate {
    readonly agent: AgentAnnouncement;
    readonly isLeaving: boolean;
    readonly isHealthy: boolean;
    readonly joinedAtMs: number;
    readonly reportedAtMs: number;
    /** Time that the load is attributed to: the arrival of the last report, or of the last reply that stated the agent's load. */
    readonly loadAtMs: number;
    /** Requests at the agent at `loadAtMs`, as counted by the agent. */
    readonly outstandingRequests: number;
    readonly pendingTokens: number;
    /** Running requests as reported by the engine, whose figures lag behind. */
    readonly runningRequests: number;
    readonly queuedRequests: number;
    /** Prompt tokens per second. Zero when the engine does not report it. */
    readonly tokensPerSecond: number;
}

/** An attempt of this entry that is in flight. */
export interface OwnDispatch {
    readonly sentAtMs: number;
    readonly prefillTokens: number;
}

/** Request for which a backend server is chosen. */
export interface RouteRequest {
    readonly pool: string;
    readonly model?: string;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    readonly excluded: ReadonlySet<BackendServerName>;
    readonly failureDomain: FailureDomainName;
}

/** The chosen backend server, with the estimates behind the choice. */
export interface Choice {
    readonly candidate: Candidate;
    readonly backendServer: BackendServerName;
    readonly incarnation: Incarnation;
    readonly expectedFirstTokenMs: number;
    /** Exponentially weighted mean of recent times to the first token. */
    readonly meanFirstTokenMs: number;
    /** Prompt tokens that are not expected to be in its prefix cache. */
    readonly prefillTokens: number;
}

/** Durations of a finished attempt, measured from its dispatch. */
export interface AttemptTimes {
    readonly firstTokenMs: number;
    readonly durationMs: number;
}

/** Policy for choosing a backend server. `expectedCompletion` is the default; the others are baselines for benchmarks. */
export type RoutingPolicy = "expectedCompletion" | "random" | "roundRobin" | "leastReported" | "prefixOnly";

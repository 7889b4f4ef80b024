/**
 * Typed messages between the fleet's processes: commands and queries to control, load reports to
 * entries, dispatches and frames between entry and agent. Each has a schema that is checked on arrival.
 */
import { z } from "zod";
import type { MessageCode } from "./diagnostics.js";
import type { Verdict } from "./verdict.js";

const boundedString = z.string().min(1).max(200);
const tokenCount = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const timestampMs = z.number().nonnegative();

/** What an agent says of itself and its backend server when it starts. */
export const agentSchema = z.object({
    backendServer: boundedString,
    vm: boundedString,
    failureDomain: boundedString,
    incarnation: boundedString,
    address: boundedString,
    kind: z.enum(["modelEngine", "plainService"]),
    pool: boundedString,
    models: z.array(boundedString).readonly(),
    adapters: z.array(boundedString).readonly(),
    checksFencing: z.boolean(),
    maxConcurrent: z.number().int().positive(),
}).readonly();
/** An announced agent. */
export type AgentAnnouncement = z.infer<typeof agentSchema>;

/** What an entry says of itself when it starts. */
export const entrySchema = z.object({ vm: boundedString, failureDomain: boundedString, incarnation: boundedString, address: boundedString })
    .readonly();
/** An announced entry. */
export type EntryAnnouncement = z.infer<typeof entrySchema>;

/** One lease in a renewal. All counts are totals since the lease began, so that resends do no harm. */
export const leaseRenewalSchema = z.object({
    leaseId: boundedString,
    budget: boundedString,
    /** Settled tokens by the agent incarnation that ran the requests. */
    settledTokens: z.record(boundedString, tokenCount).readonly(),
    /** Every attempt that started before this control time is settled. */
    settledBeforeMs: timestampMs,
    releasedTokens: tokenCount,
    /** Tokens that the entry would like to hold beside those that it has reserved. */
    wantTokens: tokenCount,
    /** Tokens that one waiting request needs now, beyond what the lease holds. Zero when none waits. */
    starvingTokens: tokenCount,
    isClosing: z.boolean(),
    /** True when the entry dispatches without agents, so that nobody else knows what it started. */
    isDirect: z.boolean().optional(),
}).readonly();
/** One lease in a renewal. */
export type LeaseRenewal = z.infer<typeof leaseRenewalSchema>;

/** What became of one lease in a renewal. */
export type LeaseOutcome = "granted" | "recalling" | "exhausted" | "closed" | "unknownBudget";

/** Answer for one lease of a renewal. */
export interface LeaseGrant {
    readonly leaseId: string;
    readonly outcome: LeaseOutcome;
    /** Control's time at this renewal. It has certainly passed when the answer arrives. */
    readonly controlTimeMs: number;
    /** Total granted since the lease began. */
    readonly grantedTokens: number;
    readonly expiresAtMs: number;
    /** Unreserved tokens that control wants back with the next renewal. */
    readonly recallTokens: number;
    /** Tokens of the budget that no lease holds, after this renewal. */
    readonly freeTokens: number;
}

/** One finished request with an idempotency key, under a lease. */
export const keyedUsageSchema = z.object({
    clientAccount: boundedString,
    key: boundedString,
    requestId: boundedString,
    billedTokens: tokenCount,
}).readonly();
/** One finished request with an idempotency key, under a lease. */
export type KeyedUsage = z.infer<typeof keyedUsageSchema>;

/** What an agent started under one lease. */
export const leaseUsageSchema = z.object({
    leaseId: boundedString,
    /** Tokens of finished requests, without the keyed ones. */
    finishedTokens: tokenCount,
    /** Upper bound of what is still running. The lease stays open until it is zero. */
    runningTokens: tokenCount,
    keyed: z.array(keyedUsageSchema).readonly(),
}).readonly();
/** What an agent started under one lease. */
export type LeaseUsage = z.infer<typeof leaseUsageSchema>;

/** One claim of a client account on an idempotency key. */
export interface Claim {
    readonly clientAccount: string;
    readonly key: string;
    readonly bodyDigest: string;
    readonly requestId: string;
    readonly incarnation: string;
    readonly address: string;
    readonly isIdempotent: boolean;
    readonly state: "open" | "finished";
    readonly billedTokens: number;
    readonly openedAtMs: number;
    /** Number of times that a lost attempt of idempotent work was replaced by another. */
    readonly attempt: number;
}

/** Answer to the opening of a claim. */
export type ClaimOpening =
    | { readonly kind: "opened"; readonly claim: Claim; }
    | { readonly kind: "held"; readonly claim: Claim; }
    | { readonly kind: "conflict"; };

/** One problem of a submitted set. */
export interface Problem {
    readonly object: string;
    readonly field: string;
    readonly detail: string;
}

/** Answer to a change of the configuration. */
export interface ChangeOutcome {
    readonly outcome: "accepted" | "repeated" | "conflict" | "invalid";
    readonly version: number;
    readonly problems: readonly Problem[];
    /** Change that won, where another was applied first. */
    readonly winningChangeId?: string;
}

/** Balances of one budget. */
export interface BudgetView {
    readonly budget: string;
    readonly toppedUpTokens: number;
    readonly settledTokens: number;
    readonly leasedTokens: number;
    readonly inDoubtTokens: number;
    readonly freeTokens: number;
    /** Part of the settled tokens that was written off because its use was lost with an agent. */
    readonly writtenOffTokens: number;
}

/** One line of the audit trail. */
export interface AuditRecord {
    readonly index: number;
    readonly wallMs: number;
    readonly controlTimeMs: number;
    readonly actor: string;
    readonly action: string;
    readonly operationId: string;
    readonly outcome: string;
    readonly digest: string;
    readonly detail: string;
}

/** A crash of a backend server that a request may have caused. */
export const crashReportSchema = z.object({
    fingerprint: boundedString,
    requestId: boundedString,
    backendServer: boundedString,
    incarnation: boundedString,
    failureDomain: boundedString,
    isSolo: z.boolean(),
}).readonly();
/** A crash of a backend server that a request may have caused. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** State of a fingerprint after a crash report. */
export type Suspicion = "clear" | "suspect" | "quarantined";

/** One fingerprint that is held back. */
export interface QuarantineView {
    readonly fingerprint: string;
    readonly suspicion: Suspicion;
    readonly crashes: number;
    readonly expiresAtMs: number;
}

/** An agent as the fleet state keeps it. */
export interface FleetAgent extends AgentAnnouncement {
    readonly state: "present" | "leaving" | "lost";
    readonly joinedAtMs: number;
    readonly isDraining: boolean;
}

/** One order to load a model version or an adapter on an engine. */
export interface EngineOrder {
    readonly orderId: number;
    /** Fencing number. An agent refuses an order with a lower one than it has seen. */
    readonly epoch: number;
    readonly backendServer: string;
    readonly action: "load" | "unload";
    readonly artifact: string;
    readonly notBeforeMs: number;
}

/** Schemas of the commands that go through the replicated log, by kind. */
export const commandSchemas = {
    "configuration.apply": z.object({
        baseVersion: z.number().int().nonnegative(),
        changeId: boundedString,
        objects: z.array(z.unknown()).max(100_000),
        actor: boundedString,
    }),
    /** A set under the number that its operator gave. The highest number stays in force. */
    "configuration.replace": z.object({
        operatorVersion: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
        objects: z.array(z.unknown()).max(100_000),
        /** The set as its operator wrote it, for reading back. */
        document: z.string(),
        actor: boundedString,
    }),
    "budgets.topUp": z.object({ budget: boundedString, tokens: tokenCount.positive(), actor: boundedString }),
    "budgets.release": z.object({ leaseId: boundedString, spentTokens: tokenCount, actor: boundedString }),
    "leases.renew": z.object({ vm: boundedString, incarnation: boundedString, leases: z.array(leaseRenewalSchema).max(20_000) }),
    /** `isSuperseded` when the entry's VM has announced a newer incarnation. Otherwise the lease must have expired. */
    "leases.beginRecovery": z.object({ leaseId: boundedString, isSuperseded: z.boolean() }),
    "leases.finishRecovery": z.object({
        leaseId: boundedString,
        isUseLost: z.boolean(),
        uses: z.array(z.object({ incarnation: boundedString, finishedTokens: tokenCount, keyed: z.array(keyedUsageSchema) })),
    }),
    "claims.open": z.object({
        clientAccount: boundedString,
        key: boundedString,
        bodyDigest: boundedString,
        requestId: boundedString,
        incarnation: boundedString,
        address: boundedString,
        isIdempotent: z.boolean(),
        /** Request whose attempt was lost and that this one replaces. */
        replacesRequestId: boundedString.optional(),
    }),
    "claims.finish": z.object({ clientAccount: boundedString, key: boundedString, requestId: boundedString, billedTokens: tokenCount }),
    "claims.release": z.object({ clientAccount: boundedString, key: boundedString, requestId: boundedString }),
    "fleet.announceAgent": z.object({ agent: agentSchema }),
    "fleet.announceEntry": z.object({ entry: entrySchema }),
    "fleet.leave": z.object({ incarnation: boundedString, uses: z.array(leaseUsageSchema) }),
    "fleet.markPresent": z.object({ incarnations: z.array(boundedString) }),
    "fleet.markLost": z.object({ incarnations: z.array(boundedString) }),
    "fleet.drain": z.object({ backendServer: boundedString, isDraining: z.boolean(), actor: boundedString }),
    "quarantine.report": z.object({ crashes: z.array(crashReportSchema).max(10_000) }),
    "quarantine.exonerate": z.object({ fingerprint: boundedString }),
    "quarantine.clear": z.object({ fingerprint: boundedString, actor: boundedString }),
    "orders.plan": z.object({}),
    "orders.done": z.object({ orderId: z.number(), isDone: z.boolean() }),
} as const;

/** Kind of a command. */
export type CommandKind = keyof typeof commandSchemas;

/** Input of each command. */
export type CommandInputs = { readonly [K in CommandKind]: Readonly<z.infer<typeof commandSchemas[K]>>; };

/** Result of each command. */
export interface CommandResults {
    readonly "configuration.apply": ChangeOutcome;
    readonly "configuration.replace": ChangeOutcome;
    readonly "budgets.topUp": { readonly isKnown: boolean; readonly toppedUpTokens: number; };
    readonly "budgets.release": { readonly isKnown: boolean; };
    readonly "leases.renew": { readonly grants: readonly LeaseGrant[]; };
    readonly "leases.beginRecovery": { readonly isRecovering: boolean; };
    readonly "leases.finishRecovery": { readonly isClosed: boolean; };
    readonly "claims.open": ClaimOpening;
    readonly "claims.finish": { readonly isBilled: boolean; readonly billedTokens: number; };
    readonly "claims.release": { readonly isReleased: boolean; };
    readonly "fleet.announceAgent": { readonly recoveringLeaseIds: readonly string[]; };
    readonly "fleet.announceEntry": { readonly isKnown: boolean; };
    readonly "fleet.leave": { readonly isKnown: boolean; };
    readonly "fleet.markLost": { readonly marked: number; };
    readonly "fleet.markPresent": { readonly marked: number; };
    readonly "fleet.drain": { readonly isKnown: boolean; };
    readonly "quarantine.report": { readonly suspicions: Readonly<Record<string, Suspicion>>; };
    readonly "quarantine.exonerate": { readonly isKnown: boolean; };
    readonly "quarantine.clear": { readonly isKnown: boolean; };
    readonly "orders.plan": { readonly planned: number; };
    readonly "orders.done": { readonly isKnown: boolean; };
}

/** Schemas of the reads that are confirmed by a quorum, by kind. */
export const querySchemas = {
    "configuration.get": z.object({}),
    "configuration.document": z.object({}),
    "configuration.validate": z.object({ objects: z.array(z.unknown()) }),
    "budgets.list": z.object({}),
    "budgets.show": z.object({ budget: boundedString }),
    "leases.list": z.object({}),
    "audit.since": z.object({ wallMs: timestampMs, limit: z.number().int().positive().max(10_000) }),
    "fleet.list": z.object({}),
    "quarantine.list": z.object({}),
    "claims.find": z.object({ clientAccount: boundedString, key: boundedString }),
    "orders.for": z.object({ backendServer: boundedString }),
    "control.status": z.object({}),
} as const;

/** Kind of a query. */
export type QueryKind = keyof typeof querySchemas;

/** Input of each query. */
export type QueryInputs = { readonly [K in QueryKind]: Readonly<z.infer<typeof querySchemas[K]>>; };

/** Result of each query. */
export interface QueryResults {
    readonly "configuration.get": ConfigurationView;
    readonly "configuration.document": OperatorDocument;
    readonly "configuration.validate": { readonly problems: readonly Problem[]; readonly objects: readonly unknown[]; };
    readonly "budgets.list": { readonly budgets: readonly BudgetView[]; };
    readonly "budgets.show": { readonly budget?: BudgetView; };
    readonly "leases.list": { readonly leases: readonly LeaseView[]; };
    readonly "audit.since": { readonly records: readonly AuditRecord[]; };
    readonly "fleet.list": { readonly agents: readonly FleetAgent[]; readonly entries: readonly EntryAnnouncement[]; };
    readonly "quarantine.list": { readonly fingerprints: readonly QuarantineView[]; };
    readonly "claims.find": { readonly claim?: Claim; };
    readonly "orders.for": { readonly epoch: number; readonly orders: readonly EngineOrder[]; };
    readonly "control.status": { readonly version: number; readonly appliedIndex: number; readonly controlTimeMs: number; };
}

/** The set in force as its operator wrote it. Absent before the first. */
export interface OperatorDocument {
    readonly operatorVersion: number;
    readonly document?: string;
}

/** The configuration in force. */
export interface ConfigurationView {
    readonly version: number;
    readonly digest: string;
    readonly objects: readonly unknown[];
    /** Fingerprints that are held back, with their expiry in control time. */
    readonly quarantined: readonly QuarantineView[];
}

/** What one change did to the set. The digest is that of the whole set after it. */
export interface ConfigurationDelta {
    readonly baseVersion: number;
    readonly version: number;
    readonly digest: string;
    readonly changed: readonly unknown[];
    /** Kind and name of each object that was taken away. */
    readonly removed: readonly string[];
    readonly quarantined: readonly QuarantineView[];
}

/** One lease as operators see it. */
export interface LeaseView {
    readonly leaseId: string;
    readonly budget: string;
    readonly vm: string;
    readonly incarnation: string;
    readonly state: "open" | "recovering" | "inDoubt";
    readonly heldTokens: number;
    readonly settledTokens: number;
    readonly expiresAtMs: number;
}

/** Envelope of an answer from control. */
export type ControlReply<T> =
    | { readonly kind: "done"; readonly index: number; readonly controlTimeMs: number; readonly result: T; }
    | { readonly kind: "notLeader"; readonly leaderAddress?: string; }
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** The command was refused before it entered the log. */
    | { readonly kind: "rejected"; readonly detail: string; };

/** Load of one backend server, as its agent reports it to entries. */
export const loadReportSchema = z.object({
    backendServer: boundedString,
    incarnation: boundedString,
    /** The announcement, in the first report and whenever it changes or an entry asks for it. */
    agent: agentSchema.optional(),
    sequence: z.number().int().nonnegative(),
    isLeaving: z.boolean(),
    /** False while the backend server does not answer its agent. */
    isHealthy: z.boolean(),
    /** Requests that the agent holds now, and prompt tokens of those that have given no token yet. */
    outstandingRequests: z.number().nonnegative(),
    pendingTokens: z.number().nonnegative(),
    /** The engine's own word, which lags. */
    runningRequests: z.number().nonnegative(),
    queuedRequests: z.number().nonnegative(),
    tokensPerSecond: z.number().nonnegative(),
    cacheAdded: z.array(z.string()).readonly(),
    cacheRemoved: z.array(z.string()).readonly(),
}).readonly();
/** Load of one backend server, as its agent reports it to entries. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** What an entry sends to an agent with a request. The body follows as it came from the caller. */
export const dispatchSchema = z.object({
    requestId: boundedString,
    attempt: z.number().int().nonnegative(),
    incarnation: boundedString,
    clientAccount: boundedString,
    fingerprint: boundedString,
    serviceClass: z.enum(["interactive", "batch"]),
    isIdempotent: z.boolean(),
    /** True for a suspect that must run alone on its backend server. */
    isSolo: z.boolean(),
    idempotencyKey: boundedString.optional(),
    /** Remaining time, counted from arrival at the agent. */
    timeoutMs: z.number().positive(),
    method: boundedString,
    path: boundedString,
    contentType: z.string(),
    /** Absent for plain services, which cost no tokens. */
    lease: z.object({ leaseId: boundedString, reservedTokens: tokenCount, expiresAtMs: timestampMs }).readonly().optional(),
    maxCompletionTokens: tokenCount,
    /** Prompt tokens that the engine is expected to compute, without those in its prefix cache. */
    prefillTokens: z.number().nonnegative(),
    /** True when an answer that reaches the cap is not whole, and so is neither given nor billed. */
    isTight: z.boolean(),
}).readonly();
/** What an entry sends to an agent with a request. */
export type Dispatch = z.infer<typeof dispatchSchema>;

interface FrameBase {
    readonly requestId: string;
    readonly sequence: number;
}

/** One piece of an answer on its way from agent to entry. */
export type Frame =
    | FrameBase & { readonly kind: "head"; readonly status: number; readonly contentType: string; }
    /** Text for model engines, base64 for plain services. */
    | FrameBase & { readonly kind: "chunk"; readonly data: string; }
    | FrameBase & { readonly kind: "end"; readonly promptTokens: number; readonly completionTokens: number; }
    | FrameBase & { readonly kind: "failed"; readonly verdict: Verdict; };

/** What an agent holds at the moment of an answer. It goes back with every reply to a dispatch. */
export const agentLoadSchema = z.object({ outstandingRequests: z.number(), pendingTokens: z.number() }).readonly();
/** What an agent holds at the moment of an answer. */
export type AgentLoad = z.infer<typeof agentLoadSchema>;

/** Header that carries an agent's load. */
export const agentLoadHeader = "lovage-agent-load";

/** Refusal body of an agent: the request did not run. */
export interface AgentRefusal {
    readonly code: MessageCode;
    readonly detail: string;
}

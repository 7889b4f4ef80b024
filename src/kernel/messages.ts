/**
 * Messages between the fleet's processes: commands and queries to control, load reports to entries, dispatches and
 * response frames between entries and agents. Requests are validated against their schemas on receipt.
 */
import { z } from "zod";
import type { MessageCode } from "./diagnostics.js";
import { backendServerRecordSchema } from "./directory.js";
import { evacuationOrderSchema } from "./evacuationMessages.js";
import type { EvacuationList, EvacuationOutcome } from "./evacuationMessages.js";
import type { PartCrash } from "./partBlame.js";
import type { Verdict } from "./verdict.js";

const boundedString = z.string().min(1).max(200);
const tokenCount = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER);
const timestampMs = z.number().nonnegative();

/** Announcement of an agent and its backend server, sent when the agent starts. */
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
/** Announcement of an agent and its backend server. */
export type AgentAnnouncement = z.infer<typeof agentSchema>;

/** Announcement of an entry, sent when it starts. */
export const entrySchema = z.object({
    vm: boundedString,
    failureDomain: boundedString,
    incarnation: boundedString,
    address: boundedString,
    /**
     * Earlier incarnations on the same VM, as control listed them to this one. Only these are superseded, so an announcement that arrives
     * late never supersedes a newer incarnation. If it is absent, all others on the VM are superseded.
     */
    replaces: z.array(boundedString).max(10_000).readonly().optional(),
}).readonly();
/** Announcement of an entry. */
export type EntryAnnouncement = z.infer<typeof entrySchema>;

/** One lease of a renewal. All counts are totals since the lease was opened, which makes resends idempotent. */
export const leaseRenewalSchema = z.object({
    leaseId: boundedString,
    budget: boundedString,
    /** Settled tokens by incarnation of the agent that ran the requests. */
    settledTokens: z.record(boundedString, tokenCount).readonly(),
    /** Every attempt that started before this control time is settled. */
    settledBeforeMs: timestampMs,
    releasedTokens: tokenCount,
    /** Unreserved tokens that the entry requests to hold in addition to its reserved ones. */
    wantTokens: tokenCount,
    /** Tokens that a waiting request needs now beyond those of the lease. Zero if none is waiting. */
    starvingTokens: tokenCount,
    isClosing: z.boolean(),
    /** True if the entry dispatches without agents, so that no other process knows which requests it started. */
    isDirect: z.boolean().optional(),
    /**
     * Usage ceiling that the entry proposes: the most that it may have delivered under the lease, as a total since the lease was opened.
     * Absent for entries with agents and in renewals of earlier versions.
     */
    ceilingTokens: tokenCount.optional(),
}).readonly();
/** One lease of a renewal. */
export type LeaseRenewal = z.infer<typeof leaseRenewalSchema>;

/** Outcome of a renewal for one lease. */
export type LeaseOutcome = "granted" | "recalling" | "exhausted" | "closed" | "unknownBudget";

/** Result of a renewal for one lease. */
export interface LeaseGrant {
    readonly leaseId: string;
    readonly outcome: LeaseOutcome;
    /** Control's time when it applied this renewal. A lower bound of its time when the reply arrives. */
    readonly controlTimeMs: number;
    /** Total tokens granted since the lease was opened. */
    readonly grantedTokens: number;
    readonly expiresAtMs: number;
    /** Unreserved tokens that control asks the entry to return with the next renewal. */
    readonly recallTokens: number;
    /** Tokens of the budget that no lease holds after this renewal. */
    readonly freeTokens: number;
    /** Committed usage ceiling. Absent for leases without one and in replies of earlier versions. */
    readonly ceilingTokens?: number;
}

/** A finished request with an idempotency key, billed under a lease. */
export const keyedUsageSchema = z.object({
    clientAccount: boundedString,
    key: boundedString,
    requestId: boundedString,
    billedTokens: tokenCount,
}).readonly();
/** A finished request with an idempotency key, billed under a lease. */
export type KeyedUsage = z.infer<typeof keyedUsageSchema>;

/** Usage that an agent recorded under one lease. */
export const leaseUsageSchema = z.object({
    leaseId: boundedString,
    /** Tokens of finished requests without an idempotency key. */
    finishedTokens: tokenCount,
    /** Upper bound of the tokens of running requests. The lease stays open until it is zero. */
    runningTokens: tokenCount,
    keyed: z.array(keyedUsageSchema).readonly(),
}).readonly();
/** Usage that an agent recorded under one lease. */
export type LeaseUsage = z.infer<typeof leaseUsageSchema>;

/** A client account's claim to an idempotency key. */
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
    /** Number of times that a lost attempt of an idempotent request was replaced by a new one. */
    readonly attempt: number;
}

/** Result of opening a claim. `held`: the key is already claimed. `conflict`: it was claimed with another body or idempotency. */
export type ClaimOpening =
    | { readonly kind: "opened"; readonly claim: Claim; }
    | { readonly kind: "held"; readonly claim: Claim; }
    | { readonly kind: "conflict"; };

/** A validation problem in a submitted configuration set. */
export interface Problem {
    readonly object: string;
    readonly field: string;
    readonly detail: string;
}

/** Result of a configuration change. */
export interface ChangeOutcome {
    readonly outcome: "accepted" | "repeated" | "conflict" | "invalid";
    readonly version: number;
    readonly problems: readonly Problem[];
    /** After a conflict, the change that was applied first. */
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
    /** Settled tokens that were written off because their usage was lost with an agent. */
    readonly writtenOffTokens: number;
}

/** One record of the audit log. */
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

/** Limits of the names in a crash report that a caller chooses. */
export const crashReportLimits = { nameLength: 200, partIds: 200 } as const;

/** Report of a backend server crash that a request may have caused. */
export const crashReportSchema = z.object({
    fingerprint: boundedString,
    requestId: boundedString,
    backendServer: boundedString,
    incarnation: boundedString,
    failureDomain: boundedString,
    isSolo: z.boolean(),
    /** Time between the crash and the sending of the report. */
    ageMs: z.number().nonnegative().optional(),
    /** Parts of the prompt that other prompts may share, if the answer had not begun. */
    partIds: z.array(boundedString).max(crashReportLimits.partIds).optional(),
}).readonly();
/** Report of a backend server crash that a request may have caused. */
export type CrashReport = z.infer<typeof crashReportSchema>;

/** Quarantine state of a request fingerprint. */
export type Suspicion = "clear" | "suspect" | "quarantined";

/** Crashes held against one part of prompts. Times are in control time. */
export interface SuspectPartView {
    readonly partId: string;
    readonly crashes: readonly PartCrash[];
    readonly expiresAtMs: number;
}

/** Quarantine record of one request fingerprint. */
export interface QuarantineView {
    readonly fingerprint: string;
    readonly suspicion: Suspicion;
    readonly crashes: number;
    readonly expiresAtMs: number;
    /** Time from which one entry may run the request once, to see whether it still crashes. Absent in replies of earlier versions. */
    readonly trialAtMs?: number;
}

/** Record of an agent in control's fleet state. */
export interface FleetAgent extends AgentAnnouncement {
    readonly state: "present" | "leaving" | "lost";
    readonly joinedAtMs: number;
    readonly isDraining: boolean;
}

/** An order to load or unload a model version or an adapter on an engine. */
export interface EngineOrder {
    readonly orderId: number;
    /** Fencing token. An agent rejects orders with a lower epoch than the highest one it has seen. */
    readonly epoch: number;
    readonly backendServer: string;
    readonly action: "load" | "unload";
    readonly artifact: string;
    readonly notBeforeMs: number;
}

/** Schemas of the commands that are applied through the replicated log, by kind. */
export const commandSchemas = {
    "configuration.apply": z.object({
        baseVersion: z.number().int().nonnegative(),
        changeId: boundedString,
        objects: z.array(z.unknown()).max(100_000),
        actor: boundedString,
    }),
    /** Replaces the configuration with a set whose version number the operator assigned. The set with the highest number is in force. */
    "configuration.replace": z.object({
        operatorVersion: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER),
        objects: z.array(z.unknown()).max(100_000),
        /** The set as the operator wrote it, returned by `configuration.document`. */
        document: z.string(),
        actor: boundedString,
    }),
    "budgets.topUp": z.object({ budget: boundedString, tokens: tokenCount.positive(), actor: boundedString }),
    "budgets.release": z.object({ leaseId: boundedString, spentTokens: tokenCount, actor: boundedString }),
    "leases.renew": z.object({ vm: boundedString, incarnation: boundedString, leases: z.array(leaseRenewalSchema).max(20_000) }),
    /** `isSuperseded` if the entry's VM has announced a newer incarnation. Otherwise the lease must have expired. */
    "leases.beginRecovery": z.object({ leaseId: boundedString, isSuperseded: z.boolean() }),
    /** Closes leases that have a usage ceiling with the ceiling as spent, where they have expired or their entry was superseded. */
    "leases.closeAtCeiling": z.object({ leases: z.array(z.object({ leaseId: boundedString, isSuperseded: z.boolean() })).max(20_000) }),
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
        /** Request that this one replaces because its attempt was lost. */
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
    /** Asks to run a quarantined request once. */
    "quarantine.requestTrial": z.object({ fingerprint: boundedString }),
    "quarantine.exonerateParts": z.object({ partIds: z.array(boundedString).max(crashReportLimits.partIds) }),
    "quarantine.clear": z.object({ fingerprint: boundedString, actor: boundedString }),
    "evacuations.set": evacuationOrderSchema,
    /** Makes the leaving of a backend server without an agent durable. */
    "leavingServers.record": z.object({ record: backendServerRecordSchema }),
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
    readonly "leases.closeAtCeiling": { readonly closedCount: number; };
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
    readonly "quarantine.requestTrial": { readonly isGranted: boolean; };
    readonly "quarantine.exonerateParts": { readonly isKnown: boolean; };
    readonly "quarantine.clear": { readonly isKnown: boolean; };
    readonly "evacuations.set": { readonly outcome: EvacuationOutcome; };
    readonly "leavingServers.record": { readonly isRecorded: boolean; };
    readonly "orders.plan": { readonly planned: number; };
    readonly "orders.done": { readonly isKnown: boolean; };
}

/** Schemas of the linearizable reads, which a quorum confirms, by kind. */
export const querySchemas = {
    "configuration.get": z.object({}),
    "configuration.document": z.object({}),
    "configuration.validate": z.object({ objects: z.array(z.unknown()) }),
    "budgets.list": z.object({}),
    "budgets.show": z.object({ budget: boundedString }),
    "leases.list": z.object({}),
    "audit.since": z.object({ wallMs: timestampMs, limit: z.number().int().positive().max(10_000) }),
    /** Lists only what is on the VM, if one is given. Earlier versions list the whole fleet. */
    "fleet.list": z.object({ vm: boundedString.optional() }),
    "quarantine.list": z.object({}),
    "evacuations.list": z.object({}),
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
    readonly "fleet.list": {
        readonly agents: readonly FleetAgent[];
        readonly entries: readonly EntryAnnouncement[];
        /** Incarnations that hold leases on the VM that was asked for. Absent otherwise, and in replies of earlier versions. */
        readonly leaseHolders?: readonly string[];
    };
    readonly "quarantine.list": {
        readonly fingerprints: readonly QuarantineView[];
        readonly parts: readonly (SuspectPartView & { readonly suspicion: Suspicion; })[];
    };
    readonly "claims.find": { readonly claim?: Claim; };
    readonly "orders.for": { readonly epoch: number; readonly orders: readonly EngineOrder[]; };
    readonly "evacuations.list": EvacuationList;
    readonly "control.status": {
        readonly version: number;
        readonly appliedIndex: number;
        readonly controlTimeMs: number;
        /** `changeIndex` of the list of evacuations. Absent from a control VM of an earlier version. */
        readonly evacuationsIndex?: number;
    };
}

/** The configuration set in force as the operator wrote it. `document` is absent before the first set. */
export interface OperatorDocument {
    readonly operatorVersion: number;
    readonly document?: string;
}

/** The configuration in force. */
export interface ConfigurationView {
    readonly version: number;
    readonly digest: string;
    readonly objects: readonly unknown[];
    /** Quarantine records of request fingerprints. Their expiry is in control time. */
    readonly quarantined: readonly QuarantineView[];
    /** Fingerprints with crashes that are too few for a quarantine. Absent in replies of earlier versions. */
    readonly suspects?: readonly string[];
    /** Parts of prompts that may crash backend servers. Absent in replies of earlier versions. */
    readonly suspectParts?: readonly SuspectPartView[];
    /** Absent in replies of earlier versions. */
    readonly evacuations?: EvacuationList;
}

/** Difference between two versions of the configuration. The digest is that of the full set at the new version. */
export interface ConfigurationDelta {
    readonly baseVersion: number;
    readonly version: number;
    readonly digest: string;
    readonly changed: readonly unknown[];
    /** Keys of the removed objects, each made of kind and name. */
    readonly removed: readonly string[];
    readonly quarantined: readonly QuarantineView[];
    readonly suspects?: readonly string[];
    readonly suspectParts?: readonly SuspectPartView[];
    readonly evacuations?: EvacuationList;
}

/** One lease, as reported to operators. */
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

/** Envelope of a reply from control. */
export type ControlReply<T> =
    | { readonly kind: "done"; readonly index: number; readonly controlTimeMs: number; readonly result: T; }
    | { readonly kind: "notLeader"; readonly leaderAddress?: string; }
    | { readonly kind: "unavailable"; readonly detail: string; }
    /** The call was rejected and had no effect. */
    | { readonly kind: "rejected"; readonly detail: string; };

/** Load report of one backend server, sent by its agent to entries. */
export const loadReportSchema = z.object({
    backendServer: boundedString,
    incarnation: boundedString,
    /** The agent's announcement. Sent in the first report, when it changes, and when the entry asks for it. */
    agent: agentSchema.optional(),
    sequence: z.number().int().nonnegative(),
    isLeaving: z.boolean(),
    /** False while the backend server does not respond to its agent. */
    isHealthy: z.boolean(),
    /** Number of requests that the agent currently holds, and prompt tokens of those that have not produced a token yet. */
    outstandingRequests: z.number().nonnegative(),
    pendingTokens: z.number().nonnegative(),
    /** Reported by the engine itself, with a delay. */
    runningRequests: z.number().nonnegative(),
    queuedRequests: z.number().nonnegative(),
    tokensPerSecond: z.number().nonnegative(),
    cacheAdded: z.array(z.string()).readonly(),
    cacheRemoved: z.array(z.string()).readonly(),
}).readonly();
/** Load report of one backend server, sent by its agent to entries. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Header of a request that an entry dispatches to an agent. The caller's body follows unchanged. */
export const dispatchSchema = z.object({
    requestId: boundedString,
    attempt: z.number().int().nonnegative(),
    incarnation: boundedString,
    clientAccount: boundedString,
    fingerprint: boundedString,
    serviceClass: z.enum(["interactive", "batch"]),
    isIdempotent: z.boolean(),
    /** True if the request is suspected of causing a crash and must run alone on its backend server. */
    isSolo: z.boolean(),
    idempotencyKey: boundedString.optional(),
    /** Remaining time until the deadline, counted from arrival at the agent. */
    timeoutMs: z.number().positive(),
    method: boundedString,
    path: boundedString,
    contentType: z.string(),
    /** Absent for plain services, whose requests are not billed. */
    lease: z.object({ leaseId: boundedString, reservedTokens: tokenCount, expiresAtMs: timestampMs }).readonly().optional(),
    maxCompletionTokens: tokenCount,
    /** Prompt tokens that the engine is expected to compute, without those in its prefix cache. */
    prefillTokens: z.number().nonnegative(),
    /** True if an answer that reaches `maxCompletionTokens` counts as truncated, and so is neither delivered nor billed. */
    isTight: z.boolean(),
}).readonly();
/** Header of a request that an entry dispatches to an agent. */
export type Dispatch = z.infer<typeof dispatchSchema>;

interface FrameBase {
    readonly requestId: string;
    readonly sequence: number;
}

/** One frame of a response stream from an agent to an entry. */
export type Frame =
    | FrameBase & { readonly kind: "head"; readonly status: number; readonly contentType: string; }
    /** Text for model engines, base64 for plain services. */
    | FrameBase & { readonly kind: "chunk"; readonly data: string; }
    | FrameBase & { readonly kind: "end"; readonly promptTokens: number; readonly completionTokens: number; }
    | FrameBase & { readonly kind: "failed"; readonly verdict: Verdict; };

/** Current load of an agent. It is sent with every reply to a dispatch. */
export const agentLoadSchema = z.object({ outstandingRequests: z.number(), pendingTokens: z.number() }).readonly();
/** Current load of an agent. */
export type AgentLoad = z.infer<typeof agentLoadSchema>;

/** HTTP header that carries an agent's load. */
export const agentLoadHeader = "lovage-agent-load";

/** Body of an agent's refusal. A refused request did not run. */
export interface AgentRefusal {
    readonly code: MessageCode;
    readonly detail: string;
}

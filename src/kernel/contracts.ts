/**
 * The remote procedures that the fleet's processes offer each other, as tRPC routers over plain interfaces.
 * Each process implements its interface, and its clients are typed by the router.
 */
import { z } from "zod";
import type { BackendServerRecord } from "./directory.js";
import type { EvacuationList } from "./evacuationMessages.js";
import { commandSchemas, loadReportSchema, querySchemas } from "./messages.js";
import type {
    CommandKind,
    ConfigurationDelta,
    ConfigurationView,
    ControlReply,
    EngineOrder,
    EntryAnnouncement,
    LeaseUsage,
    LoadReport,
    QueryKind,
} from "./messages.js";
import type { TargetPools } from "./routedPools.js";
import { rpc } from "./rpc.js";

const maxTextLength = 200;
const boundedString = z.string().min(1).max(maxTextLength);
/** Callers choose the ids of requests and of prompt parts. A longer one is told to no other process, which would refuse the whole message. */
export const maxSharedIdLength = maxTextLength;
const commandKinds = Object.keys(commandSchemas) as [CommandKind, ...CommandKind[]];
const queryKinds = Object.keys(querySchemas) as [QueryKind, ...QueryKind[]];

/** A command sent to control. Control validates the input against the schema of the command's kind. */
export const submitSchema = z.object({ operationId: boundedString, kind: z.enum(commandKinds), input: z.unknown() });
/** A command sent to control. */
export type SubmitRequest = Readonly<z.infer<typeof submitSchema>>;

/** A linearizable read, confirmed by a quorum. */
export const querySchema = z.object({ kind: z.enum(queryKinds), input: z.unknown() });
/** A linearizable read, confirmed by a quorum. */
export type QueryRequest = Readonly<z.infer<typeof querySchema>>;

/** A long poll for the next published revision. It also reports which configuration version the caller uses. */
export const watchSchema = z.object({
    vm: boundedString,
    role: z.enum(["entry", "agent", "control"]),
    failureDomain: z.string(),
    incarnation: boundedString,
    version: z.number().int().nonnegative(),
    revision: z.number().int().nonnegative(),
    /** `changeIndex` of the evacuations that the caller keeps to. Absent from a caller of an earlier version, which knows of none. */
    evacuationsIndex: z.number().int().nonnegative().optional(),
    timeoutMs: z.number().positive().max(60_000),
});
/** A long poll for the next published revision. */
export type WatchRequest = Readonly<z.infer<typeof watchSchema>>;

/** Result of a watch: the configuration, if it is newer than the caller's, and the budgets recalled from the caller. */
export interface WatchReply {
    readonly revision: number;
    readonly configuration?: ConfigurationView;
    /** Sent instead of the full configuration if control still has the changes since the caller's version. */
    readonly delta?: ConfigurationDelta;
    readonly recalledBudgets: readonly string[];
    /** False while the state of this control VM may have lacked committed changes for too long. */
    readonly isConnected: boolean;
    /** Time since which the state of this control VM may lack committed changes. Absent if it is not known. */
    readonly stateAgeMs?: number;
    /** Term of the log at this control VM. Absent from a control VM of an earlier version. */
    readonly term?: number;
    /** Addresses of all voting control VMs. */
    readonly members: readonly string[];
    /**
     * Time that the call was held for a change. The caller derives from it how long the reply was on its way. Absent from a control VM of
     * an earlier version.
     */
    readonly waitedMs?: number;
}

/** A long poll for changes to backend servers. Revisions are comparable only within one incarnation of a control VM. */
export const directoryRequestSchema = z.object({
    incarnation: z.string(),
    revision: z.number().int().nonnegative(),
    timeoutMs: z.number().positive().max(60_000),
    /** Address at which the polling entry receives load messages from other entries. */
    watcher: boundedString.optional(),
    /** True if the reply should list all entries. */
    needsEntries: z.boolean().optional(),
});
/** A long poll for changes to backend servers. */
export type DirectoryRequest = Readonly<z.infer<typeof directoryRequestSchema>>;

/** Backend servers that changed since the requested revision. Those not listed are unchanged. */
export interface DirectoryReply {
    readonly incarnation: string;
    readonly revision: number;
    readonly servers: readonly BackendServerRecord[];
    /** Addresses of a bounded number of other entries that watch the directory. */
    readonly watchers: readonly string[];
    /** Number of all watching entries, including the caller. */
    readonly watcherCount: number;
    /** Position of the caller among all watching entries, in the order of their addresses. Absent from a control VM of an earlier version. */
    readonly watcherRank?: number;
    /** Hashes of the addresses of all watching entries, if requested. Absent from a control VM of an earlier version. */
    readonly entryHashes?: readonly number[];
    readonly isConnected: boolean;
    /** Time that the call was held for a change. Absent from a control VM of an earlier version. */
    readonly waitedMs?: number;
}

/** Backend server records and watching entries that one control VM gossips to another. */
export const directoryGossipSchema = z.object({
    /** Records, each of which the receiver checks by itself. */
    servers: z.array(z.unknown()).max(100_000),
    watchers: z.array(boundedString).max(10_000),
});
/** Backend server records and watching entries that one control VM gossips to another. */
export type DirectoryGossip = Readonly<z.infer<typeof directoryGossipSchema>>;

/** Where a resumable stream began: the pool and the software version of its backend server. */
export const streamOriginSchema = z.object({
    /** Identifier that the caller chose for the request that began the stream. */
    requestId: boundedString,
    pool: boundedString,
    softwareVersion: z.string().max(maxTextLength),
    /**
     * Number of the attempt, from 1, that is about to begin the stream. A record of a later attempt replaces those of earlier ones. Absent from an
     * entry of an earlier version.
     */
    attempt: z.int().positive().optional(),
}).readonly();
/** Where a resumable stream began. */
export type StreamOriginRecord = z.infer<typeof streamOriginSchema>;

/** Longest host or path that an entry names when it asks where a stream began. */
export const maxTargetLength = 2_000;

/** Asks a control VM where a stream began. */
export const originRequestSchema = z.object({
    requestId: boundedString.optional(),
    pool: boundedString,
    /** Longest time for which a caller may take a stream up again. */
    windowMs: z.number().nonnegative(),
    /** Host and path of the stream's request. Absent if they are long, or from an entry of an earlier version. */
    target: z.object({ host: z.string().max(maxTargetLength), path: z.string().max(maxTargetLength) }).optional(),
}).readonly();
/** Asks a control VM where a stream began. */
export type OriginRequest = z.infer<typeof originRequestSchema>;

/** What one control VM knows of a stream. */
export interface OriginReply {
    readonly origin?: Omit<StreamOriginRecord, "requestId">;
    /** True if this control VM has run during the whole window, so that it would know of each stream that it was told of. */
    readonly isWindowKnown: boolean;
    /** The only version that the pool had at the start of the window. Absent if there were several. */
    readonly versionBefore?: string;
    /** Digest of the routes in force at the start of the window. Absent if unknown, or from a control VM of an earlier version. */
    readonly routesBefore?: string;
    /** Digests of all routes in force since the start of the window, as far as this control VM has run. */
    readonly routesSince?: readonly string[];
    /**
     * Pools to which the target of the request could be sent at the start of the window and since then. Absent without a target, and from a
     * control VM of an earlier version.
     */
    readonly targetPools?: TargetPools;
    /**
     * All versions that the pool has had since the start of the window, as far as this control VM has run. Absent from a control VM of an
     * earlier version.
     */
    readonly versionsSince?: readonly string[];
    /**
     * Present versions of the pool's backend servers by name. A server may have started again under its name at another version. Absent from
     * a control VM of an earlier version.
     */
    readonly versionByServer?: Readonly<Record<string, string>>;
}

/** A request of a control VM with an empty disk to join the group. */
export const joinSchema = z.object({ voterId: boundedString, address: boundedString, failureDomain: z.string() });
/** A request of a control VM to join the group. */
export type JoinRequest = Readonly<z.infer<typeof joinSchema>>;

/** Heartbeat that an agent sends to the leader. */
export const heartbeatSchema = z.object({
    vm: boundedString,
    failureDomain: z.string(),
    incarnation: boundedString,
    backendServer: boundedString,
    /** Some of the leases for which the agent keeps counters. The reply says which of them are closed. */
    leaseIds: z.array(boundedString).max(1_000),
    /** Log index of the list of entries that the agent has. */
    entriesIndex: z.number().int().nonnegative(),
});
/** Heartbeat that an agent sends to the leader. */
export type Heartbeat = Readonly<z.infer<typeof heartbeatSchema>>;

/** Result of a heartbeat. */
export interface HeartbeatResult {
    /** False if control does not know this incarnation, so that the agent must announce itself again. */
    readonly isKnown: boolean;
    readonly isDraining: boolean;
    readonly closedLeaseIds: readonly string[];
    readonly entriesIndex: number;
    /** Present if the agent's list is out of date. */
    readonly entries?: readonly EntryAnnouncement[];
    readonly epoch: number;
    readonly orders: readonly EngineOrder[];
}

/** Status of one VM of the fleet. */
export interface VmStatus {
    readonly vm: string;
    readonly role: string;
    readonly failureDomain: string;
    readonly versionInForce: number;
    readonly seenMsAgo: number;
    /** `changeIndex` of the evacuations that an entry keeps to. Absent if it keeps to none. */
    readonly evacuationsIndex?: number;
}

/** Status of one control VM and its view of the fleet. */
export interface ControlStatus {
    readonly voterId: string;
    readonly vm: string;
    readonly role: string;
    readonly term: number;
    readonly leaderAddress?: string;
    readonly version: number;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly voters: readonly {
        readonly voterId: string;
        readonly address: string;
        readonly failureDomain: string;
        readonly isLearner: boolean;
    }[];
    readonly vms: readonly VmStatus[];
    /** Absent from a control VM of an earlier version. */
    readonly evacuations?: EvacuationList;
}

/** API of control for the fleet and for operators. */
export interface ControlApi {
    submit(request: SubmitRequest): Promise<ControlReply<unknown>>;
    query(request: QueryRequest): Promise<ControlReply<unknown>>;
    watch(request: WatchRequest): Promise<WatchReply>;
    heartbeat(request: Heartbeat): Promise<ControlReply<HeartbeatResult>>;
    status(): Promise<ControlStatus>;
    ping(): { readonly isConnected: boolean; };
    watchDirectory(request: DirectoryRequest): Promise<DirectoryReply>;
    /** Receives gossip from another control VM. Returns this VM's incarnation. */
    spread(message: DirectoryGossip): { readonly incarnation: string; };
    /** Adds a control VM to the group as a learner. It becomes a voter once it has caught up and a voter slot is free. */
    /** Keeps where streams began, for entries that do not know it. */
    recordOrigins(message: { readonly origins: readonly StreamOriginRecord[]; }): true;
    findOrigin(request: OriginRequest): OriginReply;
    join(request: JoinRequest): Promise<ControlReply<boolean>>;
    replaceVoter(request: { oldVoterId: string; voterId: string; address: string; failureDomain: string; }): Promise<ControlReply<boolean>>;
}

/** Procedures of control, except those between its own replicas. */
export function createControlRouter(api: ControlApi) {
    return rpc.router({
        submit: rpc.procedure.input(submitSchema).mutation(({ input }) => api.submit(input as SubmitRequest)),
        query: rpc.procedure.input(querySchema).query(({ input }) => api.query(input as QueryRequest)),
        watch: rpc.procedure.input(watchSchema).query(({ input }) => api.watch(input)),
        heartbeat: rpc.procedure.input(heartbeatSchema).mutation(({ input }) => api.heartbeat(input)),
        status: rpc.procedure.query(() => api.status()),
        ping: rpc.procedure.query(() => api.ping()),
        watchDirectory: rpc.procedure.input(directoryRequestSchema).query(({ input }) => api.watchDirectory(input)),
        spread: rpc.procedure.input(directoryGossipSchema).mutation(({ input }) => api.spread(input)),
        recordOrigins: rpc.procedure.input(z.object({ origins: z.array(streamOriginSchema).max(10_000) }))
            .mutation(({ input }) => api.recordOrigins(input)),
        findOrigin: rpc.procedure.input(originRequestSchema).query(({ input }) => api.findOrigin(input)),
        join: rpc.procedure.input(joinSchema).mutation(({ input }) => api.join(input)),
        replaceVoter: rpc.procedure
            .input(z.object({ oldVoterId: boundedString, voterId: boundedString, address: boundedString, failureDomain: z.string() }))
            .mutation(({ input }) => api.replaceVoter(input)),
    });
}
/** Type of control's procedures. */
export type ControlRouter = ReturnType<typeof createControlRouter>;

/** API of an entry for agents. */
export interface EntryApi {
    /** Records a load report and returns when the next one is due. */
    report(report: LoadReport): Promise<ReportReply>;
}

/** Result of a load report. */
export interface ReportReply {
    readonly nextReportMs: number;
    /** True if the entry does not have the announcement of this incarnation and asks for it. */
    readonly wantsAgent: boolean;
}

/** Procedures of an entry. */
export function createEntryRouter(api: EntryApi) {
    return rpc.router({
        report: rpc.procedure.input(loadReportSchema).mutation(({ input }) => api.report(input)),
    });
}
/** Type of an entry's procedures. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;

/** What an entry has learned from an answer about the rate of requests that a backend server takes. */
export const sharedLimitSchema = z.object({
    /** Absent if the server no longer names a rate. */
    perSecond: z.number().nonnegative().optional(),
    /** Time since the answer. */
    ageMs: z.number().nonnegative(),
}).readonly();
/** What an entry has learned about the rate of requests that a backend server takes. */
export type SharedLimit = z.infer<typeof sharedLimitSchema>;

/** Unfinished dispatches of one entry to one backend server. */
export const sharedServerLoadSchema = z.object({
    backendServer: boundedString,
    /** Number of unfinished dispatches. */
    running: z.number().int().nonnegative(),
    /** Dispatches whose response has not started, and the number of prompt tokens they still have to process. */
    waiting: z.number().int().nonnegative(),
    waitingTokens: z.number().nonnegative(),
    /** Prompt parts dispatched to this backend server since the previous message. */
    partIds: z.array(boundedString).max(2_000),
    limit: sharedLimitSchema.optional(),
}).readonly();
/** Unfinished dispatches of one entry to one backend server. */
export type SharedServerLoad = z.infer<typeof sharedServerLoadSchema>;

/** The unfinished dispatches of one entry, sent to another entry. Each message replaces the previous one. */
export const sharedLoadSchema = z.object({
    from: boundedString,
    sequence: z.number(),
    servers: z.array(sharedServerLoadSchema).max(10_000),
});
/** The unfinished dispatches of one entry, sent to another entry. */
export type SharedLoad = Readonly<z.infer<typeof sharedLoadSchema>>;

/** Procedures of an entry that dispatches directly to backend servers, without agents. */
export function createGatewayRouter(api: { readonly shareLoad: (load: SharedLoad) => void; }) {
    return rpc.router({
        shareLoad: rpc.procedure.input(sharedLoadSchema).mutation(({ input }) => api.shareLoad(input)),
    });
}
/** Type of the procedures of an entry that dispatches directly to backend servers. */
export type GatewayRouter = ReturnType<typeof createGatewayRouter>;

/**
 * What a cancelled attempt is billed for. `never`: nothing, because its answer cannot be delivered. `finished`: only a complete
 * answer, which a retry with the same idempotency key can still get. `generated`: also a partial answer, because the caller
 * disconnected while it was being generated.
 */
export type CancelBilling = "never" | "finished" | "generated";

/** A request to cancel an attempt. */
export const cancelSchema = z.object({
    requestId: boundedString,
    /** Incarnation of the agent that the attempt was sent to. Absent if the caller is of an earlier version. */
    incarnation: boundedString.optional(),
    bill: z.enum(["never", "finished", "generated"]),
});
/** A request to cancel an attempt. */
export type CancelRequest = Readonly<z.infer<typeof cancelSchema>>;

/** API of an agent for control and entries, besides the response streams. */
export interface AgentApi {
    /** Rejects new requests under these leases from now on and returns the usage recorded under them. */
    closeLeases(request: { readonly incarnation: string; readonly leaseIds: readonly string[]; }): Promise<CloseLeasesReply>;
    /** Stops an attempt whose result is no longer needed. */
    cancel(request: CancelRequest): Promise<CancelReply>;
    /** Returns the number of prompt tokens in a chat request as counted by the engine. Undefined if the engine cannot count them. */
    countTokens(request: { readonly body: string; }): Promise<{ readonly promptTokens?: number; }>;
}

/** Result of closing leases. */
export type CloseLeasesReply =
    | { readonly kind: "closed"; readonly uses: readonly LeaseUsage[]; }
    /** Another incarnation now uses the address, so the requested one no longer runs. */
    | { readonly kind: "otherIncarnation"; readonly incarnation: string; };

/** Result of a cancellation: the state of the attempt. */
export interface CancelReply {
    /**
     * `unknown` if the agent has not started the attempt and never will. `running` if the attempt must not be stopped. `otherIncarnation` if the
     * agent has restarted since the attempt was sent, so that it does not know whether the attempt has run.
     */
    readonly state: "unknown" | "stopped" | "finished" | "running" | "otherIncarnation";
    readonly billedTokens: number;
}

/** Procedures of an agent. */
export function createAgentRouter(api: AgentApi) {
    return rpc.router({
        closeLeases: rpc.procedure
            .input(z.object({ incarnation: boundedString, leaseIds: z.array(boundedString).max(10_000) }))
            .mutation(({ input }) => api.closeLeases(input)),
        countTokens: rpc.procedure.input(z.object({ body: z.string() })).mutation(({ input }) => api.countTokens(input)),
        cancel: rpc.procedure.input(cancelSchema).mutation(({ input }) => api.cancel(input)),
    });
}
/** Type of an agent's procedures. */
export type AgentRouter = ReturnType<typeof createAgentRouter>;

/**
 * The procedures that the fleet's processes serve to each other, as tRPC routers over plain interfaces.
 * Each part implements its interface; its callers use the router's type.
 */
import { z } from "zod";
import { backendServerRecordSchema } from "./directory.js";
import type { BackendServerRecord } from "./directory.js";
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
import { rpc } from "./rpc.js";

const boundedString = z.string().min(1).max(200);
const commandKinds = Object.keys(commandSchemas) as [CommandKind, ...CommandKind[]];
const queryKinds = Object.keys(querySchemas) as [QueryKind, ...QueryKind[]];

/** A command on its way to control. The input is checked against the schema of its kind. */
export const submitSchema = z.object({ operationId: boundedString, kind: z.enum(commandKinds), input: z.unknown() });
/** A command on its way to control. */
export type SubmitRequest = Readonly<z.infer<typeof submitSchema>>;

/** A read that a quorum is to confirm. */
export const querySchema = z.object({ kind: z.enum(queryKinds), input: z.unknown() });
/** A read that a quorum is to confirm. */
export type QueryRequest = Readonly<z.infer<typeof querySchema>>;

/** A wait for the next published revision. It tells control what the node has in force. */
export const watchSchema = z.object({
    vm: boundedString,
    role: z.enum(["entry", "agent", "control"]),
    failureDomain: z.string(),
    incarnation: boundedString,
    version: z.number().int().nonnegative(),
    revision: z.number().int().nonnegative(),
    timeoutMs: z.number().positive().max(60_000),
});
/** A wait for the next published revision. */
export type WatchRequest = Readonly<z.infer<typeof watchSchema>>;

/** What is published: the configuration where it is newer, and budgets that are recalled from this node. */
export interface WatchReply {
    readonly revision: number;
    readonly configuration?: ConfigurationView;
    /** In place of the whole where control still holds what changed since the node's version. */
    readonly delta?: ConfigurationDelta;
    readonly recalledBudgets: readonly string[];
    /** False while this VM has no contact with the leader, so that it may miss news. */
    readonly isConnected: boolean;
    /** Addresses of all control VMs that vote. */
    readonly members: readonly string[];
}

/** A wait for news of backend servers. The revision counts within one incarnation of a control VM. */
export const directoryRequestSchema = z.object({
    incarnation: z.string(),
    revision: z.number().int().nonnegative(),
    timeoutMs: z.number().positive().max(60_000),
    /** Address at which the waiting entry hears other entries. */
    watcher: boundedString.optional(),
});
/** A wait for news of backend servers. */
export type DirectoryRequest = Readonly<z.infer<typeof directoryRequestSchema>>;

/** Backend servers that changed. Those that are not named are as they were. */
export interface DirectoryReply {
    readonly incarnation: string;
    readonly revision: number;
    readonly servers: readonly BackendServerRecord[];
    /** Addresses of other entries that wait for the same news, a bounded number. */
    readonly watchers: readonly string[];
    /** All entries that wait, the asking one included. */
    readonly watcherCount: number;
    readonly isConnected: boolean;
}

/** Backend servers and waiting entries that one control VM passes on to another. */
export const directoryGossipSchema = z.object({
    servers: z.array(backendServerRecordSchema).max(100_000),
    watchers: z.array(boundedString).max(10_000),
});
/** Backend servers that one control VM passes on to another. */
export type DirectoryGossip = Readonly<z.infer<typeof directoryGossipSchema>>;

/** A control VM with an empty disk that asks to join the group. */
export const joinSchema = z.object({ voterId: boundedString, address: boundedString, failureDomain: z.string() });
/** A control VM that asks to join the group. */
export type JoinRequest = Readonly<z.infer<typeof joinSchema>>;

/** An agent's sign of life to the leader. */
export const heartbeatSchema = z.object({
    vm: boundedString,
    failureDomain: z.string(),
    incarnation: boundedString,
    backendServer: boundedString,
    /** Some of the leases that the agent keeps counters for, to learn which are closed. */
    leaseIds: z.array(boundedString).max(1_000),
    /** Index of the entry list that the agent knows. */
    entriesIndex: z.number().int().nonnegative(),
});
/** An agent's sign of life to the leader. */
export type Heartbeat = Readonly<z.infer<typeof heartbeatSchema>>;

/** Answer to a heartbeat. */
export interface HeartbeatResult {
    /** False when control does not know this incarnation, so that it must announce itself again. */
    readonly isKnown: boolean;
    readonly isDraining: boolean;
    readonly closedLeaseIds: readonly string[];
    readonly entriesIndex: number;
    /** Present when the agent's list is out of date. */
    readonly entries?: readonly EntryAnnouncement[];
    readonly epoch: number;
    readonly orders: readonly EngineOrder[];
}

/** One VM as the status lists it. */
export interface VmStatus {
    readonly vm: string;
    readonly role: string;
    readonly failureDomain: string;
    readonly versionInForce: number;
    readonly seenMsAgo: number;
}

/** State of one control VM. */
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
}

/** What control serves to the fleet and to operators. */
export interface ControlApi {
    submit(request: SubmitRequest): Promise<ControlReply<unknown>>;
    query(request: QueryRequest): Promise<ControlReply<unknown>>;
    watch(request: WatchRequest): Promise<WatchReply>;
    heartbeat(request: Heartbeat): Promise<ControlReply<HeartbeatResult>>;
    status(): Promise<ControlStatus>;
    ping(): { readonly isConnected: boolean; };
    watchDirectory(request: DirectoryRequest): Promise<DirectoryReply>;
    spread(message: DirectoryGossip): { readonly incarnation: string; };
    /** Takes a control VM into the group as a learner. It votes once it has caught up and a place is free. */
    join(request: JoinRequest): Promise<ControlReply<boolean>>;
    replaceVoter(request: { oldVoterId: string; voterId: string; address: string; failureDomain: string; }): Promise<ControlReply<boolean>>;
}

/** Procedures of control, without those between its own replicas. */
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
        join: rpc.procedure.input(joinSchema).mutation(({ input }) => api.join(input)),
        replaceVoter: rpc.procedure
            .input(z.object({ oldVoterId: boundedString, voterId: boundedString, address: boundedString, failureDomain: z.string() }))
            .mutation(({ input }) => api.replaceVoter(input)),
    });
}
/** Type of control's procedures. */
export type ControlRouter = ReturnType<typeof createControlRouter>;

/** What an entry serves to agents. */
export interface EntryApi {
    /** Takes a load report in, and says how soon the next one is wanted. */
    report(report: LoadReport): Promise<ReportReply>;
}

/** Answer to a load report. */
export interface ReportReply {
    readonly nextReportMs: number;
    /** True when the entry does not know this incarnation's announcement. */
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

/** What one entry has sent to a backend server and not seen end. */
export const sharedServerLoadSchema = z.object({
    backendServer: boundedString,
    /** Dispatches that have not ended. */
    running: z.number().int().nonnegative(),
    /** Dispatches whose answer has not begun, and the prompt tokens that they have to read. */
    waiting: z.number().int().nonnegative(),
    waitingTokens: z.number().nonnegative(),
    /** Parts of prompts that were sent there since the last message. */
    partIds: z.array(boundedString).max(2_000),
}).readonly();
/** What one entry has sent to a backend server and not seen end. */
export type SharedServerLoad = z.infer<typeof sharedServerLoadSchema>;

/** One entry's dispatches, for another entry. A message takes the place of the one before. */
export const sharedLoadSchema = z.object({
    from: boundedString,
    sequence: z.number(),
    servers: z.array(sharedServerLoadSchema).max(10_000),
});
/** One entry's dispatches, for another entry. */
export type SharedLoad = Readonly<z.infer<typeof sharedLoadSchema>>;

/** Procedures of an entry that dispatches to backend servers itself. */
export function createGatewayRouter(api: { readonly shareLoad: (load: SharedLoad) => void; }) {
    return rpc.router({
        shareLoad: rpc.procedure.input(sharedLoadSchema).mutation(({ input }) => api.shareLoad(input)),
    });
}
/** Type of the procedures of an entry that dispatches itself. */
export type GatewayRouter = ReturnType<typeof createGatewayRouter>;

/**
 * What a cancelled attempt is billed for. `never`: nothing, because its answer can reach nobody. `finished`: a whole answer, which a
 * retry with its key can still get. `generated`: also a part, because the caller left while it ran.
 */
export type CancelBilling = "never" | "finished" | "generated";

/** A request to stop an attempt. */
export const cancelSchema = z.object({
    requestId: boundedString,
    bill: z.enum(["never", "finished", "generated"]),
});
/** A request to stop an attempt. */
export type CancelRequest = Readonly<z.infer<typeof cancelSchema>>;

/** What an agent serves to control and to entries, beside the streams. */
export interface AgentApi {
    /** Refuses all further starts under these leases and tells what ran under them. */
    closeLeases(request: { readonly incarnation: string; readonly leaseIds: readonly string[]; }): Promise<CloseLeasesReply>;
    /** Stops an attempt that nobody waits for any more. */
    cancel(request: CancelRequest): Promise<CancelReply>;
    /** Prompt tokens of a chat request as the engine counts them. Undefined where it cannot say. */
    countTokens(request: { readonly body: string; }): Promise<{ readonly promptTokens?: number; }>;
}

/** Answer to the closing of leases. */
export type CloseLeasesReply =
    | { readonly kind: "closed"; readonly uses: readonly LeaseUsage[]; }
    /** The address belongs to another incarnation now, so the one that was asked is gone. */
    | { readonly kind: "otherIncarnation"; readonly incarnation: string; };

/** Answer to a cancel: what the attempt had come to. */
export interface CancelReply {
    /** `unknown` when the agent never started it, and it never will. `running` when it may not be stopped. */
    readonly state: "unknown" | "stopped" | "finished" | "running";
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

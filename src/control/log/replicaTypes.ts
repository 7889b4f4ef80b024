/** Shared vocabulary of one replica: what it is given, what it answers, and the state that its tasks share. */
import type { Host } from "../../kernel/host.js";
import type { ApplyContext } from "../../kernel/registry.js";
import type { Address } from "../../kernel/types.js";
import type { LogStore } from "./store.js";
import type {
    AppendReply,
    AppendRequest,
    HardState,
    LogEntry,
    Member,
    Membership,
    Snapshot,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
    VoterId,
} from "./types.js";

/** What a replica is doing. */
export type ReplicaRole = "follower" | "candidate" | "leader";

/** Which replica is meant, and where it was last. */
export type PeerAddress = Pick<Member, "voterId" | "address">;

/** Calls to the other replicas. */
export interface PeerCalls {
    vote(to: PeerAddress, request: VoteRequest): Promise<VoteReply>;
    append(to: PeerAddress, request: AppendRequest): Promise<AppendReply>;
    installSnapshot(to: PeerAddress, chunk: SnapshotChunk): Promise<SnapshotReply>;
    startElection(to: PeerAddress, term: number): Promise<void>;
}

/** The state machine that entries are applied to. */
export interface StateMachine {
    apply(entry: Extract<LogEntry, { kind: "command"; }>, context: ApplyContext): unknown;
    save(): unknown;
    load(state: unknown): void;
}

/** Intervals of a replica. */
export interface ReplicaTiming {
    readonly heartbeatMs: number;
    readonly electionTimeoutMs: number;
    readonly callTimeoutMs: number;
}

/** Intervals that suit VMs a few milliseconds apart. */
export const defaultTiming: ReplicaTiming = { heartbeatMs: 50, electionTimeoutMs: 500, callTimeoutMs: 300 };

/** Options of a replica. */
export interface ReplicaOptions {
    readonly self: Member;
    readonly store: LogStore;
    readonly stateMachine: StateMachine;
    readonly calls: PeerCalls;
    readonly timing: ReplicaTiming;
    /** Entries between two snapshots. */
    readonly snapshotEveryEntries: number;
}

/** Result of a proposal. */
export type ProposeResult =
    | { readonly kind: "applied"; readonly index: number; readonly controlTimeMs: number; readonly result: unknown; }
    | { readonly kind: "notLeader"; readonly leaderAddress?: Address; }
    /** Leadership ended before the outcome was known. A resend with the same operation id is safe. */
    | { readonly kind: "unknown"; };

/** Result of a read barrier. */
export type BarrierResult =
    | { readonly kind: "confirmed"; readonly index: number; readonly controlTimeMs: number; }
    | { readonly kind: "notLeader"; readonly leaderAddress?: Address; };

/** One replica of the log. */
export interface Replica {
    readonly voterId: VoterId;
    start(): void;
    stop(): void;
    propose(operationId: string, command: string, input: unknown): Promise<ProposeResult>;
    /** Returns once a quorum has confirmed this leader and all that was committed before is applied. */
    readBarrier(): Promise<BarrierResult>;
    /** Adds a learner, then swaps it for an old voter by one joint change. */
    replaceVoter(oldVoterId: VoterId, newMember: Member): Promise<ProposeResult>;
    /** Puts another membership in force, by way of a joint one where the voters differ. One change at a time. */
    changeMembership(next: Membership): Promise<ProposeResult>;
    /** Progress of the other members, as the leader knows it. Empty elsewhere. */
    listPeers(): readonly PeerProgress[];
    /** Hands leadership to the voter that is furthest on. Returns true when it did. */
    transferLeadership(): Promise<boolean>;
    getStatus(): ReplicaStatus;
    onVote(request: VoteRequest): Promise<VoteReply>;
    onAppend(request: AppendRequest): Promise<AppendReply>;
    onSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply>;
    onStartElection(term: number): void;
}

/** How far a member is, as its leader knows. */
export interface PeerProgress {
    readonly voterId: VoterId;
    readonly matchIndex: number;
    readonly lastAckMs: number;
}

/** State of a replica, for operators and tests. */
export interface ReplicaStatus {
    readonly role: ReplicaRole;
    readonly term: number;
    readonly leaderId?: VoterId;
    readonly leaderAddress?: Address;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly lastIndex: number;
    readonly membership: Membership;
    /** True while this replica leads, or has heard from its leader just now. */
    readonly isConnected: boolean;
    /** True when a disk error keeps this replica from taking part. */
    readonly hasDiskFailed: boolean;
}

/** State that the tasks of one replica share. */
export interface ReplicaState {
    role: ReplicaRole;
    commitIndex: number;
    appliedIndex: number;
    membership: Membership;
    leaderId: VoterId | undefined;
    leaderAddress: Address | undefined;
    lastLeaderContactMs: number;
    hasDiskFailed: boolean;
    isHandingOver: boolean;
}

/** What the election and the replication need of the replica. */
export interface ReplicaCore {
    readonly host: Host;
    readonly options: ReplicaOptions;
    readonly state: ReplicaState;
    readonly stopSignal: AbortSignal;
    getTerm(): number;
    /** Runs work that reads and writes the hard state or the log, one at a time. */
    exclusive<T>(work: () => Promise<T>): Promise<T>;
    saveHardState(state: HardState): Promise<void>;
    becomeFollower(term: number): Promise<void>;
    becomeLeader(): void;
    advanceCommit(index: number): void;
    notifyApplied(): void;
    onDiskError(error: unknown): void;
    setLeader(leaderId: VoterId | undefined, leaderAddress: Address | undefined): void;
    /** Takes the state of a snapshot in place of what was applied. */
    loadSnapshot(snapshot: Snapshot): void;
}

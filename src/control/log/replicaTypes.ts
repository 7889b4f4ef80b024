/** Types of one replica: its options, its results, and the state that its tasks share. */
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

/** Raft role of a replica. */
export type ReplicaRole = "follower" | "candidate" | "leader";

/** Voter id of a replica and its last known address. */
export type PeerAddress = Pick<Member, "voterId" | "address">;

/** Remote procedure calls to other replicas. The signal says that nobody waits for the reply any longer. */
export interface PeerCalls {
    vote(to: PeerAddress, request: VoteRequest, signal: AbortSignal): Promise<VoteReply>;
    append(to: PeerAddress, request: AppendRequest, signal: AbortSignal): Promise<AppendReply>;
    installSnapshot(to: PeerAddress, chunk: SnapshotChunk, signal: AbortSignal): Promise<SnapshotReply>;
    startElection(to: PeerAddress, term: number, signal: AbortSignal): Promise<void>;
}

/** The state machine to which committed commands are applied. */
export interface StateMachine {
    apply(entry: Extract<LogEntry, { kind: "command"; }>, context: ApplyContext): unknown;
    save(): unknown;
    load(state: unknown): void;
}

/** Intervals and timeouts of a replica. */
export interface ReplicaTiming {
    readonly heartbeatMs: number;
    readonly electionTimeoutMs: number;
    readonly callTimeoutMs: number;
}

/** Default timing, for VMs with a network latency of a few milliseconds between them. */
export const defaultTiming: ReplicaTiming = { heartbeatMs: 50, electionTimeoutMs: 500, callTimeoutMs: 300 };

/** Options of a replica. */
export interface ReplicaOptions {
    readonly self: Member;
    readonly store: LogStore;
    readonly stateMachine: StateMachine;
    readonly calls: PeerCalls;
    readonly timing: ReplicaTiming;
    /** Number of applied entries after which a new snapshot is taken. */
    readonly snapshotEveryEntries: number;
}

/** Result of a proposal. */
export type ProposeResult =
    | { readonly kind: "applied"; readonly index: number; readonly controlTimeMs: number; readonly result: unknown; }
    | { readonly kind: "notLeader"; readonly leaderAddress?: Address; }
    /** Leadership ended before the outcome was known. The proposal can be retried safely with the same operation id. */
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
    /** Waits until a quorum has confirmed this leader and all entries committed before the call are applied (Raft's read index). */
    readBarrier(): Promise<BarrierResult>;
    /** Adds a learner and waits until it has caught up, then replaces the old voter by it in one joint consensus change. */
    replaceVoter(oldVoterId: VoterId, newMember: Member): Promise<ProposeResult>;
    /** Changes the membership, through a joint membership if the voters differ. Only one change can be in progress. */
    changeMembership(next: Membership): Promise<ProposeResult>;
    /** Replication progress of the other members. Empty unless this replica is the leader. */
    listPeers(): readonly PeerProgress[];
    /** Transfers leadership to the voter with the highest match index. Returns true if this replica is no longer the leader. */
    transferLeadership(): Promise<boolean>;
    getStatus(): ReplicaStatus;
    onVote(request: VoteRequest): Promise<VoteReply>;
    onAppend(request: AppendRequest): Promise<AppendReply>;
    onSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply>;
    onStartElection(term: number): void;
}

/** Replication progress of a member, as known to the leader. */
export interface PeerProgress {
    readonly voterId: VoterId;
    readonly matchIndex: number;
    readonly lastAckMs: number;
    /** Time of the last acknowledgement that did not say that the disk refuses writes. */
    readonly lastSoundAckMs: number;
}

/** Status of a replica. */
export interface ReplicaStatus {
    readonly role: ReplicaRole;
    readonly term: number;
    readonly leaderId?: VoterId;
    readonly leaderAddress?: Address;
    readonly commitIndex: number;
    readonly appliedIndex: number;
    readonly lastIndex: number;
    readonly membership: Membership;
    /** True while this replica is the leader or has recently heard from the leader. */
    readonly isConnected: boolean;
    /** Time since which the applied state may lack entries that the group has committed. */
    readonly stateAgeMs: number;
    /** True from a disk error until a write succeeds. Meanwhile this replica neither votes nor campaigns. */
    readonly hasDiskFailed: boolean;
}

/** Why a leader stepped down. */
export type StepDownReason = "quorumLost" | "newerTerm" | "diskFailed" | "removed";

/** Mutable state that the tasks of one replica share. */
export interface ReplicaState {
    role: ReplicaRole;
    commitIndex: number;
    appliedIndex: number;
    membership: Membership;
    leaderId: VoterId | undefined;
    leaderAddress: Address | undefined;
    lastLeaderContactMs: number;
    hasDiskFailed: boolean;
    isTransferringLeadership: boolean;
}

/** Internal interface of the replica for its election, follower and replication modules. */
export interface ReplicaCore {
    readonly host: Host;
    readonly options: ReplicaOptions;
    readonly state: ReplicaState;
    readonly stopSignal: AbortSignal;
    getTerm(): number;
    /** Runs operations that read and write the hard state or the log one at a time, in the order of the calls. */
    runExclusive<T>(work: () => Promise<T>): Promise<T>;
    saveHardState(state: HardState): Promise<void>;
    becomeFollower(term: number, reason: StepDownReason): Promise<void>;
    becomeLeader(): void;
    advanceCommit(index: number): void;
    /** Records that the group had committed the log up to this index at this time. */
    recordCommit(commitIndex: number, atMs: number): void;
    /** Wakes the tasks that wait for applied entries or for the match index of a peer. */
    notifyProgress(): void;
    handleDiskError(error: unknown): void;
    setLeader(leaderId: VoterId | undefined, leaderAddress: Address | undefined): void;
    /** Replaces the applied state by that of a snapshot. */
    loadSnapshot(snapshot: Snapshot): void;
}

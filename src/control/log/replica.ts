/**
 * One replica of the log: election, replication, commitment and application, as ordinary tasks.
 *
 * The method is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, read index, learners,
 * joint membership changes and leadership hand-over (Ongaro's dissertation, 2014, chapters 3, 4, 6 and 9).
 */
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Host } from "../../kernel/host.js";
import type { ApplyContext } from "../../kernel/registry.js";
import { createSignal, createStopController, getErrorText, sleep, waitUntil, withTimeout } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import { createControlClock } from "./controlClock.js";
import { createElection } from "./election.js";
import { tryDecodeRecord } from "./records.js";
import { createReplication } from "./replication.js";
import type { Replication } from "./replication.js";
import type { LogStore } from "./store.js";
import { getVoters } from "./types.js";
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

/** Calls to the other replicas. */
export interface PeerCalls {
    vote(address: Address, request: VoteRequest): Promise<VoteReply>;
    append(address: Address, request: AppendRequest): Promise<AppendReply>;
    installSnapshot(address: Address, chunk: SnapshotChunk): Promise<SnapshotReply>;
    startElection(address: Address, term: number): Promise<void>;
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
    readonly machine: StateMachine;
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
    start(): void;
    stop(): void;
    propose(operationId: string, command: string, input: unknown): Promise<ProposeResult>;
    /** Returns once a quorum has confirmed this leader and all that was committed before is applied. */
    readBarrier(): Promise<BarrierResult>;
    /** Adds a learner, then swaps it for an old voter by one joint change. */
    replaceVoter(oldVoterId: VoterId, newMember: Member): Promise<ProposeResult>;
    /** Hands leadership to the voter that is furthest on. Returns true when it did. */
    handOver(): Promise<boolean>;
    getStatus(): ReplicaStatus;
    onVote(request: VoteRequest): Promise<VoteReply>;
    onAppend(request: AppendRequest): Promise<AppendReply>;
    onSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply>;
    onStartElection(term: number): void;
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
}

interface Waiter {
    readonly term: number;
    readonly resolve: (result: ProposeResult) => void;
}

const maxUnsentProposals = 100_000;
const barrierTimeoutMs = 2_000;
const handoverTimeoutMs = 3_000;
const catchUpTimeoutMs = 60_000;
const keepEntriesAfterSnapshot = 1_000;

/** Creates a replica on an open store. */
export function createReplica(host: Host, options: ReplicaOptions): Replica {
    const { store, machine, self, timing } = options;
    const log = host.createLogger("log");
    const stopping = createStopController();
    const committed = createSignal(host.timers);
    const applied = createSignal(host.timers);
    const controlClock = createControlClock(host.clock);
    const waiters = new Map<number, Waiter>();
    const state: ReplicaState = {
        role: "follower",
        commitIndex: store.snapshot?.index ?? 0,
        appliedIndex: 0,
        membership: getLatestMembership(store),
        leaderId: undefined,
        leaderAddress: undefined,
        lastLeaderContactMs: -Infinity,
        hasDiskFailed: false,
        isHandingOver: false,
    };
    let tail: Promise<unknown> = Promise.resolve();
    let incomingSnapshot: { readonly index: number; readonly data: Buffer; receivedBytes: number; } | undefined;
    let replication: Replication | undefined;
    const core: ReplicaCore = {
        host,
        options,
        state,
        stopSignal: stopping.signal,
        getTerm: () => store.hardState.term,
        exclusive,
        saveHardState,
        becomeFollower,
        becomeLeader,
        advanceCommit,
        notifyApplied: () => applied.notify(),
    };
    const election = createElection(core);
    loadSnapshot(store.snapshot);

    return {
        start() {
            void applyTask();
            void election.run();
        },
        stop() {
            stopping.abort();
            state.role = "follower";
            replication?.stop();
            failWaiters();
            committed.notify();
        },
        propose,
        readBarrier,
        replaceVoter,
        handOver,
        getStatus: () => ({
            role: state.role,
            term: store.hardState.term,
            leaderId: state.leaderId,
            leaderAddress: state.leaderAddress,
            commitIndex: state.commitIndex,
            appliedIndex: state.appliedIndex,
            lastIndex: store.lastIndex,
            membership: state.membership,
            hasDiskFailed: state.hasDiskFailed,
        }),
        onVote: election.onVote,
        onAppend: request => exclusive(() => onAppend(request)),
        onSnapshot: chunk => exclusive(() => onSnapshot(chunk)),
        onStartElection: election.startNow,
    };

    function exclusive<T>(work: () => Promise<T>): Promise<T> {
        const result = tail.then(work);
        tail = result.catch(() => undefined);
        return result;
    }

    async function saveHardState(hardState: HardState): Promise<void> {
        try {
            await store.saveHardState(hardState);
        }
        catch (error) {
            onDiskError(error);
            throw error;
        }
    }

    function onDiskError(error: unknown): void {
        state.hasDiskFailed = true;
        log.error("A write to the data folder failed.", { detail: getErrorText(error) });
        endLeadership();
    }

    // Leadership ends at once; the new term is durable before the caller goes on.
    async function becomeFollower(term: number): Promise<void> {
        endLeadership();
        if (term > store.hardState.term) await saveHardState({ term });
    }

    function endLeadership(): void {
        if (state.role === "leader") log.info("This voter leads no longer.", { term: store.hardState.term });
        state.role = "follower";
        if (state.leaderId === self.voterId) setLeader(undefined, undefined);
        replication?.stop();
        replication = undefined;
        failWaiters();
    }

    function failWaiters(): void {
        for (const waiter of waiters.values()) waiter.resolve({ kind: "unknown" });
        waiters.clear();
        applied.notify();
    }

    function setLeader(leaderId: VoterId | undefined, leaderAddress: Address | undefined): void {
        state.leaderId = leaderId;
        state.leaderAddress = leaderAddress;
    }

    function becomeLeader(): void {
        state.role = "leader";
        state.isHandingOver = false;
        setLeader(self.voterId, self.address);
        const lastEntry = store.getEntry(store.lastIndex);
        controlClock.startFrom(lastEntry?.controlTimeMs ?? store.snapshot?.controlTimeMs ?? 0);
        replication = createReplication(core);
        log.info("This voter leads.", { term: store.hardState.term });
        void appendOwn({ ...createEntryBase(), kind: "leaderStart", voterId: self.voterId });
        replication.start();
    }

    function createEntryBase() {
        return {
            index: store.lastIndex + 1,
            term: store.hardState.term,
            controlTimeMs: controlClock.nowMs(),
            wallMs: host.clock.wallMs(),
        };
    }

    async function appendOwn(entry: LogEntry): Promise<void> {
        if (entry.kind === "membership") state.membership = entry.membership;
        const durable = store.append([entry]);
        replication?.notify();
        try {
            await durable;
            replication?.updateCommit();
        }
        catch (error) {
            onDiskError(error);
        }
    }

    function advanceCommit(index: number): void {
        if (index <= state.commitIndex) return;
        state.commitIndex = index;
        committed.notify();
    }

    function propose(operationId: string, command: string, input: unknown): Promise<ProposeResult> {
        if (!canPropose()) return Promise.resolve(createNotLeader());
        return proposeEntry({ ...createEntryBase(), kind: "command", operationId, command, input });
    }

    function canPropose(): boolean {
        return state.role === "leader" && !state.isHandingOver && waiters.size < maxUnsentProposals;
    }

    function proposeEntry(entry: LogEntry): Promise<ProposeResult> {
        return new Promise(resolve => {
            waiters.set(entry.index, { term: entry.term, resolve });
            void appendOwn(entry);
        });
    }

    function createNotLeader(): { readonly kind: "notLeader"; readonly leaderAddress?: Address; } {
        return { kind: "notLeader", leaderAddress: state.leaderId === self.voterId ? undefined : state.leaderAddress };
    }

    async function readBarrier(): Promise<BarrierResult> {
        const leading = replication;
        if (state.role !== "leader" || leading === undefined) return createNotLeader();
        const deadlineMs = host.clock.nowMs() + barrierTimeoutMs;
        const controlTimeMs = controlClock.nowMs();
        // A new leader knows the commit index only once an entry of its own term is committed.
        const isStarted = await waitUntil(host, applied, () => !leading.isRunning() || leading.hasCommittedOwnTerm(), barrierTimeoutMs);
        const index = state.commitIndex;
        if (!isStarted || !leading.isRunning() || !await leading.confirm(deadlineMs - host.clock.nowMs())) return createNotLeader();
        const isApplied = await waitUntil(host, applied, () => state.appliedIndex >= index, deadlineMs - host.clock.nowMs());
        return isApplied ? { kind: "confirmed", index, controlTimeMs } : createNotLeader();
    }

    // Committed entries are applied in order, one batch after another.
    async function applyTask(): Promise<void> {
        while (!stopping.signal.aborted) {
            if (state.appliedIndex >= state.commitIndex) {
                await committed.wait(timing.electionTimeoutMs);
                continue;
            }
            while (state.appliedIndex < state.commitIndex) {
                const entry = store.getEntry(state.appliedIndex + 1);
                if (entry === undefined) break;
                applyEntry(entry);
            }
            applied.notify();
            await snapshotWhenDue();
        }
    }

    function applyEntry(entry: LogEntry): void {
        const result = entry.kind === "command" ? machine.apply(entry, createContext(entry)) : undefined;
        state.appliedIndex = entry.index;
        if (entry.kind === "membership") leaveWhenRemoved(entry.membership);
        const waiter = waiters.get(entry.index);
        if (waiter === undefined) return;
        waiters.delete(entry.index);
        assert(waiter.term === entry.term, "an index that was proposed here was committed with another term while this voter led");
        waiter.resolve({ kind: "applied", index: entry.index, controlTimeMs: entry.controlTimeMs, result });
    }

    function createContext(entry: Extract<LogEntry, { kind: "command"; }>): ApplyContext {
        return {
            index: entry.index,
            term: entry.term,
            nowMs: entry.controlTimeMs,
            wallMs: entry.wallMs,
            operationId: entry.operationId,
        };
    }

    function leaveWhenRemoved(membership: Membership): void {
        const isVoter = getVoters(membership).some(voter => voter.voterId === self.voterId);
        if (state.role === "leader" && !isVoter) endLeadership();
    }

    async function snapshotWhenDue(): Promise<void> {
        const sinceIndex = store.snapshot?.index ?? 0;
        if (state.appliedIndex - sinceIndex < options.snapshotEveryEntries) return;
        const last = checkDefined(store.getEntry(state.appliedIndex), "the applied entry is held");
        const snapshot: Snapshot = {
            index: last.index,
            term: last.term,
            controlTimeMs: last.controlTimeMs,
            membership: getMembershipAt(store, last.index),
            state: machine.save(),
        };
        try {
            await store.saveSnapshot(snapshot, keepEntriesAfterSnapshot);
        }
        catch (error) {
            onDiskError(error);
        }
    }

    async function onAppend(request: AppendRequest): Promise<AppendReply> {
        const term = store.hardState.term;
        if (request.term < term) return { term, isAppended: false, index: store.lastIndex };
        if (request.term > term || state.role !== "follower") await becomeFollower(request.term);
        setLeader(request.leaderId, request.leaderAddress);
        state.lastLeaderContactMs = host.clock.nowMs();
        const refusal = findGap(request);
        if (refusal !== undefined) return { term: request.term, isAppended: false, index: refusal };
        try {
            await appendNew(request.entries);
        }
        catch (error) {
            onDiskError(error);
            throw error;
        }
        state.hasDiskFailed = false;
        const matchIndex = request.previousIndex + request.entries.length;
        advanceCommit(Math.min(request.commitIndex, matchIndex));
        return { term: request.term, isAppended: true, index: matchIndex };
    }

    // The index to try next, when the entry before the request's entries is not held here.
    function findGap(request: AppendRequest): number | undefined {
        if (request.previousIndex <= state.commitIndex) return undefined;
        if (request.previousIndex > store.lastIndex) return store.lastIndex;
        const heldTerm = store.getTerm(request.previousIndex);
        if (heldTerm === request.previousTerm) return undefined;
        let index = request.previousIndex - 1;
        while (index > state.commitIndex && store.getTerm(index) === heldTerm) index--;
        return index;
    }

    async function appendNew(entries: readonly LogEntry[]): Promise<void> {
        const firstNew = entries.findIndex(entry => entry.index > state.commitIndex && store.getTerm(entry.index) !== entry.term);
        if (firstNew < 0) {
            if (store.durableIndex < store.lastIndex) await store.append([]);
            return;
        }
        const added = entries.slice(firstNew);
        if (added[0]!.index <= store.lastIndex) {
            assert(added[0]!.index > state.commitIndex, "a committed entry is never overwritten");
            await store.truncateFrom(added[0]!.index);
            state.membership = getLatestMembership(store);
        }
        await store.append(added);
        for (const entry of added) {
            if (entry.kind === "membership") state.membership = entry.membership;
        }
    }

    async function onSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply> {
        const term = store.hardState.term;
        if (chunk.term < term) return { term, receivedBytes: 0, isInstalled: false };
        if (chunk.term > term || state.role !== "follower") await becomeFollower(chunk.term);
        setLeader(chunk.leaderId, chunk.leaderAddress);
        state.lastLeaderContactMs = host.clock.nowMs();
        if (chunk.index <= state.commitIndex) return { term: chunk.term, receivedBytes: chunk.totalBytes, isInstalled: true };
        if (incomingSnapshot?.index !== chunk.index || incomingSnapshot.data.length !== chunk.totalBytes) {
            incomingSnapshot = { index: chunk.index, data: Buffer.alloc(chunk.totalBytes), receivedBytes: 0 };
        }
        if (chunk.offsetBytes === incomingSnapshot.receivedBytes) {
            incomingSnapshot.receivedBytes += incomingSnapshot.data.write(chunk.dataBase64, chunk.offsetBytes, "base64");
        }
        const receivedBytes = incomingSnapshot.receivedBytes;
        if (receivedBytes < chunk.totalBytes) return { term: chunk.term, receivedBytes, isInstalled: false };
        const data = incomingSnapshot.data;
        incomingSnapshot = undefined;
        const record = tryDecodeRecord(data, 0);
        if (record === undefined) return { term: chunk.term, receivedBytes: 0, isInstalled: false };
        await installSnapshot(record.value as Snapshot);
        return { term: chunk.term, receivedBytes, isInstalled: true };
    }

    async function installSnapshot(snapshot: Snapshot): Promise<void> {
        try {
            await store.installSnapshot(snapshot);
        }
        catch (error) {
            onDiskError(error);
            throw error;
        }
        loadSnapshot(snapshot);
        state.membership = getLatestMembership(store);
        log.info("A snapshot of the leader was installed.", { index: snapshot.index });
    }

    function loadSnapshot(snapshot: Snapshot | undefined): void {
        if (snapshot === undefined) return;
        machine.load(snapshot.state);
        state.appliedIndex = snapshot.index;
        state.commitIndex = Math.max(state.commitIndex, snapshot.index);
        applied.notify();
    }

    async function replaceVoter(oldVoterId: VoterId, newMember: Member): Promise<ProposeResult> {
        const before = state.membership;
        if (!canPropose() || before.nextVoters !== undefined) return createNotLeader();
        const voters = before.voters.filter(voter => voter.voterId !== oldVoterId);
        assert(voters.length === before.voters.length - 1, `${oldVoterId} is no voter`);
        const learning: Membership = { voters: before.voters, learners: [...before.learners, newMember] };
        const added = await proposeMembership(learning);
        if (added.kind !== "applied") return added;
        // The learner is durable up to the commit index before it counts in any quorum.
        const isCaughtUp = await waitUntil(
            host,
            applied,
            () => replication === undefined || replication.getMatchIndex(newMember.voterId) >= state.commitIndex,
            catchUpTimeoutMs,
        );
        if (!isCaughtUp || replication === undefined) return { kind: "unknown" };
        const nextVoters = [...voters, newMember];
        const joint = await proposeMembership({ voters: before.voters, nextVoters, learners: before.learners });
        if (joint.kind !== "applied") return joint;
        return proposeMembership({ voters: nextVoters, learners: before.learners });
    }

    function proposeMembership(membership: Membership): Promise<ProposeResult> {
        if (!canPropose()) return Promise.resolve(createNotLeader());
        return proposeEntry({ ...createEntryBase(), kind: "membership", membership });
    }

    async function handOver(): Promise<boolean> {
        const leading = replication;
        if (state.role !== "leader" || leading === undefined) return false;
        const others = getVoters(state.membership).filter(voter => voter.voterId !== self.voterId);
        const target = others.sort((a, b) => leading.getMatchIndex(b.voterId) - leading.getMatchIndex(a.voterId))[0];
        if (target === undefined) return false;
        state.isHandingOver = true;
        const isCaughtUp = await waitUntil(
            host,
            applied,
            () => !leading.isRunning() || leading.getMatchIndex(target.voterId) >= store.lastIndex,
            handoverTimeoutMs,
        );
        if (isCaughtUp && leading.isRunning()) {
            const term = store.hardState.term;
            await withTimeout(host.timers, options.calls.startElection(target.address, term), timing.callTimeoutMs, "hand-over")
                .catch(() => undefined);
            for (let waited = 0; waited < handoverTimeoutMs && leading.isRunning(); waited += timing.heartbeatMs) {
                await sleep(host.timers, timing.heartbeatMs);
            }
        }
        state.isHandingOver = false;
        return !leading.isRunning();
    }
}

function getLatestMembership(store: LogStore): Membership {
    return getMembershipAt(store, store.lastIndex);
}

function getMembershipAt(store: LogStore, index: number): Membership {
    for (let at = index; at >= store.firstIndex; at--) {
        const entry = store.getEntry(at);
        if (entry?.kind === "membership") return entry.membership;
    }
    return store.snapshot?.membership ?? store.marker.founders;
}

/** True when the member counts in quorums now. */
export function isVoter(membership: Membership, voterId: VoterId): boolean {
    return getVoters(membership).some(voter => voter.voterId === voterId);
}

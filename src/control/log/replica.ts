/**
 * One replica of the log: election, replication, commitment and application, as ordinary tasks.
 *
 * The method is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, read index, learners,
 * joint membership changes and leadership hand-over (Ongaro's dissertation, 2014, chapters 3, 4, 6 and 9).
 */
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Host } from "../../kernel/host.js";
import type { ApplyContext } from "../../kernel/registry.js";
import { createNotifier, createStopController, getErrorText, sleep, waitUntil, withTimeout } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import { createControlClock } from "./controlClock.js";
import { createElection } from "./election.js";
import { createFollower } from "./follower.js";
import { getLatestMembership, getMembershipAt } from "./members.js";
import { createReplication } from "./replication.js";
import type { Replication } from "./replication.js";
import type { BarrierResult, ProposeResult, Replica, ReplicaCore, ReplicaOptions, ReplicaState } from "./replicaTypes.js";
import { getVoters } from "./types.js";
import type { HardState, LogEntry, Member, Membership, Snapshot, VoterId } from "./types.js";

interface Waiter {
    readonly term: number;
    readonly resolve: (result: ProposeResult) => void;
}

const maxUnsentProposals = 100_000;
const barrierTimeoutMs = 2_000;
const handoverTimeoutMs = 3_000;
const catchUpTimeoutMs = 60_000;
const keepEntriesAfterSnapshot = 1_000;
/** Election timeouts after which a silent leader counts as lost to this replica. */
const connectedTimeouts = 2;

function haveSameVoters(a: Membership, b: Membership): boolean {
    return a.voters.length === b.voters.length && a.voters.every(voter => b.voters.some(other => other.voterId === voter.voterId));
}

/** Creates a replica on an open store. */
export function createReplica(host: Host, options: ReplicaOptions): Replica {
    const { store, stateMachine, self, timing } = options;
    const log = host.createLogger("log");
    const stopping = createStopController();
    const committed = createNotifier(host.timers);
    const applied = createNotifier(host.timers);
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
        onDiskError,
        setLeader,
        loadSnapshot,
    };
    const follower = createFollower(core);
    const election = createElection(core);
    loadSnapshot(store.snapshot);

    return {
        voterId: self.voterId,
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
        transferLeadership,
        getStatus: () => ({
            role: state.role,
            term: store.hardState.term,
            leaderId: state.leaderId,
            leaderAddress: state.leaderAddress,
            commitIndex: state.commitIndex,
            appliedIndex: state.appliedIndex,
            lastIndex: store.lastIndex,
            membership: state.membership,
            isConnected: state.role === "leader"
                || host.clock.nowMs() - state.lastLeaderContactMs < timing.electionTimeoutMs * connectedTimeouts,
            hasDiskFailed: state.hasDiskFailed,
        }),
        changeMembership,
        listPeers: () => replication?.listPeers() ?? [],
        onVote: election.onVote,
        onAppend: follower.onAppend,
        onSnapshot: follower.onSnapshot,
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
        const result = entry.kind === "command" ? stateMachine.apply(entry, createContext(entry)) : undefined;
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
            state: stateMachine.save(),
        };
        try {
            await store.saveSnapshot(snapshot, keepEntriesAfterSnapshot);
        }
        catch (error) {
            onDiskError(error);
        }
    }

    function loadSnapshot(snapshot: Snapshot | undefined): void {
        if (snapshot === undefined) return;
        stateMachine.load(snapshot.state);
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
        return changeMembership({ voters: [...voters, newMember], learners: before.learners });
    }

    // A change starts only from a membership that is committed, under a leader that has committed in its own term.
    async function changeMembership(next: Membership): Promise<ProposeResult> {
        const before = state.membership;
        const isSettled = getMembershipAt(store, state.commitIndex) === before && replication?.hasCommittedOwnTerm() === true;
        if (!canPropose() || !isSettled) return createNotLeader();
        if (before.nextVoters !== undefined) return proposeMembership({ voters: before.nextVoters, learners: before.learners });
        if (haveSameVoters(before, next)) return proposeMembership(next);
        const joint = await proposeMembership({ voters: before.voters, nextVoters: next.voters, learners: next.learners });
        if (joint.kind !== "applied") return joint;
        return proposeMembership(next);
    }

    function proposeMembership(membership: Membership): Promise<ProposeResult> {
        if (!canPropose()) return Promise.resolve(createNotLeader());
        return proposeEntry({ ...createEntryBase(), kind: "membership", membership });
    }

    async function transferLeadership(): Promise<boolean> {
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
            await withTimeout(host.timers, options.calls.startElection(target, term), timing.callTimeoutMs, "hand-over")
                .catch(() => undefined);
            for (let waited = 0; waited < handoverTimeoutMs && leading.isRunning(); waited += timing.heartbeatMs) {
                await sleep(host.timers, timing.heartbeatMs);
            }
        }
        state.isHandingOver = false;
        return !leading.isRunning();
    }
}

/**
 * One replica of the log. It combines election, replication, commitment and application of entries.
 *
 * The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, read index, learners,
 * joint consensus and leadership transfer (Ongaro's dissertation, 2014, chapters 3, 4, 6 and 9).
 */
import { isDeepStrictEqual } from "node:util";
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Host } from "../../kernel/host.js";
import type { ApplyContext } from "../../kernel/registry.js";
import { callWithTimeout, createNotifier, createStopController, getErrorText, sleep, waitUntil } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import { createControlClock } from "./controlClock.js";
import { runDiskCheck } from "./diskCheck.js";
import { createElection } from "./election.js";
import { createFollower } from "./follower.js";
import { getLatestMembership, getMembershipAt } from "./members.js";
import { createReplication } from "./replication.js";
import type { Replication } from "./replication.js";
import type { BarrierResult, ProposeResult, Replica, ReplicaCore, ReplicaOptions, ReplicaState, StepDownReason } from "./replicaTypes.js";
import { createStateAge } from "./stateAge.js";
import { getVoters } from "./types.js";
import type { HardState, LogEntry, Member, Membership, Snapshot, VoterId } from "./types.js";

interface PendingProposal {
    readonly term: number;
    readonly resolve: (result: ProposeResult) => void;
}

interface PendingOperation {
    readonly command: string;
    readonly input: unknown;
    readonly result: Promise<ProposeResult>;
}

const maxPendingProposals = 100_000;
const readBarrierTimeoutMs = 2_000;
const transferTimeoutMs = 3_000;
const catchUpTimeoutMs = 60_000;
/**
 * A snapshot is due once the entries since the last one take this much of the disk, or as much as the last snapshot if that is more. So
 * the log, and with it the time of a start, is bounded by the size of the state.
 */
const minSnapshotBytes = 512 * 1024;
/** Committed entries are applied for at most this long without a pause. Much shorter than a heartbeat interval. */
const maxSliceMs = 10;
const pauseBetweenSlicesMs = 1;
/** Time that a slice exceeds only if a single entry takes very long. */
const slowSliceMs = 100;
/** Committed entries that take longer to apply in a row are reported. */
const slowBacklogMs = 100;
/** Number of election timeouts without a message from the leader after which this replica reports itself as not connected. */
const connectedElectionTimeouts = 2;

function haveSameVoters(a: Membership, b: Membership): boolean {
    return a.voters.length === b.voters.length && a.voters.every(voter => b.voters.some(other => other.voterId === voter.voterId));
}

/** Creates a replica that uses an open store. */
export function createReplica(host: Host, options: ReplicaOptions): Replica {
    const { store, stateMachine, self, timing } = options;
    const log = host.createLogger("log");
    const stopping = createStopController();
    const commitIndexAdvanced = createNotifier(host.timers);
    const progressed = createNotifier(host.timers);
    const controlClock = createControlClock(host.clock);
    const pendingProposals = new Map<number, PendingProposal>();
    /** Commands that are not applied yet, by operation id. */
    const pendingOperations = new Map<string, PendingOperation>();
    const state: ReplicaState = {
        role: "follower",
        commitIndex: store.snapshot?.index ?? 0,
        appliedIndex: 0,
        membership: getLatestMembership(store),
        leaderId: undefined,
        leaderAddress: undefined,
        lastLeaderContactMs: -Infinity,
        hasDiskFailed: false,
        isTransferringLeadership: false,
    };
    const stateAge = createStateAge();
    /** Size of the entries applied since the last snapshot. */
    let bytesSinceSnapshot = 0;
    let lastExclusiveTask: Promise<unknown> = Promise.resolve();
    let replication: Replication | undefined;
    const core: ReplicaCore = {
        host,
        options,
        state,
        stopSignal: stopping.signal,
        getTerm: () => store.hardState.term,
        runExclusive,
        saveHardState,
        becomeFollower,
        becomeLeader,
        advanceCommit,
        recordCommit: stateAge.recordCommit,
        notifyProgress: () => progressed.notify(),
        handleDiskError,
        setLeader,
        loadSnapshot,
    };
    const follower = createFollower(core);
    const election = createElection(core);
    loadSnapshot(store.snapshot);

    return {
        voterId: self.voterId,
        start() {
            void applyCommittedEntries();
            void election.run();
            void runDiskCheck(core);
        },
        stop() {
            stopping.abort();
            state.role = "follower";
            replication?.stop();
            failPendingProposals();
            commitIndexAdvanced.notify();
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
                || host.clock.nowMs() - state.lastLeaderContactMs < timing.electionTimeoutMs * connectedElectionTimeouts,
            stateAgeMs: stateAge.getMs(host.clock.nowMs()),
            hasDiskFailed: state.hasDiskFailed,
        }),
        changeMembership,
        listPeers: () => replication?.listPeers() ?? [],
        onVote: election.onVote,
        onAppend: follower.onAppend,
        onSnapshot: follower.onSnapshot,
        onStartElection: election.startImmediately,
    };

    function runExclusive<T>(work: () => Promise<T>): Promise<T> {
        const result = lastExclusiveTask.then(work);
        lastExclusiveTask = result.catch(() => undefined);
        return result;
    }

    async function saveHardState(hardState: HardState): Promise<void> {
        try {
            await store.saveHardState(hardState);
        }
        catch (error) {
            handleDiskError(error);
            throw error;
        }
    }

    function handleDiskError(error: unknown): void {
        state.hasDiskFailed = true;
        log.error("Writing to the data folder failed.", { detail: getErrorText(error) });
        stepDown("diskFailed");
    }

    // Steps down immediately. The new term is durable when this returns.
    async function becomeFollower(term: number, reason: StepDownReason): Promise<void> {
        stepDown(reason);
        if (term > store.hardState.term) await saveHardState({ term });
    }

    function stepDown(reason: StepDownReason): void {
        if (state.role === "leader") log.info("This voter is no longer the leader.", { term: store.hardState.term, reason });
        state.role = "follower";
        if (state.leaderId === self.voterId) setLeader(undefined, undefined);
        replication?.stop();
        replication = undefined;
        failPendingProposals();
    }

    function failPendingProposals(): void {
        for (const proposal of pendingProposals.values()) proposal.resolve({ kind: "unknown" });
        pendingProposals.clear();
        progressed.notify();
    }

    function setLeader(leaderId: VoterId | undefined, leaderAddress: Address | undefined): void {
        state.leaderId = leaderId;
        state.leaderAddress = leaderAddress;
    }

    function becomeLeader(): void {
        state.role = "leader";
        state.isTransferringLeadership = false;
        setLeader(self.voterId, self.address);
        const lastEntry = store.getEntry(store.lastIndex);
        controlClock.startFrom(lastEntry?.controlTimeMs ?? store.snapshot?.controlTimeMs ?? 0);
        replication = createReplication(core);
        log.info("This voter became the leader.", { term: store.hardState.term });
        void appendAsLeader({ ...createEntryBase(), kind: "leaderStart", voterId: self.voterId });
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

    async function appendAsLeader(entry: LogEntry): Promise<void> {
        if (entry.kind === "membership") state.membership = entry.membership;
        const appended = store.append([entry]);
        replication?.notify();
        try {
            await appended;
            replication?.updateCommit();
        }
        catch (error) {
            state.membership = getLatestMembership(store);
            handleDiskError(error);
        }
    }

    function advanceCommit(index: number): void {
        if (index <= state.commitIndex) return;
        state.commitIndex = index;
        commitIndexAdvanced.notify();
    }

    function propose(operationId: string, command: string, input: unknown): Promise<ProposeResult> {
        if (!canPropose()) return Promise.resolve(createNotLeader());
        const pending = pendingOperations.get(operationId);
        // A call that is resent, or sent on two paths, waits for the entry of the first one.
        if (pending?.command === command && isDeepStrictEqual(pending.input, input)) return pending.result;
        const result = proposeEntry({ ...createEntryBase(), kind: "command", operationId, command, input });
        const operation = { command, input, result };
        pendingOperations.set(operationId, operation);
        void result.then(() => {
            if (pendingOperations.get(operationId) === operation) pendingOperations.delete(operationId);
        });
        return result;
    }

    function canPropose(): boolean {
        return state.role === "leader" && !state.isTransferringLeadership && pendingProposals.size < maxPendingProposals;
    }

    function proposeEntry(entry: LogEntry): Promise<ProposeResult> {
        return new Promise(resolve => {
            pendingProposals.set(entry.index, { term: entry.term, resolve });
            void appendAsLeader(entry);
        });
    }

    function createNotLeader(): { readonly kind: "notLeader"; readonly leaderAddress?: Address; } {
        return { kind: "notLeader", leaderAddress: state.leaderId === self.voterId ? undefined : state.leaderAddress };
    }

    async function readBarrier(): Promise<BarrierResult> {
        const current = replication;
        if (state.role !== "leader" || current === undefined) return createNotLeader();
        const deadlineMs = host.clock.nowMs() + readBarrierTimeoutMs;
        const controlTimeMs = controlClock.nowMs();
        // A new leader cannot know the commit index before an entry of its own term is committed.
        const canRead = await waitUntil(
            host,
            progressed,
            () => !current.isRunning() || current.hasCommittedInTerm(),
            readBarrierTimeoutMs,
        );
        const index = state.commitIndex;
        if (!canRead || !current.isRunning() || !await current.confirmLeadership(deadlineMs - host.clock.nowMs())) return createNotLeader();
        const isApplied = await waitUntil(host, progressed, () => state.appliedIndex >= index, deadlineMs - host.clock.nowMs());
        return isApplied ? { kind: "confirmed", index, controlTimeMs } : createNotLeader();
    }

    // Applies committed entries in order until the replica stops, and takes snapshots in between.
    async function applyCommittedEntries(): Promise<void> {
        while (!stopping.signal.aborted) {
            if (state.appliedIndex >= state.commitIndex) {
                await commitIndexAdvanced.wait(timing.electionTimeoutMs);
                continue;
            }
            await applyBacklog();
        }
    }

    async function applyBacklog(): Promise<void> {
        const startedAtMs = host.clock.nowMs();
        const firstIndex = state.appliedIndex + 1;
        while (state.appliedIndex < state.commitIndex && !stopping.signal.aborted) {
            const appliedBefore = state.appliedIndex;
            applySlice();
            progressed.notify();
            await takeSnapshotIfDue();
            if (state.appliedIndex === appliedBefore) await commitIndexAdvanced.wait(timing.electionTimeoutMs);
            // Between slices the replica answers other replicas. Otherwise a long replay would look like a failure to them.
            else if (state.appliedIndex < state.commitIndex) await sleep(host.timers, pauseBetweenSlicesMs, stopping.signal);
        }
        const tookMs = host.clock.nowMs() - startedAtMs;
        if (tookMs >= slowBacklogMs) {
            log.info("Applied a backlog of committed entries.", {
                firstIndex,
                lastIndex: state.appliedIndex,
                tookMs: Math.round(tookMs),
            });
        }
    }

    function applySlice(): void {
        const firstIndex = state.appliedIndex + 1;
        const startedAtMs = host.clock.nowMs();
        let tookMs = 0;
        while (state.appliedIndex < state.commitIndex && tookMs < maxSliceMs) {
            const entry = store.getEntry(state.appliedIndex + 1);
            if (entry === undefined) break;
            applyEntry(entry);
            tookMs = host.clock.nowMs() - startedAtMs;
        }
        if (tookMs >= slowSliceMs) {
            log.warn("Applying committed entries took long.", { firstIndex, lastIndex: state.appliedIndex, tookMs });
        }
    }

    function applyEntry(entry: LogEntry): void {
        const result = entry.kind === "command" ? stateMachine.apply(entry, createContext(entry)) : undefined;
        state.appliedIndex = entry.index;
        stateAge.recordApplied(entry.index);
        bytesSinceSnapshot += store.getEntryBytes(entry.index);
        if (entry.kind === "membership") stepDownIfRemoved(entry.membership);
        const proposal = pendingProposals.get(entry.index);
        if (proposal === undefined) return;
        pendingProposals.delete(entry.index);
        assert(
            proposal.term === entry.term,
            "an index proposed by this leader was committed with another term while its proposal was pending",
        );
        proposal.resolve({ kind: "applied", index: entry.index, controlTimeMs: entry.controlTimeMs, result });
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

    function stepDownIfRemoved(membership: Membership): void {
        const isVoter = getVoters(membership).some(voter => voter.voterId === self.voterId);
        if (state.role === "leader" && !isVoter) stepDown("removed");
    }

    async function takeSnapshotIfDue(): Promise<void> {
        const entriesSinceSnapshot = state.appliedIndex - (store.snapshot?.index ?? 0);
        const snapshotEveryBytes = Math.max(minSnapshotBytes, store.snapshotBytes);
        if (entriesSinceSnapshot < options.snapshotEveryEntries && bytesSinceSnapshot < snapshotEveryBytes) return;
        // Entries that were applied while they were being written are gone from the store if that failed. They come again from the leader.
        if (state.appliedIndex > store.lastIndex) return;
        const lastApplied = checkDefined(store.getEntry(state.appliedIndex), "the last applied entry must be in the store");
        const snapshot: Snapshot = {
            index: lastApplied.index,
            term: lastApplied.term,
            controlTimeMs: lastApplied.controlTimeMs,
            membership: getMembershipAt(store, lastApplied.index),
            state: stateMachine.save(),
        };
        try {
            await store.saveSnapshot(snapshot, snapshotEveryBytes);
            bytesSinceSnapshot = 0;
        }
        catch (error) {
            handleDiskError(error);
        }
    }

    function loadSnapshot(snapshot: Snapshot | undefined): void {
        if (snapshot === undefined) return;
        stateMachine.load(snapshot.state);
        state.appliedIndex = snapshot.index;
        stateAge.recordApplied(snapshot.index);
        bytesSinceSnapshot = 0;
        state.commitIndex = Math.max(state.commitIndex, snapshot.index);
        progressed.notify();
    }

    async function replaceVoter(oldVoterId: VoterId, newMember: Member): Promise<ProposeResult> {
        const previous = state.membership;
        if (!canPropose() || previous.nextVoters !== undefined) return createNotLeader();
        const voters = previous.voters.filter(voter => voter.voterId !== oldVoterId);
        assert(voters.length === previous.voters.length - 1, `${oldVoterId} is no voter`);
        const withLearner: Membership = { voters: previous.voters, learners: [...previous.learners, newMember] };
        const learnerAdded = await proposeMembership(withLearner);
        if (learnerAdded.kind !== "applied") return learnerAdded;
        // Before the learner counts in any quorum, it must have durably stored the log up to the commit index.
        const isCaughtUp = await waitUntil(
            host,
            progressed,
            () => replication === undefined || replication.getMatchIndex(newMember.voterId) >= state.commitIndex,
            catchUpTimeoutMs,
        );
        if (!isCaughtUp || replication === undefined) return { kind: "unknown" };
        return changeMembership({ voters: [...voters, newMember], learners: previous.learners });
    }

    // A change starts only when the current membership is committed and the leader has committed an entry of its own term.
    async function changeMembership(next: Membership): Promise<ProposeResult> {
        const previous = state.membership;
        const isStable = getMembershipAt(store, state.commitIndex) === previous && replication?.hasCommittedInTerm() === true;
        if (!canPropose() || !isStable) return createNotLeader();
        if (previous.nextVoters !== undefined) return proposeMembership({ voters: previous.nextVoters, learners: previous.learners });
        if (haveSameVoters(previous, next)) return proposeMembership(next);
        const jointChange = await proposeMembership({ voters: previous.voters, nextVoters: next.voters, learners: next.learners });
        if (jointChange.kind !== "applied") return jointChange;
        return proposeMembership(next);
    }

    function proposeMembership(membership: Membership): Promise<ProposeResult> {
        if (!canPropose()) return Promise.resolve(createNotLeader());
        return proposeEntry({ ...createEntryBase(), kind: "membership", membership });
    }

    async function transferLeadership(): Promise<boolean> {
        const current = replication;
        if (state.role !== "leader" || current === undefined) return false;
        const others = getVoters(state.membership).filter(voter => voter.voterId !== self.voterId);
        const target = others.sort((a, b) => current.getMatchIndex(b.voterId) - current.getMatchIndex(a.voterId))[0];
        if (target === undefined) return false;
        state.isTransferringLeadership = true;
        const isCaughtUp = await waitUntil(
            host,
            progressed,
            () => !current.isRunning() || current.getMatchIndex(target.voterId) >= store.lastIndex,
            transferTimeoutMs,
        );
        if (isCaughtUp && current.isRunning()) {
            const term = store.hardState.term;
            await callWithTimeout(
                host.timers,
                signal => options.calls.startElection(target, term, signal),
                timing.callTimeoutMs,
                "leadership transfer",
            )
                .catch(() => undefined);
            for (let waitedMs = 0; waitedMs < transferTimeoutMs && current.isRunning(); waitedMs += timing.heartbeatMs) {
                await sleep(host.timers, timing.heartbeatMs);
            }
        }
        state.isTransferringLeadership = false;
        return !current.isRunning();
    }
}

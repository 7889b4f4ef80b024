/** Log replication by a leader: one task per peer, the commit index, check-quorum and the confirmation of leadership for reads. */
import { callWithTimeout, createNotifier, getErrorText, sleep, waitUntil } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { PeerProgress, ReplicaCore } from "./replicaTypes.js";
import { createStoreLag } from "./storeLag.js";
import { getMembers, getVoters, hasQuorum } from "./types.js";
import type { AppendReply, AppendRequest, SnapshotChunk, SnapshotReply, VoterId } from "./types.js";

/** Replication during one leader's term. */
export interface Replication {
    start(): void;
    stop(): void;
    isRunning(): boolean;
    /** Wakes the tasks of the peers. Called when there are new entries or a new membership. */
    notify(): void;
    /** Advances the commit index to the last entry that a quorum has stored. */
    updateCommit(): void;
    hasCommittedInTerm(): boolean;
    /** Resolves to true once a quorum has acknowledged messages that were sent after this call, or to false at the timeout. */
    confirmLeadership(timeoutMs: number): Promise<boolean>;
    getMatchIndex(voterId: VoterId): number;
    listPeers(): readonly PeerProgress[];
}

interface Peer {
    readonly voterId: VoterId;
    address: Address;
    nextIndex: number;
    matchIndex: number;
    snapshotOffsetBytes: number;
    /** Highest confirmation round of which a message was acknowledged. */
    acknowledgedRound: number;
    lastAckMs: number;
    lastSoundAckMs: number;
    /** True after the peer has left the membership. Its task then ends. */
    isRemoved: boolean;
    /** Number of messages in a row that were not answered. */
    failures: number;
}

/** An append has to arrive, be stored and be answered within the timeout of one call, on a slow link too. */
const maxAppendBytes = 256 * 1024;
const snapshotChunkBytes = 512 * 1024;
/** A leader whose disk lags behind the others' for this number of election timeouts makes room for one of them. */
const maxStoreLagElectionTimeouts = 2;
/** Of the failures of one replica in a row, the first and each further one after this number are logged. */
const failuresPerLogLine = 20;

/** Creates the replication for a new leader. */
export function createReplication(core: ReplicaCore): Replication {
    const { host, options, state } = core;
    const { self, store, timing } = options;
    const term = core.getTerm();
    const firstIndexOfTerm = store.lastIndex + 1;
    const peers = new Map<VoterId, Peer>();
    const workAvailable = createNotifier(host.timers);
    const acknowledged = createNotifier(host.timers);
    const storeLag = createStoreLag();
    let confirmationRound = 0;
    let isStopped = false;
    const log = host.createLogger("log");
    return {
        start() {
            syncPeers();
            updateCommit();
            void checkQuorumTask();
        },
        stop() {
            isStopped = true;
            workAvailable.notify();
            acknowledged.notify();
        },
        isRunning,
        notify() {
            syncPeers();
            workAvailable.notify();
        },
        updateCommit,
        hasCommittedInTerm: () => state.commitIndex >= firstIndexOfTerm,
        async confirmLeadership(timeoutMs) {
            const requiredRound = ++confirmationRound;
            workAvailable.notify();
            const isConfirmed = () =>
                hasQuorum(
                    state.membership,
                    voterId => voterId === self.voterId || (peers.get(voterId)?.acknowledgedRound ?? 0) >= requiredRound,
                );
            await waitUntil(host, acknowledged, () => !isRunning() || isConfirmed(), timeoutMs);
            return isRunning() && isConfirmed();
        },
        listPeers: () => [...peers.values()].filter(peer => !peer.isRemoved),
        getMatchIndex: voterId => voterId === self.voterId ? store.durableIndex : peers.get(voterId)?.matchIndex ?? 0,
    };

    function isRunning(): boolean {
        return !isStopped && state.role === "leader" && core.getTerm() === term;
    }

    function syncPeers(): void {
        const members = getMembers(state.membership).filter(member => member.voterId !== self.voterId);
        // The task of a removed peer ends, so a member that comes back is a new peer.
        for (const peer of peers.values()) peer.isRemoved ||= !members.some(member => member.voterId === peer.voterId);
        for (const member of members) {
            if (peers.get(member.voterId)?.isRemoved === false) continue;
            const peer: Peer = {
                voterId: member.voterId,
                address: member.address,
                nextIndex: store.lastIndex + 1,
                matchIndex: 0,
                snapshotOffsetBytes: 0,
                acknowledgedRound: 0,
                lastAckMs: host.clock.nowMs(),
                lastSoundAckMs: host.clock.nowMs(),
                isRemoved: false,
                failures: 0,
            };
            peers.set(member.voterId, peer);
            void replicateToPeer(peer);
        }
    }

    async function replicateToPeer(peer: Peer): Promise<void> {
        while (isRunning() && !peer.isRemoved) {
            const sentRound = confirmationRound;
            try {
                await sendEntries(peer);
                peer.acknowledgedRound = Math.max(peer.acknowledgedRound, sentRound);
                peer.lastAckMs = host.clock.nowMs();
                acknowledged.notify();
                if (peer.failures > 0) log.info("A replica answers again.", { voterId: peer.voterId, failures: peer.failures });
                peer.failures = 0;
            }
            catch (error) {
                reportFailure(peer, error);
                await sleep(host.timers, timing.heartbeatMs);
            }
            const isIdle = peer.nextIndex > store.lastIndex && confirmationRound === sentRound;
            if (isIdle && isRunning()) await workAvailable.wait(timing.heartbeatMs);
        }
    }

    function reportFailure(peer: Peer, error: unknown): void {
        if (peer.failures++ % failuresPerLogLine > 0) return;
        log.warn("A replica did not answer.", {
            voterId: peer.voterId,
            failures: peer.failures,
            nextIndex: peer.nextIndex,
            lastIndex: store.lastIndex,
            detail: getErrorText(error),
        });
    }

    async function sendEntries(peer: Peer): Promise<void> {
        const previousIndex = peer.nextIndex - 1;
        const previousTerm = store.getTerm(previousIndex);
        if (previousTerm === undefined || (peer.nextIndex < store.firstIndex && peer.nextIndex <= store.lastIndex)) {
            return sendSnapshot(peer);
        }
        const request: AppendRequest = {
            term,
            leaderId: self.voterId,
            leaderAddress: self.address,
            previousIndex,
            previousTerm,
            entries: [...store.getEntries(peer.nextIndex, maxAppendBytes)],
            commitIndex: state.commitIndex,
        };
        const reply: AppendReply = await callWithTimeout(
            host.timers,
            signal => options.calls.append(peer, request, signal),
            timing.callTimeoutMs,
            "append",
        );
        if (await stepDownIfNewerTerm(reply.term) || !isRunning()) return;
        if (reply.hasDiskFailed !== true) peer.lastSoundAckMs = host.clock.nowMs();
        if (!reply.isAppended) {
            peer.nextIndex = Math.max(1, Math.min(reply.index + 1, peer.nextIndex - 1));
            return;
        }
        peer.matchIndex = Math.max(peer.matchIndex, reply.index);
        peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
        updateCommit();
        core.notifyProgress();
    }

    async function sendSnapshot(peer: Peer): Promise<void> {
        const snapshot = store.snapshot;
        const data = await store.readSnapshotBytes();
        if (data === undefined || snapshot === undefined) return;
        if (peer.snapshotOffsetBytes > data.length) peer.snapshotOffsetBytes = 0;
        const chunk: SnapshotChunk = {
            term,
            leaderId: self.voterId,
            leaderAddress: self.address,
            index: snapshot.index,
            offsetBytes: peer.snapshotOffsetBytes,
            totalBytes: data.length,
            dataBase64: data.toString("base64", peer.snapshotOffsetBytes, peer.snapshotOffsetBytes + snapshotChunkBytes),
        };
        const reply: SnapshotReply = await callWithTimeout(
            host.timers,
            signal => options.calls.installSnapshot(peer, chunk, signal),
            timing.callTimeoutMs * 10,
            "snapshot",
        );
        if (await stepDownIfNewerTerm(reply.term) || !isRunning()) return;
        peer.lastSoundAckMs = host.clock.nowMs();
        peer.snapshotOffsetBytes = reply.isInstalled ? 0 : reply.receivedBytes;
        if (!reply.isInstalled) return;
        peer.matchIndex = Math.max(peer.matchIndex, snapshot.index);
        peer.nextIndex = peer.matchIndex + 1;
    }

    async function stepDownIfNewerTerm(replyTerm: number): Promise<boolean> {
        if (replyTerm <= core.getTerm()) return false;
        await core.runExclusive(() => core.becomeFollower(replyTerm, "newerTerm"));
        return true;
    }

    // An entry of an earlier term is committed only indirectly, when a later entry of this term is committed.
    function updateCommit(): void {
        if (!isRunning()) return;
        for (let index = store.lastIndex; index > state.commitIndex && index >= firstIndexOfTerm; index--) {
            const isReplicatedTo = (voterId: VoterId) =>
                (voterId === self.voterId ? store.durableIndex : peers.get(voterId)?.matchIndex ?? 0) >= index;
            if (!hasQuorum(state.membership, isReplicatedTo)) continue;
            core.advanceCommit(index);
            return;
        }
    }

    // Another leader may have committed more only after the last time at which a quorum answered this one.
    function recordOwnCommit(): void {
        if (!isRunning() || state.commitIndex < firstIndexOfTerm) return;
        const nowMs = host.clock.nowMs();
        const getAckMs = (voterId: VoterId) => voterId === self.voterId ? nowMs : peers.get(voterId)?.lastAckMs ?? -Infinity;
        const ackTimesMs = getVoters(state.membership).map(voter => getAckMs(voter.voterId)).sort((a, b) => b - a);
        const quorumAckMs = ackTimesMs.find(atMs => hasQuorum(state.membership, voterId => getAckMs(voterId) >= atMs));
        if (quorumAckMs !== undefined) core.recordCommit(state.commitIndex, quorumAckMs);
    }

    // Others may answer and store while the leader's own disk stalls. Its state then stands still as soon as a snapshot is due.
    function checkOwnStore(): void {
        if (!isRunning()) return;
        const { durableIndex } = store;
        const lagMs = storeLag.observe({ durableIndex, commitIndex: state.commitIndex }, host.clock.nowMs());
        if (lagMs < timing.electionTimeoutMs * maxStoreLagElectionTimeouts) return;
        core.handleDiskError(
            new Error(`entry ${durableIndex + 1}, which others have stored, is not on the disk after ${Math.round(lagMs)} ms`),
        );
    }

    // Check-quorum: a leader that cannot reach a quorum steps down, so that an isolated leader neither accepts proposals nor
    // answers reads.
    async function checkQuorumTask(): Promise<void> {
        while (isRunning()) {
            await sleep(host.timers, timing.heartbeatMs);
            recordOwnCommit();
            checkOwnStore();
            const earliestAckMs = host.clock.nowMs() - timing.electionTimeoutMs;
            const hasRecentAck = (voterId: VoterId) =>
                voterId === self.voterId || (peers.get(voterId)?.lastAckMs ?? -Infinity) >= earliestAckMs;
            if (isRunning() && !hasQuorum(state.membership, hasRecentAck)) {
                await core.runExclusive(() => core.becomeFollower(term, "quorumLost"));
            }
        }
    }
}

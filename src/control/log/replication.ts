/** A leader's replication: one task for each peer, commitment, check-quorum and read confirmation. */
import { createNotifier, sleep, waitUntil, withTimeout } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { PeerProgress, ReplicaCore } from "./replicaTypes.js";
import { getMembers, hasQuorum } from "./types.js";
import type { AppendReply, AppendRequest, SnapshotReply, VoterId } from "./types.js";

/** Replication during one leadership. */
export interface Replication {
    start(): void;
    stop(): void;
    isRunning(): boolean;
    /** Wakes the peers' tasks, because there are new entries. */
    notify(): void;
    updateCommit(): void;
    hasCommittedOwnTerm(): boolean;
    /** Resolves true once a quorum has answered a message that was sent after this call. */
    confirm(timeoutMs: number): Promise<boolean>;
    getMatchIndex(voterId: VoterId): number;
    listPeers(): readonly PeerProgress[];
}

interface Peer {
    readonly voterId: VoterId;
    address: Address;
    nextIndex: number;
    matchIndex: number;
    snapshotOffsetBytes: number;
    /** Highest confirmation round whose message was answered. */
    ackedRound: number;
    lastAckMs: number;
    isRemoved: boolean;
}

const maxEntriesPerAppend = 512;
const snapshotChunkBytes = 512 * 1024;

/** Creates the replication of a new leader. */
export function createReplication(core: ReplicaCore): Replication {
    const { host, options, state } = core;
    const { self, store, timing } = options;
    const term = core.getTerm();
    const firstOwnIndex = store.lastIndex + 1;
    const peers = new Map<VoterId, Peer>();
    const work = createNotifier(host.timers);
    const progress = createNotifier(host.timers);
    let round = 0;
    let isStopped = false;
    return {
        start() {
            addPeers();
            updateCommit();
            void checkQuorumTask();
        },
        stop() {
            isStopped = true;
            work.notify();
            progress.notify();
        },
        isRunning,
        notify() {
            addPeers();
            work.notify();
        },
        updateCommit,
        hasCommittedOwnTerm: () => state.commitIndex >= firstOwnIndex,
        async confirm(timeoutMs) {
            const wanted = ++round;
            work.notify();
            const isConfirmed = () =>
                hasQuorum(state.membership, voterId => voterId === self.voterId || (peers.get(voterId)?.ackedRound ?? 0) >= wanted);
            await waitUntil(host, progress, () => !isRunning() || isConfirmed(), timeoutMs);
            return isRunning() && isConfirmed();
        },
        listPeers: () => [...peers.values()].filter(peer => !peer.isRemoved),
        getMatchIndex: voterId => voterId === self.voterId ? store.durableIndex : peers.get(voterId)?.matchIndex ?? 0,
    };

    function isRunning(): boolean {
        return !isStopped && state.role === "leader" && core.getTerm() === term;
    }

    function addPeers(): void {
        const members = getMembers(state.membership).filter(member => member.voterId !== self.voterId);
        for (const peer of peers.values()) peer.isRemoved = !members.some(member => member.voterId === peer.voterId);
        for (const member of members) {
            if (peers.get(member.voterId)?.isRemoved === false) continue;
            const peer: Peer = {
                voterId: member.voterId,
                address: member.address,
                nextIndex: store.lastIndex + 1,
                matchIndex: 0,
                snapshotOffsetBytes: 0,
                ackedRound: 0,
                lastAckMs: host.clock.nowMs(),
                isRemoved: false,
            };
            peers.set(member.voterId, peer);
            void peerTask(peer);
        }
    }

    async function peerTask(peer: Peer): Promise<void> {
        while (isRunning() && !peer.isRemoved) {
            const sentRound = round;
            try {
                await sendOnce(peer);
                peer.ackedRound = Math.max(peer.ackedRound, sentRound);
                peer.lastAckMs = host.clock.nowMs();
                progress.notify();
            }
            catch {
                await sleep(host.timers, timing.heartbeatMs);
            }
            const isIdle = peer.nextIndex > store.lastIndex && round === sentRound;
            if (isIdle && isRunning()) await work.wait(timing.heartbeatMs);
        }
    }

    async function sendOnce(peer: Peer): Promise<void> {
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
            entries: [...store.getEntries(peer.nextIndex, maxEntriesPerAppend)],
            commitIndex: state.commitIndex,
        };
        const reply: AppendReply = await withTimeout(
            host.timers,
            options.calls.append(peer, request),
            timing.callTimeoutMs,
            "append",
        );
        if (await followNewerTerm(reply.term) || !isRunning()) return;
        if (!reply.isAppended) {
            peer.nextIndex = Math.max(1, Math.min(reply.index + 1, peer.nextIndex - 1));
            return;
        }
        peer.matchIndex = Math.max(peer.matchIndex, reply.index);
        peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
        updateCommit();
        core.notifyApplied();
    }

    async function sendSnapshot(peer: Peer): Promise<void> {
        const snapshot = store.snapshot;
        const data = await store.readSnapshotBytes();
        if (data === undefined || snapshot === undefined) return;
        if (peer.snapshotOffsetBytes > data.length) peer.snapshotOffsetBytes = 0;
        const reply: SnapshotReply = await withTimeout(
            host.timers,
            options.calls.installSnapshot(peer, {
                term,
                leaderId: self.voterId,
                leaderAddress: self.address,
                index: snapshot.index,
                offsetBytes: peer.snapshotOffsetBytes,
                totalBytes: data.length,
                dataBase64: data.toString("base64", peer.snapshotOffsetBytes, peer.snapshotOffsetBytes + snapshotChunkBytes),
            }),
            timing.callTimeoutMs * 10,
            "snapshot",
        );
        if (await followNewerTerm(reply.term) || !isRunning()) return;
        peer.snapshotOffsetBytes = reply.isInstalled ? 0 : reply.receivedBytes;
        if (!reply.isInstalled) return;
        peer.matchIndex = Math.max(peer.matchIndex, snapshot.index);
        peer.nextIndex = peer.matchIndex + 1;
    }

    async function followNewerTerm(replyTerm: number): Promise<boolean> {
        if (replyTerm <= core.getTerm()) return false;
        await core.exclusive(() => core.becomeFollower(replyTerm));
        return true;
    }

    // An entry of an earlier term is committed only by one of this term above it.
    function updateCommit(): void {
        if (!isRunning()) return;
        for (let index = store.lastIndex; index > state.commitIndex && index >= firstOwnIndex; index--) {
            const isHeld = (voterId: VoterId) =>
                (voterId === self.voterId ? store.durableIndex : peers.get(voterId)?.matchIndex ?? 0) >= index;
            if (!hasQuorum(state.membership, isHeld)) continue;
            core.advanceCommit(index);
            return;
        }
    }

    // A leader that cannot reach a quorum steps down, so that an isolated VM neither commits nor answers.
    async function checkQuorumTask(): Promise<void> {
        while (isRunning()) {
            await sleep(host.timers, timing.heartbeatMs);
            const sinceMs = host.clock.nowMs() - timing.electionTimeoutMs;
            const isHeard = (voterId: VoterId) => voterId === self.voterId || (peers.get(voterId)?.lastAckMs ?? -Infinity) >= sinceMs;
            if (isRunning() && !hasQuorum(state.membership, isHeard)) await core.exclusive(() => core.becomeFollower(term));
        }
    }
}

/** A follower's handling of its leader's requests: entries, heartbeats and snapshot chunks. */
import { assert } from "../../kernel/debug.js";
import { getLatestMembership } from "./members.js";
import { tryDecodeRecord } from "./records.js";
import type { ReplicaCore } from "./replicaTypes.js";
import type { AppendReply, AppendRequest, LogEntry, Snapshot, SnapshotChunk, SnapshotReply } from "./types.js";

/** Handlers of a leader's requests. Requests are handled one at a time. */
export interface Follower {
    onAppend(request: AppendRequest): Promise<AppendReply>;
    onSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply>;
}

/** Creates the handlers of a replica. */
export function createFollower(core: ReplicaCore): Follower {
    const { host, state } = core;
    const { store } = core.options;
    const log = host.createLogger("log");
    let incomingSnapshot: { readonly index: number; readonly data: Buffer; receivedBytes: number; } | undefined;
    return {
        onAppend(request) {
            const receivedAtMs = host.clock.nowMs();
            return core.runExclusive(() => onAppend(request, receivedAtMs));
        },
        onSnapshot: chunk => core.runExclusive(() => onSnapshot(chunk)),
    };

    async function onAppend(request: AppendRequest, receivedAtMs: number): Promise<AppendReply> {
        const term = store.hardState.term;
        if (request.term < term) return { term, isAppended: false, index: store.lastIndex };
        if (request.term > term || state.role !== "follower") await core.becomeFollower(request.term, "newerTerm");
        core.setLeader(request.leaderId, request.leaderAddress);
        state.lastLeaderContactMs = host.clock.nowMs();
        const retryIndex = findRetryIndex(request);
        const hasDiskFailed = state.hasDiskFailed || undefined;
        if (retryIndex !== undefined) return { term: request.term, isAppended: false, index: retryIndex, hasDiskFailed };
        try {
            await appendMissingEntries(request.entries);
        }
        catch (error) {
            state.membership = getLatestMembership(store);
            core.handleDiskError(error);
            throw error;
        }
        const matchIndex = request.previousIndex + request.entries.length;
        core.advanceCommit(Math.min(request.commitIndex, matchIndex));
        // Before a leader has committed an entry of its own term, the group may have committed more than it knows.
        if (store.getTerm(request.commitIndex) === request.term) core.recordCommit(request.commitIndex, receivedAtMs);
        return { term: request.term, isAppended: true, index: matchIndex, hasDiskFailed };
    }

    /**
     * Index of the last committed entry that this store has. A leader whose writes failed may have committed more with the others: such entries
     * are gone from its store, and it has to store them anew.
     */
    function getStoredCommitIndex(): number {
        return Math.min(state.commitIndex, store.lastIndex);
    }

    // Returns undefined if the log matches at the entry before the request's entries. Otherwise returns the index that the
    // leader tries next. It skips all entries of the conflicting term.
    function findRetryIndex(request: AppendRequest): number | undefined {
        const storedCommitIndex = getStoredCommitIndex();
        if (request.previousIndex <= storedCommitIndex) return undefined;
        if (request.previousIndex > store.lastIndex) return store.lastIndex;
        const localTerm = store.getTerm(request.previousIndex);
        if (localTerm === request.previousTerm) return undefined;
        let index = request.previousIndex - 1;
        while (index > storedCommitIndex && store.getTerm(index) === localTerm) index--;
        return index;
    }

    async function appendMissingEntries(entries: readonly LogEntry[]): Promise<void> {
        const storedCommitIndex = getStoredCommitIndex();
        const firstMissing = entries.findIndex(entry => entry.index > storedCommitIndex && store.getTerm(entry.index) !== entry.term);
        if (firstMissing < 0) {
            if (store.durableIndex < store.lastIndex) await store.append([]);
            return;
        }
        const missingEntries = entries.slice(firstMissing);
        if (missingEntries[0]!.index <= store.lastIndex) {
            assert(missingEntries[0]!.index > state.commitIndex, "a committed entry must not be overwritten");
            await store.truncateFrom(missingEntries[0]!.index);
            state.membership = getLatestMembership(store);
        }
        await store.append(missingEntries);
        for (const entry of missingEntries) {
            if (entry.kind === "membership") state.membership = entry.membership;
        }
    }

    async function onSnapshot(chunk: SnapshotChunk): Promise<SnapshotReply> {
        const term = store.hardState.term;
        if (chunk.term < term) return { term, receivedBytes: 0, isInstalled: false };
        if (chunk.term > term || state.role !== "follower") await core.becomeFollower(chunk.term, "newerTerm");
        core.setLeader(chunk.leaderId, chunk.leaderAddress);
        state.lastLeaderContactMs = host.clock.nowMs();
        if (chunk.index <= getStoredCommitIndex()) return { term: chunk.term, receivedBytes: chunk.totalBytes, isInstalled: true };
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
            core.handleDiskError(error);
            throw error;
        }
        // The state may be newer than a snapshot that only replaces entries which this store has lost.
        if (snapshot.index > state.appliedIndex) core.loadSnapshot(snapshot);
        state.membership = getLatestMembership(store);
        log.info("Installed a snapshot from the leader.", { index: snapshot.index });
    }
}

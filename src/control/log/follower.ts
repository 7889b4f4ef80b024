/** A follower's answers to its leader: entries, heartbeats and pieces of snapshots. */
import { assert } from "../../kernel/debug.js";
import { getLatestMembership } from "./members.js";
import { tryDecodeRecord } from "./records.js";
import type { ReplicaCore } from "./replicaTypes.js";
import type { AppendReply, AppendRequest, LogEntry, Snapshot, SnapshotChunk, SnapshotReply } from "./types.js";

/** Handlers of a leader's messages. Each runs alone. */
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
        onAppend: request => core.exclusive(() => onAppend(request)),
        onSnapshot: chunk => core.exclusive(() => onSnapshot(chunk)),
    };

    async function onAppend(request: AppendRequest): Promise<AppendReply> {
        const term = store.hardState.term;
        if (request.term < term) return { term, isAppended: false, index: store.lastIndex };
        if (request.term > term || state.role !== "follower") await core.becomeFollower(request.term);
        core.setLeader(request.leaderId, request.leaderAddress);
        state.lastLeaderContactMs = host.clock.nowMs();
        const refusal = findGap(request);
        if (refusal !== undefined) return { term: request.term, isAppended: false, index: refusal };
        try {
            await appendNew(request.entries);
        }
        catch (error) {
            core.onDiskError(error);
            throw error;
        }
        state.hasDiskFailed = false;
        const matchIndex = request.previousIndex + request.entries.length;
        core.advanceCommit(Math.min(request.commitIndex, matchIndex));
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
        if (chunk.term > term || state.role !== "follower") await core.becomeFollower(chunk.term);
        core.setLeader(chunk.leaderId, chunk.leaderAddress);
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
            core.onDiskError(error);
            throw error;
        }
        core.loadSnapshot(snapshot);
        state.membership = getLatestMembership(store);
        log.info("A snapshot of the leader was installed.", { index: snapshot.index });
    }
}

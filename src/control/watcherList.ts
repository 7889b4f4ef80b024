/** Soft state that lists the entries with a pending directory watch at any control VM, so that entries can find each other. */
import { getHash32 } from "../kernel/digest.js";
import type { Address } from "../kernel/types.js";

/** Entries with a pending watch that one control VM knows of. */
export interface WatcherList {
    /** Records an entry whose watch is pending at this control VM. */
    addLocal(watcher: Address, nowMs: number): void;
    /** Records entries whose watch is pending at another control VM. */
    addRemote(watchers: readonly Address[], nowMs: number): void;
    listLocal(nowMs: number): readonly Address[];
    /** Returns a bounded number of other entries. The selection stays mostly the same as entries join and leave. */
    listPeersOf(watcher: Address, nowMs: number): readonly Address[];
    count(nowMs: number): number;
    /** Returns the hashes of the addresses of all entries. */
    listHashes(nowMs: number): readonly number[];
    /** Number of entries whose address comes before that of the given one. */
    getRank(watcher: Address, nowMs: number): number;
}

/** Covers several watch timeouts. */
const watcherTtlMs = 5_000;
const maxPeers = 12;

/** Creates an empty list. */
export function createWatcherList(): WatcherList {
    const localWatchers = new Map<Address, number>();
    const remoteWatchers = new Map<Address, number>();
    return {
        addLocal: (watcher, nowMs) => void localWatchers.set(watcher, nowMs),
        addRemote(watchers, nowMs) {
            for (const watcher of watchers) remoteWatchers.set(watcher, nowMs);
        },
        listLocal: nowMs => listUnexpired(localWatchers, nowMs),
        listPeersOf(watcher, nowMs) {
            const others = [...listAll(nowMs)].filter(other => other !== watcher);
            return others.sort((a, b) => getPairRank(watcher, a) - getPairRank(watcher, b)).slice(0, maxPeers);
        },
        count: nowMs => listAll(nowMs).size,
        listHashes: nowMs => [...listAll(nowMs)].map(watcher => getHash32(watcher)),
        getRank: (watcher, nowMs) => [...listAll(nowMs)].filter(other => other < watcher).length,
    };

    function listAll(nowMs: number): ReadonlySet<Address> {
        return new Set([...listUnexpired(localWatchers, nowMs), ...listUnexpired(remoteWatchers, nowMs)]);
    }
}

function listUnexpired(lastSeenMs: Map<Address, number>, nowMs: number): readonly Address[] {
    for (const [watcher, atMs] of lastSeenMs) {
        if (nowMs - atMs > watcherTtlMs) lastSeenMs.delete(watcher);
    }
    return [...lastSeenMs.keys()];
}

// Symmetric, so that two entries are mostly either both listed to each other or not at all.
function getPairRank(a: Address, b: Address): number {
    return getHash32(a < b ? `${a} ${b}` : `${b} ${a}`);
}

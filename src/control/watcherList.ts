/** Entries that wait for news at the control VMs, as soft state, so that entries can find each other. */
import { getHash32 } from "../kernel/digest.js";
import type { Address } from "../kernel/types.js";

/** The waiting entries that one control VM knows of. */
export interface WatcherList {
    /** An entry waits at this control VM. */
    addLocal(watcher: Address, nowMs: number): void;
    /** Entries wait at another control VM. */
    addRemote(watchers: readonly Address[], nowMs: number): void;
    listLocal(nowMs: number): readonly Address[];
    /** A bounded number of entries other than the one that asks. Whom it is told does not change as others come and go. */
    listPeersOf(watcher: Address, nowMs: number): readonly Address[];
    count(nowMs: number): number;
}

/** Several waits. */
const expiryMs = 5_000;
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
    };

    function listAll(nowMs: number): ReadonlySet<Address> {
        return new Set([...listUnexpired(localWatchers, nowMs), ...listUnexpired(remoteWatchers, nowMs)]);
    }
}

function listUnexpired(lastSeenMs: Map<Address, number>, nowMs: number): readonly Address[] {
    for (const [watcher, atMs] of lastSeenMs) {
        if (nowMs - atMs > expiryMs) lastSeenMs.delete(watcher);
    }
    return [...lastSeenMs.keys()];
}

// The same for both of a pair, so that those who are told of each other mostly agree.
function getPairRank(a: Address, b: Address): number {
    return getHash32(a < b ? `${a} ${b}` : `${b} ${a}`);
}

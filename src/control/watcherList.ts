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
const forgetAfterMs = 5_000;
const maxListed = 12;

/** Creates an empty list. */
export function createWatcherList(): WatcherList {
    const here = new Map<Address, number>();
    const elsewhere = new Map<Address, number>();
    return {
        addLocal: (watcher, nowMs) => void here.set(watcher, nowMs),
        addRemote(watchers, nowMs) {
            for (const watcher of watchers) elsewhere.set(watcher, nowMs);
        },
        listLocal: nowMs => listRecent(here, nowMs),
        listPeersOf(watcher, nowMs) {
            const others = [...listAll(nowMs)].filter(other => other !== watcher);
            return others.sort((a, b) => getRank(watcher, a) - getRank(watcher, b)).slice(0, maxListed);
        },
        count: nowMs => listAll(nowMs).size,
    };

    function listAll(nowMs: number): ReadonlySet<Address> {
        return new Set([...listRecent(here, nowMs), ...listRecent(elsewhere, nowMs)]);
    }
}

function listRecent(heardAtMs: Map<Address, number>, nowMs: number): readonly Address[] {
    for (const [watcher, atMs] of heardAtMs) {
        if (nowMs - atMs > forgetAfterMs) heardAtMs.delete(watcher);
    }
    return [...heardAtMs.keys()];
}

// The same for both of a pair, so that those who are told of each other mostly agree.
function getRank(a: Address, b: Address): number {
    return getHash32(a < b ? `${a} ${b}` : `${b} ${a}`);
}

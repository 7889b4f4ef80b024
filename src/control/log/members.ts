/** Who votes, as the log says at an index. */
import type { LogStore } from "./store.js";
import type { Membership } from "./types.js";

/** Membership by the last entry, committed or not. */
export function getLatestMembership(store: LogStore): Membership {
    return getMembershipAt(store, store.lastIndex);
}

/** Membership by the entries up to an index. */
export function getMembershipAt(store: LogStore, index: number): Membership {
    for (let at = index; at >= store.firstIndex; at--) {
        const entry = store.getEntry(at);
        if (entry?.kind === "membership") return entry.membership;
    }
    return store.snapshot?.membership ?? store.marker.founders;
}

/** Looks up the membership that the log defines at an index. */
import type { LogStore } from "./store.js";
import type { Membership } from "./types.js";

/** Returns the membership after the last entry, committed or not. */
export function getLatestMembership(store: LogStore): Membership {
    return getMembershipAt(store, store.lastIndex);
}

/** Returns the membership after the entry at an index. */
export function getMembershipAt(store: LogStore, index: number): Membership {
    for (let entryIndex = index; entryIndex >= store.firstIndex; entryIndex--) {
        const entry = store.getEntry(entryIndex);
        if (entry?.kind === "membership") return entry.membership;
    }
    return store.snapshot?.membership ?? store.marker.founders;
}

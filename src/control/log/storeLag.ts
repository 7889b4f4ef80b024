/** Tells for how long the store of a leader has lagged behind what its group has committed, with the disks of the others. */

/** Tracks the lag of one store. */
export interface StoreLag {
    /** Returns the time for which the store has lacked an entry that was committed. Zero while it lacks none. */
    observe(progress: StoreProgress, nowMs: number): number;
}

/** How far a store and its group are. */
export interface StoreProgress {
    readonly durableIndex: number;
    readonly commitIndex: number;
}

/** Creates a tracker of a store that lacks nothing. */
export function createStoreLag(): StoreLag {
    /** The oldest commit index seen that the store has not reached. Later ones are not kept while it lags. */
    let missing: { readonly index: number; readonly sinceMs: number; } | undefined;
    return {
        observe({ durableIndex, commitIndex }, nowMs) {
            if (missing !== undefined && durableIndex >= missing.index) missing = undefined;
            if (durableIndex < commitIndex) missing ??= { index: commitIndex, sinceMs: nowMs };
            return missing === undefined ? 0 : nowMs - missing.sinceMs;
        },
    };
}

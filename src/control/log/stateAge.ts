/** Tells how old the applied state of a replica may be, compared with what its group has committed. */

/** Tracks up to what time the applied state is known to hold everything committed. */
export interface StateAge {
    /** Records that the group had committed the log up to this index at this time. */
    recordCommit(commitIndex: number, atMs: number): void;
    /** Records that the state has been applied up to this index. */
    recordApplied(appliedIndex: number): void;
    /** Returns the time since which the state may lack committed entries. Infinite before it is known to have held all of them. */
    getMs(nowMs: number): number;
}

interface Report {
    readonly commitIndex: number;
    readonly atMs: number;
}

/** Creates a tracker for a replica that knows nothing of its group yet. */
export function createStateAge(): StateAge {
    let appliedIndex = 0;
    let currentAtMs = -Infinity;
    /** The oldest report that the state does not cover. Later ones are not kept, so the age is an upper limit. */
    let uncovered: Report | undefined;
    return {
        recordCommit(commitIndex, atMs) {
            if (appliedIndex >= commitIndex) currentAtMs = Math.max(currentAtMs, atMs);
            else uncovered ??= { commitIndex, atMs };
        },
        recordApplied(newAppliedIndex) {
            appliedIndex = newAppliedIndex;
            if (uncovered === undefined || appliedIndex < uncovered.commitIndex) return;
            currentAtMs = Math.max(currentAtMs, uncovered.atMs);
            uncovered = undefined;
        },
        getMs: nowMs => nowMs - currentAtMs,
    };
}

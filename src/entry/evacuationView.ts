/** The evacuated failure domains, as far as this entry knows them. The view never reverts to an older one. */
import type { EvacuationList, EvacuationRecord } from "../kernel/evacuationMessages.js";

/** Evacuations known to one entry. */
export interface EvacuationView {
    /** Index of the list that is held. Zero before the first one. */
    readonly changeIndex: number;
    isEvacuated(failureDomain: string): boolean;
    listEvacuated(): readonly string[];
    /**
     * Takes over a list if it is newer than the one that is held. `controlTimeMs` is an upper bound of control's time, by which the first
     * list tells recently ended evacuations from old ones.
     */
    update(list: EvacuationList, controlTimeMs: number): EvacuationChange;
}

/** What has changed for the entry with a new list. */
export interface EvacuationChange {
    readonly begun: readonly EvacuationRecord[];
    /** Includes evacuations that began and ended while the entry had no contact with control. */
    readonly ended: readonly EvacuationRecord[];
}

/** An entry that starts treats evacuations that ended within this time as having just ended. */
const recentEndMs = 10_000;
const noChange: EvacuationChange = { begun: [], ended: [] };

/** Creates a view without any evacuation. */
export function createEvacuationView(): EvacuationView {
    let held: EvacuationList | undefined;
    let evacuated: ReadonlySet<string> = new Set();
    return {
        get changeIndex() {
            return held?.changeIndex ?? 0;
        },
        isEvacuated: failureDomain => evacuated.has(failureDomain),
        listEvacuated: () => [...evacuated],
        update(list, controlTimeMs) {
            if (held !== undefined && list.changeIndex <= held.changeIndex) return noChange;
            const change = findChange(held, list, controlTimeMs);
            held = list;
            evacuated = new Set(list.records.filter(record => record.isEvacuated).map(record => record.failureDomain));
            return change;
        },
    };
}

function findChange(held: EvacuationList | undefined, list: EvacuationList, controlTimeMs: number): EvacuationChange {
    const heldIndexes = new Map(held?.records.map(record => [record.failureDomain, record.changeIndex]));
    const changed = list.records.filter(record => heldIndexes.get(record.failureDomain) !== record.changeIndex);
    const isRecent = (record: EvacuationRecord) => held !== undefined || controlTimeMs - record.changedAtMs < recentEndMs;
    return {
        begun: changed.filter(record => record.isEvacuated),
        ended: changed.filter(record => !record.isEvacuated && isRecent(record)),
    };
}

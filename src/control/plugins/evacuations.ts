/**
 * Evacuations of failure domains. An operator orders that no requests are sent to the backend servers of a failure domain, and later
 * withdraws the order. Several failure domains may be evacuated at the same time.
 */
import type { EvacuationList, EvacuationOrder, EvacuationOutcome, EvacuationRecord } from "../../kernel/evacuationMessages.js";
import type { ApplyContext, ControlPlugin } from "../../kernel/registry.js";
import type { AuditWriter } from "./audit.js";

/** The plug-in, and the state that is published with the configuration. */
export interface Evacuations {
    readonly plugin: ControlPlugin;
    /** Returns the same object until it changes. */
    getList(): EvacuationList;
    /** Outcome of an order that would change nothing now. Undefined if it has to be committed. */
    findOutcome(order: EvacuationOrder): EvacuationOutcome | undefined;
}

/** Limits the size of snapshots and of what is published. Records of ended evacuations are dropped, oldest first. */
const maxRecords = 1_000;

/** Creates the plug-in without any evacuation. */
export function createEvacuations(audit: AuditWriter): Evacuations {
    // In the order of the last change.
    const records = new Map<string, EvacuationRecord>();
    let list: EvacuationList = { changeIndex: 0, records: [] };

    return {
        getList: () => list,
        findOutcome(order) {
            const outcome = decide(order);
            return outcome === "changed" ? undefined : outcome;
        },
        plugin: {
            name: "evacuations",
            commands: {
                "evacuations.set": (order, context) => {
                    const outcome = decide(order);
                    if (outcome === "changed") change(order, context);
                    return { outcome };
                },
            },
            queries: { "evacuations.list": () => list },
            sections: [{
                name: "evacuations",
                save: () => list,
                // Snapshots of earlier versions have no such section.
                load(data) {
                    const saved = data as EvacuationList | undefined;
                    records.clear();
                    for (const record of saved?.records ?? []) records.set(record.failureDomain, record);
                    list = { changeIndex: saved?.changeIndex ?? 0, records: [...records.values()] };
                },
            }],
        },
    };

    function decide({ failureDomain, phase, baseIndex }: EvacuationOrder): EvacuationOutcome {
        const record = records.get(failureDomain);
        if (record === undefined && phase === "finish") return "neverEvacuated";
        const isEvacuated = record?.isEvacuated ?? false;
        if (isEvacuated === (phase === "begin")) return "repeated";
        return baseIndex === (record?.changeIndex ?? 0) ? "changed" : "outdated";
    }

    function change({ failureDomain, phase, actor }: EvacuationOrder, context: ApplyContext): void {
        const isEvacuated = phase === "begin";
        records.delete(failureDomain);
        records.set(failureDomain, {
            failureDomain,
            isEvacuated,
            changeIndex: context.index,
            changedAtMs: context.nowMs,
            changedAtWallMs: context.wallMs,
            actor,
        });
        deleteOldestEnded();
        list = { changeIndex: context.index, records: [...records.values()] };
        const outcome = isEvacuated ? "begun" : "finished";
        audit(context, { actor, action: "evacuate", outcome, detail: failureDomain, content: [failureDomain, phase] });
    }

    function deleteOldestEnded(): void {
        if (records.size <= maxRecords) return;
        const oldest = [...records.values()].find(record => !record.isEvacuated);
        if (oldest !== undefined) records.delete(oldest.failureDomain);
    }
}

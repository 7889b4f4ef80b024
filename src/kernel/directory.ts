/**
 * Backend servers that announce themselves by heartbeats, without an agent. The table is soft state: each control VM and
 * each entry keeps one, and any order and repetition of records leads to the same table.
 */
import { z } from "zod";

const boundedString = z.string().min(1).max(200);

/** What is known of one backend server. */
export const backendServerRecordSchema = z.object({
    backendServer: boundedString,
    pool: boundedString,
    address: boundedString,
    failureDomain: z.string(),
    /** Version of the software that it runs. */
    softwareVersion: z.string(),
    /** Requests that it runs at once. */
    maxRunning: z.number().int().nonnegative(),
    state: z.enum(["ready", "draining", "gone"]),
    /** How much longer it stays slow after its start. */
    coldLeftMs: z.number().nonnegative(),
    /** Wall clock time at which this life of it began, by its own clock. Tells one life from another. */
    bornMs: z.number(),
    /** Number of the heartbeat within its life. */
    sequence: z.number(),
    /** True when no heartbeat has come for long, though it did not say that it leaves. */
    isSilent: z.boolean(),
}).readonly();
/** What is known of one backend server. */
export type BackendServerRecord = z.infer<typeof backendServerRecordSchema>;

/** What a record did to the table. */
export type MergeOutcome = "changed" | "refreshed" | "ignored";

/** A table of backend servers. */
export interface DirectoryTable {
    readonly revision: number;
    merge(record: BackendServerRecord, nowMs: number): MergeOutcome;
    /** Marks those silent that were not heard of since the time, and forgets what is gone for long. */
    expire(silentCutoffMs: number, removalCutoffMs: number): void;
    get(backendServer: string): BackendServerRecord | undefined;
    /** Records that changed after a revision. */
    listSince(revision: number): readonly BackendServerRecord[];
}

interface Row {
    readonly record: BackendServerRecord;
    readonly revision: number;
    readonly lastSeenAtMs: number;
}

/** Creates an empty table. */
export function createDirectoryTable(): DirectoryTable {
    const rows = new Map<string, Row>();
    const idByAddress = new Map<string, string>();
    let revision = 0;
    return {
        get revision() {
            return revision;
        },
        merge,
        expire(silentCutoffMs, removalCutoffMs) {
            for (const [id, row] of rows) {
                if (row.lastSeenAtMs < removalCutoffMs && row.record.state === "gone") rows.delete(id);
                else if (row.lastSeenAtMs < silentCutoffMs && !row.record.isSilent && row.record.state !== "gone") {
                    setRecord({ ...row.record, isSilent: true }, row.lastSeenAtMs);
                }
            }
        },
        get: backendServer => rows.get(backendServer)?.record,
        listSince: since => [...rows.values()].filter(row => row.revision > since).map(row => row.record),
    };

    function merge(record: BackendServerRecord, nowMs: number): MergeOutcome {
        const current = rows.get(record.backendServer);
        if (current !== undefined && !isNewer(record, current.record)) return "ignored";
        if (record.state !== "gone" && !claimAddress(record, nowMs)) return "ignored";
        if (current === undefined || !isUnchanged(record, current.record)) {
            setRecord(record, nowMs);
            return "changed";
        }
        rows.set(record.backendServer, {
            record,
            revision: current.revision,
            lastSeenAtMs: record.isSilent ? current.lastSeenAtMs : nowMs,
        });
        return "refreshed";
    }

    function setRecord(record: BackendServerRecord, lastSeenAtMs: number): void {
        rows.set(record.backendServer, { record, revision: ++revision, lastSeenAtMs });
    }

    // Of two lives at one address the later one holds it. A heartbeat of the earlier one may have been delayed.
    function claimAddress(record: BackendServerRecord, nowMs: number): boolean {
        const holder = rows.get(idByAddress.get(record.address) ?? "")?.record;
        if (holder !== undefined && holder.backendServer !== record.backendServer && holder.address === record.address) {
            if (holder.bornMs > record.bornMs) return false;
            if (holder.state !== "gone") setRecord({ ...holder, state: "gone" }, nowMs);
        }
        idByAddress.set(record.address, record.backendServer);
        return true;
    }
}

// A life that has ended does not come back, whatever heartbeats of it are still on their way.
function isNewer(record: BackendServerRecord, current: BackendServerRecord): boolean {
    if (record.bornMs !== current.bornMs) return record.bornMs > current.bornMs;
    if (current.state === "gone") return false;
    return record.state === "gone" || record.sequence > current.sequence ||
        (record.sequence === current.sequence && record.isSilent !== current.isSilent);
}

function isUnchanged(a: BackendServerRecord, b: BackendServerRecord): boolean {
    return a.bornMs === b.bornMs && a.state === b.state && a.pool === b.pool && a.address === b.address && a.isSilent === b.isSilent
        && a.maxRunning === b.maxRunning && a.softwareVersion === b.softwareVersion && a.failureDomain === b.failureDomain;
}

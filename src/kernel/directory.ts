/**
 * Backend servers that announce themselves by heartbeats, without an agent. The table is soft state: each control VM and
 * each entry keeps one, and any order and repetition of records leads to the same table.
 */
import { z } from "zod";

const name = z.string().min(1).max(200);

/** What is known of one backend server. */
export const backendServerRecordSchema = z.object({
    backendServer: name,
    pool: name,
    address: name,
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
    expire(silentSinceMs: number, forgetSinceMs: number): void;
    get(backendServer: string): BackendServerRecord | undefined;
    /** Records that changed after a revision. */
    listSince(revision: number): readonly BackendServerRecord[];
}

interface Row {
    readonly record: BackendServerRecord;
    readonly revision: number;
    readonly heardAtMs: number;
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
        expire(silentSinceMs, forgetSinceMs) {
            for (const [id, row] of rows) {
                if (row.heardAtMs < forgetSinceMs && row.record.state === "gone") rows.delete(id);
                else if (row.heardAtMs < silentSinceMs && !row.record.isSilent && row.record.state !== "gone") {
                    put({ ...row.record, isSilent: true }, row.heardAtMs);
                }
            }
        },
        get: backendServer => rows.get(backendServer)?.record,
        listSince: since => [...rows.values()].filter(row => row.revision > since).map(row => row.record),
    };

    function merge(record: BackendServerRecord, nowMs: number): MergeOutcome {
        const known = rows.get(record.backendServer);
        if (known !== undefined && !isNewer(record, known.record)) return "ignored";
        if (record.state !== "gone" && !takeAddress(record, nowMs)) return "ignored";
        if (known === undefined || !isSame(record, known.record)) {
            put(record, nowMs);
            return "changed";
        }
        rows.set(record.backendServer, { record, revision: known.revision, heardAtMs: record.isSilent ? known.heardAtMs : nowMs });
        return "refreshed";
    }

    function put(record: BackendServerRecord, heardAtMs: number): void {
        rows.set(record.backendServer, { record, revision: ++revision, heardAtMs });
    }

    // Of two lives at one address the later one holds it. A heartbeat of the earlier one may have been delayed.
    function takeAddress(record: BackendServerRecord, nowMs: number): boolean {
        const holder = rows.get(idByAddress.get(record.address) ?? "")?.record;
        if (holder !== undefined && holder.backendServer !== record.backendServer && holder.address === record.address) {
            if (holder.bornMs > record.bornMs) return false;
            if (holder.state !== "gone") put({ ...holder, state: "gone" }, nowMs);
        }
        idByAddress.set(record.address, record.backendServer);
        return true;
    }
}

// A life that has ended does not come back, whatever heartbeats of it are still on their way.
function isNewer(record: BackendServerRecord, known: BackendServerRecord): boolean {
    if (record.bornMs !== known.bornMs) return record.bornMs > known.bornMs;
    if (known.state === "gone") return false;
    return record.state === "gone" || record.sequence > known.sequence ||
        (record.sequence === known.sequence && record.isSilent !== known.isSilent);
}

function isSame(a: BackendServerRecord, b: BackendServerRecord): boolean {
    return a.bornMs === b.bornMs && a.state === b.state && a.pool === b.pool && a.address === b.address && a.isSilent === b.isSilent
        && a.maxRunning === b.maxRunning && a.softwareVersion === b.softwareVersion && a.failureDomain === b.failureDomain;
}

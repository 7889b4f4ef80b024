/**
 * Table of the backend servers that announce themselves by heartbeats, without an agent. The table is soft state: each control VM
 * and each entry keeps a copy. Records may arrive repeatedly and in any order, and all copies converge to the same state.
 */
import { z } from "zod";
import { isAddress } from "./address.js";

const maxTextLength = 200;
const boundedString = z.string().min(1).max(maxTextLength);
const boundedText = z.string().max(maxTextLength);
/** More requests at once than any backend server can run. */
const maxSlots = 1_000_000;

/** Schema of a record. It is the only one, so that what one process accepts, all others accept from it. */
export const backendServerRecordSchema = z.object({
    backendServer: boundedString,
    pool: boundedString,
    /** Address at which it takes requests. May be anything once it is gone. */
    address: boundedString,
    failureDomain: boundedText,
    softwareVersion: boundedText,
    /** Maximum number of concurrent requests. */
    maxRunning: z.int().nonnegative().max(maxSlots),
    state: z.enum(["ready", "draining", "gone"]),
    /** Remaining time during which it takes few requests and is slow, because it was started recently. */
    coldLeftMs: z.number().nonnegative(),
    /** Wall clock time, by its own clock, at which it was started. Distinguishes its incarnations. */
    bornMs: z.int(),
    /** Sequence number of the heartbeat within the incarnation. */
    sequence: z.int().nonnegative(),
    /** True if no heartbeat has arrived for some time although it has not announced that it is leaving. */
    isSilent: z.boolean(),
}).refine(record => record.state === "gone" || isAddress(record.address), { error: "is no IP address with a port", path: ["address"] })
    .readonly();
/** State of one backend server, as of its latest heartbeat. */
export type BackendServerRecord = z.infer<typeof backendServerRecordSchema>;

/** A decoded record, or what is wrong with it. */
export type RecordCheck =
    | { readonly kind: "valid"; readonly record: BackendServerRecord; }
    | { readonly kind: "invalid"; readonly problem: string; };

/** Checks a record that comes from a backend server or from another process. */
export function checkBackendServerRecord(item: unknown): RecordCheck {
    const parsed = backendServerRecordSchema.safeParse(item);
    if (parsed.success) return { kind: "valid", record: parsed.data };
    return { kind: "invalid", problem: parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ") };
}

/**
 * Effect of merging a record. `refreshed`: a newer heartbeat without a relevant change. `ignored`: the record is outdated, or its
 * address belongs to a newer incarnation.
 */
export type MergeOutcome = "changed" | "refreshed" | "ignored";

/** A table of backend servers. */
export interface DirectoryTable {
    readonly revision: number;
    merge(record: BackendServerRecord, nowMs: number): MergeOutcome;
    /** Marks backend servers last seen before `silentCutoffMs` as silent, and removes gone ones last seen before `removalCutoffMs`. */
    expire(silentCutoffMs: number, removalCutoffMs: number): void;
    /** Returns a record, with the cold time that remains at `nowMs`. */
    get(backendServer: string, nowMs: number): BackendServerRecord | undefined;
    /** Returns the records that changed after a revision, with the cold times that remain at `nowMs`. */
    listSince(revision: number, nowMs: number): readonly BackendServerRecord[];
}

interface Row {
    readonly record: BackendServerRecord;
    readonly revision: number;
    readonly lastSeenAtMs: number;
    /** End of the cold time that the readers of this revision know of. */
    readonly coldUntilMs: number;
}

/** A cold time that ends later than the known one by less than this is the same, with a heartbeat that arrived later. */
const coldToleranceMs = 100;

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
                    setRecord({ ...row.record, isSilent: true }, row.lastSeenAtMs, row.coldUntilMs);
                }
            }
        },
        get(backendServer, nowMs) {
            const row = rows.get(backendServer);
            return row === undefined ? undefined : readRow(row, nowMs);
        },
        listSince: (since, nowMs) => [...rows.values()].filter(row => row.revision > since).map(row => readRow(row, nowMs)),
    };

    function merge(record: BackendServerRecord, nowMs: number): MergeOutcome {
        const current = rows.get(record.backendServer);
        if (current !== undefined && !isNewerRecord(record, current.record)) return "ignored";
        if (record.state !== "gone" && !claimAddress(record, nowMs)) return "ignored";
        if (current === undefined || !isUnchanged(record, current.record) || isColdForLonger(record, current, nowMs)) {
            setRecord(record, nowMs, nowMs + record.coldLeftMs);
            return "changed";
        }
        rows.set(record.backendServer, {
            record,
            revision: current.revision,
            lastSeenAtMs: record.isSilent ? current.lastSeenAtMs : nowMs,
            coldUntilMs: current.coldUntilMs,
        });
        return "refreshed";
    }

    function setRecord(record: BackendServerRecord, lastSeenAtMs: number, coldUntilMs: number): void {
        rows.set(record.backendServer, { record, revision: ++revision, lastSeenAtMs, coldUntilMs });
    }

    // If two backend servers announce the same address, the one started later owns it. A heartbeat of the other may have been delayed.
    function claimAddress(record: BackendServerRecord, nowMs: number): boolean {
        const ownerRow = rows.get(idByAddress.get(record.address) ?? "");
        const owner = ownerRow?.record;
        if (owner !== undefined && owner.backendServer !== record.backendServer && owner.address === record.address) {
            if (owner.bornMs > record.bornMs) return false;
            if (owner.state !== "gone") setRecord({ ...owner, state: "gone" }, nowMs, ownerRow!.coldUntilMs);
        }
        idByAddress.set(record.address, record.backendServer);
        return true;
    }
}

/** Returns a record with a cold time that was counted down since it was received. */
export function countDownColdTime(record: BackendServerRecord, elapsedMs: number): BackendServerRecord {
    return record.coldLeftMs === 0 ? record : { ...record, coldLeftMs: Math.max(0, record.coldLeftMs - elapsedMs) };
}

function readRow({ record, coldUntilMs }: Row, nowMs: number): BackendServerRecord {
    const coldLeftMs = Math.max(0, coldUntilMs - nowMs);
    return coldLeftMs === record.coldLeftMs ? record : { ...record, coldLeftMs };
}

// A server that becomes cold, or is cold for longer than its readers know, must be announced. The end of a cold time need not be.
function isColdForLonger(record: BackendServerRecord, known: Row, nowMs: number): boolean {
    return record.coldLeftMs > Math.max(0, known.coldUntilMs - nowMs) + coldToleranceMs;
}

/**
 * Returns true if a record tells of a later state of a backend server than another one. An incarnation that is gone stays gone, even if delayed
 * heartbeats of it still arrive.
 */
export function isNewerRecord(record: BackendServerRecord, current: BackendServerRecord): boolean {
    if (record.bornMs !== current.bornMs) return record.bornMs > current.bornMs;
    if (current.state === "gone") return false;
    return record.state === "gone" || record.sequence > current.sequence ||
        (record.sequence === current.sequence && record.isSilent !== current.isSilent);
}

function isUnchanged(a: BackendServerRecord, b: BackendServerRecord): boolean {
    return a.bornMs === b.bornMs && a.state === b.state && a.pool === b.pool && a.address === b.address && a.isSilent === b.isSilent
        && a.maxRunning === b.maxRunning && a.softwareVersion === b.softwareVersion && a.failureDomain === b.failureDomain;
}

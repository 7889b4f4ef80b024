/** The audit trail: records the actor, time, operation id, content digest, detail and outcome of every change. */
import { getDigest } from "../../kernel/digest.js";
import type { AuditRecord } from "../../kernel/messages.js";
import type { ApplyContext, ControlPlugin } from "../../kernel/registry.js";

/** Description of a change, supplied by the command handler. */
export interface AuditEvent {
    readonly actor: string;
    readonly action: string;
    readonly outcome: string;
    readonly detail: string;
    /** Content of the change. Only its digest is stored. */
    readonly content: unknown;
}

/** Appends a record to the audit trail. */
export type AuditWriter = (context: ApplyContext, event: AuditEvent) => void;

/** The plug-in, and the writer that is passed to the other plug-ins. */
export interface AuditTrail {
    readonly plugin: ControlPlugin;
    readonly write: AuditWriter;
}

/** The trail is part of every snapshot, so the oldest records are dropped. */
const maxTrailBytes = 1024 * 1024;
/** Records are removed in batches, because each removal copies the list. */
const removedShare = 0.1;

/** Creates the audit trail. */
export function createAuditTrail(): AuditTrail {
    let records: AuditRecord[] = [];
    let trailBytes = 0;
    return {
        write(context, event) {
            const record: AuditRecord = {
                index: context.index,
                wallMs: context.wallMs,
                controlTimeMs: context.nowMs,
                actor: event.actor,
                action: event.action,
                operationId: context.operationId,
                outcome: event.outcome,
                digest: getDigest(event.content),
                detail: event.detail,
            };
            records.push(record);
            trailBytes += getRecordBytes(record);
            if (trailBytes > maxTrailBytes) setRecords(records.slice(Math.ceil(records.length * removedShare)));
        },
        plugin: {
            name: "audit",
            queries: {
                "audit.since": input => ({ records: records.filter(record => record.wallMs >= input.wallMs).slice(-input.limit) }),
            },
            sections: [{
                name: "audit",
                save: () => records,
                load: data => setRecords([...data as AuditRecord[] ?? []]),
            }],
        },
    };

    function setRecords(newRecords: AuditRecord[]): void {
        records = newRecords;
        trailBytes = newRecords.reduce((total, record) => total + getRecordBytes(record), 0);
    }
}

function getRecordBytes(record: AuditRecord): number {
    return recordOverheadBytes + record.detail.length + record.operationId.length + record.actor.length;
}

/** The fields of fixed size: names, times, action, outcome and digest. */
const recordOverheadBytes = 200;

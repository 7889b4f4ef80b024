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

const maxRecords = 100_000;

/** Creates the audit trail. */
export function createAuditTrail(): AuditTrail {
    let records: AuditRecord[] = [];
    return {
        write(context, event) {
            records.push({
                index: context.index,
                wallMs: context.wallMs,
                controlTimeMs: context.nowMs,
                actor: event.actor,
                action: event.action,
                operationId: context.operationId,
                outcome: event.outcome,
                digest: getDigest(event.content),
                detail: event.detail,
            });
            if (records.length > maxRecords * 1.1) records = records.slice(-maxRecords);
        },
        plugin: {
            name: "audit",
            queries: {
                "audit.since": input => ({ records: records.filter(record => record.wallMs >= input.wallMs).slice(-input.limit) }),
            },
            sections: [{
                name: "audit",
                save: () => records,
                load: data => {
                    records = [...data as AuditRecord[] ?? []];
                },
            }],
        },
    };
}

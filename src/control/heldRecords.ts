/** Records of backend servers that a control VM cannot judge yet, because it has not caught up with what its group has committed. */
import { countDownColdTime, isNewerRecord } from "../kernel/directory.js";
import type { BackendServerRecord } from "../kernel/directory.js";

/** Holds the latest record of each backend server. */
export interface HeldRecords {
    hold(record: BackendServerRecord, receivedAtMs: number): void;
    /** Returns the records, with the cold times that remain at `nowMs`, and holds none of them any longer. */
    take(nowMs: number): readonly BackendServerRecord[];
}

interface HeldRecord {
    readonly record: BackendServerRecord;
    readonly receivedAtMs: number;
}

/** Creates an empty collection. */
export function createHeldRecords(): HeldRecords {
    const held = new Map<string, HeldRecord>();
    return {
        hold(record, receivedAtMs) {
            const other = held.get(record.backendServer)?.record;
            if (other === undefined || isNewerRecord(record, other)) held.set(record.backendServer, { record, receivedAtMs });
        },
        take(nowMs) {
            const records = [...held.values()].map(({ record, receivedAtMs }) => countDownColdTime(record, nowMs - receivedAtMs));
            held.clear();
            return records;
        },
    };
}

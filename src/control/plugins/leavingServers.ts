/**
 * Backend servers without agents whose leaving was acknowledged. The directory itself is soft state, so without these records a heartbeat that a
 * server sent before it left, and that arrives late, would bring the server back after all control VMs were killed.
 */
import type { BackendServerRecord } from "../../kernel/directory.js";
import { isNewerRecord } from "../../kernel/directory.js";
import type { ControlPlugin } from "../../kernel/registry.js";

/** A record that says that a backend server is draining or gone, with the control time of its commit. */
interface LeavingServer {
    readonly record: BackendServerRecord;
    readonly committedAtMs: number;
}

/** The plug-in and its state. */
export interface LeavingServers {
    readonly plugin: ControlPlugin;
    /** Returns the records that are not older than their retention at a control time. */
    list(nowMs: number): readonly BackendServerRecord[];
    /** True if the group has committed that the server, or a later incarnation of it, has gone at least as far as the record says. */
    covers(record: BackendServerRecord): boolean;
}

/** As long as the directory itself remembers a server that is gone. */
const retentionMs = 600_000;
/** Limits the size of snapshots. The oldest records are dropped first. */
const maxRecords = 5_000;

/** Creates the plug-in without records. */
export function createLeavingServers(): LeavingServers {
    /** By backend server, in the order of their commits. */
    const servers = new Map<string, LeavingServer>();

    return {
        list: nowMs => [...servers.values()].filter(server => isRetained(server, nowMs)).map(server => server.record),
        covers(record) {
            const known = servers.get(record.backendServer)?.record;
            if (known === undefined || known.bornMs < record.bornMs) return false;
            return known.bornMs > record.bornMs || known.state === "gone" || record.state === "draining";
        },
        plugin: {
            name: "leavingServers",
            commands: {
                "leavingServers.record": ({ record }, { nowMs }) => {
                    const known = servers.get(record.backendServer)?.record;
                    const isRecorded = record.state !== "ready" && (known === undefined || isNewerRecord(record, known));
                    if (isRecorded) {
                        servers.delete(record.backendServer);
                        servers.set(record.backendServer, { record, committedAtMs: nowMs });
                        deleteOld(nowMs);
                    }
                    return { isRecorded };
                },
            },
            sections: [{
                name: "leavingServers",
                save: () => [...servers.values()],
                // Snapshots of earlier versions have no such section.
                load(data) {
                    servers.clear();
                    for (const server of data as readonly LeavingServer[] | undefined ?? []) {
                        servers.set(server.record.backendServer, server);
                    }
                },
            }],
        },
    };

    function deleteOld(nowMs: number): void {
        for (const [backendServer, server] of servers) {
            if (isRetained(server, nowMs) && servers.size <= maxRecords) return;
            servers.delete(backendServer);
        }
    }
}

function isRetained({ committedAtMs }: LeavingServer, nowMs: number): boolean {
    return committedAtMs >= nowMs - retentionMs;
}

/** The fleet: agents with their backend servers, and entries, as each announced itself to control. */
import { checkDefined } from "../../kernel/debug.js";
import type { EntryAnnouncement, FleetAgent, LeaseUsage } from "../../kernel/messages.js";
import type { ControlPlugin } from "../../kernel/registry.js";
import type { Incarnation, VmName } from "../../kernel/types.js";
import type { AuditWriter } from "./audit.js";

/** An agent, with the lifecycle data that lease recovery needs. Times are control time. */
export interface AgentRecord extends FleetAgent {
    /** True once a newer incarnation of the same backend server has joined. This one cannot rejoin. */
    readonly isSuperseded: boolean;
    /** When the agent left or was superseded. */
    readonly endedAtMs?: number;
    readonly lostAtMs?: number;
    /** Tokens and requests that a leaving agent reported under leases that were still open. */
    readonly departedUses: readonly LeaseUsage[];
}

/** An entry, and whether a newer incarnation on the same VM has replaced it. */
export interface EntryRecord extends EntryAnnouncement {
    readonly isSuperseded: boolean;
    readonly announcedAtMs: number;
    /** True for an entry that dispatches without agents and named its predecessors. */
    readonly isDirect?: boolean;
}

/** State of the fleet, as read by other plug-ins. */
export interface FleetState {
    readonly agents: ReadonlyMap<Incarnation, AgentRecord>;
    readonly entries: ReadonlyMap<Incarnation, EntryRecord>;
}

/** The plug-in and its state. */
export interface Fleet {
    readonly plugin: ControlPlugin;
    readonly state: FleetState;
}

/** How long the record of a departed agent or entry is kept, in control time. */
const recordRetentionMs = 24 * 3_600_000;
/**
 * The same for a superseded direct entry. A short time is enough, because its leases are closed at once, and a late announcement of it
 * supersedes only entries that are older still.
 */
const directRecordRetentionMs = 10 * 60_000;

/**
 * Creates the fleet plug-in. `listRecoveringLeaseIds` returns the leases under which a joining agent must refuse requests, and
 * `listLeaseHolders` the incarnations that hold leases on a VM.
 */
export function createFleet(
    audit: AuditWriter,
    listRecoveringLeaseIds: () => readonly string[],
    listLeaseHolders: (vm: VmName) => readonly Incarnation[] = () => [],
): Fleet {
    const agents = new Map<Incarnation, AgentRecord>();
    const entries = new Map<Incarnation, EntryRecord>();
    const drainedServers = new Set<string>();

    const plugin: ControlPlugin = {
        name: "fleet",
        commands: {
            "fleet.announceAgent": ({ agent }, { nowMs }) => {
                deleteExpiredRecords(nowMs);
                supersedeAgents(agent.backendServer, agent.incarnation, nowMs);
                const existing = agents.get(agent.incarnation);
                const isDraining = drainedServers.has(agent.backendServer);
                if (existing?.isSuperseded !== true) {
                    agents.set(agent.incarnation, {
                        ...agent,
                        state: "present",
                        joinedAtMs: existing?.joinedAtMs ?? nowMs,
                        isDraining,
                        isSuperseded: false,
                        departedUses: [],
                    });
                }
                return { recoveringLeaseIds: listRecoveringLeaseIds() };
            },
            "fleet.announceEntry": ({ entry: { replaces, ...entry } }, { nowMs }) => {
                deleteExpiredRecords(nowMs);
                const isKnown = entries.has(entry.incarnation);
                if (isKnown) return { isKnown };
                for (const incarnation of replaces ?? listAnnounced(entry.vm)) supersedeEntry(entry, incarnation, nowMs);
                entries.set(entry.incarnation, { ...entry, isSuperseded: false, announcedAtMs: nowMs, isDirect: replaces !== undefined });
                return { isKnown };
            },
            "fleet.leave": ({ incarnation, uses }, { nowMs }) => {
                const agent = agents.get(incarnation);
                if (agent !== undefined) {
                    agents.set(incarnation, { ...agent, state: "leaving", endedAtMs: nowMs, departedUses: uses });
                }
                const entry = entries.get(incarnation);
                if (entry !== undefined) entries.set(incarnation, { ...entry, isSuperseded: true });
                return { isKnown: agent !== undefined || entry !== undefined };
            },
            "fleet.markLost": ({ incarnations }, { nowMs }) => {
                const present = incarnations.filter(incarnation => agents.get(incarnation)?.state === "present");
                for (const incarnation of present) updateAgent(incarnation, { state: "lost", lostAtMs: nowMs });
                return { marked: present.length };
            },
            "fleet.markPresent": ({ incarnations }) => {
                const lost = incarnations.filter(incarnation => agents.get(incarnation)?.state === "lost");
                for (const incarnation of lost) updateAgent(incarnation, { state: "present", lostAtMs: undefined });
                return { marked: lost.length };
            },
            "fleet.drain": ({ backendServer, isDraining, actor }, context) => {
                const matchingAgents = [...agents.values()].filter(agent => agent.backendServer === backendServer);
                if (isDraining) drainedServers.add(backendServer);
                else drainedServers.delete(backendServer);
                for (const agent of matchingAgents) updateAgent(agent.incarnation, { isDraining });
                const outcome = matchingAgents.length > 0 ? "accepted" : "unknown backend server";
                const action = isDraining ? "drain" : "undrain";
                audit(context, { actor, action, outcome, detail: backendServer, content: backendServer });
                return { isKnown: matchingAgents.length > 0 };
            },
        },
        queries: {
            "fleet.list": ({ vm }) => ({
                agents: [...agents.values()].filter(agent => !agent.isSuperseded && agent.endedAtMs === undefined && isOn(agent, vm)),
                entries: [...entries.values()].filter(entry => !entry.isSuperseded && isOn(entry, vm)),
                leaseHolders: vm === undefined ? undefined : listLeaseHolders(vm),
            }),
        },
        sections: [{
            name: "fleet",
            save: () => ({ agents: [...agents.values()], entries: [...entries.values()], drained: [...drainedServers] }),
            load(data) {
                const saved = data as { agents: AgentRecord[]; entries: EntryRecord[]; drained: string[]; };
                agents.clear();
                entries.clear();
                drainedServers.clear();
                for (const agent of saved.agents) agents.set(agent.incarnation, agent);
                for (const entry of saved.entries) entries.set(entry.incarnation, entry);
                for (const name of saved.drained) drainedServers.add(name);
            },
        }],
    };
    return { plugin, state: { agents, entries } };

    function updateAgent(incarnation: Incarnation, change: Partial<AgentRecord>): void {
        agents.set(incarnation, { ...checkDefined(agents.get(incarnation), "no agent of this incarnation is registered"), ...change });
    }

    function supersedeAgents(backendServer: string, incarnation: Incarnation, nowMs: number): void {
        if (agents.has(incarnation)) return;
        for (const other of agents.values()) {
            if (other.backendServer !== backendServer || other.isSuperseded) continue;
            updateAgent(other.incarnation, { isSuperseded: true, endedAtMs: other.endedAtMs ?? nowMs });
        }
    }

    function isOn(record: { readonly vm: VmName; }, vm: VmName | undefined): boolean {
        return vm === undefined || record.vm === vm;
    }

    function listAnnounced(vm: VmName): readonly Incarnation[] {
        return [...entries.values()].filter(other => other.vm === vm && !other.isSuperseded).map(other => other.incarnation);
    }

    // An incarnation that holds leases may not have announced itself. Its record keeps a late announcement from adding it.
    function supersedeEntry(successor: EntryAnnouncement, incarnation: Incarnation, nowMs: number): void {
        const record = entries.get(incarnation) ?? { ...successor, incarnation, announcedAtMs: nowMs, isDirect: true };
        entries.set(incarnation, { ...record, isSuperseded: true });
    }

    function deleteExpiredRecords(nowMs: number): void {
        for (const agent of agents.values()) {
            if (agent.endedAtMs !== undefined && agent.endedAtMs < nowMs - recordRetentionMs) agents.delete(agent.incarnation);
        }
        for (const entry of entries.values()) {
            const retentionMs = entry.isDirect === true ? directRecordRetentionMs : recordRetentionMs;
            if (entry.isSuperseded && entry.announcedAtMs < nowMs - retentionMs) entries.delete(entry.incarnation);
        }
    }
}

/** The fleet as it announces itself: agents with their backend servers, and entries. */
import { checkDefined } from "../../kernel/debug.js";
import type { EntryAnnouncement, FleetAgent, LeaseUsage } from "../../kernel/messages.js";
import type { ControlPlugin } from "../../kernel/registry.js";
import type { Incarnation } from "../../kernel/types.js";
import type { AuditWriter } from "./audit.js";

/** An agent with what recovery must know of its life. Times are control time. */
export interface AgentRecord extends FleetAgent {
    /** A newer incarnation of the same backend server has joined, so this one cannot come back. */
    readonly isSuperseded: boolean;
    /** When it left or was superseded. */
    readonly endedAtMs?: number;
    readonly lostAtMs?: number;
    /** What a leaving agent had started under leases that were open. */
    readonly departedUses: readonly LeaseUsage[];
}

/** An entry and whether a newer incarnation of its VM has taken its place. */
export interface EntryRecord extends EntryAnnouncement {
    readonly isSuperseded: boolean;
    readonly announcedAtMs: number;
}

/** State of the fleet that other plug-ins read. */
export interface FleetState {
    readonly agents: ReadonlyMap<Incarnation, AgentRecord>;
    readonly entries: ReadonlyMap<Incarnation, EntryRecord>;
}

/** The plug-in and its state. */
export interface Fleet {
    readonly plugin: ControlPlugin;
    readonly state: FleetState;
}

/** Control time for which an agent or entry that is gone is remembered. */
const rememberMs = 24 * 3_600_000;

/** Creates the fleet plug-in. `listRecoveringLeaseIds` gives the leases that a joining agent must refuse. */
export function createFleet(audit: AuditWriter, listRecoveringLeaseIds: () => readonly string[]): Fleet {
    const agents = new Map<Incarnation, AgentRecord>();
    const entries = new Map<Incarnation, EntryRecord>();
    const drained = new Set<string>();

    const plugin: ControlPlugin = {
        name: "fleet",
        commands: {
            "fleet.announceAgent": ({ agent }, { nowMs }) => {
                forgetGone(nowMs);
                supersedeAgents(agent.backendServer, agent.incarnation, nowMs);
                const known = agents.get(agent.incarnation);
                const isDraining = drained.has(agent.backendServer);
                if (known?.isSuperseded !== true) {
                    agents.set(agent.incarnation, {
                        ...agent,
                        state: "present",
                        joinedAtMs: known?.joinedAtMs ?? nowMs,
                        isDraining,
                        isSuperseded: false,
                        departedUses: [],
                    });
                }
                return { recoveringLeaseIds: listRecoveringLeaseIds() };
            },
            "fleet.announceEntry": ({ entry }, { nowMs }) => {
                const known = entries.get(entry.incarnation);
                for (const other of entries.values()) {
                    if (other.vm === entry.vm && other.incarnation !== entry.incarnation && known === undefined) {
                        entries.set(other.incarnation, { ...other, isSuperseded: true });
                    }
                }
                if (known === undefined) entries.set(entry.incarnation, { ...entry, isSuperseded: false, announcedAtMs: nowMs });
                return { isKnown: known !== undefined };
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
                for (const incarnation of present) setAgent(incarnation, { state: "lost", lostAtMs: nowMs });
                return { marked: present.length };
            },
            "fleet.markPresent": ({ incarnations }) => {
                const lost = incarnations.filter(incarnation => agents.get(incarnation)?.state === "lost");
                for (const incarnation of lost) setAgent(incarnation, { state: "present", lostAtMs: undefined });
                return { marked: lost.length };
            },
            "fleet.drain": ({ backendServer, isDraining, actor }, context) => {
                const known = [...agents.values()].filter(agent => agent.backendServer === backendServer);
                if (isDraining) drained.add(backendServer);
                else drained.delete(backendServer);
                for (const agent of known) setAgent(agent.incarnation, { isDraining });
                const outcome = known.length > 0 ? "accepted" : "unknown backend server";
                const action = isDraining ? "drain" : "undrain";
                audit(context, { actor, action, outcome, detail: backendServer, content: backendServer });
                return { isKnown: known.length > 0 };
            },
        },
        queries: {
            "fleet.list": () => ({
                agents: [...agents.values()].filter(agent => !agent.isSuperseded && agent.endedAtMs === undefined),
                entries: [...entries.values()].filter(entry => !entry.isSuperseded),
            }),
        },
        sections: [{
            name: "fleet",
            save: () => ({ agents: [...agents.values()], entries: [...entries.values()], drained: [...drained] }),
            load(data) {
                const saved = data as { agents: AgentRecord[]; entries: EntryRecord[]; drained: string[]; };
                agents.clear();
                entries.clear();
                drained.clear();
                for (const agent of saved.agents) agents.set(agent.incarnation, agent);
                for (const entry of saved.entries) entries.set(entry.incarnation, entry);
                for (const name of saved.drained) drained.add(name);
            },
        }],
    };
    return { plugin, state: { agents, entries } };

    function setAgent(incarnation: Incarnation, change: Partial<AgentRecord>): void {
        agents.set(incarnation, { ...checkDefined(agents.get(incarnation), "the agent is known"), ...change });
    }

    function supersedeAgents(backendServer: string, incarnation: Incarnation, nowMs: number): void {
        if (agents.has(incarnation)) return;
        for (const other of agents.values()) {
            if (other.backendServer !== backendServer || other.isSuperseded) continue;
            setAgent(other.incarnation, { isSuperseded: true, endedAtMs: other.endedAtMs ?? nowMs });
        }
    }

    function forgetGone(nowMs: number): void {
        for (const agent of agents.values()) {
            if (agent.endedAtMs !== undefined && agent.endedAtMs < nowMs - rememberMs) agents.delete(agent.incarnation);
        }
        for (const entry of entries.values()) {
            if (entry.isSuperseded && entry.announcedAtMs < nowMs - rememberMs) entries.delete(entry.incarnation);
        }
    }
}

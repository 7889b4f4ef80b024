/** Periodic tasks of the leader: detects lost agents, recovers leases by querying the agents, and plans load orders. */
import type { AgentRouter, CloseLeasesReply, SubmitRequest } from "../kernel/contracts.js";
import type { Host } from "../kernel/host.js";
import type { CommandInputs, CommandKind, ControlReply, LeaseUsage } from "../kernel/messages.js";
import { createRpcClients } from "../kernel/rpc.js";
import { createStopController, getErrorText, runPeriodically, withTimeout } from "../kernel/tasks.js";
import type { Incarnation } from "../kernel/types.js";
import type { Replica } from "./log/replicaTypes.js";
import type { Lease } from "./plugins/budgets/types.js";
import type { AgentRecord } from "./plugins/fleet.js";
import type { ControlState } from "./plugins/index.js";

/** Dependencies of the leader's tasks. */
export interface LeaderTasksOptions {
    readonly replica: Replica;
    readonly state: ControlState;
    readonly submit: (request: SubmitRequest) => Promise<ControlReply<unknown>>;
}

/** Periodic tasks of the leader. */
export interface LeaderTasks {
    start(): void;
    stop(): void;
    recordHeartbeat(incarnation: Incarnation): void;
}

const tickIntervalMs = 1_000;
/** Time without a heartbeat after which an agent is marked lost. */
export const agentLostMs = 10_000;
/** How long recovery waits for a lost agent before the tokens that it counted are treated as lost. */
const lostAgentTimeoutMs = 600_000;
const closeLeasesTimeoutMs = 1_000;
const planIntervalTicks = 2;
/** The schema of the command allows no more. The rest follows with the next tick. */
const maxLeasesPerCommand = 20_000;

/** Creates the tasks. They are idle while this VM is not the leader. */
export function createLeaderTasks(host: Host, options: LeaderTasksOptions): LeaderTasks {
    const { replica, state } = options;
    const log = host.createLogger("recovery");
    const stopping = createStopController();
    const agentClients = createRpcClients<AgentRouter>(host.network);
    const lastHeartbeatMs = new Map<Incarnation, number>();
    let leaderSinceMs = 0;
    let wasLeader = false;
    let ticks = 0;
    return {
        start: () =>
            void runPeriodically(
                host.timers,
                tickIntervalMs,
                stopping.signal,
                tick,
                error => log.warn("A leader task failed.", { detail: getErrorText(error) }),
            ),
        stop: () => stopping.abort(),
        recordHeartbeat: incarnation => void lastHeartbeatMs.set(incarnation, host.clock.nowMs()),
    };

    async function tick(): Promise<void> {
        const isLeader = replica.getStatus().role === "leader";
        if (isLeader && !wasLeader) leaderSinceMs = host.clock.nowMs();
        wasLeader = isLeader;
        if (!isLeader) return;
        await updateAgentStates();
        await recoverLeases();
        if (ticks++ % planIntervalTicks === 0 && state.hasArtifacts()) await send("orders.plan", {});
    }

    async function send<K extends CommandKind>(kind: K, input: CommandInputs[K]): Promise<ControlReply<unknown>> {
        return options.submit({ operationId: host.random.nextId(), kind, input });
    }

    // A new leader has received no heartbeats yet, so the timeout counts from the start of its leadership.
    async function updateAgentStates(): Promise<void> {
        const nowMs = host.clock.nowMs();
        const isSilent = (agent: AgentRecord) => nowMs - Math.max(leaderSinceMs, lastHeartbeatMs.get(agent.incarnation) ?? 0) > agentLostMs;
        const activeAgents = [...state.fleet.agents.values()].filter(agent => !agent.isSuperseded && agent.endedAtMs === undefined);
        const lost = activeAgents.filter(agent => agent.state === "present" && isSilent(agent));
        const returned = activeAgents.filter(agent => agent.state === "lost" && !isSilent(agent) && lastHeartbeatMs.has(agent.incarnation));
        if (lost.length > 0) await send("fleet.markLost", { incarnations: lost.map(agent => agent.incarnation) });
        if (returned.length > 0) await send("fleet.markPresent", { incarnations: returned.map(agent => agent.incarnation) });
        for (const incarnation of lastHeartbeatMs.keys()) {
            if (!state.fleet.agents.has(incarnation)) lastHeartbeatMs.delete(incarnation);
        }
    }

    async function recoverLeases(): Promise<void> {
        const barrier = await replica.readBarrier();
        if (barrier.kind !== "confirmed") return;
        const nowMs = barrier.controlTimeMs;
        const dueLeases = [...state.ledger.listLeases()].filter(lease => needsRecovery(lease, nowMs));
        if (dueLeases.length === 0) return;
        const isAtCeiling = (lease: Lease) => lease.ceilingTokens !== undefined;
        await closeAtCeiling(dueLeases.filter(isAtCeiling));
        await recoverByInquiry(dueLeases.filter(lease => !isAtCeiling(lease)), nowMs);
    }

    // No agent has to be asked, because the ceiling bounds what the entry delivered. All leases go into one command, since after the loss
    // of all entries there are as many as entries times budgets.
    async function closeAtCeiling(leases: readonly Lease[]): Promise<void> {
        if (leases.length === 0) return;
        const batch = leases.slice(0, maxLeasesPerCommand);
        const input = { leases: batch.map(lease => ({ leaseId: lease.leaseId, isSuperseded: isSuperseded(lease) })) };
        const reply = await send("leases.closeAtCeiling", input);
        const message = reply.kind === "done"
            ? "Leases of lost entries were closed at their usage ceilings."
            : "Leases of lost entries could not be closed at their usage ceilings. It is tried again.";
        log.info(message, {
            leases: batch.length,
            vms: [...new Set(batch.map(lease => lease.vm))].join(", "),
            outcome: reply.kind,
        });
    }

    async function recoverByInquiry(dueLeases: readonly Lease[], nowMs: number): Promise<void> {
        for (const lease of dueLeases) {
            if (lease.state === "open") await send("leases.beginRecovery", { leaseId: lease.leaseId, isSuperseded: isSuperseded(lease) });
        }
        const recovering = dueLeases.map(lease => state.ledger.getLease(lease.leaseId)).filter(lease =>
            lease?.state === "recovering"
        ) as Lease[];
        await recoverFromAgents(recovering, nowMs);
    }

    function needsRecovery(lease: Lease, nowMs: number): boolean {
        return lease.state === "recovering" || (lease.state === "open" && (lease.expiresAtMs < nowMs || isSuperseded(lease)));
    }

    function isSuperseded(lease: Lease): boolean {
        return state.fleet.entries.get(lease.incarnation)?.isSuperseded ?? false;
    }

    // Closes the leases at each agent that may have run requests under any of them, in one call for all leases,
    // then finishes the recovery of each lease whose agents have all reported.
    async function recoverFromAgents(leases: readonly Lease[], nowMs: number): Promise<void> {
        if (leases.length === 0) return;
        const firstUnsettledMs = Math.min(...leases.map(getUnsettledSinceMs));
        const candidates = [...state.fleet.agents.values()].filter(agent => (agent.endedAtMs ?? Infinity) >= firstUnsettledMs);
        const leaseIds = leases.map(lease => lease.leaseId);
        const reports = new Map<Incarnation, AgentReport>();
        await Promise.all(
            candidates.map(async agent => void reports.set(agent.incarnation, await closeLeasesAtAgent(agent, leaseIds, nowMs))),
        );
        for (const lease of leases) {
            const relevant = candidates.filter(agent => (agent.endedAtMs ?? Infinity) >= getUnsettledSinceMs(lease));
            await finishRecovery(lease, relevant.map(agent => reports.get(agent.incarnation)!), nowMs);
        }
    }

    async function closeLeasesAtAgent(agent: AgentRecord, leaseIds: readonly string[], nowMs: number): Promise<AgentReport> {
        const { incarnation } = agent;
        if (agent.state === "leaving") return { kind: "uses", incarnation, uses: agent.departedUses };
        if (agent.isSuperseded) return { kind: "lost" };
        try {
            const call = agentClients.get(agent.address).closeLeases.mutate({ incarnation, leaseIds: [...leaseIds] });
            const reply = await withTimeout(host.timers, call as Promise<CloseLeasesReply>, closeLeasesTimeoutMs, "closeLeases call");
            return reply.kind === "closed" ? { kind: "uses", incarnation, uses: reply.uses } : { kind: "lost" };
        }
        catch {
            const hasTimedOut = agent.lostAtMs !== undefined && agent.lostAtMs < nowMs - lostAgentTimeoutMs;
            return hasTimedOut ? { kind: "lost" } : { kind: "waiting" };
        }
    }

    async function finishRecovery(lease: Lease, reports: readonly AgentReport[], nowMs: number): Promise<void> {
        if (reports.some(report => report.kind === "waiting")) return;
        const uses = reports.flatMap(report => report.kind === "uses" ? getUsesOfLease(report, lease.leaseId) : []);
        if (uses.some(use => use.runningTokens > 0)) return;
        const isUseLost = reports.some(report => report.kind === "lost");
        // A superseded agent may only be partitioned, and still run requests until the lease expires.
        if (isUseLost && lease.expiresAtMs >= nowMs) return;
        await send("leases.finishRecovery", {
            leaseId: lease.leaseId,
            isUseLost,
            uses: uses.map(({ incarnation, finishedTokens, keyed }) => ({ incarnation, finishedTokens, keyed: [...keyed] })),
        });
        log.info("A lease recovery finished.", { budget: lease.budget, vm: lease.vm, isUseLost });
    }
}

// Requests that the entry has not settled were started no earlier than this time.
function getUnsettledSinceMs(lease: Lease): number {
    return Math.max(lease.createdAtMs, lease.settledBeforeMs);
}

function getUsesOfLease(
    report: Extract<AgentReport, { kind: "uses"; }>,
    leaseId: string,
): readonly (LeaseUsage & { readonly incarnation: Incarnation; })[] {
    return report.uses.filter(use => use.leaseId === leaseId).map(use => ({ ...use, incarnation: report.incarnation }));
}

type AgentReport =
    | { readonly kind: "uses"; readonly incarnation: Incarnation; readonly uses: readonly LeaseUsage[]; }
    /** The agent is temporarily unreachable. */
    | { readonly kind: "waiting"; }
    /** The agent's counters are permanently lost. */
    | { readonly kind: "lost"; };

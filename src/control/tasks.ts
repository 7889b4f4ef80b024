/** Tasks of the leading control VM: lost agents, recovery of leases by inquiry, and plans of orders. */
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

/** What the tasks work on. */
export interface LeaderTasksOptions {
    readonly replica: Replica;
    readonly state: ControlState;
    readonly submit: (request: SubmitRequest) => Promise<ControlReply<unknown>>;
}

/** The leader's tasks. */
export interface LeaderTasks {
    start(): void;
    stop(): void;
    noteAlive(incarnation: Incarnation): void;
}

const tickMs = 1_000;
/** Silence after which an agent counts as lost. */
export const agentLostMs = 10_000;
/** Time for which recovery waits for a lost agent before its use counts as lost. */
const lostUseMs = 600_000;
const inquiryTimeoutMs = 1_000;
const planEveryTicks = 2;

/** Creates the tasks. They do nothing while this VM does not lead. */
export function createLeaderTasks(host: Host, options: LeaderTasksOptions): LeaderTasks {
    const { replica, state } = options;
    const log = host.createLogger("recovery");
    const stopping = createStopController();
    const agents = createRpcClients<AgentRouter>(host.network);
    const lastAliveMs = new Map<Incarnation, number>();
    let ledSinceMs = 0;
    let wasLeading = false;
    let ticks = 0;
    return {
        start: () =>
            void runPeriodically(
                host.timers,
                tickMs,
                stopping.signal,
                tick,
                error => log.warn("A task failed.", { detail: getErrorText(error) }),
            ),
        stop: () => stopping.abort(),
        noteAlive: incarnation => void lastAliveMs.set(incarnation, host.clock.nowMs()),
    };

    async function tick(): Promise<void> {
        const isLeading = replica.getStatus().role === "leader";
        if (isLeading && !wasLeading) ledSinceMs = host.clock.nowMs();
        wasLeading = isLeading;
        if (!isLeading) return;
        await markAgents();
        await recoverLeases();
        if (ticks++ % planEveryTicks === 0 && state.hasArtifacts()) await send("orders.plan", {});
    }

    async function send<K extends CommandKind>(kind: K, input: CommandInputs[K]): Promise<ControlReply<unknown>> {
        return options.submit({ operationId: host.random.nextId(), kind, input });
    }

    // A new leader has heard nothing yet, so silence counts from the start of its leadership.
    async function markAgents(): Promise<void> {
        const nowMs = host.clock.nowMs();
        const isSilent = (agent: AgentRecord) => nowMs - Math.max(ledSinceMs, lastAliveMs.get(agent.incarnation) ?? 0) > agentLostMs;
        const known = [...state.fleet.agents.values()].filter(agent => !agent.isSuperseded && agent.endedAtMs === undefined);
        const lost = known.filter(agent => agent.state === "present" && isSilent(agent));
        const back = known.filter(agent => agent.state === "lost" && !isSilent(agent) && lastAliveMs.has(agent.incarnation));
        if (lost.length > 0) await send("fleet.markLost", { incarnations: lost.map(agent => agent.incarnation) });
        if (back.length > 0) await send("fleet.markPresent", { incarnations: back.map(agent => agent.incarnation) });
        for (const incarnation of lastAliveMs.keys()) {
            if (!state.fleet.agents.has(incarnation)) lastAliveMs.delete(incarnation);
        }
    }

    async function recoverLeases(): Promise<void> {
        const barrier = await replica.readBarrier();
        if (barrier.kind !== "confirmed") return;
        const nowMs = barrier.controlTimeMs;
        const due = [...state.ledger.listLeases()].filter(lease => isDue(lease, nowMs));
        if (due.length === 0) return;
        for (const lease of due) {
            if (lease.state === "open") await send("leases.beginRecovery", { leaseId: lease.leaseId, isSuperseded: isSuperseded(lease) });
        }
        const recovering = due.map(lease => state.ledger.getLease(lease.leaseId)).filter(lease => lease?.state === "recovering") as Lease[];
        await inquire(recovering, nowMs);
    }

    function isDue(lease: Lease, nowMs: number): boolean {
        return lease.state === "recovering" || (lease.state === "open" && (lease.expiresAtMs < nowMs || isSuperseded(lease)));
    }

    function isSuperseded(lease: Lease): boolean {
        return state.fleet.entries.get(lease.incarnation)?.isSuperseded ?? false;
    }

    // Every agent that lived while the lease did is asked once for all leases.
    async function inquire(leases: readonly Lease[], nowMs: number): Promise<void> {
        if (leases.length === 0) return;
        const firstUnsettledMs = Math.min(...leases.map(getUnsettledSinceMs));
        const concerned = [...state.fleet.agents.values()].filter(agent => (agent.endedAtMs ?? Infinity) >= firstUnsettledMs);
        const leaseIds = leases.map(lease => lease.leaseId);
        const answers = new Map<Incarnation, AgentAnswer>();
        await Promise.all(concerned.map(async agent => void answers.set(agent.incarnation, await ask(agent, leaseIds, nowMs))));
        for (const lease of leases) {
            const relevant = concerned.filter(agent => (agent.endedAtMs ?? Infinity) >= getUnsettledSinceMs(lease));
            await finish(lease, relevant.map(agent => answers.get(agent.incarnation)!), nowMs);
        }
    }

    async function ask(agent: AgentRecord, leaseIds: readonly string[], nowMs: number): Promise<AgentAnswer> {
        const { incarnation } = agent;
        if (agent.state === "leaving") return { kind: "uses", incarnation, uses: agent.departedUses };
        if (agent.isSuperseded) return { kind: "lost" };
        try {
            const call = agents.get(agent.address).closeLeases.mutate({ incarnation, leaseIds: [...leaseIds] });
            const reply = await withTimeout(host.timers, call as Promise<CloseLeasesReply>, inquiryTimeoutMs, "inquiry");
            return reply.kind === "closed" ? { kind: "uses", incarnation, uses: reply.uses } : { kind: "lost" };
        }
        catch {
            const isLongLost = agent.lostAtMs !== undefined && agent.lostAtMs < nowMs - lostUseMs;
            return isLongLost ? { kind: "lost" } : { kind: "waiting" };
        }
    }

    async function finish(lease: Lease, answers: readonly AgentAnswer[], nowMs: number): Promise<void> {
        if (answers.some(answer => answer.kind === "waiting")) return;
        const uses = answers.flatMap(answer => answer.kind === "uses" ? getUsesOf(answer, lease.leaseId) : []);
        if (uses.some(use => use.runningTokens > 0)) return;
        const isUseLost = answers.some(answer => answer.kind === "lost");
        // An agent that was superseded while the lease could still be used may only have been cut off.
        if (isUseLost && lease.expiresAtMs >= nowMs) return;
        await send("leases.finishRecovery", {
            leaseId: lease.leaseId,
            isUseLost,
            uses: uses.map(({ incarnation, finishedTokens, keyed }) => ({ incarnation, finishedTokens, keyed: [...keyed] })),
        });
        log.info("A lease was recovered.", { budget: lease.budget, vm: lease.vm, isUseLost });
    }
}

// What an agent may know that the entry had not settled began no earlier than this.
function getUnsettledSinceMs(lease: Lease): number {
    return Math.max(lease.createdAtMs, lease.settledBeforeMs);
}

function getUsesOf(
    answer: Extract<AgentAnswer, { kind: "uses"; }>,
    leaseId: string,
): readonly (LeaseUsage & { readonly incarnation: Incarnation; })[] {
    return answer.uses.filter(use => use.leaseId === leaseId).map(use => ({ ...use, incarnation: answer.incarnation }));
}

type AgentAnswer =
    | { readonly kind: "uses"; readonly incarnation: Incarnation; readonly uses: readonly LeaseUsage[]; }
    /** The agent cannot be reached now. */
    | { readonly kind: "waiting"; }
    /** The agent's counters are gone for good. */
    | { readonly kind: "lost"; };

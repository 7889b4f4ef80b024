/** Shared vocabulary of the budget ledger. All times are control time. */
import type { LeaseView } from "../../../kernel/messages.js";
import type { BudgetName, Incarnation, VmName } from "../../../kernel/types.js";

/** State of a lease. `inDoubt`: its use was lost with an agent, and an operator decides. */
export type LeaseState = LeaseView["state"];

/** Tokens of one budget that one entry may spend. All counts are totals since the lease began. */
export interface Lease {
    readonly leaseId: string;
    readonly budget: BudgetName;
    readonly vm: VmName;
    readonly incarnation: Incarnation;
    readonly state: LeaseState;
    readonly grantedTokens: number;
    /** Sum of `settledByAgent`. */
    readonly settledTokens: number;
    /** Settled tokens by the agent incarnation that ran the requests, so that a lost agent's part stays known. */
    readonly settledByAgent: Readonly<Record<Incarnation, number>>;
    /** Every attempt that started before this time is settled. */
    readonly settledBeforeMs: number;
    readonly releasedTokens: number;
    /** True when no agent counts what is started under it. What its entry did not settle is lost with that entry. */
    readonly isDirect: boolean;
    readonly createdAtMs: number;
    readonly renewedAtMs: number;
    readonly expiresAtMs: number;
    /** True while control waits for this lease's unreserved tokens. The next renewal clears it. */
    readonly isRecalled: boolean;
    /** When control began to wait. Undefined once the lease was renewed. */
    readonly recalledSinceMs?: number;
}

/** One budget. */
export interface BudgetAccount {
    readonly budget: BudgetName;
    readonly toppedUpTokens: number;
    /** Settled under leases that are closed. */
    readonly closedSettledTokens: number;
    /** Part of the settled tokens that was written off because its use was lost. */
    readonly writtenOffTokens: number;
    readonly leaseIds: ReadonlySet<string>;
    /** Until then only starving requests get tokens. */
    readonly starvingUntilMs: number;
    /** Promised tokens above the total when it was last lowered. Absent in snapshots of earlier versions. */
    readonly overhangTokens?: number;
}

/** Rules for the leases of one budget, by what its owner weighs more. */
export interface LeaseRules {
    /** How long an entry may spend from a lease without hearing from control. */
    readonly leaseMs: number;
    /** Share of the free tokens that the entries together may take beyond what starving requests need. */
    readonly maxGrantShare: number;
    /** True when unreserved tokens of other leases are asked back for a starving request. */
    readonly isRecallEnabled: boolean;
}

/** Lease rules by preference. Longer leases ride longer partitions; shorter ones are recovered sooner. */
export const leaseRules: Readonly<Record<"overspend" | "falseRefusals", LeaseRules>> = {
    overspend: { leaseMs: 120_000, maxGrantShare: 0.5, isRecallEnabled: true },
    falseRefusals: { leaseMs: 300_000, maxGrantShare: 0.5, isRecallEnabled: true },
};

/** Tokens that a lease keeps from the rest of the budget, beyond what it has settled. */
export function getHeldTokens(lease: Lease): number {
    return lease.grantedTokens - lease.settledTokens - lease.releasedTokens;
}

/** Merges totals by agent. Each total only grows, so the larger one is the later one. */
export function mergeSettled(
    known: Readonly<Record<Incarnation, number>>,
    added: Readonly<Record<Incarnation, number>>,
): Readonly<Record<Incarnation, number>> {
    const merged: Record<Incarnation, number> = { ...known };
    for (const [incarnation, settledTokens] of Object.entries(added)) {
        merged[incarnation] = Math.max(merged[incarnation] ?? 0, settledTokens);
    }
    return merged;
}

/** Sum of totals by agent. */
export function sumSettled(settled: Readonly<Record<Incarnation, number>>): number {
    return Object.values(settled).reduce((sum, settledTokens) => sum + settledTokens, 0);
}

/** Types of the budget ledger. All times are control time. */
import type { LeaseView } from "../../../kernel/messages.js";
import type { BudgetName, Incarnation, VmName } from "../../../kernel/types.js";

/** State of a lease. `inDoubt` means that the tokens spent are unknown because an agent was lost; an operator must decide. */
export type LeaseState = LeaseView["state"];

/** Tokens of one budget that one entry may spend. All counts are totals since the lease was opened. */
export interface Lease {
    readonly leaseId: string;
    readonly budget: BudgetName;
    readonly vm: VmName;
    readonly incarnation: Incarnation;
    readonly state: LeaseState;
    readonly grantedTokens: number;
    /** Sum of `settledByAgent`. */
    readonly settledTokens: number;
    /** Settled tokens by the agent incarnation that ran the requests, so that the share of a lost agent stays known. */
    readonly settledByAgent: Readonly<Record<Incarnation, number>>;
    /** Every attempt that started before this time is settled. */
    readonly settledBeforeMs: number;
    readonly releasedTokens: number;
    /** True if no agent counts the requests under this lease. Unsettled use is then lost together with the entry. */
    readonly isDirect: boolean;
    /**
     * Usage ceiling: the most that the entry may have delivered under the lease. It never decreases and is set from the first renewal on or
     * never. Undefined for leases without one, and in snapshots of earlier versions.
     */
    readonly ceilingTokens?: number;
    readonly createdAtMs: number;
    readonly renewedAtMs: number;
    readonly expiresAtMs: number;
    /** True from a recall of the unreserved tokens until the next renewal. */
    readonly isRecalled: boolean;
    /** When the recall started. Undefined after the next renewal. */
    readonly recalledSinceMs?: number;
    /** When the entry last renewed a recalled lease. Absent if it never was, and in snapshots of earlier versions. */
    readonly recallAnsweredAtMs?: number;
}

/** State of one budget. */
export interface BudgetAccount {
    readonly budget: BudgetName;
    readonly toppedUpTokens: number;
    /** Tokens settled under closed leases. */
    readonly closedSettledTokens: number;
    /** Part of the settled tokens that was written off because their actual use is unknown. */
    readonly writtenOffTokens: number;
    readonly leaseIds: ReadonlySet<string>;
    /** Until this time only starving requests are granted tokens. */
    readonly starvingUntilMs: number;
    /** Tokens committed beyond the total when it was last set. Absent in snapshots of earlier versions. */
    readonly overhangTokens?: number;
}

/** Rules for the leases of one budget. */
export interface LeaseRules {
    /** How long an entry may spend from a lease without renewing it. */
    readonly leaseMs: number;
    /** Share of the free tokens that all entries together may be granted beyond the need of starving requests. */
    readonly maxGrantShare: number;
    /** True if a starving request causes a recall of unreserved tokens from other leases. */
    readonly isRecallEnabled: boolean;
}

/** Lease rules by the error that the policy weighs more. Longer leases tolerate longer partitions; shorter ones are recovered sooner. */
export const leaseRules: Readonly<Record<"overspend" | "falseRefusals", LeaseRules>> = {
    overspend: { leaseMs: 120_000, maxGrantShare: 0.5, isRecallEnabled: true },
    falseRefusals: { leaseMs: 300_000, maxGrantShare: 0.5, isRecallEnabled: true },
};

/** Returns the granted tokens of a lease that are neither settled nor released. */
export function getHeldTokens(lease: Lease): number {
    return lease.grantedTokens - lease.settledTokens - lease.releasedTokens;
}

/** Returns the most that the entry may have spent under a lease with a usage ceiling, and undefined for other leases. */
export function getSpendableTokens(lease: Lease): number | undefined {
    if (lease.ceilingTokens === undefined) return undefined;
    return Math.max(lease.settledTokens, Math.min(lease.ceilingTokens, lease.grantedTokens - lease.releasedTokens));
}

/** Merges settled totals by agent. Totals never decrease, so the larger one is the later one. */
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

/** Returns the sum of the settled totals of all agents. */
export function sumSettled(settled: Readonly<Record<Incarnation, number>>): number {
    return Object.values(settled).reduce((sum, settledTokens) => sum + settledTokens, 0);
}

/** State of one lease at an entry. */
import type { LeaseGrant } from "../../kernel/messages.js";
import type { Notifier } from "../../kernel/tasks.js";
import type { Incarnation } from "../../kernel/types.js";
import type { DemandMeter } from "./demand.js";
import type { BudgetPreference } from "./leaseTypes.js";
import type { UsageCeiling } from "./usageCeiling.js";

/** A lease that an entry holds. Token counts are totals since it was opened. */
export interface HeldLease {
    readonly budget: string;
    readonly leaseId: string;
    readonly demand: DemandMeter;
    readonly changed: Notifier;
    preference: BudgetPreference;
    grantedTokens: number;
    settledTokens: number;
    readonly settledByAgent: Record<Incarnation, number>;
    releasedTokens: number;
    reservedTokens: number;
    readonly ceiling: UsageCeiling;
    expiresAtMs: number;
    /** Start of each unsettled attempt, as a lower bound in control time. */
    readonly unsettledSinceMs: Map<number, number>;
    /** Tokens that waiting requests need, by waiter id. */
    readonly waiting: Map<number, number>;
    /** Free tokens of the budget, as control last reported them. */
    freeTokens: number;
    /** Outcome of the last renewal. */
    lastOutcome: LeaseGrant["outcome"] | "unreachable";
    isBudgetUnknown: boolean;
    lastUsedAtMs: number;
    /** Local time of the last successful renewal, and of the first change since the last renewal was sent. */
    renewedAtMs: number;
    changedAtMs: number | undefined;
    /** Local time at which the lease is renewed even without changes. */
    renewAtMs: number;
    /** False when the last renewal asked for tokens and was granted none. */
    hasGrown: boolean;
    /** Set when control last answered that the budget cannot cover a request of this size. */
    exhausted: { readonly tokens: number; readonly reportedAtMs: number; } | undefined;
}

/** What a new lease starts with. */
export type HeldLeaseOptions = Pick<HeldLease, "budget" | "leaseId" | "demand" | "changed" | "preference" | "ceiling" | "lastUsedAtMs">;

/** Creates a lease to which control has granted nothing yet. */
export function createHeldLease(options: HeldLeaseOptions): HeldLease {
    return {
        ...options,
        grantedTokens: 0,
        settledTokens: 0,
        settledByAgent: {},
        releasedTokens: 0,
        reservedTokens: 0,
        expiresAtMs: 0,
        unsettledSinceMs: new Map(),
        waiting: new Map(),
        freeTokens: Infinity,
        lastOutcome: "unreachable",
        isBudgetUnknown: false,
        renewedAtMs: -Infinity,
        changedAtMs: undefined,
        renewAtMs: Infinity,
        hasGrown: true,
        exhausted: undefined,
    };
}

/** Returns the tokens that a new reservation may take. */
export function getAvailable(lease: HeldLease): number {
    return lease.grantedTokens - lease.settledTokens - lease.releasedTokens - lease.reservedTokens;
}

/** True while a request waits for tokens of the lease, or a delivery for a higher usage ceiling. */
export function hasWaiters(lease: HeldLease): boolean {
    return lease.waiting.size > 0 || lease.ceiling.hasWaiters();
}

/** True if the lease covers a new reservation and its usage ceiling covers the prompt. */
export function canReserve(lease: HeldLease, tokens: number, promptTokens: number): boolean {
    return getAvailable(lease) >= tokens && lease.ceiling.canUse(promptTokens);
}

/** True if control should be asked for a higher usage ceiling. */
export function isCeilingLow(lease: HeldLease): boolean {
    return lease.ceiling.isLow(lease.grantedTokens - lease.releasedTokens);
}

/** Types of the lease manager, the preferences of budget owners, and the timing of an entry's lease calls. */
import type { ControlClient } from "../../kernel/controlClient.js";
import type { Incarnation } from "../../kernel/types.js";
import { defaultDemandRules } from "./demand.js";
import type { DemandRules } from "./demand.js";
import type { CeilingRules } from "./usageCeiling.js";

/** How an entry applies the budget owner's preference. */
export interface BudgetPreference {
    /** Time for which the entry holds tokens in advance, so that it can serve through a network partition. */
    readonly horizonMs: number;
    /** Maximum time that a request waits for tokens that are held elsewhere. */
    readonly maxWaitMs: number;
}

/** Default preferences, by the error that the owner wants to avoid more. */
export const budgetPreferences: Readonly<Record<"overspend" | "falseRefusals", BudgetPreference>> = {
    overspend: { horizonMs: 120_000, maxWaitMs: 2_000 },
    falseRefusals: { horizonMs: 300_000, maxWaitMs: 5_000 },
};

/** Tokens reserved for one attempt. `settle` must be called exactly once. */
export interface Reservation {
    readonly leaseId: string;
    readonly expiresAtMs: number;
    readonly reservedTokens: number;
    /**
     * Counts tokens as delivered, up to the reserved ones. Returns false if they do not fit under the usage ceiling of the lease: then
     * nothing is counted, and the tokens may not be delivered yet.
     */
    tryUse(tokens: number): boolean;
    /** As `tryUse`, but waits for a higher ceiling. Throws a verdict at the deadline, on abort, and when control has closed the lease. */
    use(tokens: number, wait: UseWait): Promise<void>;
    /** Ends the reservation with the tokens billed for the agent's run. */
    settle(agent: Incarnation, billedTokens: number): void;
}

/** How long a delivery waits for a higher usage ceiling. */
export interface UseWait {
    readonly deadlineMs: number;
    readonly signal?: AbortSignal;
}

/** Request for a reservation. */
export interface ReservationRequest {
    readonly budget: string;
    readonly weighsMore: "overspend" | "falseRefusals";
    readonly tokens: number;
    /** Tokens that count as used from the dispatch on. Zero by default. */
    readonly promptTokens?: number;
    readonly deadlineMs: number;
    /** Aborted when the caller no longer waits for the request. */
    readonly signal?: AbortSignal;
}

/** Lease manager of one entry. */
export interface LeaseManager {
    /** Reserves tokens, waiting for them if needed. Throws a `notRun` verdict when the budget cannot cover them. */
    reserve(request: ReservationRequest): Promise<Reservation>;
    /** Reserves tokens only if this entry holds them now. */
    tryReserve(request: ReservationRequest): Reservation | undefined;
    /** Returns the unreserved tokens of these budgets to control at once. */
    returnUnreserved(budgets: readonly string[]): void;
    /** Renews and settles at control without waiting for further settlements. */
    forceRenewal(): void;
    /** Sets the number of entries that share the budgets, including this one. */
    setEntryCount(count: number): void;
    start(signal: AbortSignal): void;
    /** Settles and closes every lease. Resolves to false when this is not complete within `timeoutMs`. */
    close(timeoutMs: number): Promise<boolean>;
    getReservedTokens(): number;
    /** Returns how many times events waited for a higher usage ceiling. */
    getUseWaits(): number;
    /** Returns the tokens of a budget that this entry can reserve now. */
    getAvailableTokens(budget: string): number;
}

/** Options of a lease manager. */
export interface LeaseManagerOptions {
    readonly vm: string;
    readonly incarnation: Incarnation;
    readonly control: ControlClient;
    readonly preferences?: Readonly<Record<"overspend" | "falseRefusals", BudgetPreference>>;
    readonly pacing?: LeasePacing;
    /** True when this entry dispatches to backend servers without agents. */
    readonly isDirect?: boolean;
}

/** Timing of an entry's lease calls to control. */
export interface LeasePacing {
    readonly tickMs: number;
    /** Pause between renewals of a lease that runs low, after a renewal that granted tokens and after one that did not. */
    readonly refillPauseMs: { readonly granted: number; readonly refused: number; };
    /** Delay of a settlement after a time without renewals, and the maximum delay under steady load. */
    readonly settleDelayMs: { readonly quiet: number; readonly steady: number; };
    readonly renewTimeoutMs: number;
    readonly demand: DemandRules;
    /**
     * Maximum share of a budget's free tokens that one entry holds in advance. It limits the tokens that are stranded when an entry
     * crashes while the budget runs low.
     */
    readonly maxHeldShare: number;
    /**
     * Maximum share that all entries together hold in advance. In a large fleet the shares of single entries would add up to the whole
     * budget, and each request would need tokens back from others.
     */
    readonly fleetHeldShare: number;
    /** Rules for usage ceilings. Leases have none if these are absent, or if the entry dispatches through agents. */
    readonly ceiling?: CeilingRules;
}

/** Timing for a large fleet, in which each entry must call control infrequently. */
export const defaultLeasePacing: LeasePacing = {
    tickMs: 250,
    refillPauseMs: { granted: 1_000, refused: 10_000 },
    settleDelayMs: { quiet: 1_000, steady: 10_000 },
    renewTimeoutMs: 1_500,
    demand: defaultDemandRules,
    maxHeldShare: 1,
    fleetHeldShare: Infinity,
};

/** Other ways to keep a budget, to measure the design against. Each stands in for an entry's lease book. */
import type { LeaseManager, Reservation, ReservationRequest } from "../src/entry/budgets/leaseManager.js";
import type { Host } from "../src/kernel/host.js";
import { sleep } from "../src/kernel/tasks.js";
import { refuse } from "../src/kernel/verdict.js";

/** Names of the designs that are compared. */
export type BudgetDesign = "design" | "noRecall" | "staticSplit" | "central" | "optimistic";

/** State that the baselines' entries share where a real system would have a server. */
export interface SharedBudgets {
    readonly toppedUp: Map<string, number>;
    readonly spent: Map<string, number>;
    calls: number;
}

/** What a baseline reaches. */
export interface BaselineOptions {
    readonly shared: SharedBudgets;
    readonly entryCount: number;
    /** True while this entry cannot reach control. */
    readonly isCut: () => boolean;
}

const neverMs = 1e15;
const syncMs = 2_000;
const callMs = 3;

function createBook(
    reserve: (request: ReservationRequest) => Promise<Reservation>,
    start: LeaseManager["start"],
    available: (budget: string) => number,
): LeaseManager {
    return {
        reserve,
        tryReserve: () => undefined,
        start,
        returnUnreserved: () => undefined,
        forceRenewal: () => undefined,
        close: () => Promise.resolve(true),
        getReservedTokens: () => 0,
        getAvailableTokens: available,
    };
}

function createReservation(tokens: number, settle: (billedTokens: number) => void): Reservation {
    return { leaseId: "baseline", expiresAtMs: neverMs, reservedTokens: tokens, settle: (_agent, billedTokens) => settle(billedTokens) };
}

/** Each entry owns an equal part of every top-up, for good. */
export function createStaticSplit(options: BaselineOptions): LeaseManager {
    const held = new Map<string, number>();
    const getFree = (budget: string) =>
        Math.floor((options.shared.toppedUp.get(budget) ?? 0) / options.entryCount) - (held.get(budget) ?? 0);
    return createBook(
        async ({ budget, tokens }) => {
            if (getFree(budget) < tokens) refuse("budgetExhausted");
            held.set(budget, (held.get(budget) ?? 0) + tokens);
            return createReservation(tokens, billedTokens => void held.set(budget, held.get(budget)! - tokens + billedTokens));
        },
        () => undefined,
        getFree,
    );
}

/** Every reservation and every settlement is a call to control. */
export function createCentral(host: Host, options: BaselineOptions): LeaseManager {
    const { shared } = options;
    const getFree = (budget: string) => options.isCut() ? 0 : (shared.toppedUp.get(budget) ?? 0) - (shared.spent.get(budget) ?? 0);
    const change = (budget: string, tokens: number) => void shared.spent.set(budget, (shared.spent.get(budget) ?? 0) + tokens);
    return createBook(
        async ({ budget, tokens }) => {
            shared.calls++;
            await sleep(host.timers, callMs);
            if (options.isCut()) refuse("budgetUnavailable");
            if (getFree(budget) < tokens) refuse("budgetExhausted");
            change(budget, tokens);
            return createReservation(tokens, billedTokens => {
                shared.calls++;
                change(budget, billedTokens - tokens);
            });
        },
        () => undefined,
        getFree,
    );
}

/** Each entry counts alone and tells the others now and then. */
export function createOptimistic(host: Host, options: BaselineOptions): LeaseManager {
    const { shared } = options;
    const known = new Map<string, number>();
    const unsent = new Map<string, number>();
    const getFree = (budget: string) => (shared.toppedUp.get(budget) ?? 0) - (known.get(budget) ?? 0) - (unsent.get(budget) ?? 0);
    const sync = async (signal: AbortSignal) => {
        while (!signal.aborted) {
            await sleep(host.timers, syncMs, signal);
            if (options.isCut()) continue;
            shared.calls++;
            for (const [budget, tokens] of unsent) shared.spent.set(budget, (shared.spent.get(budget) ?? 0) + tokens);
            unsent.clear();
            for (const [budget, tokens] of shared.spent) known.set(budget, tokens);
        }
    };
    return createBook(
        async ({ budget, tokens }) => {
            if (getFree(budget) < tokens) refuse("budgetExhausted");
            return createReservation(tokens, billedTokens => void unsent.set(budget, (unsent.get(budget) ?? 0) + billedTokens));
        },
        signal => void sync(signal),
        getFree,
    );
}

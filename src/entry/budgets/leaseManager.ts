/**
 * The entry's leases: reservations before dispatch, settlement after, and renewals at control.
 * An entry spends only from a lease that control has granted and that has not expired.
 */
import type { ControlClient } from "../../kernel/controlClient.js";
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Host } from "../../kernel/host.js";
import type { LeaseGrant, LeaseRenewal } from "../../kernel/messages.js";
import { createNotifier, getErrorText, sleep } from "../../kernel/tasks.js";
import type { Notifier } from "../../kernel/tasks.js";
import type { Incarnation } from "../../kernel/types.js";
import { refuse } from "../../kernel/verdict.js";
import { createDemandMeter, defaultDemandRules } from "./demand.js";
import type { DemandMeter, DemandRules } from "./demand.js";

/** What an owner's preference means at the entry. */
export interface BudgetPreference {
    /** Demand that an entry likes to hold ahead, so that it can ride out a partition. */
    readonly horizonMs: number;
    /** How long a request may wait for tokens that are held elsewhere. */
    readonly maxWaitMs: number;
}

/** Preferences by what the owner weighs more. */
export const budgetPreferences: Readonly<Record<"overspend" | "falseRefusals", BudgetPreference>> = {
    overspend: { horizonMs: 120_000, maxWaitMs: 2_000 },
    falseRefusals: { horizonMs: 300_000, maxWaitMs: 5_000 },
};

/** Tokens set aside for one attempt. It ends by exactly one `settle`. */
export interface Reservation {
    readonly leaseId: string;
    readonly expiresAtMs: number;
    readonly reservedTokens: number;
    /** Ends the reservation at what the agent's run is billed. */
    settle(agent: Incarnation, billedTokens: number): void;
}

/** What a reservation is wanted for. */
export interface ReservationRequest {
    readonly budget: string;
    readonly weighsMore: "overspend" | "falseRefusals";
    readonly tokens: number;
    readonly deadlineMs: number;
    /** Aborted when nobody waits for the request any more. */
    readonly signal?: AbortSignal;
}

/** The entry's leases. */
export interface LeaseManager {
    /** Sets tokens aside. Refuses as not run when the budget cannot cover them. */
    reserve(request: ReservationRequest): Promise<Reservation>;
    /** Sets tokens aside only if this entry holds them now. */
    tryReserve(request: ReservationRequest): Reservation | undefined;
    /** Gives unreserved tokens of these budgets back at once. */
    returnUnreserved(budgets: readonly string[]): void;
    /** Settles at control without waiting for more. */
    forceRenewal(): void;
    start(signal: AbortSignal): void;
    /** Settles and closes every lease. Resolves false when control could not be reached. */
    close(timeoutMs: number): Promise<boolean>;
    getReservedTokens(): number;
    /** Tokens of a budget that this entry could reserve now. */
    getAvailableTokens(budget: string): number;
}

/** Options of a lease book. */
export interface LeaseManagerOptions {
    readonly vm: string;
    readonly incarnation: Incarnation;
    readonly control: ControlClient;
    readonly preferences?: Readonly<Record<"overspend" | "falseRefusals", BudgetPreference>>;
    readonly pacing?: LeasePacing;
    /** True when this entry dispatches without agents. */
    readonly isDirect?: boolean;
}

/** How often an entry talks to control about its leases. */
export interface LeasePacing {
    readonly tickMs: number;
    /** Pause between two renewals by which a lease that is nearly empty asks for more, by whether the last one gave any. */
    readonly refillPauseMs: { readonly given: number; readonly refused: number; };
    /** Delay of a settlement after a quiet time, and at most in a steady stream. */
    readonly settleDelayMs: { readonly quiet: number; readonly steady: number; };
    readonly renewTimeoutMs: number;
    readonly demand: DemandRules;
    /** Share of a budget's free tokens that one entry may hold ahead. It bounds what a death strands as a budget runs low. */
    readonly maxHeldShare: number;
}

/** Pacing for a large fleet, whose control must not be called often. */
export const defaultLeasePacing: LeasePacing = {
    tickMs: 250,
    refillPauseMs: { given: 1_000, refused: 10_000 },
    settleDelayMs: { quiet: 1_000, steady: 10_000 },
    renewTimeoutMs: 1_500,
    demand: defaultDemandRules,
    maxHeldShare: 1,
};

interface HeldLease {
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
    expiresAtMs: number;
    /** Start of each attempt that is not settled, in control time that is certainly past. */
    readonly unsettledSinceMs: Map<number, number>;
    /** Tokens that waiting requests need, by waiter. */
    readonly waiting: Map<number, number>;
    /** Free tokens of the budget by control's last word. */
    freeTokens: number;
    /** Control's last word on a starving request. */
    lastOutcome: LeaseGrant["outcome"] | "unreachable";
    isUnknown: boolean;
    lastUsedMs: number;
    /** Local time of the last answered renewal, and of the first change since. */
    renewedAtMs: number;
    changedAtMs: number | undefined;
    /** Local time at which the lease is renewed even when nothing changed. */
    renewAtMs: number;
    /** False when the last renewal asked for tokens and got none. */
    hasGrown: boolean;
    /** Control's last word that a request of this size cannot be covered. */
    exhausted: { readonly tokens: number; readonly saidAtMs: number; } | undefined;
}

/** Pauses between renewals while a request waits for tokens. Each is longer than the one before. */
const starvingRetryMs = { first: 40, max: 500, factor: 1.6 } as const;
const closeRetryMs = 50;
/** How long control's word that a budget is exhausted stands for requests of the same size or larger. */
const exhaustedStandsMs = 500;
const quietAfterMs = 20_000;
/** A lease is renewed after this share of its length. */
const renewShare = 0.25;
const retryAfterMs = 2_000;
/** A top-up is the only cure, and operators need a while. */
const exhaustedRetryMs = 30_000;
const idleCloseMs = 60_000;
/** Unreserved tokens beyond this multiple of the target go back. */
const keepFactor = 2;

/** Creates a book without leases. */
export function createLeaseManager(host: Host, options: LeaseManagerOptions): LeaseManager {
    const { control } = options;
    // A settlement waits for others: a short while after a quiet time, and twice as long after each renewal in a steady stream.
    const pacing = options.pacing ?? defaultLeasePacing;
    const { tickMs, refillPauseMs, settleDelayMs, renewTimeoutMs } = pacing;
    const log = host.createLogger("budgets");
    const preferences = options.preferences ?? budgetPreferences;
    const leases = new Map<string, HeldLease>();
    // Leases that were replaced stay until what they reserved is settled.
    const retired = new Set<HeldLease>();
    const renewNow = createNotifier(host.timers);
    let sequence = 0;
    let waiterCount = 0;
    let lastControlTimeMs = 0;
    let isRenewalForced = false;
    let lastRenewalMs = -Infinity;
    let settlePauseMs: number = settleDelayMs.quiet;

    return {
        reserve,
        tryReserve(request) {
            const lease = getLease(request);
            lease.demand.noteRequest(request.tokens, host.clock.nowMs());
            const isFree = lease.waiting.size === 0 && isUsable(lease) && getAvailable(lease) >= request.tokens;
            return isFree ? take(lease, request.tokens) : undefined;
        },
        returnUnreserved(budgets) {
            for (const budget of budgets) {
                const lease = leases.get(budget);
                if (lease !== undefined && lease.waiting.size === 0) release(lease, getAvailable(lease));
            }
            forceRenewal();
        },
        forceRenewal,
        start(signal) {
            void renewTask(signal);
        },
        close,
        getReservedTokens: () => listAll().reduce((sum, lease) => sum + lease.reservedTokens, 0),
        getAvailableTokens(budget) {
            const lease = leases.get(budget);
            return lease !== undefined && isUsable(lease) ? getAvailable(lease) : 0;
        },
    };

    function listAll(): readonly HeldLease[] {
        return [...leases.values(), ...retired];
    }

    function getAvailable(lease: HeldLease): number {
        return lease.grantedTokens - lease.settledTokens - lease.releasedTokens - lease.reservedTokens;
    }

    function getTarget(lease: HeldLease, nowMs: number): number {
        const wantedTokens = lease.demand.getTargetTokens(lease.preference.horizonMs, nowMs);
        return Math.floor(Math.min(wantedTokens, lease.freeTokens * pacing.maxHeldShare));
    }

    function isUsable(lease: HeldLease): boolean {
        return control.time.isCertainlyBefore(lease.expiresAtMs);
    }

    function getLease(request: ReservationRequest): HeldLease {
        const known = leases.get(request.budget);
        if (known !== undefined) return known;
        sequence++;
        const created: HeldLease = {
            budget: request.budget,
            leaseId: `${options.incarnation}/${sequence}`,
            demand: createDemandMeter(pacing.demand),
            changed: createNotifier(host.timers),
            preference: preferences[request.weighsMore],
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
            isUnknown: false,
            lastUsedMs: host.clock.nowMs(),
            renewedAtMs: -Infinity,
            changedAtMs: undefined,
            renewAtMs: Infinity,
            hasGrown: true,
            exhausted: undefined,
        };
        leases.set(request.budget, created);
        return created;
    }

    async function reserve(request: ReservationRequest): Promise<Reservation> {
        const wake = () => leases.get(request.budget)?.changed.notify();
        request.signal?.addEventListener("abort", wake);
        try {
            return await waitForTokens(request);
        }
        finally {
            request.signal?.removeEventListener("abort", wake);
        }
    }

    async function waitForTokens(request: ReservationRequest): Promise<Reservation> {
        const first = getLease(request);
        first.preference = preferences[request.weighsMore];
        first.demand.noteRequest(request.tokens, host.clock.nowMs());
        const waiter = ++waiterCount;
        const giveUpAtMs = Math.min(request.deadlineMs, host.clock.nowMs() + first.preference.maxWaitMs);
        let isFirstTry = true;
        for (;;) {
            // A lease that control closed is replaced, so each turn looks it up anew.
            const lease = getLease(request);
            if (isUsable(lease) && getAvailable(lease) >= request.tokens && (isFirstTry ? lease.waiting.size === 0 : true)) {
                lease.waiting.delete(waiter);
                return take(lease, request.tokens);
            }
            const isLast = host.clock.nowMs() >= giveUpAtMs || request.signal?.aborted === true;
            if (isLast || isHopeless(lease, isFirstTry, request.tokens)) {
                lease.waiting.delete(waiter);
                refuseReservation(lease);
            }
            if (isFirstTry) renewNow.notify();
            isFirstTry = false;
            lease.waiting.set(waiter, request.tokens);
            await lease.changed.wait(Math.max(1, giveUpAtMs - host.clock.nowMs()));
            if (lease !== leases.get(request.budget)) lease.waiting.delete(waiter);
        }
    }

    // A refusal as exhausted needs control's word, given after this request began to wait.
    function isHopeless(lease: HeldLease, isFirstTry: boolean, tokens: number): boolean {
        const { exhausted } = lease;
        if (exhausted !== undefined && tokens >= exhausted.tokens && host.clock.nowMs() - exhausted.saidAtMs < exhaustedStandsMs) {
            return true;
        }
        return !isFirstTry && lease.isUnknown;
    }

    function refuseReservation(lease: HeldLease): never {
        if (lease.isUnknown) refuse("budgetExhausted", "The budget is not in the configuration in force.");
        if (lease.lastOutcome === "exhausted") refuse("budgetExhausted", undefined, exhaustedRetryMs);
        if (lease.lastOutcome === "unreachable") refuse("budgetUnavailable", undefined, retryAfterMs);
        // Only the callers of direct dispatch tell a refusal for now from one for good by its status.
        if (options.isDirect) refuse("budgetHeld", undefined, retryAfterMs);
        refuse("budgetExhausted", "The rest of the prepaid budget is held by running requests.", retryAfterMs);
    }

    function take(lease: HeldLease, tokens: number): Reservation {
        const id = ++waiterCount;
        let isSettled = false;
        lease.reservedTokens += tokens;
        lease.lastUsedMs = host.clock.nowMs();
        lease.unsettledSinceMs.set(id, lastControlTimeMs);
        return {
            leaseId: lease.leaseId,
            expiresAtMs: lease.expiresAtMs,
            reservedTokens: tokens,
            settle(agent, billedTokens) {
                assert(!isSettled, "a reservation is settled once");
                assert(billedTokens <= tokens, `a settlement of ${billedTokens} exceeds its reservation of ${tokens}`);
                isSettled = true;
                lease.reservedTokens -= tokens;
                lease.settledTokens += billedTokens;
                if (billedTokens > 0) lease.settledByAgent[agent] = (lease.settledByAgent[agent] ?? 0) + billedTokens;
                lease.unsettledSinceMs.delete(id);
                if (billedTokens > 0) noteChange(lease);
                lease.demand.noteUse(billedTokens, host.clock.nowMs());
                lease.changed.notify();
                if (lease.waiting.size > 0) renewNow.notify();
            },
        };
    }

    function release(lease: HeldLease, tokens: number): void {
        if (tokens <= 0) return;
        lease.releasedTokens += tokens;
        noteChange(lease);
    }

    function noteChange(lease: HeldLease): void {
        lease.changedAtMs ??= host.clock.nowMs();
    }

    function forceRenewal(): void {
        isRenewalForced = true;
        renewNow.notify();
    }

    async function renewTask(signal: AbortSignal): Promise<void> {
        let starvingPauseMs: number = starvingRetryMs.first;
        while (!signal.aborted) {
            const nowMs = host.clock.nowMs();
            const isStarving = listAll().some(lease => lease.waiting.size > 0);
            if (isStarving || isRenewalForced || listAll().some(lease => isDue(lease, nowMs))) {
                isRenewalForced = false;
                await renewDue().catch(error => log.warn("A renewal failed.", { detail: getErrorText(error) }));
            }
            starvingPauseMs = isStarving ? Math.min(starvingRetryMs.max, starvingPauseMs * starvingRetryMs.factor) : starvingRetryMs.first;
            if (isStarving) await renewNow.wait(starvingPauseMs);
            else if (!isRenewalForced) await renewNow.wait(tickMs);
        }
    }

    function isDue(lease: HeldLease, nowMs: number): boolean {
        if (nowMs >= lease.renewAtMs || shouldClose(lease, nowMs)) return true;
        const settleAtMs = Math.max(lastRenewalMs + settlePauseMs, (lease.changedAtMs ?? Infinity) + settleDelayMs.quiet);
        if (lease.changedAtMs !== undefined && nowMs >= settleAtMs) return true;
        return isLow(lease, nowMs) && nowMs >= lease.renewedAtMs + (lease.hasGrown ? refillPauseMs.given : refillPauseMs.refused);
    }

    // What falls due before long goes along with what is due now.
    function isAging(lease: HeldLease, nowMs: number): boolean {
        return nowMs - lease.renewedAtMs > (lease.renewAtMs - lease.renewedAtMs) / 2;
    }

    function isLow(lease: HeldLease, nowMs: number): boolean {
        const urgentTokens = Math.min(lease.demand.getUrgentTokens(nowMs), getTarget(lease, nowMs));
        return !retired.has(lease) && getAvailable(lease) < urgentTokens;
    }

    function shouldClose(lease: HeldLease, nowMs: number): boolean {
        const isIdle = nowMs - lease.lastUsedMs > idleCloseMs && lease.waiting.size === 0;
        return lease.reservedTokens === 0 && (isIdle || retired.has(lease));
    }

    // One call carries every lease that has something to say.
    async function renewDue(): Promise<void> {
        const nowMs = host.clock.nowMs();
        for (const lease of leases.values()) giveBackExcess(lease, nowMs);
        const due = listAll().filter(lease =>
            lease.waiting.size > 0 || lease.changedAtMs !== undefined || isDue(lease, nowMs) || isAging(lease, nowMs)
        );
        if (due.length === 0) return;
        const isQuiet = nowMs - lastRenewalMs > quietAfterMs;
        settlePauseMs = isQuiet ? settleDelayMs.quiet : Math.min(settleDelayMs.steady, settlePauseMs * 2);
        lastRenewalMs = nowMs;
        const renewals = due.map(lease => createRenewal(lease, nowMs));
        const { vm, incarnation } = options;
        const outcome = await control.submit("leases.renew", { vm, incarnation, leases: renewals }, { timeoutMs: renewTimeoutMs });
        if (outcome.kind !== "done") {
            for (const lease of due) learnUnreachable(lease);
            return;
        }
        lastControlTimeMs = Math.max(lastControlTimeMs, ...outcome.result.grants.map(grant => grant.controlTimeMs));
        for (const [position, lease] of due.entries()) {
            learnGrant(lease, checkDefined(outcome.result.grants[position], "control answers for every lease"), renewals[position]!);
        }
    }

    function giveBackExcess(lease: HeldLease, nowMs: number): void {
        if (lease.waiting.size > 0) return;
        const targetTokens = getTarget(lease, nowMs);
        const excessTokens = getAvailable(lease) - keepFactor * targetTokens;
        release(lease, Math.floor(excessTokens));
    }

    function createRenewal(lease: HeldLease, nowMs: number): LeaseRenewal {
        const isRetired = retired.has(lease);
        const isClosing = shouldClose(lease, nowMs);
        lease.changedAtMs = undefined;
        const neededTokens = lease.waiting.size > 0 ? Math.min(...lease.waiting.values()) : 0;
        const targetTokens = getTarget(lease, nowMs);
        if (isClosing && leases.get(lease.budget) === lease) {
            // No reservation may be taken from a lease whose close is on its way.
            leases.delete(lease.budget);
            retired.add(lease);
        }
        return {
            leaseId: lease.leaseId,
            budget: lease.budget,
            settledTokens: { ...lease.settledByAgent },
            settledBeforeMs: Math.min(lastControlTimeMs, ...lease.unsettledSinceMs.values()),
            releasedTokens: lease.releasedTokens,
            wantTokens: isClosing || isRetired ? 0 : Math.max(0, Math.ceil(targetTokens - getAvailable(lease))),
            starvingTokens: isClosing || isRetired ? 0 : Math.max(0, neededTokens - Math.max(0, getAvailable(lease))),
            isClosing,
            isDirect: options.isDirect,
        };
    }

    function learnUnreachable(lease: HeldLease): void {
        lease.lastOutcome = "unreachable";
        noteChange(lease);
        lease.changed.notify();
    }

    function learnGrant(lease: HeldLease, grant: LeaseGrant, renewal: LeaseRenewal): void {
        if (renewal.isClosing) retired.delete(lease);
        else if (grant.outcome === "closed") retire(lease);
        else if (grant.outcome === "unknownBudget") lease.isUnknown = true;
        else {
            lease.hasGrown = grant.grantedTokens > lease.grantedTokens || renewal.wantTokens + renewal.starvingTokens === 0;
            lease.exhausted = grant.outcome !== "exhausted" ? undefined : {
                tokens: renewal.starvingTokens + Math.max(0, getAvailable(lease)),
                saidAtMs: host.clock.nowMs(),
            };
            lease.grantedTokens = Math.max(lease.grantedTokens, grant.grantedTokens);
            lease.freeTokens = grant.freeTokens;
            lease.expiresAtMs = Math.max(lease.expiresAtMs, grant.expiresAtMs);
            lease.renewedAtMs = host.clock.nowMs();
            lease.renewAtMs = lease.renewedAtMs + (grant.expiresAtMs - grant.controlTimeMs) * renewShare;
            if (grant.recallTokens > 0 && lease.waiting.size === 0) {
                release(lease, Math.min(getAvailable(lease), grant.recallTokens));
                forceRenewal();
            }
        }
        lease.lastOutcome = grant.outcome;
        lease.changed.notify();
        if (grant.outcome === "unknownBudget" && lease.reservedTokens === 0 && lease.grantedTokens === 0) leases.delete(lease.budget);
    }

    // Control has taken the lease back. What is reserved is still settled, but nothing more starts under it.
    function retire(lease: HeldLease): void {
        if (leases.get(lease.budget) === lease) leases.delete(lease.budget);
        if (lease.reservedTokens > 0 || lease.settledTokens > 0) retired.add(lease);
    }

    async function close(timeoutMs: number): Promise<boolean> {
        const deadlineMs = host.clock.nowMs() + timeoutMs;
        for (const [budget, lease] of leases) {
            leases.delete(budget);
            retired.add(lease);
        }
        while (retired.size > 0 && host.clock.nowMs() < deadlineMs) {
            await renewDue().catch(() => undefined);
            if (retired.size > 0) await sleep(host.timers, closeRetryMs);
        }
        return retired.size === 0;
    }
}

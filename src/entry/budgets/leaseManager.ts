/**
 * Manages the entry's budget leases: reserves tokens before dispatch, settles them afterwards, and renews the leases at control.
 * An entry spends only from a lease that control has granted and that has not expired, and delivers only up to its usage ceiling.
 */
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Host } from "../../kernel/host.js";
import type { LeaseGrant, LeaseRenewal } from "../../kernel/messages.js";
import { createNotifier, getErrorText, sleep } from "../../kernel/tasks.js";
import { refuse } from "../../kernel/verdict.js";
import { createDemandMeter } from "./demand.js";
import { canReserve, createHeldLease, getAvailable, hasWaiters, isCeilingLow } from "./heldLease.js";
import type { HeldLease } from "./heldLease.js";
import { budgetPreferences, defaultLeasePacing } from "./leaseTypes.js";
import type { LeaseManager, LeaseManagerOptions, Reservation, ReservationRequest, UseWait } from "./leaseTypes.js";
import { createUsageCeiling } from "./usageCeiling.js";

export { budgetPreferences, defaultLeasePacing } from "./leaseTypes.js";
export type { BudgetPreference, LeaseManager, LeaseManagerOptions, LeasePacing, Reservation, ReservationRequest } from "./leaseTypes.js";

/** Exponential backoff between renewals while a request waits for tokens. */
const starvingRetryMs = { first: 40, max: 500, factor: 1.6 } as const;
const closeRetryMs = 50;
/** Time for which control's answer that a budget is exhausted is applied to requests of the same size or larger. */
const exhaustedValidMs = 500;
/** Time without renewals after which the settlement delay is reset. */
const quietAfterMs = 20_000;
/** A lease is renewed after this share of its duration. */
const renewShare = 0.25;
const retryAfterMs = 2_000;
/** Long, because an exhausted budget only becomes available again when an operator tops it up. */
const exhaustedRetryMs = 30_000;
const idleCloseMs = 60_000;
/** Unreserved tokens beyond this multiple of the target are returned to control. */
const excessFactor = 2;

/** Creates a lease manager without leases. */
export function createLeaseManager(host: Host, options: LeaseManagerOptions): LeaseManager {
    const { control } = options;
    const pacing = options.pacing ?? defaultLeasePacing;
    const { tickMs, refillPauseMs, settleDelayMs, renewTimeoutMs } = pacing;
    const log = host.createLogger("budgets");
    const preferences = options.preferences ?? budgetPreferences;
    const leases = new Map<string, HeldLease>();
    // Replaced leases, kept until their reservations are settled and they are closed at control.
    const retired = new Set<HeldLease>();
    const renewNow = createNotifier(host.timers);
    let sequence = 0;
    let lastId = 0;
    let useWaits = 0;
    let lastControlTimeMs = 0;
    let isRenewalForced = false;
    let entryCount = 1;
    let lastRenewalAtMs = -Infinity;
    // Settlements are batched. The delay is short after a time without renewals and doubles with each renewal under steady load.
    let settlePauseMs: number = settleDelayMs.quiet;

    return {
        reserve,
        tryReserve(request) {
            const lease = getLease(request);
            recordRequest(lease, request);
            const isFree = lease.waiting.size === 0 && isUsable(lease) && canReserve(lease, request.tokens, request.promptTokens ?? 0);
            return isFree ? createReservation(lease, request) : undefined;
        },
        returnUnreserved(budgets) {
            for (const budget of budgets) {
                const lease = leases.get(budget);
                if (lease !== undefined && lease.waiting.size === 0) release(lease, getAvailable(lease));
            }
            forceRenewal();
        },
        forceRenewal,
        setEntryCount(count) {
            entryCount = Math.max(1, count);
        },
        start(signal) {
            void runRenewalLoop(signal);
        },
        close,
        getUseWaits: () => useWaits,
        getReservedTokens: () => listAll().reduce((sum, lease) => sum + lease.reservedTokens, 0),
        getAvailableTokens(budget) {
            const lease = leases.get(budget);
            return lease !== undefined && isUsable(lease) ? getAvailable(lease) : 0;
        },
    };

    function listAll(): readonly HeldLease[] {
        return [...leases.values(), ...retired];
    }

    function getTarget(lease: HeldLease, nowMs: number): number {
        return Math.floor(Math.min(lease.demand.getTargetTokens(lease.preference.horizonMs, nowMs), getMaxHeldTokens(lease)));
    }

    function getMaxHeldTokens(lease: HeldLease): number {
        return lease.freeTokens * Math.min(pacing.maxHeldShare, pacing.fleetHeldShare / entryCount);
    }

    function isUsable(lease: HeldLease): boolean {
        return control.time.isCertainlyBefore(lease.expiresAtMs);
    }

    function getLease(request: ReservationRequest): HeldLease {
        const known = leases.get(request.budget);
        if (known !== undefined) return known;
        sequence++;
        const created = createHeldLease({
            budget: request.budget,
            leaseId: `${options.incarnation}/${sequence}`,
            demand: createDemandMeter(pacing.demand),
            changed: createNotifier(host.timers),
            preference: preferences[request.weighsMore],
            ceiling: createUsageCeiling(options.isDirect === true ? pacing.ceiling : undefined),
            lastUsedAtMs: host.clock.nowMs(),
        });
        leases.set(request.budget, created);
        return created;
    }

    async function reserve(request: ReservationRequest): Promise<Reservation> {
        const wakeWaiters = () => leases.get(request.budget)?.changed.notify();
        request.signal?.addEventListener("abort", wakeWaiters);
        try {
            return await waitForTokens(request);
        }
        finally {
            request.signal?.removeEventListener("abort", wakeWaiters);
        }
    }

    async function waitForTokens(request: ReservationRequest): Promise<Reservation> {
        const first = getLease(request);
        first.preference = preferences[request.weighsMore];
        recordRequest(first, request);
        const promptTokens = request.promptTokens ?? 0;
        const waiter = ++lastId;
        const waitUntilMs = Math.min(request.deadlineMs, host.clock.nowMs() + first.preference.maxWaitMs);
        let isFirstIteration = true;
        for (;;) {
            // Looks the lease up on each iteration, because a lease that control closed is replaced.
            const lease = getLease(request);
            const isInTurn = !isFirstIteration || lease.waiting.size === 0;
            if (isInTurn && isUsable(lease) && canReserve(lease, request.tokens, promptTokens)) {
                removeWaiter(lease, waiter);
                return createReservation(lease, request);
            }
            const isLast = host.clock.nowMs() >= waitUntilMs || request.signal?.aborted === true;
            if (isLast || cannotBeCovered(lease, isFirstIteration, request.tokens)) {
                removeWaiter(lease, waiter);
                refuseReservation(lease);
            }
            if (isFirstIteration) renewNow.notify();
            isFirstIteration = false;
            lease.waiting.set(waiter, request.tokens);
            lease.ceiling.addWaiter(waiter, promptTokens);
            await lease.changed.wait(Math.max(1, waitUntilMs - host.clock.nowMs()));
            if (lease !== leases.get(request.budget)) removeWaiter(lease, waiter);
        }
    }

    function recordRequest(lease: HeldLease, request: ReservationRequest): void {
        const nowMs = host.clock.nowMs();
        lease.demand.recordRequest(request.tokens, nowMs);
        lease.ceiling.recordRequest(request.promptTokens ?? 0, nowMs);
    }

    function removeWaiter(lease: HeldLease, waiter: number): void {
        lease.waiting.delete(waiter);
        lease.ceiling.removeWaiter(waiter);
    }

    // True when control has recently answered that the budget cannot cover a request of this size or smaller, or has answered since
    // this request began to wait that the budget is unknown.
    function cannotBeCovered(lease: HeldLease, isFirstIteration: boolean, tokens: number): boolean {
        const { exhausted } = lease;
        if (exhausted !== undefined && tokens >= exhausted.tokens && host.clock.nowMs() - exhausted.reportedAtMs < exhaustedValidMs) {
            return true;
        }
        return !isFirstIteration && lease.isBudgetUnknown;
    }

    function refuseReservation(lease: HeldLease): never {
        if (lease.isBudgetUnknown) refuse("budgetExhausted", "The budget is not in the configuration in force.");
        if (lease.lastOutcome === "exhausted") refuse("budgetExhausted", undefined, exhaustedRetryMs);
        if (lease.lastOutcome === "unreachable") refuse("budgetUnavailable", undefined, retryAfterMs);
        // Only callers of direct dispatch distinguish a temporary from a permanent refusal by its status.
        if (options.isDirect) refuse("budgetHeld", undefined, retryAfterMs);
        refuse("budgetExhausted", "The rest of the prepaid budget is held by running requests.", retryAfterMs);
    }

    function createReservation(lease: HeldLease, { tokens, promptTokens = 0 }: ReservationRequest): Reservation {
        const id = ++lastId;
        let isSettled = false;
        let usedTokens = 0;
        const tryUse = (addedTokens: number) => {
            const countedTokens = Math.min(addedTokens, tokens - usedTokens);
            if (!lease.ceiling.tryUse(countedTokens)) return false;
            usedTokens += countedTokens;
            return true;
        };
        const isPromptCovered = tryUse(promptTokens);
        assert(isPromptCovered, "a reservation is made only if the usage ceiling covers its prompt");
        lease.reservedTokens += tokens;
        lease.lastUsedAtMs = host.clock.nowMs();
        lease.unsettledSinceMs.set(id, lastControlTimeMs);
        return {
            leaseId: lease.leaseId,
            expiresAtMs: lease.expiresAtMs,
            reservedTokens: tokens,
            tryUse,
            use: (addedTokens, wait) => waitToUse(lease, Math.min(addedTokens, tokens - usedTokens), () => tryUse(addedTokens), wait),
            settle(agent, billedTokens) {
                assert(!isSettled, "a reservation is settled only once");
                assert(billedTokens <= tokens, `a settlement of ${billedTokens} exceeds its reservation of ${tokens}`);
                isSettled = true;
                lease.reservedTokens -= tokens;
                lease.settledTokens += billedTokens;
                lease.ceiling.settle(usedTokens, billedTokens);
                if (billedTokens > 0) lease.settledByAgent[agent] = (lease.settledByAgent[agent] ?? 0) + billedTokens;
                lease.unsettledSinceMs.delete(id);
                if (billedTokens > 0) recordChange(lease);
                lease.demand.recordBilling(billedTokens, host.clock.nowMs());
                lease.changed.notify();
                if (hasWaiters(lease)) renewNow.notify();
            },
        };
    }

    async function waitToUse(lease: HeldLease, tokens: number, tryUse: () => boolean, { deadlineMs, signal }: UseWait): Promise<void> {
        const waiter = ++lastId;
        useWaits++;
        const wake = () => lease.changed.notify();
        signal?.addEventListener("abort", wake);
        lease.ceiling.addWaiter(waiter, tokens);
        try {
            for (let isFirst = true; !tryUse(); isFirst = false) {
                const remainingMs = deadlineMs - host.clock.nowMs();
                if (lease.lastOutcome === "closed") {
                    refuse("budgetHeld", "Control has closed the lease of a running request.", retryAfterMs);
                }
                if (remainingMs <= 0 || signal?.aborted === true) refuseReservation(lease);
                if (isFirst) renewNow.notify();
                await lease.changed.wait(remainingMs);
            }
        }
        finally {
            lease.ceiling.removeWaiter(waiter);
            signal?.removeEventListener("abort", wake);
        }
    }

    function release(lease: HeldLease, tokens: number): void {
        if (tokens <= 0) return;
        lease.releasedTokens += tokens;
        recordChange(lease);
    }

    function recordChange(lease: HeldLease): void {
        lease.changedAtMs ??= host.clock.nowMs();
    }

    function forceRenewal(): void {
        isRenewalForced = true;
        renewNow.notify();
    }

    async function runRenewalLoop(signal: AbortSignal): Promise<void> {
        let starvingPauseMs: number = starvingRetryMs.first;
        while (!signal.aborted) {
            const nowMs = host.clock.nowMs();
            const isStarving = listAll().some(hasWaiters);
            if (isStarving || isRenewalForced || listAll().some(lease => isDue(lease, nowMs))) {
                isRenewalForced = false;
                await renewDue().catch(error => log.warn("Renewing budget leases failed.", { detail: getErrorText(error) }));
            }
            const isUnanswered = listAll().some(lease => hasWaiters(lease) && lease.lastOutcome !== "granted");
            starvingPauseMs = isUnanswered
                ? Math.min(starvingRetryMs.max, starvingPauseMs * starvingRetryMs.factor)
                : starvingRetryMs.first;
            if (isUnanswered) {
                // Each request that starts to wait wakes this loop, so the first pause bounds the calls of an entry that control cannot satisfy.
                await sleep(host.timers, starvingRetryMs.first);
                await renewNow.wait(Math.max(0, starvingPauseMs - starvingRetryMs.first));
            }
            else if (!isRenewalForced) await renewNow.wait(tickMs);
        }
    }

    function isDue(lease: HeldLease, nowMs: number): boolean {
        if (nowMs >= lease.renewAtMs || shouldClose(lease, nowMs)) return true;
        const settleAtMs = Math.max(lastRenewalAtMs + settlePauseMs, (lease.changedAtMs ?? Infinity) + settleDelayMs.quiet);
        if (lease.changedAtMs !== undefined && nowMs >= settleAtMs) return true;
        // The time of the last call counts too, so that a control that does not answer gets at most one call in each pause.
        const ceilingPauseMs = lease.lastOutcome === "unreachable" ? refillPauseMs.refused : refillPauseMs.granted;
        const isCeilingDue = isCeilingLow(lease) && lease.lastOutcome !== "closed";
        if (isCeilingDue && nowMs >= Math.max(lastRenewalAtMs, lease.renewedAtMs) + ceilingPauseMs) return true;
        return isLow(lease, nowMs) && nowMs >= lease.renewedAtMs + (lease.hasGrown ? refillPauseMs.granted : refillPauseMs.refused);
    }

    // Leases past half of their renewal interval are renewed together with those that are due.
    function isPastHalfway(lease: HeldLease, nowMs: number): boolean {
        return nowMs - lease.renewedAtMs > (lease.renewAtMs - lease.renewedAtMs) / 2;
    }

    function isLow(lease: HeldLease, nowMs: number): boolean {
        const urgentTokens = Math.min(lease.demand.getUrgentTokens(nowMs), getTarget(lease, nowMs));
        return !retired.has(lease) && getAvailable(lease) < urgentTokens;
    }

    function shouldClose(lease: HeldLease, nowMs: number): boolean {
        const isIdle = nowMs - lease.lastUsedAtMs > idleCloseMs && lease.waiting.size === 0;
        return lease.reservedTokens === 0 && (isIdle || retired.has(lease));
    }

    // Sends one call for all leases that are due or have changes.
    async function renewDue(): Promise<void> {
        const nowMs = host.clock.nowMs();
        for (const lease of leases.values()) releaseExcess(lease, nowMs);
        const due = listAll().filter(lease =>
            hasWaiters(lease) || lease.changedAtMs !== undefined || isDue(lease, nowMs) || isPastHalfway(lease, nowMs)
        );
        if (due.length === 0) return;
        const isQuiet = nowMs - lastRenewalAtMs > quietAfterMs;
        settlePauseMs = isQuiet ? settleDelayMs.quiet : Math.min(settleDelayMs.steady, settlePauseMs * 2);
        lastRenewalAtMs = nowMs;
        const renewals = due.map(lease => createRenewal(lease, nowMs));
        const { vm, incarnation } = options;
        const outcome = await control.submit("leases.renew", { vm, incarnation, leases: renewals }, { timeoutMs: renewTimeoutMs });
        if (outcome.kind !== "done") {
            for (const lease of due) recordUnreachable(lease);
            return;
        }
        lastControlTimeMs = Math.max(lastControlTimeMs, ...outcome.result.grants.map(grant => grant.controlTimeMs));
        for (const [position, lease] of due.entries()) {
            applyGrant(lease, checkDefined(outcome.result.grants[position], "control answers for every lease"), renewals[position]!);
        }
    }

    function releaseExcess(lease: HeldLease, nowMs: number): void {
        if (lease.waiting.size > 0) return;
        const maxTokens = Math.min(excessFactor * getTarget(lease, nowMs), getMaxHeldTokens(lease));
        release(lease, Math.floor(getAvailable(lease) - maxTokens));
    }

    function createRenewal(lease: HeldLease, nowMs: number): LeaseRenewal {
        const isRetired = retired.has(lease);
        const isClosing = shouldClose(lease, nowMs);
        lease.changedAtMs = undefined;
        const neededTokens = lease.waiting.size > 0 ? Math.min(...lease.waiting.values()) : 0;
        const targetTokens = getTarget(lease, nowMs);
        if (isClosing && leases.get(lease.budget) === lease) {
            // No new reservation may use a lease that is being closed.
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
            ceilingTokens: lease.ceiling.propose(
                { runningRequests: lease.unsettledSinceMs.size, freeTokens: lease.freeTokens, entryCount },
                nowMs,
            ),
        };
    }

    function recordUnreachable(lease: HeldLease): void {
        lease.lastOutcome = "unreachable";
        recordChange(lease);
        lease.changed.notify();
    }

    function applyGrant(lease: HeldLease, grant: LeaseGrant, renewal: LeaseRenewal): void {
        if (renewal.isClosing) retired.delete(lease);
        else if (grant.outcome === "closed") retire(lease);
        else if (grant.outcome === "unknownBudget") lease.isBudgetUnknown = true;
        else {
            lease.hasGrown = grant.grantedTokens > lease.grantedTokens || renewal.wantTokens + renewal.starvingTokens === 0;
            lease.exhausted = grant.outcome !== "exhausted" ? undefined : {
                tokens: renewal.starvingTokens + Math.max(0, getAvailable(lease)),
                reportedAtMs: host.clock.nowMs(),
            };
            lease.grantedTokens = Math.max(lease.grantedTokens, grant.grantedTokens);
            lease.freeTokens = grant.freeTokens;
            lease.ceiling.acknowledge(grant.ceilingTokens);
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

    // Control has closed the lease. Existing reservations are still settled, but no new ones are made from it.
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

/**
 * The ledger: budgets, their leases, and the rule that holds at every step:
 * settled + held by open leases + in doubt <= topped up.
 *
 * Leases are escrow in the sense of O'Neil (1986): an entry spends only tokens that were set aside for it
 * before, so that entries need not agree on each request.
 */
import { assert, checkDefined } from "../../../kernel/debug.js";
import type { BudgetView, LeaseGrant, LeaseOutcome, LeaseRenewal } from "../../../kernel/messages.js";
import type { BudgetName, Incarnation } from "../../../kernel/types.js";
import { getHeldTokens, mergeSettled, sumSettled } from "./types.js";
import type { BudgetAccount, Lease, LeaseRules } from "./types.js";

/** Who renews. */
export interface LeaseOwner {
    readonly vm: string;
    readonly incarnation: Incarnation;
}

/** The ledger. Every change checks the invariant of the budget it touched. */
export interface Ledger {
    topUp(budget: BudgetName, tokens: number): number;
    /** Sets the total that was paid for. Below what is promised already, nothing more is granted until that has shrunk. */
    setPrepaid(budget: BudgetName, tokens: number): void;
    renew(renewer: LeaseOwner, renewal: LeaseRenewal, rules: LeaseRules | undefined, nowMs: number): LeaseGrant;
    /** Starts the recovery of a lease whose entry is gone. Returns false when it must not start yet. */
    beginRecovery(leaseId: string, isSuperseded: boolean, nowMs: number): boolean;
    /** Closes a recovering lease at the totals that its agents gave. */
    closeRecovered(leaseId: string, spent: Readonly<Record<Incarnation, number>>): boolean;
    /** Closes a lease that recovery holds, at a total that an operator gives. */
    closeWithSpentTokens(leaseId: string, spentTokens: number): boolean;
    /** Closes a recovering lease at all that it holds, because its use was lost. */
    writeOff(leaseId: string, knownSpent: Readonly<Record<Incarnation, number>>): boolean;
    /** Keeps the rest of a recovering lease for an operator, because its use was lost. */
    holdInDoubt(leaseId: string, knownSpent: Readonly<Record<Incarnation, number>>): boolean;
    getLease(leaseId: string): Lease | undefined;
    listLeases(): Iterable<Lease>;
    getView(budget: BudgetName): BudgetView | undefined;
    listViews(): readonly BudgetView[];
    hasOpenLeases(budget: BudgetName): boolean;
    /** Budgets of which this incarnation is asked to give unreserved tokens back. */
    listRecalledBudgets(incarnation: Incarnation): readonly BudgetName[];
    save(): unknown;
    load(data: unknown): void;
}

/** How long a starving request keeps others from taking more than they need. */
const starvationPeriodMs = 1_000;
/** Time within which an entry that can be reached answers a recall. */
const recallTimeoutMs = 1_500;
/** Control time for which the sequence numbers of an incarnation's leases are remembered. */
const sequenceRetentionMs = 24 * 3_600_000;

interface SequenceRecord {
    readonly highest: number;
    readonly seenAtMs: number;
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
    const budgets = new Map<BudgetName, BudgetAccount>();
    const leases = new Map<string, Lease>();
    const sequences = new Map<Incarnation, SequenceRecord>();
    // Recalled leases by incarnation, so that a waiting entry is found without a walk over all leases.
    const recalledLeaseIds = new Map<Incarnation, Set<string>>();

    return {
        topUp(budget, tokens) {
            const account = getAccount(budget);
            setAccount({ ...account, toppedUpTokens: account.toppedUpTokens + tokens });
            return account.toppedUpTokens + tokens;
        },
        setPrepaid(budget, tokens) {
            const account = getAccount(budget);
            const { settledTokens, leasedTokens, inDoubtTokens } = createView(account);
            const overhangTokens = Math.max(0, settledTokens + leasedTokens + inDoubtTokens - tokens);
            setAccount({ ...account, toppedUpTokens: tokens, overhangTokens });
        },
        renew,
        beginRecovery(leaseId, isSuperseded, nowMs) {
            const lease = leases.get(leaseId);
            if (lease === undefined || lease.state === "inDoubt") return false;
            if (lease.state === "recovering") return true;
            if (!isSuperseded && lease.expiresAtMs >= nowMs) return false;
            setLease({ ...lease, state: "recovering" });
            return true;
        },
        closeRecovered(leaseId, spent) {
            const lease = leases.get(leaseId);
            if (lease === undefined || lease.state === "open") return false;
            closeLease(applySettledTokens(lease, spent));
            return true;
        },
        closeWithSpentTokens(leaseId, spentTokens) {
            const lease = leases.get(leaseId);
            if (lease === undefined || lease.state === "open") return false;
            const settledTokens = Math.max(lease.settledTokens, Math.min(spentTokens, lease.grantedTokens - lease.releasedTokens));
            closeLease({ ...lease, settledTokens });
            return true;
        },
        writeOff(leaseId, knownSpent) {
            const lease = leases.get(leaseId);
            if (lease?.state !== "recovering") return false;
            const updated = applySettledTokens(lease, knownSpent);
            const account = getAccount(lease.budget);
            setAccount({ ...account, writtenOffTokens: account.writtenOffTokens + getHeldTokens(updated) });
            closeLease({ ...updated, settledTokens: updated.settledTokens + getHeldTokens(updated) });
            return true;
        },
        holdInDoubt(leaseId, knownSpent) {
            const lease = leases.get(leaseId);
            if (lease?.state !== "recovering") return false;
            setLease({ ...applySettledTokens(lease, knownSpent), state: "inDoubt" });
            return true;
        },
        getLease: leaseId => leases.get(leaseId),
        listLeases: () => leases.values(),
        getView: budget => budgets.has(budget) ? createView(getAccount(budget)) : undefined,
        listViews: () => [...budgets.values()].map(createView),
        hasOpenLeases: budget => getAccount(budget).leaseIds.size > 0,
        listRecalledBudgets: incarnation => [...recalledLeaseIds.get(incarnation) ?? []].map(leaseId => leases.get(leaseId)!.budget),
        save: () => ({
            budgets: [...budgets.values()].map(account => ({ ...account, leaseIds: [...account.leaseIds] })),
            leases: [...leases.values()],
            sequences: [...sequences],
        }),
        load(data) {
            const saved = data as {
                budgets: (Omit<BudgetAccount, "leaseIds"> & { leaseIds: string[]; })[];
                leases: Lease[];
                sequences: [Incarnation, SequenceRecord][];
            };
            budgets.clear();
            leases.clear();
            sequences.clear();
            recalledLeaseIds.clear();
            for (const account of saved.budgets) budgets.set(account.budget, { ...account, leaseIds: new Set(account.leaseIds) });
            for (const lease of saved.leases) {
                leases.set(lease.leaseId, lease);
                updateRecallIndex(lease, lease.isRecalled);
            }
            for (const [incarnation, record] of saved.sequences) sequences.set(incarnation, record);
        },
    };

    function getAccount(budget: BudgetName): BudgetAccount {
        return budgets.get(budget) ?? {
            budget,
            toppedUpTokens: 0,
            closedSettledTokens: 0,
            writtenOffTokens: 0,
            leaseIds: new Set(),
            starvingUntilMs: 0,
            overhangTokens: 0,
        };
    }

    function setAccount(account: BudgetAccount): void {
        budgets.set(account.budget, account);
        checkInvariant(account);
    }

    function setLease(lease: Lease): void {
        assert(getHeldTokens(lease) >= 0, `lease ${lease.leaseId} settles and releases more than it was granted`);
        leases.set(lease.leaseId, lease);
        updateRecallIndex(lease, lease.isRecalled);
        const account = getAccount(lease.budget);
        setAccount(account.leaseIds.has(lease.leaseId) ? account : { ...account, leaseIds: new Set([...account.leaseIds, lease.leaseId]) });
    }

    function closeLease(lease: Lease): void {
        const account = getAccount(lease.budget);
        const leaseIds = new Set([...account.leaseIds].filter(leaseId => leaseId !== lease.leaseId));
        leases.delete(lease.leaseId);
        updateRecallIndex(lease, false);
        setAccount({ ...account, leaseIds, closedSettledTokens: account.closedSettledTokens + lease.settledTokens });
    }

    function updateRecallIndex(lease: Lease, isRecalled: boolean): void {
        const leaseIds = recalledLeaseIds.get(lease.incarnation) ?? new Set();
        if (isRecalled) leaseIds.add(lease.leaseId);
        else leaseIds.delete(lease.leaseId);
        if (leaseIds.size > 0) recalledLeaseIds.set(lease.incarnation, leaseIds);
        else recalledLeaseIds.delete(lease.incarnation);
    }

    function getAccountLeases(account: BudgetAccount): readonly Lease[] {
        return [...account.leaseIds].map(leaseId => checkDefined(leases.get(leaseId), `lease ${leaseId} is held`));
    }

    function checkInvariant(account: BudgetAccount): void {
        const view = createView(account);
        assert(
            view.settledTokens + view.leasedTokens + view.inDoubtTokens <= account.toppedUpTokens + (account.overhangTokens ?? 0),
            `budget ${account.budget} has promised more than was topped up`,
        );
    }

    function createView(account: BudgetAccount): BudgetView {
        let settledTokens = account.closedSettledTokens;
        let leasedTokens = 0;
        let inDoubtTokens = 0;
        for (const lease of getAccountLeases(account)) {
            settledTokens += lease.settledTokens;
            if (lease.state === "open") leasedTokens += getHeldTokens(lease);
            else inDoubtTokens += getHeldTokens(lease);
        }
        const freeTokens = Math.max(0, account.toppedUpTokens - settledTokens - leasedTokens - inDoubtTokens);
        const { budget, toppedUpTokens, writtenOffTokens } = account;
        return { budget, toppedUpTokens, settledTokens, leasedTokens, inDoubtTokens, freeTokens, writtenOffTokens };
    }

    function renew(renewer: LeaseOwner, renewal: LeaseRenewal, rules: LeaseRules | undefined, nowMs: number): LeaseGrant {
        const existing = leases.get(renewal.leaseId) ?? tryOpenLease(renewer, renewal, rules, nowMs);
        if (existing === undefined) return createRefusal(renewal.leaseId, rules === undefined ? "unknownBudget" : "closed", nowMs);
        const settled = applyRenewalTotals(existing, renewal);
        if (renewal.isClosing) {
            closeLease(settled);
            return createRefusal(renewal.leaseId, "closed", nowMs);
        }
        if (settled.state !== "open") {
            setLease(settled);
            return createRefusal(renewal.leaseId, "closed", nowMs);
        }
        if (rules === undefined) {
            // A budget that left the set grants nothing more, but what was granted may be used up.
            setLease({ ...settled, renewedAtMs: nowMs });
            return createGrant({ ...settled, renewedAtMs: nowMs }, "granted", getHeldTokens(settled), nowMs);
        }
        const expiresAtMs = Math.max(settled.expiresAtMs, nowMs + rules.leaseMs);
        const renewed: Lease = { ...settled, renewedAtMs: nowMs, expiresAtMs, isRecalled: false, recalledSinceMs: undefined };
        setLease(renewed);
        return grantTokens(renewed, renewal, rules, settled.isRecalled, nowMs);
    }

    function createGrant(lease: Lease, outcome: LeaseOutcome, recallTokens: number, controlTimeMs: number): LeaseGrant {
        const { leaseId, grantedTokens, expiresAtMs } = lease;
        const { freeTokens } = createView(getAccount(lease.budget));
        return { leaseId, outcome, controlTimeMs, grantedTokens, expiresAtMs, recallTokens, freeTokens };
    }

    // A lease id is used once. A delayed renewal of a closed lease must not open it again.
    function tryOpenLease(renewer: LeaseOwner, renewal: LeaseRenewal, rules: LeaseRules | undefined, nowMs: number): Lease | undefined {
        const sequence = Number(renewal.leaseId.slice(renewer.incarnation.length + 1));
        const highest = sequences.get(renewer.incarnation)?.highest ?? 0;
        const isOwnLeaseId = renewal.leaseId === createLeaseId(renewer.incarnation, sequence);
        if (rules === undefined || renewal.isClosing || !isOwnLeaseId || !(sequence > highest)) return undefined;
        deleteExpiredSequences(nowMs);
        sequences.set(renewer.incarnation, { highest: sequence, seenAtMs: nowMs });
        return {
            leaseId: renewal.leaseId,
            budget: renewal.budget,
            vm: renewer.vm,
            incarnation: renewer.incarnation,
            state: "open",
            grantedTokens: 0,
            settledTokens: 0,
            settledByAgent: {},
            settledBeforeMs: 0,
            releasedTokens: 0,
            isDirect: renewal.isDirect === true,
            createdAtMs: nowMs,
            renewedAtMs: nowMs,
            expiresAtMs: nowMs + rules.leaseMs,
            isRecalled: false,
        };
    }

    function deleteExpiredSequences(nowMs: number): void {
        for (const [incarnation, record] of sequences) {
            if (record.seenAtMs >= nowMs - sequenceRetentionMs) return;
            sequences.delete(incarnation);
        }
    }

    // Totals only grow, so that lost, doubled and crossed renewals do no harm.
    function applyRenewalTotals(lease: Lease, renewal: LeaseRenewal): Lease {
        const settled = applySettledTokens(lease, renewal.settledTokens);
        const maxReleasedTokens = settled.grantedTokens - settled.settledTokens;
        const releasedTokens = Math.max(lease.releasedTokens, Math.min(renewal.releasedTokens, maxReleasedTokens));
        const settledBeforeMs = Math.max(lease.settledBeforeMs, renewal.settledBeforeMs);
        return { ...settled, releasedTokens, settledBeforeMs };
    }

    // A lease never settles more than it was granted, whatever its entry or its agents say.
    function applySettledTokens(lease: Lease, added: Readonly<Record<Incarnation, number>>): Lease {
        const settledByAgent = mergeSettled(lease.settledByAgent, added);
        const settledTokens = Math.min(sumSettled(settledByAgent), lease.grantedTokens - lease.releasedTokens);
        return { ...lease, settledByAgent, settledTokens: Math.max(lease.settledTokens, settledTokens) };
    }

    function grantTokens(lease: Lease, renewal: LeaseRenewal, rules: LeaseRules, isRecalled: boolean, nowMs: number): LeaseGrant {
        const account = getAccount(lease.budget);
        const freeTokens = createView(account).freeTokens;
        const others = getAccountLeases(account).filter(other => other.leaseId !== lease.leaseId);
        const isStarving = renewal.starvingTokens > 0;
        if (isStarving && freeTokens < renewal.starvingTokens) return recallOrRefuse(lease, renewal, rules, others, freeTokens, nowMs);
        const isOtherStarving = account.starvingUntilMs > nowMs;
        const isReturnDue = isOtherStarving && !isStarving && isRecalled;
        const shareTokens = Math.floor(freeTokens * rules.maxGrantShare / (others.length + 1));
        const extraTokens = isOtherStarving ? 0 : Math.min(renewal.wantTokens, shareTokens);
        const newTokens = Math.min(freeTokens, renewal.starvingTokens + extraTokens);
        const granted = { ...lease, grantedTokens: lease.grantedTokens + newTokens };
        setLease(granted);
        return createGrant(granted, "granted", isReturnDue ? getHeldTokens(granted) : 0, nowMs);
    }

    // Not enough is free. Other leases are asked for what they do not need, while that can still help.
    function recallOrRefuse(
        lease: Lease,
        renewal: LeaseRenewal,
        rules: LeaseRules,
        others: readonly Lease[],
        freeTokens: number,
        nowMs: number,
    ): LeaseGrant {
        // A lease that was recalled a while ago and not renewed since belongs to an entry that is gone or cut off.
        const reachable = others.filter(other =>
            other.state === "open" && other.expiresAtMs >= nowMs && nowMs - (other.recalledSinceMs ?? nowMs) <= recallTimeoutMs
        );
        const reachableTokens = reachable.reduce((sum, other) => sum + getHeldTokens(other), getHeldTokens(lease) + freeTokens);
        if (reachableTokens < renewal.starvingTokens || (!rules.isRecallEnabled && getHeldTokens(lease) === 0)) {
            return createGrant(lease, "exhausted", 0, nowMs);
        }
        if (rules.isRecallEnabled) {
            setAccount({ ...getAccount(lease.budget), starvingUntilMs: nowMs + starvationPeriodMs });
            for (const other of reachable) setLease({ ...other, isRecalled: true, recalledSinceMs: other.recalledSinceMs ?? nowMs });
        }
        return createGrant(lease, "recalling", 0, nowMs);
    }
}

/** Identifier of an entry's lease. Sequence numbers start at 1 and are used once. */
export function createLeaseId(incarnation: Incarnation, sequence: number): string {
    return `${incarnation}/${sequence}`;
}

function createRefusal(leaseId: string, outcome: LeaseOutcome, controlTimeMs: number): LeaseGrant {
    return { leaseId, outcome, controlTimeMs, grantedTokens: 0, expiresAtMs: 0, recallTokens: 0, freeTokens: 0 };
}

/**
 * The ledger of budgets and their leases. Invariant after every change:
 * settled + held by open leases + in doubt <= topped up.
 * Lowering the prepaid total below what is already committed raises the bound by the difference.
 *
 * Leases follow the escrow method of O'Neil (1986): an entry spends only tokens that were reserved for it
 * in advance, so entries need no coordination for each request. A lease may have a usage ceiling in addition: the entry delivers no more than
 * the highest ceiling that was acknowledged to it, so only the ceiling counts as spent when the entry is lost.
 */
import { assert, checkDefined } from "../../../kernel/debug.js";
import type { BudgetView, LeaseGrant, LeaseOutcome, LeaseRenewal } from "../../../kernel/messages.js";
import type { BudgetName, Incarnation } from "../../../kernel/types.js";
import { getHeldTokens, getSpendableTokens, mergeSettled, sumSettled } from "./types.js";
import type { BudgetAccount, Lease, LeaseRules } from "./types.js";

/** The entry that renews a lease. */
export interface LeaseOwner {
    readonly vm: string;
    readonly incarnation: Incarnation;
}

/** The ledger. Every change checks the invariant of the affected budget. */
export interface Ledger {
    topUp(budget: BudgetName, tokens: number): number;
    /** Sets the prepaid total. While more tokens than that are committed, nothing is granted. */
    setPrepaid(budget: BudgetName, tokens: number): void;
    renew(owner: LeaseOwner, renewal: LeaseRenewal, rules: LeaseRules | undefined, nowMs: number): LeaseGrant;
    /** Starts the recovery of a lease whose entry is lost. Returns false if the lease cannot be recovered yet or is in doubt. */
    beginRecovery(leaseId: string, isSuperseded: boolean, nowMs: number): boolean;
    /**
     * Closes a lease that has a usage ceiling with the ceiling as spent. Safe while the entry is alive, since it delivers no more than that.
     * Returns false if the lease has no ceiling, or has neither expired nor been superseded.
     */
    closeAtCeiling(leaseId: string, isSuperseded: boolean, nowMs: number): boolean;
    /** Closes a lease in recovery with the totals that the agents reported. */
    closeRecovered(leaseId: string, spent: Readonly<Record<Incarnation, number>>): boolean;
    /** Closes a lease that is recovering or in doubt, with the total that an operator specified. */
    closeWithSpentTokens(leaseId: string, spentTokens: number): boolean;
    /** Closes a recovering lease and settles all held tokens as spent, because the actual use is unknown. */
    writeOff(leaseId: string, knownSpent: Readonly<Record<Incarnation, number>>): boolean;
    /** Marks a recovering lease in doubt until an operator closes it, because the actual use is unknown. */
    holdInDoubt(leaseId: string, knownSpent: Readonly<Record<Incarnation, number>>): boolean;
    getLease(leaseId: string): Lease | undefined;
    listLeases(): Iterable<Lease>;
    getView(budget: BudgetName): BudgetView | undefined;
    listViews(): readonly BudgetView[];
    hasOpenLeases(budget: BudgetName): boolean;
    /** Budgets whose unreserved tokens are recalled from this incarnation. */
    listRecalledBudgets(incarnation: Incarnation): readonly BudgetName[];
    save(): unknown;
    load(data: unknown): void;
}

/** How long a starving request limits other leases to the tokens that they need. */
const starvationPeriodMs = 1_000;
/** Time within which a reachable entry is expected to respond to a recall. */
const recallTimeoutMs = 1_500;
/** Time after an entry's answer to a recall in which it is not asked again. */
const recallPauseMs = 300;
/** How long the highest lease sequence number of an incarnation is kept, in control time. */
const sequenceRetentionMs = 24 * 3_600_000;

interface SequenceRecord {
    readonly highest: number;
    readonly seenAtMs: number;
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
    const budgets = new Map<BudgetName, BudgetAccount>();
    const leases = new Map<string, Lease>();
    /** Sums over the leases of each budget, kept with each change, so that a renewal does not read all of them. */
    const sumsByBudget = new Map<BudgetName, LeaseSums>();
    const sequences = new Map<Incarnation, SequenceRecord>();
    // Index of the recalled leases by incarnation, to avoid a scan of all leases.
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
        closeAtCeiling(leaseId, isSuperseded, nowMs) {
            const lease = leases.get(leaseId);
            const spentTokens = lease === undefined ? undefined : getSpendableTokens(lease);
            if (lease === undefined || spentTokens === undefined) return false;
            if (lease.state === "open" && !isSuperseded && lease.expiresAtMs >= nowMs) return false;
            const account = getAccount(lease.budget);
            setAccount({ ...account, writtenOffTokens: account.writtenOffTokens + spentTokens - lease.settledTokens });
            closeLease({ ...lease, settledTokens: spentTokens });
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
            sumsByBudget.clear();
            sequences.clear();
            recalledLeaseIds.clear();
            for (const account of saved.budgets) budgets.set(account.budget, { ...account, leaseIds: new Set(account.leaseIds) });
            for (const lease of saved.leases) {
                replaceLease(undefined, lease);
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

    // Keeps the sums of the lease's budget. Either side is undefined for a lease that is opened or closed.
    function replaceLease(before: Lease | undefined, after: Lease | undefined): void {
        const { budget, leaseId } = checkDefined(after ?? before, "a lease is replaced by another or removed");
        const sums = addToSums(addToSums(sumsByBudget.get(budget) ?? noSums, before, -1), after, 1);
        sumsByBudget.set(budget, sums);
        if (after === undefined) leases.delete(leaseId);
        else leases.set(leaseId, after);
    }

    function setLease(lease: Lease): void {
        assert(getHeldTokens(lease) >= 0, `lease ${lease.leaseId} settled and released more tokens than it was granted`);
        assert((lease.ceilingTokens ?? 0) <= lease.grantedTokens, `the usage ceiling of lease ${lease.leaseId} exceeds its granted tokens`);
        replaceLease(leases.get(lease.leaseId), lease);
        updateRecallIndex(lease, lease.isRecalled);
        const account = getAccount(lease.budget);
        setAccount(account.leaseIds.has(lease.leaseId) ? account : { ...account, leaseIds: new Set([...account.leaseIds, lease.leaseId]) });
    }

    function closeLease(lease: Lease): void {
        const account = getAccount(lease.budget);
        const leaseIds = new Set([...account.leaseIds].filter(leaseId => leaseId !== lease.leaseId));
        replaceLease(leases.get(lease.leaseId), undefined);
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
        return [...account.leaseIds].map(leaseId => checkDefined(leases.get(leaseId), `lease ${leaseId} of the budget does not exist`));
    }

    function checkInvariant(account: BudgetAccount): void {
        const view = createView(account);
        assert(
            view.settledTokens + view.leasedTokens + view.inDoubtTokens <= account.toppedUpTokens + (account.overhangTokens ?? 0),
            `budget ${account.budget} has committed more tokens than were topped up`,
        );
    }

    function createView(account: BudgetAccount): BudgetView {
        const { settledTokens: settledByOpenLeases, leasedTokens, inDoubtTokens } = sumsByBudget.get(account.budget) ?? noSums;
        const settledTokens = account.closedSettledTokens + settledByOpenLeases;
        const freeTokens = Math.max(0, account.toppedUpTokens - settledTokens - leasedTokens - inDoubtTokens);
        const { budget, toppedUpTokens, writtenOffTokens } = account;
        return { budget, toppedUpTokens, settledTokens, leasedTokens, inDoubtTokens, freeTokens, writtenOffTokens };
    }

    function renew(owner: LeaseOwner, renewal: LeaseRenewal, rules: LeaseRules | undefined, nowMs: number): LeaseGrant {
        const existing = leases.get(renewal.leaseId) ?? tryOpenLease(owner, renewal, rules, nowMs);
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
            // A budget removed from the configuration grants nothing more, but tokens already granted may be spent.
            setLease({ ...settled, renewedAtMs: nowMs });
            return commitCeiling(createGrant({ ...settled, renewedAtMs: nowMs }, "granted", getHeldTokens(settled), nowMs), renewal);
        }
        const expiresAtMs = Math.max(settled.expiresAtMs, nowMs + rules.leaseMs);
        const recallAnsweredAtMs = settled.isRecalled ? nowMs : settled.recallAnsweredAtMs;
        const renewed: Lease = {
            ...settled,
            renewedAtMs: nowMs,
            expiresAtMs,
            isRecalled: false,
            recalledSinceMs: undefined,
            recallAnsweredAtMs,
        };
        setLease(renewed);
        return commitCeiling(grantTokens(renewed, renewal, rules, settled.isRecalled, nowMs), renewal);
    }

    // Runs after the tokens of the renewal are granted, because the ceiling is at most what the lease may spend.
    function commitCeiling(grant: LeaseGrant, renewal: LeaseRenewal): LeaseGrant {
        const lease = checkDefined(leases.get(grant.leaseId), "a renewed lease exists");
        if (lease.ceilingTokens === undefined) return grant;
        const allowedTokens = Math.min(renewal.ceilingTokens ?? 0, lease.grantedTokens - lease.releasedTokens);
        const ceilingTokens = Math.max(lease.ceilingTokens, allowedTokens);
        if (ceilingTokens > lease.ceilingTokens) setLease({ ...lease, ceilingTokens });
        return { ...grant, ceilingTokens };
    }

    function createGrant(lease: Lease, outcome: LeaseOutcome, recallTokens: number, controlTimeMs: number): LeaseGrant {
        const { leaseId, grantedTokens, expiresAtMs } = lease;
        const { freeTokens } = createView(getAccount(lease.budget));
        return { leaseId, outcome, controlTimeMs, grantedTokens, expiresAtMs, recallTokens, freeTokens };
    }

    // A lease id is used only once, so that a delayed renewal cannot reopen a closed lease.
    function tryOpenLease(owner: LeaseOwner, renewal: LeaseRenewal, rules: LeaseRules | undefined, nowMs: number): Lease | undefined {
        const sequence = Number(renewal.leaseId.slice(owner.incarnation.length + 1));
        const highest = sequences.get(owner.incarnation)?.highest ?? 0;
        const isOwnLeaseId = renewal.leaseId === createLeaseId(owner.incarnation, sequence);
        if (rules === undefined || renewal.isClosing || !isOwnLeaseId || !(sequence > highest)) return undefined;
        deleteExpiredSequences(nowMs);
        sequences.set(owner.incarnation, { highest: sequence, seenAtMs: nowMs });
        return {
            leaseId: renewal.leaseId,
            budget: renewal.budget,
            vm: owner.vm,
            incarnation: owner.incarnation,
            state: "open",
            grantedTokens: 0,
            settledTokens: 0,
            settledByAgent: {},
            settledBeforeMs: 0,
            releasedTokens: 0,
            isDirect: renewal.isDirect === true,
            ceilingTokens: renewal.isDirect === true && renewal.ceilingTokens !== undefined ? 0 : undefined,
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

    // Totals never decrease, so lost, duplicated and reordered renewals are harmless.
    function applyRenewalTotals(lease: Lease, renewal: LeaseRenewal): Lease {
        const settled = applySettledTokens(lease, renewal.settledTokens);
        const maxReleasedTokens = settled.grantedTokens - settled.settledTokens;
        const releasedTokens = Math.max(lease.releasedTokens, Math.min(renewal.releasedTokens, maxReleasedTokens));
        const settledBeforeMs = Math.max(lease.settledBeforeMs, renewal.settledBeforeMs);
        return { ...settled, releasedTokens, settledBeforeMs };
    }

    // Settled tokens are capped at the granted tokens, whatever the entry or the agents report.
    function applySettledTokens(lease: Lease, added: Readonly<Record<Incarnation, number>>): Lease {
        const settledByAgent = mergeSettled(lease.settledByAgent, added);
        const settledTokens = Math.min(sumSettled(settledByAgent), lease.grantedTokens - lease.releasedTokens);
        return { ...lease, settledByAgent, settledTokens: Math.max(lease.settledTokens, settledTokens) };
    }

    function grantTokens(lease: Lease, renewal: LeaseRenewal, rules: LeaseRules, isRecalled: boolean, nowMs: number): LeaseGrant {
        const account = getAccount(lease.budget);
        const freeTokens = createView(account).freeTokens;
        const isStarving = renewal.starvingTokens > 0;
        if (isStarving && freeTokens < renewal.starvingTokens) return recallOrRefuse(lease, renewal, rules, freeTokens, nowMs);
        const isOtherStarving = account.starvingUntilMs > nowMs;
        const isReturnDue = isOtherStarving && !isStarving && isRecalled;
        const shareTokens = Math.floor(freeTokens * rules.maxGrantShare / account.leaseIds.size);
        const extraTokens = isOtherStarving ? 0 : Math.min(renewal.wantTokens, shareTokens);
        const newTokens = Math.min(freeTokens, renewal.starvingTokens + extraTokens);
        const granted = { ...lease, grantedTokens: lease.grantedTokens + newTokens };
        setLease(granted);
        return createGrant(granted, "granted", isReturnDue ? getHeldTokens(granted) : 0, nowMs);
    }

    // Called if too few tokens are free for a starving request. Recalls unreserved tokens of other leases if those can suffice.
    function recallOrRefuse(
        lease: Lease,
        renewal: LeaseRenewal,
        rules: LeaseRules,
        freeTokens: number,
        nowMs: number,
    ): LeaseGrant {
        const others = getAccountLeases(getAccount(lease.budget)).filter(other => other.leaseId !== lease.leaseId);
        // An entry that has not renewed within the timeout after a recall is considered lost or partitioned.
        const isReachable = (other: Lease) =>
            other.state === "open" && other.expiresAtMs >= nowMs && nowMs - (other.recalledSinceMs ?? nowMs) <= recallTimeoutMs;
        const reachable = others.filter(isReachable);
        // Of a lease whose entry is lost, what lies above its usage ceiling becomes free when the lease is recovered.
        const attainableTokens = others.reduce(
            (sum, other) => sum + (isReachable(other) ? getHeldTokens(other) : getRecoverableTokens(other)),
            getHeldTokens(lease) + freeTokens,
        );
        if (attainableTokens < renewal.starvingTokens || (!rules.isRecallEnabled && getHeldTokens(lease) === 0)) {
            return createGrant(lease, "exhausted", 0, nowMs);
        }
        if (rules.isRecallEnabled) {
            setAccount({ ...getAccount(lease.budget), starvingUntilMs: nowMs + starvationPeriodMs });
            for (const other of reachable.filter(candidate => mayReturnTokens(candidate, nowMs))) {
                setLease({ ...other, isRecalled: true, recalledSinceMs: other.recalledSinceMs ?? nowMs });
            }
        }
        return createGrant(lease, "recalling", 0, nowMs);
    }
}

// An entry returns all that it can with its answer to a recall. So soon afterwards it holds only what running requests need.
function mayReturnTokens(lease: Lease, nowMs: number): boolean {
    return !lease.isRecalled && getHeldTokens(lease) > 0 && nowMs - (lease.recallAnsweredAtMs ?? -Infinity) >= recallPauseMs;
}

function getRecoverableTokens(lease: Lease): number {
    const spendableTokens = getSpendableTokens(lease);
    return spendableTokens === undefined ? 0 : lease.grantedTokens - lease.releasedTokens - spendableTokens;
}

/** Tokens of all leases of one budget. */
interface LeaseSums {
    readonly settledTokens: number;
    /** Held by open leases. */
    readonly leasedTokens: number;
    /** Held by leases that are recovering or in doubt. */
    readonly inDoubtTokens: number;
}

const noSums: LeaseSums = { settledTokens: 0, leasedTokens: 0, inDoubtTokens: 0 };

function addToSums(sums: LeaseSums, lease: Lease | undefined, sign: 1 | -1): LeaseSums {
    if (lease === undefined) return sums;
    const heldTokens = sign * getHeldTokens(lease);
    return {
        settledTokens: sums.settledTokens + sign * lease.settledTokens,
        leasedTokens: sums.leasedTokens + (lease.state === "open" ? heldTokens : 0),
        inDoubtTokens: sums.inDoubtTokens + (lease.state === "open" ? 0 : heldTokens),
    };
}

/** Creates the id of an entry's lease. Sequence numbers start at 1 and are never reused. */
export function createLeaseId(incarnation: Incarnation, sequence: number): string {
    return `${incarnation}/${sequence}`;
}

function createRefusal(leaseId: string, outcome: LeaseOutcome, controlTimeMs: number): LeaseGrant {
    return { leaseId, outcome, controlTimeMs, grantedTokens: 0, expiresAtMs: 0, recallTokens: 0, freeTokens: 0 };
}

/**
 * Finds the client accounts that send more than their share to a saturated entry. The share of an account is an equal part of the capacity
 * or, within limits, the part that it usually uses. Once an account that sends much more has used its share, its requests are ranked lower,
 * by the number of shares that it sends. It then gets the capacity that other accounts leave unused.
 */

/** Demand and use of client accounts. Costs are expected processor times. */
export interface AccountShares {
    /** Records that a request of the account arrived. */
    recordDemand(account: string, costMs: number, nowMs: number): void;
    /** Records that a request of the account was dispatched after it had waited. */
    recordUse(account: string, costMs: number, nowMs: number): void;
    /** Number of ranks by which requests of the account are lowered: the shares that it sends once it has used its own. Zero otherwise. */
    getExcessShares(account: string, nowMs: number): number;
    /** The account that sends most lately, in shares. Undefined if there was none. */
    findLargest(nowMs: number): AccountDemand | undefined;
}

/** Recent demand of one account. */
export interface AccountDemand {
    readonly account: string;
    readonly shares: number;
}

/** Exponentially decayed sums by account, and their total. */
interface DecayingSums {
    add(account: string, value: number, nowMs: number): void;
    /** Part of the account in the sum of all, from 0 to 1. */
    getPart(account: string, nowMs: number): number;
    countAccounts(): number;
    listAccounts(): Iterable<string>;
}

interface Sum {
    readonly value: number;
    readonly atMs: number;
}

/** Shorter than the deadlines of most requests, so that an account is back at its rank soon after its burst. */
const recentHalfLifeMs = 2_000;
/** Long enough that a burst does not become usual while it lasts. */
const usualHalfLifeMs = 30_000;
/** Below this the demand of an account is within the variation of requests that arrive at random. */
const minExcessShares = 1.6;
/** Equal parts up to which the usual demand of an account raises its share. */
const maxUsualParts = 3;
/** An account counts in the division of the capacity until its decayed demand has fallen below this. */
const minSumMs = 0.5;
const maxAccounts = 5_000;

/** Creates shares without any demand. */
export function createAccountShares(): AccountShares {
    const recentDemand = createDecayingSums(recentHalfLifeMs);
    /** Usual part of each account in the demand, in the order of the last change. It begins at zero. */
    const usualParts = new Map<string, Sum>();
    const recentUse = createDecayingSums(recentHalfLifeMs);
    return {
        recordDemand(account, costMs, nowMs) {
            recentDemand.add(account, costMs, nowMs);
            updateUsualPart(account, nowMs);
        },
        recordUse: recentUse.add,
        getExcessShares(account, nowMs) {
            const share = getShare(account);
            const sentShares = recentDemand.getPart(account, nowMs) / share;
            if (sentShares < minExcessShares || recentUse.getPart(account, nowMs) < share) return 0;
            return Math.floor(sentShares);
        },
        findLargest(nowMs) {
            let largest: AccountDemand | undefined;
            for (const account of recentDemand.listAccounts()) {
                const shares = recentDemand.getPart(account, nowMs) / getShare(account);
                if (shares > (largest?.shares ?? 0)) largest = { account, shares };
            }
            return largest;
        },
    };

    function getShare(account: string): number {
        const equalPart = 1 / Math.max(1, recentDemand.countAccounts());
        return Math.max(equalPart, Math.min(usualParts.get(account)?.value ?? 0, maxUsualParts * equalPart));
    }

    function updateUsualPart(account: string, nowMs: number): void {
        const { value, atMs } = usualParts.get(account) ?? { value: 0, atMs: nowMs };
        const weight = 1 - 2 ** ((atMs - nowMs) / usualHalfLifeMs);
        usualParts.delete(account);
        usualParts.set(account, { value: value + (recentDemand.getPart(account, nowMs) - value) * weight, atMs: nowMs });
        if (usualParts.size > maxAccounts) usualParts.delete(usualParts.keys().next().value!);
    }
}

function createDecayingSums(halfLifeMs: number): DecayingSums {
    /** In the order of the last change. */
    const sums = new Map<string, Sum>();
    let total: Sum = { value: 0, atMs: 0 };
    return {
        add(account, value, nowMs) {
            const before = sums.get(account);
            sums.delete(account);
            sums.set(account, { value: decay(before, nowMs) + value, atMs: nowMs });
            total = { value: decay(total, nowMs) + value, atMs: nowMs };
            dropOld(nowMs);
        },
        getPart(account, nowMs) {
            const totalValue = decay(total, nowMs);
            return totalValue < minSumMs ? 0 : decay(sums.get(account), nowMs) / totalValue;
        },
        countAccounts: () => sums.size,
        listAccounts: () => sums.keys(),
    };

    function dropOld(nowMs: number): void {
        for (const [account, sum] of sums) {
            if (sums.size <= maxAccounts && decay(sum, nowMs) >= minSumMs) return;
            sums.delete(account);
        }
    }

    function decay(sum: Sum | undefined, nowMs: number): number {
        return sum === undefined ? 0 : sum.value * 2 ** ((sum.atMs - nowMs) / halfLifeMs);
    }
}

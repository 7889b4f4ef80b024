/** Processor time of the ledger per renewed lease, over the number of entries that hold a lease on each budget. */
import { createLedger } from "../src/control/plugins/budgets/ledger.js";
import type { Ledger } from "../src/control/plugins/budgets/ledger.js";
import type { LeaseRules } from "../src/control/plugins/budgets/types.js";
import type { LeaseRenewal } from "../src/kernel/messages.js";

const entryCounts = [8, 22, 68, 300] as const;
const budgetCount = 40;
const rounds = 10;
const tokensPerBudget = 1e12;
const rules: LeaseRules = { leaseMs: 300_000, maxGrantShare: 0.1, isRecallEnabled: true };

/** Time of one renewal, in microseconds. */
export interface LedgerSlope {
    readonly entries: number;
    /** A renewal that settles tokens. */
    readonly settleUs: number;
    /** A renewal of an entry that starves while the tokens that it needs are held by others. */
    readonly starveUs: number;
}

/** Measures all numbers of entries. */
export async function measureLedger(): Promise<{ readonly slopes: readonly LedgerSlope[]; }> {
    return { slopes: entryCounts.map(measureSize) };
}

function measureSize(entries: number): LedgerSlope {
    const ledger = createLedger();
    for (let budget = 0; budget < budgetCount; budget++) ledger.setPrepaid(getBudget(budget), tokensPerBudget);
    renewAll(ledger, entries, 0, 0);
    const settleUs = measure(rounds * entries * budgetCount, () => {
        for (let round = 1; round <= rounds; round++) renewAll(ledger, entries, round, 0);
    });
    const starveUs = measure(entries * budgetCount, () => renewAll(ledger, entries, rounds + 1, tokensPerBudget / 10));
    return { entries, settleUs, starveUs };
}

function renewAll(ledger: Ledger, entries: number, round: number, starvingTokens: number): void {
    for (let entry = 0; entry < entries; entry++) {
        const incarnation = `e${entry}`;
        for (let budget = 0; budget < budgetCount; budget++) {
            const renewal: LeaseRenewal = {
                leaseId: `${incarnation}/${budget + 1}`,
                budget: getBudget(budget),
                settledTokens: { direct: round * 10 },
                settledBeforeMs: 0,
                releasedTokens: 0,
                // The first round leaves too little for a request that starves.
                wantTokens: round === 0 ? tokensPerBudget : 0,
                starvingTokens,
                isClosing: false,
                isDirect: true,
            };
            ledger.renew({ vm: incarnation, incarnation }, renewal, { ...rules, maxGrantShare: 1 }, round * 100);
        }
    }
}

function getBudget(budget: number): string {
    return `budget-${budget}`;
}

function measure(operations: number, run: () => void): number {
    const startedAtMs = performance.now();
    run();
    return Math.round((performance.now() - startedAtMs) * 10_000 / operations) / 10;
}

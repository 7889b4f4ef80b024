/** Costs and sums of the ledger while many entries hold leases on one budget. */
import { test } from "tap";
import { createLedger } from "../src/control/plugins/budgets/ledger.js";
import type { Ledger } from "../src/control/plugins/budgets/ledger.js";
import { getHeldTokens } from "../src/control/plugins/budgets/types.js";
import type { LeaseRules } from "../src/control/plugins/budgets/types.js";
import type { LeaseRenewal } from "../src/kernel/messages.js";

const budget = "budget";
const rules: LeaseRules = { leaseMs: 300_000, maxGrantShare: 1, isRecallEnabled: true };

function renew(ledger: Ledger, entry: number, nowMs: number, changes: Partial<LeaseRenewal>) {
    const incarnation = `e${entry}`;
    const renewal: LeaseRenewal = {
        leaseId: `${incarnation}/1`,
        budget,
        settledTokens: {},
        settledBeforeMs: 0,
        releasedTokens: 0,
        wantTokens: 0,
        starvingTokens: 0,
        isClosing: false,
        isDirect: true,
        ...changes,
    };
    return ledger.renew({ vm: incarnation, incarnation }, renewal, rules, nowMs);
}

function countRecalled(ledger: Ledger, entries: number): number {
    return Array.from({ length: entries }, (_, entry) => ledger.listRecalledBudgets(`e${entry}`).length).reduce(
        (sum, count) => sum + count,
        0,
    );
}

function sumHeldTokens(ledger: Ledger): number {
    return [...ledger.listLeases()].reduce((sum, lease) => sum + getHeldTokens(lease), 0);
}

test("the sums of a budget are those of its leases after each change and after a snapshot", t => {
    const ledger = createLedger();
    ledger.setPrepaid(budget, 10_000);
    for (let entry = 0; entry < 20; entry++) renew(ledger, entry, entry, { wantTokens: 100 + entry * 37 });
    for (let entry = 0; entry < 20; entry += 2) {
        renew(ledger, entry, 100 + entry, { settledTokens: { direct: 10 + entry }, releasedTokens: entry });
    }
    for (let entry = 0; entry < 20; entry += 5) renew(ledger, entry, 200, { isClosing: true });
    ledger.beginRecovery("e1/1", true, 300);
    const restored = createLedger();
    restored.load(structuredClone(ledger.save()));
    for (const current of [ledger, restored]) {
        const view = current.getView(budget)!;
        t.equal(view.leasedTokens + view.inDoubtTokens, sumHeldTokens(current));
        t.ok(view.inDoubtTokens > 0);
        t.equal(view.toppedUpTokens, view.settledTokens + view.leasedTokens + view.inDoubtTokens + view.freeTokens);
    }
    t.same(restored.getView(budget), ledger.getView(budget));
    t.end();
});

test("entries that have answered a recall are not asked again at once, however often others starve", t => {
    const entries = 68;
    const ledger = createLedger();
    ledger.setPrepaid(budget, 68_000);
    for (let entry = 0; entry < entries; entry++) renew(ledger, entry, 0, { starvingTokens: 1_000 });
    let asked = 0;
    for (let nowMs = 1_000; nowMs < 2_000; nowMs += 40) {
        t.equal(renew(ledger, nowMs % entries, nowMs, { starvingTokens: 5_000 }).outcome, "recalling");
        for (let entry = 0; entry < entries; entry++) {
            if (ledger.listRecalledBudgets(`e${entry}`).length === 0) continue;
            asked++;
            renew(ledger, entry, nowMs, {});
        }
    }
    t.ok(asked <= entries * 4, `${asked} calls in a second`);
    t.equal(countRecalled(ledger, entries), 0);
    t.end();
});

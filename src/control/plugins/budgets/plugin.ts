/** The budget plug-in: commands and queries on the ledger. */
import type { KeyedUsage } from "../../../kernel/messages.js";
import type { ObjectIndex } from "../../../kernel/objects.js";
import type { ControlPlugin } from "../../../kernel/registry.js";
import type { AuditWriter } from "../audit.js";
import { createLedger } from "./ledger.js";
import type { Ledger } from "./ledger.js";
import { getHeldTokens, leaseRules } from "./types.js";
import type { Lease, LeaseRules } from "./types.js";

/** Dependencies of the budget plug-in. */
export interface BudgetsOptions {
    readonly audit: AuditWriter;
    readonly getObjects: () => ObjectIndex;
    /** Bills the finished keyed requests of a recovered lease. Returns the tokens billed, without those billed to another attempt. */
    readonly billRecovered: (uses: readonly KeyedUsage[], nowMs: number) => number;
    readonly rules?: typeof leaseRules;
}

/** The plug-in and its ledger. */
export interface Budgets {
    readonly plugin: ControlPlugin;
    readonly ledger: Ledger;
}

/** Creates the budget plug-in. */
export function createBudgets(options: BudgetsOptions): Budgets {
    const ledger = createLedger();
    const rulesByPreference = options.rules ?? leaseRules;

    // A write-off settles all held tokens as spent, so that tokens that may have been used cannot be spent again.
    const closeActions: Readonly<Record<"close" | "hold" | "writeOff", (lease: Lease, spent: Readonly<Record<string, number>>) => void>> = {
        close: (lease, spent) => void ledger.closeRecovered(lease.leaseId, spent),
        hold: (lease, spent) => void ledger.holdInDoubt(lease.leaseId, spent),
        writeOff: (lease, spent) => void ledger.writeOff(lease.leaseId, spent),
    };

    const plugin: ControlPlugin = {
        name: "budgets",
        commands: {
            "budgets.topUp": ({ budget, tokens, actor }, context) => {
                const isKnown = options.getObjects().get("budget", budget) !== undefined;
                const toppedUpTokens = isKnown ? ledger.topUp(budget, tokens) : 0;
                const outcome = isKnown ? "accepted" : "unknown budget";
                options.audit(context, {
                    actor,
                    action: "topUp",
                    outcome,
                    detail: `${budget}: ${tokens} tokens`,
                    content: { budget, tokens },
                });
                return { isKnown, toppedUpTokens };
            },
            "budgets.release": ({ leaseId, spentTokens, actor }, context) => {
                const isKnown = ledger.closeWithSpentTokens(leaseId, spentTokens);
                const outcome = isKnown ? "accepted" : "not in doubt";
                options.audit(context, { actor, action: "release", outcome, detail: `${leaseId}: ${spentTokens} spent`, content: leaseId });
                return { isKnown };
            },
            "leases.renew": ({ vm, incarnation, leases }, { nowMs }) => {
                return { grants: leases.map(renewal => ledger.renew({ vm, incarnation }, renewal, getRules(renewal.budget), nowMs)) };
            },
            "leases.beginRecovery": ({ leaseId, isSuperseded }, { nowMs }) => ({
                isRecovering: ledger.beginRecovery(leaseId, isSuperseded, nowMs),
            }),
            "leases.closeAtCeiling": ({ leases }, context) => {
                const known = leases.map(({ leaseId }) => ledger.getLease(leaseId));
                const closed = leases.filter(({ leaseId, isSuperseded }) => ledger.closeAtCeiling(leaseId, isSuperseded, context.nowMs));
                if (closed.length === 0) return { closedCount: 0 };
                const vms = new Set(known.map(lease => lease?.vm).filter(vm => vm !== undefined));
                options.audit(context, {
                    actor: "control",
                    action: "recoverLeases",
                    outcome: "closeAtCeiling",
                    detail: `${closed.length} leases of ${[...vms].join(", ")}`,
                    content: { leaseIds: closed.map(({ leaseId }) => leaseId) },
                });
                return { closedCount: closed.length };
            },
            "leases.finishRecovery": ({ leaseId, isUseLost, uses }, context) => {
                const lease = ledger.getLease(leaseId);
                if (lease?.state !== "recovering") return { isClosed: lease === undefined };
                const spent = Object.fromEntries(uses.map(use => [
                    use.incarnation,
                    use.finishedTokens + options.billRecovered(use.keyed, context.nowMs),
                ]));
                const outcome = isUseLost || lease.isDirect ? getLostWorkPolicy(lease.budget) : "close";
                closeActions[outcome](lease, spent);
                options.audit(context, {
                    actor: "control",
                    action: "recoverLease",
                    outcome,
                    detail: `${lease.budget}: lease of ${lease.vm}`,
                    content: { leaseId, uses },
                });
                return { isClosed: outcome !== "hold" };
            },
        },
        queries: {
            "budgets.list": () => ({ budgets: ledger.listViews() }),
            "budgets.show": ({ budget }) => ({ budget: ledger.getView(budget) ?? createEmptyView(budget) }),
            "leases.list": () => ({
                leases: [...ledger.listLeases()].map(lease => ({
                    leaseId: lease.leaseId,
                    budget: lease.budget,
                    vm: lease.vm,
                    incarnation: lease.incarnation,
                    state: lease.state,
                    heldTokens: getHeldTokens(lease),
                    settledTokens: lease.settledTokens,
                    expiresAtMs: lease.expiresAtMs,
                })),
            }),
        },
        sections: [{ name: "budgets", save: ledger.save, load: ledger.load }],
    };
    return { plugin, ledger };

    function getRules(budget: string): LeaseRules | undefined {
        const objects = options.getObjects();
        const object = objects.get("budget", budget);
        const policy = object === undefined ? undefined : objects.get("policy", object.policy);
        return policy === undefined ? undefined : rulesByPreference[policy.weighsMore];
    }

    function getLostWorkPolicy(budget: string): "hold" | "writeOff" {
        const objects = options.getObjects();
        const object = objects.get("budget", budget);
        return (object === undefined ? undefined : objects.get("policy", object.policy))?.lostWork ?? "hold";
    }

    function createEmptyView(budget: string) {
        if (options.getObjects().get("budget", budget) === undefined) return undefined;
        return { budget, toppedUpTokens: 0, settledTokens: 0, leasedTokens: 0, inDoubtTokens: 0, freeTokens: 0, writtenOffTokens: 0 };
    }
}

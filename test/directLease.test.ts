/** Leases of entries that dispatch without agents. When such an entry dies, no agent can report which requests it had started. */
import { test } from "tap";
import { createControlState } from "../src/control/plugins/index.js";
import type { CommandInputs, CommandKind, CommandResults } from "../src/kernel/messages.js";
import { createRegistry } from "../src/kernel/registry.js";

function createLedgerState() {
    const registry = createRegistry();
    const state = createControlState(plugin => registry.register(plugin), registry);
    let index = 0;
    const apply = <K extends CommandKind>(kind: K, input: CommandInputs[K], nowMs = 0) =>
        registry.apply(kind, input, { index: ++index, term: 1, nowMs, wallMs: 0, operationId: `o${index}` }) as CommandResults[K];
    return {
        state,
        apply,
        replace: (version: number, prepaidTokens: number) => apply("configuration.replace", createInput(version, prepaidTokens)),
    };
}

function createInput(operatorVersion: number, prepaidTokens: number): CommandInputs["configuration.replace"] {
    const policy = {
        kind: "policy",
        name: "p",
        weighsMore: "overspend",
        maxConcurrentRequests: 1,
        requestsPerSecond: 1,
        burstRequests: 1,
        lostWork: "writeOff",
    };
    const account = { kind: "clientAccount", name: "acme", keyDigests: [], budget: "acme", policy: "p" };
    const budget = { kind: "budget", name: "acme", clientAccounts: ["acme"], policy: "p", prepaidTokens };
    return { operatorVersion, objects: [policy, account, budget], document: "{}", actor: "test" };
}

function createRenewal(starvingTokens: number, settledTokens: number) {
    return {
        leaseId: "i/1",
        budget: "acme",
        settledTokens: { direct: settledTokens },
        settledBeforeMs: 0,
        releasedTokens: 0,
        wantTokens: 0,
        starvingTokens,
        isClosing: false,
        isDirect: true,
    };
}

test("unsettled tokens of a dead entry count as spent", t => {
    const { state, apply, replace } = createLedgerState();
    replace(1, 1_000);
    apply("leases.renew", { vm: "e", incarnation: "i", leases: [createRenewal(400, 0)] });
    apply("leases.renew", { vm: "e", incarnation: "i", leases: [createRenewal(0, 100)] });
    const afterExpiryMs = 10_000_000;
    apply("leases.beginRecovery", { leaseId: "i/1", isSuperseded: false }, afterExpiryMs);
    apply("leases.finishRecovery", { leaseId: "i/1", isUseLost: false, uses: [] }, afterExpiryMs);
    t.match(state.ledger.getView("acme"), { settledTokens: 400, freeTokens: 600, writtenOffTokens: 300 });
    t.end();
});

test("a lowered total grants no further tokens and keeps existing leases", t => {
    const { state, apply, replace } = createLedgerState();
    replace(1, 1_000);
    apply("leases.renew", { vm: "e", incarnation: "i", leases: [createRenewal(800, 0)] });
    replace(2, 300);
    t.match(state.ledger.getView("acme"), { toppedUpTokens: 300, leasedTokens: 800, freeTokens: 0 });
    const { grants } = apply("leases.renew", { vm: "e", incarnation: "i", leases: [createRenewal(50, 700)] });
    t.equal(grants[0]!.grantedTokens, 800);
    replace(3, 2_000);
    t.match(state.ledger.getView("acme"), { freeTokens: 1_200 });
    t.end();
});

/**
 * The replicated state machine. It dispatches log entries to the command handlers of the plug-ins and stores the results
 * of operations, so that an operation resent after a lost response returns the original result.
 */
import { getDigest } from "../kernel/digest.js";
import type { CommandKind } from "../kernel/messages.js";
import type { ApplyContext, Registry } from "../kernel/registry.js";
import type { StateMachine } from "./log/replicaTypes.js";

/** Result of an applied command, returned to its proposer. */
export type ApplyOutcome =
    | { readonly kind: "ok"; readonly result: unknown; readonly index: number; readonly controlTimeMs: number; }
    /** The operation id was used before for another command. */
    | { readonly kind: "operationConflict"; };

type Retention = "none" | "short" | "long";

/** How long the result of each command is kept. Commands that carry cumulative totals are idempotent and need none. */
const retentionByCommand: Readonly<Record<CommandKind, Retention>> = {
    "configuration.apply": "none",
    "configuration.replace": "none",
    "budgets.topUp": "long",
    "budgets.release": "long",
    "leases.renew": "none",
    "leases.beginRecovery": "none",
    "leases.closeAtCeiling": "none",
    "leases.finishRecovery": "none",
    "claims.open": "none",
    "claims.finish": "none",
    "claims.release": "none",
    "fleet.announceAgent": "none",
    "fleet.announceEntry": "none",
    "fleet.leave": "none",
    "fleet.markLost": "none",
    "fleet.markPresent": "none",
    "fleet.drain": "short",
    "quarantine.report": "short",
    "quarantine.exonerate": "none",
    "quarantine.requestTrial": "short",
    "quarantine.exonerateParts": "none",
    "quarantine.clear": "short",
    "evacuations.set": "none",
    "leavingServers.record": "none",
    "orders.plan": "none",
    "orders.done": "none",
};

/** Retention of results, in control time. */
const retentionMs: Readonly<Record<Exclude<Retention, "none">, number>> = {
    short: 10 * 60_000,
    long: 30 * 24 * 3_600_000,
};

interface StoredResult {
    readonly digest: string;
    readonly outcome: ApplyOutcome;
    readonly appliedAtMs: number;
}

type StoredResults = Map<string, StoredResult>;

/** Creates a state machine that applies commands through the registry. */
export function createStateMachine(registry: Registry): StateMachine {
    const storedResults: Record<Exclude<Retention, "none">, StoredResults> = { short: new Map(), long: new Map() };
    return {
        apply(entry, context): ApplyOutcome {
            const kind = entry.command as CommandKind;
            const retention = retentionByCommand[kind];
            if (retention === "none") return applyCommand(kind, entry.input, context);
            const results = storedResults[retention];
            deleteExpiredResults(results, context.nowMs - retentionMs[retention]);
            const digest = getDigest([kind, entry.input]);
            const previous = results.get(entry.operationId);
            if (previous !== undefined) return previous.digest === digest ? previous.outcome : { kind: "operationConflict" };
            const outcome = applyCommand(kind, entry.input, context);
            results.set(entry.operationId, { digest, outcome, appliedAtMs: context.nowMs });
            return outcome;
        },
        save: () => ({ sections: registry.saveSections(), short: [...storedResults.short], long: [...storedResults.long] }),
        load(state) {
            const saved = state as { sections: Record<string, unknown>; short: [string, StoredResult][]; long: [string, StoredResult][]; };
            registry.loadSections(saved.sections);
            storedResults.short = new Map(saved.short);
            storedResults.long = new Map(saved.long);
        },
    };

    function applyCommand(kind: CommandKind, input: unknown, context: ApplyContext): ApplyOutcome {
        return { kind: "ok", result: registry.apply(kind, input, context), index: context.index, controlTimeMs: context.nowMs };
    }
}

// The map is in order of application, so the oldest results come first.
function deleteExpiredResults(results: StoredResults, cutoffMs: number): void {
    for (const [operationId, result] of results) {
        if (result.appliedAtMs >= cutoffMs) return;
        results.delete(operationId);
    }
}

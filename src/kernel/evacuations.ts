/** How an evacuation order is derived from the state that a quorum has confirmed. */
import type { ControlStatus } from "./contracts.js";
import type { ControlClient, ControlOutcome } from "./controlClient.js";
import { getDigest } from "./digest.js";
import type { EvacuationList, EvacuationOutcome, EvacuationPhase } from "./evacuationMessages.js";
import type { Clock } from "./host.js";

/** An order of an operator. */
export interface EvacuationRequest {
    readonly failureDomain: string;
    readonly phase: EvacuationPhase;
    readonly actor: string;
    /** True if the failure domain is known to exist. One that was evacuated before is known in any case. */
    readonly isKnownDomain: boolean;
}

/** Result of an order. `unknownDomain`: the order had no effect and never will. `unreachable`: its outcome is not known. */
export type EvacuationResult = EvacuationOutcome | "unknownDomain" | "unreachable";

/** Options of an order. */
export interface EvacuationCallOptions {
    readonly clock: Clock;
    readonly deadlineMs: number;
    /** Aborted when nobody waits for the result any longer. */
    readonly signal: AbortSignal;
}

/**
 * Carries out an order. The state is read before the order is submitted, and the order has an effect only on this state. So a copy of it
 * that is delayed on its way cannot undo a later order.
 */
export async function orderEvacuation(
    control: Pick<ControlClient, "query" | "submit">,
    request: EvacuationRequest,
    { clock, deadlineMs, signal }: EvacuationCallOptions,
): Promise<EvacuationResult> {
    const { failureDomain, phase, actor } = request;
    const list = await control.query("evacuations.list", {}, { timeoutMs: deadlineMs - clock.nowMs() });
    if (list.kind !== "done") return "unreachable";
    const baseIndex = getBaseIndex(list.result, failureDomain);
    if (baseIndex === 0 && !request.isKnownDomain) return "unknownDomain";
    if (baseIndex === 0 && phase === "finish") return "neverEvacuated";
    if (isInForce(list.result, request)) return "repeated";
    if (signal.aborted) return "unreachable";
    // All copies of an order on the same state have one operation id, so that those which are pending together make one log entry.
    const operationId = `evacuation/${getDigest([failureDomain, phase, baseIndex, actor])}`;
    const input = { failureDomain, phase, baseIndex, actor };
    const outcome: ControlOutcome<{ readonly outcome: EvacuationOutcome; }> = await control.submit("evacuations.set", input, {
        timeoutMs: deadlineMs - clock.nowMs(),
        operationId,
    });
    return outcome.kind === "done" ? outcome.result.outcome : "unreachable";
}

/** Returns the `baseIndex` of an order on a list. */
export function getBaseIndex(list: EvacuationList, failureDomain: string): number {
    return list.records.find(record => record.failureDomain === failureDomain)?.changeIndex ?? 0;
}

function isInForce(list: EvacuationList, { failureDomain, phase }: EvacuationRequest): boolean {
    return list.records.some(record => record.failureDomain === failureDomain && record.isEvacuated === (phase === "begin"));
}

/** Evacuation of a failure domain, as shown to operators. */
export interface EvacuationStatus {
    readonly failureDomain: string;
    readonly since: string;
    readonly actor: string;
    /** Entries that have not confirmed that they keep to it. */
    readonly unconfirmedEntries: readonly string[];
}

/** Lists the evacuations in force and the entries that have not confirmed them. */
export function listEvacuationStatus({ evacuations, vms }: Pick<ControlStatus, "evacuations" | "vms">): readonly EvacuationStatus[] {
    const entries = vms.filter(vm => vm.role === "entry");
    return (evacuations?.records ?? []).filter(record => record.isEvacuated).map(record => ({
        failureDomain: record.failureDomain,
        since: new Date(record.changedAtWallMs).toISOString(),
        actor: record.actor,
        unconfirmedEntries: entries.filter(entry => (entry.evacuationsIndex ?? 0) < record.changeIndex).map(entry => entry.vm),
    }));
}

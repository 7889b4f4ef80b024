/** Messages about evacuations of failure domains: the order of an operator, and what control publishes. */
import { z } from "zod";

const boundedString = z.string().min(1).max(200);

/** An order to evacuate a failure domain, or to end its evacuation. */
export const evacuationOrderSchema = z.object({
    failureDomain: boundedString,
    phase: z.enum(["begin", "finish"]),
    /**
     * `changeIndex` of the failure domain's record when the order was received, zero without a record. A copy of the order that arrives
     * after a later order has no effect.
     */
    baseIndex: z.number().int().nonnegative(),
    actor: boundedString,
});
/** An order to evacuate a failure domain, or to end its evacuation. */
export type EvacuationOrder = Readonly<z.infer<typeof evacuationOrderSchema>>;

/** What an order asks for. */
export type EvacuationPhase = EvacuationOrder["phase"];

/**
 * Outcome of an evacuation order. `repeated`: the order was in force already. `neverEvacuated`: an order to finish what never began.
 * `outdated`: another order changed the failure domain after the sender had read its state. Only `changed` has an effect.
 */
export type EvacuationOutcome = "changed" | "repeated" | "neverEvacuated" | "outdated";

/** The last evacuation of one failure domain. The record remains after the end, so that a repeated order to finish is recognized. */
export interface EvacuationRecord {
    readonly failureDomain: string;
    readonly isEvacuated: boolean;
    /** Log index of the order that began or ended the evacuation. */
    readonly changeIndex: number;
    /** Control time of that order, and the wall clock time for display. */
    readonly changedAtMs: number;
    readonly changedAtWallMs: number;
    readonly actor: string;
}

/** The evacuations of all failure domains. */
export interface EvacuationList {
    /** Log index of the latest change. Zero if there was none. Of two lists, the one with the higher index is newer. */
    readonly changeIndex: number;
    readonly records: readonly EvacuationRecord[];
}

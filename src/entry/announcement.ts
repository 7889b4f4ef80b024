/** Announces a direct entry to control, which then closes the leases of earlier incarnations on the same VM. */
import type { ControlClient } from "../kernel/controlClient.js";
import type { Host, Logger } from "../kernel/host.js";
import { sleep } from "../kernel/tasks.js";
import type { Incarnation, ProcessIdentity } from "../kernel/types.js";

const callTimeoutMs = 1_000;
const retryMs = 200;

/** Options of an announcement. */
export interface AnnouncementOptions {
    readonly identity: ProcessIdentity;
    readonly control: ControlClient;
    readonly log: Logger;
}

/**
 * Announces the entry, and repeats both calls until control answers. Control first lists the earlier incarnations, and the announcement
 * supersedes only those: the ids have no order, and an announcement may arrive after that of a newer incarnation.
 */
export async function announceDirectEntry(host: Host, options: AnnouncementOptions, signal: AbortSignal): Promise<void> {
    const { identity: { vm, failureDomain, incarnation, address }, control, log } = options;
    while (!signal.aborted) {
        const replaces = await listPredecessors();
        const entry = { vm, failureDomain, incarnation, address, replaces };
        const isDone = replaces !== undefined
            && (await control.submit("fleet.announceEntry", { entry }, { timeoutMs: callTimeoutMs })).kind === "done";
        if (isDone) return log.info("The entry was announced to control.", { replaces: replaces.length });
        await sleep(host.timers, retryMs, signal);
    }

    // Includes incarnations that hold leases but have not announced themselves.
    async function listPredecessors(): Promise<readonly Incarnation[] | undefined> {
        const listed = await control.query("fleet.list", { vm }, { timeoutMs: callTimeoutMs });
        if (listed.kind !== "done") return undefined;
        const { entries, leaseHolders = [] } = listed.result;
        const announced = entries.filter(other => other.vm === vm).map(other => other.incarnation);
        return [...new Set([...announced, ...leaseHolders])].filter(other => other !== incarnation);
    }
}

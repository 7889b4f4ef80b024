/**
 * Ends the disk failure of a replica. A failed write tells nothing about the disk later on, so the replica tries another one by itself:
 * if it waited for a leader to write something, a group in which each voter has had a full disk would never elect one.
 */
import { getErrorText, sleep } from "../../kernel/tasks.js";
import type { ReplicaCore } from "./replicaTypes.js";

/** Writes at intervals while the disk counts as failed. Returns when the replica stops. */
export async function runDiskCheck(core: ReplicaCore): Promise<void> {
    const { host, options, state, stopSignal } = core;
    const log = host.createLogger("log");
    // Shorter than the time without a leader that makes a voter campaign.
    const intervalMs = options.timing.electionTimeoutMs / 2;
    while (!stopSignal.aborted) {
        await sleep(host.timers, intervalMs, stopSignal);
        if (state.hasDiskFailed) await core.runExclusive(tryWrite);
    }

    async function tryWrite(): Promise<void> {
        try {
            await options.store.checkWritable();
        }
        catch (error) {
            log.debug("The data folder still refuses writes.", { detail: getErrorText(error) });
            return;
        }
        state.hasDiskFailed = false;
        log.info("The data folder can be written to again.");
    }
}

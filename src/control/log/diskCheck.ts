/**
 * Ends the disk failure of a replica. A failed write tells nothing about the disk later on, so the replica tries another one by itself:
 * if it waited for a leader to write something, a group in which each voter has had a full disk would never elect one.
 *
 * Also finds the disk failure of a follower that has nothing to write. Otherwise it would count as able to store until it is needed.
 */
import { getErrorText, sleep } from "../../kernel/tasks.js";
import type { ReplicaCore } from "./replicaTypes.js";

/** A follower whose log has not grown for this long writes to find out whether it could. */
const idleCheckMs = 5_000;

/** Writes at intervals while the disk counts as failed. Returns when the replica stops. */
export async function runDiskCheck(core: ReplicaCore): Promise<void> {
    const { host, options, state, stopSignal } = core;
    const log = host.createLogger("log");
    // Shorter than the time without a leader that makes a voter campaign.
    const intervalMs = options.timing.electionTimeoutMs / 2;
    let known = { durableIndex: options.store.durableIndex, atMs: host.clock.nowMs() };
    while (!stopSignal.aborted) {
        await sleep(host.timers, intervalMs, stopSignal);
        if (state.hasDiskFailed || isIdle(host.clock.nowMs())) await core.runExclusive(tryWrite);
    }

    // A leader that waits for its disk could not step down, and finds a failure with its next entry.
    function isIdle(nowMs: number): boolean {
        const { durableIndex } = options.store;
        if (durableIndex !== known.durableIndex) known = { durableIndex, atMs: nowMs };
        return state.role === "follower" && nowMs - known.atMs >= idleCheckMs;
    }

    async function tryWrite(): Promise<void> {
        try {
            await options.store.checkWritable();
        }
        catch (error) {
            if (state.hasDiskFailed) log.debug("The data folder still refuses writes.", { detail: getErrorText(error) });
            else core.handleDiskError(error);
            return;
        }
        known = { durableIndex: options.store.durableIndex, atMs: host.clock.nowMs() };
        if (!state.hasDiskFailed) return;
        state.hasDiskFailed = false;
        log.info("The data folder can be written to again.");
    }
}

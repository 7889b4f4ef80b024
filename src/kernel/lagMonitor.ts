/** Measures by how much a process is behind its own timers, which tells that it is short of processor time or was frozen. */
import type { Clock, Logger, Timers } from "./host.js";

/** The lag of one process. */
export interface LagMonitor {
    /** Lateness of the last tick, or of the one that is due. */
    getLagMs(): number;
    start(signal: AbortSignal): void;
}

const tickMs = 100;
const warnAboveMs = 250;

/** Creates a monitor. Each tick that is late beyond a bound is logged. */
export function createLagMonitor(host: { readonly clock: Clock; readonly timers: Timers; }, log: Logger): LagMonitor {
    let dueAtMs = Infinity;
    let lastLagMs = 0;
    return {
        getLagMs: () => Math.max(lastLagMs, host.clock.nowMs() - dueAtMs),
        start: schedule,
    };

    function schedule(signal: AbortSignal): void {
        dueAtMs = host.clock.nowMs() + tickMs;
        const cancel = host.timers.after(tickMs, () => {
            signal.removeEventListener("abort", cancel);
            lastLagMs = Math.max(0, host.clock.nowMs() - dueAtMs);
            if (lastLagMs > warnAboveMs) log.warn("The process is behind.", { lagMs: Math.round(lastLagMs) });
            if (!signal.aborted) schedule(signal);
        });
        signal.addEventListener("abort", cancel);
    }
}

/** Measures how late a process's timers fire. Late timers show that the process lacks CPU time or was suspended. */
import type { Clock, Logger, Timers } from "./host.js";

/** Lag of the timers of one process. */
export interface LagMonitor {
    /** Returns the lag of the previous tick or, if it is larger, that of an overdue next one. */
    getLagMs(): number;
    start(signal: AbortSignal): void;
}

const tickMs = 100;
const warningThresholdMs = 250;

/** Creates a monitor. It logs a warning for each tick whose lag exceeds the threshold. */
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
            if (lastLagMs > warningThresholdMs) log.warn("Timers are firing late.", { lagMs: Math.round(lastLagMs) });
            if (!signal.aborted) schedule(signal);
        });
        signal.addEventListener("abort", cancel);
    }
}

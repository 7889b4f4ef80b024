/** Warnings about clients, who may cause any number of them. */
import type { Clock, LogFields, Logger } from "./host.js";

/** Writes warnings, and leaves out those that follow too soon. */
export interface LimitedLog {
    warn(message: string, fields: LogFields): void;
}

const intervalMs = 1_000;

/** Creates a log that writes at most one line a second. */
export function createLimitedLog(log: Pick<Logger, "warn">, clock: Pick<Clock, "nowMs">): LimitedLog {
    let loggedAtMs = -Infinity;
    return {
        warn(message, fields) {
            const nowMs = clock.nowMs();
            if (nowMs - loggedAtMs < intervalMs) return;
            loggedAtMs = nowMs;
            log.warn(message, fields);
        },
    };
}

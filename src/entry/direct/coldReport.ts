/** Logs which backend servers are limited because they are or may be cold, and when their limits are lifted. */
import type { Host } from "../../kernel/host.js";
import { getErrorText, runPeriodically } from "../../kernel/tasks.js";
import type { ColdChange, ColdServers } from "./coldServers.js";

/** Reports changes from its start on. */
export interface ColdReport {
    /** Does nothing if the report has been started. */
    start(signal: AbortSignal): void;
}

const reportIntervalMs = 500;
/** Loss of contact with control limits all servers at once, and one line must stay short. */
const maxListedServers = 20;
const texts: Readonly<Record<ColdChange["kind"], string>> = {
    limited: "Backend servers are limited because they are or may be cold.",
    lifted: "The limits of cold backend servers were lifted.",
};

/** Creates a report that has not started. */
export function createColdReport(host: Host, coldServers: Pick<ColdServers, "takeChanges">): ColdReport {
    const log = host.createLogger("coldServers");
    let isStarted = false;
    return {
        start(signal) {
            if (isStarted) return;
            isStarted = true;
            const onError = (error: unknown) => log.warn("The report of cold servers failed.", { detail: getErrorText(error) });
            void runPeriodically(host.timers, reportIntervalMs, signal, async () => logChanges(), onError);
        },
    };

    function logChanges(): void {
        const groups = new Map<string, ColdChange[]>();
        for (const change of coldServers.takeChanges(host.clock.nowMs())) {
            const key = `${change.kind} ${change.reason}`;
            groups.set(key, [...groups.get(key) ?? [], change]);
        }
        for (const changes of groups.values()) {
            const { kind, reason } = changes[0]!;
            const names = changes.slice(0, maxListedServers).map(change => change.backendServer).join(" ");
            log.info(texts[kind], { reason, count: changes.length, backendServers: names });
        }
    }
}

/** Takes over what a backend server tells beside its answers: the rate that it takes, that it leaves or wants a pause, and surplus bytes. */
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { Host, Logger } from "../../kernel/host.js";
import type { LoadExchange } from "./loadExchange.js";
import type { LoadTracker } from "./loadTracker.js";
import type { ServerLimits } from "./serverLimits.js";
import type { ServerNotices } from "./serverNotices.js";
import type { NamedLimit, ReplyHead } from "./types.js";

/** What the reports are recorded in. */
export interface ServerReportsOptions {
    readonly loads: Pick<LoadTracker, "recordSurplus">;
    readonly serverLimits: Pick<ServerLimits, "recordAnswer">;
    readonly serverNotices: Pick<ServerNotices, "recordLeaving" | "recordPause">;
    readonly loadExchange: Pick<LoadExchange, "recordLimitChange">;
    readonly log: Logger;
}

/** Reports of backend servers to one request. */
export interface ServerReports {
    /** Records what the head of an answer says of further requests. `sentAtMs` is the time at which its request was sent. */
    recordHead(server: BackendServerRecord, head: ReplyHead, sentAtMs: number): void;
    /** Records bytes that belong to no answer. May be called after the request has ended. */
    recordSurplus(server: BackendServerRecord): void;
}

/** Creates the reports to a request. */
export function createServerReports(host: Host, options: ServerReportsOptions, requestId: string): ServerReports {
    const { loads, serverLimits, serverNotices, loadExchange, log } = options;
    return {
        recordHead(server, head, sentAtMs) {
            recordLimit(server, head.limit, sentAtMs);
            recordNotices(server, head);
        },
        recordSurplus({ backendServer, pool }) {
            const ejectionMs = loads.recordSurplus(backendServer, host.clock.nowMs());
            if (ejectionMs === undefined) return;
            log.warn("A backend server is ejected because it keeps sending surplus bytes.", { backendServer, pool, ejectionMs });
        },
    };

    function recordLimit({ backendServer, pool }: BackendServerRecord, limit: NamedLimit, sentAtMs: number): void {
        const change = serverLimits.recordAnswer(backendServer, limit, sentAtMs, host.clock.nowMs());
        if (change === "unchanged") return;
        loadExchange.recordLimitChange();
        const perSecond = limit.kind === "named" ? limit.perSecond : undefined;
        log.info("A backend server changed its request limit.", { backendServer, pool, change, perSecond });
    }

    function recordNotices(server: BackendServerRecord, { isLeaving, pauseMs }: ReplyHead): void {
        const { backendServer, pool } = server;
        const nowMs = host.clock.nowMs();
        if (isLeaving && serverNotices.recordLeaving(server, nowMs)) {
            log.info("A backend server says in an answer that it leaves.", { backendServer, pool, requestId });
        }
        if (pauseMs === undefined) return;
        serverNotices.recordPause(server, pauseMs, nowMs);
        log.info("A backend server wants no requests for a time.", { backendServer, pool, pauseMs });
    }
}

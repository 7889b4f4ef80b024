/**
 * What backend servers say in their answers about further requests: that they are about to leave, or that they want nothing from this entry
 * for a time. Both hold for the incarnation of the server that said so, and for this entry only.
 */
import type { BackendServerRecord } from "../../kernel/directory.js";

/** Notices of backend servers. */
export interface ServerNotices {
    /** Records that an answer says the server is about to leave. Returns true for the first such answer. */
    recordLeaving(server: BackendServerRecord, nowMs: number): boolean;
    /** Records that the server wants no request for a time. */
    recordPause(server: BackendServerRecord, pauseMs: number, nowMs: number): void;
    /** True if other servers are to be preferred because this one is about to leave. */
    isLeaving(server: BackendServerRecord): boolean;
    /** Time until a request may be sent to the server. Infinite if it must get no more. */
    getWaitMs(server: BackendServerRecord, nowMs: number): number;
    retainServers(names: ReadonlySet<string>): void;
}

interface Notice {
    readonly bornMs: number;
    readonly leavingSinceMs?: number;
    readonly pausedUntilMs: number;
}

/** A server that is about to leave takes requests for about two seconds. Half of that is used, if no other server is there. */
const leavingUseMs = 1_000;

/** Creates notices of no server. */
export function createServerNotices(): ServerNotices {
    const notices = new Map<string, Notice>();
    return {
        recordLeaving(server, nowMs) {
            const notice = getNotice(server);
            if (notice.leavingSinceMs !== undefined) return false;
            notices.set(server.backendServer, { ...notice, leavingSinceMs: nowMs });
            return true;
        },
        recordPause(server, pauseMs, nowMs) {
            const notice = getNotice(server);
            notices.set(server.backendServer, { ...notice, pausedUntilMs: Math.max(notice.pausedUntilMs, nowMs + pauseMs) });
        },
        isLeaving: server => getNotice(server).leavingSinceMs !== undefined,
        getWaitMs(server, nowMs) {
            const { leavingSinceMs = Infinity, pausedUntilMs } = getNotice(server);
            return nowMs - leavingSinceMs >= leavingUseMs ? Infinity : Math.max(0, pausedUntilMs - nowMs);
        },
        retainServers(names) {
            for (const name of notices.keys()) {
                if (!names.has(name)) notices.delete(name);
            }
        },
    };

    // A server that was started again knows nothing of what it said before.
    function getNotice(server: BackendServerRecord): Notice {
        const known = notices.get(server.backendServer);
        return known !== undefined && known.bornMs >= server.bornMs ? known : { bornMs: server.bornMs, pausedUntilMs: 0 };
    }
}

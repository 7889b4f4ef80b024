/**
 * Where streams began, as told by entries: soft state of one control VM. It outlives the entries, so that a caller whose entry was lost can
 * take its stream up at servers of the version that began it. An entry tells all control VMs and relies on a majority.
 */
import type { OriginReply, OriginRequest, StreamOriginRecord } from "../kernel/contracts.js";
import type { BackendServerRecord } from "../kernel/directory.js";
import type { RoutedPools } from "../kernel/routedPools.js";
import type { VersionHistory } from "../kernel/versionHistory.js";

/** Origins known to one control VM. */
export interface StreamOriginTable {
    record(origins: readonly StreamOriginRecord[], nowMs: number): void;
    find(request: OriginRequest, nowMs: number): OriginReply;
}

interface KnownOrigin extends StreamOriginRecord {
    readonly recordedAtMs: number;
}

/** Longer than any caller takes a stream up again. */
const originRetentionMs = 60_000;
const maxOrigins = 100_000;

/** Creates an empty table. */
export function createStreamOriginTable(
    versions: VersionHistory,
    pools: Pick<RoutedPools, "getRoutesAt" | "listRoutesSince" | "getPoolsAround">,
    listServers: () => readonly BackendServerRecord[],
): StreamOriginTable {
    /** By request id, in the order of recording. */
    const origins = new Map<string, KnownOrigin>();
    return {
        record(newOrigins, nowMs) {
            for (const origin of newOrigins) {
                if (isReplaced(origin)) continue;
                origins.delete(origin.requestId);
                origins.set(origin.requestId, { ...origin, recordedAtMs: nowMs });
            }
            deleteOld(nowMs);
        },
        find({ requestId, pool, windowMs, target }, nowMs) {
            deleteOld(nowMs);
            const origin = requestId === undefined ? undefined : origins.get(requestId);
            const versionsSince = versions.listVersionsSince(pool, nowMs - windowMs);
            return {
                origin: origin === undefined
                    ? undefined
                    : { pool: origin.pool, softwareVersion: origin.softwareVersion, attempt: origin.attempt },
                isWindowKnown: versions.isKnownSince(nowMs - windowMs),
                versionBefore: versions.getOnlyVersionAt(pool, nowMs - windowMs),
                routesBefore: pools.getRoutesAt(nowMs - windowMs),
                routesSince: pools.listRoutesSince(nowMs - windowMs),
                targetPools: target === undefined ? undefined : pools.getPoolsAround(target, nowMs - windowMs),
                versionsSince,
                versionByServer: getVersionByServer(origin?.pool ?? pool, nowMs - windowMs),
            };
        },
    };

    /** Records are sent again until a majority has them, so an earlier one may arrive after the one that replaces it. */
    function isReplaced({ requestId, attempt = 0 }: StreamOriginRecord): boolean {
        return attempt < (origins.get(requestId)?.attempt ?? 0);
    }

    /** Empty while the pool has only one version. */
    function getVersionByServer(pool: string, sinceMs: number): Readonly<Record<string, string>> {
        if (versions.listVersionsSince(pool, sinceMs).length < 2) return {};
        const servers = listServers().filter(server => server.pool === pool && server.state !== "gone");
        return Object.fromEntries(servers.map(server => [server.backendServer, server.softwareVersion]));
    }

    function deleteOld(nowMs: number): void {
        for (const [requestId, { recordedAtMs }] of origins) {
            if (recordedAtMs >= nowMs - originRetentionMs && origins.size <= maxOrigins) return;
            origins.delete(requestId);
        }
    }
}

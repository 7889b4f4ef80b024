/** To which pools the requests for a path could be sent over time, by the routes that this process has had. */
import type { HttpRouteObject } from "./objects.js";
import { createRouteHistory, listTargetPools } from "./routeHistory.js";
import { createRouteTable } from "./routeTable.js";
import type { RouteTable } from "./routeTable.js";

/** Host and path of a request, which determine its route. */
export interface RequestTarget {
    readonly host: string;
    readonly path: string;
}

/** Pools to which requests for one target could be sent. */
export interface TargetPools {
    /** Those at the beginning of a period. Absent if that time is not known. */
    readonly before?: readonly string[];
    /** Those at any time since then, as far as it is known. */
    readonly since: readonly string[];
}

/** Pools of requests over time. */
export interface RoutedPools {
    /** Records the routes that are in force now. Must be called after each change. */
    observe(routes: readonly HttpRouteObject[], nowMs: number): void;
    /** Returns the only pool to which a request for the target could be sent since then. Undefined if there were several or that is not known. */
    getOnlyPoolSince(target: RequestTarget, sinceMs: number): string | undefined;
    /** Returns the only pool at a time or, if that time is not known, the first one known. Undefined if there were several. */
    getOnlyPoolAt(target: RequestTarget, atMs: number): string | undefined;
    /** Returns the pools to which a request for the target could be sent at a time and since then, as far as they are known. */
    getPoolsAround(target: RequestTarget, atMs: number): TargetPools;
    /** Digest of the routes in force at a time. Undefined if that time is not known. */
    getRoutesAt(atMs: number): string | undefined;
    /** Digests of all routes in force since then, as far as they are known. */
    listRoutesSince(sinceMs: number): readonly string[];
    /** Returns the only pool under the routes with a digest. Undefined if there are several or these routes are not known. */
    getOnlyPool(target: RequestTarget, digest: string): string | undefined;
    /** True if there were several pools all the time since then. */
    hadSeveralSince(target: RequestTarget, sinceMs: number): boolean;
}

/** Creates a history that knows nothing of the past. */
export function createRoutedPools(): RoutedPools {
    const history = createRouteHistory();
    const tables = new Map<string, RouteTable>();
    return {
        observe(routes, nowMs) {
            history.observe(routes, nowMs);
            for (const digest of tables.keys()) if (history.getRoutes(digest) === undefined) tables.delete(digest);
        },
        getOnlyPoolSince(target, sinceMs) {
            if (!history.isKnownSince(sinceMs)) return undefined;
            const [pool, ...others] = listPoolsSince(target, sinceMs);
            return others.length === 0 ? pool : undefined;
        },
        getOnlyPoolAt(target, atMs) {
            const digest = history.getDigestAt(atMs) ?? history.listDigestsSince(atMs)[0];
            return digest === undefined ? undefined : getOnlyPool(target, digest);
        },
        getPoolsAround(target, atMs) {
            const digest = history.getDigestAt(atMs);
            return { before: digest === undefined ? undefined : listPools(target, digest), since: listPoolsSince(target, atMs) };
        },
        getRoutesAt: history.getDigestAt,
        listRoutesSince: history.listDigestsSince,
        getOnlyPool,
        hadSeveralSince: (target, sinceMs) =>
            history.isKnownSince(sinceMs) && history.listDigestsSince(sinceMs).every(digest => listPools(target, digest).length > 1),
    };

    function getOnlyPool(target: RequestTarget, digest: string): string | undefined {
        const [pool, ...others] = listPools(target, digest);
        return others.length === 0 ? pool : undefined;
    }

    function listPoolsSince(target: RequestTarget, sinceMs: number): readonly string[] {
        return [...new Set(history.listDigestsSince(sinceMs).flatMap(digest => listPools(target, digest)))];
    }

    function listPools(target: RequestTarget, digest: string): readonly string[] {
        const route = findTable(digest)?.find(target.host, target.path);
        return route === undefined ? [] : listTargetPools(route);
    }

    function findTable(digest: string): RouteTable | undefined {
        const known = tables.get(digest);
        const routes = history.getRoutes(digest);
        if (known !== undefined || routes === undefined) return known;
        const table = createRouteTable(routes);
        tables.set(digest, table);
        return table;
    }
}

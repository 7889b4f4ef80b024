/** Finds the route of a request by host and longest path prefix, and chooses among the route's targets by weight. */
import type { HttpRouteObject } from "./objects.js";

/** Lookup table of the routes of one configuration. */
export interface RouteTable {
    find(host: string, path: string): HttpRouteObject | undefined;
}

/** Creates a lookup table of `routes`. */
export function createRouteTable(routes: readonly HttpRouteObject[]): RouteTable {
    const byHost = new Map<string, Map<string, HttpRouteObject>>();
    for (const route of routes) {
        const host = normalizeHost(route.host);
        const byPrefix = byHost.get(host) ?? new Map<string, HttpRouteObject>();
        byPrefix.set(route.pathPrefix, route);
        byHost.set(host, byPrefix);
    }
    return {
        find(host, path) {
            const byPrefix = byHost.get(normalizeHost(host));
            if (byPrefix === undefined) return undefined;
            const queryStart = path.indexOf("?");
            const pathname = queryStart < 0 ? path : path.slice(0, queryStart);
            // Prefixes end with a slash, so only paths cut after a slash can match. The longest is tried first.
            for (let end = pathname.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : pathname.lastIndexOf("/", end - 1)) {
                const route = byPrefix.get(pathname.slice(0, end + 1));
                if (route !== undefined) return route;
            }
            return undefined;
        },
    };
}

/** Chooses a pool by the weights of the route's targets. `randomUnit` is a random number in [0, 1). */
export function choosePool(route: HttpRouteObject, randomUnit: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = randomUnit * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0 && target.weight > 0) return target.pool;
    }
    return route.targets.find(target => target.weight > 0)!.pool;
}

function normalizeHost(host: string): string {
    return host.toLowerCase().replace(/:\d+$/, "");
}

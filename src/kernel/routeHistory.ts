/**
 * Which routes have been in force, and when. Soft state that each process builds from what it sees. Only what decides to which pools a request
 * may be sent counts, so a change of weights is none.
 */
import { getDigest } from "./digest.js";
import type { HttpRouteObject } from "./objects.js";

/** Routes in force over time. Each set of routes is known by its digest, which is the same in all processes. */
export interface RouteHistory {
    /** Records the routes that are in force now. Must be called after each change. */
    observe(routes: readonly HttpRouteObject[], nowMs: number): void;
    /** True if everything since then was observed. */
    isKnownSince(sinceMs: number): boolean;
    /** Returns the digest of the routes in force at a time, or undefined if that time is not known. */
    getDigestAt(atMs: number): string | undefined;
    /** Returns the digests of all routes in force since then, as far as they were observed, in the order of time. */
    listDigestsSince(sinceMs: number): readonly string[];
    /** Returns the routes with a digest, or undefined if they were not observed lately. */
    getRoutes(digest: string): readonly HttpRouteObject[] | undefined;
}

interface Period {
    readonly digest: string;
    readonly routes: readonly HttpRouteObject[];
    readonly startedAtMs: number;
}

/** Longer than the time within which any stream may be resumed. */
const retentionMs = 600_000;
/** An operator may change routes several times a second. */
const maxPeriods = 1_000;

/** Creates a history that knows nothing of the past. */
export function createRouteHistory(): RouteHistory {
    /** In the order of time. Each lasts until the next one starts. */
    const periods: Period[] = [];
    return {
        observe(routes, nowMs) {
            if (periods.at(-1)?.routes === routes) return;
            const digest = getRoutesDigest(routes);
            if (periods.at(-1)?.digest === digest) return;
            periods.push({ digest, routes, startedAtMs: nowMs });
            while (periods.length > maxPeriods || (periods[1]?.startedAtMs ?? nowMs) < nowMs - retentionMs) periods.shift();
        },
        isKnownSince: sinceMs => (periods[0]?.startedAtMs ?? Infinity) <= sinceMs,
        getDigestAt: atMs => periods.findLast(period => period.startedAtMs <= atMs)?.digest,
        listDigestsSince: sinceMs =>
            periods.filter((_, index) => (periods[index + 1]?.startedAtMs ?? Infinity) > sinceMs).map(period => period.digest),
        getRoutes: digest => periods.findLast(period => period.digest === digest)?.routes,
    };
}

/** Digest of what decides to which pools requests may be sent. */
function getRoutesDigest(routes: readonly HttpRouteObject[]): string {
    const entries = routes.map(route => [route.host, route.pathPrefix, ...listTargetPools(route)]);
    return getDigest(entries.map(entry => JSON.stringify(entry)).sort());
}

/** Returns the pools to which requests of a route may be sent, sorted. */
export function listTargetPools(route: HttpRouteObject): readonly string[] {
    return [...new Set(route.targets.filter(target => target.weight > 0).map(target => target.pool))].sort();
}

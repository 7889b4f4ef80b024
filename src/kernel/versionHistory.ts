/** Which software versions the backend servers of each pool have had, and when. Soft state that each process builds from what it sees. */
import type { BackendServerRecord } from "./directory.js";

/** Software versions in service over time. */
export interface VersionHistory {
    /** Records the known servers. Must be called after each change and about once a second. */
    observe(servers: readonly BackendServerRecord[], nowMs: number): void;
    /** Returns the version that a pool had all the time since then. Undefined if there were several or if that time is not known. */
    getOnlyVersionSince(pool: string, sinceMs: number): string | undefined;
    /** Returns the version that a pool had at a time. Undefined if there were several or if that time is not known. */
    getOnlyVersionAt(pool: string, atMs: number): string | undefined;
    /** Returns the versions that a pool has had since then, as far as they were observed. */
    listVersionsSince(pool: string, sinceMs: number): readonly string[];
    /** True if a pool had several versions all the time since then. */
    hadSeveralSince(pool: string, sinceMs: number, nowMs: number): boolean;
    /** True if everything since then was observed. */
    isKnownSince(sinceMs: number): boolean;
}

interface Service {
    readonly firstSeenAtMs: number;
    lastSeenAtMs: number;
}

/** Longer than the time within which any stream may be resumed. */
const versionRetentionMs = 600_000;
/** A version seen within this time is in service. Known servers are recorded about once a second. */
const inServiceMs = 2_000;

/** Creates a history that knows nothing of the past. */
export function createVersionHistory(): VersionHistory {
    const versionsByPool = new Map<string, Map<string, Service>>();
    let knownSinceMs = Infinity;
    return {
        observe(servers, nowMs) {
            knownSinceMs = Math.min(knownSinceMs, nowMs);
            for (const server of servers) observeServer(server, nowMs);
            for (const [pool, versions] of versionsByPool) {
                for (const [version, service] of versions) {
                    if (service.lastSeenAtMs < nowMs - versionRetentionMs) versions.delete(version);
                }
                if (versions.size === 0) versionsByPool.delete(pool);
            }
        },
        getOnlyVersionSince: (pool, sinceMs) => getOnly(pool, sinceMs, service => service.lastSeenAtMs >= sinceMs),
        getOnlyVersionAt: (pool, atMs) => getOnly(pool, atMs, service => service.firstSeenAtMs <= atMs && service.lastSeenAtMs >= atMs),
        listVersionsSince: (pool, sinceMs) => listVersions(pool, service => service.lastSeenAtMs >= sinceMs),
        hadSeveralSince: (pool, sinceMs, nowMs) =>
            knownSinceMs <= sinceMs
            && listVersions(pool, service => service.firstSeenAtMs <= sinceMs && service.lastSeenAtMs >= nowMs - inServiceMs).length > 1,
        isKnownSince: sinceMs => knownSinceMs <= sinceMs,
    };

    // A server that was gone when it was first seen may have served until just before.
    function observeServer({ pool, softwareVersion, state }: BackendServerRecord, nowMs: number): void {
        const versions = versionsByPool.get(pool) ?? new Map<string, Service>();
        versionsByPool.set(pool, versions);
        const service = versions.get(softwareVersion);
        if (service === undefined) versions.set(softwareVersion, { firstSeenAtMs: nowMs, lastSeenAtMs: nowMs });
        else if (state !== "gone") service.lastSeenAtMs = nowMs;
    }

    function getOnly(pool: string, neededSinceMs: number, isCounted: (service: Service) => boolean): string | undefined {
        if (knownSinceMs > neededSinceMs) return undefined;
        const counted = listVersions(pool, isCounted);
        return counted.length === 1 ? counted[0] : undefined;
    }

    function listVersions(pool: string, isCounted: (service: Service) => boolean): readonly string[] {
        return [...versionsByPool.get(pool) ?? []].filter(([, service]) => isCounted(service)).map(([version]) => version);
    }
}

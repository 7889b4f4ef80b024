/** Records which backend servers have which prompt prefixes cached, based on cache events and this entry's own dispatches. */
import type { BackendServerName } from "../../kernel/types.js";

/** A backend server that may have a prefix cached. */
export interface PrefixHolder {
    readonly backendServer: BackendServerName;
    /** Length of the prefix, in blocks. */
    readonly blocks: number;
    /** Confidence in [0, 1]. It decays over time, because cache events may be late or missing. */
    readonly confidence: number;
}

/** Index of cached prefixes, limited in the number of prefixes. */
export interface PrefixIndex {
    add(backendServer: BackendServerName, hashes: readonly string[], nowMs: number): void;
    remove(backendServer: BackendServerName, hashes: readonly string[]): void;
    /** Removes a backend server, for example after a restart, when its cache is empty. */
    removeServer(backendServer: BackendServerName): void;
    /** Finds the backend servers that hold the longest known prefixes, longest first. */
    find(hashes: readonly string[], nowMs: number): readonly PrefixHolder[];
}

const maxPrefixes = 50_000;
const maxHoldersPerPrefix = 8;
const maxHoldersFound = 4;
const confidenceHalfLifeMs = 120_000;

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
    // Holders by prefix, each with the time it was last seen. The map is kept in least recently used order.
    const holders = new Map<string, Map<BackendServerName, number>>();

    return {
        add(backendServer, hashes, nowMs) {
            for (const hash of hashes) {
                const known = holders.get(hash) ?? new Map<BackendServerName, number>();
                holders.delete(hash);
                holders.set(hash, known);
                known.delete(backendServer);
                known.set(backendServer, nowMs);
                if (known.size > maxHoldersPerPrefix) known.delete(known.keys().next().value!);
            }
            while (holders.size > maxPrefixes) holders.delete(holders.keys().next().value!);
        },
        remove(backendServer, hashes) {
            for (const hash of hashes) holders.get(hash)?.delete(backendServer);
        },
        removeServer(backendServer) {
            for (const known of holders.values()) known.delete(backendServer);
        },
        find(hashes, nowMs) {
            const found = new Map<BackendServerName, PrefixHolder>();
            for (let block = hashes.length - 1; block >= 0 && found.size < maxHoldersFound; block--) {
                for (const [backendServer, seenAtMs] of holders.get(hashes[block]!) ?? []) {
                    if (found.has(backendServer)) continue;
                    const confidence = 2 ** (-(nowMs - seenAtMs) / confidenceHalfLifeMs);
                    found.set(backendServer, { backendServer, blocks: block + 1, confidence });
                }
            }
            return [...found.values()].slice(0, maxHoldersFound);
        },
    };
}

/** Which backend servers hold which prompt prefixes, as far as events and own dispatches tell. */
import type { BackendServerName } from "../../kernel/types.js";

/** A place that may hold a prefix. */
export interface PrefixHolder {
    readonly backendServer: BackendServerName;
    readonly blocks: number;
    /** Trust in [0, 1]. It decays, because events come late and with gaps. */
    readonly confidence: number;
}

/** Memory of prefixes, bounded by the number of prefixes it holds. */
export interface PrefixIndex {
    add(backendServer: BackendServerName, hashes: readonly string[], nowMs: number): void;
    remove(backendServer: BackendServerName, hashes: readonly string[]): void;
    /** Forgets a backend server, whose cache is cold after a restart. */
    forget(backendServer: BackendServerName): void;
    /** Holders of the longest known prefixes, longest first. */
    find(hashes: readonly string[], nowMs: number): readonly PrefixHolder[];
}

const maxPrefixes = 50_000;
const maxHoldersPerPrefix = 8;
const maxHoldersFound = 4;
const confidenceHalfLifeMs = 120_000;

/** Creates an empty index. */
export function createPrefixIndex(): PrefixIndex {
    // Holders by prefix, with the time at which each was last seen. The prefix used longest ago comes first.
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
        forget(backendServer) {
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

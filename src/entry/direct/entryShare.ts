/**
 * Share of this entry in what all entries together may send to a backend server. Requests are dealt to the entries in an order that differs
 * by server (rendezvous hashing). An entry that misses some others in its list moves up by at most as many places, so that entries with
 * different lists together take little more than entries that agree.
 */
import { combineHashes, getHash32 } from "../../kernel/digest.js";

/** What control says of the entries. */
export interface EntryListing {
    readonly count: number;
    /** Hashes of the addresses of all entries. Absent if control does not list them. */
    readonly entries?: readonly number[] | undefined;
}

/** Share of one entry. */
export interface EntryShare {
    update(listing: EntryListing, nowMs: number): void;
    /** True once all other entries know of this one. */
    isSettled(nowMs: number): boolean;
    /** Returns how many of `totalRequests` that all entries may send to a server this entry may send. */
    getOwnRequests(backendServer: string, totalRequests: number, nowMs: number): number;
}

/** An entry that is not listed any more counts for this time. A control VM that has just started does not know all of them. */
const retentionMs = 15_000;
/**
 * Time until all other entries know of a new one: a second until it has called a control VM that has just started, one until the control VMs
 * have told each other, one until the others are answered, and one to spare.
 */
const settleMs = 4_000;

/** Creates the share of the entry with this address. It has none until control has listed the entries. */
export function createEntryShare(ownAddress: string): EntryShare {
    const ownHash = getHash32(ownAddress);
    /** Time since which an entry is no longer listed, or undefined, by the hash of its address. */
    const missingSinceMs = new Map<number, number | undefined>();
    const ranks = new Map<string, number>();
    let count = 1;
    let smallerSinceMs: number | undefined;
    let firstUpdateAtMs = Infinity;
    let firstListAtMs = Infinity;

    return {
        update(listing, nowMs) {
            firstUpdateAtMs = Math.min(firstUpdateAtMs, nowMs);
            updateCount(listing.count, nowMs);
            if (listing.entries !== undefined) updateEntries(new Set(listing.entries), nowMs);
        },
        isSettled: nowMs => nowMs - firstUpdateAtMs >= settleMs,
        getOwnRequests(backendServer, totalRequests, nowMs) {
            const knownCount = Math.max(count, missingSinceMs.size);
            if (nowMs - firstListAtMs < settleMs) return Math.floor(totalRequests / knownCount);
            return dealRequests(getRank(backendServer), knownCount, totalRequests);
        },
    };

    function updateCount(listed: number, nowMs: number): void {
        smallerSinceMs = listed < count ? smallerSinceMs ?? nowMs : undefined;
        if (listed >= count || nowMs - smallerSinceMs! > retentionMs) count = listed;
    }

    function updateEntries(listed: ReadonlySet<number>, nowMs: number): void {
        firstListAtMs = Math.min(firstListAtMs, nowMs);
        for (const entry of listed) {
            if (!missingSinceMs.has(entry)) ranks.clear();
            missingSinceMs.set(entry, undefined);
        }
        for (const [entry, sinceMs] of missingSinceMs) {
            if (listed.has(entry)) continue;
            if (nowMs - (sinceMs ?? nowMs) <= retentionMs) missingSinceMs.set(entry, sinceMs ?? nowMs);
            else if (missingSinceMs.delete(entry)) ranks.clear();
        }
    }

    function getRank(backendServer: string): number {
        const known = ranks.get(backendServer);
        if (known !== undefined) return known;
        const serverHash = getHash32(backendServer);
        const ownWeight = combineHashes(ownHash, serverHash);
        let rank = 0;
        for (const entry of missingSinceMs.keys()) {
            if (combineHashes(entry, serverHash) > ownWeight) rank++;
        }
        ranks.set(backendServer, rank);
        return rank;
    }
}

/** Deals requests to entries one after another, by rank, and returns how many the one at `rank` gets. */
export function dealRequests(rank: number, entryCount: number, totalRequests: number): number {
    return Math.max(0, Math.ceil((totalRequests - rank) / entryCount));
}

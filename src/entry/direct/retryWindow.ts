/**
 * The fleet's retry budget, as one entry's part of it. In any window the repeats to a pool stay under a share of the
 * requests for it plus a slack. Each entry keeps the share of its own requests and a part of the slack that leaves room for
 * twice as many entries as were ever there at once, because one that restarts begins a window of its own.
 */

/** Bounds on repeats. */
export interface RetryRules {
    readonly windowMs: number;
    /** Repeats for each request. */
    readonly ratio: number;
    /** Repeats in a window beyond that, for all entries together. */
    readonly slack: number;
}

/** Repeats to all pools. */
export interface RetryWindow {
    recordRequest(pool: string, nowMs: number): void;
    /** Takes one repeat. False when none is left in the window. */
    tryAcquire(pool: string, nowMs: number): boolean;
    /** Learns how many entries there are. */
    updateEntryCount(count: number): void;
}

interface Bucket {
    readonly startMs: number;
    requests: number;
    retries: number;
}

const bucketsPerWindow = 20;
/** Shares that the slack is divided into at least. */
const minSlackShares = 12;
const slackSharesPerEntry = 2;

/** Creates a window that has seen nothing. */
export function createRetryWindow(rules: RetryRules): RetryWindow {
    const pools = new Map<string, Bucket[]>();
    const bucketMs = rules.windowMs / bucketsPerWindow;
    let entryCount = 1;
    return {
        recordRequest(pool, nowMs) {
            getBucket(pool, nowMs).requests++;
        },
        tryAcquire(pool, nowMs) {
            const bucket = getBucket(pool, nowMs);
            const buckets = pools.get(pool)!;
            const requests = buckets.reduce((sum, other) => sum + other.requests, 0);
            const retries = buckets.reduce((sum, other) => sum + other.retries, 0);
            if (retries + 1 > rules.ratio * requests + getOwnSlack()) return false;
            bucket.retries++;
            return true;
        },
        updateEntryCount(count) {
            entryCount = Math.max(entryCount, count);
        },
    };

    function getOwnSlack(): number {
        return rules.slack / Math.max(minSlackShares, slackSharesPerEntry * entryCount);
    }

    function getBucket(pool: string, nowMs: number): Bucket {
        const buckets = pools.get(pool) ?? [];
        pools.set(pool, buckets);
        while (buckets.length > 0 && buckets[0]!.startMs <= nowMs - rules.windowMs - bucketMs) buckets.shift();
        const last = buckets.at(-1);
        if (last !== undefined && nowMs < last.startMs + bucketMs) return last;
        const bucket: Bucket = { startMs: nowMs, requests: 0, retries: 0 };
        buckets.push(bucket);
        return bucket;
    }
}

/**
 * One entry's part of the fleet's retry budget. In any time window, the retries to a pool stay within a ratio of the requests to it
 * plus a slack for the whole fleet. An entry applies the ratio to its own requests. It divides the slack by twice the largest
 * number of entries seen, because an entry that restarts begins with an empty window.
 */

/** Limits on retries. */
export interface RetryRules {
    readonly windowMs: number;
    /** Retries allowed per request. */
    readonly ratio: number;
    /** Additional retries per window, for all entries together. */
    readonly slack: number;
}

/** Limits retries per pool over a sliding window. */
export interface RetryWindow {
    recordRequest(pool: string, nowMs: number): void;
    /** Counts one retry if the limit allows it. Returns false when no retry is left in the window. */
    tryAcquire(pool: string, nowMs: number): boolean;
    /** Updates the number of entries. A smaller number than before has no effect. */
    updateEntryCount(count: number): void;
}

interface Bucket {
    readonly startMs: number;
    requests: number;
    retries: number;
}

const bucketsPerWindow = 20;
/** Minimum number of shares that the slack is divided into. */
const minSlackShares = 12;
const slackSharesPerEntry = 2;

/** Creates an empty window. */
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

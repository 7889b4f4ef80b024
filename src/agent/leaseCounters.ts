/**
 * Counts the tokens of the requests that this agent incarnation started under each lease. When an entry dies, control closes
 * its leases with these counts, so a start must be counted in the same synchronous step that starts the request.
 */
import { assert } from "../kernel/debug.js";
import type { KeyedUsage, LeaseUsage } from "../kernel/messages.js";

/** One attempt to run a request under a lease. */
export interface LeasedAttempt {
    readonly leaseId: string;
    readonly requestId: string;
    readonly reservedTokens: number;
    readonly clientAccount: string;
    readonly idempotencyKey?: string;
}

/** Token counters, by lease. */
export interface LeaseCounters {
    isClosed(leaseId: string): boolean;
    /** Refuses all further starts under a lease, permanently. */
    close(leaseId: string): void;
    /** Counts the reserved tokens of an attempt that starts now. */
    start(attempt: LeasedAttempt): void;
    /** Replaces the reservation of an attempt with the tokens that it is billed for, zero if it is not billed. */
    finish(attempt: LeasedAttempt, billedTokens: number): void;
    /** Reverses the billing of a finished attempt, when another attempt of the same request is billed instead. */
    reverseBilling(attempt: LeasedAttempt, billedTokens: number): void;
    getUse(leaseId: string): LeaseUsage;
    listUses(): readonly LeaseUsage[];
    /** Up to `count` lease ids to ask control about. Successive calls rotate through all leases with counters. */
    takeLeaseIdsToCheck(count: number): readonly string[];
    /** Removes the counters of leases that control has closed, except those with running requests. */
    remove(leaseIds: readonly string[]): void;
}

interface LeaseCounter {
    /** Billed tokens of finished requests without an idempotency key. */
    finishedTokens: number;
    /** Reserved tokens by request id. */
    readonly running: Map<string, number>;
    /** Finished requests with an idempotency key, by request id. */
    readonly keyed: Map<string, KeyedUsage>;
}

/** Creates empty counters. */
export function createLeaseCounters(): LeaseCounters {
    const counters = new Map<string, LeaseCounter>();
    const closedLeaseIds = new Set<string>();

    return {
        isClosed: leaseId => closedLeaseIds.has(leaseId),
        close: leaseId => void closedLeaseIds.add(leaseId),
        start(attempt) {
            assert(!closedLeaseIds.has(attempt.leaseId), `lease ${attempt.leaseId} is closed`);
            getOrCreateCounter(attempt.leaseId).running.set(attempt.requestId, attempt.reservedTokens);
        },
        finish(attempt, billedTokens) {
            assert(billedTokens <= attempt.reservedTokens, `request ${attempt.requestId} was billed more tokens than it reserved`);
            const counter = getOrCreateCounter(attempt.leaseId);
            counter.running.delete(attempt.requestId);
            if (billedTokens === 0) return;
            const { clientAccount, idempotencyKey, requestId } = attempt;
            if (idempotencyKey === undefined) counter.finishedTokens += billedTokens;
            else counter.keyed.set(requestId, { clientAccount, key: idempotencyKey, requestId, billedTokens });
        },
        reverseBilling(attempt, billedTokens) {
            const counter = counters.get(attempt.leaseId);
            if (counter === undefined) return;
            if (attempt.idempotencyKey === undefined) counter.finishedTokens -= billedTokens;
            else counter.keyed.delete(attempt.requestId);
        },
        getUse,
        listUses: () => [...counters.keys()].map(getUse),
        takeLeaseIdsToCheck(count) {
            const leaseIds = [...counters.keys(), ...closedLeaseIds].slice(0, count);
            // Moves the returned leases to the end of the iteration order, so that later calls return the others first.
            for (const leaseId of leaseIds) {
                const counter = counters.get(leaseId);
                if (counter === undefined) continue;
                counters.delete(leaseId);
                counters.set(leaseId, counter);
            }
            return leaseIds;
        },
        remove(leaseIds) {
            for (const leaseId of leaseIds) {
                if ((counters.get(leaseId)?.running.size ?? 0) === 0) counters.delete(leaseId);
            }
        },
    };

    function getOrCreateCounter(leaseId: string): LeaseCounter {
        const existing = counters.get(leaseId);
        if (existing !== undefined) return existing;
        const created: LeaseCounter = { finishedTokens: 0, running: new Map(), keyed: new Map() };
        counters.set(leaseId, created);
        return created;
    }

    function getUse(leaseId: string): LeaseUsage {
        const counter = counters.get(leaseId);
        if (counter === undefined) return { leaseId, finishedTokens: 0, runningTokens: 0, keyed: [] };
        const runningTokens = [...counter.running.values()].reduce((sum, reserved) => sum + reserved, 0);
        return { leaseId, finishedTokens: counter.finishedTokens, runningTokens, keyed: [...counter.keyed.values()] };
    }
}

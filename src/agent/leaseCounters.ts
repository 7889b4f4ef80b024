/**
 * What this agent incarnation started under each lease. When an entry dies, these counters are what its
 * lease is closed at, so a start is counted in the same synchronous step that lets it run.
 */
import { assert } from "../kernel/debug.js";
import type { KeyedUsage, LeaseUsage } from "../kernel/messages.js";

/** One attempt as the counters see it. */
export interface CountedAttempt {
    readonly leaseId: string;
    readonly requestId: string;
    readonly reservedTokens: number;
    readonly clientAccount: string;
    readonly idempotencyKey?: string;
}

/** Counters by lease. */
export interface LeaseCounters {
    isClosed(leaseId: string): boolean;
    /** Refuses all further starts under a lease, for good. */
    close(leaseId: string): void;
    start(attempt: CountedAttempt): void;
    /** Ends an attempt at the tokens it is billed for. Zero when it is not billed. */
    finish(attempt: CountedAttempt, billedTokens: number): void;
    /** Takes back the bill of a finished attempt that lost against another. */
    unbill(attempt: CountedAttempt, billedTokens: number): void;
    getUse(leaseId: string): LeaseUsage;
    listUses(): readonly LeaseUsage[];
    /** Lease ids to ask control about, a share at a time. */
    takeForCheck(count: number): readonly string[];
    /** Drops the counters of leases that control has closed. */
    forget(leaseIds: readonly string[]): void;
}

interface Counter {
    finishedTokens: number;
    readonly running: Map<string, number>;
    readonly keyed: Map<string, KeyedUsage>;
}

/** Creates empty counters. */
export function createLeaseCounters(): LeaseCounters {
    const counters = new Map<string, Counter>();
    const closed = new Set<string>();

    return {
        isClosed: leaseId => closed.has(leaseId),
        close: leaseId => void closed.add(leaseId),
        start(attempt) {
            assert(!closed.has(attempt.leaseId), `lease ${attempt.leaseId} is closed`);
            getCounter(attempt.leaseId).running.set(attempt.requestId, attempt.reservedTokens);
        },
        finish(attempt, billedTokens) {
            assert(billedTokens <= attempt.reservedTokens, `request ${attempt.requestId} used more than was reserved`);
            const counter = getCounter(attempt.leaseId);
            counter.running.delete(attempt.requestId);
            if (billedTokens === 0) return;
            const { clientAccount, idempotencyKey, requestId } = attempt;
            if (idempotencyKey === undefined) counter.finishedTokens += billedTokens;
            else counter.keyed.set(requestId, { clientAccount, key: idempotencyKey, requestId, billedTokens });
        },
        unbill(attempt, billedTokens) {
            const counter = counters.get(attempt.leaseId);
            if (counter === undefined) return;
            if (attempt.idempotencyKey === undefined) counter.finishedTokens -= billedTokens;
            else counter.keyed.delete(attempt.requestId);
        },
        getUse,
        listUses: () => [...counters.keys()].map(getUse),
        takeForCheck(count) {
            const leaseIds = [...counters.keys(), ...closed].slice(0, count);
            // What was taken goes to the end, so that every lease has its turn.
            for (const leaseId of leaseIds) {
                const counter = counters.get(leaseId);
                if (counter === undefined) continue;
                counters.delete(leaseId);
                counters.set(leaseId, counter);
            }
            return leaseIds;
        },
        forget(leaseIds) {
            for (const leaseId of leaseIds) {
                if ((counters.get(leaseId)?.running.size ?? 0) === 0) counters.delete(leaseId);
            }
        },
    };

    function getCounter(leaseId: string): Counter {
        const known = counters.get(leaseId);
        if (known !== undefined) return known;
        const created: Counter = { finishedTokens: 0, running: new Map(), keyed: new Map() };
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

/**
 * Choice of the control VM that a process watches next, after a watch has failed. Decides without a network, from what earlier calls have
 * shown.
 */
import type { RandomSource } from "./host.js";
import type { Address } from "./types.js";

/** Addresses of control VMs. */
export interface MemberCandidates {
    /** The members that control itself has named last. */
    readonly members: readonly Address[];
    /** Addresses that only the settings name, so they may be of no use any longer. */
    readonly others: readonly Address[];
}

/** Why a watch of a control VM does not continue there. */
export type WatchProblem = "noAnswer" | "notConnected";

/** What earlier calls have shown of each control VM. */
export interface MemberChoice {
    /** Records whether a call got an answer. */
    recordCall(address: Address, isAnswered: boolean): void;
    recordWatchSuccess(address: Address, nowMs: number): void;
    recordWatchFailure(address: Address, problem: WatchProblem, nowMs: number): void;
    /** True if a watch has failed at the VM since one succeeded at any VM. */
    hasFailedInSearch(address: Address): boolean;
    /**
     * Returns the VM to watch after `from`: a member that is not known to fail and at which no watch has failed in this search. If there is
     * none, it is the member whose last watch failed first. Each time that all members have failed, one of the other addresses has its turn.
     */
    chooseNext(candidates: MemberCandidates, from: Address): Address;
    /** Forgets all other addresses. */
    retain(candidates: MemberCandidates): void;
}

/** Creates a choice that knows nothing of any VM. */
export function createMemberChoice(random: RandomSource): MemberChoice {
    const unanswered = new Set<Address>();
    const disconnected = new Set<Address>();
    const watchFailedAtMs = new Map<Address, number>();
    let watchSucceededAtMs = -Infinity;

    return {
        recordCall(address, isAnswered) {
            if (isAnswered) unanswered.delete(address);
            else unanswered.add(address);
        },
        recordWatchSuccess(address, nowMs) {
            forget(address);
            watchSucceededAtMs = nowMs;
        },
        recordWatchFailure(address, problem, nowMs) {
            watchFailedAtMs.set(address, nowMs);
            if (problem === "notConnected") disconnected.add(address);
            else unanswered.add(address);
        },
        hasFailedInSearch,
        chooseNext({ members, others }, from) {
            const member = chooseFrom(members, from);
            const other = chooseFrom(others, from);
            const isTurnOfOther = member === undefined || haveAllFailed(members, others);
            return (isTurnOfOther ? other ?? member : member) ?? from;
        },
        retain({ members, others }) {
            const kept = new Set([...members, ...others]);
            for (const address of [...unanswered, ...disconnected, ...watchFailedAtMs.keys()]) if (!kept.has(address)) forget(address);
        },
    };

    function forget(address: Address): void {
        unanswered.delete(address);
        disconnected.delete(address);
        watchFailedAtMs.delete(address);
    }

    function isFailing(address: Address): boolean {
        return unanswered.has(address) || disconnected.has(address);
    }

    function hasFailedInSearch(address: Address): boolean {
        return getWatchFailureMs(address) > watchSucceededAtMs;
    }

    function getWatchFailureMs(address: Address): number {
        return watchFailedAtMs.get(address) ?? -Infinity;
    }

    // Processes that lose the same VM should not all choose the same next one, so the first of equals is random.
    function chooseFrom(addresses: readonly Address[], excluded: Address): Address | undefined {
        const eligible = addresses.filter(address => address !== excluded);
        const working = eligible.filter(address => !isFailing(address) && !hasFailedInSearch(address));
        const ranked = working.length > 0 ? working : eligible;
        const earliestMs = Math.min(...ranked.map(getWatchFailureMs));
        const equals = ranked.filter(address => getWatchFailureMs(address) === earliestMs);
        return equals[Math.floor(random.nextFloat() * equals.length)];
    }

    // True if the search has gone through all members since it came to one of the other addresses.
    function haveAllFailed(members: readonly Address[], others: readonly Address[]): boolean {
        const sinceMs = Math.max(watchSucceededAtMs, ...others.map(getWatchFailureMs));
        return members.every(address => isFailing(address) && getWatchFailureMs(address) > sinceMs);
    }
}

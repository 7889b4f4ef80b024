/**
 * Network paths from a process to the control VMs. A VM that cannot be reached directly may still be reachable through a relay:
 * a process of the fleet that forwards calls. The content of a call is the same on every path.
 */
import type { Clock, RandomSource } from "./host.js";
import { createMemberChoice } from "./memberChoice.js";
import type { MemberCandidates, WatchProblem } from "./memberChoice.js";
import type { Address } from "./types.js";

/** A path to a control VM. */
export interface ControlPath {
    readonly address: Address;
    /** Absent for the direct path. */
    readonly relay?: Address;
}

/** The known paths to the control VMs, and which of them failed. */
export interface ControlPaths {
    /** Returns the path to the presumed leader. */
    getLeaderPath(): ControlPath;
    /** Returns the paths to all known control VMs. */
    listMemberPaths(): readonly ControlPath[];
    /** Returns the path for calls that any control VM can answer. The VM stays the same until it is changed or leaves the group. */
    getPreferredMemberPath(): ControlPath;
    /** Returns the relayed path to the target of a direct path. Undefined if no relay is known or the path is already relayed. */
    getRelayedPath(path: ControlPath): ControlPath | undefined;
    /** Records that a call on this path got no answer. Later calls take another path, if there is one. */
    recordFailure(path: ControlPath): void;
    /** Records that a call on this path was answered. */
    recordSuccess(path: ControlPath): void;
    /** If `from` is still the presumed leader, replaces it with `to`, or with the next member if `to` is undefined. */
    changeLeader(from: Address, to: Address | undefined): void;
    /** True if no watch at the VM for calls that any VM can answer has succeeded since it was chosen, nor failed since one last succeeded. */
    isPreferredMemberUnknown(): boolean;
    recordWatchSuccess(address: Address): void;
    /** Records that a watch of a VM failed. If it is still the VM for calls that any VM can answer, another one replaces it. */
    recordWatchFailure(address: Address, problem: WatchProblem): void;
    updateMembers(addresses: readonly Address[]): void;
    /** Replaces the configured seed addresses, which are used in addition to the discovered members. */
    setSeeds(addresses: readonly Address[]): void;
    updateRelays(addresses: readonly Address[]): void;
    listMembers(): readonly Address[];
    /** True if the direct path to an address has failed, has not worked since, and a relay is known. */
    isDirectPathAvoided(address: Address): boolean;
}

/** Calls avoid a failed direct path for this long, then try it again. Until then only probes use it. */
const directPathRetryDelayMs = 5_000;

/** Creates paths to the given control VMs. */
export function createControlPaths(
    host: { readonly clock: Clock; readonly random: RandomSource; },
    addresses: readonly Address[],
): ControlPaths {
    let seeds = addresses;
    let members: readonly Address[] = addresses;
    let relays: readonly Address[] = [];
    let relay: Address | undefined;
    let leader = addresses[0]!;
    let preferredMember = addresses[Math.floor(host.random.nextFloat() * addresses.length)]!;
    /** The VM at which a watch has succeeded, as long as it is preferred. */
    let watchedMember: Address | undefined;
    const failedAtMs = new Map<Address, number>();
    const memberChoice = createMemberChoice(host.random);

    return {
        getLeaderPath: () => getPath(leader),
        listMemberPaths: () => members.map(getPath),
        getPreferredMemberPath: () => getPath(preferredMember),
        getRelayedPath: path => relay === undefined || path.relay !== undefined ? undefined : { address: path.address, relay },
        recordFailure(path) {
            // The probe of a direct path that calls avoid does not tell whether the VM answers calls.
            if (path.relay === getPath(path.address).relay) memberChoice.recordCall(path.address, false);
            if (path.relay === undefined) failedAtMs.set(path.address, host.clock.nowMs());
            else if (path.relay === relay) relay = chooseRelay(relay);
        },
        recordSuccess(path) {
            memberChoice.recordCall(path.address, true);
            if (path.relay === undefined) failedAtMs.delete(path.address);
        },
        changeLeader(from, to) {
            // Another task may already have found a different leader. Keep that one.
            if (leader === from) leader = to ?? getNextMember(from);
        },
        isPreferredMemberUnknown: () => watchedMember === undefined && !memberChoice.hasFailedInSearch(preferredMember),
        recordWatchSuccess(address) {
            memberChoice.recordWatchSuccess(address, host.clock.nowMs());
            if (address === preferredMember) watchedMember = address;
        },
        recordWatchFailure(address, problem) {
            memberChoice.recordWatchFailure(address, problem, host.clock.nowMs());
            if (address === preferredMember) changePreferredMember();
        },
        updateMembers(newMembers) {
            if (newMembers.length === 0) return;
            members = [...new Set(newMembers)];
            memberChoice.retain(getCandidates());
            if (!members.includes(leader)) leader = members[0]!;
            if (!members.includes(preferredMember)) changePreferredMember();
        },
        setSeeds(addresses) {
            seeds = addresses;
            memberChoice.retain(getCandidates());
        },
        updateRelays(newRelays) {
            relays = newRelays;
            if (relay === undefined || !relays.includes(relay)) relay = chooseRelay(undefined);
        },
        listMembers: () => [...new Set([...members, ...seeds])],
        isDirectPathAvoided: address => failedAtMs.has(address) && relay !== undefined,
    };

    function getPath(address: Address): ControlPath {
        const failedMs = failedAtMs.get(address);
        const isAvoided = failedMs !== undefined && host.clock.nowMs() - failedMs < directPathRetryDelayMs;
        return isAvoided && relay !== undefined ? { address, relay } : { address };
    }

    function getCandidates(): MemberCandidates {
        return { members, others: seeds.filter(address => !members.includes(address)) };
    }

    function changePreferredMember(): void {
        preferredMember = memberChoice.chooseNext(getCandidates(), preferredMember);
        watchedMember = undefined;
    }

    function getNextMember(address: Address): Address {
        const allMembers = [...new Set([...members, ...seeds])];
        return allMembers[(allMembers.indexOf(address) + 1) % allMembers.length]!;
    }

    function chooseRelay(excluded: Address | undefined): Address | undefined {
        const others = relays.filter(address => address !== excluded);
        return others[Math.floor(host.random.nextFloat() * others.length)] ?? relays[0];
    }
}

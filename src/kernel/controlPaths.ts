/**
 * The ways from a process to the control VMs. A VM that cannot be reached directly may still be reached through a relay:
 * a process of the fleet that passes calls on. What a call says does not depend on the way that it took.
 */
import type { Clock, RandomSource } from "./host.js";
import type { Address } from "./types.js";

/** One way to a control VM. */
export interface ControlPath {
    readonly address: Address;
    /** Absent for the direct way. */
    readonly relay?: Address;
}

/** The ways that are known, and which of them work. */
export interface ControlPaths {
    /** The way to the VM that is believed to lead. */
    getLeaderPath(): ControlPath;
    /** The way to any control VM, the same one while it works. */
    getPreferredMemberPath(): ControlPath;
    /** The way through a relay to where a direct way leads. Undefined where no relay is known, or the way is a detour already. */
    getRelayedPath(path: ControlPath): ControlPath | undefined;
    /** A call on this way got no answer. Later calls take another one. */
    recordFailure(path: ControlPath): void;
    /** A call on this way was answered. */
    recordSuccess(path: ControlPath): void;
    /** Takes the address as that of the leader, or the next VM where none is named. */
    changeLeader(from: Address, to: Address | undefined): void;
    /** Goes on to another VM for calls that any VM answers. */
    changePreferredMember(from: Address): void;
    updateMembers(addresses: readonly Address[]): void;
    /** Takes other addresses as those that are known without asking. */
    setSeeds(addresses: readonly Address[]): void;
    updateRelays(addresses: readonly Address[]): void;
    listMembers(): readonly Address[];
    /** True while calls leave the direct way to an address alone, because it failed and a relay is known. */
    isDirectPathAvoided(address: Address): boolean;
}

/** A direct way that failed is left to probes for this long, then calls try it again. */
const directPathRetryDelayMs = 5_000;

/** Creates paths that know the given control VMs. */
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
    const failedAtMs = new Map<Address, number>();

    return {
        getLeaderPath: () => getPath(leader),
        getPreferredMemberPath: () => getPath(preferredMember),
        getRelayedPath: path => relay === undefined || path.relay !== undefined ? undefined : { address: path.address, relay },
        recordFailure(path) {
            if (path.relay === undefined) failedAtMs.set(path.address, host.clock.nowMs());
            else if (path.relay === relay) relay = chooseRelay(relay);
        },
        recordSuccess(path) {
            if (path.relay === undefined) failedAtMs.delete(path.address);
        },
        changeLeader(from, to) {
            // Another task may have found the leader meanwhile, which is not undone.
            if (leader === from) leader = to ?? getNextMember(from);
        },
        changePreferredMember(from) {
            if (preferredMember === from) preferredMember = getNextMember(from);
        },
        updateMembers(learned) {
            if (learned.length === 0) return;
            members = [...new Set(learned)];
            if (!members.includes(leader)) leader = members[0]!;
            if (!members.includes(preferredMember)) preferredMember = members[Math.floor(host.random.nextFloat() * members.length)]!;
        },
        setSeeds(addresses) {
            seeds = addresses;
        },
        updateRelays(learned) {
            relays = learned;
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

    function getNextMember(address: Address): Address {
        const allMembers = [...new Set([...members, ...seeds])];
        return allMembers[(allMembers.indexOf(address) + 1) % allMembers.length]!;
    }

    function chooseRelay(excluded: Address | undefined): Address | undefined {
        const others = relays.filter(address => address !== excluded);
        return others[Math.floor(host.random.nextFloat() * others.length)] ?? relays[0];
    }
}

/**
 * Membership of the control group: bootstrap from seed addresses, joining with an empty disk, and the leader's decision
 * which voter a learner replaces. A voter is replaced by one joint consensus change, so that no intermediate step needs more
 * live voters than before.
 */
import type { ControlRouter, JoinRequest } from "../kernel/contracts.js";
import type { Host } from "../kernel/host.js";
import type { ControlReply } from "../kernel/messages.js";
import { createRpcClients } from "../kernel/rpc.js";
import { createStopController, getErrorText, runPeriodically, withTimeout } from "../kernel/tasks.js";
import type { Address, FailureDomainName } from "../kernel/types.js";
import type { PeerProgress, Replica } from "./log/replicaTypes.js";
import { openStore } from "./log/store.js";
import type { LogStore, StoreHost } from "./log/store.js";
import { discardStore, formatStore, readStoreVoterId, UnusableStoreError } from "./log/storeFiles.js";
import { getMembers } from "./log/types.js";
import type { Member, Membership } from "./log/types.js";

/** Settings for joining a group and for keeping its number of voters. */
export interface GroupOptions {
    /** Returns the addresses that a VM without contact to its group sends join requests to. May return others on each call. */
    readonly getSeeds: () => readonly Address[];
    /** Number of voters up to which the leader promotes learners. */
    readonly targetVoters: number;
}

/** Settings of a control VM that forms or joins a group by itself. */
export interface MemberSettings {
    readonly dataFolder: string;
    readonly groupId: string;
    readonly address: Address;
    readonly failureDomain: FailureDomainName;
    readonly seeds: readonly Address[];
    /** True only when the whole group starts for the first time. The seeds are then its initial voters. */
    readonly isBootstrap: boolean;
}

/** A member of a group and its open store. */
export interface PreparedMember {
    readonly member: Member;
    readonly store: LogStore;
}

const maxFormatAttempts = 3;

/**
 * Opens the store of this VM, and formats it first if there is none that can be opened. The store names the voter id under which this VM
 * takes part. The initial
 * voters of a group are its seeds, so that they agree on the membership without communication. A VM with an emptied or
 * damaged disk gets a new voter id, because it may have voted under the old one and has lost the record of it.
 */
export async function prepareMember(host: Host, settings: MemberSettings): Promise<PreparedMember> {
    const { dataFolder, groupId, address, failureDomain, seeds } = settings;
    const log = host.createLogger("group");
    for (let attempt = 0; attempt < maxFormatAttempts; attempt++) {
        const storedId = await readStoreVoterId(host.disk, dataFolder);
        if (storedId !== undefined) {
            const store = await tryOpenStore(host, dataFolder, groupId, storedId);
            if (store !== undefined) return { member: { voterId: storedId, address, failureDomain }, store };
            log.error("The store is damaged. This VM joins under a new voter id.", { voterId: storedId });
        }
        await discardStore(host.disk, dataFolder);
        const isFounder = settings.isBootstrap && storedId === undefined && seeds.includes(address);
        const voterId = isFounder ? getFounderId(address) : `${address}/${host.random.nextId()}`;
        const founders: Membership = isFounder
            ? { voters: [...seeds].sort().map(seed => ({ voterId: getFounderId(seed), address: seed, failureDomain: "" })), learners: [] }
            : { voters: [], learners: [] };
        await formatStore(host.disk, dataFolder, { groupId, voterId, founders });
        log.info("Formatted the store.", { voterId, isFounder });
    }
    throw new UnusableStoreError(`the store in ${dataFolder} cannot be opened after formatting it`);
}

function getFounderId(address: Address): string {
    return `${address}/founder`;
}

async function tryOpenStore(host: StoreHost, folder: string, groupId: string, voterId: string): Promise<LogStore | undefined> {
    try {
        return await openStore(host, folder, groupId, voterId);
    }
    catch (error) {
        if (error instanceof UnusableStoreError) return undefined;
        throw error;
    }
}

/** Options of the membership manager. Without `getSeeds`, membership changes only by operator requests and join requests. */
export interface MembershipManagerOptions extends Partial<GroupOptions> {
    readonly replica: Replica;
    readonly self: Member;
}

/** Keeps this VM in its group and, on the leader, the group at its number of voters. */
export interface MembershipManager {
    /** Adds a VM as a learner, if this VM is the leader. */
    join(request: JoinRequest): Promise<ControlReply<boolean>>;
    start(): void;
    stop(): void;
}

const checkIntervalMs = 200;
const joinTimeoutMs = 1_000;
/** A voter that has not answered for this time, or only that its disk refuses writes, is replaced by a learner. */
const voterTimeoutMs = 3_000;
/** A learner of which the same is true for this time is removed. */
const learnerTimeoutMs = 15_000;
/** Number of entries that a learner may lag behind the commit index when it is promoted to voter. */
const maxPromotionLagEntries = 50;

/** Creates the membership manager. */
export function createMembershipManager(host: Host, options: MembershipManagerOptions): MembershipManager {
    const { replica, self } = options;
    const log = host.createLogger("group");
    const clients = createRpcClients<ControlRouter>(host.network);
    const stopping = createStopController();
    let joinAttempts = 0;
    return {
        join,
        start() {
            if (options.getSeeds === undefined) return;
            const onError = (error: unknown) => log.warn("A membership check failed.", { detail: getErrorText(error) });
            void runPeriodically(host.timers, checkIntervalMs, stopping.signal, checkMembership, onError);
        },
        stop: () => stopping.abort(),
    };

    async function checkMembership(): Promise<void> {
        const status = replica.getStatus();
        if (status.role === "leader") return adjustMembership(status.membership);
        if (!status.isConnected) await requestJoin(status.membership, status.leaderAddress);
    }

    // Sends a join request to the leader if its address is known, otherwise to the known members and the seeds in turn. The
    // leader accepts the request of a VM that is already a member without a change.
    async function requestJoin(membership: Membership, leaderAddress: Address | undefined): Promise<void> {
        const candidateAddresses = [...getMembers(membership).map(member => member.address), ...options.getSeeds?.() ?? []];
        const others = [...new Set(candidateAddresses)].filter(address => address !== self.address);
        if (others.length === 0) return;
        const address = leaderAddress ?? others[joinAttempts++ % others.length]!;
        const reply = await sendJoinRequest(address);
        if (reply?.kind === "notLeader" && reply.leaderAddress !== undefined) await sendJoinRequest(reply.leaderAddress);
    }

    async function sendJoinRequest(address: Address): Promise<ControlReply<boolean> | undefined> {
        try {
            const call = clients.get(address).join.mutate({ ...self }) as Promise<ControlReply<boolean>>;
            return await withTimeout(host.timers, call, joinTimeoutMs, "join");
        }
        catch (error) {
            // The next check sends the request again, to another address unless the leader's is known.
            log.debug("A control VM did not answer a request to join.", { address, detail: getErrorText(error) });
            return undefined;
        }
    }

    async function join(request: JoinRequest): Promise<ControlReply<boolean>> {
        const { role, membership, leaderAddress, commitIndex } = replica.getStatus();
        if (role !== "leader") return { kind: "notLeader", leaderAddress };
        const { voterId, address, failureDomain } = request;
        if (getMembers(membership).some(member => member.voterId === voterId)) {
            return { kind: "done", index: commitIndex, controlTimeMs: 0, result: true };
        }
        // An earlier learner at this address no longer exists: its VM has come back with an emptied disk or was replaced.
        const learners = [...membership.learners.filter(learner => learner.address !== address), { voterId, address, failureDomain }];
        log.info("Adding a control VM as a learner.", { voterId });
        const changeResult = await replica.changeMembership({ voters: membership.voters, learners });
        return changeResult.kind === "applied"
            ? { kind: "done", index: changeResult.index, controlTimeMs: changeResult.controlTimeMs, result: true }
            : { kind: "unavailable", detail: "the membership is changing" };
    }

    async function adjustMembership(membership: Membership): Promise<void> {
        if (membership.nextVoters !== undefined) {
            await replica.changeMembership(membership);
            return;
        }
        const next = chooseNextMembership(membership, {
            self,
            peers: replica.listPeers(),
            commitIndex: replica.getStatus().commitIndex,
            targetVoters: options.targetVoters ?? membership.voters.length,
            nowMs: host.clock.nowMs(),
        });
        if (next === undefined) return;
        log.info("Changing the membership.", { voters: next.voters.map(voter => voter.voterId).join(" ") });
        await replica.changeMembership(next);
    }
}

/** Inputs of the decision on the next membership. */
export interface MembershipDecisionInput {
    readonly self: Member;
    readonly peers: readonly PeerProgress[];
    readonly commitIndex: number;
    readonly targetVoters: number;
    readonly nowMs: number;
}

/** Returns the next membership, or undefined if no change is needed. */
export function chooseNextMembership(membership: Membership, input: MembershipDecisionInput): Membership | undefined {
    const progressByVoterId = new Map(input.peers.map(peer => [peer.voterId, peer]));
    const isUnusable = (member: Member, timeoutMs: number) =>
        member.voterId !== input.self.voterId &&
        input.nowMs - (progressByVoterId.get(member.voterId)?.lastSoundAckMs ?? input.nowMs) > timeoutMs;
    for (const learner of membership.learners) {
        const peer = progressByVoterId.get(learner.voterId);
        if (
            peer === undefined || peer.matchIndex < input.commitIndex - maxPromotionLagEntries ||
            isUnusable(learner, checkIntervalMs * 5)
        ) continue;
        const learners = membership.learners.filter(other => other !== learner);
        const others = membership.voters.filter(voter => voter.voterId !== input.self.voterId);
        const replaced = others.find(voter => voter.address === learner.address) ??
            others.find(voter => isUnusable(voter, voterTimeoutMs));
        if (replaced !== undefined) return { voters: [...membership.voters.filter(voter => voter !== replaced), learner], learners };
        if (membership.voters.length < input.targetVoters) return { voters: [...membership.voters, learner], learners };
    }
    const remainingLearners = membership.learners.filter(learner => !isUnusable(learner, learnerTimeoutMs));
    return remainingLearners.length < membership.learners.length ? { voters: membership.voters, learners: remainingLearners } : undefined;
}

/**
 * Who belongs to the control group: founding from seeds, joining with an empty disk, and the leader's choice of whom a
 * learner replaces. A replacement is one joint change, so that no moment needs more voters than before.
 */
import type { ControlRouter, JoinRequest } from "../kernel/contracts.js";
import type { Disk, Host } from "../kernel/host.js";
import type { ControlReply } from "../kernel/messages.js";
import { createRpcClients } from "../kernel/rpc.js";
import { createStopController, getErrorText, runPeriodically, withTimeout } from "../kernel/tasks.js";
import type { Address, FailureDomainName } from "../kernel/types.js";
import type { PeerProgress, Replica } from "./log/replicaTypes.js";
import { discardStore, formatStore, openStore, readStoreOwner, StoreRefusedError } from "./log/store.js";
import { getMembers } from "./log/types.js";
import type { Member, Membership } from "./log/types.js";

/** How a group keeps its size. */
export interface GroupOptions {
    /** Addresses at which a VM that is not in touch with its group asks for it. They may change. */
    readonly getSeeds: () => readonly Address[];
    /** Voters that the group grows to while learners are there. */
    readonly targetVoters: number;
}

/** Where a control VM of a self-forming group keeps its store, and how it came to be. */
export interface MemberSettings {
    readonly dataFolder: string;
    readonly groupId: string;
    readonly address: Address;
    readonly failureDomain: FailureDomainName;
    readonly seeds: readonly Address[];
    /** True only when the whole group starts for the first time. */
    readonly isFounding: boolean;
}

const storeFormatRetries = 3;

/**
 * Finds out under which identity this VM takes part, and formats its store where it has none. The founders of a group are
 * its seeds, so that all of them agree without a word. An emptied or damaged disk gets a new identity, because the old one
 * may have voted.
 */
export async function prepareMember(host: Host, settings: MemberSettings): Promise<Member> {
    const { dataFolder, groupId, address, failureDomain, seeds } = settings;
    const log = host.createLogger("group");
    for (let tries = 0; tries < storeFormatRetries; tries++) {
        const owner = await readStoreOwner(host.disk, dataFolder);
        if (owner !== undefined) {
            if (await canOpen(host.disk, dataFolder, groupId, owner)) return { voterId: owner, address, failureDomain };
            log.error("The store is damaged. This VM joins under a new identity.", { voterId: owner });
        }
        await discardStore(host.disk, dataFolder);
        const isFounder = settings.isFounding && owner === undefined && seeds.includes(address);
        const voterId = isFounder ? getFounderId(address) : `${address}/${host.random.nextId()}`;
        const founders: Membership = isFounder
            ? { voters: [...seeds].sort().map(seed => ({ voterId: getFounderId(seed), address: seed, failureDomain: "" })), learners: [] }
            : { voters: [], learners: [] };
        await formatStore(host.disk, dataFolder, { groupId, voterId, founders });
        log.info("A store was formatted.", { voterId, isFounder });
    }
    throw new StoreRefusedError(`${dataFolder} cannot be opened, although it was formatted`);
}

function getFounderId(address: Address): string {
    return `${address}/founder`;
}

async function canOpen(disk: Disk, folder: string, groupId: string, voterId: string): Promise<boolean> {
    try {
        await openStore(disk, folder, groupId, voterId);
        return true;
    }
    catch (error) {
        if (error instanceof StoreRefusedError) return false;
        throw error;
    }
}

/** What the tasks work on. */
export interface GroupTasksOptions extends Partial<GroupOptions> {
    readonly replica: Replica;
    readonly self: Member;
}

/** The tasks that keep this VM in its group, and the group at its size. */
export interface GroupTasks {
    join(request: JoinRequest): Promise<ControlReply<boolean>>;
    start(): void;
    stop(): void;
}

const tickMs = 200;
const joinTimeoutMs = 1_000;
/** Silence after which a voter gives its place to a learner that waits. */
const silentVoterMs = 3_000;
const silentLearnerMs = 15_000;
/** Entries by which a learner may lag when it becomes a voter. */
const maxLagEntries = 50;

/** Creates the tasks. Without a list of seeds only operators change the group. */
export function createMembershipManager(host: Host, options: GroupTasksOptions): GroupTasks {
    const { replica, self } = options;
    const log = host.createLogger("group");
    const clients = createRpcClients<ControlRouter>(host.network);
    const stopping = createStopController();
    let asked = 0;
    return {
        join,
        start() {
            if (options.getSeeds === undefined) return;
            const onError = (error: unknown) => log.warn("A tick failed.", { detail: getErrorText(error) });
            void runPeriodically(host.timers, tickMs, stopping.signal, tick, onError);
        },
        stop: () => stopping.abort(),
    };

    async function tick(): Promise<void> {
        const status = replica.getStatus();
        if (status.role === "leader") return keepSize(status.membership);
        if (!status.isConnected) await askToJoin(status.membership, status.leaderAddress);
    }

    // The known members and the seeds are asked in turn. A VM that is a member already is told so.
    async function askToJoin(membership: Membership, leaderAddress: Address | undefined): Promise<void> {
        const known = [...getMembers(membership).map(member => member.address), ...options.getSeeds?.() ?? []];
        const others = [...new Set(known)].filter(address => address !== self.address);
        if (others.length === 0) return;
        const address = leaderAddress ?? others[asked++ % others.length]!;
        const reply = await askOne(address);
        if (reply?.kind === "notLeader" && reply.leaderAddress !== undefined) await askOne(reply.leaderAddress);
    }

    async function askOne(address: Address): Promise<ControlReply<boolean> | undefined> {
        try {
            const call = clients.get(address).join.mutate({ ...self }) as Promise<ControlReply<boolean>>;
            return await withTimeout(host.timers, call, joinTimeoutMs, "join");
        }
        catch (error) {
            // The next tick asks another one.
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
        // An earlier learner at the address was emptied since.
        const learners = [...membership.learners.filter(learner => learner.address !== address), { voterId, address, failureDomain }];
        log.info("A control VM joins as a learner.", { voterId });
        const changed = await replica.changeMembership({ voters: membership.voters, learners });
        return changed.kind === "applied"
            ? { kind: "done", index: changed.index, controlTimeMs: changed.controlTimeMs, result: true }
            : { kind: "unavailable", detail: "the membership is changing" };
    }

    async function keepSize(membership: Membership): Promise<void> {
        if (membership.nextVoters !== undefined) {
            await replica.changeMembership(membership);
            return;
        }
        const next = decideMembership(membership, {
            self,
            peers: replica.listPeers(),
            commitIndex: replica.getStatus().commitIndex,
            targetVoters: options.targetVoters ?? membership.voters.length,
            nowMs: host.clock.nowMs(),
        });
        if (next === undefined) return;
        log.info("The membership changes.", { voters: next.voters.map(voter => voter.voterId).join(" ") });
        await replica.changeMembership(next);
    }
}

/** What the choice of the next membership rests on. */
export interface MembershipFacts {
    readonly self: Member;
    readonly peers: readonly PeerProgress[];
    readonly commitIndex: number;
    readonly targetVoters: number;
    readonly nowMs: number;
}

/** The next membership, or undefined while the present one is good. */
export function decideMembership(membership: Membership, facts: MembershipFacts): Membership | undefined {
    const progress = new Map(facts.peers.map(peer => [peer.voterId, peer]));
    const isSilent = (member: Member, silentMs: number) =>
        member.voterId !== facts.self.voterId && facts.nowMs - (progress.get(member.voterId)?.lastAckMs ?? facts.nowMs) > silentMs;
    for (const learner of membership.learners) {
        const peer = progress.get(learner.voterId);
        if (peer === undefined || peer.matchIndex < facts.commitIndex - maxLagEntries || isSilent(learner, tickMs * 5)) continue;
        const learners = membership.learners.filter(other => other !== learner);
        const others = membership.voters.filter(voter => voter.voterId !== facts.self.voterId);
        const replaced = others.find(voter => voter.address === learner.address) ?? others.find(voter => isSilent(voter, silentVoterMs));
        if (replaced !== undefined) return { voters: [...membership.voters.filter(voter => voter !== replaced), learner], learners };
        if (membership.voters.length < facts.targetVoters) return { voters: [...membership.voters, learner], learners };
    }
    const kept = membership.learners.filter(learner => !isSilent(learner, silentLearnerMs));
    return kept.length < membership.learners.length ? { voters: membership.voters, learners: kept } : undefined;
}

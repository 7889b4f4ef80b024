/** Test fixture: a group of log replicas on fake hosts, whose state machine records the applied values. */
import { createPeerCalls, createRootRouter } from "../src/control/log/peers.js";
import { createReplica } from "../src/control/log/replica.js";
import type { PeerCalls, Replica, StateMachine } from "../src/control/log/replicaTypes.js";
import { openStore } from "../src/control/log/store.js";
import type { LogStore } from "../src/control/log/store.js";
import { formatStore } from "../src/control/log/storeFiles.js";
import type { Member } from "../src/control/log/types.js";
import type { Timers } from "../src/kernel/host.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { FakeVm, Simulation } from "../src/standins/fakeHost.js";

/** A replica and the VM that it runs on. */
export interface GroupMember {
    readonly member: Member;
    readonly vm: FakeVm;
    replica: Replica | undefined;
    store: LogStore | undefined;
    /** Values applied since the replica was last started, including those of a loaded snapshot, by log index. */
    applied: Map<number, string>;
    /** Time that applying one entry takes. */
    applyCostMs: number;
}

/** A group of log replicas. */
export interface LogGroup {
    readonly simulation: Simulation;
    readonly members: GroupMember[];
    /** Values applied by any replica, by log index. Applying two different values at one index throws. */
    readonly appliedValues: Map<number, string>;
    /** Restarts the VM and starts the replica from its store. */
    start(index: number): Promise<void>;
    crash(index: number): void;
    /** Adds a VM with an empty store, which takes part once the leader adds it to the membership. */
    addReplica(voterId: string): Promise<number>;
    getLeaders(): readonly GroupMember[];
    waitForLeader(): Promise<GroupMember>;
    /** Proposes a value at a replica. Resolves to its log index, or to undefined if it was not applied there. */
    propose(index: number, value: string): Promise<number | undefined>;
}

/** Options of a group. */
export interface LogGroupOptions {
    readonly snapshotEveryEntries?: number;
    /** Number of the latest values that are part of the state. All by default, so that the state grows with the log. */
    readonly valuesInState?: number;
    /** Replaces the calls between replicas. */
    readonly wrapCalls?: (calls: PeerCalls, timers: Timers) => PeerCalls;
}

const folder = "/data";
const groupId = "group";

/** Creates a group and starts all its replicas. */
export async function createLogGroup(seed: number, size: number, options: LogGroupOptions = {}): Promise<LogGroup> {
    const { snapshotEveryEntries = 50, valuesInState = Infinity, wrapCalls = calls => calls } = options;
    const simulation = createSimulation(seed);
    const founders: Member[] = Array.from({ length: size }, (_, index) => createMember(index, `v${index + 1}`));
    const appliedValues = new Map<number, string>();
    const members: GroupMember[] = founders.map(member => createGroupMember(member));
    for (const [index, member] of members.entries()) {
        await formatStore(member.vm.host.disk, folder, {
            groupId,
            voterId: member.member.voterId,
            founders: { voters: founders, learners: [] },
        });
        await start(index);
    }
    return {
        simulation,
        members,
        appliedValues,
        start,
        crash(index) {
            members[index]!.vm.crash();
            members[index]!.replica = undefined;
        },
        async addReplica(voterId) {
            const member = createGroupMember(createMember(members.length, voterId));
            members.push(member);
            await formatStore(member.vm.host.disk, folder, { groupId, voterId, founders: { voters: [], learners: [] } });
            await start(members.length - 1);
            return members.length - 1;
        },
        getLeaders,
        async waitForLeader() {
            for (let attempt = 0; attempt < 200; attempt++) {
                await simulation.advance(50);
                const leader = getLeaders()[0];
                if (leader !== undefined) return leader;
            }
            throw new Error(`no leader was elected within 10 s:\n${simulation.logLines.slice(-20).join("\n")}`);
        },
        async propose(index, value) {
            const result = await members[index]!.replica?.propose(value, "value", value);
            return result?.kind === "applied" ? result.index : undefined;
        },
    };

    function createMember(index: number, voterId: string): Member {
        return { voterId, address: `10.0.0.${index + 1}:7000`, failureDomain: `d${index % 3}` };
    }

    function createGroupMember(member: Member): GroupMember {
        return {
            member,
            vm: simulation.createVm(member.address.split(":")[0]!),
            replica: undefined,
            store: undefined,
            applied: new Map(),
            applyCostMs: 0,
        };
    }

    function getLeaders(): readonly GroupMember[] {
        return members.filter(member => member.replica?.getStatus().role === "leader");
    }

    async function start(index: number): Promise<void> {
        const member = members[index]!;
        const host = member.vm.restart();
        member.applied = new Map();
        const store = await openStore(host, folder, groupId, member.member.voterId);
        const replica = createReplica(host, {
            self: member.member,
            store,
            stateMachine: createMachine(member),
            calls: wrapCalls(createPeerCalls(host), host.timers),
            timing: { heartbeatMs: 50, electionTimeoutMs: 500, callTimeoutMs: 200 },
            snapshotEveryEntries,
        });
        await host.network.serve({
            address: member.member.address,
            handler: () => Promise.resolve(),
            router: createRootRouter(replica),
            maxBodyBytes: 1e9,
        });
        member.replica = replica;
        member.store = store;
        replica.start();
    }

    function createMachine(member: GroupMember): StateMachine {
        return {
            apply(entry) {
                const value = String(entry.input);
                const existing = appliedValues.get(entry.index);
                if (existing !== undefined && existing !== value) throw new Error(`index ${entry.index} holds ${existing} and ${value}`);
                appliedValues.set(entry.index, value);
                member.applied.set(entry.index, value);
                if (member.applyCostMs > 0) member.vm.compute(member.applyCostMs);
                return value;
            },
            save: () => [...member.applied].slice(-valuesInState),
            load(state) {
                member.applied = new Map(state as [number, string][]);
            },
        };
    }
}

/** The replicated log under crashes, network partitions, disk faults and membership changes. */
import { test } from "tap";
import { openStore } from "../src/control/log/store.js";
import type { LogStore } from "../src/control/log/store.js";
import { formatStore, UnusableStoreError } from "../src/control/log/storeFiles.js";
import type { LogEntry, Snapshot } from "../src/control/log/types.js";
import { checkDefined } from "../src/kernel/debug.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { FakeVm } from "../src/standins/fakeHost.js";
import { createLogGroup } from "./logGroup.js";
import type { LogGroup } from "./logGroup.js";

async function proposeMany(group: LogGroup, count: number, prefix: string): Promise<void> {
    const leader = await group.waitForLeader();
    const index = group.members.indexOf(leader);
    for (let number = 0; number < count; number++) {
        const proposed = group.propose(index, `${prefix}${number}`);
        if (await group.simulation.runUntil(proposed, 10_000) === undefined) throw new Error(`${prefix}${number} was not applied`);
    }
}

function countApplied(group: LogGroup, index: number, prefix: string): number {
    return [...group.members[index]!.applied.values()].filter(value => value.startsWith(prefix)).length;
}

test("a new leader keeps all applied entries and a restarted voter catches up", async t => {
    const group = await createLogGroup(1, 3);
    await proposeMany(group, 20, "a");
    const oldLeader = group.members.indexOf(group.getLeaders()[0]!);
    group.crash(oldLeader);
    await proposeMany(group, 20, "b");
    await group.start(oldLeader);
    await group.simulation.advance(3_000);
    for (const index of group.members.keys()) {
        t.equal(countApplied(group, index, "a"), 20);
        t.equal(countApplied(group, index, "b"), 20);
    }
});

test("an isolated leader steps down and answers neither writes nor reads", async t => {
    const group = await createLogGroup(2, 3);
    const leader = await group.waitForLeader();
    const ip = leader.vm.ip;
    group.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
    const write = leader.replica!.propose("lost", "value", "lost");
    const read = leader.replica!.readBarrier();
    t.not((await group.simulation.runUntil(write, 20_000)).kind, "applied");
    t.equal((await group.simulation.runUntil(read, 20_000)).kind, "notLeader");
    t.equal(leader.replica!.getStatus().role, "follower");
    const next = await group.waitForLeader();
    t.not(next.member.voterId, leader.member.voterId);
    group.simulation.healPartition();
    await group.simulation.advance(3_000);
    t.equal(group.getLeaders().length, 1);
    t.notOk([...group.appliedValues.values()].includes("lost"));
});

test("an isolated follower refuses reads and does not disturb the leader", async t => {
    const group = await createLogGroup(3, 3);
    const leader = await group.waitForLeader();
    const follower = group.members.find(member => member !== leader)!;
    const ip = follower.vm.ip;
    group.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
    await group.simulation.advance(10_000);
    const term = leader.replica!.getStatus().term;
    t.equal((await group.simulation.runUntil(follower.replica!.readBarrier())).kind, "notLeader");
    group.simulation.healPartition();
    await group.simulation.advance(3_000);
    t.equal(leader.replica!.getStatus().term, term, "pre-vote must not raise the term");
    t.equal(leader.replica!.getStatus().role, "leader");
});

test("a long replay after a restart of the whole group does not cost the leader its leadership", async t => {
    for (const seed of [5, 6, 7, 8, 9]) {
        const group = await createLogGroup(seed, 3, { snapshotEveryEntries: 1_000 });
        await proposeMany(group, 250, "a");
        const termBefore = group.getLeaders()[0]!.replica!.getStatus().term;
        for (const index of group.members.keys()) group.crash(index);
        for (const [index, member] of group.members.entries()) {
            member.applyCostMs = 4;
            await group.start(index);
        }
        await group.simulation.advance(4_000);
        t.equal(group.getLeaders().length, 1);
        t.equal(group.getLeaders()[0]?.replica?.getStatus().term, termBefore + 1, `seed ${seed}: one election is enough`);
        for (const index of group.members.keys()) t.equal(countApplied(group, index, "a"), 250);
    }
});

test("a restarted follower catches up over a snapshot after 1800 entries", async t => {
    const group = await createLogGroup(4, 3, { snapshotEveryEntries: 40 });
    const leader = await group.waitForLeader();
    const crashedFollower = group.members.findIndex(member => member !== leader);
    group.crash(crashedFollower);
    for (let round = 0; round < 60; round++) {
        await group.simulation.runUntil(
            Promise.all(
                Array.from(
                    { length: 30 },
                    (_, number) => group.propose(group.members.indexOf(leader), `r${round}.${number}`.padEnd(2_048, ".")),
                ),
            ),
        );
    }
    await group.start(crashedFollower);
    await group.simulation.advance(5_000);
    t.equal(countApplied(group, crashedFollower, "r"), 1_800);
    t.match(group.simulation.logLines.join("\n"), "Installed a snapshot from the leader.");
});

test("acknowledged entries survive a crash during an append", async t => {
    const group = await createLogGroup(5, 1);
    await proposeMany(group, 10, "a");
    void group.propose(0, "in flight");
    group.crash(0);
    await group.start(0);
    await group.waitForLeader();
    await group.simulation.advance(1_000);
    t.equal(countApplied(group, 0, "a"), 10);
});

interface StoreStep {
    readonly store: LogStore;
    readonly vm: FakeVm;
}

/** Runs a step on a store of 60 entries in several segments, restarts the process, opens the store again and appends to it. */
async function reopenAfter(step: (step: StoreStep) => Promise<void>): Promise<LogStore> {
    const vm = createSimulation(31).createVm("10.0.0.1");
    await formatStore(vm.host.disk, "/data", { groupId: "group", voterId: "v1", founders: { voters: [], learners: [] } });
    const store = await openStore(vm.host, "/data", "group", "v1");
    for (let index = 1; index <= 60; index++) await store.append([createLargeEntry(index)]);
    await step({ store, vm });
    const reopened = await openStore(vm.restart(), "/data", "group", "v1");
    await reopened.append([createLargeEntry(reopened.lastIndex + 1)]);
    return openStore(vm.restart(), "/data", "group", "v1");
}

function createLargeEntry(index: number): LogEntry {
    const input = "".padEnd(32 * 1024, ".");
    return { kind: "command", index, term: 1, controlTimeMs: 0, wallMs: 0, operationId: String(index), command: "value", input };
}

function createSnapshot(index: number, term: number): Snapshot {
    return { index, term, controlTimeMs: 0, membership: { voters: [], learners: [] }, state: "state" };
}

test("a segment that is there again after a loss of power, before a removed one, does not shift the entries after it", async t => {
    const store = await reopenAfter(async ({ store, vm }) => {
        const segments = vm.disk.listFiles().filter(file => file.includes("segment"));
        t.ok(segments.length > 3);
        const first = checkDefined(await vm.host.disk.read(segments[0]!), "the first segment is there");
        await store.saveSnapshot(createSnapshot(50, 1), 0);
        await vm.host.disk.write(segments[0]!, first);
    });
    t.equal(store.lastIndex, 61);
    t.equal(store.getEntry(55)?.index, 55);
    t.ok(store.firstIndex > 1);
});

test("a process that ends between a snapshot from the leader and the removal of the segments before it opens its store again", async t => {
    for (const [index, term] of [[80, 2], [60, 2], [40, 2]] as const) {
        const store = await reopenAfter(async ({ store, vm }) => {
            const removed = vm.disk.listFiles().filter(file => file.includes("segment"));
            const contents = await Promise.all(removed.map(file => vm.host.disk.read(file)));
            await store.installSnapshot(createSnapshot(index, term));
            for (const [position, file] of removed.entries()) await vm.host.disk.write(file, contents[position]!);
        });
        t.equal(store.firstIndex, index + 1, "the entries that conflict with the snapshot are gone");
        t.equal(store.lastIndex, index + 1);
    }
});

test("a store with a flipped bit before the last record cannot be opened", async t => {
    const group = await createLogGroup(6, 1);
    await proposeMany(group, 10, "a");
    group.crash(0);
    const file = group.members[0]!.vm.disk.listFiles().find(name => name.includes("segment"))!;
    group.members[0]!.vm.disk.flipBit(file, Math.floor(group.members[0]!.vm.disk.getSizeBytes(file) / 2));
    await t.rejects(group.start(0), UnusableStoreError);
});

test("an emptied disk cannot be opened under the old voter id", async t => {
    const group = await createLogGroup(7, 3);
    await proposeMany(group, 5, "a");
    group.crash(0);
    group.members[0]!.vm.disk.wipe();
    await t.rejects(group.start(0), UnusableStoreError);
});

test("a leader with a full disk steps down and catches up once space is free", async t => {
    const group = await createLogGroup(8, 3);
    await proposeMany(group, 5, "a");
    const leader = await group.waitForLeader();
    leader.vm.disk.setFull(true);
    const refused = leader.replica!.propose("x", "value", "x");
    t.not((await group.simulation.runUntil(refused, 20_000)).kind, "applied");
    t.equal(leader.replica!.getStatus().hasDiskFailed, true);
    await proposeMany(group, 5, "b");
    leader.vm.disk.setFull(false);
    await group.simulation.advance(5_000);
    t.equal(countApplied(group, group.members.indexOf(leader), "b"), 5);
});

test("after a voter is replaced, the group tolerates another crash", async t => {
    const group = await createLogGroup(9, 3);
    await proposeMany(group, 100, "a");
    const leader = await group.waitForLeader();
    const others = group.members.filter(member => member !== leader);
    group.crash(group.members.indexOf(others[0]!));
    const added = await group.addReplica("v4");
    const replaced = leader.replica!.replaceVoter(others[0]!.member.voterId, group.members[added]!.member);
    t.equal((await group.simulation.runUntil(replaced, 60_000)).kind, "applied");
    group.crash(group.members.indexOf(others[1]!));
    await proposeMany(group, 10, "b");
    t.equal(countApplied(group, added, "a"), 100);
    const { membership } = leader.replica!.getStatus();
    t.same(membership.voters.map(voter => voter.voterId).sort(), [leader.member.voterId, others[1]!.member.voterId, "v4"].sort());
});

test("leadership is transferred to another voter", async t => {
    const group = await createLogGroup(10, 3);
    await proposeMany(group, 5, "a");
    const leader = group.getLeaders()[0]!;
    t.ok(await group.simulation.runUntil(leader.replica!.transferLeadership(), 10_000));
    const next = await group.waitForLeader();
    t.not(next, leader);
});

/** What a control VM keeps, sends and reads is bounded by its state, however long its history is. */
import { test } from "tap";
import { prepareMember } from "../src/control/group.js";
import { encodeRecord } from "../src/control/log/records.js";
import type { PeerCalls } from "../src/control/log/replicaTypes.js";
import { createControlState } from "../src/control/plugins/index.js";
import { createStateMachine } from "../src/control/stateMachine.js";
import type { Disk, Timers } from "../src/kernel/host.js";
import { createRegistry } from "../src/kernel/registry.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { createLogGroup } from "./logGroup.js";
import type { LogGroup } from "./logGroup.js";

const largeValueBytes = 64 * 1024;
const options = { snapshotEveryEntries: 250, valuesInState: 2 };

async function proposeLargeValues(group: LogGroup, count: number, prefix: string): Promise<void> {
    const leader = group.members.indexOf(await group.waitForLeader());
    for (let number = 0; number < count; number++) {
        const value = `${prefix}${number}`.padEnd(largeValueBytes, ".");
        if (await group.simulation.runUntil(group.propose(leader, value), 10_000) === undefined) throw new Error("not applied");
    }
}

function getDiskBytes(group: LogGroup, index: number): number {
    const { disk } = group.members[index]!.vm;
    return disk.listFiles().reduce((total, file) => total + disk.getSizeBytes(file), 0);
}

test("a long history of large entries takes no more of the disk than a short one", async t => {
    const group = await createLogGroup(21, 3, options);
    await proposeLargeValues(group, 100, "short");
    const shortBytes = Math.max(...group.members.map((_, index) => getDiskBytes(group, index)));
    await proposeLargeValues(group, 900, "long");
    const longBytes = Math.max(...group.members.map((_, index) => getDiskBytes(group, index)));
    t.ok(longBytes <= 1.5 * shortBytes, `${longBytes} bytes after 1,000 entries, ${shortBytes} after 100`);
});

test("a new leader reads and applies no more after a long history of large entries than after a short one", async t => {
    const group = await createLogGroup(22, 3, options);
    const countReplayed = async () => {
        for (const index of group.members.keys()) group.crash(index);
        for (const index of group.members.keys()) await group.start(index);
        const { store, replica } = group.members[0]!;
        return { entries: store!.lastIndex - store!.firstIndex + 1, replayed: store!.lastIndex - replica!.getStatus().appliedIndex };
    };
    await proposeLargeValues(group, 100, "short");
    const short = await countReplayed();
    await proposeLargeValues(group, 140, "long");
    const long = await countReplayed();
    t.ok(long.entries <= short.entries * 1.5, `${long.entries} entries kept after 240, ${short.entries} after 100`);
    t.ok(long.replayed <= Math.max(16, short.replayed * 1.5), `${long.replayed} replayed after 240, ${short.replayed} after 100`);
});

/** Bytes per second of the link to each replica. A message of 512 entries of 64 KiB takes 3.2 s on it. */
const linkBytesPerSecond = 10 * 1024 * 1024;

function createSlowCalls(calls: PeerCalls, timers: Timers): PeerCalls {
    return {
        ...calls,
        async append(to, request, signal) {
            await sleep(timers, JSON.stringify(request).length / linkBytesPerSecond * 1_000);
            return calls.append(to, request, signal);
        },
    };
}

test("a follower that missed many large entries catches up on a slow link, which no single message fills for long", async t => {
    const group = await createLogGroup(23, 3, { snapshotEveryEntries: 100_000, valuesInState: 2, wrapCalls: createSlowCalls });
    const leader = await group.waitForLeader();
    const follower = group.members.findIndex(member => member !== leader);
    group.crash(follower);
    await proposeLargeValues(group, 60, "missed");
    await group.start(follower);
    await group.simulation.advance(3_000);
    const { voterId } = group.members[follower]!.member;
    const matchIndex = leader.replica!.listPeers().find(peer => peer.voterId === voterId)!.matchIndex;
    t.equal(matchIndex, leader.store!.lastIndex);
});

test("an append without an answer is cancelled when it is given up, so that its entries are not kept for it", async t => {
    let unanswered = 0;
    let cancelled = 0;
    const wrapCalls = (calls: PeerCalls): PeerCalls => ({
        ...calls,
        append(to, request, signal) {
            if (to.voterId !== "v1") return calls.append(to, request, signal);
            unanswered++;
            signal.addEventListener("abort", () => cancelled++);
            return new Promise(() => undefined);
        },
    });
    const group = await createLogGroup(24, 3, { wrapCalls });
    await group.simulation.advance(5_000);
    t.ok(unanswered > 5, `${unanswered} appends without an answer`);
    t.ok(cancelled >= unanswered - 2, `${cancelled} of ${unanswered} cancelled`);
});

test("a start reads each file of the log once", async t => {
    const { host } = createSimulation(25).createVm("10.0.0.1");
    const settings = {
        dataFolder: "/data",
        groupId: "group",
        address: "10.0.0.1:7000",
        failureDomain: "a",
        seeds: ["10.0.0.1:7000"],
        isBootstrap: true,
    };
    const { store } = await prepareMember(host, settings);
    await store.append([{ kind: "leaderStart", voterId: "v", index: 1, term: 1, controlTimeMs: 0, wallMs: 0 }]);
    const reads: string[] = [];
    const disk: Disk = {
        ...host.disk,
        read(file) {
            reads.push(file);
            return host.disk.read(file);
        },
    };
    const reopened = await prepareMember({ ...host, disk }, settings);
    t.equal(reopened.store.lastIndex, 1);
    t.equal(reads.filter(file => file.includes("segment")).length, 1);
});

test("the state that a snapshot holds is no larger after 20,000 changes of configuration than after 5,000", t => {
    const registry = createRegistry();
    createControlState(plugin => registry.register(plugin), registry);
    const stateMachine = createStateMachine(registry);
    const applyChanges = (from: number, to: number) => {
        for (let index = from; index <= to; index++) {
            const input = { baseVersion: index - 1, changeId: `change-${index}`, objects: [], actor: "operator" };
            const context = { index, term: 1, nowMs: index, wallMs: index, operationId: `operation-${index}` };
            const entry = { kind: "command", command: "configuration.apply", input, controlTimeMs: index, ...context } as const;
            stateMachine.apply(entry, context);
        }
        return encodeRecord(stateMachine.save()).length;
    };
    const bytesAfterFew = applyChanges(1, 5_000);
    const bytesAfterMany = applyChanges(5_001, 20_000);
    t.ok(bytesAfterMany <= 1.1 * bytesAfterFew, `${bytesAfterMany} bytes after 20,000 changes, ${bytesAfterFew} after 5,000`);
    t.end();
});

/**
 * Seeded runs of the log with random faults. They check that all replicas apply the same value at an index, that no
 * acknowledged write is lost, and that no read returns a state older than an acknowledged write.
 */
import { test } from "tap";
import type { Simulation } from "../src/standins/fakeHost.js";
import { createLogGroup } from "./logGroup.js";
import type { LogGroup } from "./logGroup.js";

const stepsPerRun = 400;
const seedCount = Number(process.env["LOG_SEEDS"] ?? 24);

interface History {
    /** Highest index of an acknowledged write. A read that starts now must return at least this index. */
    acknowledgedIndex: number;
    readonly acknowledged: Map<number, string>;
    staleReads: number;
    reads: number;
}

async function write(group: LogGroup, memberIndex: number, value: string, history: History): Promise<void> {
    const logIndex = await group.propose(memberIndex, value);
    if (logIndex === undefined) return;
    history.acknowledged.set(logIndex, value);
    history.acknowledgedIndex = Math.max(history.acknowledgedIndex, logIndex);
}

async function read(group: LogGroup, memberIndex: number, history: History): Promise<void> {
    const expected = history.acknowledgedIndex;
    const barrier = await group.members[memberIndex]!.replica?.readBarrier();
    if (barrier?.kind !== "confirmed") return;
    history.reads++;
    if (barrier.index < expected) history.staleReads++;
}

const faultActions: readonly ((group: LogGroup, isDown: boolean[]) => Promise<void> | void)[] = [
    ({ simulation, members }) => {
        const ip = pickRandom(simulation, members).vm.ip;
        simulation.setPartition((from, to) => (from === ip) !== (to === ip));
    },
    ({ simulation, members }) => {
        // Blocks messages in one direction between two voters.
        const [a, b] = [pickRandom(simulation, members).vm.ip, pickRandom(simulation, members).vm.ip];
        simulation.setPartition((from, to) => from === a && to === b);
    },
    ({ simulation }) => simulation.healPartition(),
    ({ simulation }) => simulation.healPartition(),
    ({ simulation }) => simulation.setFaults({ lossProbability: 0.15, duplicationProbability: 0.15, maxDelayMs: 80 }),
    ({ simulation }) => simulation.setFaults({ lossProbability: 0, duplicationProbability: 0, maxDelayMs: 1.5 }),
    ({ simulation, members }) => pickRandom(simulation, members).vm.freeze(200 + simulation.random() * 2_500),
    ({ simulation, getLeaders }) => {
        const leaders = getLeaders();
        if (leaders.length > 0) pickRandom(simulation, leaders).vm.freeze(600 + simulation.random() * 1_500);
    },
    (group, isDown) => {
        const index = Math.floor(group.simulation.random() * group.members.length);
        if (isDown[index]) return;
        isDown[index] = true;
        group.crash(index);
    },
    restartCrashedReplica,
    restartCrashedReplica,
    async (group, isDown) => {
        for (const index of group.members.keys()) group.crash(index);
        isDown.fill(false);
        for (const index of group.members.keys()) await group.start(index);
    },
];

function pickRandom<T>(simulation: Simulation, items: readonly T[]): T {
    return items[Math.floor(simulation.random() * items.length)]!;
}

async function restartCrashedReplica(group: LogGroup, isDown: boolean[]): Promise<void> {
    const index = isDown.findIndex(Boolean);
    if (index < 0) return;
    isDown[index] = false;
    await group.start(index);
}

async function runWithRandomFaults(seed: number, size: number): Promise<{ readonly group: LogGroup; readonly history: History; }> {
    const group = await createLogGroup(seed, size, { snapshotEveryEntries: 30 });
    const history: History = { acknowledgedIndex: 0, acknowledged: new Map(), staleReads: 0, reads: 0 };
    const isDown = group.members.map(() => false);
    for (let step = 0; step < stepsPerRun; step++) {
        const target = Math.floor(group.simulation.random() * size);
        if (group.simulation.random() < 0.6) void write(group, target, `${seed}.${step}`, history);
        else void read(group, target, history);
        if (group.simulation.random() < 0.1) await pickRandom(group.simulation, faultActions)(group, isDown);
        await group.simulation.advance(group.simulation.random() * 120);
    }
    group.simulation.healPartition();
    group.simulation.setFaults({ lossProbability: 0, duplicationProbability: 0, maxDelayMs: 1.5 });
    for (const [index, wasDown] of isDown.entries()) {
        if (wasDown) await group.start(index);
    }
    await group.simulation.advance(10_000);
    return { group, history };
}

test("random faults neither lose acknowledged writes nor cause stale reads", async t => {
    let acknowledged = 0;
    let reads = 0;
    for (let seed = 100; seed < 100 + seedCount; seed++) {
        const { group, history } = await runWithRandomFaults(seed, seed % 2 === 0 ? 3 : 5);
        const leader = await group.waitForLeader();
        for (const [index, value] of history.acknowledged) {
            if (leader.applied.get(index) !== value) t.fail(`seed ${seed} lost the acknowledged value ${value} at index ${index}`);
        }
        t.equal(history.staleReads, 0, `seed ${seed} has no stale read`);
        const highestCommitIndex = Math.max(...group.members.map(member => member.replica!.getStatus().commitIndex));
        t.ok(group.members.every(member => member.replica!.getStatus().appliedIndex === highestCommitIndex), `seed ${seed} converges`);
        acknowledged += history.acknowledged.size;
        reads += history.reads;
    }
    t.ok(
        acknowledged > 500 && reads > 200,
        `the runs performed enough operations: ${acknowledged} acknowledged writes, ${reads} confirmed reads`,
    );
});

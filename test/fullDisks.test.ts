/** Disks of voters that fill up one after another: the group goes on without help once a majority has room. */
import { test } from "tap";
import { createLogGroup } from "./logGroup.js";
import type { GroupMember, LogGroup } from "./logGroup.js";

const seedCount = Number(process.env["FULL_DISK_SEEDS"] ?? 2);
const fullMs = 3_000;
const roundCount = 12;
const calmMs = 5_000;

/** Proposes a value every 50 ms at the voter that leads at that time. */
async function proposeFor(group: LogGroup, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
        const leader = group.getLeaders()[0];
        if (leader !== undefined) void group.propose(group.members.indexOf(leader), `at ${group.simulation.nowMs()}`);
        await group.simulation.advance(Math.min(50, durationMs - passedMs));
    }
}

function pickOther(group: LogGroup, excluded: GroupMember | undefined): GroupMember {
    const others = group.members.filter(member => member !== excluded);
    return others[Math.floor(group.simulation.random() * others.length)]!;
}

async function fillDisksInTurn(group: LogGroup, pauseMs: number): Promise<void> {
    let previous: GroupMember | undefined;
    for (let round = 0; round < roundCount; round++) {
        const leader = group.getLeaders()[0];
        const next = leader !== undefined && leader !== previous ? leader : pickOther(group, previous);
        next.vm.disk.setFull(true);
        await proposeFor(group, fullMs);
        next.vm.disk.setFull(false);
        previous = next;
        await proposeFor(group, pauseMs);
    }
}

for (const voterCount of [3, 5]) {
    for (const pauseMs of [0, 60, 500, 1_000]) {
        test(`${voterCount} voters accept proposals after their disks were full in turn, ${pauseMs} ms apart`, async t => {
            for (let seed = 1; seed <= seedCount; seed++) {
                const group = await createLogGroup(seed, voterCount);
                await group.waitForLeader();
                await fillDisksInTurn(group, pauseMs);
                await group.simulation.advance(calmMs);
                const leader = group.getLeaders()[0];
                t.ok(leader !== undefined, `seed ${seed}: a voter leads`);
                if (leader === undefined) continue;
                const proposed = group.propose(group.members.indexOf(leader), "afterwards");
                t.ok(await group.simulation.runUntil(proposed, 2_000) !== undefined, `seed ${seed}: a proposal is applied`);
                t.same(
                    group.members.filter(member => member.replica!.getStatus().hasDiskFailed),
                    [],
                    `seed ${seed}: no voter counts as failed`,
                );
            }
        });
    }
}

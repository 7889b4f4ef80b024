/** The number of append calls of a leader under load. */
import { test } from "tap";
import { createLogGroup } from "./logGroup.js";

const proposals = 400;
const spacingMs = 5;

test("a leader under load sends many entries in one append instead of one append for each", async t => {
    const group = await createLogGroup(1, 5, 10_000);
    const leader = await group.waitForLeader();
    const index = group.members.indexOf(leader);
    await group.simulation.advance(500);
    const appendsBefore = leader.countAppends();
    const pending: Promise<number | undefined>[] = [];
    for (let number = 0; number < proposals; number++) {
        pending.push(group.propose(index, `p${number}`));
        await group.simulation.advance(spacingMs);
    }
    const indexes = await group.simulation.runUntil(Promise.all(pending));
    t.notOk(indexes.includes(undefined));
    const seconds = proposals * spacingMs / 1_000;
    const appendsPerPeerSecond = (leader.countAppends() - appendsBefore) / 4 / seconds;
    t.ok(appendsPerPeerSecond <= 60, `${appendsPerPeerSecond.toFixed(1)} appends a second to each peer for 200 proposals a second`);
});

test("a single proposal to an idle leader is not delayed", async t => {
    const group = await createLogGroup(2, 5, 10_000);
    const leader = await group.waitForLeader();
    const index = group.members.indexOf(leader);
    for (let number = 0; number < 20; number++) {
        await group.simulation.advance(130);
        const proposedAtMs = group.simulation.nowMs();
        t.not(await group.simulation.runUntil(group.propose(index, `s${number}`)), undefined);
        t.ok(group.simulation.nowMs() - proposedAtMs <= 30, `${group.simulation.nowMs() - proposedAtMs} ms`);
    }
});

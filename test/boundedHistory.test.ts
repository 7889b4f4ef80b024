/** What a control VM keeps, sends and reads is bounded by its state, however long its history is. */
import { test } from "tap";
import { prepareMember } from "../src/control/group.js";
import type { PeerCalls } from "../src/control/log/replicaTypes.js";
import type { Disk } from "../src/kernel/host.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { createLogGroup } from "./logGroup.js";

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

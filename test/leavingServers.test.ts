/** A backend server whose leaving was acknowledged gets no more requests, whatever becomes of the control VMs. */
import { test } from "tap";
import { createControlDirectory } from "../src/control/directory.js";
import type { ControlGroupView } from "../src/control/directory.js";
import { createLeavingServers } from "../src/control/plugins/leavingServers.js";
import type { BackendServerRecord } from "../src/kernel/directory.js";
import type { CommandResults } from "../src/kernel/messages.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { controlPort, createDirectFleet, createServerRecord, createSingleGroup } from "./directFleet.js";
import type { DirectFleet, FakeServer } from "./directFleet.js";

const drainMs = 2_000;
const allControls = [0, 1, 2];

type Notice = "draining" | "gone";

async function post(fleet: DirectFleet, control: number, path: string, body: object): Promise<number | undefined> {
    const address = `${fleet.controls[control]!.vm.ip}:${controlPort}`;
    const request = { method: "POST", path, body: Buffer.from(JSON.stringify(body)) };
    try {
        return (await fleet.callerVm.host.network.request(address, request)).status;
    }
    catch {
        return undefined;
    }
}

function createHeartbeat({ service, address, failureDomain, version, bornMs, sequence }: FakeServer, state: "ready" | "draining"): object {
    return { service, address, zone: failureDomain, version, slots: 8, state, cold_left_ms: 0, seq: sequence, born: bornMs };
}

/** Sends a heartbeat of an earlier time, as one that was held up on its way. */
function sendLate(fleet: DirectFleet, { id }: FakeServer, control: number, heartbeat: object): Promise<number | undefined> {
    return post(fleet, control, `/workers/${id}/heartbeat`, heartbeat);
}

/** Announces that a server leaves. */
async function announce(fleet: DirectFleet, server: FakeServer, control: number, notice: Notice): Promise<number | undefined> {
    server.sequence++;
    const { id, bornMs, sequence } = server;
    if (notice === "draining") return post(fleet, control, `/workers/${id}/heartbeat`, createHeartbeat(server, "draining"));
    return post(fleet, control, `/workers/${id}/deregister`, { born: bornMs, seq: sequence });
}

/** Kills all processes of the fleet at the same moment, with or without their unsynced writes, and starts them again. */
async function restartAll(fleet: DirectFleet, loss: "kill" | "power" = "kill", controls = allControls): Promise<void> {
    for (const { vm } of [...fleet.controls, ...fleet.entries]) {
        if (loss === "power") vm.crash();
        vm.restart();
    }
    for (const index of controls) await fleet.startControl(index, false);
    for (const index of fleet.entries.keys()) await fleet.startEntry(index);
}

async function sendHeartbeats(fleet: DirectFleet, servers: readonly FakeServer[], control: number): Promise<void> {
    for (const server of servers) await fleet.simulation.runUntil(fleet.heartbeat(server, control));
}

/** Sends requests and returns how many of them reached the server. */
async function countRequests(fleet: DirectFleet, server: FakeServer): Promise<number> {
    const before = server.receivedRequests.length;
    const statuses = new Set<number | undefined>();
    for (let number = 0; number < 24; number++) {
        const call = fleet.call(number % fleet.entries.length, { path: "/safe/1", id: `r${fleet.simulation.nowMs()}-${number}` });
        statuses.add((await fleet.simulation.runUntil(call)).status);
    }
    if (!statuses.has(200)) throw new Error(`no request was served: ${[...statuses].join(" ")}`);
    return server.receivedRequests.length - before;
}

interface Scene {
    readonly fleet: DirectFleet;
    /** The server that leaves. */
    readonly leaver: FakeServer;
    readonly others: readonly FakeServer[];
    /** The heartbeat that it sends before it leaves. */
    readonly late: object;
}

async function createFleet(seed: number): Promise<Scene> {
    const fleet = await createDirectFleet(seed, { entries: 2, servers: 3 });
    const [leaver, ...others] = fleet.servers as [FakeServer, ...FakeServer[]];
    leaver.sequence++;
    return { fleet, leaver, others, late: createHeartbeat(leaver, "ready") };
}

/** Lets a late heartbeat of the server that left arrive at a control VM, and returns how many requests reach the server after that. */
async function countAfterLateHeartbeat({ fleet, leaver, others, late }: Scene, control: number): Promise<number> {
    await fleet.simulation.advance(4_000);
    await sendHeartbeats(fleet, others, control);
    await fleet.simulation.runUntil(sendLate(fleet, leaver, control, late));
    await fleet.simulation.advance(drainMs);
    return countRequests(fleet, leaver);
}

// Guards against acknowledgements that only processes remember: a late heartbeat brought the server back after all of them were killed.
for (const notice of ["gone", "draining"] as const) {
    for (const loss of ["kill", "power"] as const) {
        test(`a late heartbeat does not revoke that a server is ${notice} after a ${loss === "kill" ? "kill" : "loss of power"} of all processes`, async t => {
            const scene = await createFleet(601);
            const { fleet, leaver } = scene;
            t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, notice)), 200);
            await restartAll(fleet, loss);
            t.equal(await countAfterLateHeartbeat(scene, 1), 0);
        });
    }
}

test("a late heartbeat does not revoke a leaving while control has not caught up", async t => {
    for (const delayMs of [0, 50, 200, 400, 700]) {
        const { fleet, leaver, others, late } = await createFleet(602);
        t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "gone")), 200);
        await restartAll(fleet);
        await fleet.simulation.advance(delayMs);
        const answers = allControls.map(control => sendLate(fleet, leaver, control, late));
        await fleet.simulation.runUntil(Promise.all(answers));
        await fleet.simulation.advance(3_000);
        await sendHeartbeats(fleet, others, 1);
        await fleet.simulation.advance(500);
        t.equal(await countRequests(fleet, leaver), 0, `${delayMs} ms after the start`);
    }
});

test("a leaving is known after two kills, and while the VM that acknowledged it stays down", async t => {
    const scene = await createFleet(603);
    const { fleet, leaver } = scene;
    t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "gone")), 200);
    await restartAll(fleet);
    await fleet.simulation.advance(1_500);
    await restartAll(fleet, "power", [1, 2]);
    t.equal(await countAfterLateHeartbeat(scene, 2), 0);
});

test("a control VM that was cut off during a leaving does not revoke it after a kill of all processes", async t => {
    const { fleet, leaver, others, late } = await createFleet(604);
    const { ip } = fleet.controls[2]!.vm;
    fleet.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
    await fleet.simulation.advance(2_000);
    t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "gone")), 200);
    fleet.simulation.healPartition();
    await restartAll(fleet);
    const answer = sendLate(fleet, leaver, 2, late);
    await fleet.simulation.advance(3_000);
    await fleet.simulation.runUntil(answer);
    await sendHeartbeats(fleet, others, 2);
    await fleet.simulation.advance(500);
    t.equal(await countRequests(fleet, leaver), 0);
});

test("a control VM with an empty disk learns which servers left from a snapshot", async t => {
    const scene = await createFleet(605);
    const { fleet, leaver } = scene;
    t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "gone")), 200);
    // More log entries than between two snapshots.
    for (let version = 2; version < 400; version++) {
        await fleet.simulation.runUntil(
            fleet.controls[0]!.process!.control.submit("quarantine.exonerate", { fingerprint: "f" }, { timeoutMs: 1_000 }),
        );
    }
    const { vm } = fleet.controls[2]!;
    vm.crash();
    vm.disk.wipe();
    vm.restart();
    await fleet.startControl(2, false);
    await fleet.simulation.advance(8_000);
    await restartAll(fleet);
    t.equal(await countAfterLateHeartbeat(scene, 2), 0);
});

test("a server that starts again under its id after it left gets requests", async t => {
    const { fleet, leaver, others } = await createFleet(606);
    t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "gone")), 200);
    await restartAll(fleet);
    leaver.bornMs += 60_000;
    leaver.sequence = 0;
    // Arrives before control has caught up.
    await sendHeartbeats(fleet, [leaver, ...others], 1);
    await fleet.simulation.advance(4_000);
    await sendHeartbeats(fleet, [leaver, ...others], 1);
    await fleet.simulation.advance(1_500);
    t.ok(await countRequests(fleet, leaver) > 0);
});

test("no leaving is acknowledged while no majority of the control VMs can store it", async t => {
    const { fleet, leaver } = await createFleet(607);
    for (const control of fleet.controls.slice(1)) control.vm.disk.setFull(true);
    t.not(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "gone")), 200);
});

// Guards against notices that wait for the next message to the other control VMs, which may come later than the server waits.
test("repeated notices of one server are acknowledged by each control VM and add one entry to the log", async t => {
    const { fleet, leaver } = await createFleet(608);
    await fleet.simulation.advance(500);
    t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, 0, "draining")), 200);
    await fleet.simulation.advance(200);
    const before = fleet.getLeader()!.state.leavingServers.list(0);
    const entries: string[] = [];
    for (const { process } of fleet.controls) {
        const { api } = process!.part;
        const { submit } = api;
        Object.assign(api, { submit: (request: Parameters<typeof submit>[0]) => (entries.push(request.kind), submit(request)) });
    }
    for (const control of [0, 1, 2, 0]) {
        t.equal(await fleet.simulation.runUntil(announce(fleet, leaver, control, "draining")), 200, `at VM ${control}`);
    }
    t.equal(entries.filter(kind => kind === "leavingServers.record").length, 0);
    t.same(fleet.getLeader()!.state.leavingServers.list(0), before);
});

test("records of leaving servers expire, and say which notices they cover", t => {
    const { plugin, list, covers } = createLeavingServers();
    const record = (item: BackendServerRecord, nowMs: number) =>
        (plugin.commands!["leavingServers.record"] as (input: object, context: object) => CommandResults["leavingServers.record"])(
            { record: item },
            { nowMs },
        ).isRecorded;
    t.ok(record(createServerRecord({ state: "draining" }), 0));
    t.ok(covers(createServerRecord({ state: "draining", sequence: 9 })));
    t.notOk(covers(createServerRecord({ state: "gone" })));
    t.notOk(covers(createServerRecord({ state: "draining", bornMs: 1 })), "a later incarnation");
    t.ok(record(createServerRecord({ state: "gone" }), 10));
    t.notOk(record(createServerRecord({ state: "draining", sequence: 9 }), 20), "of an incarnation that is gone");
    t.ok(covers(createServerRecord({ state: "gone", bornMs: -1 })), "an earlier incarnation");
    t.notOk(record(createServerRecord(), 30), "a server that does not leave");
    t.equal(list(600_010).length, 1);
    t.equal(list(600_011).length, 0);
    t.end();
});

test("a control VM holds heartbeats until it has caught up, and then judges them", async t => {
    const simulation = createSimulation(609);
    const { host } = simulation.createVm("10.0.0.1");
    let hasCaughtUp = false;
    const gone = createServerRecord({ backendServer: "left", state: "gone", address: "10.0.2.2:80" });
    const group: ControlGroupView = {
        ...createSingleGroup(),
        hasCaughtUp: () => hasCaughtUp,
        leaving: { list: () => [gone], covers: () => true, commit: async () => true },
    };
    const directory = createControlDirectory(host, "i", group);
    directory.start();
    const answers = [createServerRecord(), createServerRecord({ backendServer: "left", address: "10.0.2.2:80" })].map(
        directory.recordHeartbeat,
    );
    directory.spread({ servers: [createServerRecord({ backendServer: "other", address: "10.0.2.3:80" })], watchers: [] });
    await simulation.advance(300);
    t.same(directory.list(), []);
    const request = { incarnation: "", revision: 0, timeoutMs: 400, watcher: "10.0.1.1:7200" };
    t.equal((await simulation.runUntil(directory.watch(request))).isConnected, false);
    t.same(
        await simulation.runUntil(directory.recordHeartbeat(createServerRecord({ backendServer: "late", address: "10.0.2.4:80" }))),
        false,
    );
    hasCaughtUp = true;
    await simulation.advance(50);
    t.same(await simulation.runUntil(Promise.all(answers)), [false, false], "nobody waits that long");
    const states = Object.fromEntries(directory.list().map(server => [server.backendServer, server.state]));
    t.same(states, { s: "ready", left: "gone", other: "ready", late: "ready" });
    directory.stop();
});

// Guards against streams that are joined with those of a version that a control VM has heard of only as gone.
test("the version of a server that left counts as in service until just before, but not after a restart", async t => {
    const simulation = createSimulation(610);
    const { host } = simulation.createVm("10.0.0.1");
    let hasCaughtUp = false;
    const left = createServerRecord({ state: "gone", softwareVersion: "v0" });
    const leaving = { list: () => [left], covers: () => true, commit: async () => true };
    const directory = createControlDirectory(host, "i", { ...createSingleGroup(), hasCaughtUp: () => hasCaughtUp, leaving });
    directory.recordLeaving([left]);
    t.same(directory.list(), [], "not before this VM has caught up");
    hasCaughtUp = true;
    directory.start();
    await simulation.advance(1_200);
    t.equal(directory.get("s")?.state, "gone");
    t.same(directory.versions.listVersionsSince("models", 0), []);
    directory.recordLeaving([createServerRecord({ backendServer: "other", state: "gone", softwareVersion: "v1", address: "10.0.2.2:80" })]);
    t.same(directory.versions.listVersionsSince("models", 0), ["v1"]);
    directory.stop();
});

/**
 * Notices of leaving servers, late heartbeats, kills, losses of power and cuts in random order. Guards against any order of them in which a server
 * whose leaving was acknowledged gets requests again.
 */
import { test } from "tap";
import { createRandom } from "../src/standins/fakeHost.js";
import { controlPort, createDirectFleet, sendCompleteAnswer } from "./directFleet.js";
import type { DirectFleet, FakeServer } from "./directFleet.js";

const [firstSeed, endSeed] = (process.env["LEAVING_SEEDS"] ?? "19:25").split(":").map(Number) as [number, number];
const drainMs = 2_000;
/** Time after a disruption from which all processes count as in touch again. */
const contactMs = 3_000;
const steps = 60;
const stepMs = 500;

interface Run {
    readonly fleet: DirectFleet;
    readonly random: () => number;
    /** Heartbeats that are held up on their way. */
    readonly late: { readonly id: string; readonly body: object; }[];
    /** When the leaving of an incarnation was acknowledged, by server and start time. */
    readonly leftAtMs: Map<string, number>;
    readonly findings: string[];
    inTouchFromMs: number;
    servedRequests: number;
}

type Action = (run: Run) => Promise<void>;

function pick<T>(run: Run, items: readonly T[]): T {
    return items[Math.floor(run.random() * items.length)]!;
}

function getKey({ id, bornMs }: Pick<FakeServer, "id" | "bornMs">): string {
    return `${id} ${bornMs}`;
}

async function post(run: Run, path: string, body: object): Promise<number | undefined> {
    const address = `${pick(run, run.fleet.controls).vm.ip}:${controlPort}`;
    try {
        return (await run.fleet.callerVm.host.network.request(address, { method: "POST", path, body: Buffer.from(JSON.stringify(body)) }))
            .status;
    }
    catch {
        return undefined;
    }
}

function createBody(server: FakeServer, state: "ready" | "draining"): object {
    const { service, address, failureDomain, version, bornMs, sequence } = server;
    return { service, address, zone: failureDomain, version, slots: 8, state, cold_left_ms: 0, seq: sequence, born: bornMs };
}

/** Leaves, after a heartbeat that is held up. Turns to other control VMs until one of them acknowledges it. */
async function leave(run: Run): Promise<void> {
    const staying = run.fleet.servers.filter(server => !run.leftAtMs.has(getKey(server)));
    if (staying.length <= 2) return;
    const server = pick(run, staying);
    server.sequence++;
    run.late.push({ id: server.id, body: createBody(server, "ready") });
    server.sequence++;
    const isDraining = run.random() < 0.5;
    if (isDraining) server.state = "draining";
    for (let attempt = 0; attempt < 4; attempt++) {
        const status = isDraining
            ? await post(run, `/workers/${server.id}/heartbeat`, createBody(server, "draining"))
            : await post(run, `/workers/${server.id}/deregister`, { born: server.bornMs, seq: server.sequence });
        if (status !== 200) continue;
        run.leftAtMs.set(getKey(server), run.fleet.simulation.nowMs());
        return;
    }
}

/** Starts a server that has left again under its id. */
async function comeBack(run: Run): Promise<void> {
    const left = run.fleet.servers.filter(server => run.leftAtMs.has(getKey(server)));
    if (left.length === 0) return;
    const server = pick(run, left);
    server.bornMs = 100_000 + Math.round(run.fleet.simulation.nowMs());
    server.sequence = 0;
    server.state = "ready";
}

async function deliverLate(run: Run): Promise<void> {
    if (run.late.length === 0) return;
    const { id, body } = pick(run, run.late);
    await post(run, `/workers/${id}/heartbeat`, body);
}

function kill(shares: { readonly controls: number; readonly entries: number; }, hasPowerLoss: boolean): Action {
    return async run => {
        run.inTouchFromMs = run.fleet.simulation.nowMs() + contactMs;
        const controls = [...run.fleet.controls.keys()].filter(() => run.random() < shares.controls);
        const entries = [...run.fleet.entries.keys()].filter(() => run.random() < shares.entries);
        for (const { vm } of [...controls.map(index => run.fleet.controls[index]!), ...entries.map(index => run.fleet.entries[index]!)]) {
            if (hasPowerLoss) vm.crash();
            vm.restart();
        }
        for (const index of controls) await run.fleet.startControl(index, false);
        for (const index of entries) await run.fleet.startEntry(index);
    };
}

async function cutOffControl(run: Run): Promise<void> {
    const { ip } = pick(run, run.fleet.controls).vm;
    run.fleet.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
}

async function heal(run: Run): Promise<void> {
    run.fleet.simulation.healPartition();
    run.inTouchFromMs = run.fleet.simulation.nowMs() + contactMs;
}

const actions: readonly Action[] = [
    leave,
    leave,
    comeBack,
    deliverLate,
    deliverLate,
    deliverLate,
    kill({ controls: 1, entries: 1 }, false),
    kill({ controls: 1, entries: 1 }, true),
    kill({ controls: 1, entries: 0 }, true),
    kill({ controls: 0.5, entries: 0.5 }, false),
    cutOffControl,
    heal,
    heal,
];

/** Sends heartbeats and requests for the time of one step. */
async function passStep(run: Run): Promise<void> {
    const { fleet } = run;
    for (const server of fleet.servers) {
        if (run.leftAtMs.has(getKey(server)) && server.state === "ready") continue;
        const control = Math.floor(run.random() * fleet.controls.length);
        void fleet.heartbeat(server, control).catch(() => undefined);
    }
    for (const entry of fleet.entries.keys()) {
        for (let call = 0; call < 3; call++) {
            const id = `r${Math.round(fleet.simulation.nowMs())}-${entry}-${call}`;
            void fleet.call(entry, { path: "/safe/1", id }).then(({ status }) => {
                if (status === 200) run.servedRequests++;
            });
        }
    }
    await fleet.simulation.advance(stepMs);
}

async function createRun(seed: number): Promise<Run> {
    const fleet = await createDirectFleet(seed, { entries: 2, servers: 5 });
    const run: Run = {
        fleet,
        random: createRandom(seed + 700),
        late: [],
        leftAtMs: new Map(),
        findings: [],
        inTouchFromMs: 0,
        servedRequests: 0,
    };
    for (const server of fleet.servers) {
        server.behavior = (request, response) => {
            const nowMs = fleet.simulation.nowMs();
            const leftAtMs = run.leftAtMs.get(getKey(server)) ?? Infinity;
            if (nowMs > leftAtMs + drainMs && nowMs > run.inTouchFromMs) {
                run.findings.push(
                    `${server.id} at ${Math.round(nowMs)} ms, ${Math.round(nowMs - leftAtMs)} ms after its leaving was acknowledged`,
                );
            }
            return sendCompleteAnswer(request, response, server);
        };
    }
    return run;
}

for (let seed = firstSeed; seed < endSeed; seed++) {
    test(`no server gets requests after its leaving was acknowledged, seed ${seed}`, async t => {
        const run = await createRun(seed);
        for (let step = 0; step < steps; step++) {
            const action = step === 0 ? leave : pick(run, actions);
            if (step % 2 === 0) await run.fleet.simulation.runUntil(action(run));
            await passStep(run);
        }
        t.same(run.findings, []);
        t.ok(run.leftAtMs.size > 0 && run.servedRequests > 0, `${run.leftAtMs.size} left, ${run.servedRequests} requests were served`);
    });
}

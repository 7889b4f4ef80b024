/** A stream of a route that leads to several pools, or has led to another one, goes on only in the pool that began it. */
import { test } from "tap";
import { decideOrigin } from "../src/entry/direct/originDecision.js";
import type { OriginReply } from "../src/kernel/contracts.js";
import type { HttpRouteObject } from "../src/kernel/objects.js";
import { createRoutedPools } from "../src/kernel/routedPools.js";
import { createRouteHistory } from "../src/kernel/routeHistory.js";
import { createConfiguration, createDirectFleet, createSealHeaders, sendCompleteAnswer } from "./directFleet.js";
import type { CallResult, DirectFleet, FakeServer, ServerBehavior } from "./directFleet.js";

/** Longer than the longest time for which a stream can be taken up again. */
const windowMs = 16_000;

/** Sends the first event and then nothing, so that only the loss of the entry ends the stream. */
const holdAfterFirstEvent: ServerBehavior = async (request, response, server) => {
    if (request.headers["last-event-id"] !== undefined) return sendCompleteAnswer(request, response, server);
    server.runs.push(request.headers["x-attempt-id"] ?? "");
    response.start(200, createSealHeaders(request));
    await response.write(Buffer.from("id: 1\ndata: piece 1\n\n"));
    await new Promise(() => undefined);
};

/** Target of the resumable route: one pool, or several with weights. */
type RouteTargets = { readonly service: string; } | { readonly split: readonly { readonly service: string; readonly weight: number; }[]; };

function createState(version: number, targets: RouteTargets): object {
    const state = createConfiguration(version) as { routes: { name: string; service?: string; }[]; services: object[]; };
    const routes = state.routes.map(route => route.name === "resume" ? { ...route, service: undefined, ...targets } : route);
    return { ...state, routes, services: [...state.services, { ...state.services[0], name: "other" }] };
}

const halves: RouteTargets = { split: [{ service: "models", weight: 50 }, { service: "other", weight: 50 }] };

/** Creates a fleet with two servers in each of two pools, and waits until the past is known. */
async function createTwoPools(seed: number, targets: RouteTargets): Promise<DirectFleet> {
    const fleet = await createDirectFleet(seed, { entries: 2, servers: 4, state: createState(1, targets) });
    for (const server of fleet.servers.slice(2)) {
        server.service = "other";
        server.bornMs += 50_000;
    }
    await keepAlive(fleet, windowMs + 5_000);
    for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
    return fleet;
}

async function keepAlive(fleet: DirectFleet, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1_000) {
        for (const server of fleet.servers) await fleet.simulation.runUntil(fleet.heartbeat(server, 0));
        await fleet.simulation.advance(Math.min(1_000, durationMs - passedMs));
    }
}

async function change(fleet: DirectFleet, version: number, targets: RouteTargets): Promise<void> {
    await fleet.simulation.runUntil(fleet.replace(0, createState(version, targets)));
    await fleet.simulation.advance(300);
}

const ids = Array.from({ length: 10 }, (_, index) => `a${index}`);

async function begin(fleet: DirectFleet): Promise<void> {
    for (const id of ids) void fleet.call(0, { path: "/resume/1", id, deadlineMs: 12_000 });
    await fleet.simulation.advance(400);
}

function resume(fleet: DirectFleet, entry: number, id: string): Promise<CallResult> {
    const headers = { "last-event-id": "1", "resumes": id };
    return fleet.simulation.runUntil(fleet.call(entry, { path: "/resume/1", id: `b-${id}`, headers }));
}

function findRunner(fleet: DirectFleet, id: string): FakeServer | undefined {
    return fleet.servers.find(server => server.runs.includes(id));
}

/** Takes all streams up at an entry. Returns those that went on in another pool or at another version, and the number that went on. */
async function resumeAll(fleet: DirectFleet, entry: number) {
    const joined: string[] = [];
    const refused: (string | number | undefined)[] = [];
    for (const id of ids) {
        const result = await resume(fleet, entry, id);
        const [first, second] = [findRunner(fleet, id), findRunner(fleet, `b-${id}`)];
        if (second === undefined) refused.push(result.status);
        else if (first?.service !== second.service || first.version !== second.version) joined.push(id);
    }
    return { joined, refused };
}

test("streams of a split route go on in the pool that began them, after their entry was killed", async t => {
    const fleet = await createTwoPools(301, halves);
    await begin(fleet);
    t.equal(new Set(ids.map(id => findRunner(fleet, id)?.service)).size, 2, "both pools have streams");
    fleet.entries[0]!.vm.crash();
    t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
});

test("streams of a split route go on in the pool that began them, after all entries were killed", async t => {
    const fleet = await createTwoPools(302, halves);
    await begin(fleet);
    for (const [index, entry] of fleet.entries.entries()) {
        entry.vm.restart();
        await fleet.startEntry(index);
    }
    await fleet.simulation.advance(1_000);
    t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
});

test("a stream from before a route was split goes on in the pool that the route led to, which is not told to control", async t => {
    const fleet = await createTwoPools(303, { service: "other" });
    await begin(fleet);
    await change(fleet, 2, halves);
    fleet.entries[0]!.vm.crash();
    t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
});

test("a stream from before a route was moved is refused, also by an entry that has only known the new route", async t => {
    const fleet = await createTwoPools(304, { service: "other" });
    await begin(fleet);
    await change(fleet, 2, { service: "models" });
    fleet.entries[0]!.vm.crash();
    t.same(await resumeAll(fleet, 1), { joined: [], refused: ids.map(() => 503) });
    fleet.entries[1]!.vm.restart();
    await fleet.startEntry(1);
    await fleet.simulation.advance(1_000);
    t.same(await resumeAll(fleet, 1), { joined: [], refused: ids.map(() => 503) });
});

test("a stream from just after a route was moved goes on in the new pool", async t => {
    const fleet = await createTwoPools(305, { service: "other" });
    await change(fleet, 2, { service: "models" });
    await begin(fleet);
    t.same(new Set(ids.map(id => findRunner(fleet, id)?.service)), new Set(["models"]));
    fleet.entries[0]!.vm.crash();
    t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
});

for (const absenceMs of [3_000, 9_000]) {
    test(`an entry that was cut off for ${absenceMs} ms while a route was split joins no streams of two pools`, async t => {
        const fleet = await createTwoPools(306, { service: "models" });
        const { ip } = fleet.entries[1]!.vm;
        fleet.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
        await fleet.simulation.advance(100);
        await change(fleet, 2, halves);
        await begin(fleet);
        await keepAlive(fleet, absenceMs - 800);
        fleet.entries[0]!.vm.crash();
        fleet.simulation.healPartition();
        t.same((await resumeAll(fleet, 1)).joined, []);
    });
}

test("an entry that learns late of a moved route does not take a stream of the new pool for one of the old", async t => {
    const fleet = await createTwoPools(307, { service: "other" });
    const { ip } = fleet.entries[1]!.vm;
    fleet.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
    await fleet.simulation.advance(100);
    await change(fleet, 2, { split: [{ service: "models", weight: 100 }, { service: "other", weight: 0 }] });
    await keepAlive(fleet, windowMs + 2_000);
    await begin(fleet);
    fleet.entries[0]!.vm.crash();
    fleet.simulation.healPartition();
    t.same((await resumeAll(fleet, 1)).joined, []);
});

for (const cutMs of [300, 900, 1_500]) {
    test(`streams begun while all entries were cut off from control for ${cutMs} ms, soon after a version joined, are not joined`, async t => {
        const fleet = await createTwoPools(308, { service: "models" });
        const newer = fleet.servers[1]!;
        newer.version = "v2";
        newer.bornMs += 50_000;
        newer.sequence = 0;
        await keepAlive(fleet, 3_000);
        const controlIps = new Set(fleet.controls.map(control => control.vm.ip));
        // Entries also reach control through relays beside the backend servers.
        fleet.simulation.setPartition((from, to) => controlIps.has(from) !== controlIps.has(to));
        await fleet.simulation.advance(100);
        const begun = new Set<string>();
        for (const id of ids) {
            void fleet.call(0, { path: "/resume/1", id, deadlineMs: 12_000 }).then(result => {
                if (result.text.includes("piece 1")) begun.add(id);
            });
        }
        await fleet.simulation.advance(cutMs - 100);
        fleet.simulation.healPartition();
        await fleet.simulation.advance(50);
        fleet.entries[0]!.vm.crash();
        await fleet.simulation.advance(500);
        // A stream of which the caller has no event is not taken up but begun anew.
        const { joined } = await resumeAll(fleet, 1);
        t.same(joined.filter(id => begun.has(id)), [], `${begun.size} streams had begun`);
    });
}

test("a route that has always been split holds a first event only briefly without control", async t => {
    const fleet = await createTwoPools(309, halves);
    for (const control of fleet.controls) control.vm.crash();
    await fleet.simulation.advance(100);
    for (const server of fleet.servers) server.behavior = sendCompleteAnswer;
    const sentAtMs = fleet.simulation.nowMs();
    t.match(await fleet.simulation.runUntil(fleet.call(0, { path: "/resume/1", id: "a" })), { status: 200, isComplete: true });
    t.ok(fleet.simulation.nowMs() - sentAtMs < 400, `${fleet.simulation.nowMs() - sentAtMs} ms`);
});

/** Starts to count the messages that tell control where streams began. Returns the count so far. */
function countRecordedOrigins(fleet: DirectFleet): () => number {
    let told = 0;
    for (const api of fleet.controls.map(control => control.process!.part.api)) {
        const { recordOrigins } = api;
        Object.assign(api, { recordOrigins: (message: Parameters<typeof recordOrigins>[0]) => (told++, recordOrigins(message)) });
    }
    return () => told;
}

test("a route with one pool and one version tells control nothing, also after a change of other routes and of weights", async t => {
    const fleet = await createTwoPools(310, { service: "models" });
    const countTold = countRecordedOrigins(fleet);
    await change(fleet, 2, { split: [{ service: "models", weight: 100 }, { service: "other", weight: 0 }] });
    await begin(fleet);
    t.equal(countTold(), 0);
});

// Guards against an entry that learns the routes in force at its start and never counts them as known: it refused each stream taken up there
// until the next change of the configuration.
for (const restart of ["stopped", "killed"] as const) {
    test(`an entry that was ${restart} and started again continues streams of other entries, without a change since`, async t => {
        const fleet = await createTwoPools(311, { service: "models" });
        const { vm, process } = fleet.entries[1]!;
        if (restart === "stopped") await fleet.simulation.runUntil(process!.part.stop());
        vm.restart();
        await fleet.startEntry(1);
        await keepAlive(fleet, windowMs + 5_000);
        await begin(fleet);
        fleet.entries[0]!.vm.crash();
        t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
    });
}

test("an entry that has just started continues streams of other entries, without a change since", async t => {
    const fleet = await createTwoPools(312, { service: "models" });
    await begin(fleet);
    fleet.entries[1]!.vm.restart();
    await fleet.startEntry(1);
    await fleet.simulation.advance(1_000);
    fleet.entries[0]!.vm.crash();
    t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
});

// Guards against an entry that knows other routes of the past than control does: it refused streams of routes that had not changed.
test("an entry that starts after a change of another route continues streams from before the change", async t => {
    const fleet = await createTwoPools(314, { service: "models" });
    await begin(fleet);
    const state = createState(2, { service: "models" }) as { routes: { name: string; }[]; };
    const routes = state.routes.map(route => route.name === "safe" ? { ...route, service: "other" } : route);
    await fleet.simulation.runUntil(fleet.replace(0, { ...state, routes }));
    await fleet.simulation.advance(300);
    fleet.entries[1]!.vm.restart();
    await fleet.startEntry(1);
    await fleet.simulation.advance(1_000);
    fleet.entries[0]!.vm.crash();
    t.same(await resumeAll(fleet, 1), { joined: [], refused: [] });
});

test("restarted entries tell control of no stream once they know the routes of the whole window", async t => {
    const fleet = await createTwoPools(313, { service: "models" });
    for (const [index, entry] of fleet.entries.entries()) {
        entry.vm.restart();
        await fleet.startEntry(index);
    }
    await keepAlive(fleet, windowMs + 5_000);
    const countTold = countRecordedOrigins(fleet);
    await begin(fleet);
    t.equal(countTold(), 0);
});

const resumeTarget = { host: "h.example", path: "/resume/1" };

function createRoutes(...pools: readonly string[]): readonly HttpRouteObject[] {
    const targets = pools.map(pool => ({ pool, weight: 1 }));
    return [{ host: "h.example", pathPrefix: "/resume/", targets } as unknown as HttpRouteObject];
}

test("the pools of a request over time follow from the routes that were in force", t => {
    const pools = createRoutedPools();
    t.equal(pools.getOnlyPoolAt(resumeTarget, 0), undefined);
    pools.observe(createRoutes("p"), 100);
    pools.observe(createRoutes("p", "q"), 200);
    pools.observe(createRoutes("q"), 300);
    t.equal(pools.getOnlyPoolSince(resumeTarget, 50), undefined, "not known for that long");
    t.equal(pools.getOnlyPoolSince(resumeTarget, 150), undefined);
    t.equal(pools.getOnlyPoolSince(resumeTarget, 300), "q");
    t.equal(pools.getOnlyPoolAt(resumeTarget, 50), "p", "the first one known");
    t.equal(pools.getOnlyPoolAt(resumeTarget, 150), "p");
    t.equal(pools.getOnlyPoolAt(resumeTarget, 250), undefined);
    t.notOk(pools.hadSeveralSince(resumeTarget, 250));
    t.same(pools.getPoolsAround(resumeTarget, 50), { before: undefined, since: ["p", "q"] });
    t.same(pools.getPoolsAround(resumeTarget, 150), { before: ["p"], since: ["p", "q"] });
    t.same(pools.getPoolsAround(resumeTarget, 300), { before: ["q"], since: ["q"] });
    t.same(pools.getPoolsAround({ host: "h.example", path: "/elsewhere" }, 300), { before: [], since: [] });
    t.equal(pools.getOnlyPoolSince({ host: "h.example", path: "/elsewhere" }, 300), undefined);
    t.end();
});

test("replies that tell of other routes are no evidence of where a stream began", t => {
    const history = createRouteHistory();
    history.observe(createRoutes("p"), 0);
    history.observe(createRoutes("q"), 10);
    const [routesOfP, routesOfQ] = history.listDigestsSince(0);
    const evidence = {
        memberCount: 3,
        pool: "p",
        onlyVersion: "v1",
        beganInPool: (reply: OriginReply) => reply.routesBefore === routesOfP,
        stayedInPool: (reply: OriginReply) => reply.routesSince!.every(routes => routes === routesOfP),
    };
    const reply = { isWindowKnown: true, versionBefore: "v1", versionsSince: ["v1"], routesBefore: routesOfP, routesSince: [routesOfP!] };
    const moved = { ...reply, routesBefore: routesOfQ, routesSince: [routesOfQ!] };
    const origin = { pool: "p", softwareVersion: "v1" };
    t.same(decideOrigin({ ...evidence, replies: [reply, reply] }), origin);
    t.equal(decideOrigin({ ...evidence, replies: [reply, reply, moved] }), undefined);
    t.equal(decideOrigin({ ...evidence, replies: [{ ...reply, isWindowKnown: false }, { ...moved, isWindowKnown: false }] }), undefined);
    const recorded = { ...moved, origin: { pool: "q", softwareVersion: "v3" } };
    t.same(decideOrigin({ ...evidence, replies: [reply, recorded] }), recorded.origin);
    t.end();
});

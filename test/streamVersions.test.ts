/** A stream goes on only at servers of the software version that began it. */
import { test } from "tap";
import { createStreamOriginTable } from "../src/control/streamOrigins.js";
import { decideOrigin } from "../src/entry/direct/originDecision.js";
import type { HttpRequest, HttpResponse } from "../src/kernel/host.js";
import { createRoutedPools } from "../src/kernel/routedPools.js";
import { sleep } from "../src/kernel/tasks.js";
import { createVersionHistory } from "../src/kernel/versionHistory.js";
import { createConfiguration, createDirectFleet, createSealHeaders, sendCompleteAnswer } from "./directFleet.js";
import type { CallResult, DirectFleet, FakeServer, ServerBehavior } from "./directFleet.js";

/** Longer than the longest time for which a stream can be taken up again. */
const windowMs = 16_000;

/** Sends the first event, then breaks off. Goes on to the end with a stream that has begun. */
const breakAfterFirstEvent: ServerBehavior = async (request, response, server) => {
    if (request.headers["last-event-id"] !== undefined) return sendCompleteAnswer(request, response, server);
    server.runs.push(request.headers["x-attempt-id"] ?? "");
    response.start(200, createSealHeaders(request));
    await response.write(Buffer.from("id: 1\ndata: piece 1\n\n"));
    response.abort();
};

/** Sends the first event and then nothing, so that only the loss of the entry ends the stream. */
const holdAfterFirstEvent: ServerBehavior = async (request: HttpRequest, response: HttpResponse, server: FakeServer) => {
    if (request.headers["last-event-id"] !== undefined) return sendCompleteAnswer(request, response, server);
    server.runs.push(request.headers["x-attempt-id"] ?? "");
    response.start(200, createSealHeaders(request));
    await response.write(Buffer.from("id: 1\ndata: piece 1\n\n"));
    await new Promise(() => undefined);
};

/** Creates a fleet whose first servers have version v1 and whose last ones have v2. */
async function createMixedFleet(seed: number, versions: readonly string[], entries = 2): Promise<DirectFleet> {
    const fleet = await createDirectFleet(seed, { entries, servers: versions.length });
    for (const [index, server] of fleet.servers.entries()) {
        server.version = versions[index]!;
        await fleet.simulation.runUntil(fleet.heartbeat(server, 0));
    }
    await keepAlive(fleet, 1_000);
    return fleet;
}

async function keepAlive(fleet: DirectFleet, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1_000) {
        for (const server of fleet.servers) if (!server.isDown) await fleet.simulation.runUntil(fleet.heartbeat(server, 0));
        await fleet.simulation.advance(Math.min(1_000, durationMs - passedMs));
    }
}

function resume(fleet: DirectFleet, entry: number, id: string, resumedId: string | undefined): Promise<CallResult> {
    const headers = { "last-event-id": "1", ...resumedId === undefined ? {} : { resumes: resumedId } };
    return fleet.simulation.runUntil(fleet.call(entry, { path: "/resume/1", id, headers }));
}

function findRunner(fleet: DirectFleet, id: string): FakeServer | undefined {
    return fleet.servers.find(server => server.runs.includes(id));
}

test("a stream that breaks goes on in the same answer only at the version that began it", async t => {
    for (let seed = 71; seed < 77; seed++) {
        const fleet = await createMixedFleet(seed, ["v1", "v2", "v2"], 1);
        for (const server of fleet.servers) server.behavior = breakAfterFirstEvent;
        const result = await fleet.simulation.runUntil(fleet.call(0, { path: "/resume/1", id: "a" }));
        const runners = fleet.servers.filter(server => server.runs.includes("a"));
        t.equal(new Set(runners.map(server => server.version)).size, 1, runners.map(server => server.version).join(" "));
        t.equal(result.isComplete, runners.length === 2);
    }
});

test("a stream whose entry is killed goes on at another entry only at the version that began it", async t => {
    const fleet = await createMixedFleet(81, ["v1", "v1", "v2", "v2"]);
    for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
    const ids = Array.from({ length: 12 }, (_, index) => `a${index}`);
    for (const id of ids) void fleet.call(0, { path: "/resume/1", id, deadlineMs: 10_000 });
    await fleet.simulation.advance(400);
    t.ok(fleet.servers.every(server => server.runs.length > 0));
    fleet.entries[0]!.vm.crash();
    for (const id of ids) {
        const result = await resume(fleet, 1, `b-${id}`, id);
        t.match(result, { status: 200, isComplete: true });
        t.equal(findRunner(fleet, `b-${id}`)?.version, findRunner(fleet, id)?.version, id);
    }
});

test("streams go on at the version that began them after all entries were killed at once", async t => {
    const fleet = await createMixedFleet(82, ["v1", "v1", "v2", "v2"]);
    for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
    const ids = Array.from({ length: 12 }, (_, index) => `a${index}`);
    for (const [index, id] of ids.entries()) void fleet.call(index % 2, { path: "/resume/1", id, deadlineMs: 10_000 });
    await fleet.simulation.advance(400);
    for (const [index, entry] of fleet.entries.entries()) {
        entry.vm.restart();
        await fleet.startEntry(index);
    }
    await fleet.simulation.advance(1_000);
    for (const [index, id] of ids.entries()) {
        const result = await resume(fleet, (index + 1) % 2, `b-${id}`, id);
        t.match(result, { status: 200, isComplete: true });
        t.equal(findRunner(fleet, `b-${id}`)?.version, findRunner(fleet, id)?.version, id);
    }
});

test("a stream goes on at the version that began it, although one control VM knows only of an attempt that failed before", async t => {
    const fleet = await createMixedFleet(83, ["v1", "v2"]);
    const [older, newer] = fleet.servers;
    older!.behavior = holdAfterFirstEvent;
    let failed = 0;
    newer!.behavior = async (request, response) => {
        failed++;
        await sleep(fleet.callerVm.host.timers, 30);
        response.start(503, { "x-attempt-id": request.headers["x-attempt-id"] ?? "", "x-not-executed": "1" });
        response.end();
    };
    const [outdated, ...others] = fleet.controls.map(control => control.process!.part.api);
    const { recordOrigins } = outdated!;
    const known = new Set<string>();
    Object.assign(outdated!, {
        recordOrigins(message: Parameters<typeof recordOrigins>[0]) {
            if (message.origins.some(({ requestId }) => known.has(requestId))) throw new Error("The control VM is not reached.");
            for (const { requestId } of message.origins) known.add(requestId);
            return recordOrigins(message);
        },
    });
    for (const api of others) {
        const { findOrigin } = api;
        const findLate = async (request: Parameters<typeof findOrigin>[0]) => {
            await sleep(fleet.callerVm.host.timers, 50);
            return findOrigin(request);
        };
        Object.assign(api, { findOrigin: findLate });
    }
    const ids = Array.from({ length: 12 }, (_, index) => `a${index}`);
    for (const id of ids) void fleet.call(0, { path: "/resume/1", id, deadlineMs: 10_000 });
    await fleet.simulation.advance(400);
    t.ok(failed > 0);
    newer!.behavior = sendCompleteAnswer;
    for (const id of ids) {
        t.match(await resume(fleet, 1, `b-${id}`, id), { status: 200, isComplete: true });
        t.equal(findRunner(fleet, `b-${id}`)?.version, "v1", id);
    }
});

test("a record of an earlier attempt that arrives late does not replace that of a later one", t => {
    const table = createStreamOriginTable(createVersionHistory(), createRoutedPools(), () => []);
    const find = () => table.find({ requestId: "a", pool: "p", windowMs: 1_000 }, 2).origin;
    table.record([{ requestId: "a", pool: "p", softwareVersion: "v1", attempt: 2 }], 0);
    table.record([{ requestId: "a", pool: "p", softwareVersion: "v2", attempt: 1 }], 1);
    t.match(find(), { softwareVersion: "v1", attempt: 2 });
    table.record([{ requestId: "a", pool: "p", softwareVersion: "v3", attempt: 3 }], 2);
    t.match(find(), { softwareVersion: "v3", attempt: 3 });
    t.end();
});

test("where a stream began is known from the latest record of a majority", t => {
    const reply = { isWindowKnown: true, versionBefore: "v1", versionsSince: ["v1", "v2"] };
    const failed = { ...reply, origin: { pool: "p", softwareVersion: "v2", attempt: 1 } };
    const begun = { ...reply, origin: { pool: "p", softwareVersion: "v1", attempt: 2 } };
    const evidence = { memberCount: 3, pool: "p", onlyVersion: undefined };
    t.equal(decideOrigin({ ...evidence, replies: [failed] }), undefined);
    t.same(decideOrigin({ ...evidence, replies: [failed, begun] }), { pool: "p", softwareVersion: "v1" });
    t.same(decideOrigin({ ...evidence, replies: [begun, failed] }), { pool: "p", softwareVersion: "v1" });
    t.end();
});

test("a request with a very long id does not keep other streams from being told to control", async t => {
    const fleet = await createMixedFleet(87, ["v1", "v1", "v2", "v2"]);
    for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
    const ids = ["a0", "x".repeat(300), "a1", "a2", "a3"];
    for (const id of ids) void fleet.call(0, { path: "/resume/1", id, deadlineMs: 10_000 });
    await fleet.simulation.advance(400);
    fleet.entries[0]!.vm.crash();
    for (const id of ["a0", "a1", "a2", "a3"]) {
        t.match(await resume(fleet, 1, `b-${id}`, id), { status: 200, isComplete: true });
        t.equal(findRunner(fleet, `b-${id}`)?.version, findRunner(fleet, id)?.version, id);
    }
    t.equal((await resume(fleet, 1, "b-long", "x".repeat(300))).status, 503);
});

test("a stream that began before the second version was there goes on at the first one, after its entry was killed", async t => {
    const fleet = await createDirectFleet(83, { entries: 2, servers: 3 });
    await keepAlive(fleet, windowMs + 5_000);
    for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
    for (let index = 0; index < 6; index++) void fleet.call(0, { path: "/resume/1", id: `a${index}`, deadlineMs: 10_000 });
    await fleet.simulation.advance(300);
    // Both other servers are replaced while the streams are open.
    for (const server of fleet.servers.slice(1)) {
        server.version = "v2";
        server.bornMs += 50_000;
        server.sequence = 0;
        await fleet.simulation.runUntil(fleet.heartbeat(server, 0));
    }
    await fleet.simulation.advance(500);
    fleet.entries[0]!.vm.crash();
    for (let index = 0; index < 6; index++) {
        const result = await resume(fleet, 1, `b${index}`, `a${index}`);
        t.match(result, { status: 200, isComplete: true });
        t.equal(findRunner(fleet, `b${index}`)?.version, "v1");
    }
});

interface OutOfStepCase {
    readonly absence: string;
    readonly begin: (fleet: DirectFleet, durationMs: number) => void;
    readonly durationMs: number;
}

const cutOff = (fleet: DirectFleet): void => {
    const ip = fleet.entries[1]!.vm.ip;
    fleet.simulation.setPartition((from, to) => (from === ip) !== (to === ip));
};
const freeze = (fleet: DirectFleet, durationMs: number): void => fleet.entries[1]!.vm.freeze(durationMs);
const outOfStepCases: readonly OutOfStepCase[] = [700, 2_000, 5_000, 9_000].flatMap(durationMs => [
    { absence: "cut off", begin: cutOff, durationMs },
    { absence: "frozen", begin: freeze, durationMs },
]);

for (const { absence, begin, durationMs } of outOfStepCases) {
    test(`an entry that was ${absence} for ${durationMs} ms while a version joined joins no streams of two versions`, async t => {
        const fleet = await createDirectFleet(91, { entries: 2, servers: 4 });
        await keepAlive(fleet, windowMs + 5_000);
        for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
        begin(fleet, durationMs);
        await fleet.simulation.advance(50);
        for (const server of fleet.servers.slice(1)) {
            server.version = "v2";
            server.bornMs += 50_000;
            server.sequence = 0;
            await fleet.simulation.runUntil(fleet.heartbeat(server, 0));
        }
        await fleet.simulation.advance(200);
        const ids = Array.from({ length: 8 }, (_, index) => `a${index}`);
        for (const id of ids) void fleet.call(0, { path: "/resume/1", id, deadlineMs: 12_000 });
        await keepAlive(fleet, durationMs - 250);
        fleet.entries[0]!.vm.crash();
        fleet.simulation.healPartition();
        const results = await fleet.simulation.runUntil(
            Promise.all(
                ids.map(id => fleet.call(1, { path: "/resume/1", id: `b-${id}`, headers: { "last-event-id": "1", "resumes": id } })),
            ),
        );
        for (const [index, id] of ids.entries()) {
            const resumedAt = findRunner(fleet, `b-${id}`);
            if (resumedAt !== undefined) t.equal(resumedAt.version, findRunner(fleet, id)?.version, id);
            else t.equal(results[index]!.status, 503, id);
        }
    });
}

test("an entry that reaches no control VM refuses to go on with a stream, as not run", async t => {
    const fleet = await createDirectFleet(92, { entries: 1 });
    await keepAlive(fleet, windowMs + 5_000);
    for (const control of fleet.controls) control.vm.crash();
    for (const waitMs of [0, 2_000, 5_000]) {
        await fleet.simulation.advance(waitMs);
        const result = await resume(fleet, 0, `b${waitMs}`, "never-seen");
        t.equal(result.status, 503);
        t.match(result.text, "streamOriginUnknown");
    }
    t.same(fleet.servers.flatMap(server => server.runs), []);
    const lines = fleet.simulation.logLines.filter(line => line.includes("A stream of unknown origin is taken up again."));
    t.equal(lines.length, 3);
    for (const line of lines) t.match(line, /"requestId":"never-seen".*"replies":0,"witnesses":0,"members":3/);
});

test("a stream whose version has no server left is refused at once as not run", async t => {
    const fleet = await createMixedFleet(84, ["v1", "v2"]);
    const [older, newer] = fleet.servers;
    newer!.behavior = (request, response) => {
        response.start(503, { "x-attempt-id": request.headers["x-attempt-id"] ?? "", "x-not-executed": "1" });
        response.end();
        return Promise.resolve();
    };
    older!.behavior = holdAfterFirstEvent;
    void fleet.call(0, { path: "/resume/1", id: "a", deadlineMs: 10_000 });
    await fleet.simulation.advance(300);
    t.equal(findRunner(fleet, "a"), older);
    older!.state = "draining";
    await fleet.simulation.runUntil(fleet.heartbeat(older!, 0));
    await fleet.simulation.advance(500);
    newer!.behavior = sendCompleteAnswer;
    for (const entry of [0, 1]) {
        const sentAtMs = fleet.simulation.nowMs();
        const result = await resume(fleet, entry, `b${entry}`, "a");
        t.equal(result.status, 503);
        t.match(result.text, "streamVersionGone");
        t.ok(fleet.simulation.nowMs() - sentAtMs < 200);
        t.equal(findRunner(fleet, `b${entry}`), undefined);
    }
});

test("a stream whose route now leads to another pool is refused, not joined with what that pool writes", async t => {
    const fleet = await createMixedFleet(88, ["v1", "v1"]);
    for (const server of fleet.servers) server.behavior = holdAfterFirstEvent;
    void fleet.call(0, { path: "/resume/1", id: "a", deadlineMs: 10_000 });
    await fleet.simulation.advance(300);
    const state = createConfiguration(2) as { routes: { name: string; service: string; }[]; services: object[]; };
    const other = { ...state.services[0], name: "other" };
    const routes = state.routes.map(route => route.name === "resume" ? { ...route, service: "other" } : route);
    t.equal(await fleet.simulation.runUntil(fleet.replace(0, { ...state, routes, services: [...state.services, other] })), 200);
    await fleet.simulation.advance(500);
    const result = await resume(fleet, 0, "b", "a");
    t.equal(result.status, 503);
    t.match(result.text, "streamVersionGone");
});

test("a stream of unknown origin is refused while several versions are in service", async t => {
    const fleet = await createMixedFleet(85, ["v1", "v2"]);
    for (const resumedId of ["never-seen", undefined]) {
        const result = await resume(fleet, 1, `b-${resumedId}`, resumedId);
        t.equal(result.status, 503);
        t.match(result.text, "streamOriginUnknown");
    }
    t.same(fleet.servers.flatMap(server => server.runs), []);
});

test("while one version only is in service no stream is told to control, and every stream goes on", async t => {
    const fleet = await createDirectFleet(86, { entries: 2 });
    await keepAlive(fleet, windowMs);
    let told = 0;
    let asked = 0;
    for (const api of fleet.controls.map(control => control.process!.part.api)) {
        const { recordOrigins, findOrigin } = api;
        Object.assign(api, {
            recordOrigins: (message: Parameters<typeof recordOrigins>[0]) => (told++, recordOrigins(message)),
            findOrigin: (request: Parameters<typeof findOrigin>[0]) => (asked++, findOrigin(request)),
        });
    }
    t.match(await fleet.simulation.runUntil(fleet.call(0, { path: "/resume/1", id: "a" })), { status: 200, isComplete: true });
    t.equal(asked, 0, "a stream that begins asks nothing");
    t.match(await resume(fleet, 1, "b", "a"), { status: 200, isComplete: true });
    t.match(await resume(fleet, 1, "c", undefined), { status: 200, isComplete: true });
    t.equal(told, 0);
    t.equal(asked, 6, "each stream that goes on asks each control VM once");
});

test("control VMs of an earlier version, which do not tell all versions, are no evidence that there is only one", t => {
    const earlier = { isWindowKnown: false };
    const evidence = { memberCount: 3, pool: "models", onlyVersion: "v1" };
    t.equal(decideOrigin({ ...evidence, replies: [earlier, earlier, earlier] }), undefined);
    t.equal(
        decideOrigin({ ...evidence, replies: [earlier, { ...earlier, versionsSince: ["v1"] }, { ...earlier, versionsSince: ["v1"] }] }),
        undefined,
    );
    t.same(
        decideOrigin({ ...evidence, replies: [{ ...earlier, versionsSince: ["v1"] }, { ...earlier, versionsSince: [] }] }),
        { pool: "models", softwareVersion: "v1" },
    );
    t.same(
        decideOrigin({
            ...evidence,
            replies: [{ ...earlier, isWindowKnown: true, versionBefore: "v0" }, { ...earlier, isWindowKnown: true, versionBefore: "v0" }],
        }),
        {
            pool: "models",
            softwareVersion: "v0",
        },
    );
    t.end();
});

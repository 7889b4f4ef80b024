/** Request rates that backend servers name, kept by all entries of a fleet with direct dispatch together. */
import { test } from "tap";
import { platformProtocol } from "../platform/requests.js";
import { createServerLimits } from "../src/entry/direct/serverLimits.js";
import { createConfiguration, createDirectFleet, createSealHeaders, sendCompleteAnswer } from "./directFleet.js";
import type { DirectFleet, FakeServer, ServerBehavior } from "./directFleet.js";

const windowMs = 4_000;
/** Time after a server has first named its rate from which the rate must hold. */
const contactMs = 3_000;

/** Requests that a rate allows in `windowMs`, with the slack that the platform grants. */
function getAllowed(perSecond: number): number {
    return 1.5 * perSecond * windowMs / 1_000 + 5;
}

interface LimitedServer {
    perSecond: string | undefined;
    readonly arrivalsMs: number[];
}

/** Makes a server name a rate in its answers. */
function limitServer(fleet: DirectFleet, server: FakeServer, perSecond: string): LimitedServer {
    const limited: LimitedServer = { perSecond, arrivalsMs: [] };
    const behavior: ServerBehavior = async (request, response, answering) => {
        limited.arrivalsMs.push(fleet.simulation.nowMs());
        if (limited.perSecond === undefined) return sendCompleteAnswer(request, response, answering);
        response.start(200, { ...createSealHeaders(request), "server-limit": limited.perSecond });
        await response.write(Buffer.from("limited"));
        response.end();
    };
    server.behavior = behavior;
    return limited;
}

/** Sends a request each `gapMs`, to the entries in turn, and heartbeats of all servers. Returns the results. */
async function sendLoad(fleet: DirectFleet, durationMs: number, gapMs: number) {
    const results: Awaited<ReturnType<DirectFleet["call"]>>[] = [];
    const startMs = fleet.simulation.nowMs();
    const prefix = Math.round(startMs);
    for (let count = 0; fleet.simulation.nowMs() < startMs + durationMs; count++) {
        if (count % Math.round(1_000 / gapMs) === 0) {
            for (const server of fleet.servers) void fleet.heartbeat(server, count % fleet.controls.length);
        }
        const entry = Math.floor(fleet.simulation.random() * fleet.entries.length);
        void fleet.call(entry, { path: "/safe/1", id: `${prefix}-${count}` }).then(result => results.push(result));
        await fleet.simulation.advance(gapMs);
    }
    await fleet.simulation.advance(1_000);
    return results;
}

function countMost(arrivalsMs: readonly number[], fromMs: number): number {
    const counted = arrivalsMs.filter(atMs => atMs >= fromMs);
    return Math.max(0, ...counted.map(atMs => counted.filter(other => other >= atMs && other < atMs + windowMs).length));
}

for (
    const { entries, perSecond } of [
        { entries: 5, perSecond: 1 },
        { entries: 5, perSecond: 2 },
        { entries: 5, perSecond: 0 },
        { entries: 5, perSecond: 0.3 },
        { entries: 5, perSecond: 12 },
        { entries: 24, perSecond: 1 },
        { entries: 24, perSecond: 2.5 },
    ]
) {
    test(`${entries} entries together keep to a rate of ${perSecond} a second that a backend server names`, async t => {
        const fleet = await createDirectFleet(51, { entries, servers: 4 });
        await sendLoad(fleet, 2_000, 20);
        const startMs = fleet.simulation.nowMs();
        const limited = limitServer(fleet, fleet.servers[0]!, String(perSecond));
        const results = await sendLoad(fleet, 20_000, 20);
        const most = countMost(limited.arrivalsMs, startMs + contactMs);
        t.ok(most <= getAllowed(perSecond), `${most} in 4 s, ${getAllowed(perSecond)} allowed`);
        t.ok(limited.arrivalsMs.at(-1)! > startMs + 8_000, "the server still gets some requests, so that it can say that it is well");
        t.ok(results.every(({ status }) => status === 200), "the other servers serve the rest");
    });
}

test("a server gets its usual requests again once it names no rate", async t => {
    const fleet = await createDirectFleet(52, { entries: 5, servers: 3 });
    const limited = limitServer(fleet, fleet.servers[0]!, "1");
    await sendLoad(fleet, 8_000, 20);
    limited.perSecond = undefined;
    await sendLoad(fleet, 12_000, 20);
    const endMs = fleet.simulation.nowMs();
    const last = limited.arrivalsMs.filter(atMs => atMs > endMs - 5_000).length;
    t.ok(last >= 30, `${last} requests in the last 4 s of load`);
});

test("requests are refused at once as not run while all servers have used up the rates that they named", async t => {
    const fleet = await createDirectFleet(53, { entries: 2, servers: 2 });
    const limited = fleet.servers.map(server => limitServer(fleet, server, "2"));
    await sendLoad(fleet, 3_000, 25);
    const startMs = fleet.simulation.nowMs();
    const results = await sendLoad(fleet, 8_000, 25);
    const served = results.filter(({ status }) => status === 200).length;
    const refused = results.filter(({ status }) => status === 503);
    t.ok(served >= 20, `${served} served`);
    t.equal(served + refused.length, results.length);
    t.ok(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    t.ok(refused.every(({ text }) => text.includes("serversLimited")));
    for (const { arrivalsMs } of limited) t.ok(countMost(arrivalsMs, startMs) <= getAllowed(2));
});

test("retries count against the rate that a server names", async t => {
    const fleet = await createDirectFleet(54, { entries: 5, servers: 3, state: createConfiguration(1) });
    for (const server of fleet.servers.slice(1)) {
        server.behavior = async (request, response) => {
            response.start(fleet.simulation.random() < 0.3 ? 500 : 200, createSealHeaders(request));
            await response.write(Buffer.from("answer"));
            response.end();
        };
    }
    const limited = limitServer(fleet, fleet.servers[0]!, "1");
    const startMs = fleet.simulation.nowMs();
    await sendLoad(fleet, 15_000, 20);
    const most = countMost(limited.arrivalsMs, startMs + contactMs);
    t.ok(most <= getAllowed(1), `${most} in 4 s, ${getAllowed(1)} allowed`);
});

test("an answer to a request that was sent before the rate was named does not end it", t => {
    const limits = createServerLimits(() => 0.5);
    t.equal(limits.recordAnswer("s", { kind: "named", perSecond: 1 }, 900, 1_000), "named");
    t.equal(limits.recordAnswer("s", { kind: "none" }, 950, 1_100), "unchanged");
    t.ok(limits.getWaitMs("s", 1_100) > 0);
    t.equal(limits.recordAnswer("s", { kind: "unreadable" }, 1_050, 1_150), "unchanged");
    t.equal(limits.recordAnswer("s", { kind: "none" }, 1_050, 1_200), "ended");
    t.equal(limits.getWaitMs("s", 1_200), 0);
    t.end();
});

test("the end of a rate is told to other entries for a short time only", t => {
    const limits = createServerLimits(() => 0.5);
    limits.recordAnswer("s", { kind: "named", perSecond: 1 }, 0, 0);
    t.equal(limits.recordAnswer("s", { kind: "none" }, 500, 1_000), "ended");
    t.same(limits.listShared(1_500), ["s"]);
    for (let nowMs = 1_500; nowMs < 30_000; nowMs += 500) limits.recordAnswer("s", { kind: "none" }, nowMs - 100, nowMs);
    t.same(limits.listShared(30_000), []);
    t.end();
});

test("what another entry has learned holds unless this entry knows something newer", t => {
    const limits = createServerLimits(() => 0.5);
    t.equal(limits.recordShared("s", { perSecond: 2, ageMs: 100 }, 1_000), "named");
    t.equal(limits.getShared("s", 1_000), undefined, "only what an answer to this entry said is passed on");
    t.equal(limits.recordShared("s", { ageMs: 500 }, 1_100), "unchanged");
    t.equal(limits.recordShared("s", { ageMs: 50 }, 1_200), "ended");
    t.equal(limits.recordAnswer("s", { kind: "named", perSecond: 3 }, 1_150, 1_300), "named");
    t.same(limits.getShared("s", 1_400), { perSecond: 3, ageMs: 100 });
    t.end();
});

test("a control VM that knows few entries does not raise an entry's share", t => {
    const limits = createServerLimits(() => 0.99);
    limits.updatePosition({ rank: 7, count: 24 }, 0);
    limits.updatePosition({ rank: 0, count: 1 }, 1_000);
    limits.recordAnswer("s", { kind: "named", perSecond: 1 }, 1_000, 1_000);
    limits.recordDispatch("s", 2_000);
    t.ok(limits.getWaitMs("s", 2_000) >= 4_000);
    t.end();
});

test("a caller is told when some entry may send, not when this one may", t => {
    const limits = createServerLimits(() => 0.99);
    limits.updatePosition({ rank: 0, count: 31 }, 0);
    for (const server of ["a", "b", "c", "d"]) {
        limits.recordAnswer(server, { kind: "named", perSecond: 1 }, 0, 0);
        limits.recordDispatch(server, 1_000);
    }
    // Some of these servers get nothing from this entry for a minute, but one request a second from all entries.
    t.ok(["a", "b", "c", "d"].some(server => limits.getWaitMs(server, 1_000) > 30_000));
    t.equal(limits.getFleetWaitMs(["a", "b", "c", "d"], 1_000), 250);
    t.equal(limits.getFleetWaitMs(["a"], 1_000), 1_000);
    t.end();
});

test("an entry that does not know its position sends to a limited server only if all entries may", t => {
    const limits = createServerLimits(() => 0.5);
    limits.updatePosition({ count: 24 }, 0);
    limits.recordAnswer("low", { kind: "named", perSecond: 1 }, 0, 0);
    limits.recordAnswer("high", { kind: "named", perSecond: 48 }, 0, 0);
    limits.recordDispatch("low", 1_000);
    limits.recordDispatch("high", 1_000);
    t.equal(limits.getWaitMs("low", 1_000), 48_000);
    t.equal(limits.getWaitMs("high", 1_000), 500);
    t.end();
});

test("rates are read from answers", t => {
    const read = (text?: string) => platformProtocol.parseReply(200, text === undefined ? {} : { "server-limit": text }).limit;
    t.same(read(), { kind: "none" });
    t.same(read("1.7"), { kind: "named", perSecond: 1.7 });
    t.same(read("0"), { kind: "named", perSecond: 0 });
    t.same(read("3, 2"), { kind: "named", perSecond: 2 });
    for (const text of ["", "-1", "1e9", "many", "Infinity"]) t.same(read(text), { kind: "unreadable" }, text);
    t.end();
});

/** Decoding, announcing and limiting of cold backend servers, without a fleet. */
import { test } from "tap";
import { decodeDesiredState } from "../platform/desiredState.js";
import { decodeSettings } from "../platform/settings.js";
import { createControlDirectory } from "../src/control/directory.js";
import { createObjectKinds } from "../src/control/plugins/objectKinds.js";
import { createWatcherList } from "../src/control/watcherList.js";
import { createColdServers } from "../src/entry/direct/coldServers.js";
import type { ColdServers } from "../src/entry/direct/coldServers.js";
import { createEntryShare, dealRequests } from "../src/entry/direct/entryShare.js";
import type { EntryShare } from "../src/entry/direct/entryShare.js";
import { createLoadTracker } from "../src/entry/direct/loadTracker.js";
import { choosePlacement } from "../src/entry/direct/placement.js";
import { createServerLimits } from "../src/entry/direct/serverLimits.js";
import { getHash32 } from "../src/kernel/digest.js";
import { createDirectoryTable } from "../src/kernel/directory.js";
import type { BackendServerPoolObject, ConfigurationObject } from "../src/kernel/objects.js";
import { createRandom, createSimulation } from "../src/standins/fakeHost.js";
import { createConfiguration, createServerRecord, createSingleGroup } from "./directFleet.js";

const bound = { overrunFactor: 1.5, extraRequests: 5 };

function createPool(requestsPerSecond?: number): BackendServerPoolObject {
    return {
        kind: "backendServerPool",
        name: "models",
        backendServerKind: "modelEngine",
        artifacts: [],
        maxLoadsPerMinute: 60,
        ...requestsPerSecond === undefined ? {} : { coldStart: { requestsPerSecond } },
    };
}

/** A share of the only entry, which all requests are dealt to. */
const wholeShare: EntryShare = { update() {}, isSettled: () => true, getOwnRequests: (_server, totalRequests) => totalRequests };

function createWarmServer(requestsPerSecond?: number): ColdServers {
    const cold = createColdServers(bound, wholeShare);
    cold.setPools([createPool(requestsPerSecond)]);
    cold.updateServers([createServerRecord()], 0);
    cold.recordContact({ count: 1 }, 0, 0);
    return cold;
}

/** Keeps the entry in contact and sends as many requests as it may, for a time. Returns how many. */
function sendAllowed(cold: ColdServers, fromMs: number, durationMs: number): number {
    let sent = 0;
    for (let nowMs = fromMs; nowMs < fromMs + durationMs; nowMs += 10) {
        cold.recordContact({ count: 1 }, nowMs, nowMs);
        if (cold.getWaitMs("s", nowMs) > 0) continue;
        cold.recordDispatch("s", nowMs);
        sent++;
    }
    return sent;
}

function readPool(service: object): ConfigurationObject {
    const services = [{ name: "models", ...service }];
    const decoded = decodeDesiredState(JSON.stringify(createConfiguration(1, { services })));
    if (decoded.kind !== "decoded") throw new Error(decoded.problems.join("; "));
    return decoded.objects[0]!;
}

test("the cold rate of a service is read, and none stands for no limit", t => {
    t.match(readPool({ cold_start_s: 3, cold_per_s: 13 }), { coldStart: { durationMs: 3_000, requestsPerSecond: 13 } });
    t.match(readPool({ cold_per_s: 13 }), { coldStart: { requestsPerSecond: 13 } });
    for (const service of [{}, { cold_start_s: 3 }, { cold_start_s: 3, cold_per_s: 0 }, { cold_start_s: 0, cold_per_s: 13 }]) {
        t.notOk("coldStart" in readPool(service), JSON.stringify(service));
    }
    t.end();
});

test("the bound of cold servers is read from the settings", t => {
    const settings = { node_name: "e", ip: "10.0.0.1", zone: "a", port_range: [7200], seeds: [], bootstrap: false };
    const withBound = decodeSettings(JSON.stringify({ ...settings, bounds: { cold_overrun: 1.5, cold_extra: 5 } }), "file");
    t.match(withBound, { coldOverrunFactor: 1.5, coldExtraRequests: 5 });
    t.match(decodeSettings(JSON.stringify(settings), "file"), { coldOverrunFactor: 1, coldExtraRequests: 0 });
    t.end();
});

test("a cold rate of a pool that agents serve is a problem, because they would not keep it", t => {
    const pools = createObjectKinds(() => false).objectKinds!.find(kind => kind.kind === "backendServerPool")!;
    const routes = [{ kind: "route", name: "r", pool: "models" }];
    const set = { has: () => true, get: () => undefined, list: (kind: string) => kind === "route" ? routes : [] };
    t.equal(pools.check(createPool(13) as never, set as never).length, 1);
    t.equal(pools.check(createPool() as never, set as never).length, 0);
    t.equal(pools.check({ ...createPool(13), name: "other" } as never, set as never).length, 0);
    t.end();
});

test("a server that becomes cold again is announced at once, and the end of its cold time is not", t => {
    const table = createDirectoryTable();
    t.equal(table.merge(createServerRecord({ sequence: 1, coldLeftMs: 3_000 }), 0), "changed");
    t.equal(table.merge(createServerRecord({ sequence: 2, coldLeftMs: 1_850 }), 1_200), "refreshed", "the heartbeat was late by 50 ms");
    t.equal(table.get("s", 1_200)?.coldLeftMs, 1_800);
    t.equal(table.merge(createServerRecord({ sequence: 3 }), 3_600), "refreshed");
    t.equal(table.merge(createServerRecord({ sequence: 4, coldLeftMs: 3_000 }), 4_800), "changed");
    t.equal(table.merge(createServerRecord({ sequence: 5, coldLeftMs: 3_000 }), 5_500), "changed", "it started to be cold once more");
    t.same(table.listSince(0, 6_000).map(record => record.coldLeftMs), [2_500]);
    t.equal(table.get("s", 9_000)?.coldLeftMs, 0);
    t.end();
});

test("heartbeats that are each a little late do not move the end of a cold time without an announcement", t => {
    const table = createDirectoryTable();
    table.merge(createServerRecord({ coldLeftMs: 3_000 }), 0);
    const outcomes = [1, 2, 3].map(count =>
        table.merge(createServerRecord({ sequence: 1 + count, coldLeftMs: 3_000 - 440 * count }), 500 * count)
    );
    t.same(outcomes, ["refreshed", "changed", "refreshed"]);
    t.end();
});

test("the remaining cold time is counted down on the way through control", async t => {
    const simulation = createSimulation(60);
    const { host } = simulation.createVm("10.0.0.1");
    const directory = createControlDirectory(host, "i", createSingleGroup());
    await simulation.runUntil(directory.recordHeartbeat(createServerRecord({ coldLeftMs: 3_000 })));
    const request = { incarnation: "", revision: 0, timeoutMs: 500, watcher: "10.0.1.1:7200" };
    await simulation.advance(1_000);
    const early = await simulation.runUntil(directory.watch(request));
    t.equal(early.servers[0]?.coldLeftMs, 2_000);
    t.equal(early.entryHashes, undefined, "the list of entries is sent on request only");
    const late = await simulation.runUntil(directory.watch({ ...request, incarnation: "i", revision: early.revision, needsEntries: true }));
    t.same([late.servers.length, late.entryHashes], [0, [getHash32("10.0.1.1:7200")]]);
    await simulation.advance(1_000);
    t.equal(directory.get("s")?.coldLeftMs, 500);
});

test("a placement takes a server for slow only while it is cold", t => {
    const loads = createLoadTracker();
    const records = [createServerRecord({ backendServer: "cold", coldLeftMs: 3_000 }), createServerRecord({ backendServer: "busy" })];
    loads.recordColdTimes(records, 0);
    // The busy server takes a quarter longer than an idle one, and a cold one half as long again.
    loads.recordLoad("busy", { running: 2, waiting: 0, slots: 8 }, 3_100);
    loads.recordLoad("cold", { running: 2, waiting: 0, slots: 8 }, 3_100);
    const candidates = records.map(server => ({ server, tracked: loads.get(server.backendServer) }));
    const request = { promptTokens: 1_000, promptParts: [] };
    const getStartMs = (nowMs: number) => choosePlacement(request, candidates.slice(0, 1), nowMs, 0.5)!.expectedStartMs;
    t.equal(choosePlacement(request, candidates, 2_900, 0.5)?.server.backendServer, "busy");
    t.ok(getStartMs(2_999) > 1.4 * getStartMs(3_001), "the factor ends with the cold time, without a newer record");
    t.end();
});

test("a pool without a cold rate is never limited", t => {
    const cold = createWarmServer();
    cold.updateServers([createServerRecord({ coldLeftMs: 3_000 })], 0);
    cold.markPossiblyCold(["s"], "suspectedRestart", 0);
    for (let nowMs = 0; nowMs < 10_000; nowMs += 100) {
        for (let count = 0; count < 10; count++) cold.recordDispatch("s", nowMs);
        if (cold.getWaitMs("s", nowMs) !== 0) t.fail(`limited at ${nowMs} ms`);
    }
    t.same(cold.takeChanges(2_000), []);
    t.equal(cold.getFleetRate("s", 2_000), Infinity);
    t.equal(cold.countCold(2_000), 1);
    t.equal(cold.countLimited(2_000), 0);
    t.end();
});

test("a cold server gets half of its bound, then more in steps, then all", t => {
    const cold = createWarmServer(13);
    t.equal(sendAllowed(cold, 0, 1_000), 100, "the server is warm");
    cold.updateServers([createServerRecord({ sequence: 2, coldLeftMs: 3_000 })], 1_000);
    t.equal(sendAllowed(cold, 1_000, 1_120), 0, "what the server got just before counts");
    t.equal(sendAllowed(cold, 2_120, 1_250), 12);
    t.equal(sendAllowed(cold, 3_370, 630), 12);
    const steps = [4_000, 4_500, 5_000, 5_500].map(fromMs => sendAllowed(cold, fromMs, 500));
    t.same(steps, [12, 36, 50, 50], "within 1,250 ms twice as many, then four times, then all of the demand");
    t.equal(sendAllowed(cold, 6_000, 1_000), 100);
    t.end();
});

test("a server is cold for a time after a failed connection, unless its next incarnation says otherwise", t => {
    const cold = createWarmServer(13);
    sendAllowed(cold, 0, 500);
    cold.markPossiblyCold(["s", "unknown"], "suspectedRestart", 500);
    t.ok(cold.getWaitMs("s", 510) > 0);
    // A heartbeat of the incarnation that the connection failed to may be older than the failure.
    cold.updateServers([createServerRecord({ sequence: 9 })], 600);
    t.ok(cold.getWaitMs("s", 610) > 0);
    t.match(cold.takeChanges(610), [{ kind: "limited", backendServer: "s", reason: "suspectedRestart" }]);
    t.equal(sendAllowed(cold, 610, 2_890), 24);
    cold.recordContact({ count: 1 }, 5_490, 5_490);
    t.equal(cold.countLimited(5_490), 1, "the limit is still raised in steps");
    t.equal(cold.countLimited(5_500), 0);
    t.match(cold.takeChanges(5_500), [{ kind: "lifted", backendServer: "s", reason: "suspectedRestart" }]);
    cold.markPossiblyCold(["s"], "suspectedRestart", 5_500);
    cold.updateServers([createServerRecord({ bornMs: 5_400 })], 5_600);
    cold.recordContact({ count: 1 }, 5_600, 5_600);
    t.equal(cold.getFleetRate("s", 5_600), 2 * 12 / 1.25, "it is warm, so that the limit is raised");
    t.end();
});

test("servers of a failure domain may be cold when its evacuation ends", t => {
    const cold = createWarmServer(13);
    cold.updateServers([createServerRecord(), createServerRecord({ backendServer: "t" })], 0);
    cold.markPossiblyCold(["s"], "evacuationEnded", 100);
    t.match(cold.takeChanges(100), [{ kind: "limited", backendServer: "s", reason: "evacuationEnded" }]);
    t.same([cold.getFleetRate("s", 100), cold.getFleetRate("t", 100)], [9.6, Infinity]);
    t.equal(sendAllowed(cold, 100, 1_250), 12);
    cold.updateServers([createServerRecord({ sequence: 2, coldLeftMs: 6_000 }), createServerRecord({ backendServer: "t" })], 1_350);
    t.match(cold.takeChanges(1_350), [{ kind: "limited", backendServer: "s", reason: "record" }]);
    t.ok(cold.getFleetRate("s", 7_000) === 9.6, "a record that says it is cold for longer counts");
    t.end();
});

test("without contact with control all servers of a pool with a cold rate may be cold", t => {
    const cold = createWarmServer(13);
    t.equal(cold.getWaitMs("s", 1_500), 0);
    t.equal(cold.getFleetRate("s", 1_501), 9.6);
    t.match(cold.takeChanges(1_501), [{ kind: "limited", reason: "noContact" }]);
    cold.recordContact({ count: 1 }, 1_600, 1_800);
    t.equal(cold.getFleetRate("s", 1_800), Infinity);
    t.equal(cold.getFleetRate("s", 3_101), 9.6, "the time counts from when control gave the answer");
    t.end();
});

test("an entry sends nothing to a cold server until the others know of it", t => {
    const share = createEntryShare("10.0.1.1:7200");
    const cold = createColdServers(bound, share);
    cold.setPools([createPool(13)]);
    cold.updateServers([createServerRecord({ coldLeftMs: 20_000 })], 0);
    t.equal(cold.getWaitMs("s", 0), Infinity, "control has not said anything");
    const entries = [getHash32("10.0.1.1:7200")];
    for (let nowMs = 0; nowMs <= 3_900; nowMs += 100) {
        cold.recordContact({ count: 1, entries }, nowMs, nowMs);
        if (cold.getWaitMs("s", nowMs) !== Infinity) t.fail(`not limited at ${nowMs} ms`);
    }
    cold.recordContact({ count: 1, entries }, 4_000, 4_000);
    t.equal(cold.getWaitMs("s", 4_000), 0);
    t.end();
});

test("the lower of a named rate and a cold rate applies", t => {
    const cold = createWarmServer(13);
    const limits = createServerLimits(() => 0.5, cold);
    limits.recordAnswer("s", { kind: "named", perSecond: 2 }, 0, 0);
    t.equal(limits.getWaitMs("s", 0), 250, "the cold rate allows a request at once");
    limits.recordDispatch("s", 250);
    t.equal(limits.getWaitMs("s", 250), 500);
    t.equal(limits.getFleetWaitMs(["s"], 250), 500);
    limits.recordBrokenConnection("s", 300);
    for (let count = 0; count < 12; count++) limits.recordDispatch("s", 300);
    t.equal(limits.getWaitMs("s", 300), 1_250);
    limits.recordAnswer("s", { kind: "none" }, 350, 400);
    t.equal(limits.getWaitMs("s", 400), 1_150);
    t.equal(Math.round(limits.getFleetWaitMs(["s"], 400)), 104);
    limits.countHeldBack([createServerRecord(), createServerRecord({ backendServer: "t" })], 400);
    limits.countHeldBack([createServerRecord({ backendServer: "t" })], 400);
    t.equal(limits.getHeldBackCount(), 1);
    t.end();
});

test("entries that agree send exactly what all together may, and all of it", t => {
    const addresses = Array.from({ length: 27 }, (_, index) => `10.0.1.${index + 1}:7200`);
    const listing = { count: 27, entries: addresses.map(getHash32) };
    const shares = addresses.map(createEntryShare);
    for (const share of shares) share.update(listing, 0);
    const sum = (server: string, total: number, nowMs: number) =>
        shares.reduce((sent, share) => sent + share.getOwnRequests(server, total, nowMs), 0);
    for (const server of ["a", "b", "c"]) {
        for (const total of [0, 1, 12, 27, 50]) t.equal(sum(server, total, 4_000), total, `${total} to ${server}`);
    }
    t.equal(sum("a", 50, 1_000), 27, "before its list is complete, each entry takes no more than its equal part");
    t.end();
});

test("an entry that is missing from the lists for a short time keeps its part", t => {
    const [own, other] = ["10.0.1.1:7200", "10.0.1.2:7200"];
    const share = createEntryShare(own);
    const both = { count: 2, entries: [own, other].map(getHash32) };
    const alone = { count: 1, entries: [getHash32(own)] };
    share.update(both, 0);
    // Long after the last list, a control VM that has just started lists one entry.
    share.update(alone, 60_000);
    t.equal(share.getOwnRequests("s", 12, 60_000), 6);
    share.update(alone, 75_000);
    t.equal(share.getOwnRequests("s", 12, 75_000), 6);
    share.update(alone, 75_001);
    t.equal(share.getOwnRequests("s", 12, 75_001), 12);
    t.end();
});

// The largest sum that any lists give of which each misses at most `missing` of the other entries: an entry then has a rank that is
// lower by as much, or knows of so many entries fewer, whichever gives it more.
function getLargestSum(entryCount: number, totalRequests: number, missing: number): number {
    let sum = 0;
    for (let rank = 0; rank < entryCount; rank++) {
        let most = 0;
        for (let missed = 0; missed <= missing; missed++) {
            most = Math.max(most, dealRequests(Math.max(0, rank - missed), entryCount - missed, totalRequests));
        }
        sum += most;
    }
    return sum;
}

test("entries whose lists miss up to a third of the others keep to twice what they plan for", t => {
    for (let entryCount = 1; entryCount <= 70; entryCount++) {
        for (let totalRequests = 1; totalRequests <= 40; totalRequests++) {
            const missing = Math.min(totalRequests, Math.floor(entryCount / 3));
            const sum = getLargestSum(entryCount, totalRequests, missing);
            if (sum > 2 * totalRequests) t.fail(`${entryCount} entries, ${totalRequests} requests, ${missing} missing: ${sum}`);
        }
    }
    t.equal(getLargestSum(27, 12, 9), 21);
    t.end();
});

test("the list of entries that control gives is complete, whichever control VM they watch", t => {
    const list = createWatcherList();
    list.addLocal("10.0.1.1:7200", 0);
    list.addRemote(["10.0.1.2:7200", "10.0.1.1:7200"], 0);
    t.same([...list.listHashes(1)].sort(), ["10.0.1.1:7200", "10.0.1.2:7200"].map(getHash32).sort());
    t.end();
});

/** Entries that decide by themselves, with delays of what they hear and send. The server becomes cold at 10 s, for 4 s. */
function simulateEntries(seed: number, entryCount: number) {
    const random = createRandom(seed);
    const addresses = Array.from({ length: entryCount }, (_, index) => `10.0.1.${index + 1}:7200`);
    const coldAtMs = 10_000;
    const coldUntilMs = 14_000;
    const entries = addresses.map((address, index) => ({
        address,
        cold: createColdServers(bound, createEntryShare(address)),
        // Some entries start late, some are cut off from control before the server becomes cold, and some hear of it late.
        startMs: index % 5 === 1 ? 6_000 + random() * 6_000 : 0,
        cutFromMs: index % 5 === 2 ? coldAtMs - 1_500 - random() * 3_000 : Infinity,
        recordAtMs: coldAtMs + random() * 400,
        offsetMs: index,
    }));
    for (const { cold } of entries) {
        cold.setPools([createPool(13)]);
        cold.updateServers([createServerRecord()], 0);
    }
    const arrivalsMs: number[] = [];
    for (let nowMs = 0; nowMs < coldUntilMs; nowMs += 10) {
        for (const entry of entries) {
            const { cold, startMs, cutFromMs, recordAtMs, offsetMs } = entry;
            if (nowMs < startMs) continue;
            if (nowMs < cutFromMs && (nowMs + offsetMs * 10) % 700 === 0 || nowMs - startMs < 10) {
                // A list is up to two seconds old.
                const listed = entries.filter(other => other.startMs <= nowMs - 2_000 * random());
                const hashes = [...new Set([entry, ...listed])].map(other => getHash32(other.address));
                cold.recordContact({ count: hashes.length, entries: hashes }, nowMs, nowMs);
            }
            if (nowMs < cutFromMs && nowMs >= recordAtMs) {
                cold.updateServers([createServerRecord({ sequence: 2, coldLeftMs: coldUntilMs - nowMs })], nowMs);
            }
            if (random() > 0.1 || cold.getWaitMs("s", nowMs) > 0) continue;
            cold.recordDispatch("s", nowMs);
            arrivalsMs.push(nowMs + random() * 200);
        }
    }
    return arrivalsMs.filter(atMs => atMs >= coldAtMs + 600).sort((a, b) => a - b);
}

function countMost(arrivalsMs: readonly number[]): number {
    return Math.max(0, ...arrivalsMs.map(atMs => arrivalsMs.filter(other => other >= atMs && other < atMs + 1_000).length));
}

test("entries that start, are cut off and hear late keep to the bound together, and use half of the rate", t => {
    for (const entryCount of [5, 12, 27, 70]) {
        let used = 0;
        let most = 0;
        for (let seed = 1; seed <= 10; seed++) {
            const arrivalsMs = simulateEntries(seed, entryCount);
            most = Math.max(most, countMost(arrivalsMs));
            used += arrivalsMs.filter(atMs => atMs < 14_000).length / 10;
        }
        t.ok(most <= 24.5, `${most} of ${entryCount} entries within a second`);
        t.ok(used >= 0.5 * 13 * 3.4, `${entryCount} entries sent ${used} on average, ${13 * 3.4} are allowed`);
    }
    t.end();
});

test("entries that learn at different times of the end of an evacuation keep to the bound of a server that is cold, before its record arrives", t => {
    for (const entryCount of [5, 27, 70]) {
        const random = createRandom(entryCount);
        const hashes = Array.from({ length: entryCount }, (_, index) => getHash32(`10.0.1.${index + 1}:7200`));
        const entries = hashes.map((_, index) => {
            const cold = createColdServers(bound, createEntryShare(`10.0.1.${index + 1}:7200`));
            cold.setPools([createPool(13)]);
            cold.updateServers([createServerRecord()], 0);
            return { cold, endMs: 5_000 + random() * 1_000, recordMs: 5_000 + random() * 1_500 };
        });
        const arrivalsMs: number[] = [];
        for (let nowMs = 0; nowMs < 8_000; nowMs += 10) {
            for (const { cold, endMs, recordMs } of entries) {
                if (nowMs % 500 === 0) cold.recordContact({ count: entryCount, entries: hashes }, nowMs, nowMs);
                if (nowMs < endMs) continue;
                if (nowMs - endMs < 10) cold.markPossiblyCold(["s"], "evacuationEnded", nowMs);
                if (nowMs >= recordMs) cold.updateServers([createServerRecord({ sequence: 2, coldLeftMs: 8_000 - nowMs })], nowMs);
                if (random() > 0.1 || cold.getWaitMs("s", nowMs) > 0) continue;
                cold.recordDispatch("s", nowMs);
                arrivalsMs.push(nowMs + random() * 200);
            }
        }
        t.ok(countMost(arrivalsMs) <= 24.5, `${countMost(arrivalsMs)} within a second`);
        t.ok(arrivalsMs.length >= 0.5 * 13 * 3, `${arrivalsMs.length} in 3 s`);
    }
    t.end();
});

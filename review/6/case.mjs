/**
 * One entry is stopped and started again, as in any rolling restart. Later the connections of callers to the other entry break, and they take their
 * streams up at the restarted one, as the pages say. There is one service and one software version all the time.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { CannotRun, hasTrouble, runCase, sleep } from "../lib-2/fleet.mjs";
import { createDesiredState, createServer, send } from "../lib-2/servers.mjs";

const service = "lovage-pool";
const tokensPerEvent = 6;
const events = 49;
const eventMs = 50;
const timeLimitMs = 12_000;
const streams = 24;

/** Runs a generation. Goes on after the event that the request names. */
async function stream({ request, response, headers }) {
    response.writeHead(200, { ...headers, "content-type": "text/event-stream" });
    for (let i = Number(request.headers["last-event-id"] ?? 0) + 1; i <= events; i++) {
        if (response.destroyed) return true;
        response.write(`id: ${i}\ndata: piece ${i}\n\n`);
        await sleep(eventMs);
    }
    response.end();
    return true;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
    const cores = fleet.addCore(3);
    const edges = fleet.addEdge(2);
    const [first, restarted] = edges;
    for (const machine of [...cores, ...edges]) fleet.start(machine);
    const servers = ["i-1", "i-2", "i-3", "i-4"].map((id, i) =>
        createServer({ fleet, record, id, service, zone: fleet.zones[i % 3], slots: 64, model: "m", handle: stream })
    );
    const configure = (version, reserved) => fleet.configure(createDesiredState({
        version,
        service,
        reserved,
        routes: [{
            name: "tab-wording",
            host: "desk.example",
            path_prefix: "/tab/",
            type: "streaming",
            timeout_ms: timeLimitMs,
            slo_ms: 400,
            priority: 0,
            service,
            attempts: 2,
            public: false,
            sticky: true,
            resumable: true,
            itl_target_ms: 300,
        }],
        services: [{
            name: service,
            health_path: "/healthz",
            max_conns: 370,
            protocol: "h1",
            tls: false,
            runtime: { slots: 64, kv_capacity: 453167, kv_token_bytes: 35136, link_mbps: 1100000.0, stride: tokensPerEvent, models: [{ name: "m" }] },
        }],
    }));
    await configure(1, 40_000_000);
    await Promise.all(servers.map(server => server.start()));
    await fleet.waitUntilReady(edges);
    // The operator tops the tenant up. After this nothing changes any more.
    await configure(2, 50_000_000);
    await sleep(2_000);
    if (hasTrouble) {
        fleet.kill(restarted, "SIGTERM");
        for (let waitedMs = 0; !fleet.hasEnded(restarted) && waitedMs < 10_000; waitedMs += 50) await sleep(50);
        if (!fleet.hasEnded(restarted)) throw new CannotRun("the entry did not end");
        fleet.start(restarted);
        await fleet.waitUntilReady([restarted]);
    }
    // Longer than any caller takes a stream up again, and than contact_ms.
    await sleep(25_000);

    const results = await Promise.all(Array.from({ length: streams }, (_, i) => readStream(i)));
    const fresh = await Promise.all(Array.from({ length: streams }, (_, i) => attempt(restarted, (8_192 + i).toString(16), {})));
    for (const server of servers) server.end();

    const begun = results.filter(result => result.lastEventId > 0);
    const wentOn = begun.filter(result => result.wentOn).length;
    const freshBegun = fresh.filter(answer => answer.status === 200).length;
    record.write(`${begun.length} streams were taken up again at ${restarted.name}, ${wentOn} went on; of ${streams} new ones there ${freshBegun} began`);
    if (begun.length < 12 || freshBegun === 0) throw new CannotRun("too few streams began");
    return wentOn / begun.length < freshBegun / streams / 2
        ? [`LOST: of ${begun.length} streams that callers took up again ${wentOn} went on, though ${servers.length} servers of their version serve; of ${streams} new ones ${freshBegun} began`]
        : [];

    function attempt(edge, name, { headers = {}, deadlineMs = timeLimitMs, onData, signal }) {
        return send({
            edge,
            path: `/tab/${name}`,
            method: "POST",
            deadlineMs,
            onData,
            signal,
            headers: { "x-model": "m", "x-token-counts": `826,${events * tokensPerEvent}`, "x-prompt-prefix": `aa:198,${name}:628`, ...headers },
        });
    }

    /** Reads a stream until its connection breaks after some events, and takes it up at the other entry within its time limit. */
    async function readStream(i) {
        const name = (4_096 + i).toString(16);
        const startedAt = Date.now();
        const connection = new AbortController();
        let text = "";
        const { requestId } = await attempt(first, name, {
            signal: connection.signal,
            onData(chunk) {
                text += chunk;
                if (text.includes("id: 11\n")) connection.abort();
            },
        });
        const lastEventId = readLastEventId(text, 0);
        const log = [`${requestId} at ${first.name} up to event ${lastEventId}`];
        let reachedId = lastEventId;
        while (lastEventId > 0 && reachedId < events && Date.now() - startedAt < timeLimitMs - 1_000) {
            const headers = { "last-event-id": String(reachedId), "resumes": requestId };
            const answer = await attempt(restarted, name, { headers, deadlineMs: timeLimitMs - (Date.now() - startedAt) });
            log.push(`${answer.requestId} at ${restarted.name}: ${answer.status || answer.error}`);
            if (answer.status === 200) reachedId = readLastEventId(answer.body, reachedId);
            else await sleep(Math.min(1_000, 1_000 * Number(answer.headers["retry-after"] ?? 0.2)));
        }
        record.write(`stream ${name}: ${reachedId === events ? "whole" : "not whole"}; ${log.slice(0, 4).join("; ")}; ${log.length - 1} tries`);
        return { lastEventId, wentOn: reachedId > lastEventId };
    }
});

function readLastEventId(text, before) {
    return Math.max(before, ...[...text.matchAll(/id: (\d+)\ndata: piece \d+\n\n/g)].map(match => Number(match[1])));
}

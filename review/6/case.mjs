/**
 * During a release, servers of a new software version stand beside those of the old one. An entry is killed while it streams, and its callers
 * take their streams up at the other entry, with a new attempt id and Last-Event-Id. Each stream has to go on at the version that began it.
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

/** Runs a generation: each version words its pieces in its own way. Goes on after the event that the request names. */
function stream(version) {
    return async ({ request, response, headers }) => {
        response.writeHead(200, { ...headers, "content-type": "text/event-stream", "x-weight-versions": "1" });
        for (let i = Number(request.headers["last-event-id"] ?? 0) + 1; i <= events; i++) {
            if (response.destroyed) return true;
            response.write(`id: ${i}\ndata: piece ${i} as ${version} words it\n\n`);
            await sleep(eventMs);
        }
        response.end();
        return true;
    };
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
    const cores = fleet.addCore(3);
    const edges = fleet.addEdge(2);
    const [killed, other] = edges;
    for (const machine of [...cores, ...edges]) fleet.start(machine);
    const create = (id, i, version) =>
        createServer({ fleet, record, id, service, zone: fleet.zones[i % 3], version, slots: 64, model: "m", handle: stream(version) });
    const oldServers = ["i-1", "i-2", "i-3", "i-4"].map((id, i) => create(id, i, "v1"));
    const newServers = ["i-5", "i-6"].map((id, i) => create(id, i, "v2"));
    const servers = [...oldServers, ...newServers];
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
    await Promise.all(oldServers.map(server => server.start()));
    await fleet.waitUntilReady(edges);
    // The operator tops the tenant up.
    await configure(2, 50_000_000);
    // The old version has been the only one for longer than any caller takes a stream up again.
    await sleep(20_000);
    // A release: the new ones start first, then as many old ones drain.
    await Promise.all(newServers.map(server => server.start()));
    for (const server of oldServers.slice(0, newServers.length)) {
        server.state = "draining";
        server.isLeaving = true;
        server.stopBeats();
        const node = await server.announce(server.createHeartbeat());
        record.write(`${node?.name} acknowledges that ${server.id} is draining`);
    }
    await sleep(1_500);
    const running = Array.from({ length: streams }, (_, i) => readStream(i));
    await sleep(eventMs * 10);
    if (hasTrouble) fleet.kill(killed);
    const results = await Promise.all(running);
    for (const server of servers) server.end();

    const mixed = results.filter(result => result.versions.size > 1);
    const whole = results.filter(result => result.isWhole).length;
    const resumed = results.filter(result => result.attempts > 1).length;
    record.write(`${streams} streams, ${whole} whole, ${resumed} taken up again`);
    if (whole === 0 || (hasTrouble && resumed === 0)) throw new CannotRun("no stream came to its end, or none was taken up again");
    return mixed.map(({ name, log }) => `ORDER: stream ${name} has pieces of two versions: ${log}`);

    /** Reads one stream to its end, as a caller that takes it up again after a broken connection. */
    async function readStream(i) {
        const startedAt = Date.now();
        const name = `s${i}`;
        const versions = new Set();
        const log = [];
        let lastEventId = 0;
        let attempts = 0;
        let isWhole = false;
        let edge = killed;
        while (!isWhole && Date.now() - startedAt < timeLimitMs - 500) {
            const leftMs = timeLimitMs - (Date.now() - startedAt);
            const answer = await send({
                edge,
                path: `/tab/${name}`,
                method: "POST",
                deadlineMs: leftMs,
                headers: {
                    "x-model": "m",
                    "x-token-counts": `826,${events * tokensPerEvent}`,
                    "x-prompt-prefix": `aa:198,${(1_000 + i).toString(16)}:628`,
                    ...lastEventId === 0 ? {} : { "last-event-id": String(lastEventId) },
                },
            });
            if (answer.status === 200) {
                attempts++;
                const pieces = [...answer.body.matchAll(/id: (\d+)\ndata: piece \d+ as (v\d) words it\n\n/g)];
                for (const [, id, version] of pieces) {
                    versions.add(version);
                    lastEventId = Number(id);
                }
                const server = servers.find(({ arrivals }) => arrivals.some(arrival => arrival.requestId === answer.requestId && arrival.ran));
                log.push(`attempt ${answer.requestId} at ${edge.name}, run by ${server?.id}: ${pieces.length} pieces of ${pieces.at(-1)?.[2]} up to ${lastEventId}`);
                isWhole = answer.isWhole && lastEventId === events;
            }
            else {
                log.push(`attempt ${answer.requestId} at ${edge.name}: ${answer.status || answer.error}`);
                await sleep(Math.min(1_000, 1_000 * Number(answer.headers["retry-after"] ?? 0.2)));
            }
            edge = other;
        }
        record.write(`stream ${name}: ${isWhole ? "whole" : "not whole"}; ${log.join("; ")}`);
        return { name, versions, attempts, isWhole, log: log.join("; ") };
    }
});

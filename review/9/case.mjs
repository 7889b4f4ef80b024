/**
 * Now and then a request crashes each server that begins to run it, and its caller sends it again and again. Meanwhile one server at a time fails
 * part of its requests with an answer of its own. After the third crash and contact_ms more, such a request may reach servers in three retries.
 */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { bounds, CannotRun, hasTrouble, runCase, sleep } from "../lib-2/fleet.mjs";
import { createDesiredState, createServer, send } from "../lib-2/servers.mjs";

const service = "shopdesk";
const workMs = 86;
/** Time after which a server that has crashed is back. */
const downMs = 2_500;
const playMs = 98_000;
const retryMs = 1_500;
const maxRetries = 3;
/** Dose of the failing server: how long, and the share of its requests. */
const greyMs = 6_500;
const greyShare = 0.45;
/** Requests that crash servers, and when their callers send them first. */
const deadlyRequests = [
    { path: "/lookup/deadly-1", fromMs: 0 },
    { path: "/lookup/deadly-2", fromMs: 30_000 },
    { path: "/lookup/deadly-3", fromMs: 60_000 },
];

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ fleet, record }) => {
    const cores = fleet.addCore(3);
    const edges = fleet.addEdge(4);
    for (const machine of [...cores, ...edges]) fleet.start(machine);
    /** By path: when it crashed servers, and its arrivals at servers. */
    const seen = new Map(deadlyRequests.map(({ path }) => [path, { crashedAt: [], arrivals: [] }]));
    let grey;
    const servers = ["i-1", "i-2", "i-3"].map((id, i) =>
        createServer({ fleet, record, id, service, zone: fleet.zones[i], slots: 6, workMs, handle })
    );
    await fleet.configure(createDesiredState({ version: 1, service }));
    await Promise.all(servers.map(server => server.start()));
    await fleet.waitUntilReady(edges);
    await sleep(4_000);
    const endAt = Date.now() + playMs;
    const counts = {};
    await Promise.all([...deadlyRequests.map(sendDeadly), rotateGrey(), ...Array.from({ length: 4 }, (_, i) => sendSound(i))]);
    await sleep(300);
    for (const server of servers) server.end();

    record.write(`sound requests by status: ${JSON.stringify(counts)}`);
    const breaks = [];
    for (const [path, { crashedAt, arrivals }] of seen) {
        if (crashedAt.length < 3) throw new CannotRun(`${path} crashed fewer than three servers`);
        const sinceAt = crashedAt[2] + bounds.contact_ms;
        const retries = new Set(arrivals.filter(arrival => arrival.at > sinceAt).map(arrival => arrival.requestId));
        const text = `reached servers in ${retries.size} retries later than ${bounds.contact_ms} ms after it had crashed the third`;
        record.write(`${path} crashed servers ${crashedAt.length} times and ${text}`);
        if (retries.size > maxRetries) breaks.push(`BUDGET: ${path} ${text}`);
    }
    return breaks;

    /** Runs a request as a server of this case does. */
    async function handle({ server, request, response, headers }) {
        const deadly = seen.get(request.url);
        const requestId = headers["x-attempt-id"];
        deadly?.arrivals.push({ at: Date.now(), requestId });
        if (server === grey && Math.random() < greyShare) {
            if (deadly !== undefined) record.write(`${request.url} ${requestId} reaches ${server.id}, which fails it with a 500 of its own`);
            response.writeHead(500, headers);
            response.end("failed");
            return true;
        }
        if (deadly === undefined) return false;
        record.write(`${request.url} ${requestId} reaches ${server.id} and crashes it`);
        await sleep(30);
        deadly.crashedAt.push(Date.now());
        server.crash();
        setTimeout(() => Date.now() < endAt && void server.start(), downMs);
        return true;
    }

    /** One server after the other fails part of its requests, each for as long as the site's dose is. */
    async function rotateGrey() {
        for (let turn = 0; hasTrouble && Date.now() + greyMs < endAt; turn++) {
            grey = servers[turn % servers.length];
            record.write(`${grey.id} fails ${greyShare} of its requests for ${greyMs} ms`);
            await sleep(greyMs);
            grey = undefined;
            await sleep(300);
        }
    }

    async function sendDeadly({ path, fromMs }) {
        await sleep(fromMs);
        for (let i = 0; Date.now() < endAt; i++) {
            const { requestId, status, edge } = await send({ edge: edges[i % edges.length], path });
            record.write(`${path} ${requestId} to ${edge.name}: ${status}`);
            await sleep(retryMs);
        }
    }

    async function sendSound(i) {
        for (let n = 0; Date.now() < endAt; n++) {
            const { status } = await send({ edge: edges[(i + n) % edges.length], path: `/lookup/${i}-${n}` });
            counts[status] = (counts[status] ?? 0) + 1;
            await sleep(100);
        }
    }
});

/**
 * One worker spoils one answer: its status line says 000. All other answers are sound. Clients of the entry that got the spoiled answer are
 * watched. With TROUBLE=0 that answer is sound too.
 */
import * as path from "node:path";
import { fileURLToPath } from "node:url";
import { runCase, sleep, startFleet, waitFor } from "../lib/fleet.mjs";
import { clientLimits, createOperator, send, startWorker } from "../lib/standins.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const workMs = 86;
const routeTimeoutMs = 800;
const clientTimeLimitMs = 1_500;
/** Clients of each entry, each with one request at a time. */
const clientsPerEntry = 8;
const runMs = 12_000;
const spoilAfterMs = 4_000;
/** The rule looks at requests that have no final answer this long after the timeout of their route. */
const graceMs = 500;
/** The rule's bounds. */
const minUnanswered = 8;
const maxUnansweredShare = 0.25;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async (record, onEnd) => {
    const fleet = await startFleet({ entries: 2, record });
    onEnd(fleet.stop);
    const operator = createOperator(fleet, record);
    let mustSpoil = false;
    let answers = 0;
    let spoiled = 0;

    const createHandler = index => (request, response) => {
        const attempt = request.headers["x-attempt-id"];
        setTimeout(() => {
            answers++;
            if (mustSpoil && index === 0) {
                mustSpoil = false;
                spoiled++;
                record(`worker ${index} spoils its answer to ${attempt}`);
                request.socket.write(
                    `HTTP/1.1 000 OK\r\nX-Attempt-Id: ${attempt}\r\nX-Worker-Seal: seal\r\nContent-Length: 2\r\n\r\nok`,
                );
                return;
            }
            response.writeHead(200, { "Content-Type": "text/plain", "Content-Length": "2" });
            response.end("ok");
        }, workMs);
    };
    for (const index of [0, 1, 2]) {
        const worker = await startWorker(fleet, { id: `i-shop-${index}`, index, service: "shop", slots: 6, handle: createHandler(index) }, record);
        onEnd(worker.stop);
    }
    const createRoute = (name, type, attempts) => ({
        name: `r-${name}`,
        host: "desk.example",
        path_prefix: `/${name}/`,
        type,
        timeout_ms: routeTimeoutMs,
        slo_ms: 300,
        priority: 2,
        service: "shop",
        attempts,
        public: false,
        sticky: false,
        resumable: false,
    });
    await operator.replace({
        version: 1,
        routes: [createRoute("order", "non_idempotent", 1), createRoute("lookup", "idempotent", 2)],
        services: [{ name: "shop", health_path: "/healthz", max_conns: 110, protocol: "h1", tls: false }],
        limits: clientLimits,
        tenants: [{ name: "county", api_keys: ["county-key"], priority: 1 }],
    });
    let sent = 0;
    const call = async entry => {
        const attempt = `a${sent++}`;
        const isOrder = sent % 3 !== 0;
        const startMs = Date.now();
        const answer = await send({
            host: fleet.entryIps[entry],
            port: fleet.ports.front,
            method: isOrder ? "POST" : "GET",
            path: isOrder ? "/order/1" : "/lookup/1",
            headers: {
                host: "desk.example",
                "x-attempt-id": attempt,
                "x-deadline-ms": String(clientTimeLimitMs),
                authorization: "Bearer county-key",
            },
            body: isOrder ? "cut" : undefined,
            timeoutMs: clientTimeLimitMs,
        });
        const tookMs = Date.now() - startMs;
        record(`client of edge-${entry + 1}: ${attempt} ${answer.status ?? answer.error} after ${tookMs} ms`);
        return { entry, attempt, status: answer.status, tookMs };
    };
    for (const entry of [0, 1]) await waitFor(`entry ${entry}`, async () => (await call(entry)).status === 200);
    await sleep(2_000);

    const results = [];
    const startMs = Date.now();
    const runClient = async entry => {
        while (Date.now() < startMs + runMs) {
            results.push(await call(entry));
            await sleep(150);
        }
    };
    const clients = [0, 1].flatMap(entry => Array.from({ length: clientsPerEntry }, () => runClient(entry)));
    await sleep(spoilAfterMs);
    mustSpoil = hasTrouble;
    await Promise.all(clients);

    const late = results.filter(result => result.tookMs > routeTimeoutMs);
    const unanswered = late.filter(result => result.status === undefined || result.tookMs > routeTimeoutMs + graceMs);
    record(`requests: ${results.length}; answers of workers: ${answers}, of these spoiled: ${spoiled}`);
    record(`longer than ${routeTimeoutMs} ms: ${late.length}; without an answer ${graceMs} ms later: ${unanswered.length}`);
    for (const entry of [0, 1]) record(`of these at edge-${entry + 1}: ${unanswered.filter(result => result.entry === entry).length}`);
    const isEndedByItself = [...fleet.processes.values()].some(process => process.exit !== undefined);
    if (isEndedByItself) record("a process of the fleet ended by itself");
    return isEndedByItself || unanswered.length >= minUnanswered && unanswered.length > maxUnansweredShare * late.length;
});

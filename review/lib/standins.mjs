/** Stand-ins for workers, the operator and clients, as the users' pages describe them. */
import * as http from "node:http";
import { sleep } from "./fleet.mjs";

/** Sends one HTTP request on a new connection. Resolves with what came, also if the answer is cut off or there is none. */
export function send({ host, port, method = "GET", path, headers = {}, body, timeoutMs = 10_000 }) {
    return new Promise(resolve => {
        const chunks = [];
        let status;
        let answerHeaders = {};
        const settle = (isComplete, error) => {
            clearTimeout(timer);
            resolve({ status, headers: answerHeaders, body: Buffer.concat(chunks).toString("utf8"), isComplete, error });
        };
        const request = http.request({ host, port, method, path, headers, agent: false }, response => {
            status = response.statusCode;
            answerHeaders = response.headers;
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => settle(response.complete, response.complete ? undefined : "cut off"));
            response.on("error", error => settle(false, error.message));
            response.on("close", () => settle(response.complete, response.complete ? undefined : "cut off"));
        });
        const timer = setTimeout(() => request.destroy(new Error("timeout")), timeoutMs);
        request.on("error", error => settle(false, error.message));
        request.end(body);
    });
}

/** The operator: sends desired states to the control VMs until one gives a clear answer. */
export function createOperator(fleet, record) {
    return {
        async replace(state, timeoutMs = 20_000) {
            const deadlineMs = Date.now() + timeoutMs;
            for (let attempt = 0;; attempt++) {
                const host = fleet.controlIps[attempt % fleet.controlIps.length];
                const answer = await send({
                    host,
                    port: fleet.ports.control,
                    method: "POST",
                    path: "/config/replace",
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify(state),
                    timeoutMs: 3_000,
                });
                if (answer.status !== undefined && answer.status < 500) {
                    record(`operator sent version ${state.version}: ${answer.status} ${answer.body}`);
                    return answer;
                }
                if (Date.now() > deadlineMs) throw new Error(`version ${state.version} was not acknowledged: ${answer.error ?? answer.status}`);
                await sleep(200);
            }
        },
        read: index =>
            send({ host: fleet.controlIps[index], port: fleet.ports.control, path: "/config/read", timeoutMs: 2_000 }),
    };
}

/**
 * A worker. It echoes the attempt id, signs what it answers, refuses requests that are meant for another worker, and sends heartbeats.
 * `handle(request, response, body)` runs a request.
 */
export async function startWorker(fleet, { id, index, service, slots = 64, version = "v1", handle, runtime }, record) {
    const host = fleet.workerIps[index];
    const port = fleet.ports.worker;
    const born = Date.now();
    const sockets = new Set();
    let sequence = 0;
    let state = "ready";
    let isStopped = false;
    const server = http.createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const attempt = request.headers["x-attempt-id"];
            if (attempt !== undefined) response.setHeader("X-Attempt-Id", attempt);
            response.setHeader("X-Worker-Load", `1,0,${slots}`);
            if (request.headers["x-expect-worker"] !== undefined && request.headers["x-expect-worker"] !== id) {
                response.writeHead(421, { "X-Worker-Id": id, "Content-Length": "0" }).end();
                return;
            }
            if (attempt === undefined) {
                response.writeHead(400, { "X-Not-Executed": "1", "Content-Length": "0" }).end();
                return;
            }
            response.setHeader("X-Worker-Seal", `seal.${id}.${attempt}`);
            handle(request, response, Buffer.concat(chunks));
        });
    });
    server.keepAliveTimeout = 10_000;
    server.on("connection", socket => {
        sockets.add(socket);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
    });
    const timer = setInterval(beat, 1_200);
    await beat();
    return {
        id,
        address: `${host}:${port}`,
        async setState(newState) {
            state = newState;
            return beat();
        },
        async stop() {
            isStopped = true;
            clearInterval(timer);
            for (const socket of sockets) socket.destroy();
            await new Promise(resolve => server.close(resolve));
        },
    };

    async function beat() {
        const body = JSON.stringify({
            service,
            address: `${host}:${port}`,
            zone: fleet.zones[index % fleet.zones.length],
            version,
            slots,
            state,
            cold_left_ms: 0,
            ...runtime === undefined ? {} : { phase: "unified", models: [{ name: "m", version: 1, adapters: [] }] },
            seq: ++sequence,
            born,
        });
        for (const controlHost of fleet.controlIps) {
            if (isStopped) return false;
            const answer = await send({
                host: controlHost,
                port: fleet.ports.control,
                method: "POST",
                path: `/workers/${id}/heartbeat`,
                headers: { "content-type": "application/json" },
                body,
                timeoutMs: 1_000,
            });
            if (answer.status === 200) return true;
        }
        return false;
    }
}

/** Settings of a model engine in a desired state, as those of the site. */
export const engineRuntime = {
    slots: 64,
    kv_capacity: 453167,
    kv_token_bytes: 35136,
    link_mbps: 1100000.0,
    migrations: true,
    replicas: true,
    stride: 6,
    most: 12,
    pin_ms: 4000.0,
    hold_ms: 2000.0,
    handle_ttl_s: 5.0,
    models: [{ name: "m" }],
};

/** Limits of a desired state, as those of the site. */
export const clientLimits = { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 };

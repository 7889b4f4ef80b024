/** Stand-ins for backend servers. They check in at control, run requests and follow the pages of the users where no option says otherwise. */
import * as http from "node:http";
import { call, sleep } from "./fleet.mjs";

export const heartbeatMs = 1200;

/** Creates a backend server that is not started. `handle` may take a request over: it returns true then. */
export function createServer({ fleet, record, id, service, zone, version = "v1", slots = 6, workMs = 20, handle, model, getWallMs = Date.now }) {
    const ip = fleet.nextIp();
    const address = `${ip}:${fleet.ports.server}`;
    /** Arrivals of requests: time, server, attempt id, whether it ran. */
    const arrivals = [];
    let listener;
    let beating = 0;
    let sequence = 0;
    let born = 0;
    let running = 0;
    let lastControl = 0;
    let isUp = false;
    const sockets = new Set();
    const server = {
        id,
        ip,
        address,
        service,
        arrivals,
        state: "ready",
        /** True from the time at which the server leaves, also if it says so to control by its deregistration alone. */
        isLeaving: false,
        get born() {
            return born;
        },
        get running() {
            return running;
        },
        async start() {
            if (isUp) return;
            isUp = true;
            born = getWallMs();
            sequence = 0;
            server.state = "ready";
            server.isLeaving = false;
            listener = http.createServer({ keepAliveTimeout: 15_000 }, (request, response) => void serve(request, response));
            listener.on("connection", socket => {
                sockets.add(socket);
                socket.on("close", () => sockets.delete(socket));
                socket.on("error", () => undefined);
            });
            await new Promise((resolve, reject) => {
                listener.once("error", reject);
                listener.listen(fleet.ports.server, ip, resolve);
            });
            record.write(`server ${id} starts, born ${born}`);
            void beat(++beating);
        },
        /** Ends at once, as a crash does: connections are reset. */
        crash() {
            if (!isUp) return;
            isUp = false;
            record.write(`server ${id} crashes`);
            beating++;
            listener.close();
            for (const socket of sockets) socket.resetAndDestroy();
            running = 0;
        },
        end() {
            isUp = false;
            beating++;
            listener?.close();
            for (const socket of sockets) socket.destroy();
        },
        stopBeats() {
            beating++;
        },
        /** Body of a heartbeat that is made now. */
        createHeartbeat() {
            const base = { service, address, zone, version, slots, state: server.state, cold_left_ms: 0, seq: ++sequence, born };
            return model === undefined ? base : { ...base, phase: "unified", models: [{ name: model, version: 1, adapters: [] }] };
        },
        sendHeartbeat,
        /** Sends a heartbeat, to one node after the other, until one acknowledges it. Returns the node. */
        async announce(body, path = "heartbeat", triesMost = 30) {
            const nodes = [...fleet.machines.values()].filter(machine => machine.kind === "core");
            for (let i = 0; i < triesMost; i++) {
                const node = nodes[lastControl % nodes.length];
                const answer = await sendHeartbeat(node, body, path);
                if (answer.status >= 200 && answer.status < 300) return node;
                lastControl++;
                await sleep(50);
            }
            return undefined;
        },
    };
    return server;

    function sendHeartbeat(node, body, path = "heartbeat") {
        const text = JSON.stringify(body);
        const headers = { "content-type": "application/json", "content-length": String(Buffer.byteLength(text)) };
        return call({ address: node.control, method: "POST", path: `/workers/${id}/${path}`, headers, body: text, timeoutMs: 1000 });
    }

    async function beat(turn) {
        while (beating === turn) {
            await server.announce(server.createHeartbeat());
            await sleep(heartbeatMs);
        }
    }

    async function serve(request, response) {
        const chunks = [];
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        for await (const chunk of request) chunks.push(chunk);
        if (request.url === "/healthz") return void response.writeHead(200, { "x-worker-id": id }).end();
        const requestId = request.headers["x-attempt-id"];
        const arrival = { at: Date.now(), server: id, requestId, path: request.url, ran: false, from: request.socket.remoteAddress };
        arrivals.push(arrival);
        const headers = { "x-worker-load": `${running},0,${slots}`, ...server.isLeaving ? { "server-leaving": "1" } : {} };
        if (requestId === undefined) return void response.writeHead(400, { ...headers, "x-not-executed": "1" }).end();
        headers["x-attempt-id"] = requestId;
        if (request.headers["x-expect-worker"] !== undefined && request.headers["x-expect-worker"] !== id) {
            return void response.writeHead(421, { ...headers, "x-worker-id": id }).end();
        }
        headers["x-worker-seal"] = `seal-${id}`;
        if (running >= slots) return void response.writeHead(503, { ...headers, "x-not-executed": "1" }).end();
        arrival.ran = true;
        running++;
        try {
            if (await handle?.({ server, request, response, headers, body: Buffer.concat(chunks) })) return;
            await sleep(workMs);
            response.writeHead(200, { ...headers, "content-type": "text/plain" }).end(`done by ${id} for ${requestId}`);
        }
        finally {
            running = Math.max(0, running - 1);
        }
    }
}

/** Desired state with one service of a few routes. */
export function createDesiredState({ version, service, host = "desk.example", key = "key-1", reserved = 50_000_000, routes, services, tenants }) {
    const route = (name, type, extra = {}) => ({
        name,
        host,
        path_prefix: `/${name}/`,
        type,
        timeout_ms: 1500,
        slo_ms: 386,
        priority: 0,
        service,
        attempts: 2,
        public: false,
        sticky: false,
        resumable: false,
        ...extra,
    });
    return {
        version,
        routes: routes ?? [route("lookup", "idempotent"), route("order", "non_idempotent", { attempts: 1 })],
        services: services ?? [{ name: service, health_path: "/healthz", max_conns: 110, protocol: "h1", tls: false }],
        limits: { max_header_bytes: 16384, max_body_bytes: 4194304, header_timeout_ms: 3000, idle_timeout_ms: 15000 },
        tenants: tenants ?? [{ name: "tenant-1", api_keys: [key], priority: 1, reserved }],
    };
}

let lastAttempt = 0;
/** Id of one client attempt. */
export function nextAttemptId() {
    return (++lastAttempt).toString(16).padStart(8, "0") + Math.floor(Math.random() * 2 ** 32).toString(16).padStart(8, "0");
}

/** Sends one client attempt to an entry. */
export async function send({ edge, path = "/lookup/a", method = "GET", key = "key-1", host = "desk.example", deadlineMs = 1500, headers = {}, body, agent, onData, signal }) {
    const requestId = nextAttemptId();
    const answer = await call({
        address: edge.front,
        method,
        path,
        headers: {
            host,
            "x-attempt-id": requestId,
            "x-deadline-ms": String(deadlineMs),
            authorization: `Bearer ${key}`,
            ...headers,
        },
        body,
        agent,
        onData,
        signal,
        timeoutMs: deadlineMs + 300,
    });
    return { ...answer, requestId, edge };
}

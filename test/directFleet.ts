/** Test fixture: a fleet with direct dispatch on fake hosts, with fakes of the platform's backend servers, operator and callers. */
import { createControlApi } from "../platform/controlApi.js";
import { platformProtocol } from "../platform/requests.js";
import type { Control } from "../src/control/control.js";
import type { ControlGroupView } from "../src/control/directory.js";
import type { ColdBound } from "../src/entry/direct/coldServers.js";
import type { Gateway } from "../src/entry/direct/gateway.js";
import type { BackendServerRecord } from "../src/kernel/directory.js";
import type { HttpHandler, HttpRequest, HttpResponse, IncomingResponse } from "../src/kernel/host.js";
import { maxMessageBytes } from "../src/kernel/readLimits.js";
import { readAll, sleep } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import type { FakeVm, Simulation } from "../src/standins/fakeHost.js";
import { startGateway, startRelay, startSeededControl } from "../src/wiring.js";
import type { SeededProcess } from "../src/wiring.js";

export const fleetPort = 7200;
export const controlPort = 8748;
export const callerPort = 8740;
const serverPort = 8080;

export interface ControlVm {
    readonly vm: FakeVm;
    process: SeededProcess<Control> | undefined;
}

export interface EntryVm {
    readonly vm: FakeVm;
    process: SeededProcess<Gateway> | undefined;
}

/** Request handler of a fake backend server. The default is `sendCompleteAnswer`. */
export type ServerBehavior = (request: HttpRequest, response: HttpResponse, server: FakeServer) => Promise<void>;

export interface FakeServer {
    /** Identity of the current incarnation. */
    id: string;
    readonly vm: FakeVm;
    /** Failure domain that the next heartbeats name. */
    failureDomain: string;
    readonly address: string;
    /** Start of the current incarnation. */
    bornMs: number;
    /** Version of its software. */
    version: string;
    /** Name of its pool. */
    service: string;
    /** Attempt ids of the requests that the server ran. */
    readonly runs: string[];
    readonly receivedRequests: HttpRequest[];
    behavior: ServerBehavior;
    isDown: boolean;
    sequence: number;
    state: "ready" | "draining";
    /** Time for which each incarnation that `crashServer` starts is cold. */
    coldStartMs: number;
    coldUntilMs: number;
}

export interface DirectFleet {
    readonly simulation: Simulation;
    readonly controls: ControlVm[];
    readonly entries: EntryVm[];
    readonly servers: FakeServer[];
    readonly callerVm: FakeVm;
    startControl(index: number, isBootstrap: boolean, knownSeeds?: readonly string[]): Promise<void>;
    startEntry(index: number, knownSeeds?: readonly string[]): Promise<void>;
    addControl(ip: string): number;
    getLeader(): Control | undefined;
    /** Replaces the configuration through a control VM and returns the HTTP status. */
    replace(index: number, state: object): Promise<number>;
    read(index: number): Promise<{ readonly status: number; readonly text: string; }>;
    /** Orders the begin or the end of an evacuation through a control VM and returns the HTTP status. */
    evacuate(index: number, failureDomain: string, phase: "begin" | "finish", body?: string): Promise<number>;
    /** Sends the present state of a server, which arrives after a delay. */
    heartbeat(server: FakeServer, controlIndex: number, delayMs?: number): Promise<number>;
    /** Kills a server. After the time it starts again under a new id and announces itself. The first heartbeat arrives after a delay. */
    crashServer(server: FakeServer, downMs: number, heartbeatDelayMs?: number): Promise<void>;
    call(entryIndex: number, options: CallOptions): Promise<CallResult>;
}

export interface CallOptions {
    readonly path: string;
    readonly id: string;
    readonly key?: string;
    readonly tokens?: string;
    readonly method?: string;
    readonly deadlineMs?: number;
    readonly headers?: Readonly<Record<string, string>>;
    readonly signal?: AbortSignal;
}

export interface CallResult {
    /** Undefined when the connection ended without an answer. */
    readonly status?: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly text: string;
    readonly isComplete: boolean;
}

/**
 * Starts three initial control VMs, entries, relays and ready backend servers of one pool, and applies a configuration. `failureDomains` are
 * those of the backend servers, "a" by default.
 */
export async function createDirectFleet(
    seed: number,
    options: {
        entries?: number;
        servers?: number;
        state?: object;
        failureDomains?: readonly string[];
        coldBound?: ColdBound;
        hasAdmissionQueue?: boolean;
    } = {},
): Promise<DirectFleet> {
    const simulation = createSimulation(seed);
    const seeds = [1, 2, 3].map(number => `10.0.0.${number}:${fleetPort}`);
    const controls: ControlVm[] = [1, 2, 3].map(number => ({ vm: simulation.createVm(`10.0.0.${number}`), process: undefined }));
    const entries: EntryVm[] = Array.from({ length: options.entries ?? 1 }, (_, index) => ({
        vm: simulation.createVm(`10.0.1.${index + 1}`),
        process: undefined,
    }));
    const servers: FakeServer[] = [];
    const callerVm = simulation.createVm("10.0.9.1");
    const fleet: DirectFleet = {
        simulation,
        controls,
        entries,
        servers,
        callerVm,
        async startControl(index, isBootstrap, knownSeeds = seeds) {
            const control = controls[index]!;
            const { ip, host } = control.vm;
            control.process = await startSeededControl(host, {
                vm: `control-${index + 1}`,
                failureDomain: "a",
                fleetListen: `${ip}:${fleetPort}`,
                groupId: "test",
                dataFolder: "/data",
                seeds: knownSeeds,
                isBootstrap,
                targetVoters: 3,
            }, (part, client) => ({ address: `${ip}:${controlPort}`, handler: createControlApi(host, client, part) }));
        },
        async startEntry(index, knownSeeds = seeds) {
            const entry = entries[index]!;
            const { ip, host } = entry.vm;
            entry.process = await startGateway(host, {
                vm: `entry-${index + 1}`,
                failureDomain: "a",
                listen: `${ip}:${callerPort}`,
                readyListen: `${ip}:8749`,
                fleetListen: `${ip}:${fleetPort}`,
                seeds: knownSeeds,
                retryRules: { windowMs: 10_000, ratio: 0.2, slack: 60 },
                coldBound: options.coldBound,
                configurationApplyMs: 2_000,
                stopTimeoutMs: 6_000,
                maxConnections: 20,
                connectTimeoutMs: 400,
                hasAdmissionQueue: options.hasAdmissionQueue,
            }, platformProtocol);
        },
        addControl: ip => controls.push({ vm: simulation.createVm(ip), process: undefined }) - 1,
        getLeader: () => controls.map(control => control.process?.part).find(part => part?.replica.getStatus().role === "leader"),
        async replace(index, state) {
            return (await post(`${controls[index]!.vm.ip}:${controlPort}`, "/config/replace", state)).status;
        },
        async read(index) {
            const reply = await callerVm.host.network.request(`${controls[index]!.vm.ip}:${controlPort}`, {
                method: "GET",
                path: "/config/read",
            });
            return { status: reply.status, text: Buffer.from(await readAll(reply.body, maxMessageBytes.answer)).toString() };
        },
        async evacuate(index, failureDomain, phase, body = "") {
            const reply = await callerVm.host.network.request(`${controls[index]!.vm.ip}:${controlPort}`, {
                method: "POST",
                path: `/evac/${encodeURIComponent(failureDomain)}/${phase}`,
                body: Buffer.from(body),
            });
            return reply.status;
        },
        async heartbeat(server, controlIndex, delayMs = 0) {
            server.sequence++;
            const { id, address, sequence, state, bornMs, version, service } = server;
            const body = {
                service,
                address,
                zone: server.failureDomain,
                version,
                slots: 8,
                state,
                cold_left_ms: Math.max(0, server.coldUntilMs - simulation.nowMs()),
                seq: sequence,
                born: bornMs,
            };
            if (delayMs > 0) await sleep(callerVm.host.timers, delayMs);
            return (await post(`${controls[controlIndex]!.vm.ip}:${controlPort}`, `/workers/${id}/heartbeat`, body)).status;
        },
        async crashServer(server, downMs, heartbeatDelayMs = 0) {
            if (server.isDown) return;
            server.isDown = true;
            server.vm.restart();
            await sleep(callerVm.host.timers, downMs);
            server.bornMs = firstBornMs + Math.round(simulation.nowMs());
            server.id = `${server.id.split(":")[0]}:${server.bornMs}`;
            server.sequence = 0;
            server.isDown = false;
            server.coldUntilMs = simulation.nowMs() + server.coldStartMs;
            await startServer(server);
            await fleet.heartbeat(server, 0, heartbeatDelayMs);
        },
        call: (entryIndex, call) => sendCall(callerVm, `${entries[entryIndex]!.vm.ip}:${callerPort}`, call),
    };
    for (let index = 0; index < 3; index++) await fleet.startControl(index, true);
    for (let index = 0; index < entries.length; index++) await fleet.startEntry(index);
    for (let index = 0; index < (options.servers ?? 2); index++) {
        servers.push(await createServer(simulation, index, options.failureDomains?.[index] ?? "a"));
    }
    await simulation.advance(1_000);
    await simulation.runUntil(fleet.replace(0, options.state ?? createConfiguration(1)));
    for (const server of servers) await simulation.runUntil(fleet.heartbeat(server, 0));
    await simulation.advance(500);
    return fleet;

    async function post(address: string, path: string, body: object): Promise<IncomingResponse> {
        return callerVm.host.network.request(address, { method: "POST", path, body: Buffer.from(JSON.stringify(body)) });
    }
}

/** View of a control group of one VM, which has committed nothing. */
export function createSingleGroup(): ControlGroupView {
    return {
        listPeers: () => [],
        hasQuorum: () => true,
        isConnected: () => true,
        hasCaughtUp: () => true,
        leaving: { list: () => [], covers: () => false, commit: async () => true },
    };
}

/** Record of a backend server as its first heartbeat gives it. */
export function createServerRecord(changes: Partial<BackendServerRecord> = {}): BackendServerRecord {
    return {
        backendServer: "s",
        pool: "models",
        address: "10.0.2.1:80",
        failureDomain: "a",
        softwareVersion: "v1",
        maxRunning: 8,
        state: "ready",
        coldLeftMs: 0,
        bornMs: 0,
        sequence: 1,
        isSilent: false,
        ...changes,
    };
}

/** Creates a configuration with one pool, a route of each kind below its own prefix, and one account. */
export function createConfiguration(version: number, changes: object = {}): object {
    const route = { host: "h.example", timeout_ms: 3_000, slo_ms: 300, priority: 0, service: "models", attempts: 2 };
    return {
        version,
        routes: [
            { ...route, name: "safe", path_prefix: "/safe/", type: "idempotent" },
            { ...route, name: "once", path_prefix: "/once/", type: "non_idempotent", attempts: 1 },
            { ...route, name: "stream", path_prefix: "/stream/", type: "streaming", attempts: 1 },
            { ...route, name: "resume", path_prefix: "/resume/", type: "streaming", resumable: true },
            { ...route, name: "open", path_prefix: "/open/", type: "idempotent", public: true },
        ],
        services: [{ name: "models", health_path: "/healthz", max_conns: 100, runtime: { slots: 8, kv_capacity: 100_000, stride: 2 } }],
        limits: { max_header_bytes: 16_384, max_body_bytes: 100_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [{ name: "acme", api_keys: ["key-1"], priority: 1, reserved: 100_000 }],
        ...changes,
    };
}

/** Start time of the servers' first incarnations. */
const firstBornMs = 1_000;

async function createServer(simulation: Simulation, index: number, failureDomain: string): Promise<FakeServer> {
    const vm = simulation.createVm(`10.0.2.${index + 1}`);
    const server: FakeServer = {
        id: `server-${index + 1}`,
        vm,
        failureDomain,
        address: `${vm.ip}:${serverPort}`,
        runs: [],
        receivedRequests: [],
        bornMs: firstBornMs,
        version: "v1",
        service: "models",
        behavior: sendCompleteAnswer,
        isDown: false,
        sequence: 0,
        state: "ready",
        coldStartMs: 0,
        coldUntilMs: 0,
    };
    await startServer(server);
    return server;
}

async function startServer(server: FakeServer): Promise<void> {
    const { host, ip } = server.vm;
    const handler: HttpHandler = async (request, response) => {
        server.receivedRequests.push(request);
        await server.behavior(request, response, server);
    };
    await host.network.serve({ address: server.address, handler, maxBodyBytes: 1_000_000 });
    await startRelay(host, { fleetListen: `${ip}:${fleetPort}`, fleetSecret: "" });
}

/** Headers of a valid answer to `request`, including the seal. */
export function createSealHeaders(request: HttpRequest): Record<string, string> {
    return { "x-attempt-id": request.headers["x-attempt-id"] ?? "", "x-worker-seal": "seal" };
}

/** Runs the request and sends a complete, sealed answer: events up to the third for a stream path, one body otherwise. */
export const sendCompleteAnswer: ServerBehavior = async (request, response, server) => {
    server.runs.push(request.headers["x-attempt-id"] ?? "");
    response.start(200, createSealHeaders(request));
    const isStream = /^\/(stream|resume)\//.test(request.path);
    const from = Number(request.headers["last-event-id"] ?? 0) + 1;
    if (!isStream) await response.write(Buffer.from(`answer of ${server.id}`));
    for (let id = from; isStream && id <= 3; id++) await response.write(Buffer.from(`id: ${id}\ndata: piece ${id}\n\n`));
    response.end();
};

async function sendCall(vm: FakeVm, address: string, options: CallOptions): Promise<CallResult> {
    try {
        const reply = await vm.host.network.request(address, {
            method: options.method ?? "POST",
            path: options.path,
            headers: {
                "host": "h.example",
                "x-attempt-id": options.id,
                "x-deadline-ms": String(options.deadlineMs ?? 2_000),
                "authorization": `Bearer ${options.key ?? "key-1"}`,
                ...options.tokens === undefined ? {} : { "x-token-counts": options.tokens },
                ...options.headers,
            },
            body: Buffer.from("body"),
            signal: options.signal,
        });
        return { status: reply.status, headers: reply.headers, ...await readText(reply) };
    }
    catch {
        return { headers: {}, text: "", isComplete: false };
    }
}

async function readText(reply: IncomingResponse): Promise<{ readonly text: string; readonly isComplete: boolean; }> {
    const parts: Uint8Array[] = [];
    try {
        for await (const part of reply.body) parts.push(part);
        return { text: Buffer.concat(parts).toString(), isComplete: true };
    }
    catch {
        return { text: Buffer.concat(parts).toString(), isComplete: false };
    }
}

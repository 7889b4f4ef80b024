/** The production host: clock, timers, files and HTTP server of Node.js, and the undici client. */
import { httpBatchLink, httpLink } from "@trpc/client";
import type { OperationLink, TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { createHash, randomBytes, randomInt, timingSafeEqual } from "node:crypto";
import { promises as fs } from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { isIP } from "node:net";
import { dirname } from "node:path";
import { Agent, request as undiciRequest } from "undici";
import VError from "verror";
import { createNodeBackendConnections, flattenHeaders, toNetworkError } from "./backendConnections.js";
import type { Clock, Disk, Host, HttpRequest, HttpResponse, IncomingResponse, Listener, Logger, Network, ServerOptions } from "./host.js";
import { isLongPoll } from "./rpc.js";
import type { Address } from "./types.js";

/** Header that authenticates calls between processes by the fleet secret. */
export const fleetSecretHeader = "lovage-fleet-secret";

/** Path prefix of calls that a relay forwards. The address of the target process follows it. */
export const relayPrefix = "/relay/";

/** Options of the production host. */
export interface NodeHostOptions {
    /** Secret shared by all processes of the fleet. */
    readonly fleetSecret: string;
    readonly createLogger: (prefix: string) => Logger;
}

const connectTimeoutMs = 2_000;
/** Must be longer than every long poll. */
const peerCallTimeoutMs = 75_000;
const keepAliveTimeoutMs = 60_000;
const headersTimeoutMs = 30_000;
const closeGraceMs = 500;
const maxHeaderSizeBytes = 16_384;
const maxBatchItems = 64;
const randomRange = 2 ** 47;

/** The system clock. Its monotonic time counts from the start of the process. */
export const nodeClock: Clock = { nowMs: () => performance.now(), wallMs: () => Date.now() };

/** Creates the production host. */
export function createNodeHost(options: NodeHostOptions): Host {
    return {
        clock: nodeClock,
        timers: {
            after(delayMs, callback) {
                const timer = setTimeout(callback, delayMs);
                return () => clearTimeout(timer);
            },
        },
        random: {
            nextFloat: () => randomInt(randomRange) / randomRange,
            nextId: () => randomBytes(12).toString("base64url"),
        },
        network: createNodeNetwork(options.fleetSecret),
        disk: createNodeDisk(),
        createLogger: options.createLogger,
    };
}

/** Compares two secrets in constant time. */
export function isSameSecret(actual: string | undefined, expected: string): boolean {
    if (actual === undefined) return false;
    return timingSafeEqual(hash(actual), hash(expected));
}

function hash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

function createNodeNetwork(fleetSecret: string): Network {
    const pool = new Agent({
        connect: { timeout: connectTimeoutMs },
        keepAliveTimeout: keepAliveTimeoutMs,
        connections: 256,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    return {
        serve: options => serve(options, fleetSecret),
        async request(address, request): Promise<IncomingResponse> {
            try {
                const response = await undiciRequest(`http://${address}${request.path}`, {
                    dispatcher: pool,
                    method: request.method as "GET",
                    headers: { ...request.headers, [fleetSecretHeader]: fleetSecret },
                    body: request.body,
                    signal: request.signal,
                });
                return { status: response.statusCode, headers: flattenHeaders(response.headers), body: response.body };
            }
            catch (error) {
                throw toNetworkError(error, address);
            }
        },
        linkTo: (address, relay) => createLink(address, pool, fleetSecret, relay),
        createBackendConnections: createNodeBackendConnections,
    };
}

// The answer to a batch arrives when its slowest call is done. Therefore only calls of one procedure share a batch, and a long poll is
// sent alone.
function createLink(address: Address, pool: Agent, fleetSecret: string, relay?: Address): TRPCLink<AnyRouter> {
    const options = {
        url: relay === undefined ? `http://${address}/rpc` : `http://${relay}${relayPrefix}${address}/rpc`,
        methodOverride: "POST" as const,
        headers: { [fleetSecretHeader]: fleetSecret },
        fetch: (url: unknown, init: unknown) => callPeer(pool, String(url), init as PeerCall),
    };
    return runtime => {
        const sendAlone = httpLink<AnyRouter>(options)(runtime);
        const batchesByProcedure = new Map<string, OperationLink<AnyRouter>>();
        const getBatch = (procedure: string) => {
            const batch = batchesByProcedure.get(procedure) ?? httpBatchLink<AnyRouter>({ ...options, maxItems: maxBatchItems })(runtime);
            batchesByProcedure.set(procedure, batch);
            return batch;
        };
        return request => (isLongPoll(request.op.context) ? sendAlone : getBatch(request.op.path))(request);
    };
}

/** The part of `RequestInit` that the tRPC link sets. */
interface PeerCall {
    readonly method: "GET" | "POST";
    readonly headers: Record<string, string>;
    readonly body?: string;
}

// Implements only the part of `fetch` that the tRPC link needs. The full `fetch` costs several times as much.
async function callPeer(pool: Agent, url: string, call: PeerCall): Promise<{ readonly ok: boolean; json(): Promise<unknown>; }> {
    const { method, headers, body } = call;
    // The timeouts ensure that a call on a dead connection does not occupy it forever.
    const response = await undiciRequest(url, {
        dispatcher: pool,
        method,
        headers,
        body,
        headersTimeout: peerCallTimeoutMs,
        bodyTimeout: peerCallTimeoutMs,
    });
    return { ok: response.statusCode < 300, json: () => response.body.json() };
}

async function serve(options: ServerOptions, fleetSecret: string): Promise<Listener> {
    const { host, port } = parseAddress(options.address);
    const rpc = options.router === undefined ? undefined : createHTTPHandler({
        router: options.router,
        basePath: "/rpc/",
        allowBatching: true,
        allowMethodOverride: true,
        maxBodySize: options.maxBodyBytes,
    });
    const connectedAtMs = new WeakMap<Socket, number>();
    const listener: http.RequestListener = (incoming, outgoing) => {
        if (incoming.url?.startsWith("/rpc/")) {
            if (rpc === undefined || !isSameSecret(getHeader(incoming, fleetSecretHeader), fleetSecret)) {
                outgoing.writeHead(401).end();
                return;
            }
            rpc(incoming, outgoing);
            return;
        }
        const nowMs = nodeClock.nowMs();
        void handle(options, incoming, outgoing, nowMs - (connectedAtMs.get(incoming.socket) ?? nowMs));
    };
    const server = await createServer(options, listener);
    server.on("connection", (socket: Socket) => connectedAtMs.set(socket, nodeClock.nowMs()));
    await listen(server, host, port);
    const boundAddress = server.address() as AddressInfo;
    return {
        address: `${host}:${boundAddress.port}`,
        async reloadTls() {
            if (options.tls !== undefined && server instanceof https.Server) server.setSecureContext(await readTls(options));
        },
        closeIdleConnections: () => server.closeIdleConnections(),
        close() {
            return closeServer(server);
        },
    };
}

// By now the process has finished its work. Idle keep-alive connections are closed at once, long polls after a grace period.
function closeServer(server: http.Server): Promise<void> {
    return new Promise(resolve => {
        const forceCloseTimer = setTimeout(() => server.closeAllConnections(), closeGraceMs);
        server.close(() => {
            clearTimeout(forceCloseTimer);
            resolve();
        });
        server.closeIdleConnections();
    });
}

async function createServer(options: ServerOptions, listener: http.RequestListener): Promise<http.Server> {
    const serverOptions = { headersTimeout: headersTimeoutMs, keepAliveTimeout: keepAliveTimeoutMs, maxHeaderSize: maxHeaderSizeBytes };
    if (options.tls === undefined) return http.createServer(serverOptions, listener);
    return https.createServer({ ...serverOptions, ...await readTls(options) }, listener);
}

async function readTls(options: ServerOptions): Promise<{ readonly cert: Buffer; readonly key: Buffer; }> {
    const tls = options.tls!;
    return { cert: await fs.readFile(tls.certificateFile), key: await fs.readFile(tls.keyFile) };
}

function listen(server: http.Server, host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", error => reject(new VError(error, "cannot listen on %s:%d", host, port)));
        server.listen(port, host, resolve);
    });
}

/** Splits an address into host and port. Throws if it is not an IP address with a port. */
export function parseAddress(address: Address): { readonly host: string; readonly port: number; } {
    const match = /^(.+):(\d{1,5})$/.exec(address);
    const host = match?.[1]?.replace(/^\[|\]$/g, "") ?? "";
    const port = Number(match?.[2] ?? NaN);
    if (isIP(host) === 0 || !(port <= 65_535)) throw new VError("%s is not an IP address with a port", JSON.stringify(address));
    return { host, port };
}

async function handle(
    options: ServerOptions,
    incoming: http.IncomingMessage,
    outgoing: http.ServerResponse,
    connectionAgeMs: number,
): Promise<void> {
    const disconnected = new AbortController();
    const { socket } = incoming;
    const onDisconnect = () => disconnected.abort();
    // The end of the client's data is known several event loop turns before the response is closed.
    socket.once("end", onDisconnect);
    outgoing.on("close", () => {
        socket.off("end", onDisconnect);
        if (!outgoing.writableFinished) onDisconnect();
    });
    const response = createResponse(outgoing);
    try {
        const body = await readBody(incoming, options.maxBodyBytes);
        await pollNetwork();
        if (body === undefined) {
            // The rest of the body is not read, so the connection cannot be reused.
            response.start(413, { "content-type": "application/problem+json", "connection": "close", "lovage-verdict": "not-run" });
            await response.write(
                Buffer.from(JSON.stringify({ code: "bodyTooLarge", status: 413, detail: "The body is larger than the limit." })),
            );
            response.end();
            return;
        }
        const request: HttpRequest = {
            method: incoming.method ?? "GET",
            path: incoming.url ?? "/",
            headers: flattenHeaders(incoming.headers),
            body,
            signal: disconnected.signal,
            connectionAgeMs,
        };
        await options.handler(request, response);
    }
    catch {
        response.abort();
    }
}

/**
 * Lets the event loop read what has already arrived on all connections, such as the close of the one whose request was just read. Node.js
 * reads it in the next poll phase, which a timer need not wait for.
 */
function pollNetwork(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

async function readBody(incoming: http.IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined> {
    const parts: Buffer[] = [];
    let sizeBytes = 0;
    for await (const part of incoming) {
        sizeBytes += (part as Buffer).length;
        if (sizeBytes > maxBytes) return undefined;
        parts.push(part as Buffer);
    }
    return Buffer.concat(parts);
}

function createResponse(outgoing: http.ServerResponse): HttpResponse {
    let hasVerifiableEnd = true;
    return {
        get hasStarted() {
            return outgoing.headersSent;
        },
        start(status, headers, isCloseDelimited = false) {
            hasVerifiableEnd = !isCloseDelimited;
            if (isCloseDelimited) {
                outgoing.removeHeader("transfer-encoding");
                outgoing.shouldKeepAlive = false;
            }
            outgoing.writeHead(status, headers);
            outgoing.flushHeaders();
        },
        write(chunk) {
            if (outgoing.destroyed || outgoing.write(chunk)) return Promise.resolve();
            return new Promise(resolve => {
                const onWritable = () => {
                    outgoing.off("drain", onWritable);
                    outgoing.off("close", onWritable);
                    resolve();
                };
                outgoing.on("drain", onWritable);
                outgoing.on("close", onWritable);
            });
        },
        end: () => void outgoing.end(),
        abort() {
            // Only a reset shows the client of a close-delimited body that the end is not that of the body.
            if (!hasVerifiableEnd) outgoing.socket?.resetAndDestroy();
            outgoing.destroy();
        },
    };
}

function getHeader(incoming: http.IncomingMessage, headerName: string): string | undefined {
    const value = incoming.headers[headerName];
    return Array.isArray(value) ? value[0] : value;
}

function createNodeDisk(): Disk {
    return {
        async ensureFolder(folder) {
            await fs.mkdir(folder, { recursive: true });
            await syncPath(dirname(folder));
        },
        async list(folder) {
            return (await fs.readdir(folder)).sort();
        },
        async read(file) {
            try {
                return await fs.readFile(file);
            }
            catch (error) {
                if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
                throw error;
            }
        },
        append: (file, data) => fs.appendFile(file, data),
        write: (file, data) => fs.writeFile(file, data),
        truncate: (file, sizeBytes) => fs.truncate(file, sizeBytes),
        rename: (from, to) => fs.rename(from, to),
        remove: file => fs.rm(file, { force: true }),
        sync: syncPath,
        syncFolder: syncPath,
    };
}

async function syncPath(path: string): Promise<void> {
    const handle = await fs.open(path, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

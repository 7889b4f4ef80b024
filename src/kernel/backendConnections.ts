/**
 * Kept connections to backend servers, over undici. Each connection carries one request at a time and is known by itself, so
 * that an answer whose end is the end of its connection can be told from one that was reset on the way.
 */
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import VError from "verror";
import type { BackendConnectionOptions, BackendConnections, IncomingResponse, OutgoingRequest } from "./host.js";
import { NotSentError } from "./host.js";
import type { Address } from "./types.js";

interface Connection {
    readonly client: Client;
    /** Error of the socket in use, if it had one. */
    socketError: Error | undefined;
    isBusy: boolean;
}

/** Backend servers may close idle connections without notice, so they are let go before long. */
const idleTimeoutMs = 4_000;
const tcpKeepAliveDelayMs = 1_000;

// Errors that come before a connection stands, so that nothing of the request was sent.
const connectErrorCodes: ReadonlySet<string> = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT", "EHOSTUNREACH", "ENETUNREACH"]);

/** Creates connections to any number of backend servers. */
export function createNodeBackendConnections(options: BackendConnectionOptions): BackendConnections {
    const byAddress = new Map<Address, Connection[]>();
    return {
        async request(address, request) {
            const connection = acquireConnection(address);
            const release = createRelease(address, connection);
            // An answer that nobody reads on is given up by its signal.
            request.signal?.addEventListener("abort", release, { once: true });
            try {
                const response = await send(connection, request);
                return { ...response, body: readBody(connection, response, release) };
            }
            catch (error) {
                release();
                throw toNetworkError(error, address);
            }
        },
        close() {
            for (const connection of [...byAddress.values()].flat()) void connection.client.destroy();
            byAddress.clear();
        },
    };

    // The connection that was used last is the least likely to be closed by the other side.
    function acquireConnection(address: Address): Connection {
        const connections = byAddress.get(address) ?? [];
        byAddress.set(address, connections);
        const idle = connections.findLast(connection => !connection.isBusy);
        if (idle === undefined && connections.length >= options.maxConnections) {
            throw new NotSentError(`all ${options.maxConnections} connections to ${address} are in use`);
        }
        const acquired = idle ?? createConnection(address);
        if (idle !== undefined) connections.splice(connections.indexOf(idle), 1);
        connections.push(acquired);
        acquired.isBusy = true;
        return acquired;
    }

    function createConnection(address: Address): Connection {
        const connect = buildConnector({ timeout: options.connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs });
        const connection: Connection = {
            isBusy: false,
            socketError: undefined,
            client: new Client(`http://${address}`, {
                pipelining: 1,
                keepAliveTimeout: idleTimeoutMs,
                headersTimeout: 0,
                bodyTimeout: 0,
                connect(target, callback) {
                    connect(target, (error, socket) => {
                        if (error !== null || socket === null) return callback(error ?? new Error("no socket"), null);
                        connection.socketError = undefined;
                        // undici ends sockets with errors of its own, which say nothing of the other side.
                        (socket as Socket).once("error", socketError => {
                            if ("syscall" in socketError) connection.socketError = socketError;
                        });
                        callback(null, socket);
                    });
                },
            }),
        };
        return connection;
    }

    // Connections that are closed and idle are forgotten, so that a server that has gone leaves nothing behind.
    function createRelease(address: Address, connection: Connection): () => void {
        let isReleased = false;
        return () => {
            if (isReleased) return;
            isReleased = true;
            connection.isBusy = false;
            const remaining = (byAddress.get(address) ?? []).filter(other =>
                other.isBusy || other === connection || other.client.stats.connected
            );
            if (remaining.length > 0) byAddress.set(address, remaining);
            else byAddress.delete(address);
        };
    }
}

async function* readBody(connection: Connection, response: IncomingResponse, release: () => void): AsyncGenerator<Uint8Array> {
    try {
        yield* response.body;
        // undici takes a reset for the end of an answer that has no length.
        if (connection.socketError !== undefined && response.isCloseDelimited === true) throw connection.socketError;
    }
    finally {
        release();
    }
}

async function send(connection: Connection, request: OutgoingRequest): Promise<IncomingResponse> {
    // The path goes out as it came in, so no URL is built from it.
    const response = await connection.client.request({
        path: request.path,
        method: request.method as "GET",
        headers: request.headers,
        body: request.body,
        signal: request.signal,
    });
    const headers = flattenHeaders(response.headers);
    const isCloseDelimited = headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
    return { status: response.statusCode, headers, body: response.body, isCloseDelimited: isCloseDelimited && request.method !== "HEAD" };
}

/** Joins the values of headers that come more than once. */
export function flattenHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
    const joined: Record<string, string> = {};
    for (const [key, value] of Object.entries(headers)) {
        if (value !== undefined) joined[key] = typeof value === "string" ? value : value.join(", ");
    }
    return joined;
}

/** Tells errors that came before anything was sent from those that came after. */
export function toNetworkError(error: unknown, address: Address): Error {
    if (error instanceof NotSentError) return error;
    const code = error instanceof Error && "code" in error ? String(error.code) : "";
    if (connectErrorCodes.has(code)) return new NotSentError(`no connection to ${address}: ${code}`);
    return new VError(error instanceof Error ? error : new Error(String(error)), "request to %s failed", address);
}

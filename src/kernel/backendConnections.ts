/**
 * Keep-alive connections to backend servers, built on undici. Each connection carries one request at a time and records its own
 * socket errors, so that a close-delimited response that is complete can be told from one that was cut off by a reset.
 */
import type { Socket } from "node:net";
import { buildConnector, Client } from "undici";
import VError from "verror";
import { isAddress } from "./address.js";
import { createConnector, leavePollPhase } from "./connector.js";
import type { BackendConnectionOptions, BackendConnections, OutgoingRequest } from "./host.js";
import { NotSentError } from "./host.js";
import { watchReads } from "./readWatch.js";
import type { ReadWatch, ReadWatchOptions } from "./readWatch.js";
import { createRefusedIds } from "./refusedIds.js";
import type { RefusedIds } from "./refusedIds.js";
import { readBody, readParts } from "./responseBody.js";
import type { ReadableResponse } from "./responseBody.js";
import { watchSending } from "./sendWatch.js";
import type { SendWatch } from "./sendWatch.js";
import type { Address } from "./types.js";

interface Connection {
    readonly client: Client;
    socket: Socket | undefined;
    /** Watches what arrives on the current socket. */
    watch: ReadWatch | undefined;
    /** Error of the current socket, if any. */
    socketError: Error | undefined;
    /** Receives the report that bytes arrived after the response to the last request. */
    onSurplus: (() => void) | undefined;
    /** Number of responses that have begun on the current socket. */
    responses: number;
    /** Ids of the requests that were refused on the current socket. */
    readonly refusedIds: RefusedIds;
    /** Time at which the current socket was connected. */
    openedAtMs: number;
    isBusy: boolean;
    /** End of the last request. */
    idleSinceMs: number;
}

/** What connections to backend servers need of their process. */
export interface BackendConnectionsContext extends Pick<ReadWatchOptions, "clock" | "log"> {
    /** Maximum number of connections to all backend servers together. Default: unbounded. */
    readonly maxTotalConnections?: number;
}

/** Idle connections are closed early, because a backend server may close them without notice. */
const idleTimeoutMs = 4_000;
const tcpKeepAliveDelayMs = 1_000;
/** A server may send informational responses (1xx) before its answer, but not without end. */
const maxInformationalResponses = 20;

/** Creates a pool of connections to any number of backend servers. */
export function createNodeBackendConnections(
    options: BackendConnectionOptions,
    { clock, log, maxTotalConnections = Infinity }: BackendConnectionsContext,
): BackendConnections {
    const byAddress = new Map<Address, Connection[]>();
    return {
        async request(address, request) {
            if (!isAddress(address)) throw new NotSentError(`${address} is not an IP address with a port`);
            const connection = acquireConnection(address, request.requestId);
            const release = createRelease(address, connection);
            // When the caller stops reading the response, only the abort signal releases the connection.
            const discard = () => release(false);
            request.signal?.addEventListener("abort", discard, { once: true });
            const end = (isWhole: boolean) => {
                request.signal?.removeEventListener("abort", discard);
                release(isWhole);
            };
            const reportSent = () =>
                request.onSent?.({
                    ageMs: clock.nowMs() - connection.openedAtMs,
                    earlierAnswers: connection.responses,
                    localPort: connection.socket?.localPort,
                });
            const sending = watchSending(request.signal, reportSent);
            try {
                if (connection.client.stats.connected) await leavePollPhase();
                const response = await send(connection, request, sending);
                return {
                    ...response,
                    body: readBody(connection, response, end),
                    forEachPart: take => readParts(connection, response, take, end),
                    recordRefusal() {
                        if (request.requestId !== undefined) connection.refusedIds.add(request.requestId);
                    },
                };
            }
            catch (error) {
                end(false);
                throw toNetworkError(error, address, sending.mayBeSent);
            }
        },
        canConnect: async address => isAddress(address) && await canConnect(address, options.connectTimeoutMs),
        close() {
            for (const connection of [...byAddress.values()].flat()) void connection.client.destroy();
            byAddress.clear();
        },
    };

    // Prefers the most recently used connection, which the server is least likely to have closed.
    function acquireConnection(address: Address, requestId: string | undefined): Connection {
        const connections = byAddress.get(address) ?? [];
        const idle = connections.findLast(connection => !connection.isBusy && mayCarry(connection, requestId));
        if (idle === undefined) makeRoom(address, connections);
        byAddress.set(address, connections);
        const acquired = idle ?? createConnection(address);
        if (idle !== undefined) connections.splice(connections.indexOf(idle), 1);
        connections.push(acquired);
        acquired.isBusy = true;
        return acquired;
    }

    /** Makes room for a further connection to an address. */
    function makeRoom(address: Address, connections: Connection[]): void {
        if (connections.length >= options.maxConnections) closeOneIdle(address, connections);
        else if (countOpen() >= maxTotalConnections) closeLongestIdle();
    }

    function countOpen(): number {
        let openCount = 0;
        for (const connections of byAddress.values()) openCount += connections.filter(isOpen).length;
        return openCount;
    }

    function closeLongestIdle(): void {
        const idle = [...byAddress.values()].flat().filter(connection => !connection.isBusy && isOpen(connection));
        const first = idle.sort((left, right) => left.idleSinceMs - right.idleSinceMs)[0];
        if (first === undefined) throw new NotSentError(`all ${maxTotalConnections} connections to backend servers are in use`);
        removeConnection(first);
        closeConnection(first);
    }

    function removeConnection(connection: Connection): void {
        for (const [address, connections] of byAddress) {
            const index = connections.indexOf(connection);
            if (index < 0) continue;
            connections.splice(index, 1);
            if (connections.length === 0) byAddress.delete(address);
        }
    }

    /** Makes room for a connection to an address by closing one that is idle and may not carry the request. */
    function closeOneIdle(address: Address, connections: Connection[]): void {
        const idle = connections.find(connection => !connection.isBusy);
        if (idle === undefined) throw new NotSentError(`all ${options.maxConnections} connections to ${address} are in use`);
        connections.splice(connections.indexOf(idle), 1);
        closeConnection(idle);
    }

    function createConnection(address: Address): Connection {
        const connect = createConnector({ timeout: options.connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: tcpKeepAliveDelayMs });
        const connection: Connection = {
            isBusy: false,
            idleSinceMs: clock.nowMs(),
            socket: undefined,
            watch: undefined,
            socketError: undefined,
            onSurplus: undefined,
            responses: 0,
            refusedIds: createRefusedIds(),
            openedAtMs: 0,
            client: new Client(`http://${address}`, {
                pipelining: 1,
                keepAliveTimeout: idleTimeoutMs,
                headersTimeout: 0,
                bodyTimeout: 0,
                connect(target, callback) {
                    connect(target, (error, socket) => {
                        if (error !== null || socket === null) return callback(error ?? new VError("no socket"), null);
                        attach(socket as Socket);
                        callback(null, socket);
                    });
                },
            }),
        };
        return connection;

        function attach(socket: Socket): void {
            connection.socketError = undefined;
            connection.responses = 0;
            connection.refusedIds.clear();
            connection.openedAtMs = clock.nowMs();
            connection.socket = socket;
            connection.watch = watchReads(socket, {
                address,
                clock,
                log,
                isIdle: () => connection.client.stats.running === 0,
                onSurplus: () => connection.onSurplus?.(),
            });
            socket.prependOnceListener("end", () => {
                if (wasReset(socket)) connection.socketError = new VError("the connection to %s was reset", address);
            });
            // undici also destroys sockets with its own errors, which say nothing about the server.
            socket.once("error", socketError => {
                if ("syscall" in socketError) connection.socketError = socketError;
            });
        }
    }

    // Releasing a connection also removes closed idle ones from the pool, so that no state remains for removed servers.
    function createRelease(address: Address, connection: Connection): (isWhole: boolean) => void {
        let isReleased = false;
        return isWhole => {
            if (isReleased) return;
            isReleased = true;
            connection.isBusy = false;
            connection.idleSinceMs = clock.nowMs();
            const isReusable = isWhole && !connection.refusedIds.isFull;
            if (!isReusable) closeConnection(connection);
            const isKept = (other: Connection) => other === connection ? isReusable : isOpen(other);
            const remaining = (byAddress.get(address) ?? []).filter(isKept);
            if (remaining.length > 0) byAddress.set(address, remaining);
            else byAddress.delete(address);
        };
    }
}

/** An idle connection may have been closed by its server. */
function isOpen({ isBusy, client }: Connection): boolean {
    return isBusy || client.stats.connected;
}

/** False if a copy of an earlier refusal on the connection could be taken for the answer to the request. */
function mayCarry({ refusedIds }: Connection, requestId: string | undefined): boolean {
    return requestId === undefined || !refusedIds.has(requestId);
}

/**
 * Tells at the end of a connection whether it was reset. A reset that is read together with the last bytes is reported as an ordinary end. But a
 * connection that was reset has no peer any more, while one that its peer has ended still has one.
 */
export function wasReset(socket: Socket): boolean {
    return socket.remoteAddress === undefined;
}

/**
 * Closes a connection for good. undici closes the socket of a request that is aborted, but not of one whose response has arrived in full, and
 * connects anew although nothing is left to send. It handles an abort first, so that the request fails with the reason of the abort.
 */
function closeConnection({ client }: Connection): void {
    queueMicrotask(() => void client.destroy());
}

function canConnect(address: Address, timeoutMs: number): Promise<boolean> {
    const { hostname, port } = new URL(`http://${address}`);
    const connect = buildConnector({ timeout: timeoutMs });
    return new Promise(resolve => {
        connect({ hostname, port, protocol: "http:" }, (error, socket) => {
            socket?.destroy();
            resolve(error === null);
        });
    });
}

async function send(connection: Connection, request: OutgoingRequest, { interceptor }: SendWatch): Promise<ReadableResponse> {
    let informationalCount = 0;
    connection.onSurplus = request.onSurplus;
    connection.watch?.begin();
    // Building a URL would normalize the path, which must be forwarded unchanged.
    const response = await connection.client.compose(interceptor).request({
        path: request.path,
        method: request.method as "GET",
        headers: request.headers,
        body: request.body,
        signal: request.signal,
        onInfo: () => {
            informationalCount++;
            if (informationalCount > maxInformationalResponses) connection.socket?.destroy(new Error("too many informational responses"));
        },
    });
    connection.responses++;
    const headers = flattenHeaders(response.headers);
    const hasLength = headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
    return {
        status: response.statusCode,
        headers,
        body: response.body,
        isCloseDelimited: !hasLength && request.method !== "HEAD",
        isFirstOnConnection: connection.responses === 1,
    };
}

/** Joins the values of repeated headers with commas. */
export function flattenHeaders(
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
    const joined: Record<string, string> = {};
    for (const [key, value] of Object.entries(headers)) {
        if (value !== undefined) joined[key] = typeof value === "string" ? value : value.join(", ");
    }
    return joined;
}

/** Converts the error of a request of which nothing was sent to `NotSentError`, and wraps all others. */
export function toNetworkError(error: unknown, address: Address, mayBeSent: boolean): Error {
    if (error instanceof NotSentError) return error;
    const cause = error instanceof Error ? error : new Error(String(error));
    if (mayBeSent) return new VError(cause, "request to %s failed", address);
    return new NotSentError(`no connection to ${address}: ${"code" in cause ? String(cause.code) : cause.message}`);
}

/** HTTP server of the production host. */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { promises as fs } from "node:fs";
import * as http from "node:http";
import * as https from "node:https";
import { createAcceptor } from "./acceptor.js";
import type { Acceptor } from "./acceptor.js";
import { parseAddress } from "./address.js";
import { flattenHeaders } from "./backendConnections.js";
import type { CallCounts } from "./callCounts.js";
import type { HeldBytes, HeldMessage } from "./heldBytes.js";
import type {
    BodyRefusal,
    BodyRefusalHandler,
    Clock,
    HttpHandler,
    HttpRequest,
    HttpResponse,
    Listener,
    Logger,
    ServerOptions,
} from "./host.js";
import { countHttpCall, takeHttpCall } from "./httpCalls.js";
import { createResponse } from "./httpResponse.js";
import { createLimitedLog } from "./limitedLog.js";
import type { ProcessLimits } from "./processLimits.js";
import type { ReadPacer } from "./readPacer.js";
import { hasBody, readBody, refuseBody } from "./requestBody.js";
import type { BodyLimits } from "./requestBody.js";
import { maxBatchItems } from "./rpcLinks.js";
import { acceptRpcUpgrades } from "./rpcUpgrade.js";
import type { RpcUpgrades } from "./rpcUpgrade.js";
import { createServerConnections, pollNetwork } from "./serverConnections.js";
import type { ServerConnection } from "./serverConnections.js";
import { getErrorText } from "./tasks.js";

const rpcBasePath = "/rpc/";
const keepAliveTimeoutMs = 60_000;
const headersTimeoutMs = 30_000;
const closeGraceMs = 500;
const maxHeaderSizeBytes = 16_384;
const emptyBody = new Uint8Array();

/** What is known of the arrival of a request when its head has been read. */
interface Arrival {
    readonly connectionAgeMs: number;
    readonly arrivedAtMs: number;
}

/** What all servers of a process share. */
export interface ServerContext {
    readonly fleetSecret: string;
    readonly clock: Clock;
    readonly log: Logger;
    readonly counts: CallCounts;
    readonly limits: ProcessLimits;
    readonly pacer: ReadPacer;
    /** What is held for callers. */
    readonly heldRequests: HeldBytes;
    /** What is held for other processes. */
    readonly heldCalls: HeldBytes;
}

/** Starts a server. */
export async function serve(options: ServerOptions, context: ServerContext): Promise<Listener> {
    const { fleetSecret, clock, log, counts, limits, pacer } = context;
    const { host, port } = parseAddress(options.address);
    const { kind = "callers" } = options;
    const held = kind === "fleet" ? context.heldCalls : context.heldRequests;
    const maxBodyBytes = Math.min(options.maxBodyBytes, limits.maxBodyBytes[kind]);
    const reading: BodyReading = {
        held,
        getMaxBodyBytes: () => Math.min(maxBodyBytes, options.getMaxBodyBytes?.() ?? Infinity),
        refuse: options.refuseBody ?? ((_request, refusal, response) => refuseBody(response, refusal)),
        clock,
        log,
    };
    const rpc = options.router === undefined ? undefined : createHTTPHandler({
        router: options.router,
        basePath: rpcBasePath,
        allowBatching: true,
        maxBatchSize: maxBatchItems,
        allowMethodOverride: true,
        maxBodySize: maxBodyBytes,
    });
    const connections = createServerConnections({ maxConnections: limits.maxConnections[kind], held, pacer, clock, log });
    const listener: http.RequestListener = (incoming, outgoing) => {
        const connection = connections.get(incoming.socket);
        // The parser goes on to the end of what was read, also after the connection was closed.
        if (connection === undefined || incoming.socket.destroyed) return;
        // A server without procedures has no path of its own: a route for callers may lead through any of them.
        if (rpc !== undefined && incoming.url?.startsWith(rpcBasePath)) {
            connection.enqueue({
                response: outgoing,
                start() {
                    if (!takeHttpCall(reading, context, connection, incoming, outgoing)) return;
                    countHttpCall(counts, incoming, outgoing);
                    rpc(incoming, outgoing);
                },
                cancel: () => undefined,
            });
            return;
        }
        const readAtMs = clock.nowMs();
        const arrival = {
            connectionAgeMs: readAtMs - connection.acceptedAtMs,
            arrivedAtMs: connection.isNew ? connection.acceptedAtMs : readAtMs,
        };
        // A body is read while its request waits for an earlier one of its connection. A request without a body takes no more than its head then.
        const begin = () => receive(reading, connection, arrival, incoming, outgoing);
        const early = hasBody(incoming) ? begin() : undefined;
        connection.enqueue({
            response: outgoing,
            start: () => void handle(options.handler, connection, early ?? begin()),
            cancel: () => early?.held.release(),
        });
    };
    const server = await createServer(options, listener);
    const upgrades = options.router === undefined
        ? undefined
        : acceptRpcUpgrades(server, {
            router: options.router,
            fleetSecret,
            maxPayloadBytes: Math.min(options.maxBodyBytes, limits.maxSocketMessageBytes),
            counts,
            held,
            log: createLimitedLog(log, clock),
            onPart: socket => connections.get(socket)?.countPart(),
        });
    server.on("connection", connections.add);
    if (options.tls !== undefined) server.on("secureConnection", connections.secure);
    // The server does not listen itself. The event makes it check the timeouts of its connections.
    server.emit("listening");
    const acceptor = createAcceptor(
        {
            host,
            port,
            allowHalfOpen: options.tls === undefined,
            maxAcceptWaitMs: options.maxAcceptWaitMs,
            onConnection: socket => server.emit("connection", socket),
        },
        clock,
        log,
    );
    await acceptor.listen();
    return {
        address: `${host}:${acceptor.getPort()}`,
        getQueueResets: acceptor.getQueueResets,
        getRefusedConnections: connections.getRefusedCount,
        held,
        async reloadTls() {
            if (options.tls !== undefined && server instanceof https.Server) server.setSecureContext(await readTls(options));
        },
        closeIdleConnections: () => server.closeIdleConnections(),
        close() {
            return closeServer(server, acceptor, upgrades);
        },
    };
}

// By now the process has finished its work. Idle connections are closed at once, long polls after a grace period.
function closeServer(server: http.Server, acceptor: Acceptor, upgrades?: RpcUpgrades): Promise<void> {
    return new Promise(resolve => {
        const forceClose = () => {
            server.closeAllConnections();
            upgrades?.terminate();
        };
        const forceCloseTimer = setTimeout(forceClose, closeGraceMs);
        acceptor.close(() => {
            clearTimeout(forceCloseTimer);
            resolve();
        });
        server.close();
        server.closeIdleConnections();
        upgrades?.drain();
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

/** How a server reads bodies. */
interface BodyReading extends BodyLimits {
    readonly refuse: BodyRefusalHandler;
    readonly clock: Clock;
    readonly log: Logger;
}

/** A request whose body is being read. */
interface ReceivedRequest {
    readonly incoming: http.IncomingMessage;
    readonly outgoing: http.ServerResponse;
    readonly response: HttpResponse;
    readonly held: HeldMessage;
    readonly disconnected: AbortController;
    readonly body: Promise<Uint8Array | undefined>;
    /** Returns the request for its handler. */
    complete(body: Uint8Array): HttpRequest;
    refuse(refusal: BodyRefusal): void;
}

/** Begins to read the body of a request. */
function receive(
    { getMaxBodyBytes, held, refuse, clock, log }: BodyReading,
    connection: ServerConnection,
    arrival: Arrival,
    incoming: http.IncomingMessage,
    outgoing: http.ServerResponse,
): ReceivedRequest {
    const response = createResponse(outgoing);
    const disconnected = new AbortController();
    const message = held.open(incoming.socket.remoteAddress ?? "", () => {
        body.stop();
        request.refuse("noRoomForBody");
    });
    outgoing.once("close", message.release);
    const body = readBody(incoming, { maxBytes: getMaxBodyBytes(), held: message, onPart: connection.countPart });
    // The handler of a request that waits for an earlier one sees the error later.
    body.whole.catch(() => undefined);
    const request: ReceivedRequest = {
        incoming,
        outgoing,
        response,
        held: message,
        disconnected,
        body: body.whole,
        complete: whole => ({
            method: incoming.method ?? "GET",
            path: incoming.url ?? "/",
            headers: flattenHeaders(incoming.headers),
            body: whole,
            signal: disconnected.signal,
            connectionAgeMs: arrival.connectionAgeMs,
            waitedMs: clock.nowMs() - arrival.arrivedAtMs,
        }),
        refuse(refusal) {
            connection.stopReading();
            // What was not read of the body would be taken for the next request.
            outgoing.shouldKeepAlive = false;
            try {
                refuse(request.complete(emptyBody), refusal, response);
            }
            catch (error) {
                log.error("A request could not be refused.", { refusal, detail: getErrorText(error) });
            }
            // Its client may have left.
            if (!response.hasStarted) response.abort();
        },
    };
    return request;
}

async function handle(handler: HttpHandler, connection: ServerConnection, request: ReceivedRequest): Promise<void> {
    const { incoming, outgoing, response, held, disconnected } = request;
    const { socket } = incoming;
    const onDisconnect = () => disconnected.abort();
    // The end of the client's data is known several event loop turns before the response is closed.
    socket.once("end", onDisconnect);
    outgoing.on("close", () => {
        socket.off("end", onDisconnect);
        if (!outgoing.writableFinished) onDisconnect();
    });
    // The client may have left while the request waited for an earlier one.
    if (socket.readableEnded) onDisconnect();
    try {
        const body = await request.body;
        await pollNetwork();
        if (response.hasStarted) return;
        if (body === undefined) return request.refuse("bodyTooLarge");
        held.complete();
        connection.protect();
        await handler(request.complete(body), response);
    }
    catch {
        // A refusal that was written while the body came is on its way.
        if (!outgoing.writableEnded) response.abort();
    }
    finally {
        held.release();
    }
}

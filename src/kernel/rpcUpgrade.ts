/** Serves tRPC on WebSocket connections that other processes of the fleet open at the path `/rpc` of an HTTP server. */
import type { AnyRouter } from "@trpc/server";
import { getWSConnectionHandler } from "@trpc/server/adapters/ws";
import type { Encoder } from "@trpc/server/adapters/ws";
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import VError from "verror";
import { WebSocket, WebSocketServer } from "ws";
import { failureDomainHeader, getCallName } from "./callCounts.js";
import type { CallCounts, CountedConnection } from "./callCounts.js";
import { fleetSecretHeader, isSameSecret } from "./fleetSecret.js";
import type { HeldBytes } from "./heldBytes.js";
import type { LimitedLog } from "./limitedLog.js";
import { countUnansweredCalls } from "./unansweredCalls.js";
import type { UnansweredCalls } from "./unansweredCalls.js";

/** Path at which a server takes WebSocket connections. */
export const socketPath = "/rpc";

/**
 * Large messages, such as those that replicate the log, repeat the same names over and over. Each is compressed by itself, because the state
 * of a compressor for each of hundreds of connections would take more memory than it saves bytes.
 */
export const socketCompression = {
    threshold: 1_024,
    serverNoContextTakeover: true,
    clientNoContextTakeover: true,
    zlibDeflateOptions: { level: 1, memLevel: 7 },
    // Threads of Node.js for such work. What is inflated beyond them only takes memory.
    concurrencyLimit: 4,
} as const;

/** TCP probes find peers that disappeared without closing their connection. They cost this process nothing. */
export const tcpKeepAliveMs = 30_000;

/** The WebSocket connections of one server. */
export interface RpcUpgrades {
    /** Asks the peers to send no more calls. They close their connections as soon as their calls are answered. */
    drain(): void;
    /** Closes all connections. The peers' unanswered calls fail. */
    terminate(): void;
}

/** Options of the WebSocket connections of one server. */
export interface RpcUpgradeOptions {
    readonly router: AnyRouter;
    readonly fleetSecret: string;
    readonly maxPayloadBytes: number;
    readonly counts: CallCounts;
    /** Counts what the connections hold. */
    readonly held: HeldBytes;
    readonly log: LimitedLog;
    /** Called for each part of what was read, which is a number of messages. */
    onPart(socket: Socket): void;
}

/** A busy process may read many messages in a turn of its event loop after a pause. */
const messagesPerPart = 8;

/** Accepts WebSocket connections from callers that present the fleet secret. */
export function acceptRpcUpgrades(
    server: Server,
    options: RpcUpgradeOptions,
): RpcUpgrades {
    const sockets = new WebSocketServer({ noServer: true, perMessageDeflate: socketCompression, maxPayload: options.maxPayloadBytes });
    const { counts, router } = options;
    sockets.on("headers", headers => headers.push(`${failureDomainHeader}: ${counts.ownDomain}`));
    sockets.on("connection", (connection: WebSocket, request: IncomingMessage) => {
        const counted = counts.open("server", () => request.socket);
        counted.setPeerDomain(request.headers[failureDomainHeader] as string | undefined);
        connection.once("close", counted.close);
        const calls = countUnansweredCalls(options.held, connection, request);
        // A message that is too large, for example. Its connection is closed.
        connection.on(
            "error",
            error => options.log.warn("A connection for calls failed.", { sender: request.socket.remoteAddress, detail: error.message }),
        );
        countParts(connection, () => options.onPart(request.socket));
        // Without `onError`, the adapter writes to the console. The caller gets the error as the answer.
        const handle = getWSConnectionHandler({
            wss: sockets,
            router,
            onError: () => undefined,
            experimental_encoder: createCountingEncoder(counted, calls),
        });
        handle(connection, request);
    });
    let isDraining = false;
    server.on("upgrade", (request: IncomingMessage, socket: Duplex, head: Buffer) => {
        const secret = request.headers[fleetSecretHeader];
        if (request.url !== socketPath) refuse(socket, "404 Not Found");
        else if (!isSameSecret(Array.isArray(secret) ? secret[0] : secret, options.fleetSecret)) refuse(socket, "401 Unauthorized");
        // Not with a status, which would mean a process of an earlier version to the caller.
        else if (isDraining) socket.destroy();
        else {
            request.socket.setKeepAlive(true, tcpKeepAliveMs);
            sockets.handleUpgrade(request, socket, head, connection => sockets.emit("connection", connection, request));
        }
    });
    return {
        drain() {
            isDraining = true;
            for (const connection of sockets.clients) {
                if (connection.readyState === WebSocket.OPEN) connection.send(reconnectNotification);
            }
        },
        terminate() {
            for (const connection of sockets.clients) connection.terminate();
        },
    };
}

function countParts(connection: WebSocket, onPart: () => void): void {
    let messageCount = 0;
    connection.on("message", () => {
        messageCount++;
        if (messageCount % messagesPerPart === 0) onPart();
    });
}

/**
 * JSON in text frames, which the adapter uses without an encoder. Processes of the fleet send each call in a message of its own, with an id of
 * its own. What else a peer sends counts as a call without an answer until the connection is closed.
 */
function createCountingEncoder(counted: CountedConnection, calls: UnansweredCalls): Encoder {
    const unanswered = new Map<unknown, UnansweredCall>();
    return {
        encode(answer) {
            const text = JSON.stringify(answer);
            const { id } = answer as { readonly id: unknown; };
            const call = unanswered.get(id);
            unanswered.delete(id);
            counted.countAnswer(call?.name ?? "unknown", Buffer.byteLength(text));
            calls.end(call?.messageBytes);
            return text;
        },
        decode(data) {
            if (typeof data !== "string") throw new Error("a call must be in a text frame");
            calls.begin(data.length);
            const call = JSON.parse(data) as CallMessage;
            if (Array.isArray(call)) throw new VError("a message must not be a batch of calls");
            const name = getCallName(call.params?.path ?? "unknown", call.params?.input);
            counted.countCall(name, Buffer.byteLength(data));
            if (hasAnswer(call)) unanswered.set(call.id, { name, messageBytes: data.length });
            else calls.end(data.length);
            return call;
        },
    };
}

/** A call that is being handled. */
interface UnansweredCall {
    readonly name: string;
    readonly messageBytes: number;
}

/** The part of a call's message that identifies it. The adapter checks the message. */
interface CallMessage {
    readonly id?: unknown;
    readonly method?: unknown;
    readonly params?: { readonly path?: string; readonly input?: unknown; };
}

function hasAnswer({ method }: CallMessage): boolean {
    return method !== "subscription.stop";
}

/** Asks a peer to send no more calls on the connection. */
const reconnectNotification = JSON.stringify({ method: "reconnect" });

function refuse(socket: Duplex, status: string): void {
    // Node.js no longer handles the errors of a connection whose request asked for an upgrade.
    socket.on("error", () => socket.destroy());
    socket.once("finish", () => socket.destroy());
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

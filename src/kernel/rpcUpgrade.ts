/** Serves tRPC on WebSocket connections that other processes of the fleet open at the path `/rpc` of an HTTP server. */
import type { AnyRouter } from "@trpc/server";
import { applyWSSHandler } from "@trpc/server/adapters/ws";
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import { WebSocketServer } from "ws";
import { fleetSecretHeader, isSameSecret } from "./fleetSecret.js";

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

/** Accepts WebSocket connections from callers that present the fleet secret. */
export function acceptRpcUpgrades(
    server: Server,
    options: { readonly router: AnyRouter; readonly fleetSecret: string; readonly maxPayloadBytes: number; },
): RpcUpgrades {
    const sockets = new WebSocketServer({ noServer: true, perMessageDeflate: socketCompression, maxPayload: options.maxPayloadBytes });
    // Without `onError`, the adapter writes to the console. The caller gets the error as the answer.
    const rpc = applyWSSHandler({ wss: sockets, router: options.router, onError: () => undefined });
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
            rpc.broadcastReconnectNotification();
        },
        terminate() {
            for (const connection of sockets.clients) connection.terminate();
        },
    };
}

function refuse(socket: Duplex, status: string): void {
    // Node.js no longer handles the errors of a connection whose request asked for an upgrade.
    socket.on("error", () => socket.destroy());
    socket.once("finish", () => socket.destroy());
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
}

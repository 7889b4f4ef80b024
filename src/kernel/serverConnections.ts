/**
 * The connections of one server: how many there are, what each of them holds, and in which order its requests are handled. A client may send
 * requests ahead. They are handled one after another, since their answers have to be sent in this order, and the connection is not read on
 * while too many of them wait.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { HeldBytes, HeldMessage } from "./heldBytes.js";
import type { Clock, Logger } from "./host.js";
import { createLimitedLog } from "./limitedLog.js";
import type { PacedConnection, ReadPacer } from "./readPacer.js";

/** Options of the connections of a server. */
export interface ServerConnectionsOptions {
    readonly maxConnections: number;
    readonly held: HeldBytes;
    readonly pacer: ReadPacer;
    readonly clock: Clock;
    readonly log: Logger;
}

/** The connections of one server. */
export interface ServerConnections {
    /** Counts a new connection, and closes another one or this one if there are too many. */
    add(socket: Socket): void;
    /** The connection of `socket` is read and written through `secureSocket`, which has the same peer. */
    secure(secureSocket: Socket): void;
    /** Returns the connection of a socket. Undefined if it was closed. */
    get(socket: Socket): ServerConnection | undefined;
    /** Number of connections that were closed to make room for others, or because there was no room for them. */
    getRefusedCount(): number;
}

/** A connection that was accepted. */
export interface ServerConnection {
    readonly acceptedAtMs: number;
    /** Until the end of the first turn of the event loop in which data of the connection can be read. */
    readonly isNew: boolean;
    /** Counts a part of a body that was read. */
    countPart(): void;
    /** Reads the connection no more. It is closed after the answer that is being written. */
    stopReading(): void;
    /** Calls `start` once all earlier requests of the connection are answered, or `cancel` if it is closed before. */
    enqueue(exchange: Exchange): void;
    /** A whole request is being handled. Its connection is not closed to make room until its answer has ended. */
    protect(): void;
}

/** A request whose head was read. */
export interface Exchange {
    readonly response: ServerResponse;
    start(): void;
    cancel(): void;
}

interface Connection extends ServerConnection {
    socket: Socket;
    readonly peer: string;
    readonly sender: string;
    readonly held: HeldMessage;
    readonly paced: PacedConnection;
    isNew: boolean;
    isProtected: boolean;
    /** Time since which no request of it is handled. */
    idleSinceMs: number;
    current: Exchange | undefined;
    readonly waiting: Exchange[];
}

/** Time that a connection has for its next request before it is closed to make room for another one. */
const minIdleMs = 1_000;
/** What a connection without a request takes: its socket, its parser, and a head that is not complete. */
const connectionBytes = 8 * 1024;
/** What a request takes whose head was read and which is not handled yet. */
const waitingRequestBytes = 8 * 1024;
/** Requests of a connection that wait for the one before them. With more, the connection is not read until they are fewer. */
export const maxWaitingRequests = 16;
/** Requests of a connection that wait although it is not read any more, as all that was read at once is parsed. With more, it is closed. */
export const maxRequestsAhead = 512;

/** Why connections are closed. */
const refusals = {
    tooManyConnections: "Connections are closed because there are too many.",
    tooManyRequests: "Connections are closed because too many requests were sent ahead on each of them.",
} as const;

/** Creates the connections of a server that has none yet. */
export function createServerConnections(options: ServerConnectionsOptions): ServerConnections {
    const { held, pacer, clock } = options;
    const log = createLimitedLog(options.log, clock);
    const bySocket = new Map<Socket, Connection>();
    /** Connections of each sender, those first that were idle for longest. */
    const bySender = new Map<string, Set<Connection>>();
    let connectionCount = 0;
    let refusedCount = 0;
    return {
        add(socket) {
            if (connectionCount >= options.maxConnections && !closeOne(clock.nowMs())) {
                countRefused(socket.remoteAddress, "tooManyConnections");
                socket.destroy();
                return;
            }
            addConnection(socket);
        },
        secure(secureSocket) {
            const peer = getPeer(secureSocket);
            const connection = [...bySender.get(secureSocket.remoteAddress ?? "") ?? []].find(connection => connection.peer === peer);
            if (connection === undefined) return void secureSocket.destroy();
            connection.socket = secureSocket;
            connection.paced.setSocket(secureSocket);
            bySocket.set(secureSocket, connection);
            secureSocket.once("close", () => bySocket.delete(secureSocket));
        },
        get: socket => bySocket.get(socket),
        getRefusedCount: () => refusedCount,
    };

    function addConnection(socket: Socket): void {
        const sender = socket.remoteAddress ?? "";
        const close = () => closeConnection(connection);
        const connection: Connection = {
            acceptedAtMs: clock.nowMs(),
            isNew: true,
            socket,
            peer: getPeer(socket),
            sender,
            held: held.open(sender, close),
            paced: pacer.add(socket),
            isProtected: false,
            idleSinceMs: clock.nowMs(),
            current: undefined,
            waiting: [],
            countPart: () => connection.paced.countPart(),
            stopReading: () => connection.paced.setBlocked(true),
            enqueue: exchange => enqueue(connection, exchange),
            protect() {
                connection.isProtected = true;
                if (connection.waiting.length <= maxWaitingRequests) connection.held.complete();
            },
        };
        connectionCount++;
        bySocket.set(socket, connection);
        const ofSender = bySender.get(sender) ?? new Set();
        bySender.set(sender, ofSender.add(connection));
        void pollNetwork().then(() => {
            connection.isNew = false;
        });
        socket.once("close", () => removeConnection(connection, socket));
        updateHeld(connection);
    }

    function removeConnection(connection: Connection, socket: Socket): void {
        connectionCount--;
        bySocket.delete(socket);
        const ofSender = bySender.get(connection.sender);
        ofSender?.delete(connection);
        if (ofSender?.size === 0) bySender.delete(connection.sender);
        for (const exchange of connection.waiting.splice(0)) exchange.cancel();
        connection.held.release();
        connection.paced.remove();
    }

    /**
     * Closes the connection that was idle for longest, of the sender that has most. Returns false if each has a request that is handled, or had
     * no time yet to send one.
     */
    function closeOne(nowMs: number): boolean {
        const senders = [...bySender.values()].sort((left, right) => right.size - left.size);
        for (const ofSender of senders) {
            for (const connection of ofSender) {
                if (connection.isProtected || connection.socket.destroyed || nowMs - connection.idleSinceMs < minIdleMs) continue;
                countRefused(connection.sender, "tooManyConnections");
                closeConnection(connection);
                return true;
            }
        }
        return false;
    }

    function countRefused(sender: string | undefined, refusal: keyof typeof refusals): void {
        refusedCount++;
        log.warn(refusals[refusal], { sender, connections: connectionCount, closed: refusedCount });
    }

    function enqueue(connection: Connection, exchange: Exchange): void {
        // The parser goes on to the end of what was read, also after the connection was closed.
        if (connection.socket.destroyed) return exchange.cancel();
        connection.paced.countPart();
        if (connection.current === undefined) return begin(connection, exchange);
        connection.waiting.push(exchange);
        if (connection.waiting.length > maxRequestsAhead) {
            countRefused(connection.sender, "tooManyRequests");
            return closeConnection(connection);
        }
        if (connection.waiting.length > maxWaitingRequests) {
            connection.paced.setBlocked(true);
            connection.held.allowEnd(() => closeConnection(connection));
        }
        updateHeld(connection);
    }

    function begin(connection: Connection, exchange: Exchange): void {
        connection.current = exchange;
        exchange.response.once("close", () => endExchange(connection));
        exchange.start();
    }

    function endExchange(connection: Connection): void {
        connection.current = undefined;
        connection.isProtected = false;
        connection.idleSinceMs = clock.nowMs();
        // A connection that is being closed has no answer for those that wait.
        if (connection.socket.destroyed || !connection.socket.writable) return;
        connection.held.allowEnd(() => closeConnection(connection));
        // The connection becomes the last one of its sender.
        const ofSender = bySender.get(connection.sender)!;
        ofSender.delete(connection);
        ofSender.add(connection);
        const next = connection.waiting.shift();
        if (next === undefined) return;
        updateHeld(connection);
        if (connection.waiting.length === maxWaitingRequests) connection.paced.setBlocked(false);
        begin(connection, next);
    }

    function updateHeld({ held, waiting }: Connection): void {
        held.setSize(connectionBytes + waiting.length * waitingRequestBytes);
    }
}

function closeConnection({ socket }: Connection): void {
    socket.destroy();
}

function getPeer(socket: Socket): string {
    return `${socket.remoteAddress}:${socket.remotePort}`;
}

/**
 * Lets the event loop read what has already arrived on all connections, such as the close of the one whose request was just read. Node.js
 * reads it in the next poll phase, which a timer need not wait for.
 */
export function pollNetwork(): Promise<void> {
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

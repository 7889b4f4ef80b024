/**
 * Shares the turns of the event loop among the connections of a process. Node.js parses all that it has read of a connection before it reads
 * the next one. What consists of very many small parts, such as chunks of one byte, takes long to parse, and requests that are sent ahead take
 * much memory until they are refused. So a turn ends its reading once it has parsed a number of parts, and connections that had many of
 * them are read one at a time, each in a turn of its own, so that all others are read in between. Turns that were full take at most half of the
 * time, so that the process is not saturated by them.
 */
import type { Socket } from "node:net";
import type { Clock, Logger, Timers } from "./host.js";
import { createLimitedLog } from "./limitedLog.js";

/** Paces the connections of a process. */
export interface ReadPacer {
    /** Begins to pace a connection. Must be called after its HTTP server has taken it, which otherwise undoes the pauses. */
    add(socket: Socket): PacedConnection;
}

/** A connection that is read as long as neither the pacer nor its owner holds it. */
export interface PacedConnection {
    /** Counts a request or a part of a body. */
    countPart(): void;
    /** Stops to read the connection until it is called with false. */
    setBlocked(isBlocked: boolean): void;
    /** Reads and writes through another socket from now on, such as that of a TLS connection. */
    setSocket(socket: Socket): void;
    remove(): void;
}

interface Connection {
    socket: Socket;
    /** Parts in this turn of the event loop. */
    parts: number;
    isBlocked: boolean;
    isPaced: boolean;
}

/** What a pacer needs of its process. */
export interface ReadPacerHost {
    readonly clock: Pick<Clock, "nowMs">;
    readonly timers: Timers;
    readonly log: Pick<Logger, "warn">;
    /** Runs a callback after the events of the current turn of the event loop. */
    scheduleTurnEnd(callback: () => void): void;
}

/** Parts of all connections after which a turn reads no more. A turn without misbehaving clients has a part or two for each connection. */
export const maxPartsPerTurn = 256;
/** Parts of one connection in a turn that was full after which it waits for a turn of its own. */
const manyParts = 32;
/** Largest share of the time for turns that are full. Far enough below the utilization of a saturated process for ordinary work. */
export const maxFullTurnShare = 0.5;

/** Creates a pacer without connections. */
export function createReadPacer({ clock, timers, log, scheduleTurnEnd }: ReadPacerHost): ReadPacer {
    const limitedLog = createLimitedLog(log, clock);
    const connections = new Set<Connection>();
    /** Connections with parts in this turn. */
    const active = new Set<Connection>();
    /** Connections that wait for a turn of their own. */
    const waiting = new Set<Connection>();
    let partsInTurn = 0;
    let isScheduled = false;
    let isTimerSet = false;
    /** Time of the first part in this turn. */
    let turnBeganAtMs = 0;
    /** Time from which the next waiting connection may be read. */
    let nextReadAtMs = -Infinity;
    return {
        add(socket) {
            const connection: Connection = { socket, parts: 0, isBlocked: false, isPaced: false };
            connections.add(connection);
            watchResumes(connection);
            return {
                countPart: () => countPart(connection),
                setBlocked(isBlocked) {
                    connection.isBlocked = isBlocked;
                    applyHold(connection);
                },
                setSocket(replacement) {
                    connection.socket = replacement;
                    watchResumes(connection);
                    applyHold(connection);
                },
                remove() {
                    connections.delete(connection);
                    active.delete(connection);
                    waiting.delete(connection);
                },
            };
        },
    };

    function countPart(connection: Connection): void {
        connection.parts++;
        active.add(connection);
        if (partsInTurn === 0) turnBeganAtMs = clock.nowMs();
        partsInTurn++;
        scheduleEnd();
        if (partsInTurn === maxPartsPerTurn) { for (const other of connections) setPaced(other, true); }
        // A connection that was accepted since.
        else if (partsInTurn > maxPartsPerTurn && !connection.isPaced) setPaced(connection, true);
    }

    function scheduleEnd(): void {
        if (isScheduled) return;
        isScheduled = true;
        scheduleTurnEnd(endTurn);
    }

    function endTurn(): void {
        const nowMs = clock.nowMs();
        isScheduled = false;
        const isFull = partsInTurn >= maxPartsPerTurn;
        partsInTurn = 0;
        for (const connection of active) {
            if (isFull && connection.parts >= manyParts && connections.has(connection)) waiting.add(connection);
            connection.parts = 0;
        }
        active.clear();
        if (isFull) endFullTurn(nowMs);
        else readNextWaiting(nowMs);
    }

    function endFullTurn(nowMs: number): void {
        nextReadAtMs = nowMs + getPauseMs(nowMs - turnBeganAtMs);
        for (const connection of connections) {
            if (connection.isPaced && !waiting.has(connection)) setPaced(connection, false);
        }
        if (waiting.size === 0) return;
        logWaiting();
        scheduleEnd();
    }

    function logWaiting(): void {
        const [first] = waiting;
        const sender = first?.socket.remoteAddress;
        limitedLog.warn("Connections are read one at a time because they send very many small parts.", {
            sender,
            connections: waiting.size,
        });
    }

    /** Must not be called between a turn that was full and the next one, in which all others are read. */
    function readNextWaiting(nowMs: number): void {
        const [first] = waiting;
        if (first === undefined || isTimerSet) return;
        if (nowMs < nextReadAtMs) return setTimer(nextReadAtMs - nowMs);
        waiting.delete(first);
        setPaced(first, false);
        if (waiting.size > 0) scheduleEnd();
    }

    function setTimer(delayMs: number): void {
        isTimerSet = true;
        timers.after(delayMs, () => {
            isTimerSet = false;
            readNextWaiting(clock.nowMs());
        });
    }

    function setPaced(connection: Connection, isPaced: boolean): void {
        connection.isPaced = isPaced;
        applyHold(connection);
    }
}

/** Returns the time after a turn that was full in which there is no other one. */
function getPauseMs(turnMs: number): number {
    return turnMs * (1 - maxFullTurnShare) / maxFullTurnShare;
}

function applyHold({ socket, isPaced, isBlocked }: Connection): void {
    if (socket.destroyed) return;
    if (isPaced || isBlocked) socket.pause();
    else socket.resume();
}

/** The body of a request resumes its connection by itself, whenever it can take more. */
function watchResumes(connection: Connection): void {
    const { socket } = connection;
    socket.on("resume", () => {
        if (connection.socket === socket && (connection.isPaced || connection.isBlocked)) socket.pause();
    });
}

/**
 * Accepts the connections of a server and bounds the time for which new ones wait in the kernel's listen queue. Node.js accepts one connection
 * in each turn of its event loop, so the queue of a busy process grows, and what it accepts is seconds old. Such a process drops the queue:
 * the clients in it learn at once that they must go elsewhere, and since nothing of theirs was read, nothing has run.
 *
 * A queue that is never empty may still be short, when a few clients come back as soon as they are answered. So its length is read before it
 * is dropped.
 */
import * as net from "node:net";
import VError from "verror";
import type { Clock, Logger } from "./host.js";
import { readListenQueueLength } from "./listenQueueLength.js";
import { getErrorText } from "./tasks.js";

/** Options of an acceptor. */
export interface AcceptorOptions {
    readonly host: string;
    /** Port 0 lets the system choose one, which is then kept. */
    readonly port: number;
    readonly allowHalfOpen: boolean;
    /**
     * How long a connection may wait to be accepted. The length of a listen queue that was never empty for this time is checked, and the queue is
     * dropped if it is too long. Without it, the queue is not watched.
     */
    readonly maxAcceptWaitMs?: number;
    readonly onConnection: (socket: net.Socket) => void;
    /** Returns the number of connections in the listen queue, or undefined if it cannot be read. */
    readonly readQueueLength?: (host: string, port: number) => number | undefined;
}

/** A socket that listens and may be replaced by another one on the same port. */
export interface Acceptor {
    /** The port, known once the acceptor listens. */
    getPort(): number;
    /** Number of times that the connections in the listen queue were reset. */
    getQueueResets(): number;
    listen(): Promise<void>;
    /** Stops to accept. The callback is called once all accepted connections have ended. */
    close(onClosed: () => void): void;
}

/** What is known of a listen queue at the end of a turn of the event loop. */
export interface QueueState {
    /** Turns in a row that have accepted a connection. */
    readonly turns: number;
    /** Time that these turns took, without what a turn took much longer than the one before. */
    readonly nonEmptyMs: number;
    readonly lastTurnMs: number;
}

const listenRetryMs = 50;
/** A turn of this length is never taken for an exception among shorter ones. */
const usualTurnMs = 100;
const maxTurnGrowth = 2;
/** A queue that was too short to be dropped is checked again after this part of `maxAcceptWaitMs`. */
const recheckShare = 0.5;
/** Part of the turns before a check that still counts at the next one, so that a few slow turns do not make a short queue look long. */
const keptShare = 0.5;
/**
 * Multiple of `maxAcceptWaitMs` that the last connection in a queue may be expected to wait. While twice as many connections arrive as are
 * accepted, the first one in the queue has waited for half of the time that the last one will wait.
 */
const maxWaitFactor = 2;

/** State of a listen queue that is empty. */
export const emptyQueue: QueueState = { turns: 0, nonEmptyMs: 0, lastTurnMs: 0 };

/**
 * Returns the state after a turn of the event loop, with the duration of the turn, or undefined if it accepted no connection. In a whole turn
 * without an accept the queue was empty. While each turn has one, a connection may have waited since the first. A single long turn says
 * nothing about the age of what has come in it, so of a turn that is much longer than the one before only a part counts.
 */
export function updateQueue(state: QueueState, turnMs: number | undefined): QueueState {
    if (turnMs === undefined) return emptyQueue;
    const countedMs = Math.min(turnMs, Math.max(usualTurnMs, state.lastTurnMs * maxTurnGrowth));
    return { turns: state.turns + 1, nonEmptyMs: state.nonEmptyMs + countedMs, lastTurnMs: turnMs };
}

/** What decides whether a queue that was never empty for some time is dropped. */
export interface QueueCheck {
    readonly queue: QueueState;
    /** Number of connections in the queue. Undefined if it cannot be read. */
    readonly length: number | undefined;
    readonly maxAcceptWaitMs: number;
}

/**
 * Returns true if the last connection in the queue has to wait for too long. In a queue that grows, those that wait have waited for much less
 * than that. A few clients that come back as soon as they are answered fill a queue that does not grow, and would come back after a reset too.
 */
export function isQueueTooLong({ queue, length, maxAcceptWaitMs }: QueueCheck): boolean {
    if (length === undefined) return true;
    return length * queue.nonEmptyMs / queue.turns >= maxAcceptWaitMs * maxWaitFactor;
}

/** Creates an acceptor, which listens once it is told to. */
export function createAcceptor(options: AcceptorOptions, clock: Clock, log: Logger): Acceptor {
    const { maxAcceptWaitMs = Infinity, readQueueLength = readListenQueueLength } = options;
    // Servers that listen, or have connections that have not ended.
    const servers = new Set<net.Server>();
    let current: net.Server | undefined;
    let port = options.port;
    let queue = emptyQueue;
    // Time without an empty queue after which its length is read.
    let checkAfterMs = maxAcceptWaitMs;
    // Result of the check before.
    let wasTooLong = false;
    let hasAccepted = false;
    let isWatching = false;
    // Time of the end of the turn before or, of a first turn, of its accept.
    let turnStartedAtMs = 0;
    let queueResets = 0;
    let retryTimer: NodeJS.Timeout | undefined;
    let onAllClosed: (() => void) | undefined;

    return {
        getPort: () => port,
        getQueueResets: () => queueResets,
        listen: () =>
            new Promise((resolve, reject) => {
                open(resolve, error => reject(new VError(error, "cannot listen on %s:%d", options.host, port)));
            }),
        close(onClosed) {
            onAllClosed = onClosed;
            clearTimeout(retryTimer);
            if (current?.listening) current.close();
            reportIfClosed();
        },
    };

    function open(onListening: () => void, onListenError: (error: Error) => void): void {
        const server = net.createServer({ allowHalfOpen: options.allowHalfOpen, noDelay: true }, accept);
        current = server;
        servers.add(server);
        server.on("close", () => {
            servers.delete(server);
            reportIfClosed();
        });
        server.on("error", error => {
            if (server.listening) return log.warn("Failed to accept a connection.", { detail: getErrorText(error) });
            servers.delete(server);
            onListenError(error);
            reportIfClosed();
        });
        server.listen(port, options.host, () => {
            // The process may have begun to close while the address was being bound.
            if (onAllClosed !== undefined) return void server.close();
            port = (server.address() as net.AddressInfo).port;
            onListening();
        });
    }

    function accept(socket: net.Socket): void {
        if (maxAcceptWaitMs !== Infinity) {
            hasAccepted = true;
            if (!isWatching) {
                isWatching = true;
                turnStartedAtMs = clock.nowMs();
                setImmediate(endTurn);
            }
        }
        options.onConnection(socket);
    }

    // Runs after the poll phase of each turn, in which connections are accepted, until a turn passes without an accept.
    function endTurn(): void {
        const nowMs = clock.nowMs();
        queue = updateQueue(queue, hasAccepted ? nowMs - turnStartedAtMs : undefined);
        if (queue.turns === 0) resetCheck();
        hasAccepted = false;
        turnStartedAtMs = nowMs;
        if (queue.nonEmptyMs >= checkAfterMs && current?.listening) checkQueue();
        isWatching = queue.turns > 0;
        if (isWatching) setImmediate(endTurn);
    }

    function checkQueue(): void {
        const length = readQueueLength(options.host, port);
        const isTooLong = isQueueTooLong({ queue, length, maxAcceptWaitMs });
        // A process that was held up for a moment may have had a few slow turns only.
        if (length === undefined || isTooLong && wasTooLong) return dropQueue(length);
        wasTooLong = isTooLong;
        queue = { ...queue, turns: queue.turns * keptShare, nonEmptyMs: queue.nonEmptyMs * keptShare };
        checkAfterMs = queue.nonEmptyMs + maxAcceptWaitMs * recheckShare;
    }

    // Closing the listening socket resets the connections that it has not accepted. The accepted ones are not affected.
    function dropQueue(length: number | undefined): void {
        queueResets++;
        log.warn("The listen queue was dropped.", {
            port,
            turns: Math.round(queue.turns),
            nonEmptyMs: Math.round(queue.nonEmptyMs),
            length,
            resets: queueResets,
        });
        queue = emptyQueue;
        resetCheck();
        current?.close();
        reopen();
    }

    function resetCheck(): void {
        checkAfterMs = maxAcceptWaitMs;
        wasTooLong = false;
    }

    function reopen(): void {
        if (onAllClosed !== undefined) return;
        open(() => undefined, error => {
            log.error("Cannot listen again.", { port, detail: getErrorText(error) });
            retryTimer = setTimeout(reopen, listenRetryMs);
        });
    }

    function reportIfClosed(): void {
        if (servers.size === 0) onAllClosed?.();
    }
}

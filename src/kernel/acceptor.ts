/**
 * Accepts the connections of a server and bounds the time for which new ones wait in the kernel's listen queue. Node.js accepts one connection
 * in each turn of its event loop, so the queue of a busy process grows, and what it accepts is seconds old. Such a process drops the queue:
 * the clients in it learn at once that they must go elsewhere, and since nothing of theirs was read, nothing has run.
 */
import * as net from "node:net";
import VError from "verror";
import type { Clock, Logger } from "./host.js";
import { getErrorText } from "./tasks.js";

/** Options of an acceptor. */
export interface AcceptorOptions {
    readonly host: string;
    /** Port 0 lets the system choose one, which is then kept. */
    readonly port: number;
    readonly allowHalfOpen: boolean;
    /** Time after which the listen queue is dropped if it was never empty. Without it, the queue is not watched. */
    readonly maxAcceptWaitMs?: number;
    readonly onConnection: (socket: net.Socket) => void;
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
    /** Time of the first of the accepts since which the queue was never seen empty. */
    readonly fullSinceMs: number | undefined;
    /** Turns since then. */
    readonly turns: number;
}

const listenRetryMs = 50;

/** State of a listen queue that is empty. */
export const emptyQueue: QueueState = { fullSinceMs: undefined, turns: 0 };

/**
 * Returns the state after a turn in which a connection was accepted at the given time, or none. In a whole turn without an accept the queue was
 * empty. While each turn has one, a connection may have waited since the first, but a turn longer at most.
 */
export function updateQueue(state: QueueState, acceptedAtMs: number | undefined): QueueState {
    return acceptedAtMs === undefined ? emptyQueue : { fullSinceMs: state.fullSinceMs ?? acceptedAtMs, turns: state.turns + 1 };
}

/** Creates an acceptor, which listens once it is told to. */
export function createAcceptor(options: AcceptorOptions, clock: Clock, log: Logger): Acceptor {
    const { maxAcceptWaitMs = Infinity } = options;
    // Servers that listen, or have connections that have not ended.
    const servers = new Set<net.Server>();
    let current: net.Server | undefined;
    let port = options.port;
    let queue = emptyQueue;
    let acceptedAtMs: number | undefined;
    let isWatching = false;
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
            acceptedAtMs ??= clock.nowMs();
            if (!isWatching) {
                isWatching = true;
                setImmediate(endTurn);
            }
        }
        options.onConnection(socket);
    }

    // Runs after the poll phase of each turn, in which connections are accepted, until a turn passes without an accept.
    function endTurn(): void {
        queue = updateQueue(queue, acceptedAtMs);
        acceptedAtMs = undefined;
        const fullMs = queue.fullSinceMs === undefined ? 0 : clock.nowMs() - queue.fullSinceMs;
        if (fullMs > maxAcceptWaitMs && current?.listening) dropQueue(fullMs);
        isWatching = queue.fullSinceMs !== undefined;
        if (isWatching) setImmediate(endTurn);
    }

    // Closing the listening socket resets the connections that it has not accepted. The accepted ones are not affected.
    function dropQueue(fullMs: number): void {
        queueResets++;
        log.warn("The listen queue was dropped.", { port, turns: queue.turns, fullMs: Math.round(fullMs), resets: queueResets });
        queue = emptyQueue;
        current?.close();
        reopen();
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

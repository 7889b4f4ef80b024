/**
 * Connects for undici, which writes a request as soon as its connection is made. The end of the request's caller, or of the connection, may have
 * arrived in the same turn of the event loop and is read first.
 */
import type { Socket } from "node:net";
import { buildConnector } from "undici";
import VError from "verror";

/** Creates a connector that hands a connection over once all is read that arrived in the turn in which it was made. */
export function createConnector(options: buildConnector.BuildOptions): buildConnector.connector {
    const connect = buildConnector(options);
    return (target, callback) => {
        connect(target, (error, socket) => {
            if (error !== null || socket === null) return callback(error ?? new VError("no socket"), null);
            void leavePollPhase().then(() => handOver(socket as Socket, callback));
        });
    };
}

function handOver(socket: Socket, callback: buildConnector.Callback): void {
    if (socket.destroyed) return callback(socket.errored ?? new VError("the connection was closed as soon as it was made"), null);
    callback(null, socket);
}

/**
 * Ends once all that has arrived in this turn of the event loop is read: on a kept connection bytes that answer no request, or its close, and
 * from the caller of the request that it has left. undici waits for one more turn before it sends on a kept connection, but a wait that begins
 * in the poll phase ends before anything more is read.
 */
export function leavePollPhase(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

/** Responses of the HTTP server of the production host. */
import type * as http from "node:http";
import type { Socket } from "node:net";
import type { HttpResponse } from "./host.js";

/**
 * Creates the response of a request. What is written within one turn of the event loop goes to the system in one call at the end of the turn or
 * of the response, because most of what a small write costs is the call.
 */
export function createResponse(outgoing: http.ServerResponse): HttpResponse {
    let hasVerifiableEnd = true;
    let heldSocket: Socket | undefined;
    return {
        get hasStarted() {
            return outgoing.headersSent;
        },
        start(status, headers, isCloseDelimited = false) {
            hasVerifiableEnd = !isCloseDelimited;
            if (isCloseDelimited) {
                outgoing.removeHeader("transfer-encoding");
                outgoing.shouldKeepAlive = false;
            }
            outgoing.writeHead(status, headers);
            holdWrites();
            outgoing.flushHeaders();
        },
        write(chunk) {
            if (outgoing.destroyed) return undefined;
            holdWrites();
            if (outgoing.write(chunk)) return undefined;
            return new Promise(resolve => {
                const onWritable = () => {
                    outgoing.off("drain", onWritable);
                    outgoing.off("close", onWritable);
                    resolve();
                };
                outgoing.on("drain", onWritable);
                outgoing.on("close", onWritable);
            });
        },
        end: () => void outgoing.end(),
        abort() {
            // What was written before an abort still reaches the client.
            releaseWrites();
            // Only a reset shows the client of a close-delimited body that the end is not that of the body.
            if (!hasVerifiableEnd) outgoing.socket?.resetAndDestroy();
            outgoing.destroy();
        },
    };

    // A response that waits for the end of the one before it on its connection has no socket yet.
    function holdWrites(): void {
        const socket = outgoing.socket ?? undefined;
        if (heldSocket !== undefined || socket === undefined) return;
        heldSocket = socket;
        socket.cork();
        setImmediate(releaseWrites);
    }

    function releaseWrites(): void {
        heldSocket?.uncork();
        heldSocket = undefined;
    }
}

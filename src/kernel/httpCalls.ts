/** Calls of other processes over HTTP, whose bodies the handler of such calls reads itself. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { failureDomainHeader } from "./callCounts.js";
import type { CallCounts } from "./callCounts.js";
import { fleetSecretHeader, isSameSecret } from "./fleetSecret.js";
import type { HeldMessage } from "./heldBytes.js";
import { createResponse } from "./httpResponse.js";
import { getStatedBytes, hasBody, refuseBody } from "./requestBody.js";
import type { BodyLimits } from "./requestBody.js";
import { readCallPath } from "./rpcLinks.js";
import type { ServerConnection } from "./serverConnections.js";

/**
 * Checks a call over HTTP before its body is read, and counts the body. Returns false if the call is refused. The handler of such calls reads
 * the body later, so its length has to be known beforehand. Processes of the fleet state it.
 */
export function takeHttpCall(
    { getMaxBodyBytes, held }: BodyLimits,
    { fleetSecret }: { readonly fleetSecret: string; },
    connection: ServerConnection,
    incoming: IncomingMessage,
    outgoing: ServerResponse,
): boolean {
    if (!isSameSecret(getHeader(incoming, fleetSecretHeader), fleetSecret)) {
        outgoing.writeHead(401, { connection: "close" }).end();
        return false;
    }
    const statedBytes = getStatedBytes(incoming);
    const isTooLarge = (statedBytes ?? 0) > getMaxBodyBytes();
    if (isTooLarge || statedBytes === undefined && hasBody(incoming)) {
        refuseBody(createResponse(outgoing), isTooLarge ? "bodyTooLarge" : "lengthRequired");
        return false;
    }
    const message = held.open(incoming.socket.remoteAddress ?? "", () => incoming.socket.destroy());
    outgoing.once("close", message.release);
    incoming.once("end", () => {
        message.complete();
        connection.protect();
    });
    message.setSize(statedBytes ?? 0);
    countAnswer(outgoing, message);
    return !incoming.socket.destroyed;
}

/** Counts what the peer does not read of the answer. The handler of calls writes it as a whole, and does not end it before all of it is sent. */
function countAnswer(outgoing: ServerResponse, message: HeldMessage): void {
    outgoing.write = new Proxy(outgoing.write, {
        apply(write, receiver, parameters): boolean {
            const hasRoom = Reflect.apply(write, receiver, parameters);
            message.allowEnd(() => outgoing.destroy());
            message.setSize(outgoing.socket?.writableLength ?? 0);
            return hasRoom;
        },
    });
}

/** Counts a call that was taken. The bytes of the answer include its headers, because the handler of calls over HTTP does not tell the size of a body. */
export function countHttpCall(counts: CallCounts, incoming: IncomingMessage, outgoing: ServerResponse): void {
    const { socket } = incoming;
    const { procedure, callCount } = readCallPath(incoming.url!);
    const peer = counts.locate(getHeader(incoming, failureDomainHeader));
    const writtenBytes = socket.bytesWritten;
    outgoing.setHeader(failureDomainHeader, counts.ownDomain);
    outgoing.once("close", () =>
        counts.add({ side: "server", procedure, peer }, callCount, {
            sentBytes: socket.bytesWritten - writtenBytes,
            receivedBytes: Number(incoming.headers["content-length"] ?? 0),
        }));
}

function getHeader(incoming: IncomingMessage, headerName: string): string | undefined {
    const value = incoming.headers[headerName];
    return Array.isArray(value) ? value[0] : value;
}

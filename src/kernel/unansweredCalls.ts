/** Counts what a WebSocket connection holds for its peer: messages that are not whole, calls without an answer, and answers that are not read. */
import type { IncomingMessage } from "node:http";
import type { WebSocket } from "ws";
import type { HeldBytes } from "./heldBytes.js";

/** The calls of one connection. */
export interface UnansweredCalls {
    begin(messageBytes: number): void;
    /** An answer is sent next. The size is that of the message of its call, and undefined if it answers none. */
    end(messageBytes: number | undefined): void;
}

/** What a call takes beside its message until it has its answer. */
const callBytes = 4 * 1024;

/** Counts a connection until it is closed. It is closed if it has to give way to others. */
export function countUnansweredCalls(held: HeldBytes, connection: WebSocket, request: IncomingMessage): UnansweredCalls {
    const message = held.open(request.socket.remoteAddress ?? "", () => connection.terminate());
    let unfinishedBytes = 0;
    let unansweredBytes = 0;
    request.socket.on("data", (part: Buffer) => {
        unfinishedBytes += part.length;
        update();
    });
    connection.on("message", () => {
        unfinishedBytes = 0;
    });
    connection.once("close", message.release);
    return {
        begin(messageBytes) {
            unansweredBytes += messageBytes + callBytes;
            update();
        },
        end(messageBytes) {
            if (messageBytes !== undefined) unansweredBytes -= messageBytes + callBytes;
            update();
        },
    };

    function update(): void {
        message.setSize(unfinishedBytes + unansweredBytes + connection.bufferedAmount);
    }
}

/** Counts what a WebSocket connection holds for its peer: messages that are not whole, calls without an answer, and answers that are not read. */
import type { IncomingMessage } from "node:http";
import type { WebSocket } from "ws";
import type { HeldBytes } from "./heldBytes.js";

/** The calls of one connection. */
export interface UnansweredCalls {
    begin(): void;
    /** One of the calls has its answer, which is sent next. */
    end(): void;
}

/** What a call takes beside its message until it has its answer. */
const callBytes = 4 * 1024;

/** Counts a connection until it is closed. It is closed if it has to give way to others. */
export function countUnansweredCalls(held: HeldBytes, connection: WebSocket, request: IncomingMessage): UnansweredCalls {
    const message = held.open(request.socket.remoteAddress ?? "", () => connection.terminate());
    let unfinishedBytes = 0;
    let unansweredCalls = 0;
    request.socket.on("data", (part: Buffer) => {
        unfinishedBytes += part.length;
        update();
    });
    connection.on("message", () => {
        unfinishedBytes = 0;
    });
    connection.once("close", message.release);
    return {
        begin() {
            unansweredCalls++;
            update();
        },
        end() {
            unansweredCalls = Math.max(0, unansweredCalls - 1);
            update();
        },
    };

    function update(): void {
        message.setSize(unfinishedBytes + unansweredCalls * callBytes + connection.bufferedAmount);
    }
}

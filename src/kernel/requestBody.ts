/** Reads the bodies of requests, and refuses those for which there is no room. */
import type { IncomingMessage } from "node:http";
import VError from "verror";
import { createByteCollector } from "./byteCollector.js";
import { messages } from "./diagnostics.js";
import type { HeldBytes, HeldMessage } from "./heldBytes.js";
import type { BodyRefusal, HttpResponse } from "./host.js";
import { verdictHeaders } from "./verdict.js";

/** Time after which the bodies of other requests may have made room. */
export const noRoomRetryAfterMs = 1_000;

/** Where the bodies of a server count, and how large one may be. */
export interface BodyLimits {
    readonly held: HeldBytes;
    getMaxBodyBytes(): number;
}

/** Options of reading a body. */
export interface BodyOptions {
    readonly maxBytes: number;
    readonly held: Pick<HeldMessage, "setSize">;
    /** Called for each part. */
    readonly onPart: () => void;
}

/** Refuses a request whose body is not read to its end, so that the connection cannot be used again. */
export function refuseBody(response: HttpResponse, code: BodyRefusal | "lengthRequired"): void {
    const { status, text } = messages[code];
    response.start(status, {
        "content-type": "application/problem+json",
        "connection": "close",
        "lovage-verdict": verdictHeaders.notRun,
        ...code === "noRoomForBody" ? { "retry-after": String(noRoomRetryAfterMs / 1_000) } : {},
    });
    void response.write(Buffer.from(JSON.stringify({ code, status, detail: text })));
    response.end();
}

/** Returns the length that the head of a request states for its body. Undefined if it states none. */
export function getStatedBytes(incoming: IncomingMessage): number | undefined {
    const text = incoming.headers["content-length"];
    return text === undefined ? undefined : Number(text);
}

/** True if the head of a request announces a body. */
export function hasBody(incoming: IncomingMessage): boolean {
    return incoming.headers["transfer-encoding"] !== undefined || (getStatedBytes(incoming) ?? 0) > 0;
}

/** A body that is being read. */
export interface BodyReader {
    /** The whole body. Undefined if it is larger than the limit, or the reader was stopped. */
    readonly whole: Promise<Uint8Array | undefined>;
    /** Forgets what was read, and reads no more. */
    stop(): void;
}

/**
 * Reads a body by its `data` events, which take each part as it is parsed. An iterator takes it some turns of promises later, and the parts
 * of all bodies that were read in one turn of the event loop wait until then.
 */
export function readBody(incoming: IncomingMessage, { maxBytes, held, onPart }: BodyOptions): BodyReader {
    if ((getStatedBytes(incoming) ?? 0) > maxBytes) return { whole: Promise.resolve(undefined), stop: () => undefined };
    const parts = createByteCollector();
    let settle: (body: Uint8Array | undefined) => void;
    const whole = new Promise<Uint8Array | undefined>((resolve, reject) => {
        settle = resolve;
        incoming.on("data", take);
        incoming.once("end", () => resolve(parts.take()));
        incoming.once("error", reject);
        incoming.once("close", () => {
            parts.discard();
            reject(new VError("the connection was closed before the end of a body"));
        });
    });
    return { whole, stop };

    function take(part: Buffer): void {
        onPart();
        if (parts.sizeBytes + part.length > maxBytes) return stop();
        parts.add(part);
        held.setSize(parts.heldBytes);
    }

    function stop(): void {
        incoming.off("data", take);
        parts.discard();
        settle(undefined);
    }
}

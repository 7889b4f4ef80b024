/** Reads the bodies of responses of backend servers, and tells a complete one without a length from one that was cut off by a reset. */
import { finished } from "node:stream";
import type { Readable } from "node:stream";
import type { IncomingResponse, TakePart } from "./host.js";
import type { ReadWatch } from "./readWatch.js";

/** A response whose body has not been read. */
export interface ReadableResponse extends IncomingResponse {
    readonly body: Readable;
}

/** The connection that a response comes on. */
export interface ResponseSource {
    readonly watch: Pick<ReadWatch, "addBodyBytes"> | undefined;
    /** Error of the socket, if any. */
    readonly socketError: Error | undefined;
}

/** Reads a body by its `data` events, because an iterator takes several promises for each part. */
async function forEachPart(source: ResponseSource, response: ReadableResponse, take: TakePart): Promise<void> {
    const { body } = response;
    // Set while `take` is busy with a part. The body is paused meanwhile.
    let taking: Promise<void> | undefined;
    await new Promise<void>((resolve, reject) => {
        const stop = (error: unknown) => {
            reject(error as Error);
            body.destroy();
        };
        // A part that is still being taken comes before the end, so that nothing is written for this response after it.
        finished(body, { writable: false }, error => {
            const settle = () => error instanceof Error ? reject(error) : resolve();
            if (taking === undefined) settle();
            else taking.then(settle, settle);
        });
        const resume = () => {
            taking = undefined;
            body.resume();
        };
        body.on("data", (part: Uint8Array) => {
            try {
                source.watch?.addBodyBytes(part.length);
                taking = take(part);
                if (taking === undefined) return;
                body.pause();
                taking.then(resume, stop);
            }
            catch (error) {
                stop(error);
            }
        });
    });
    checkEnd(source, response);
}

// undici treats a connection reset as the normal end of a response without a length.
function checkEnd(source: ResponseSource, response: IncomingResponse): void {
    if (source.socketError !== undefined && response.isCloseDelimited === true) throw source.socketError;
}

/** Reads a body part by part. Calls `onEnd` when nothing more is read, with true if the whole body was read. */
export async function readParts(
    source: ResponseSource,
    response: ReadableResponse,
    take: TakePart,
    onEnd: (isWhole: boolean) => void,
): Promise<void> {
    let isWhole = false;
    try {
        await forEachPart(source, response, take);
        isWhole = true;
    }
    finally {
        onEnd(isWhole);
    }
}

/** Returns the parts of a body. Calls `onEnd` when nothing more is read, with true if the whole body was read. */
export async function* readBody(
    source: ResponseSource,
    response: IncomingResponse,
    onEnd: (isWhole: boolean) => void,
): AsyncGenerator<Uint8Array> {
    let isWhole = false;
    try {
        for await (const part of response.body) {
            source.watch?.addBodyBytes(part.length);
            yield part;
        }
        checkEnd(source, response);
        isWhole = true;
    }
    finally {
        onEnd(isWhole);
    }
}

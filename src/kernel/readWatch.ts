/** Watches what arrives on a connection to a backend server: bytes that belong to no body, and data that takes long to process. */
import type { Socket } from "node:net";
import VError from "verror";
import type { Clock, Logger } from "./host.js";
import type { Address } from "./types.js";

/** Counts the bytes of one connection. */
export interface ReadWatch {
    /** Begins to count anew, for the answer to the next request. */
    begin(): void;
    /** Counts bytes of a body that its reader has taken. */
    addBodyBytes(sizeBytes: number): void;
}

/** Options of a watch. */
export interface ReadWatchOptions {
    readonly address: Address;
    readonly clock: Clock;
    readonly log: Logger;
}

/**
 * Bytes of one answer that may be read beside its body: status lines, headers, trailers, and what is read ahead of the reader of the body.
 * The parser bounds headers, but not the reason of a status line, the size and extensions of a chunk, or empty lines before an answer.
 */
const maxOtherBytes = 512 * 1024;
/** The smallest chunk has five bytes of framing for one of content. The rest is room for extensions. */
const maxFramingPerBodyByte = 16;
/** Processing that holds the process for longer than this is logged. */
const slowReadMs = 100;
/** Code of undici's error for a head that is too large. */
const headersOverflowCode = "UND_ERR_HEADERS_OVERFLOW";

/** Starts to watch a socket that has just connected. A socket with too many bytes beside its bodies is destroyed. */
export function watchReads(socket: Socket, options: ReadWatchOptions): ReadWatch {
    const { address, clock, log } = options;
    let readBefore = 0;
    let bodyBytes = 0;
    let startedAtMs = 0;
    let isParsing = false;
    const destroySocket = socket.destroy.bind(socket);
    socket.destroy = error => {
        destroySocket(error);
        // undici catches this like any error of its parser. Otherwise the parser continues to the end of what was read, with an error for each line.
        if (isParsing && error !== undefined && "code" in error && error.code === headersOverflowCode) throw error;
        return socket;
    };
    socket.prependListener("readable", () => {
        startedAtMs = clock.nowMs();
        isParsing = true;
    });
    // The parser adds its listener after the socket was handed to it, and this one has to run after that.
    setImmediate(() => socket.on("readable", checkRead));
    return {
        begin() {
            readBefore = socket.bytesRead;
            bodyBytes = 0;
        },
        addBodyBytes(sizeBytes) {
            bodyBytes += sizeBytes;
        },
    };

    function checkRead(): void {
        isParsing = false;
        const heldMs = Math.round(clock.nowMs() - startedAtMs);
        if (heldMs > slowReadMs) {
            log.warn("Data of a backend server took long to process.", { address, heldMs, answerBytes: socket.bytesRead - readBefore });
        }
        const otherBytes = socket.bytesRead - readBefore - bodyBytes;
        if (otherBytes <= maxOtherBytes + maxFramingPerBodyByte * bodyBytes || socket.destroyed) return;
        log.warn("A backend server sent too many bytes that belong to no body.", { address, otherBytes, bodyBytes });
        socket.destroy(new VError("%d bytes came that belong to no body", otherBytes));
    }
}

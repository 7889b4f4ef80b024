/** Watches what arrives on a connection to a backend server: bytes that belong to no response, and data that takes long to process. */
import type { Socket } from "node:net";
import { errors } from "undici";
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
    /** True while no request is in progress on the connection. */
    readonly isIdle: () => boolean;
    /** Called at most once, when bytes arrive after a complete response. The connection is closed then. */
    readonly onSurplus: () => void;
}

/**
 * Bytes of one answer that may be read beside its body: status lines, headers, trailers, and what is read ahead of the reader of the body.
 * The parser bounds headers, but not the reason of a status line, the size and extensions of a chunk, or empty lines before an answer.
 * One read adds up to 64 KiB before they are counted, so no more than 512 KiB are read.
 */
const maxOtherBytes = 448 * 1024;
/** The smallest chunk has five bytes of framing for one of content. The rest is room for extensions. */
const maxFramingPerBodyByte = 16;
/** Processing that holds the process for longer than this is logged. */
const slowReadMs = 100;
/** Code of undici's error for a head that is too large. */
const headersOverflowCode = "UND_ERR_HEADERS_OVERFLOW";
/** Prefix of the codes of undici's errors for data that is no response. */
const parserCodePrefix = "HPE_";
/** Message of undici's error for a response that begins while no request is in progress. */
const unaskedResponseMessage = "bad response";

/** Starts to watch a socket that has just connected. A socket with surplus bytes, or too many bytes beside its bodies, is destroyed. */
export function watchReads(socket: Socket, options: ReadWatchOptions): ReadWatch {
    const { address, clock, log } = options;
    let readBefore = 0;
    let bodyBytes = 0;
    let startedAtMs = 0;
    let isParsing = false;
    /** Bytes that the parser has already been given, or that arrived while a request was in progress. */
    let checkedBytes = 0;
    let hasSurplus = false;
    const destroySocket = socket.destroy.bind(socket);
    socket.destroy = error => {
        if (error !== undefined && isParserError(error)) reportIfSurplus();
        destroySocket(error);
        // undici catches this like any error of its parser. Otherwise the parser continues to the end of what was read, with an error for each line.
        if (isParsing && error !== undefined && "code" in error && error.code === headersOverflowCode) throw error;
        return socket;
    };
    const unshift = socket.unshift.bind(socket);
    // undici returns what is left after the last response of a connection, and reads no more.
    socket.unshift = (chunk: Uint8Array, encoding) => {
        if (chunk.length > 0) reportIfSurplus();
        unshift(chunk, encoding);
    };
    socket.prependListener("readable", () => {
        startedAtMs = clock.nowMs();
        isParsing = true;
        // The parser skips empty lines before a response, so it would not report them. After an error of this kind, undici sends a request
        // that waits for this connection on a new one.
        if (socket.bytesRead > checkedBytes && reportIfSurplus()) socket.destroy(new errors.SocketError("bytes after a complete response"));
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

    /** Returns true if no request is in progress, so that the bytes that have just been read belong to no response. */
    function reportIfSurplus(): boolean {
        if (!options.isIdle()) return false;
        if (!hasSurplus) {
            hasSurplus = true;
            log.info("A backend server sent bytes after a complete response.", { address });
            options.onSurplus();
        }
        return true;
    }

    function checkRead(): void {
        isParsing = false;
        checkedBytes = socket.bytesRead;
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

function isParserError(error: Error): boolean {
    return error.message === unaskedResponseMessage || "code" in error && String(error.code).startsWith(parserCodePrefix);
}

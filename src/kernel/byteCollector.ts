/** Collects the parts of one message in memory that does not depend on the number of parts. */

/** Parts of one message. */
export interface ByteCollector {
    /** Total size of the parts. */
    readonly sizeBytes: number;
    add(part: Uint8Array): void;
    /** Returns all parts in one piece, and forgets them. */
    take(): Buffer;
}

/** A part of its own costs a hundred bytes and more beside its content, so smaller parts are copied together. */
const minOwnPartBytes = 2_048;
const blockBytes = 16_384;
/** A part keeps the whole buffer that it is a piece of, so pieces of much larger buffers are copied. */
const maxBufferPerPart = 2;

/** Creates a collector without parts. */
export function createByteCollector(): ByteCollector {
    let parts: Uint8Array[] = [];
    let block: Buffer | undefined;
    let blockUsedBytes = 0;
    let sizeBytes = 0;
    return {
        get sizeBytes() {
            return sizeBytes;
        },
        add(part) {
            // Most messages have a single part.
            const isFirst = sizeBytes === 0;
            sizeBytes += part.length;
            if (part.length < minOwnPartBytes && !isFirst) addToBlock(part);
            else addOwn(part);
        },
        take() {
            closeBlock();
            const whole = Buffer.concat(parts);
            parts = [];
            sizeBytes = 0;
            return whole;
        },
    };

    function addOwn(part: Uint8Array): void {
        closeBlock();
        if (part.length > 0) parts.push(part.buffer.byteLength > maxBufferPerPart * part.length ? Uint8Array.from(part) : part);
    }

    function addToBlock(part: Uint8Array): void {
        if (block !== undefined && blockUsedBytes + part.length > block.length) closeBlock();
        block ??= Buffer.allocUnsafeSlow(blockBytes);
        block.set(part, blockUsedBytes);
        blockUsedBytes += part.length;
    }

    function closeBlock(): void {
        if (block !== undefined) parts.push(block.subarray(0, blockUsedBytes));
        block = undefined;
        blockUsedBytes = 0;
    }
}

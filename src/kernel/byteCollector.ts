/**
 * Collects the parts of one message in memory that does not depend on the number of parts. The parts are copied into blocks, which are used
 * again, because the runtime frees large buffers late: what is read of messages that are ended soon would fill the memory.
 */

/** Parts of one message. */
export interface ByteCollector {
    /** Total size of the parts. */
    readonly sizeBytes: number;
    /** Memory that the parts take, with what is left of their last block. */
    readonly heldBytes: number;
    add(part: Uint8Array): void;
    /** Returns all parts in one piece, and forgets them. */
    take(): Buffer;
    /** Forgets all parts. */
    discard(): void;
}

const blockBytes = 16_384;
/** Blocks that are kept for later messages, 8 MiB in all. */
const maxFreeBlocks = 512;
/** A part keeps the whole buffer that it is a piece of, so a piece of a much larger buffer is copied. */
const maxBufferPerPart = 2;

const freeBlocks: Buffer[] = [];

/** Creates a collector without parts. */
export function createByteCollector(): ByteCollector {
    // Most messages have a single part, which is not copied.
    let only: Uint8Array | undefined;
    let blocks: Buffer[] = [];
    let lastUsedBytes = 0;
    let sizeBytes = 0;
    return {
        get sizeBytes() {
            return sizeBytes;
        },
        get heldBytes() {
            return only?.length ?? blocks.length * blockBytes;
        },
        add(part) {
            if (part.length === 0) return;
            if (sizeBytes === 0) only = part.buffer.byteLength > maxBufferPerPart * part.length ? Uint8Array.from(part) : part;
            else {
                if (only !== undefined) copy(only);
                only = undefined;
                copy(part);
            }
            sizeBytes += part.length;
        },
        take() {
            const parts = only === undefined ? blocks.map((block, index) => block.subarray(0, getUsedBytes(index))) : [only];
            const whole = Buffer.concat(parts, sizeBytes);
            discard();
            return whole;
        },
        discard,
    };

    function copy(part: Uint8Array): void {
        for (let copiedBytes = 0; copiedBytes < part.length;) {
            if (blocks.length === 0 || lastUsedBytes === blockBytes) addBlock();
            const piece = part.subarray(copiedBytes, copiedBytes + blockBytes - lastUsedBytes);
            blocks.at(-1)!.set(piece, lastUsedBytes);
            lastUsedBytes += piece.length;
            copiedBytes += piece.length;
        }
    }

    function addBlock(): void {
        blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes));
        lastUsedBytes = 0;
    }

    function getUsedBytes(index: number): number {
        return index === blocks.length - 1 ? lastUsedBytes : blockBytes;
    }

    function discard(): void {
        freeBlocks.push(...blocks.slice(0, Math.max(0, maxFreeBlocks - freeBlocks.length)));
        blocks = [];
        only = undefined;
        lastUsedBytes = 0;
        sizeBytes = 0;
    }
}

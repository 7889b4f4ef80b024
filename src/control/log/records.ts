/** Record framing for files: payload length, CRC-32 of the payload, then the payload in MessagePack. */
import { Packr, Unpackr } from "msgpackr";
import { crc32 } from "node:zlib";

const headerBytes = 8;
const maxRecordBytes = 256 * 1024 * 1024;
const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** Encodes a value as a framed record. */
export function encodeRecord(value: unknown): Buffer {
    const payload = packr.pack(value);
    const record = Buffer.allocUnsafe(headerBytes + payload.length);
    record.writeUInt32LE(payload.length, 0);
    record.writeUInt32LE(crc32(payload), 4);
    payload.copy(record, headerBytes);
    return record;
}

/** A decoded record and the offset of the next one. */
export interface DecodedRecord {
    readonly value: unknown;
    readonly endOffset: number;
}

/** Decodes the record at an offset. Returns undefined if the record is truncated or corrupt. */
export function tryDecodeRecord(data: Buffer, offset: number): DecodedRecord | undefined {
    if (offset + headerBytes > data.length) return undefined;
    const payloadBytes = data.readUInt32LE(offset);
    const endOffset = offset + headerBytes + payloadBytes;
    if (payloadBytes === 0 || payloadBytes > maxRecordBytes || endOffset > data.length) return undefined;
    const payload = data.subarray(offset + headerBytes, endOffset);
    if (crc32(payload) !== data.readUInt32LE(offset + 4)) return undefined;
    return { value: unpackr.unpack(payload), endOffset };
}

/** Returns true if a valid record starts anywhere after the offset. If so, corruption at the offset is not a torn final write. */
export function hasRecordAfter(data: Buffer, offset: number): boolean {
    for (let candidateOffset = offset + 1; candidateOffset + headerBytes < data.length; candidateOffset++) {
        if (tryDecodeRecord(data, candidateOffset) !== undefined) return true;
    }
    return false;
}

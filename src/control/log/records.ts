/** Framing of records in files: length, CRC-32, then a MessagePack payload. */
import { Packr, Unpackr } from "msgpackr";
import { crc32 } from "node:zlib";

const headerBytes = 8;
const maxRecordBytes = 256 * 1024 * 1024;
const packr = new Packr({ useRecords: false });
const unpackr = new Unpackr({ useRecords: false });

/** Encodes a value to a framed record. */
export function encodeRecord(value: unknown): Buffer {
    const payload = packr.pack(value);
    const record = Buffer.allocUnsafe(headerBytes + payload.length);
    record.writeUInt32LE(payload.length, 0);
    record.writeUInt32LE(crc32(payload), 4);
    payload.copy(record, headerBytes);
    return record;
}

/** One record and where the next one begins. */
export interface DecodedRecord {
    readonly value: unknown;
    readonly endOffset: number;
}

/** Decodes the record at an offset. Returns undefined when it is cut short or damaged. */
export function tryDecodeRecord(data: Buffer, offset: number): DecodedRecord | undefined {
    if (offset + headerBytes > data.length) return undefined;
    const payloadBytes = data.readUInt32LE(offset);
    const endOffset = offset + headerBytes + payloadBytes;
    if (payloadBytes === 0 || payloadBytes > maxRecordBytes || endOffset > data.length) return undefined;
    const payload = data.subarray(offset + headerBytes, endOffset);
    if (crc32(payload) !== data.readUInt32LE(offset + 4)) return undefined;
    return { value: unpackr.unpack(payload), endOffset };
}

/** True when a whole record stands anywhere after the offset, so that what is damaged there is not a torn tail. */
export function hasRecordAfter(data: Buffer, offset: number): boolean {
    for (let next = offset + 1; next + headerBytes < data.length; next++) {
        if (tryDecodeRecord(data, next) !== undefined) return true;
    }
    return false;
}

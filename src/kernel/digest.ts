/** Digests of values and secrets. */
import { createHash } from "node:crypto";

/** SHA-256 of a text or of bytes, in hexadecimal. */
export function getSha256(data: string | Uint8Array): string {
    return createHash("sha256").update(data).digest("hex");
}

/** Hash of a text in 32 bits. Unlike a checksum, it is not linear, so hashes of texts with a common part are not related. */
export function getHash32(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** SHA-256 of a value's JSON with sorted keys, so that equal values have equal digests. */
export function getDigest(value: unknown): string {
    return getSha256(JSON.stringify(value, sortKeys) ?? "");
}

function sortKeys(_key: string, value: unknown): unknown {
    if (value === undefined || typeof value !== "object" || Array.isArray(value) || !value) return value;
    return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1));
}

/** Digests and hashes of texts, bytes and JSON values. */
import { createHash } from "node:crypto";

/** Returns the SHA-256 digest of a text or of bytes, in hexadecimal. */
export function getSha256(data: string | Uint8Array): string {
    return createHash("sha256").update(data).digest("hex");
}

/** Returns a 32-bit hash of a text. Unlike a CRC it is not linear, so that the hashes of similar texts are unrelated. */
export function getHash32(text: string): number {
    return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** Returns the SHA-256 digest of a value's JSON with sorted keys, so that equal values have equal digests. */
export function getDigest(value: unknown): string {
    return getSha256(JSON.stringify(value, sortKeys) ?? "");
}

function sortKeys(_key: string, value: unknown): unknown {
    if (value === undefined || typeof value !== "object" || Array.isArray(value) || !value) return value;
    return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1));
}

/** Combines two 32-bit hashes into one by the finalizer of MurmurHash3. It costs far less than a digest of both names. */
export function combineHashes(first: number, second: number): number {
    let hash = first ^ second;
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** The secret that all processes of a fleet share. It authenticates calls between them. */
import { createHash, timingSafeEqual } from "node:crypto";

/** Header that authenticates calls between processes by the fleet secret. */
export const fleetSecretHeader = "lovage-fleet-secret";

/** Compares two secrets in constant time. */
export function isSameSecret(actual: string | undefined, expected: string): boolean {
    if (actual === undefined) return false;
    return timingSafeEqual(hash(actual), hash(expected));
}

function hash(text: string): Buffer {
    return createHash("sha256").update(text).digest();
}

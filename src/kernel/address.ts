/** Addresses: an IP address and a port. */
import { isIP } from "node:net";
import VError from "verror";
import type { Address } from "./types.js";

/** Splits an address into host and port. Throws if it is not an IP address with a port. */
export function parseAddress(address: Address): { readonly host: string; readonly port: number; } {
    const match = /^(.+):(\d{1,5})$/.exec(address);
    const host = match?.[1]?.replace(/^\[|\]$/g, "") ?? "";
    const port = Number(match?.[2] ?? NaN);
    if (isIP(host) === 0 || !(port <= 65_535)) throw new VError("%s is not an IP address with a port", JSON.stringify(address));
    return { host, port };
}

/** Returns true if the text is an IP address with a port to which a connection can be opened. */
export function isAddress(text: string): boolean {
    try {
        return parseAddress(text).port > 0;
    }
    catch {
        return false;
    }
}

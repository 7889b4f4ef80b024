/** Reads the length of a listen queue from the kernel's table of TCP sockets, where the receive queue of a listening one is its listen queue. */
import { readFileSync } from "node:fs";
import { isIPv4 } from "node:net";

const tableFile = "/proc/net/tcp";
/** State of a listening socket in the table. */
const listenState = "0A";

/** Returns the number of connections that wait to be accepted on an IPv4 address, or undefined if the table does not tell. */
export function readListenQueueLength(host: string, port: number): number | undefined {
    if (!isIPv4(host)) return undefined;
    try {
        return parseListenQueueLength(readFileSync(tableFile, "latin1"), host, port);
    }
    catch {
        // Not every system has the table. The caller then decides without it.
        return undefined;
    }
}

/**
 * Returns the number of connections that wait to be accepted, by the text of the table, or undefined if no socket listens there. The table
 * has the address as the hexadecimal number that its four bytes are on a little-endian processor, as x86-64 and arm64 are.
 */
export function parseListenQueueLength(table: string, host: string, port: number): number | undefined {
    const address = host.split(".").reverse().map(byte => toHex(Number(byte), 2)).join("");
    const localAddress = `${address}:${toHex(port, 4)}`;
    for (const line of table.split("\n")) {
        const [, local, , state, queues] = line.trim().split(/\s+/);
        if (local === localAddress && state === listenState) return Number.parseInt(queues?.split(":")[1] ?? "", 16);
    }
    return undefined;
}

function toHex(value: number, digits: number): string {
    return value.toString(16).toUpperCase().padStart(digits, "0");
}

/**
 * Counts the calls between processes and their bytes, by procedure and by whether the peer is in another failure domain. A process names its
 * failure domain in the handshake of each connection, so that both ends know each other's.
 */
import type { Socket } from "node:net";
import type { LogFields } from "./host.js";
import type { MetricReading } from "./metrics.js";
import type { FailureDomainName } from "./types.js";

/** Header of a handshake or HTTP call, and of its response, that holds the percent-encoded failure domain of the process. */
export const failureDomainHeader = "lovage-failure-domain";

/** Where the peer of a call is. Unknown if it does not name its failure domain, as processes of earlier versions. */
export type PeerPlace = "sameDomain" | "otherDomain" | "unknown";

/** What this process does for a call. A relay sends each call on and is counted once for each of its two connections. */
export type CallSide = "caller" | "server" | "relay";

/** Bytes of messages, before compression. Those of HTTP headers are not part of them. */
export interface CallBytes {
    readonly sentBytes: number;
    readonly receivedBytes: number;
}

/** What identifies a counter. */
export interface CallLabels {
    readonly side: CallSide;
    readonly procedure: string;
    readonly peer: PeerPlace;
}

/** The counters of one kept connection. */
export interface CountedConnection {
    /** Sets the value of the peer's `failureDomainHeader`. */
    setPeerDomain(headerValue: string | undefined): void;
    countCall(procedure: string, messageBytes: number): void;
    countAnswer(procedure: string, messageBytes: number): void;
    /** Adds the bytes of the socket up to now to the totals and forgets it. */
    close(): void;
}

/** The part of a socket that has its byte counts. */
export type CountedSocket = Pick<Socket, "bytesRead" | "bytesWritten">;

/** Counters of the calls of one process. */
export interface CallCounts {
    /** Value of `failureDomainHeader` of this process. Empty if the process has no failure domain. */
    readonly ownDomain: string;
    /** Compares the value of a peer's `failureDomainHeader` with that of this process. */
    locate(headerValue: string | undefined): PeerPlace;
    /** Counts calls that are not sent on a kept connection, and their bytes. */
    add(labels: CallLabels, callCount: number, bytes: CallBytes): void;
    /** Counts the calls on a kept connection, and the bytes of its socket, which are compressed. */
    open(side: "caller" | "server", getSocket: () => CountedSocket | undefined): CountedConnection;
    readMetrics(): readonly MetricReading[];
    /** Returns the fields of a log line about what was counted since the previous call. Undefined if nothing was. */
    takeLogFields(): LogFields | undefined;
}

interface Counter {
    readonly labels: CallLabels;
    calls: number;
    sentBytes: number;
    receivedBytes: number;
    /** Totals at the previous log line. */
    logged: { readonly calls: number; readonly sentBytes: number; readonly receivedBytes: number; };
}

interface OpenConnection {
    readonly getSocket: () => CountedSocket | undefined;
    peer: PeerPlace;
    /** Bytes of the socket that are part of the totals. */
    sentBytes: number;
    receivedBytes: number;
}

/** A faulty peer may invent names of procedures. Those beyond this number are counted together, and so are longer names. */
const maxCounters = 500;
const maxNameLength = 100;
const maxLoggedCounters = 16;
const zeroTotals = { calls: 0, sentBytes: 0, receivedBytes: 0 } as const;
const places: readonly PeerPlace[] = ["sameDomain", "otherDomain", "unknown"];

/** Returns the name under which a call is counted: its procedure, and for commands and queries of control also their kind. */
export function getCallName(path: string, input: unknown): string {
    const kind = (input as { readonly kind?: unknown; } | undefined)?.kind;
    return typeof kind === "string" ? `${path}:${kind}` : path;
}

/** Creates counters at zero. */
export function createCallCounts(failureDomain?: FailureDomainName): CallCounts {
    // The name of a failure domain may have characters that a header may not have.
    const ownDomain = encodeURIComponent(failureDomain ?? "");
    const counters = new Map<string, Counter>();
    const connections = new Set<OpenConnection>();
    const wireTotals: Readonly<Record<PeerPlace, { sentBytes: number; receivedBytes: number; }>> = {
        sameDomain: { sentBytes: 0, receivedBytes: 0 },
        otherDomain: { sentBytes: 0, receivedBytes: 0 },
        unknown: { sentBytes: 0, receivedBytes: 0 },
    };
    let loggedWire: Readonly<Record<PeerPlace, CallBytes>> = structuredClone(wireTotals);
    return {
        ownDomain,
        locate,
        add,
        open(side, getSocket) {
            const connection: OpenConnection = { getSocket, peer: "unknown", sentBytes: 0, receivedBytes: 0 };
            connections.add(connection);
            const count = (procedure: string, callCount: number, isSent: boolean, messageBytes: number) =>
                add({ side, procedure, peer: connection.peer }, callCount, {
                    sentBytes: isSent ? messageBytes : 0,
                    receivedBytes: isSent ? 0 : messageBytes,
                });
            return {
                setPeerDomain(headerValue) {
                    connection.peer = locate(headerValue);
                },
                countCall: (procedure, messageBytes) => count(procedure, 1, side === "caller", messageBytes),
                countAnswer: (procedure, messageBytes) => count(procedure, 0, side === "server", messageBytes),
                close() {
                    if (connections.has(connection)) addWireBytes(connection);
                    connections.delete(connection);
                },
            };
        },
        readMetrics() {
            for (const connection of connections) addWireBytes(connection);
            return [
                ...[...counters.values()].flatMap(readCounter),
                ...places.flatMap(peer => [
                    {
                        name: "lovage_rpc_socket_sent_bytes",
                        help: "bytes sent on kept connections, after compression",
                        value: wireTotals[peer].sentBytes,
                        labels: { peer },
                    },
                    {
                        name: "lovage_rpc_socket_received_bytes",
                        help: "bytes received on kept connections, before decompression",
                        value: wireTotals[peer].receivedBytes,
                        labels: { peer },
                    },
                ]),
            ];
        },
        takeLogFields() {
            for (const connection of connections) addWireBytes(connection);
            const wireFields = Object.fromEntries(places.map(peer => {
                const sentBytes = wireTotals[peer].sentBytes - loggedWire[peer].sentBytes;
                const receivedBytes = wireTotals[peer].receivedBytes - loggedWire[peer].receivedBytes;
                return [`${peer}SocketBytes`, `${sentBytes}/${receivedBytes}`];
            }));
            loggedWire = structuredClone(wireTotals);
            const changes = [...counters.values()].map(takeChange).filter(change => change.calls + change.totalBytes > 0);
            if (changes.length === 0) return undefined;
            changes.sort((a, b) => b.totalBytes - a.totalBytes);
            return { ...wireFields, calls: changes.slice(0, maxLoggedCounters).map(change => change.text).join("; ") };
        },
    };

    function locate(headerValue: string | undefined): PeerPlace {
        if (headerValue === undefined || headerValue === "" || ownDomain === "") return "unknown";
        return headerValue === ownDomain ? "sameDomain" : "otherDomain";
    }

    function add(labels: CallLabels, callCount: number, bytes: CallBytes): void {
        const counter = getCounter(labels);
        counter.calls += callCount;
        counter.sentBytes += bytes.sentBytes;
        counter.receivedBytes += bytes.receivedBytes;
    }

    function getCounter(labels: CallLabels): Counter {
        const key = `${labels.side} ${labels.peer} ${labels.procedure}`;
        const known = counters.get(key);
        if (known !== undefined) return known;
        const isOverLimit = counters.size >= maxCounters || labels.procedure.length > maxNameLength;
        if (isOverLimit && labels.procedure !== "other") return getCounter({ ...labels, procedure: "other" });
        const created: Counter = { labels, calls: 0, sentBytes: 0, receivedBytes: 0, logged: zeroTotals };
        counters.set(key, created);
        return created;
    }

    function addWireBytes(connection: OpenConnection): void {
        const { bytesWritten, bytesRead } = connection.getSocket() ?? { bytesWritten: 0, bytesRead: 0 };
        const total = wireTotals[connection.peer];
        total.sentBytes += bytesWritten - connection.sentBytes;
        total.receivedBytes += bytesRead - connection.receivedBytes;
        connection.sentBytes = bytesWritten;
        connection.receivedBytes = bytesRead;
    }
}

function readCounter(counter: Counter): readonly MetricReading[] {
    const { labels, calls, sentBytes, receivedBytes } = counter;
    const read = (name: string, help: string, value: number) => ({ name, help, value, labels: { ...labels } });
    return [
        read("lovage_rpc_calls", "calls between processes by procedure", calls),
        read("lovage_rpc_message_sent_bytes", "bytes of sent messages by procedure, before compression", sentBytes),
        read("lovage_rpc_message_received_bytes", "bytes of received messages by procedure, after decompression", receivedBytes),
    ];
}

/** Returns what was counted since the previous log line. The text has side, procedure, place of the peer, calls, and bytes sent/received. */
function takeChange(counter: Counter): { readonly calls: number; readonly totalBytes: number; readonly text: string; } {
    const { labels, logged } = counter;
    const calls = counter.calls - logged.calls;
    const sentBytes = counter.sentBytes - logged.sentBytes;
    const receivedBytes = counter.receivedBytes - logged.receivedBytes;
    counter.logged = { calls: counter.calls, sentBytes: counter.sentBytes, receivedBytes: counter.receivedBytes };
    const text = `${labels.side} ${labels.procedure} ${labels.peer} ${calls} ${sentBytes}/${receivedBytes}`;
    return { calls, totalBytes: sentBytes + receivedBytes, text };
}

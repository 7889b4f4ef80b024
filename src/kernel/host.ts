/**
 * The host is the only way to the clock, timers, random numbers, network and disk.
 * `hostNode.ts` holds the real one. The tests have a fake one with virtual time and seeded faults.
 */
import type { TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import type { Address } from "./types.js";

/** Source of the present time. */
export interface Clock {
    /** Monotonic time since an arbitrary start, in milliseconds. */
    nowMs(): number;
    /** Wall clock time since the epoch, in milliseconds. For people to read, never for decisions. */
    wallMs(): number;
}

/** Cancels a timer. Cancelling twice does nothing. */
export type Cancel = () => void;

/** Source of delays. */
export interface Timers {
    /** Runs the callback once after the delay. */
    after(delayMs: number, callback: () => void): Cancel;
}

/** Source of random numbers. */
export interface RandomSource {
    /** Uniform number in [0, 1). */
    nextFloat(): number;
    /** Random identifier that is unique for all practical purposes. */
    nextId(): string;
}

/** One HTTP request as a handler sees it. Header names are lower case. */
export interface HttpRequest {
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Aborted when the other side has gone away. */
    readonly signal: AbortSignal;
}

/** The answering side of one HTTP exchange. */
export interface HttpResponse {
    readonly hasStarted: boolean;
    /** An unframed body ends with the connection, so that the other side cannot take it for proven whole. */
    start(status: number, headers: Readonly<Record<string, string>>, isCloseDelimited?: boolean): void;
    /** Resolves when the other side can take more, so that slow readers slow the writer. */
    write(chunk: Uint8Array): Promise<void>;
    end(): void;
    /** Breaks the connection so that the other side cannot take the answer for whole. */
    abort(): void;
}

/** Serves one HTTP exchange. */
export type HttpHandler = (request: HttpRequest, response: HttpResponse) => Promise<void>;

/** What a process serves on one address. */
export interface ServerOptions {
    readonly address: Address;
    readonly handler: HttpHandler;
    /** Served below `/rpc` to callers that hold the fleet secret. */
    readonly router?: AnyRouter;
    readonly maxBodyBytes: number;
    /** Certificate and key files. Plain HTTP without them. */
    readonly tls?: TlsFiles;
}

/** Files of a TLS server. */
export interface TlsFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
}

/** A server that is listening. */
export interface Listener {
    /** The address that was bound, with the port that the system chose where 0 was asked for. */
    readonly address: Address;
    /** Reads the TLS files again. */
    reloadTls(): Promise<void>;
    /** Closes kept connections that carry no request, and goes on listening. */
    closeIdleConnections(): void;
    close(): Promise<void>;
}

/** One outgoing HTTP request. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Uint8Array;
    readonly signal?: AbortSignal;
}

/** Answer to an outgoing request. Reading the body throws when the answer is cut short. */
export interface IncomingResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: AsyncIterable<Uint8Array>;
    /** True when only the end of the connection tells where the body ends. */
    readonly isCloseDelimited?: boolean;
}

/** Thrown when a connection was refused, so that the request certainly did not arrive. */
export class NotSentError extends Error {
    override readonly name = "NotSentError";
}

/** Access to other processes. */
export interface Network {
    serve(options: ServerOptions): Promise<Listener>;
    request(address: Address, request: OutgoingRequest): Promise<IncomingResponse>;
    /** A tRPC link to the router that another process serves, through a relay where one is named. */
    linkTo(address: Address, relay?: Address): TRPCLink<AnyRouter>;
    /** Connections to backend servers, which get nothing of the fleet's own headers. */
    createBackendConnections(options: BackendConnectionOptions): BackendConnections;
}

/** How connections to backend servers are made. */
export interface BackendConnectionOptions {
    readonly connectTimeoutMs: number;
    /** Connections that this process keeps to one backend server at most. */
    readonly maxConnections: number;
}

/** Kept connections to backend servers. */
export interface BackendConnections {
    /** An aborted signal closes the connection of the request. */
    request(address: Address, request: OutgoingRequest): Promise<IncomingResponse>;
    close(): void;
}

/** Access to files below the process's data folder. */
export interface Disk {
    ensureFolder(folder: string): Promise<void>;
    /** File names in the folder, sorted. */
    list(folder: string): Promise<readonly string[]>;
    read(file: string): Promise<Uint8Array | undefined>;
    append(file: string, data: Uint8Array): Promise<void>;
    write(file: string, data: Uint8Array): Promise<void>;
    truncate(file: string, sizeBytes: number): Promise<void>;
    rename(from: string, to: string): Promise<void>;
    remove(file: string): Promise<void>;
    /** Makes a file's contents durable. */
    sync(file: string): Promise<void>;
    /** Makes the names in a folder durable. */
    syncFolder(folder: string): Promise<void>;
}

/** Severity of a log line. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of a structured log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes short sentences with a fixed prefix for each part. */
export type Logger = Readonly<Record<LogLevel, (message: string, fields?: LogFields) => void>>;

/** Everything that a part may reach outside itself. */
export interface Host {
    readonly clock: Clock;
    readonly timers: Timers;
    readonly random: RandomSource;
    readonly network: Network;
    readonly disk: Disk;
    createLogger(prefix: string): Logger;
}

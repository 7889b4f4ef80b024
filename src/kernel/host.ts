/**
 * Interface to the environment. All access to clocks, timers, random numbers, the network and the disk goes through a host.
 * `hostNode.ts` implements it on Node.js. Tests use a fake host with virtual time and seeded faults.
 */
import type { TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import type { CallCounts } from "./callCounts.js";
import type { HeldBytes } from "./heldBytes.js";
import type { ProcessLimits, ServerKind } from "./processLimits.js";
import type { Address } from "./types.js";

/** Source of the current time. */
export interface Clock {
    /** Monotonic time since an arbitrary start, in milliseconds. */
    nowMs(): number;
    /** Wall clock time since the epoch, in milliseconds. Only for display, never for decisions. */
    wallMs(): number;
}

/** Cancels a timer. Has no effect if the timer has fired or was already cancelled. */
export type Cancel = () => void;

/** Source of timers. */
export interface Timers {
    /** Runs the callback once after the delay. */
    after(delayMs: number, callback: () => void): Cancel;
}

/** Use of the processor by the process. */
export interface Processor {
    /** Time in which the event loop was busy since an arbitrary start. Time for which a busy process waits for a processor is part of it. */
    getBusyMs(): number;
}

/** Source of random numbers. */
export interface RandomSource {
    /** Returns a uniformly distributed number in [0, 1). */
    nextFloat(): number;
    /** Returns a random identifier that is long enough to be unique. */
    nextId(): string;
}

/** An incoming HTTP request. Header names are lower case. */
export interface HttpRequest {
    readonly method: string;
    /** Path including the query. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** Aborted when the client disconnects before the response is complete. */
    readonly signal: AbortSignal;
    /**
     * Time between the acceptance of the connection and the arrival of this request. The time that a new connection waited in the
     * listen queue is not part of it.
     */
    readonly connectionAgeMs: number;
    /**
     * Time between the arrival of the request, as far as it is known, and the call of its handler. If the head of a request was read in the first
     * turn of the event loop that could read it, it was there when its connection was accepted or came in the turn that accepted it, so the time
     * counts from the acceptance: at most that turn too long. Otherwise it counts from when the head was read, because the client may have sent
     * it later. The time before that, in the listen queue or unread on an open connection, is not known.
     */
    readonly waitedMs: number;
}

/** An outgoing HTTP response. */
export interface HttpResponse {
    readonly hasStarted: boolean;
    /** The end of a close-delimited body is marked only by the end of the connection, so the client cannot verify that it is complete. */
    start(status: number, headers: Readonly<Record<string, string>>, isCloseDelimited?: boolean): void;
    /** Returns a promise if the client cannot receive more data at once, which resolves when it can, so that writers follow its backpressure. */
    write(chunk: Uint8Array): Promise<void> | undefined;
    end(): void;
    /** Breaks the connection, so that the client does not mistake the response for a complete one. */
    abort(): void;
}

/** Handles one HTTP request. */
export type HttpHandler = (request: HttpRequest, response: HttpResponse) => Promise<void>;

/** Options of a server on one address. */
export interface ServerOptions {
    readonly address: Address;
    /** Who connects to it, which decides its share of the descriptors and of the memory. Default: callers. */
    readonly kind?: ServerKind;
    readonly handler: HttpHandler;
    /** Served under `/rpc` to callers that present the fleet secret. */
    readonly router?: AnyRouter;
    readonly maxBodyBytes: number;
    /** A lower limit of a body that may change, such as that of the configuration. Asked for each request. */
    readonly getMaxBodyBytes?: () => number;
    /** Without it, the server refuses such requests itself. */
    readonly refuseBody?: BodyRefusalHandler;
    /** Certificate and key files. Plain HTTP is used without them. */
    readonly tls?: TlsFiles;
    /**
     * Time for which new connections may wait in the listen queue while it is never empty. The connections in it are then reset. Without it,
     * they wait until the client gives up.
     */
    readonly maxAcceptWaitMs?: number;
}

/** Why the body of a request is not read to its end. */
export type BodyRefusal = "bodyTooLarge" | "noRoomForBody";

/** Refuses a request without its body. The connection is closed after the response. */
export type BodyRefusalHandler = (request: HttpRequest, refusal: BodyRefusal, response: HttpResponse) => void;

/** Certificate and key files of a TLS server. */
export interface TlsFiles {
    readonly certificateFile: string;
    readonly keyFile: string;
}

/** A server that is listening. */
export interface Listener {
    /** The bound address, with the port that the system assigned if port 0 was requested. */
    readonly address: Address;
    /** Reads the TLS files again. */
    reloadTls(): Promise<void>;
    /** Closes keep-alive connections without a request in progress. The server keeps listening. */
    closeIdleConnections(): void;
    /** Number of times that the connections in the listen queue were reset. */
    getQueueResets(): number;
    /** Number of connections that were closed to make room for others, or because there was no room for them. */
    getRefusedConnections(): number;
    /** What the process holds for requests of the kind that the server takes. */
    readonly held: Pick<HeldBytes, "getTotalBytes" | "getEndedCount">;
    close(): Promise<void>;
}

/** An outgoing HTTP request. */
export interface OutgoingRequest {
    readonly method: string;
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: Uint8Array;
    readonly signal?: AbortSignal;
    /**
     * Identifier that answers repeat. Connections to backend servers send no request on a connection on which one with the same id was refused,
     * because a copy of that refusal could not be told from the answer.
     */
    readonly requestId?: string;
    /** Called if bytes arrive after the complete response. Connections to backend servers report this and are closed then. */
    readonly onSurplus?: () => void;
    /** Called when the request is handed to an established connection. Connections to backend servers report this. */
    readonly onSent?: (connection: SentConnection) => void;
}

/** Connection that a request was handed to. */
export interface SentConnection {
    readonly ageMs: number;
    /** Number of answers that came on it before. */
    readonly earlierAnswers: number;
    /** Port at this end, which tells it from other connections to the same address. */
    readonly localPort: number | undefined;
}

/** Takes a part of a body. Returns a promise if it can take no more until that resolves. */
export type TakePart = (part: Uint8Array) => Promise<void> | undefined;

/** Response to an outgoing request. Reading the body throws if the response is truncated. */
export interface IncomingResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: AsyncIterable<Uint8Array>;
    /**
     * Reads the body instead of `body`, with no promise for a part that is taken at once: calls `take` with each part, and waits for what it
     * returns. Settles like the reading of `body`. An error of `take` closes the connection.
     */
    readonly forEachPart?: (take: TakePart) => Promise<void>;
    /** True if the end of the body is marked only by the end of the connection. */
    readonly isCloseDelimited?: boolean;
    /** True if no request was sent on the connection before this one, so that the response cannot be a copy of an earlier one. */
    readonly isFirstOnConnection?: boolean;
    /** Records that the response refuses its request. Connections to backend servers have this. */
    readonly recordRefusal?: () => void;
}

/** Thrown if a request failed before any part of it was handed to an established connection. */
export class NotSentError extends Error {
    override readonly name = "NotSentError";
}

/** Communication with other processes. */
export interface Network {
    /** Counts of the calls to and from other processes. */
    readonly callCounts: CallCounts;
    /** What calls of other processes hold. */
    readonly heldCalls: Pick<HeldBytes, "getTotalBytes" | "getEndedCount">;
    serve(options: ServerOptions): Promise<Listener>;
    request(address: Address, request: OutgoingRequest): Promise<IncomingResponse>;
    /** Returns a tRPC link to the router of another process, through a relay if one is given. */
    linkTo(address: Address, relay?: Address): TRPCLink<AnyRouter>;
    /** Creates connections to backend servers. The fleet's own headers are not sent on them. */
    createBackendConnections(options: BackendConnectionOptions): BackendConnections;
}

/** Options of connections to backend servers. */
export interface BackendConnectionOptions {
    readonly connectTimeoutMs: number;
    /** Maximum number of connections from this process to one backend server. */
    readonly maxConnections: number;
}

/** Keep-alive connections to backend servers. */
export interface BackendConnections {
    /** Sends a request. Aborting its signal closes the connection that carries it. */
    request(address: Address, request: OutgoingRequest): Promise<IncomingResponse>;
    /** Opens a connection and closes it again. Tells a server that has ended from one that only closed a connection. */
    canConnect(address: Address): Promise<boolean>;
    close(): void;
}

/** Access to files in the process's data folder. */
export interface Disk {
    ensureFolder(folder: string): Promise<void>;
    /** Returns the file names in the folder, sorted. */
    list(folder: string): Promise<readonly string[]>;
    read(file: string): Promise<Uint8Array | undefined>;
    append(file: string, data: Uint8Array): Promise<void>;
    write(file: string, data: Uint8Array): Promise<void>;
    truncate(file: string, sizeBytes: number): Promise<void>;
    rename(from: string, to: string): Promise<void>;
    remove(file: string): Promise<void>;
    /** Flushes a file's contents to durable storage. */
    sync(file: string): Promise<void>;
    /** Flushes a folder's entries to durable storage, which makes created and renamed files durable. */
    syncFolder(folder: string): Promise<void>;
}

/** Severity of a log record. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of a structured log record. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log records of one component. */
export type Logger = Readonly<Record<LogLevel, (message: string, fields?: LogFields) => void>>;

/** The environment of a process. */
export interface Host {
    /** What the process may hold. */
    readonly limits: ProcessLimits;
    readonly clock: Clock;
    readonly timers: Timers;
    readonly processor: Processor;
    readonly random: RandomSource;
    readonly network: Network;
    readonly disk: Disk;
    /** Creates a logger for the component that the prefix names. */
    createLogger(prefix: string): Logger;
}

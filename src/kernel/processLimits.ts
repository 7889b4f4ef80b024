/** What a process may hold, derived from the memory and the descriptors that its settings allow. */

/** Limits of one process, as its settings state them. */
export interface ProcessAllowance {
    readonly memoryMb: number;
    /** Descriptors of files, sockets and pipes together. */
    readonly maxDescriptors: number;
}

/** Who connects to a server. Each kind has a share of the descriptors of its own, so that none takes those of the others. */
export type ServerKind = "callers" | "administration" | "readiness" | "fleet";

/** What a process may hold. */
export interface ProcessLimits {
    /** Bytes held for callers: their connections, and requests until they are answered. */
    readonly maxRequestBytes: number;
    /** Bytes held for answers of backend servers until they are written. */
    readonly maxAnswerBytes: number;
    /** Bytes held for calls of other processes. */
    readonly maxCallBytes: number;
    /** Largest message on a WebSocket connection between processes, in bytes after it is inflated. */
    readonly maxSocketMessageBytes: number;
    /** Largest body that servers of a kind take. */
    readonly maxBodyBytes: Readonly<Record<ServerKind, number>>;
    /** Number of connections to backend servers. */
    readonly maxBackendConnections: number;
    /** Number of connections that servers of a kind accept. */
    readonly maxConnections: Readonly<Record<ServerKind, number>>;
}

const mib = 1024 * 1024;
/** Used where the settings state no limits. */
export const defaultAllowance: ProcessAllowance = { memoryMb: 384, maxDescriptors: 4_096 };
/** Memory of the runtime and the program, with what they no longer use and have not freed yet. */
const runtimeBytes = 144 * mib;
/** Requests, answers and calls have an equal part of the rest each. */
const partCount = 3;
/** Room for the largest answer, or two of the largest bodies, of a VM with little memory. */
const minPartBytes = 10 * mib;
const maxPartBytes = 48 * mib;
/** Messages of several connections are inflated at once, and each takes several times its size until it is parsed. */
const messageShare = 1 / 4;
/** A change of the configuration becomes part of a message between control VMs. */
const changeShare = messageShare / 2;
/** Descriptors for files and for what the runtime opens itself. */
const reservedDescriptors = 200;
/** Shares of the other descriptors. No process has servers of all kinds. What its servers and backend connections leave is for other connections. */
const connectionShares: Readonly<Record<ServerKind, number>> = { callers: 0.4, administration: 0.4, readiness: 0.03, fleet: 0.15 };
/** Each request of a caller is on one connection to a backend server at a time. */
const backendShare = connectionShares.callers;
const minConnections = 8;

/** Returns what a process with these settings may hold. */
export function getProcessLimits({ memoryMb, maxDescriptors }: ProcessAllowance): ProcessLimits {
    const partBytes = Math.min(maxPartBytes, Math.max(minPartBytes, Math.floor((memoryMb * mib - runtimeBytes) / partCount)));
    const descriptors = Math.max(0, maxDescriptors - reservedDescriptors);
    const takeShare = (share: number) => Math.max(minConnections, Math.floor(descriptors * share));
    return {
        maxRequestBytes: partBytes,
        maxAnswerBytes: partBytes,
        maxCallBytes: partBytes,
        maxSocketMessageBytes: Math.floor(partBytes * messageShare),
        maxBodyBytes: { callers: partBytes, administration: Math.floor(partBytes * changeShare), readiness: partBytes, fleet: partBytes },
        maxBackendConnections: takeShare(backendShare),
        maxConnections: {
            callers: takeShare(connectionShares.callers),
            administration: takeShare(connectionShares.administration),
            readiness: takeShare(connectionShares.readiness),
            fleet: takeShare(connectionShares.fleet),
        },
    };
}

/** The production host: clock, timers and files of Node.js, its HTTP server, the undici client, and WebSocket connections for calls. */
import { randomBytes, randomInt } from "node:crypto";
import { promises as fs } from "node:fs";
import { dirname } from "node:path";
import { Agent, request as undiciRequest } from "undici";
import { createNodeBackendConnections, flattenHeaders, toNetworkError } from "./backendConnections.js";
import { createCallCounts } from "./callCounts.js";
import { createConnector, leavePollPhase } from "./connector.js";
import { fleetSecretHeader } from "./fleetSecret.js";
import { createHeldBytes } from "./heldBytes.js";
import type { Clock, Disk, Host, IncomingResponse, Logger, Network, Timers } from "./host.js";
import { serve } from "./httpServer.js";
import { defaultAllowance, getProcessLimits } from "./processLimits.js";
import type { ProcessAllowance, ProcessLimits } from "./processLimits.js";
import { createReadPacer } from "./readPacer.js";
import { createHttpLink } from "./rpcLinks.js";
import { createRpcSockets } from "./rpcSockets.js";
import { watchSending } from "./sendWatch.js";
import type { FailureDomainName } from "./types.js";

/** Options of the production host. */
export interface NodeHostOptions {
    /** Secret shared by all processes of the fleet. */
    readonly fleetSecret: string;
    readonly createLogger: (prefix: string) => Logger;
    /** Limits of the process. Default: those of a small VM. */
    readonly allowance?: ProcessAllowance;
    /** Failure domain of the process, for the counts of its calls. */
    readonly failureDomain?: FailureDomainName;
}

const connectTimeoutMs = 2_000;
const keepAliveTimeoutMs = 60_000;
const countLogIntervalMs = 10_000;
const randomRange = 2 ** 47;

/** The system clock. Its monotonic time counts from the start of the process. */
export const nodeClock: Clock = { nowMs: () => performance.now(), wallMs: () => Date.now() };

const nodeTimers: Timers = {
    after(delayMs, callback) {
        const timer = setTimeout(callback, delayMs);
        return () => clearTimeout(timer);
    },
};

/** Creates the production host. */
export function createNodeHost(options: NodeHostOptions): Host {
    const limits = getProcessLimits(options.allowance ?? defaultAllowance);
    return {
        limits,
        clock: nodeClock,
        timers: nodeTimers,
        processor: { getBusyMs: () => performance.eventLoopUtilization().active },
        random: {
            nextFloat: () => randomInt(randomRange) / randomRange,
            nextId: () => randomBytes(12).toString("base64url"),
        },
        network: createNodeNetwork(options, limits),
        disk: createNodeDisk(),
        createLogger: options.createLogger,
    };
}

function createNodeNetwork({ fleetSecret, createLogger, failureDomain }: NodeHostOptions, limits: ProcessLimits): Network {
    const pool = new Agent({
        connect: createConnector({ timeout: connectTimeoutMs }),
        keepAliveTimeout: keepAliveTimeoutMs,
        connections: 256,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const log = createLogger("network");
    const counts = createCallCounts(failureDomain);
    setInterval(() => {
        const fields = counts.takeLogFields();
        if (fields !== undefined) log.info("Calls between processes: bytes sent/received.", fields);
    }, countLogIntervalMs).unref();
    const sockets = createRpcSockets({ fleetSecret, clock: nodeClock, log, counts, connectTimeoutMs });
    const serverLog = createLogger("httpServer");
    const backendContext = {
        clock: nodeClock,
        log: createLogger("backendConnections"),
        maxTotalConnections: limits.maxBackendConnections,
    };
    const serverContext = {
        fleetSecret,
        clock: nodeClock,
        log: serverLog,
        counts,
        limits,
        pacer: createReadPacer({
            clock: nodeClock,
            timers: nodeTimers,
            log: serverLog,
            scheduleTurnEnd: callback => void setImmediate(callback),
        }),
        heldRequests: createHeldBytes(limits.maxRequestBytes, createLogger("heldRequests")),
        heldCalls: createHeldBytes(limits.maxCallBytes, createLogger("heldCalls")),
    };
    return {
        callCounts: counts,
        heldCalls: serverContext.heldCalls,
        serve: options => serve(options, serverContext),
        async request(address, request): Promise<IncomingResponse> {
            const sending = watchSending(request.signal);
            try {
                await leavePollPhase();
                const response = await undiciRequest(`http://${address}${request.path}`, {
                    dispatcher: pool.compose(sending.interceptor),
                    method: request.method as "GET",
                    headers: { ...request.headers, [fleetSecretHeader]: fleetSecret },
                    body: request.body,
                    signal: request.signal,
                });
                return { status: response.statusCode, headers: flattenHeaders(response.headers), body: response.body };
            }
            catch (error) {
                throw toNetworkError(error, address, sending.mayBeSent);
            }
        },
        linkTo(address, relay) {
            const httpLink = createHttpLink(address, pool, fleetSecret, counts, relay);
            return relay === undefined ? sockets.linkTo(address, httpLink) : httpLink;
        },
        createBackendConnections: options => createNodeBackendConnections(options, backendContext),
    };
}

function createNodeDisk(): Disk {
    return {
        async ensureFolder(folder) {
            await fs.mkdir(folder, { recursive: true });
            await syncPath(dirname(folder));
        },
        async list(folder) {
            return (await fs.readdir(folder)).sort();
        },
        async read(file) {
            try {
                return await fs.readFile(file);
            }
            catch (error) {
                if ((error as NodeJS.ErrnoException).code === "ENOENT") return undefined;
                throw error;
            }
        },
        append: (file, data) => fs.appendFile(file, data),
        write: (file, data) => fs.writeFile(file, data),
        truncate: (file, sizeBytes) => fs.truncate(file, sizeBytes),
        rename: (from, to) => fs.rename(from, to),
        remove: file => fs.rm(file, { force: true }),
        sync: syncPath,
        syncFolder: syncPath,
    };
}

async function syncPath(path: string): Promise<void> {
    const handle = await fs.open(path, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

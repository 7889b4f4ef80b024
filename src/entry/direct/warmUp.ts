/**
 * Runs sample requests through a second gateway inside the process before callers send any, so that the runtime has loaded and compiled the
 * request path by then. On a small share of a core the first requests of a new process would otherwise each take a good part of a second.
 *
 * The second gateway has a configuration, tokens and a backend server of its own, on loopback connections. Nothing of it leaves the process.
 */
import type { ControlClient, ControlOutcome } from "../../kernel/controlClient.js";
import { getSha256 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { Host, HttpHandler, Logger } from "../../kernel/host.js";
import type { CommandInputs, CommandResults, ConfigurationView } from "../../kernel/messages.js";
import { getSetDigest } from "../../kernel/objects.js";
import type { ConfigurationObject, HttpRouteObject } from "../../kernel/objects.js";
import { maxMessageBytes } from "../../kernel/readLimits.js";
import { getErrorText, readAll, sleep } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import { createGateway } from "./gateway.js";
import type { GatewayOptions } from "./gateway.js";
import type { DirectProtocol, RequestHead } from "./types.js";

/** Options of a warm-up. */
export interface WarmUpOptions {
    readonly protocol: DirectProtocol;
    readonly identity: GatewayOptions["identity"];
    readonly leasePacing?: GatewayOptions["leasePacing"];
    /** True as soon as callers send requests, which need the processor more. */
    readonly isOver: () => boolean;
}

/** Number of sample requests that were answered. */
export interface WarmUpResult {
    readonly answered: number;
    readonly failed: number;
}

/** By then the runtime has compiled most of the path. Each request more costs the whole fleet processor time. */
const maxRequests = 80;
const requestTimeoutMs = 4_000;
const minPauseMs = 2;
const eventsPerStream = 6;
const maxBodyBytes = 64 * 1024;
const sampleHost = "warm-up";
const sampleKey = "warm-up-key";
const samplePool = "warm-up-pool";
const longestMs = 60_000;

const silentLogger: Logger = { debug: ignore, info: ignore, warn: ignore, error: ignore };

/** Runs sample requests until there were enough or the warm-up is over. */
export async function warmUp(realHost: Host, options: WarmUpOptions): Promise<WarmUpResult> {
    const log = realHost.createLogger("warmUp");
    // The samples are no requests of callers, so they leave no lines in the log.
    const host: Host = { ...realHost, createLogger: () => silentLogger };
    const startedAtMs = host.clock.nowMs();
    const server = await host.network.serve({
        address: "127.0.0.1:0",
        kind: "callers",
        handler: createSampleServer(options.protocol),
        maxBodyBytes,
    });
    const connections = host.network.createBackendConnections({ connectTimeoutMs: requestTimeoutMs, maxConnections: 2 });
    const gateway = createGateway(host, {
        ...options,
        identity: { ...options.identity, incarnation: sampleHost },
        control: createSampleControl(host, server.address),
        connections,
        retryRules: { windowMs: 10_000, ratio: 1, slack: maxRequests },
        stopTimeoutMs: 0,
        onServers: ignore,
        onVoterAddresses: ignore,
        onRefusing: ignore,
    });
    const front = await host.network.serve({ address: "127.0.0.1:0", kind: "callers", handler: gateway.handle, maxBodyBytes });
    gateway.start();
    const result = { answered: 0, failed: 0 };
    try {
        while (result.answered + result.failed < maxRequests && !options.isOver()) {
            const sentAtMs = host.clock.nowMs();
            const isAnswered = await sendSample(host, front.address, options.protocol, result.answered + result.failed);
            if (isAnswered) result.answered++;
            else result.failed++;
            // Leaves half of the time to everything else that the process does.
            await sleep(host.timers, Math.max(minPauseMs, host.clock.nowMs() - sentAtMs));
        }
    }
    catch (error) {
        log.warn("The warm-up failed.", { detail: getErrorText(error) });
    }
    await gateway.stop();
    connections.close();
    front.closeIdleConnections();
    await Promise.all([front.close(), server.close()]);
    log.info("The request path is warmed up.", { ...result, tookMs: Math.round(host.clock.nowMs() - startedAtMs) });
    return result;
}

function ignore(): void {}

async function sendSample(host: Host, address: Address, protocol: DirectProtocol, number: number): Promise<boolean> {
    const isStream = number % 2 === 0;
    const head: RequestHead = {
        requestId: `${sampleHost}-${number}`,
        host: sampleHost,
        timeoutMs: requestTimeoutMs,
        accountKey: sampleKey,
        generation: isStream ? { promptTokens: 2_000, maxCompletionTokens: 100 } : undefined,
        promptParts: isStream
            ? [{ partId: "a0", tokens: 1_000 }, { partId: `b${number % 8}`, tokens: 500 }, { partId: `c${number}`, tokens: 500 }]
            : [],
        passthroughHeaders: {},
    };
    try {
        const reply = await host.network.request(address, {
            method: "POST",
            path: isStream ? "/stream/sample" : "/plain/sample",
            headers: protocol.createSampleRequest(head),
            body: Buffer.alloc(1_000),
        });
        await readAll(reply.body, maxMessageBytes.sampleAnswer);
        return reply.status === 200;
    }
    catch {
        return false;
    }
}

function createSampleServer(protocol: DirectProtocol): HttpHandler {
    return async (request, response) => {
        const isStream = request.path.startsWith("/stream/");
        response.start(200, {
            ...protocol.createSampleReply(request.headers),
            "content-type": isStream ? "text/event-stream" : "text/plain",
        });
        for (let id = 1; isStream && id <= eventsPerStream; id++) await response.write(Buffer.from(`id: ${id}\ndata: sample\n\n`));
        if (!isStream) await response.write(Buffer.alloc(800));
        response.end();
    };
}

function createSampleControl(host: Host, serverAddress: Address): ControlClient {
    const server: BackendServerRecord = {
        backendServer: "warm-up-server",
        pool: samplePool,
        address: serverAddress,
        failureDomain: "",
        softwareVersion: "",
        maxRunning: 64,
        state: "ready",
        coldLeftMs: 0,
        bornMs: 0,
        sequence: 1,
        isSilent: false,
    };
    let watches = 0;
    const granted = new Map<string, number>();
    return {
        time: { observe: ignore, getUpperBoundMs: () => 0, isCertainlyBefore: () => true },
        submit: async (kind, input) =>
            kind === "leases.renew" ? grantAll(input as CommandInputs["leases.renew"], granted) : { kind: "unreachable" },
        query: async kind => kind === "control.status" ? createDone({ version: 1 }) : { kind: "unreachable" },
        heartbeat: async () => ({ kind: "unreachable" }),
        async watch({ version, timeoutMs }) {
            const reply = { revision: 1, recalledBudgets: [], isConnected: true, members: [] };
            if (version === 0) return { ...reply, configuration: createSampleConfiguration() };
            await sleep(host.timers, timeoutMs);
            return reply;
        },
        async watchDirectory({ timeoutMs }) {
            if (watches++ > 0) await sleep(host.timers, timeoutMs);
            return { incarnation: sampleHost, revision: 1, servers: [server], watchers: [], watcherCount: 1, isConnected: true };
        },
        callEachMember: () => [],
        getWatchedAddress: () => undefined,
        getCallCounts: () => ({}),
    };
}

function createDone<T>(result: unknown): ControlOutcome<T> {
    return { kind: "done", index: 1, result: result as T };
}

/** Grants all that is wanted, on top of the tokens granted before by lease. */
function grantAll<T>({ leases }: CommandInputs["leases.renew"], granted: Map<string, number>): ControlOutcome<T> {
    for (const { leaseId, wantTokens, starvingTokens } of leases) {
        granted.set(leaseId, (granted.get(leaseId) ?? 0) + wantTokens + starvingTokens);
    }
    const result: CommandResults["leases.renew"] = {
        grants: leases.map(({ leaseId }) => ({
            leaseId,
            outcome: "granted",
            controlTimeMs: 0,
            grantedTokens: granted.get(leaseId) ?? 0,
            expiresAtMs: longestMs,
            recallTokens: 0,
            freeTokens: Number.MAX_SAFE_INTEGER,
        })),
    };
    return createDone(result);
}

function createSampleConfiguration(): ConfigurationView {
    const account = {
        kind: "clientAccount",
        name: sampleHost,
        keyDigests: [getSha256(sampleKey)],
        budget: sampleHost,
        policy: sampleHost,
    } as const;
    const objects: readonly ConfigurationObject[] = [account, createSampleRoute("stream"), createSampleRoute("plain")];
    return { version: 1, digest: getSetDigest(objects), objects, quarantined: [] };
}

function createSampleRoute(name: "stream" | "plain"): HttpRouteObject {
    return {
        kind: "httpRoute",
        name,
        host: sampleHost,
        pathPrefix: `/${name}/`,
        targets: [{ pool: samplePool, weight: 1 }],
        repeat: name === "stream" ? "stream" : "idempotent",
        timeoutMs: requestTimeoutMs,
        latencyObjectiveMs: requestTimeoutMs,
        priority: 0,
        maxAttempts: 1,
        isPublic: false,
    };
}

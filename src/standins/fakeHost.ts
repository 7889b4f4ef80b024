/**
 * Deterministic simulation of hosts on one virtual clock, with faults drawn from a seed: delay, loss, duplication and reordering
 * of calls, partitions, crashes, and truncated or lost writes. The code under test runs on them as on real hosts.
 */
import type { TRPCLink } from "@trpc/client";
import { TRPCClientError } from "@trpc/client";
import { callTRPCProcedure } from "@trpc/server";
import type { AnyRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createCallCounts } from "../kernel/callCounts.js";
import { NotSentError } from "../kernel/host.js";
import type { Host, HttpRequest, HttpResponse, IncomingResponse, Logger, Network, OutgoingRequest, ServerOptions } from "../kernel/host.js";
import { defaultAllowance, getProcessLimits } from "../kernel/processLimits.js";
import { createFakeDisk } from "./fakeDisk.js";
import type { FakeDisk } from "./fakeDisk.js";
import { createPipe } from "./fakePipe.js";
import { createTimerHeap } from "./timerHeap.js";

/** Network faults. Delays apply to all traffic, loss and duplication to RPC calls only. */
export interface NetworkFaults {
    readonly lossProbability: number;
    readonly duplicationProbability: number;
    readonly minDelayMs: number;
    readonly maxDelayMs: number;
}

/** A simulated VM. It runs one process at a time, and its disk persists across them. */
export interface FakeVm {
    readonly ip: string;
    /** Host of the current process. */
    readonly host: Host;
    readonly disk: FakeDisk;
    /** Kills the process: its timers never fire, its connections break, and unsynced writes may be lost. */
    crash(): void;
    /** Kills the process without losing unsynced writes, and returns the host for the next process. */
    restart(): Host;
    /** Pauses the process, as a hypervisor does. Its timers, RPC calls and HTTP responses wait until the end. */
    freeze(durationMs: number): void;
    /** Models a computation of the process: its clock moves on, and everything else that it does waits until the end. */
    compute(durationMs: number): void;
}

/** The simulated VMs, their network and their clock. */
export interface Simulation {
    readonly random: () => number;
    nowMs(): number;
    createVm(ip: string): FakeVm;
    setFaults(faults: Partial<NetworkFaults>): void;
    /** Blocks traffic in both directions between each pair for which `isCut` returns true. */
    setPartition(isCut: (fromIp: string, toIp: string) => boolean): void;
    /** Removes the partition. */
    healPartition(): void;
    /** Advances the clock and runs the timers that become due. */
    advance(durationMs: number): Promise<void>;
    /** Advances the clock until the promise settles, and returns its value. Throws after `maxMs` of virtual time. */
    runUntil<T>(promise: Promise<T>, maxMs?: number): Promise<T>;
    readonly logLines: string[];
}

/** State of one process on a VM. */
interface FakeProcess {
    isAlive: boolean;
    /** Until this time the timers, RPC calls and HTTP responses of the process wait. */
    frozenUntilMs: number;
    /** Until this time the process computes. Its clock shows this time already. */
    computesUntilMs: number;
    /** Sum of the durations of its computations. */
    busyMs: number;
    /** Called when the process is killed. */
    readonly onExit: Set<() => void>;
}

interface FakeServer {
    readonly options: ServerOptions;
    readonly owner: FakeProcess;
}

const connectTimeoutMs = 2_000;
/** Time after which a connection is reset if a partition or a pause prevents delivery. */
const blockedConnectionTimeoutMs = 30_000;
const blockedRetryIntervalMs = 50;
const defaultFaults: NetworkFaults = { lossProbability: 0, duplicationProbability: 0, minDelayMs: 0.3, maxDelayMs: 1.5 };

/** Creates a seeded generator of uniform numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/** Creates a simulation without VMs. */
export function createSimulation(seed: number): Simulation {
    const random = createRandom(seed);
    const timers = createTimerHeap();
    const servers = new Map<string, FakeServer>();
    const logLines: string[] = [];
    let faults = defaultFaults;
    let isCut: (fromIp: string, toIp: string) => boolean = () => false;
    let nowMs = 0;

    return {
        random,
        logLines,
        nowMs: () => nowMs,
        createVm,
        setFaults(changedFaults) {
            faults = { ...faults, ...changedFaults };
        },
        setPartition(isPairCut) {
            isCut = isPairCut;
        },
        healPartition() {
            isCut = () => false;
        },
        advance,
        async runUntil(promise, maxMs = 600_000) {
            let isSettled = false;
            const settledPromise = promise.finally(() => {
                isSettled = true;
            });
            settledPromise.catch(() => undefined);
            const endMs = nowMs + maxMs;
            await flushPromises();
            while (!isSettled && nowMs < endMs && timers.size() > 0) await runNext(endMs);
            if (!isSettled) throw new Error(`the promise did not settle within ${maxMs} ms of virtual time`);
            return settledPromise;
        },
    };

    async function advance(durationMs: number): Promise<void> {
        const endMs = nowMs + durationMs;
        await flushPromises();
        while (timers.size() > 0 && timers.peek()!.atMs <= endMs) await runNext(endMs);
        nowMs = endMs;
    }

    async function runNext(endMs: number): Promise<void> {
        const next = timers.pop()!;
        if (next.isCancelled) return;
        if (next.atMs > endMs) {
            nowMs = endMs;
            timers.push(next);
            return;
        }
        nowMs = Math.max(nowMs, next.atMs);
        next.run();
        await flushPromises();
    }

    function after(delayMs: number, run: () => void): () => void {
        const timer = timers.add(nowMs + Math.max(0, delayMs), run);
        return () => {
            timer.isCancelled = true;
        };
    }

    function createVm(ip: string): FakeVm {
        const disk = createFakeDisk(random);
        let currentProcess = createProcess();
        const vm = { host: createHost(ip, currentProcess, disk) };
        const kill = () => {
            currentProcess.isAlive = false;
            for (const listener of currentProcess.onExit) listener();
        };
        return {
            ip,
            get host() {
                return vm.host;
            },
            disk,
            crash() {
                kill();
                disk.crash();
            },
            freeze(durationMs) {
                currentProcess.frozenUntilMs = nowMs + durationMs;
            },
            compute(durationMs) {
                currentProcess.computesUntilMs = getProcessTimeMs(currentProcess) + durationMs;
                currentProcess.busyMs += durationMs;
                currentProcess.frozenUntilMs = Math.max(currentProcess.frozenUntilMs, currentProcess.computesUntilMs);
            },
            restart() {
                kill();
                currentProcess = createProcess();
                vm.host = createHost(ip, currentProcess, disk);
                return vm.host;
            },
        };
    }

    function createHost(ip: string, owner: FakeProcess, disk: FakeDisk): Host {
        const createLogger = (prefix: string): Logger => {
            const write = (level: string) => (message: string, fields?: object) => {
                if (logLines.length < maxLogLines) {
                    logLines.push(`${nowMs.toFixed(1)} ${ip} ${level} ${prefix}: ${message} ${JSON.stringify(fields ?? {})}`);
                }
            };
            return { debug: () => undefined, info: write("info"), warn: write("warn"), error: write("error") };
        };
        return {
            limits: getProcessLimits(defaultAllowance),
            clock: { nowMs: () => getProcessTimeMs(owner), wallMs: () => 1_700_000_000_000 + getProcessTimeMs(owner) },
            timers: {
                after: (delayMs, callback) => after(getProcessTimeMs(owner) - nowMs + delayMs, () => runWhenUnfrozen(owner, callback)),
            },
            processor: { getBusyMs: () => owner.busyMs },
            random: {
                nextFloat: random,
                nextId: () => Array.from({ length: 3 }, () => Math.floor(random() * 2 ** 32).toString(36).padStart(7, "0")).join(""),
            },
            network: createNetwork(ip, owner),
            disk: disk.createDisk(() => owner.isAlive),
            createLogger,
        };
    }

    function getProcessTimeMs(owner: FakeProcess): number {
        return Math.max(nowMs, owner.computesUntilMs);
    }

    // Drops the callback if the process has been killed, and delays it while the process is frozen.
    function runWhenUnfrozen(owner: FakeProcess, run: () => void): void {
        if (!owner.isAlive) return;
        if (nowMs >= owner.frozenUntilMs) return run();
        after(owner.frozenUntilMs - nowMs, () => runWhenUnfrozen(owner, run));
    }

    function getDelayMs(): number {
        return faults.minDelayMs + random() * (faults.maxDelayMs - faults.minDelayMs);
    }

    function isBlocked(fromIp: string, toIp: string): boolean {
        return isCut(fromIp, toIp) || isCut(toIp, fromIp);
    }

    function findServer(address: string): FakeServer | undefined {
        const server = servers.get(address);
        return server?.owner.isAlive === true ? server : undefined;
    }

    function createNetwork(ip: string, owner: FakeProcess): Network {
        return {
            callCounts: createCallCounts(),
            heldCalls: { getTotalBytes: () => 0, getEndedCount: () => 0 },
            async serve(options) {
                servers.set(options.address, { options, owner });
                return {
                    address: options.address,
                    reloadTls: () => Promise.resolve(),
                    closeIdleConnections: () => undefined,
                    getQueueResets: () => 0,
                    getRefusedConnections: () => 0,
                    held: { getTotalBytes: () => 0, getEndedCount: () => 0 },
                    async close() {
                        servers.delete(options.address);
                    },
                };
            },
            request: (address, request) => sendRequest(ip, owner, address, request),
            linkTo: (address, relay) => createLink(ip, owner, address, relay),
            createBackendConnections: () => ({
                request: (address, request) => sendRequest(ip, owner, address, request),
                canConnect: address => canConnect(ip, owner, address),
                close: () => undefined,
            }),
        };
    }

    function canConnect(fromIp: string, caller: FakeProcess, address: string): Promise<boolean> {
        return new Promise(resolve => {
            const isCutOff = isBlocked(fromIp, getIp(address));
            after(isCutOff ? connectTimeoutMs : 2 * getDelayMs(), () => {
                if (caller.isAlive) resolve(!isCutOff && findServer(address) !== undefined);
            });
        });
    }

    function sendRequest(fromIp: string, caller: FakeProcess, address: string, request: OutgoingRequest): Promise<IncomingResponse> {
        return new Promise((resolve, reject) => {
            const runIfCallerAlive = (action: () => void) => caller.isAlive && action();
            request.signal?.addEventListener("abort", () => runIfCallerAlive(() => reject(new Error("the request was aborted"))));
            const toIp = getIp(address);
            if (isBlocked(fromIp, toIp)) {
                after(connectTimeoutMs, () => runIfCallerAlive(() => reject(new NotSentError(`connection to ${address} timed out`))));
                return;
            }
            after(getDelayMs(), () => {
                const server = findServer(address);
                if (server === undefined) return runIfCallerAlive(() => reject(new NotSentError(`connection to ${address} refused`)));
                request.onSent?.({ ageMs: 0, earlierAnswers: 0, localPort: undefined });
                const exchange = createExchange(fromIp, toIp, caller, server, request, resolve, reject);
                server.options.handler(exchange.request, exchange.response).catch(() => exchange.response.abort());
            });
        });
    }

    function createExchange(
        fromIp: string,
        toIp: string,
        caller: FakeProcess,
        server: FakeServer,
        outgoing: OutgoingRequest,
        resolve: (reply: IncomingResponse) => void,
        reject: (error: Error) => void,
    ): { readonly request: HttpRequest; readonly response: HttpResponse; } {
        const requestAbort = new AbortController();
        const abortRequest = () => requestAbort.abort("gone");
        const pipe = createPipe(abortRequest);
        let hasStarted = false;
        let lastArrivalMs = nowMs;
        let isBroken = false;
        outgoing.signal?.addEventListener("abort", () => {
            after(getDelayMs(), abortRequest);
            pipe.fail(new Error("the request was aborted"));
        });
        // Delivers the parts of a response in order. A partition or a pause delays them, and a long one resets the connection.
        const deliver = (action: () => void) => {
            lastArrivalMs = Math.max(lastArrivalMs, nowMs + getDelayMs());
            tryDeliver(lastArrivalMs - nowMs, nowMs, action);
        };
        const tryDeliver = (delayMs: number, sinceMs: number, action: () => void) => {
            after(delayMs, () => {
                if (!caller.isAlive) return abortRequest();
                if (!server.owner.isAlive) return resetConnection();
                if (!isBlocked(fromIp, toIp) && nowMs >= server.owner.frozenUntilMs) return action();
                if (nowMs - sinceMs > blockedConnectionTimeoutMs) return resetConnection();
                lastArrivalMs = nowMs + blockedRetryIntervalMs;
                tryDeliver(blockedRetryIntervalMs, sinceMs, action);
            });
        };
        const resetConnection = () => {
            if (isBroken) return;
            isBroken = true;
            const error = new Error("the connection was reset");
            if (!hasStarted) reject(error);
            pipe.fail(error);
            abortRequest();
            removeExitListeners();
        };
        // A killed process closes its connections. The client sees that after the network delay.
        const onServerExit = () => void deliver(resetConnection);
        server.owner.onExit.add(onServerExit);
        caller.onExit.add(abortRequest);
        const removeExitListeners = () => {
            server.owner.onExit.delete(onServerExit);
            caller.onExit.delete(abortRequest);
        };
        const response: HttpResponse = {
            get hasStarted() {
                return hasStarted;
            },
            start(status, headers) {
                if (hasStarted) throw new Error("the response has started already");
                hasStarted = true;
                deliver(() => resolve({ status, headers, body: pipe.read(), isFirstOnConnection: true }));
            },
            async write(chunk) {
                deliver(() => pipe.push(chunk));
            },
            end: () =>
                deliver(() => {
                    pipe.end();
                    removeExitListeners();
                }),
            abort: () => deliver(resetConnection),
        };
        const { method, path, headers, body } = outgoing;
        const content = { method, path, headers: lowerCase(headers ?? {}), body: body ?? new Uint8Array() };
        return { request: { ...content, signal: requestAbort.signal, connectionAgeMs: 0, waitedMs: 0 }, response };
    }

    // Calls may be lost, duplicated and reordered, and replies lost and reordered. A relayed call is delivered if neither of its
    // two hops is blocked and the relay is alive.
    function createLink(fromIp: string, caller: FakeProcess, address: string, relay?: string): TRPCLink<AnyRouter> {
        const isPathBlocked = (toIp: string) =>
            relay === undefined
                ? isBlocked(fromIp, toIp)
                : isBlocked(fromIp, getIp(relay)) || isBlocked(getIp(relay), toIp) || findServer(relay) === undefined;
        return () => ({ op }) =>
            observable(observer => {
                const toIp = getIp(address);
                const sendReply = (action: () => void) => {
                    if (random() < faults.lossProbability) return;
                    after(getDelayMs(), () => {
                        if (!isPathBlocked(toIp)) runWhenUnfrozen(caller, action);
                    });
                };
                const receive = (isDuplicate: boolean) => {
                    if (isPathBlocked(toIp) || !caller.isAlive) return;
                    const server = findServer(address);
                    if (server === undefined) return sendReply(() => observer.error(TRPCClientError.from(new Error("connection refused"))));
                    const input: unknown = op.input === undefined ? undefined : JSON.parse(JSON.stringify(op.input));
                    runWhenUnfrozen(server.owner, () => invokeProcedure(server, input, isDuplicate));
                };
                const invokeProcedure = (server: FakeServer, input: unknown, isDuplicate: boolean) => {
                    callTRPCProcedure({
                        router: server.options.router!,
                        path: op.path,
                        getRawInput: () => Promise.resolve(input),
                        ctx: {},
                        type: op.type,
                        signal: undefined,
                        batchIndex: 0,
                    }).then(
                        data => {
                            if (isDuplicate) return;
                            const copy: unknown = data === undefined ? undefined : JSON.parse(JSON.stringify(data));
                            const deliver = () => {
                                observer.next({ result: { type: "data", data: copy } });
                                observer.complete();
                            };
                            runWhenUnfrozen(server.owner, () => sendReply(deliver));
                        },
                        error => {
                            if (isDuplicate) return;
                            runWhenUnfrozen(server.owner, () => sendReply(() => observer.error(TRPCClientError.from(error as Error))));
                        },
                    );
                };
                if (random() >= faults.lossProbability) after(getDelayMs(), () => receive(false));
                if (random() < faults.duplicationProbability) after(getDelayMs() * 3, () => receive(true));
            });
    }
}

const maxLogLines = 20_000;

function createProcess(): FakeProcess {
    return { isAlive: true, frozenUntilMs: 0, computesUntilMs: 0, busyMs: 0, onExit: new Set() };
}

// Runs all pending promise callbacks before virtual time advances.
function flushPromises(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function getIp(address: string): string {
    return address.slice(0, address.lastIndexOf(":"));
}

function lowerCase(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    return Object.fromEntries(Object.entries(headers).map(([key, value]) => [key.toLowerCase(), value]));
}

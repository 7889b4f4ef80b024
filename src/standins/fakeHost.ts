/**
 * Fake hosts on one virtual clock, with seeded faults: delay, loss, duplication and reordering of calls,
 * partitions, crashes, and torn or lost writes. The parts run on them as they do on real hosts.
 */
import type { TRPCLink } from "@trpc/client";
import { TRPCClientError } from "@trpc/client";
import { callTRPCProcedure } from "@trpc/server";
import type { AnyRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { NotSentError } from "../kernel/host.js";
import type { Host, HttpRequest, HttpResponse, IncomingResponse, Logger, Network, OutgoingRequest, ServerOptions } from "../kernel/host.js";
import { createFakeDisk } from "./fakeDisk.js";
import type { FakeDisk } from "./fakeDisk.js";

/** Faults that every call meets. */
export interface NetworkFaults {
    readonly lossProbability: number;
    readonly duplicationProbability: number;
    readonly minDelayMs: number;
    readonly maxDelayMs: number;
}

/** A fake VM. Its disk outlives its processes. */
export interface FakeVm {
    readonly ip: string;
    readonly host: Host;
    readonly disk: FakeDisk;
    /** Ends the VM's process: its timers never fire, its connections break, and unsynced writes may be lost. */
    crash(): void;
    /** A host for the next process on this VM. */
    restart(): Host;
    /** Pauses the VM's process, as a hypervisor does. It goes on as if no time had passed. */
    freeze(durationMs: number): void;
}

/** All fake VMs and their clock. */
export interface Simulation {
    readonly random: () => number;
    nowMs(): number;
    createVm(ip: string): FakeVm;
    setFaults(faults: Partial<NetworkFaults>): void;
    /** Cuts each pair for which this returns true. */
    setPartition(isCut: (fromIp: string, toIp: string) => boolean): void;
    healPartition(): void;
    /** Runs all that is due within the time. */
    advance(durationMs: number): Promise<void>;
    /** Runs until the promise settles, and returns its value. */
    runUntil<T>(promise: Promise<T>, maxMs?: number): Promise<T>;
    readonly logLines: string[];
}

interface Timer {
    readonly atMs: number;
    readonly order: number;
    readonly run: () => void;
    isCancelled: boolean;
}

/** One life of a process on a VM. */
interface Life {
    isAlive: boolean;
    /** Until then nothing runs on the VM, and what arrives waits. */
    frozenUntilMs: number;
    /** Called when the process dies. */
    readonly onDeath: Set<() => void>;
}

interface Service {
    readonly options: ServerOptions;
    readonly life: Life;
}

const connectTimeoutMs = 2_000;
const blockedResetMs = 30_000;
const blockedPollMs = 50;
const defaultFaults: NetworkFaults = { lossProbability: 0, duplicationProbability: 0, minDelayMs: 0.3, maxDelayMs: 1.5 };

/** Creates a seeded source of numbers in [0, 1). */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => uniformFloat64(generator);
}

/** Creates a world without VMs. */
export function createSimulation(seed: number): Simulation {
    const random = createRandom(seed);
    const timers = createTimerHeap();
    const services = new Map<string, Service>();
    const logLines: string[] = [];
    let faults = defaultFaults;
    let isCut: (fromIp: string, toIp: string) => boolean = () => false;
    let nowMs = 0;

    return {
        random,
        logLines,
        nowMs: () => nowMs,
        createVm,
        setFaults(changed) {
            faults = { ...faults, ...changed };
        },
        setPartition(cut) {
            isCut = cut;
        },
        healPartition() {
            isCut = () => false;
        },
        advance,
        async runUntil(promise, maxMs = 600_000) {
            let isSettled = false;
            const watched = promise.finally(() => {
                isSettled = true;
            });
            watched.catch(() => undefined);
            const endMs = nowMs + maxMs;
            await drain();
            while (!isSettled && nowMs < endMs && timers.size() > 0) await runNext(endMs);
            if (!isSettled) throw new Error(`nothing settled within ${maxMs} ms of virtual time`);
            return watched;
        },
    };

    async function advance(durationMs: number): Promise<void> {
        const endMs = nowMs + durationMs;
        await drain();
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
        await drain();
    }

    function after(delayMs: number, run: () => void): () => void {
        const timer = timers.add(nowMs + Math.max(0, delayMs), run);
        return () => {
            timer.isCancelled = true;
        };
    }

    function createVm(ip: string): FakeVm {
        const disk = createFakeDisk(random);
        let life = createLife();
        const vm = { host: createHost(ip, life, disk) };
        const die = () => {
            life.isAlive = false;
            for (const react of life.onDeath) react();
        };
        return {
            ip,
            get host() {
                return vm.host;
            },
            disk,
            crash() {
                die();
                disk.crash();
            },
            freeze(durationMs) {
                life.frozenUntilMs = nowMs + durationMs;
            },
            restart() {
                die();
                life = createLife();
                vm.host = createHost(ip, life, disk);
                return vm.host;
            },
        };
    }

    function createHost(ip: string, life: Life, disk: FakeDisk): Host {
        const createLogger = (prefix: string): Logger => {
            const write = (level: string) => (sentence: string, fields?: object) => {
                if (logLines.length < maxLogLines) {
                    logLines.push(`${nowMs.toFixed(1)} ${ip} ${level} ${prefix}: ${sentence} ${JSON.stringify(fields ?? {})}`);
                }
            };
            return { debug: () => undefined, info: write("info"), warn: write("warn"), error: write("error") };
        };
        return {
            clock: { nowMs: () => nowMs, wallMs: () => 1_700_000_000_000 + nowMs },
            timers: { after: (delayMs, callback) => after(delayMs, () => whenAwake(life, callback)) },
            random: {
                nextFloat: random,
                nextId: () => Array.from({ length: 3 }, () => Math.floor(random() * 2 ** 32).toString(36).padStart(7, "0")).join(""),
            },
            network: createNetwork(ip, life),
            disk: disk.createDisk(() => life.isAlive),
            createLogger,
        };
    }

    // Work for a VM that is dead is dropped, and for one that is frozen waits.
    function whenAwake(life: Life, run: () => void): void {
        if (!life.isAlive) return;
        if (nowMs >= life.frozenUntilMs) return run();
        after(life.frozenUntilMs - nowMs, () => whenAwake(life, run));
    }

    function getDelayMs(): number {
        return faults.minDelayMs + random() * (faults.maxDelayMs - faults.minDelayMs);
    }

    function isBlocked(fromIp: string, toIp: string): boolean {
        return isCut(fromIp, toIp) || isCut(toIp, fromIp);
    }

    function findService(address: string): Service | undefined {
        const service = services.get(address);
        return service?.life.isAlive === true ? service : undefined;
    }

    function createNetwork(ip: string, life: Life): Network {
        return {
            async serve(options) {
                services.set(options.address, { options, life });
                return {
                    address: options.address,
                    reloadTls: () => Promise.resolve(),
                    closeIdleConnections: () => undefined,
                    async close() {
                        services.delete(options.address);
                    },
                };
            },
            request: (address, request) => sendRequest(ip, life, address, request),
            linkTo: (address, relay) => createLink(ip, life, address, relay),
            createBackendConnections: () => ({
                request: (address, request) => sendRequest(ip, life, address, request),
                close: () => undefined,
            }),
        };
    }

    function sendRequest(fromIp: string, caller: Life, address: string, request: OutgoingRequest): Promise<IncomingResponse> {
        return new Promise((resolve, reject) => {
            const settle = (action: () => void) => caller.isAlive && action();
            request.signal?.addEventListener("abort", () => settle(() => reject(new Error("the request was aborted"))));
            const toIp = getIp(address);
            if (isBlocked(fromIp, toIp)) {
                after(connectTimeoutMs, () => settle(() => reject(new NotSentError(`no connection to ${address}`))));
                return;
            }
            after(getDelayMs(), () => {
                const service = findService(address);
                if (service === undefined) return settle(() => reject(new NotSentError(`connection to ${address} refused`)));
                const exchange = createExchange(fromIp, toIp, caller, service, request, resolve, reject);
                service.options.handler(exchange.request, exchange.response).catch(() => exchange.response.abort());
            });
        });
    }

    function createExchange(
        fromIp: string,
        toIp: string,
        caller: Life,
        service: Service,
        outgoing: OutgoingRequest,
        resolve: (reply: IncomingResponse) => void,
        reject: (error: Error) => void,
    ): { readonly request: HttpRequest; readonly response: HttpResponse; } {
        const gone = new AbortController();
        const hangUp = () => gone.abort("gone");
        const pipe = createPipe(hangUp);
        let hasStarted = false;
        let lastArrivalMs = nowMs;
        let isBroken = false;
        outgoing.signal?.addEventListener("abort", () => {
            after(getDelayMs(), hangUp);
            pipe.fail(new Error("the request was aborted"));
        });
        // Pieces arrive in order. A cut holds them up, and a long cut breaks the connection.
        const deliver = (action: () => void) => {
            lastArrivalMs = Math.max(lastArrivalMs, nowMs + getDelayMs());
            attempt(lastArrivalMs - nowMs, nowMs, action);
        };
        const attempt = (delayMs: number, sinceMs: number, action: () => void) => {
            after(delayMs, () => {
                if (!caller.isAlive) return hangUp();
                if (!service.life.isAlive) return breakOff();
                if (!isBlocked(fromIp, toIp) && nowMs >= service.life.frozenUntilMs) return action();
                if (nowMs - sinceMs > blockedResetMs) return breakOff();
                lastArrivalMs = nowMs + blockedPollMs;
                attempt(blockedPollMs, sinceMs, action);
            });
        };
        const breakOff = () => {
            if (isBroken) return;
            isBroken = true;
            const error = new Error("the connection broke");
            if (!hasStarted) reject(error);
            pipe.fail(error);
            hangUp();
            forget();
        };
        // A process that dies closes its connections, which the other side sees a little later.
        const onServerDeath = () => void deliver(breakOff);
        service.life.onDeath.add(onServerDeath);
        caller.onDeath.add(hangUp);
        const forget = () => {
            service.life.onDeath.delete(onServerDeath);
            caller.onDeath.delete(hangUp);
        };
        const response: HttpResponse = {
            get hasStarted() {
                return hasStarted;
            },
            start(status, headers) {
                hasStarted = true;
                deliver(() => resolve({ status, headers, body: pipe.read() }));
            },
            async write(chunk) {
                deliver(() => pipe.push(chunk));
            },
            end: () =>
                deliver(() => {
                    pipe.end();
                    forget();
                }),
            abort: () => deliver(breakOff),
        };
        const { method, path, headers, body } = outgoing;
        return {
            request: { method, path, headers: lowerCase(headers ?? {}), body: body ?? new Uint8Array(), signal: gone.signal },
            response,
        };
    }

    // Calls may be lost, doubled and overtaken on the way there, and answers on the way back.
    // A relayed call passes when both of its legs do and the relay lives.
    function createLink(fromIp: string, caller: Life, address: string, relay?: string): TRPCLink<AnyRouter> {
        const isPathBlocked = (toIp: string) =>
            relay === undefined
                ? isBlocked(fromIp, toIp)
                : isBlocked(fromIp, getIp(relay)) || isBlocked(getIp(relay), toIp) || findService(relay) === undefined;
        return () => ({ op }) =>
            observable(observer => {
                const toIp = getIp(address);
                const answer = (action: () => void) => {
                    if (random() < faults.lossProbability) return;
                    after(getDelayMs(), () => {
                        if (!isPathBlocked(toIp)) whenAwake(caller, action);
                    });
                };
                const arrive = (isCopy: boolean) => {
                    if (isPathBlocked(toIp) || !caller.isAlive) return;
                    const service = findService(address);
                    if (service === undefined) return answer(() => observer.error(TRPCClientError.from(new Error("connection refused"))));
                    const input: unknown = op.input === undefined ? undefined : JSON.parse(JSON.stringify(op.input));
                    whenAwake(service.life, () => run(service, input, isCopy));
                };
                const run = (service: Service, input: unknown, isCopy: boolean) => {
                    callTRPCProcedure({
                        router: service.options.router!,
                        path: op.path,
                        getRawInput: () => Promise.resolve(input),
                        ctx: {},
                        type: op.type,
                        signal: undefined,
                        batchIndex: 0,
                    }).then(
                        data => {
                            if (isCopy || !service.life.isAlive) return;
                            const copy: unknown = data === undefined ? undefined : JSON.parse(JSON.stringify(data));
                            answer(() => {
                                observer.next({ result: { type: "data", data: copy } });
                                observer.complete();
                            });
                        },
                        error => {
                            if (!isCopy && service.life.isAlive) answer(() => observer.error(TRPCClientError.from(error as Error)));
                        },
                    );
                };
                if (random() >= faults.lossProbability) after(getDelayMs(), () => arrive(false));
                if (random() < faults.duplicationProbability) after(getDelayMs() * 3, () => arrive(true));
            });
    }
}

const maxLogLines = 20_000;

function createLife(): Life {
    return { isAlive: true, frozenUntilMs: 0, onDeath: new Set() };
}

// All that promises can do without a timer is done before virtual time goes on.
function drain(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

function getIp(address: string): string {
    return address.slice(0, address.lastIndexOf(":"));
}

function lowerCase(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    return Object.fromEntries(Object.entries(headers).map(([key, value]) => [key.toLowerCase(), value]));
}

function createPipe(onReaderGone: () => void) {
    const chunks: Uint8Array[] = [];
    let error: Error | undefined;
    let isEnded = false;
    let wake: () => void = () => undefined;
    return {
        push(chunk: Uint8Array) {
            chunks.push(chunk);
            wake();
        },
        end() {
            isEnded = true;
            wake();
        },
        fail(reason: Error) {
            if (isEnded) return;
            isEnded = true;
            error = reason;
            wake();
        },
        isEnded: () => isEnded,
        async *read(): AsyncGenerator<Uint8Array> {
            try {
                for (;;) {
                    while (chunks.length > 0) yield chunks.shift()!;
                    if (error !== undefined) throw error;
                    if (isEnded) return;
                    await new Promise<void>(resolve => {
                        wake = resolve;
                    });
                }
            }
            finally {
                if (!isEnded) onReaderGone();
            }
        },
    };
}

// A binary heap by time, then by the order in which timers were set.
function createTimerHeap() {
    const heap: Timer[] = [];
    let count = 0;
    const isBefore = (a: Timer, b: Timer) => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
    const push = (timer: Timer) => {
        let position = heap.push(timer) - 1;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (isBefore(heap[parent]!, timer)) break;
            heap[position] = heap[parent]!;
            position = parent;
        }
        heap[position] = timer;
    };
    return {
        push,
        add(atMs: number, run: () => void): Timer {
            const timer: Timer = { atMs, order: count++, run, isCancelled: false };
            push(timer);
            return timer;
        },
        peek: () => heap[0],
        size: () => heap.length,
        pop(): Timer | undefined {
            const top = heap[0];
            const last = heap.pop();
            if (top === undefined || last === undefined || heap.length === 0) return top;
            let position = 0;
            for (;;) {
                let child = position * 2 + 1;
                if (child >= heap.length) break;
                if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child++;
                if (isBefore(last, heap[child]!)) break;
                heap[position] = heap[child]!;
                position = child;
            }
            heap[position] = last;
            return top;
        },
    };
}

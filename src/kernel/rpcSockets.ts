/**
 * tRPC calls on kept WebSocket connections, one for each process that is called. The messages are those of tRPC's WebSocket adapter.
 * The client of `@trpc/client` is not used: it keeps calls until it can connect, waits longer after each failed attempt, and closes a
 * silent connection only when its peer agrees.
 *
 * A call is sent at most once by this module. A call whose connection breaks fails at once, and its caller decides what follows.
 */
import { TRPCClientError } from "@trpc/client";
import type { Operation, TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import type { Unsubscribable } from "@trpc/server/observable";
import type { TRPCClientIncomingMessage } from "@trpc/server/rpc";
import type { Socket } from "node:net";
import VError from "verror";
import { WebSocket } from "ws";
import { fleetSecretHeader } from "./fleetSecret.js";
import type { Clock, Logger } from "./host.js";
import { socketPath, tcpKeepAliveMs } from "./rpcUpgrade.js";
import type { Address } from "./types.js";

/** Links that share one connection for each address. */
export interface RpcSockets {
    /** Returns a link to a process. It uses the other link while the process does not take WebSocket connections. */
    linkTo(address: Address, httpLink: TRPCLink<AnyRouter>): TRPCLink<AnyRouter>;
}

/** Options of the connections. */
export interface RpcSocketOptions {
    readonly fleetSecret: string;
    readonly clock: Clock;
    readonly log: Logger;
    readonly connectTimeoutMs: number;
}

/** Time after which calls to a process of an earlier version look again for its WebSocket server. */
const httpOnlyMs = 10_000;
/** A lost connection request is repeated by the system after 1 s. Calls made after this time try a new connection instead. */
const unansweredConnectMs = 100;
/** Interval at which a connection with unanswered calls is checked. */
const tickMs = 500;
/** A connection on which nothing arrived for this number of ticks is probed. */
const pingAfterTicks = 3;
/** After this number, new calls use a new connection. */
const distrustAfterTicks = 5;
/** After this number, the connection is closed. */
const dropAfterTicks = 6;
/** Must be longer than every long poll. Nobody waits for a call any longer then. */
const maxCallTicks = 150;

interface PendingCall {
    readonly op: Operation;
    succeed(data: unknown): void;
    fail(error: Error | object): void;
    sendOverHttp(): void;
}

interface Connection {
    /** False if new calls need a new connection. */
    isUsable(nowMs: number): boolean;
    /** Sends a call. Returns a function that forgets it. */
    call(call: PendingCall): () => void;
    /** Closes the connection as soon as its calls are answered. */
    retire(): void;
}

// All routers of a process are served at its one address, and no call holds up another one. Therefore one connection suffices for all
// clients of the address.
/** Creates links without connections. The first call to an address opens one. */
export function createRpcSockets(options: RpcSocketOptions): RpcSockets {
    const { clock, log } = options;
    const connections = new Map<Address, Connection>();
    const httpOnlyUntilMs = new Map<Address, number>();

    return {
        linkTo: (address, httpLink) => runtime => {
            const sendOverHttp = httpLink(runtime);
            return request => {
                if (clock.nowMs() < (httpOnlyUntilMs.get(address) ?? 0)) return sendOverHttp(request);
                return observable(observer => {
                    let overHttp: Unsubscribable | undefined;
                    const forget = getConnection(address).call({
                        op: request.op,
                        succeed(data) {
                            observer.next({ result: { type: "data", data } });
                            observer.complete();
                        },
                        fail: error => observer.error(TRPCClientError.from(error)),
                        sendOverHttp() {
                            overHttp = sendOverHttp(request).subscribe(observer);
                        },
                    });
                    return () => {
                        forget();
                        overHttp?.unsubscribe();
                    };
                });
            };
        },
    };

    function getConnection(address: Address): Connection {
        const current = connections.get(address);
        if (current?.isUsable(clock.nowMs())) return current;
        const created = openConnection(address, options, {
            onEnd() {
                if (connections.get(address) === created) connections.delete(address);
            },
            onHttpOnly(status) {
                const nowMs = clock.nowMs();
                for (const [known, untilMs] of httpOnlyUntilMs) if (untilMs <= nowMs) httpOnlyUntilMs.delete(known);
                httpOnlyUntilMs.set(address, nowMs + httpOnlyMs);
                log.info("A process takes no WebSocket connections. Calls to it use HTTP.", { address, status });
            },
        });
        connections.set(address, created);
        current?.retire();
        return created;
    }
}

/** Receives what happens to a connection. */
interface ConnectionEvents {
    onEnd(): void;
    onHttpOnly(status: number | undefined): void;
}

function openConnection(address: Address, options: RpcSocketOptions, events: ConnectionEvents): Connection {
    const pending = new Map<number, PendingCall & { readonly sinceTick: number; }>();
    const openedAtMs = options.clock.nowMs();
    let tcp: Socket | undefined;
    let lastId = 0;
    let isRetired = false;
    let isEnded = false;
    let isWatched = false;
    let tickCount = 0;
    let silentTicks = 0;
    let heardBytes = 0;
    const socket = new WebSocket(`ws://${address}${socketPath}`, {
        headers: { [fleetSecretHeader]: options.fleetSecret },
        handshakeTimeout: options.connectTimeoutMs,
        perMessageDeflate: false,
        finishRequest(request) {
            request.once("socket", connecting => tcp = connecting);
            request.end();
        },
    });
    socket.on("open", () => {
        tcp?.setKeepAlive(true, tcpKeepAliveMs);
        for (const [id, { op }] of pending) send(id, op);
        if (pending.size === 0) becomeIdle();
        else watch();
    });
    socket.on("message", data => {
        try {
            receive(JSON.parse((data as Buffer).toString("utf8")) as TRPCClientIncomingMessage);
        }
        catch (error) {
            end(new VError(error as Error, "%s sent a malformed message", address));
        }
    });
    socket.on("error", error => end(new VError(error, "no connection to %s", address)));
    socket.on("close", code => end(new VError("the connection to %s was closed with code %d", address, code)));
    // The request was for the connection only, so no call has been sent yet.
    socket.on("unexpected-response", (_request, response) => {
        events.onHttpOnly(response.statusCode);
        for (const call of end()) call.sendOverHttp();
    });
    return {
        isUsable(nowMs) {
            if (isRetired || isEnded) return false;
            if (socket.readyState === WebSocket.OPEN) return silentTicks < distrustAfterTicks;
            return tcp?.connecting === false || nowMs - openedAtMs < unansweredConnectMs;
        },
        call(call) {
            const id = ++lastId;
            pending.set(id, { ...call, sinceTick: tickCount });
            if (socket.readyState === WebSocket.OPEN) {
                if (pending.size === 1) tcp?.ref();
                send(id, call.op);
                watch();
            }
            return () => {
                if (pending.delete(id) && pending.size === 0 && socket.readyState === WebSocket.OPEN) becomeIdle();
            };
        },
        retire,
    };

    function send(id: number, op: Operation): void {
        socket.send(JSON.stringify({ id, method: op.type, params: { path: op.path, input: op.input } }));
    }

    function receive(message: TRPCClientIncomingMessage): void {
        if ("method" in message) return retire();
        const call = pending.get(Number(message.id));
        // Answers to forgotten calls are ignored. An error without an id says that the peer could not read a message.
        if ("error" in message) {
            if (call !== undefined) call.fail(message);
            else if (message.id === null) end(new VError("%s refused a message: %s", address, message.error.message));
        }
        else call?.succeed("data" in message.result ? message.result.data : undefined);
    }

    function retire(): void {
        isRetired = true;
        if (pending.size === 0) end();
    }

    /** A connection without calls does not keep the process from exiting. */
    function becomeIdle(): void {
        if (isRetired) end();
        else tcp?.unref();
    }

    /** Closes the connection without a handshake, which a silent peer would hold up. Returns the calls if there is no error for them. */
    function end(error?: Error): readonly PendingCall[] {
        if (isEnded) return [];
        isEnded = true;
        events.onEnd();
        socket.terminate();
        const calls = [...pending.values()];
        pending.clear();
        if (error !== undefined) { for (const call of calls) call.fail(error); }
        return calls;
    }

    function watch(): void {
        if (isWatched) return;
        isWatched = true;
        silentTicks = 0;
        heardBytes = tcp?.bytesRead ?? 0;
        setTimeout(tick, tickMs).unref();
    }

    // Ticks count instead of time. A process that was late itself runs one tick and then reads what has arrived before it judges the peer.
    function tick(): void {
        if (isEnded) return;
        if (pending.size === 0) {
            isWatched = false;
            return;
        }
        tickCount++;
        for (const call of pending.values()) {
            if (tickCount - call.sinceTick <= maxCallTicks) break;
            call.fail(new VError("%s did not answer within %d ms", address, maxCallTicks * tickMs));
        }
        setImmediate(judgeSilence);
        setTimeout(tick, tickMs).unref();
    }

    function judgeSilence(): void {
        if (isEnded) return;
        const bytes = tcp?.bytesRead ?? 0;
        silentTicks = bytes === heardBytes ? silentTicks + 1 : 0;
        heardBytes = bytes;
        if (silentTicks >= dropAfterTicks) {
            options.log.warn("A connection to another process went silent.", { address, unansweredCalls: pending.size });
            end(new VError("%s was silent for %d ms", address, dropAfterTicks * tickMs));
        }
        else if (silentTicks === pingAfterTicks) socket.ping();
    }
}

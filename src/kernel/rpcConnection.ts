/**
 * One kept WebSocket connection to another process. Its messages are those of tRPC's WebSocket adapter. A call is sent at most once here.
 * A call whose connection breaks or goes silent fails at once, and its caller decides what follows.
 */
import type { Operation } from "@trpc/client";
import type { TRPCClientIncomingMessage } from "@trpc/server/rpc";
import type { Socket } from "node:net";
import VError from "verror";
import { WebSocket } from "ws";
import { failureDomainHeader, getCallName } from "./callCounts.js";
import type { CallCounts } from "./callCounts.js";
import { fleetSecretHeader } from "./fleetSecret.js";
import type { Logger } from "./host.js";
import { socketCompression, socketPath, tcpKeepAliveMs } from "./rpcUpgrade.js";
import type { Address } from "./types.js";

/** Options of a connection. */
export interface RpcConnectionOptions {
    readonly fleetSecret: string;
    readonly log: Logger;
    readonly counts: CallCounts;
    readonly connectTimeoutMs: number;
    readonly onEnd: () => void;
    /** Called before `onEnd` if the process refused the connection with an HTTP status. */
    readonly onHttpOnly: (status: number | undefined) => void;
}

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

/** A call without an answer. */
export interface PendingCall {
    readonly op: Operation;
    succeed(data: unknown): void;
    fail(error: Error | object): void;
    /** Called instead if the process takes no WebSocket connections. */
    sendOverHttp(): void;
}

/** A connection that is being opened, is open, or has ended. */
export interface RpcConnection {
    /** False if new calls need a new connection. */
    isUsable(): boolean;
    /** Sends a call. Returns a function that forgets it. */
    call(call: PendingCall): () => void;
    /** Closes the connection as soon as its calls are answered. */
    retire(): void;
}

/** Opens a connection. Calls may be made at once. */
export function openRpcConnection(address: Address, options: RpcConnectionOptions): RpcConnection {
    const pending = new Map<number, PendingCall & { readonly sinceTick: number; }>();
    /** Messages of calls that were made before the connection was open. */
    const unsent = new Map<number, string>();
    let tcp: Socket | undefined;
    let lastId = 0;
    let isUnanswered = false;
    let isRetired = false;
    let isEnded = false;
    let isWatched = false;
    let tickCount = 0;
    let silentTicks = 0;
    let heardBytes = 0;
    const socket = new WebSocket(`ws://${address}${socketPath}`, {
        headers: { [fleetSecretHeader]: options.fleetSecret, [failureDomainHeader]: options.counts.ownDomain },
        handshakeTimeout: options.connectTimeoutMs,
        perMessageDeflate: socketCompression,
        finishRequest(request) {
            request.once("socket", connecting => tcp = connecting);
            request.end();
        },
    });
    const counted = options.counts.open("caller", () => tcp);
    // The result of the request is read before it is judged, because this process may have been late itself.
    setTimeout(() => setImmediate(() => isUnanswered = tcp?.connecting !== false), unansweredConnectMs).unref();
    socket.on("upgrade", response => counted.setPeerDomain(response.headers[failureDomainHeader] as string | undefined));
    socket.on("open", () => {
        tcp?.setKeepAlive(true, tcpKeepAliveMs);
        for (const [id, message] of unsent) send(pending.get(id)!.op, message);
        unsent.clear();
        if (pending.size === 0) becomeIdle();
        else watch();
    });
    socket.on("message", data => {
        try {
            receive(JSON.parse((data as Buffer).toString("utf8")) as TRPCClientIncomingMessage, (data as Buffer).length);
        }
        catch (error) {
            end(new VError(error as Error, "%s sent a malformed message", address));
        }
    });
    socket.on("error", error => end(new VError(error, "no connection to %s", address)));
    socket.on("close", code => end(new VError("the connection to %s was closed with code %d", address, code)));
    // The request was for the connection only, so no call has been sent yet.
    socket.on("unexpected-response", (_request, response) => {
        options.onHttpOnly(response.statusCode);
        for (const call of end()) call.sendOverHttp();
    });
    return {
        isUsable() {
            if (isRetired || isEnded) return false;
            return socket.readyState === WebSocket.OPEN ? silentTicks < distrustAfterTicks : !isUnanswered || tcp?.connecting === false;
        },
        call(call) {
            const id = ++lastId;
            const { type, path, input } = call.op;
            const message = JSON.stringify({ id, method: type, params: { path, input } });
            pending.set(id, { ...call, sinceTick: tickCount });
            if (socket.readyState === WebSocket.OPEN) {
                if (pending.size === 1) tcp?.ref();
                send(call.op, message);
                watch();
            }
            else if (!isEnded) unsent.set(id, message);
            return () => {
                unsent.delete(id);
                if (pending.delete(id) && pending.size === 0 && socket.readyState === WebSocket.OPEN) becomeIdle();
            };
        },
        retire,
    };

    function send(op: Operation, message: string): void {
        counted.countCall(getCallName(op.path, op.input), Buffer.byteLength(message));
        socket.send(message);
    }

    function receive(message: TRPCClientIncomingMessage, messageBytes: number): void {
        if ("method" in message) return retire();
        const call = pending.get(Number(message.id));
        counted.countAnswer(call === undefined ? "forgotten" : getCallName(call.op.path, call.op.input), messageBytes);
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
        options.onEnd();
        socket.terminate();
        counted.close();
        const calls = [...pending.values()];
        pending.clear();
        unsent.clear();
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

/** Client of the control group: finds the leader, resends under one operation id, and learns control's time. */
import type { ControlRouter, Heartbeat, HeartbeatResult, WatchReply, WatchRequest } from "./contracts.js";
import { createControlTimeBound } from "./controlTime.js";
import type { ControlTimeBound } from "./controlTime.js";
import type { Host } from "./host.js";
import type { CommandInputs, CommandKind, CommandResults, ControlReply, QueryInputs, QueryKind, QueryResults } from "./messages.js";
import { createRpcClients } from "./rpc.js";
import { sleep, withTimeout } from "./tasks.js";
import type { Address, OperationId } from "./types.js";

/** Outcome of a call to control. */
export type ControlOutcome<T> =
    | { readonly kind: "done"; readonly index: number; readonly result: T; }
    | { readonly kind: "rejected"; readonly detail: string; }
    /** No quorum answered in time. A command may still take effect; a resend under its operation id is safe. */
    | { readonly kind: "unreachable"; };

/** How a call is made. */
export interface CallOptions {
    readonly timeoutMs: number;
    /** Given by callers that resend after a restart. Otherwise a new one is made. */
    readonly operationId?: OperationId;
}

/** Client of the control group. */
export interface ControlClient {
    readonly time: ControlTimeBound;
    submit<K extends CommandKind>(kind: K, input: CommandInputs[K], options: CallOptions): Promise<ControlOutcome<CommandResults[K]>>;
    query<K extends QueryKind>(kind: K, input: QueryInputs[K], options: CallOptions): Promise<ControlOutcome<QueryResults[K]>>;
    heartbeat(heartbeat: Heartbeat, timeoutMs: number): Promise<ControlOutcome<HeartbeatResult>>;
    /** Waits for the next published revision at any control VM. */
    watch(request: WatchRequest): Promise<WatchReply | undefined>;
    /** Calls made so far by kind, for measurements. */
    getCallCounts(): Readonly<Record<string, number>>;
}

const attemptTimeoutMs = 2_000;
const pauseBetweenRoundsMs = 50;
const watchGraceMs = 1_000;

/** Creates a client. Addresses are those of all control VMs. */
export function createControlClient(host: Host, addresses: readonly Address[]): ControlClient {
    const clients = createRpcClients<ControlRouter>(host.network);
    const time = createControlTimeBound(host.clock);
    let leaderAddress = addresses[0];
    let watchPosition = Math.floor(host.random.nextUnit() * addresses.length);
    const callCounts: Record<string, number> = {};

    return {
        time,
        submit: (kind, input, options) => {
            const operationId = options.operationId ?? host.random.nextId();
            count(kind);
            return call(address => clients.get(address).submit.mutate({ operationId, kind, input }) as never, options.timeoutMs);
        },
        query: (kind, input, options) => {
            count(kind);
            return call(address => clients.get(address).query.query({ kind, input }) as never, options.timeoutMs);
        },
        heartbeat: (heartbeat, timeoutMs) => call(address => clients.get(address).heartbeat.mutate(heartbeat) as never, timeoutMs),
        async watch(request) {
            const address = addresses[watchPosition % addresses.length]!;
            try {
                const reply = clients.get(address).watch.query(request) as Promise<WatchReply>;
                return await withTimeout(host.timers, reply, request.timeoutMs + watchGraceMs, "watch");
            }
            catch {
                watchPosition++;
                return undefined;
            }
        },
        getCallCounts: () => callCounts,
    };

    function count(kind: string): void {
        callCounts[kind] = (callCounts[kind] ?? 0) + 1;
    }

    // Goes from address to address until one leads, or the time is up.
    async function call<T>(send: (address: Address) => Promise<ControlReply<T>>, timeoutMs: number): Promise<ControlOutcome<T>> {
        const deadlineMs = host.clock.nowMs() + timeoutMs;
        for (let tries = 1;; tries++) {
            const remainingMs = deadlineMs - host.clock.nowMs();
            if (remainingMs <= 0) return { kind: "unreachable" };
            const address = leaderAddress!;
            const askedAtMs = host.clock.nowMs();
            const reply = await tryOnce(send, address, Math.min(remainingMs, attemptTimeoutMs));
            if (reply?.kind === "done") {
                time.learn(reply.controlTimeMs, askedAtMs);
                return { kind: "done", index: reply.index, result: reply.result };
            }
            if (reply?.kind === "rejected") return reply;
            moveOn(address, reply);
            if (tries % addresses.length === 0) await sleep(host.timers, pauseBetweenRoundsMs);
        }
    }

    async function tryOnce<T>(
        send: (address: Address) => Promise<ControlReply<T>>,
        address: Address,
        timeoutMs: number,
    ): Promise<ControlReply<T> | undefined> {
        try {
            return await withTimeout(host.timers, send(address), timeoutMs, "call to control");
        }
        catch {
            return undefined;
        }
    }

    // Another task may have found the leader meanwhile, which is not undone.
    function moveOn<T>(address: Address, reply: ControlReply<T> | undefined): void {
        if (leaderAddress !== address) return;
        const hint = reply?.kind === "notLeader" ? reply.leaderAddress : undefined;
        leaderAddress = hint ?? addresses[(addresses.indexOf(address) + 1) % addresses.length];
    }
}

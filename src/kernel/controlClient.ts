/** Client of the control group: finds the leader, resends under one operation id, and learns control's time. */
import type { TRPCClient } from "@trpc/client";
import type { ControlRouter, DirectoryReply, DirectoryRequest, Heartbeat, HeartbeatResult, WatchReply, WatchRequest } from "./contracts.js";
import { createControlPaths } from "./controlPaths.js";
import type { ControlPath, ControlPaths } from "./controlPaths.js";
import { createControlTimeBound } from "./controlTime.js";
import type { ControlTimeBound } from "./controlTime.js";
import { hedge } from "./hedge.js";
import type { Host } from "./host.js";
import type { CommandInputs, CommandKind, CommandResults, ControlReply, QueryInputs, QueryKind, QueryResults } from "./messages.js";
import { createRpcClients } from "./rpc.js";
import { getErrorText, sleep, withTimeout } from "./tasks.js";
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
    /** Waits for news of backend servers at any control VM. */
    watchDirectory(request: DirectoryRequest): Promise<DirectoryReply | undefined>;
    /** Calls made so far by kind, for measurements. */
    getCallCounts(): Readonly<Record<string, number>>;
}

/** How patient a client is with one control VM. */
export interface ControlClientTiming {
    /** Wait for one VM before another way is tried. */
    readonly attemptTimeoutMs: number;
    /** Wait for an answer on a direct way before the call also goes through a relay. */
    readonly hedgingDelayMs: number;
    /** Pause between two looks whether a direct way works again. */
    readonly probeIntervalMs: number;
}

/** Timing that suits a fleet whose calls may take long. */
export const defaultClientTiming: ControlClientTiming = { attemptTimeoutMs: 2_000, hedgingDelayMs: 500, probeIntervalMs: 1_000 };

const delayBetweenRoundsMs = 50;
/** Time beyond that of a long poll after which its way counts as failed. */
const maxWatchGraceMs = 1_000;

/** Creates a client. The addresses are those of all control VMs, or of some through which the others are learnt. */
export function createControlClient(
    host: Host,
    addressesOrPaths: readonly Address[] | ControlPaths,
    timing: ControlClientTiming = defaultClientTiming,
): ControlClient {
    const paths = "getLeaderPath" in addressesOrPaths ? addressesOrPaths : createControlPaths(host, addressesOrPaths);
    const clients = createRpcClients<ControlRouter>(host.network);
    const log = host.createLogger("controlClient");
    const time = createControlTimeBound(host.clock);
    const callCounts: Record<string, number> = {};
    const probing = new Set<Address>();

    return {
        time,
        submit: (kind, input, options) => {
            const operationId = options.operationId ?? host.random.nextId();
            count(kind);
            return call(client => client.submit.mutate({ operationId, kind, input }) as never, options.timeoutMs);
        },
        query: (kind, input, options) => {
            count(kind);
            return call(client => client.query.query({ kind, input }) as never, options.timeoutMs);
        },
        heartbeat: (heartbeat, timeoutMs) => call(client => client.heartbeat.mutate(heartbeat) as never, timeoutMs),
        watch: request =>
            callPreferredMember(
                client => client.watch.query(request) as Promise<WatchReply>,
                request.timeoutMs + Math.min(timing.attemptTimeoutMs, maxWatchGraceMs),
            ),
        watchDirectory: request =>
            callPreferredMember(
                client => client.watchDirectory.query(request) as Promise<DirectoryReply>,
                request.timeoutMs + Math.min(timing.attemptTimeoutMs, maxWatchGraceMs),
            ),
        getCallCounts: () => callCounts,
    };

    function count(kind: string): void {
        callCounts[kind] = (callCounts[kind] ?? 0) + 1;
    }

    // A VM that has lost its group may hold back news without knowing it.
    async function callPreferredMember<T extends { readonly isConnected?: boolean; }>(
        send: (client: TRPCClient<ControlRouter>) => Promise<T>,
        timeoutMs: number,
    ): Promise<T | undefined> {
        const path = paths.getPreferredMemberPath();
        const reply = await tryOnce(send, path, timeoutMs);
        if (reply === undefined || reply.isConnected === false) paths.changePreferredMember(path.address);
        return reply?.isConnected === false ? undefined : reply;
    }

    // Goes from way to way until a VM leads, or the time is up.
    async function call<T>(
        send: (client: TRPCClient<ControlRouter>) => Promise<ControlReply<T>>,
        timeoutMs: number,
    ): Promise<ControlOutcome<T>> {
        const deadlineMs = host.clock.nowMs() + timeoutMs;
        for (let attempts = 1;; attempts++) {
            const remainingMs = deadlineMs - host.clock.nowMs();
            if (remainingMs <= 0) return { kind: "unreachable" };
            const path = paths.getLeaderPath();
            const sentAtMs = host.clock.nowMs();
            const reply = await tryHedged(send, path, Math.min(remainingMs, timing.attemptTimeoutMs));
            if (reply?.kind === "done") {
                time.observe(reply.controlTimeMs, sentAtMs);
                return { kind: "done", index: reply.index, result: reply.result };
            }
            if (reply?.kind === "rejected") return reply;
            // The same VM may be reached on another way, unless that was a relay already.
            if (reply !== undefined || path.relay !== undefined || isSamePath(paths.getLeaderPath(), path)) {
                paths.changeLeader(path.address, reply?.kind === "notLeader" ? reply.leaderAddress : undefined);
            }
            if (attempts % paths.listMembers().length === 0) await sleep(host.timers, delayBetweenRoundsMs);
        }
    }

    // Calls carry the id of their operation, so control does them once whichever way they come.
    async function tryHedged<T>(
        send: (client: TRPCClient<ControlRouter>) => Promise<T>,
        path: ControlPath,
        timeoutMs: number,
    ): Promise<T | undefined> {
        const relayedPath = paths.getRelayedPath(path);
        if (relayedPath === undefined || timing.hedgingDelayMs >= timeoutMs) return tryOnce(send, path, timeoutMs);
        const { reply, winner } = await hedge(
            host.timers,
            tryOnce(send, path, timeoutMs),
            () => tryOnce(send, relayedPath, timeoutMs),
            timing.hedgingDelayMs,
        );
        if (winner === "second") markPathFailed(path, "Its answer came later than that of a relay.");
        return reply;
    }

    async function tryOnce<T>(
        send: (client: TRPCClient<ControlRouter>) => Promise<T>,
        path: ControlPath,
        timeoutMs: number,
    ): Promise<T | undefined> {
        try {
            const reply = await withTimeout(host.timers, send(clients.get(path.address, path.relay)), timeoutMs, "call to control");
            markPathWorking(path);
            return reply;
        }
        catch (error) {
            markPathFailed(path, getErrorText(error));
            return undefined;
        }
    }

    function markPathWorking(path: ControlPath): void {
        if (path.relay === undefined && paths.isDirectPathAvoided(path.address)) {
            log.info("A direct way to control works again.", { address: path.address });
        }
        paths.recordSuccess(path);
    }

    function markPathFailed(path: ControlPath, detail: string): void {
        const wasAvoided = path.relay === undefined && paths.isDirectPathAvoided(path.address);
        if (!wasAvoided) log.warn("A way to control is left.", { address: path.address, relay: path.relay, detail });
        paths.recordFailure(path);
        void probe(path.address);
    }

    // Calls leave a direct way that failed alone, so something else must find out when it works again.
    async function probe(address: Address): Promise<void> {
        if (probing.has(address)) return;
        probing.add(address);
        while (paths.isDirectPathAvoided(address) && paths.listMembers().includes(address)) {
            await sleep(host.timers, timing.probeIntervalMs);
            try {
                await withTimeout(host.timers, clients.get(address).ping.query(), timing.attemptTimeoutMs, "probe");
                markPathWorking({ address });
            }
            catch (error) {
                markPathFailed({ address }, getErrorText(error));
            }
        }
        probing.delete(address);
    }
}

function isSamePath(a: ControlPath, b: ControlPath): boolean {
    return a.address === b.address && a.relay === b.relay;
}

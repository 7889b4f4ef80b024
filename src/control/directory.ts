/**
 * The control VMs' shared view of the backend servers. Whichever VM hears a heartbeat tells the others at once. Leaving is
 * acknowledged only once a majority of the voters knows of it, so that an isolated VM cannot promise what entries won't see.
 */
import type { DirectoryGossip, DirectoryReply, DirectoryRequest } from "../kernel/contracts.js";
import type { ControlRouter } from "../kernel/contracts.js";
import { createDirectoryTable } from "../kernel/directory.js";
import type { BackendServerRecord } from "../kernel/directory.js";
import type { Host } from "../kernel/host.js";
import { createRpcClients } from "../kernel/rpc.js";
import { createNotifier, createStopController, getErrorText, runPeriodically, sleep, waitUntil, withTimeout } from "../kernel/tasks.js";
import type { Notifier } from "../kernel/tasks.js";
import type { Address } from "../kernel/types.js";
import { createWatcherList } from "./watcherList.js";

/** What the directory knows of the control group. */
export interface DirectoryGroup {
    /** Addresses of the other members, learners included. */
    listPeers(): readonly Address[];
    /** Voters, this VM included. */
    countVoters(): number;
    /** True while this VM leads or has heard from the leader just now. */
    isConnected(): boolean;
}

/** The view of one control VM. */
export interface ControlDirectory {
    /** Takes a heartbeat in. Returns true when it may be acknowledged. */
    recordHeartbeat(record: BackendServerRecord): Promise<boolean>;
    get(backendServer: string): BackendServerRecord | undefined;
    spread(message: DirectoryGossip): { readonly incarnation: string; };
    watch(request: DirectoryRequest): Promise<DirectoryReply>;
    start(): void;
    stop(): void;
}

interface Peer {
    readonly address: Address;
    readonly pending: Map<string, BackendServerRecord>;
    readonly work: Notifier;
    /** Incarnation that answered last. A new one knows nothing yet. */
    incarnation: string;
}

const tickMs = 500;
/** Several heartbeats. */
const silentAfterMs = 4_500;
const forgetAfterMs = 600_000;
const spreadTimeoutMs = 300;
const spreadRetryMs = 100;
/** Ordinary heartbeats wait this long for others, so that they go along in one message. */
const spreadDelayMs = 400;
const idleSpreadMs = 1_000;
/** Backend servers wait a second for an answer. */
const acknowledgeTimeoutMs = 800;

/** Creates an empty view. */
export function createControlDirectory(host: Host, incarnation: string, group: DirectoryGroup): ControlDirectory {
    const log = host.createLogger("directory");
    const clients = createRpcClients<ControlRouter>(host.network);
    const table = createDirectoryTable();
    const changed = createNotifier(host.timers);
    const spreadDone = createNotifier(host.timers);
    const stopping = createStopController();
    const peers = new Map<Address, Peer>();
    const watchers = createWatcherList();

    return {
        async recordHeartbeat(record) {
            const before = table.get(record.backendServer);
            const outcome = table.merge(record, host.clock.nowMs());
            if (outcome === "ignored") return isKnownLeaving(record) ? waitForMajority(record) : true;
            if (outcome === "changed") noteChange(record, before);
            for (const peer of peers.values()) {
                peer.pending.set(record.backendServer, record);
                if (outcome === "changed") peer.work.notify();
            }
            return record.state === "ready" ? true : waitForMajority(record);
        },
        get: table.get,
        spread(message) {
            let hasChanged = false;
            for (const record of message.servers) {
                if (table.merge(record, host.clock.nowMs()) === "changed") hasChanged = true;
            }
            if (hasChanged) changed.notify();
            watchers.addRemote(message.watchers, host.clock.nowMs());
            return { incarnation };
        },
        async watch(request) {
            if (request.watcher !== undefined) watchers.addLocal(request.watcher, host.clock.nowMs());
            const since = request.incarnation === incarnation ? request.revision : 0;
            await waitUntil(host, changed, () => table.revision > since, request.timeoutMs);
            const servers = table.listSince(since);
            return {
                incarnation,
                revision: table.revision,
                servers,
                watchers: watchers.listPeersOf(request.watcher ?? "", host.clock.nowMs()),
                watcherCount: watchers.count(host.clock.nowMs()),
                isConnected: group.isConnected(),
            };
        },
        start: () =>
            void runPeriodically(
                host.timers,
                tickMs,
                stopping.signal,
                tick,
                error => log.warn("A tick failed.", { detail: getErrorText(error) }),
            ),
        stop() {
            stopping.abort();
            for (const peer of peers.values()) peer.work.notify();
        },
    };

    function noteChange(record: BackendServerRecord, before: BackendServerRecord | undefined): void {
        changed.notify();
        log.info("A backend server changed.", {
            backendServer: record.backendServer,
            pool: record.pool,
            address: record.address,
            state: record.state,
            stateBefore: before?.state,
            sequence: record.sequence,
        });
    }

    function isKnownLeaving(record: BackendServerRecord): boolean {
        return record.state !== "ready" && table.get(record.backendServer)?.state !== "ready";
    }

    // What is still pending for a peer has not been confirmed by it.
    async function waitForMajority(record: BackendServerRecord): Promise<boolean> {
        const isHeld = (peer: Peer) => peer.incarnation !== "" && !peer.pending.has(record.backendServer);
        const hasMajority = () => group.isConnected() && ([...peers.values()].filter(isHeld).length + 1) * 2 > group.countVoters();
        const isDone = await waitUntil(host, spreadDone, hasMajority, acknowledgeTimeoutMs);
        if (!isDone) {
            log.warn("A leaving backend server is not acknowledged, because no majority knows of it.", {
                backendServer: record.backendServer,
                isConnected: group.isConnected(),
            });
        }
        return isDone;
    }

    async function tick(): Promise<void> {
        const nowMs = host.clock.nowMs();
        const revisionBefore = table.revision;
        table.expire(nowMs - silentAfterMs, nowMs - forgetAfterMs);
        if (table.revision !== revisionBefore) changed.notify();
        const wanted = new Set(group.listPeers());
        for (const [address, peer] of peers) {
            if (wanted.has(address)) continue;
            peers.delete(address);
            peer.work.notify();
        }
        for (const address of wanted) {
            if (peers.has(address)) continue;
            const peer: Peer = { address, pending: new Map(), work: createNotifier(host.timers), incarnation: "" };
            peers.set(address, peer);
            void spreadTask(peer);
        }
    }

    async function spreadTask(peer: Peer): Promise<void> {
        while (!stopping.signal.aborted && peers.get(peer.address) === peer) {
            const sent = [...peer.pending.values()];
            try {
                const call = clients.get(peer.address).spread.mutate({
                    servers: sent,
                    watchers: [...watchers.listLocal(host.clock.nowMs())],
                });
                const reply = await withTimeout(host.timers, call, spreadTimeoutMs, "spread");
                confirm(peer, sent, reply.incarnation);
            }
            catch {
                // The peer's records stay pending. Its loss is logged by the replica.
                await sleep(host.timers, spreadRetryMs, stopping.signal);
                continue;
            }
            if (!hasUrgent(peer)) await peer.work.wait(peer.pending.size > 0 ? spreadDelayMs : idleSpreadMs);
        }
    }

    function confirm(peer: Peer, sent: readonly BackendServerRecord[], peerIncarnation: string): void {
        for (const record of sent) {
            if (peer.pending.get(record.backendServer) === record) peer.pending.delete(record.backendServer);
        }
        if (peer.incarnation !== peerIncarnation) {
            peer.incarnation = peerIncarnation;
            const confirmed = new Set(sent.map(record => record.backendServer));
            for (const record of table.listSince(0)) {
                if (!confirmed.has(record.backendServer)) peer.pending.set(record.backendServer, record);
            }
        }
        spreadDone.notify();
    }

    function hasUrgent(peer: Peer): boolean {
        return [...peer.pending.values()].some(record => record.state !== "ready");
    }
}

/**
 * The backend server directory of one control VM. A control VM that receives a heartbeat pushes changed records to the other
 * control VMs immediately, and these forward notices of leaving that are new to them. A heartbeat that announces draining or departure is
 * acknowledged only after a majority of the voters has the record, and after the group has committed it. Otherwise an isolated control VM could
 * acknowledge a departure that entries never learn of, and a late heartbeat could revoke one after all control VMs were killed.
 *
 * A VM that has just started does not know yet what was committed. Until then it holds the records of servers that do not leave.
 */
import type { DirectoryGossip, DirectoryReply, DirectoryRequest } from "../kernel/contracts.js";
import type { ControlRouter } from "../kernel/contracts.js";
import { checkBackendServerRecord, countDownColdTime, createDirectoryTable } from "../kernel/directory.js";
import type { BackendServerRecord } from "../kernel/directory.js";
import type { Host } from "../kernel/host.js";
import { createRpcClients } from "../kernel/rpc.js";
import { callWithTimeout, createNotifier, createStopController, getErrorText, runPeriodically, sleep, waitUntil } from "../kernel/tasks.js";
import type { Notifier } from "../kernel/tasks.js";
import type { Address } from "../kernel/types.js";
import { createVersionHistory } from "../kernel/versionHistory.js";
import type { VersionHistory } from "../kernel/versionHistory.js";
import { createHeldRecords } from "./heldRecords.js";
import { createWatcherList } from "./watcherList.js";

/** The part of the control group's state that the directory reads. */
export interface ControlGroupView {
    /** Addresses of the other members, including learners. */
    listPeers(): readonly Address[];
    /**
     * Returns true if this VM and the VMs at the addresses for which `isCounted` returns true form a quorum of the voters. False before this VM
     * knows the voters.
     */
    hasQuorum(isCounted: (address: Address) => boolean): boolean;
    /** True while this VM is the leader or has recently heard from the leader. */
    isConnected(): boolean;
    /** True once this VM has applied all that the group had committed before it started. */
    hasCaughtUp(): boolean;
    readonly leaving: LeavingServerLog;
}

/** The leaving of backend servers, as the group has committed it. */
export interface LeavingServerLog {
    list(): readonly BackendServerRecord[];
    /** True if the group has committed that the server has gone at least as far as the record says. */
    covers(record: BackendServerRecord): boolean;
    /** Commits a record. Returns false if it is not known to be committed within the timeout. */
    commit(record: BackendServerRecord, timeoutMs: number): Promise<boolean>;
}

/** The backend server directory of one control VM. */
export interface ControlDirectory {
    /** Merges a heartbeat into the directory. Returns true if the heartbeat may be acknowledged. */
    recordHeartbeat(record: BackendServerRecord): Promise<boolean>;
    get(backendServer: string): BackendServerRecord | undefined;
    list(): readonly BackendServerRecord[];
    /** Merges records of leaving servers that the group has just committed, or that this VM has just learned to be committed. */
    recordLeaving(records: readonly BackendServerRecord[]): void;
    readonly versions: VersionHistory;
    /** Merges the records and watchers that another control VM pushed. */
    spread(message: DirectoryGossip): { readonly incarnation: string; };
    /** Waits until a record has changed since the requested revision or the timeout passes, then returns the changed records. */
    watch(request: DirectoryRequest): Promise<DirectoryReply>;
    start(): void;
    stop(): void;
}

/** A record that waits to be sent. */
interface PendingRecord {
    readonly record: BackendServerRecord;
    readonly receivedAtMs: number;
}

interface Peer {
    readonly address: Address;
    /** Records that the peer has not confirmed, by backend server. */
    readonly pending: Map<string, PendingRecord>;
    readonly pushRequested: Notifier;
    /** Incarnation that answered last, or "" before the first answer. A new incarnation starts with an empty directory. */
    incarnation: string;
    /** True while messages to it fail. */
    isFailing: boolean;
}

const maintenanceIntervalMs = 500;
/** A backend server is marked silent after this time, which spans several heartbeats. */
const heartbeatTimeoutMs = 4_500;
const goneRecordRetentionMs = 600_000;
const pushTimeoutMs = 300;
const pushRetryDelayMs = 100;
/** Refreshed records wait this long, so that several are sent in one message. */
const pushBatchDelayMs = 400;
const idlePushIntervalMs = 1_000;
/** Backend servers wait one second for an answer to a heartbeat, so this must be shorter. */
const majorityTimeoutMs = 800;
/** Interval at which a VM that has just started checks whether it has caught up. Servers wait for that before they get requests. */
const catchUpPollMs = 20;
/** Time for which a watch waits at a control VM without contact to its group, so that callers without a better one do not ask all the time. */
const disconnectedHoldMs = 300;

/** Creates an empty directory. */
export function createControlDirectory(host: Host, incarnation: string, group: ControlGroupView): ControlDirectory {
    const log = host.createLogger("directory");
    const clients = createRpcClients<ControlRouter>(host.network);
    const table = createDirectoryTable();
    const tableChanged = createNotifier(host.timers);
    const recordsConfirmed = createNotifier(host.timers);
    const stopping = createStopController();
    const peers = new Map<Address, Peer>();
    const watchers = createWatcherList();
    const versions = createVersionHistory();
    /** Records that came before this VM had caught up. */
    const held = createHeldRecords();
    let isCaughtUp = false;

    return {
        versions,
        async recordHeartbeat(record) {
            const receivedAtMs = host.clock.nowMs();
            if (record.state === "ready" && !hasCaughtUp()) {
                held.hold(record, receivedAtMs);
                return waitUntilCaughtUp(majorityTimeoutMs);
            }
            const previous = table.get(record.backendServer, receivedAtMs);
            const outcome = table.merge(record, receivedAtMs);
            if (outcome === "ignored") return isKnownLeaving(record) ? confirmLeaving(record) : true;
            if (outcome === "changed") {
                versions.observe([record], host.clock.nowMs());
                reportChange(record, previous);
            }
            // The acknowledgement of a leaving server waits for the peers, also where the notice only repeats another one.
            pushToPeers(record, receivedAtMs, outcome === "changed" || record.state !== "ready");
            return record.state === "ready" ? true : confirmLeaving(record);
        },
        recordLeaving(records) {
            // What was committed before this VM started is merged when it has caught up.
            if (isCaughtUp) versions.observe(mergeLeaving(records), host.clock.nowMs());
        },
        get: backendServer => table.get(backendServer, host.clock.nowMs()),
        list: () => table.listSince(0, host.clock.nowMs()),
        spread(message) {
            const changed: BackendServerRecord[] = [];
            for (const item of message.servers) {
                const check = checkBackendServerRecord(item);
                if (check.kind === "invalid") {
                    log.warn("A backend server record of another control VM is invalid.", { problem: check.problem });
                }
                else if (check.record.state === "ready" && !hasCaughtUp()) {
                    held.hold(check.record, host.clock.nowMs());
                }
                else if (table.merge(check.record, host.clock.nowMs()) === "changed") changed.push(check.record);
            }
            if (changed.length > 0) {
                versions.observe(changed, host.clock.nowMs());
                tableChanged.notify();
                forward(changed);
            }
            watchers.addRemote(message.watchers, host.clock.nowMs());
            return { incarnation };
        },
        async watch(request) {
            if (request.watcher !== undefined) watchers.addLocal(request.watcher, host.clock.nowMs());
            const receivedAtMs = host.clock.nowMs();
            const since = request.incarnation === incarnation ? request.revision : 0;
            const heldMs = isCurrent() ? 0 : Math.min(disconnectedHoldMs, request.timeoutMs);
            if (heldMs > 0) await sleep(host.timers, heldMs, stopping.signal);
            await waitUntil(host, tableChanged, () => table.revision > since, request.timeoutMs - heldMs);
            const servers = table.listSince(since, host.clock.nowMs());
            return {
                incarnation,
                revision: table.revision,
                servers,
                watchers: watchers.listPeersOf(request.watcher ?? "", host.clock.nowMs()),
                watcherCount: watchers.count(host.clock.nowMs()),
                watcherRank: watchers.getRank(request.watcher ?? "", host.clock.nowMs()),
                entryHashes: request.needsEntries === true ? watchers.listHashes(host.clock.nowMs()) : undefined,
                isConnected: isCurrent(),
                waitedMs: host.clock.nowMs() - receivedAtMs,
            };
        },
        start() {
            void waitUntilCaughtUp(Infinity);
            void runPeriodically(
                host.timers,
                maintenanceIntervalMs,
                stopping.signal,
                runMaintenance,
                error => log.warn("Directory maintenance failed.", { detail: getErrorText(error) }),
            );
        },
        stop() {
            stopping.abort();
            for (const peer of peers.values()) peer.pushRequested.notify();
        },
    };

    /** True while the directory of this VM tells entries which servers they may use. */
    function isCurrent(): boolean {
        return group.isConnected() && hasCaughtUp();
    }

    function hasCaughtUp(): boolean {
        if (isCaughtUp || !group.hasCaughtUp()) return isCaughtUp;
        isCaughtUp = true;
        // The servers may have left long ago, so their versions are not counted as in service now.
        mergeLeaving(group.leaving.list());
        mergeHeld();
        return true;
    }

    async function waitUntilCaughtUp(timeoutMs: number): Promise<boolean> {
        const deadlineMs = host.clock.nowMs() + timeoutMs;
        while (!hasCaughtUp() && !stopping.signal.aborted && host.clock.nowMs() < deadlineMs) await sleep(host.timers, catchUpPollMs);
        return hasCaughtUp();
    }

    function mergeHeld(): void {
        const nowMs = host.clock.nowMs();
        for (const record of held.take(nowMs)) {
            const previous = table.get(record.backendServer, nowMs);
            const outcome = table.merge(record, nowMs);
            log.info("A record was merged that came before this VM had caught up.", { backendServer: record.backendServer, outcome });
            if (outcome === "ignored") continue;
            versions.observe([record], nowMs);
            reportChange(record, previous);
            pushToPeers(record, nowMs, true);
        }
    }

    /** Merges committed records and returns those that were new. */
    function mergeLeaving(records: readonly BackendServerRecord[]): readonly BackendServerRecord[] {
        const nowMs = host.clock.nowMs();
        return records.filter(record => {
            const previous = table.get(record.backendServer, nowMs);
            const isChanged = table.merge(record, nowMs) === "changed";
            if (isChanged) reportChange(record, previous);
            return isChanged;
        });
    }

    function pushToPeers(record: BackendServerRecord, receivedAtMs: number, isUrgent: boolean): void {
        for (const peer of peers.values()) {
            peer.pending.set(record.backendServer, { record, receivedAtMs });
            if (isUrgent) peer.pushRequested.notify();
        }
    }

    function reportChange(record: BackendServerRecord, previous: BackendServerRecord | undefined): void {
        tableChanged.notify();
        log.info("A backend server record changed.", {
            backendServer: record.backendServer,
            pool: record.pool,
            address: record.address,
            state: record.state,
            stateBefore: previous?.state,
            sequence: record.sequence,
            coldLeftMs: Math.round(record.coldLeftMs),
        });
    }

    // The VM that sent the records may not reach all others. A record of a server that is not leaving may be old, and would end its silence.
    function forward(changed: readonly BackendServerRecord[]): void {
        const receivedAtMs = host.clock.nowMs();
        const records = changed.filter(record => record.state !== "ready" && !record.isSilent);
        if (records.length === 0) return;
        for (const peer of peers.values()) {
            for (const record of records) peer.pending.set(record.backendServer, { record, receivedAtMs });
            peer.pushRequested.notify();
        }
    }

    function isKnownLeaving(record: BackendServerRecord): boolean {
        return record.state !== "ready" && table.get(record.backendServer, host.clock.nowMs())?.state !== "ready";
    }

    async function confirmLeaving(record: BackendServerRecord): Promise<boolean> {
        const confirmations = await Promise.all([waitForMajority(record), commitLeaving(record)]);
        return confirmations.every(Boolean);
    }

    async function commitLeaving(record: BackendServerRecord): Promise<boolean> {
        if (group.leaving.covers(record)) return true;
        const isCommitted = await group.leaving.commit(record, majorityTimeoutMs);
        if (!isCommitted) {
            log.warn("A heartbeat of a leaving backend server is not acknowledged: the group did not commit the record in time.", {
                backendServer: record.backendServer,
            });
        }
        return isCommitted;
    }

    // A record that is still pending for a peer has not been confirmed by that peer.
    async function waitForMajority(record: BackendServerRecord): Promise<boolean> {
        const isConfirmedBy = (peer: Peer | undefined) =>
            peer !== undefined && peer.incarnation !== "" && !peer.pending.has(record.backendServer);
        const hasMajority = () => group.isConnected() && group.hasQuorum(address => isConfirmedBy(peers.get(address)));
        const isConfirmed = await waitUntil(host, recordsConfirmed, hasMajority, majorityTimeoutMs);
        if (!isConfirmed) {
            log.warn("A heartbeat of a leaving backend server is not acknowledged: no majority confirmed the record in time.", {
                backendServer: record.backendServer,
                isConnected: group.isConnected(),
            });
        }
        return isConfirmed;
    }

    async function runMaintenance(): Promise<void> {
        const nowMs = host.clock.nowMs();
        const revisionBefore = table.revision;
        table.expire(nowMs - heartbeatTimeoutMs, nowMs - goneRecordRetentionMs);
        if (table.revision !== revisionBefore) tableChanged.notify();
        // Records of servers that are gone were observed as they came.
        versions.observe(table.listSince(0, nowMs).filter(server => server.state !== "gone"), nowMs);
        const currentAddresses = new Set(group.listPeers());
        for (const [address, peer] of peers) {
            if (currentAddresses.has(address)) continue;
            peers.delete(address);
            peer.pushRequested.notify();
        }
        for (const address of currentAddresses) {
            if (peers.has(address)) continue;
            const peer: Peer = {
                address,
                pending: new Map(),
                pushRequested: createNotifier(host.timers),
                incarnation: "",
                isFailing: false,
            };
            peers.set(address, peer);
            void pushTask(peer);
        }
    }

    async function pushTask(peer: Peer): Promise<void> {
        while (!stopping.signal.aborted && peers.get(peer.address) === peer) {
            const sentRecords = [...peer.pending.values()];
            try {
                const sentAtMs = host.clock.nowMs();
                const message = {
                    servers: sentRecords.map(({ record, receivedAtMs }) => countDownColdTime(record, sentAtMs - receivedAtMs)),
                    watchers: [...watchers.listLocal(sentAtMs)],
                };
                const reply = await callWithTimeout(
                    host.timers,
                    signal => clients.get(peer.address).spread.mutate(message, { signal }),
                    pushTimeoutMs,
                    "spread",
                );
                peer.isFailing = false;
                handleConfirmation(peer, sentRecords, reply.incarnation);
            }
            catch (error) {
                // The records stay pending and are sent again after the delay.
                if (!peer.isFailing) {
                    log.warn("Sending records to another control VM failed.", { address: peer.address, detail: getErrorText(error) });
                }
                peer.isFailing = true;
                await sleep(host.timers, pushRetryDelayMs, stopping.signal);
                continue;
            }
            if (!hasLeavingRecord(peer)) await peer.pushRequested.wait(peer.pending.size > 0 ? pushBatchDelayMs : idlePushIntervalMs);
        }
    }

    function handleConfirmation(peer: Peer, sentRecords: readonly PendingRecord[], peerIncarnation: string): void {
        for (const sent of sentRecords) {
            if (peer.pending.get(sent.record.backendServer) === sent) peer.pending.delete(sent.record.backendServer);
        }
        if (peer.incarnation !== peerIncarnation) {
            peer.incarnation = peerIncarnation;
            const confirmed = new Set(sentRecords.map(sent => sent.record.backendServer));
            const receivedAtMs = host.clock.nowMs();
            for (const record of table.listSince(0, receivedAtMs)) {
                if (!confirmed.has(record.backendServer)) peer.pending.set(record.backendServer, { record, receivedAtMs });
            }
        }
        recordsConfirmed.notify();
    }

    function hasLeavingRecord(peer: Peer): boolean {
        return [...peer.pending.values()].some(({ record }) => record.state !== "ready");
    }
}

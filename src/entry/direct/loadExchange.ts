/**
 * Exchanges with the other entries which requests each has sent to each backend server, so that entries do not all choose the same
 * apparently idle server. Each message holds the full load, and parts of a failed message are sent again with the next one, so
 * lost messages need no separate recovery. An entry sends a limited number of messages, so that the exchange costs the same at any
 * traffic and any number of peers: above the limit each peer hears less often.
 */
import { maxSharedIdLength } from "../../kernel/contracts.js";
import type { GatewayRouter, SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";
import type { Host } from "../../kernel/host.js";
import { createRpcClients } from "../../kernel/rpc.js";
import { createNotifier, getErrorText, withTimeout } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { LoadTracker } from "./loadTracker.js";
import { createMessagePacer, getMessageRate } from "./messagePacer.js";
import type { MessageRates } from "./messagePacer.js";
import type { ServerLimits } from "./serverLimits.js";

/** Options of a load exchange. */
export interface LoadExchangeOptions {
    /** Incarnation of this entry. */
    readonly incarnation: string;
    readonly loads: LoadTracker;
    readonly serverLimits: ServerLimits;
    /** Share of the last moments in which this process was busy, from 0 to 1. */
    readonly getUtilization: () => number;
}

/** The exchange with all other entries. */
export interface LoadExchange {
    /** Adds entries to send to. Renews the expiry of those that are already known. */
    addPeers(addresses: readonly Address[]): void;
    /** Records that a prompt was sent to a backend server, which has to prefill `prefillTokens` of it. */
    recordDispatch(backendServer: string, prefillTokens: number, partIds: readonly string[]): void;
    /** Tells the other entries soon that a backend server has changed its request limit. */
    recordLimitChange(): void;
    /** Processes a message of another entry. */
    receive(load: SharedLoad): void;
    start(signal: AbortSignal): void;
}

interface Peer {
    readonly address: Address;
    /** Prompt parts not yet sent to this peer, by backend server. */
    unsentParts: Map<string, Set<string>>;
    /** Backend servers in the last message. The next one lists them even without load, so that the peer learns that their load is gone. */
    lastListed: ReadonlySet<string>;
    /** Time at which control last listed this entry. */
    listedAtMs: number;
    sentAtMs: number;
    /** Time of the first dispatch that is announced before the regular refresh. */
    urgentSinceMs: number | undefined;
    /** No message is sent before this time, after a failed one. */
    retryAtMs: number;
    isSending: boolean;
    isReachable: boolean;
}

/** A prompt with at least this many tokens to prefill is announced at once, because it delays the requests behind it. */
const urgentPrefillTokens = 1_500;
/** Urgent updates within this time are sent in one message. */
const batchMs = 40;
/** Interval of messages to a peer while there is load but no urgent update. */
const refreshIntervalMs = 400;
/** Interval of messages to a peer while there is nothing new. Must be shorter than the time after which peers drop a report. */
const idleRefreshIntervalMs = 1_000;
/** Each message costs both entries processor time, which requests need first. */
const messageRates: MessageRates = { mostPerSecond: 25, leastPerSecond: 3, relaxedUtilization: 0.5, fullUtilization: 0.9 };
const maxBurstMessages = 4;
const sendTimeoutMs = 300;
const retryMs = 400;
/** Peers that control has not listed for this time are dropped. */
const peerExpiryMs = 10_000;
const maxPartsPerServer = 500;

/** Creates an exchange without peers. */
export function createLoadExchange(host: Host, options: LoadExchangeOptions): LoadExchange {
    const { incarnation, loads, serverLimits } = options;
    const log = host.createLogger("loadExchange");
    const clients = createRpcClients<GatewayRouter>(host.network);
    const peers = new Map<Address, Peer>();
    const pacer = createMessagePacer(() => getMessageRate(messageRates, options.getUtilization()), maxBurstMessages);
    const scheduleChanged = createNotifier(host.timers);
    let sequence = 0;

    return {
        addPeers(addresses) {
            const nowMs = host.clock.nowMs();
            for (const address of addresses) getPeer(address, nowMs).listedAtMs = nowMs;
        },
        recordDispatch(backendServer, prefillTokens, partIds) {
            const nowMs = host.clock.nowMs();
            for (const peer of peers.values()) {
                addParts(peer.unsentParts, backendServer, partIds);
                if (prefillTokens >= urgentPrefillTokens) peer.urgentSinceMs ??= nowMs;
            }
            scheduleChanged.notify();
        },
        recordLimitChange() {
            const nowMs = host.clock.nowMs();
            for (const peer of peers.values()) peer.urgentSinceMs ??= nowMs;
            scheduleChanged.notify();
        },
        receive(load) {
            const nowMs = host.clock.nowMs();
            loads.applyPeerLoad(load, nowMs);
            for (const { backendServer, limit } of load.servers) {
                const change = limit === undefined ? "unchanged" : serverLimits.recordShared(backendServer, limit, nowMs);
                if (change === "unchanged") continue;
                log.info("A backend server changed its request limit.", { backendServer, change, ...limit, from: load.from });
            }
        },
        start: signal => void runSendLoop(signal),
    };

    function getPeer(address: Address, nowMs: number): Peer {
        const known = peers.get(address);
        if (known !== undefined) return known;
        const peer: Peer = {
            address,
            unsentParts: new Map(),
            lastListed: new Set(),
            listedAtMs: nowMs,
            sentAtMs: -Infinity,
            urgentSinceMs: nowMs,
            retryAtMs: -Infinity,
            isSending: false,
            isReachable: false,
        };
        peers.set(address, peer);
        scheduleChanged.notify();
        return peer;
    }

    async function runSendLoop(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            const nowMs = host.clock.nowMs();
            dropExpiredPeers(nowMs);
            const ownLoads = loads.listOwnLoads().filter(load => load.running > 0);
            const next = findNextPeer(nowMs, ownLoads.length > 0);
            const sendAtMs = next === undefined ? Infinity : Math.max(next.dueAtMs, pacer.getFreeAtMs(nowMs));
            if (next !== undefined && sendAtMs <= nowMs) {
                pacer.recordMessage(nowMs);
                void sendLoads(next.peer, ownLoads, nowMs);
            }
            else await scheduleChanged.wait(Math.min(sendAtMs - nowMs, idleRefreshIntervalMs));
        }
    }

    function dropExpiredPeers(nowMs: number): void {
        for (const [address, peer] of peers) {
            if (nowMs - peer.listedAtMs > peerExpiryMs) peers.delete(address);
        }
    }

    /** Of the peers that are due, the one that has not heard for the longest time, or else the one that is due next. */
    function findNextPeer(nowMs: number, hasLoad: boolean): { readonly peer: Peer; readonly dueAtMs: number; } | undefined {
        let next: { readonly peer: Peer; readonly dueAtMs: number; } | undefined;
        for (const peer of peers.values()) {
            if (peer.isSending) continue;
            const dueAtMs = getDueAtMs(peer, hasLoad);
            const isBefore = next === undefined ||
                (dueAtMs <= nowMs && next.dueAtMs <= nowMs ? peer.sentAtMs < next.peer.sentAtMs : dueAtMs < next.dueAtMs);
            if (isBefore) next = { peer, dueAtMs };
        }
        return next;
    }

    function getDueAtMs(peer: Peer, hasLoad: boolean): number {
        const isChanging = hasLoad || peer.lastListed.size > 0 || peer.unsentParts.size > 0;
        const refreshAtMs = peer.sentAtMs + (isChanging ? refreshIntervalMs : idleRefreshIntervalMs);
        const urgentAtMs = peer.urgentSinceMs === undefined ? Infinity : peer.urgentSinceMs + batchMs;
        return Math.max(peer.retryAtMs, Math.min(refreshAtMs, urgentAtMs));
    }

    async function sendLoads(peer: Peer, ownLoads: readonly OwnLoad[], nowMs: number): Promise<void> {
        const { unsentParts: parts } = peer;
        const servers = createMessage(ownLoads, parts, [...peer.lastListed, ...serverLimits.listShared(nowMs)])
            .map(server => ({ ...server, limit: serverLimits.getShared(server.backendServer, nowMs) }));
        peer.unsentParts = new Map();
        peer.lastListed = new Set(ownLoads.map(load => load.backendServer));
        peer.urgentSinceMs = undefined;
        peer.sentAtMs = nowMs;
        peer.isSending = true;
        try {
            const call = clients.get(peer.address).shareLoad.mutate({ from: incarnation, sequence: ++sequence, servers });
            await withTimeout(host.timers, call, sendTimeoutMs, "shareLoad");
            if (!peer.isReachable) log.info("Sending load updates to another entry.", { peer: peer.address });
            peer.isReachable = true;
        }
        catch (error) {
            for (const [backendServer, partIds] of parts) addParts(peer.unsentParts, backendServer, [...partIds]);
            if (peer.isReachable) log.warn("Cannot reach another entry.", { peer: peer.address, detail: getErrorText(error) });
            peer.isReachable = false;
            peer.retryAtMs = host.clock.nowMs() + retryMs;
        }
        peer.isSending = false;
        scheduleChanged.notify();
    }
}

type OwnLoad = Omit<SharedServerLoad, "partIds">;

/** Lists the servers with load, those with new prompt parts, and others, such as those whose load is gone since the last message. */
function createMessage(
    ownLoads: readonly OwnLoad[],
    parts: ReadonlyMap<string, ReadonlySet<string>>,
    otherServers: readonly string[],
): SharedServerLoad[] {
    const loadByServer = new Map(ownLoads.map(load => [load.backendServer, load]));
    const names = new Set([...loadByServer.keys(), ...parts.keys(), ...otherServers]);
    return [...names].map(backendServer => ({
        backendServer,
        running: 0,
        waiting: 0,
        waitingTokens: 0,
        ...loadByServer.get(backendServer),
        partIds: [...parts.get(backendServer) ?? []],
    }));
}

function addParts(parts: Map<string, Set<string>>, backendServer: string, partIds: readonly string[]): void {
    const known = parts.get(backendServer) ?? new Set();
    for (const partId of partIds) {
        if (known.size < maxPartsPerServer && partId.length <= maxSharedIdLength) known.add(partId);
    }
    parts.set(backendServer, known);
}

/**
 * Exchanges with the other entries which requests each has sent to each backend server, so that entries do not all choose the same
 * apparently idle server. Each message holds the full load, and parts of a failed message are sent again with the next one, so
 * lost messages need no separate recovery.
 */
import type { GatewayRouter, SharedLoad } from "../../kernel/contracts.js";
import type { Host } from "../../kernel/host.js";
import { createRpcClients } from "../../kernel/rpc.js";
import { createNotifier, getErrorText, sleep, withTimeout } from "../../kernel/tasks.js";
import type { Notifier } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { LoadTracker } from "./loadTracker.js";

/** Options of a load exchange. */
export interface LoadExchangeOptions {
    /** Incarnation of this entry. */
    readonly incarnation: string;
    readonly loads: LoadTracker;
}

/** The exchange with all other entries. */
export interface LoadExchange {
    /** Adds entries to send to. Renews the expiry of those that are already known. */
    addPeers(addresses: readonly Address[]): void;
    /** Records that a prompt was sent to a backend server, which has to prefill `prefillTokens` of it. */
    recordDispatch(backendServer: string, prefillTokens: number, partIds: readonly string[]): void;
    /** Processes a message of another entry. */
    receive(load: SharedLoad): void;
    start(signal: AbortSignal): void;
}

interface Peer {
    readonly address: Address;
    readonly wakeup: Notifier;
    /** Prompt parts not yet sent to this peer, by backend server. */
    unsentParts: Map<string, Set<string>>;
    /** Time at which control last listed this entry. */
    listedAtMs: number;
    /** True when the next message is sent after `batchMs` instead of `refreshIntervalMs`. */
    isSendUrgent: boolean;
    isReachable: boolean;
}

/** A prompt with at least this many tokens to prefill is announced at once, because it delays the requests behind it. */
const urgentPrefillTokens = 1_500;
/** Urgent updates within this time are sent in one message. */
const batchMs = 40;
/** Interval of messages while there is no urgent update. */
const refreshIntervalMs = 400;
const sendTimeoutMs = 300;
const retryMs = 400;
/** Peers that control has not listed for this time are dropped. */
const peerExpiryMs = 10_000;
const maxPartsPerServer = 500;

/** Creates an exchange without peers. */
export function createLoadExchange(host: Host, options: LoadExchangeOptions): LoadExchange {
    const { incarnation, loads } = options;
    const log = host.createLogger("loadExchange");
    const clients = createRpcClients<GatewayRouter>(host.network);
    const peers = new Map<Address, Peer>();
    let stopSignal: AbortSignal | undefined;
    let sequence = 0;

    return {
        addPeers(addresses) {
            const nowMs = host.clock.nowMs();
            for (const address of addresses) getPeer(address).listedAtMs = nowMs;
        },
        recordDispatch(backendServer, prefillTokens, partIds) {
            for (const peer of peers.values()) {
                addParts(peer.unsentParts, backendServer, partIds);
                if (prefillTokens < urgentPrefillTokens) continue;
                peer.isSendUrgent = true;
                peer.wakeup.notify();
            }
        },
        receive: load => loads.applyPeerLoad(load, host.clock.nowMs()),
        start(signal) {
            stopSignal = signal;
            for (const peer of peers.values()) void runSendLoop(peer, signal);
        },
    };

    function getPeer(address: Address): Peer {
        const known = peers.get(address);
        if (known !== undefined) return known;
        const peer: Peer = {
            address,
            wakeup: createNotifier(host.timers),
            unsentParts: new Map(),
            listedAtMs: 0,
            isSendUrgent: true,
            isReachable: false,
        };
        peers.set(address, peer);
        if (stopSignal !== undefined) void runSendLoop(peer, stopSignal);
        return peer;
    }

    async function runSendLoop(peer: Peer, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (!peer.isSendUrgent) await peer.wakeup.wait(refreshIntervalMs);
            await sleep(host.timers, batchMs, signal);
            if (signal.aborted) return;
            if (host.clock.nowMs() - peer.listedAtMs > peerExpiryMs) break;
            if (!await sendLoads(peer)) await sleep(host.timers, retryMs, signal);
        }
        peers.delete(peer.address);
    }

    async function sendLoads(peer: Peer): Promise<boolean> {
        const { unsentParts: parts } = peer;
        peer.unsentParts = new Map();
        peer.isSendUrgent = false;
        const servers = loads.listOwnLoads().map(load => ({ ...load, partIds: [...parts.get(load.backendServer) ?? []] }));
        try {
            const call = clients.get(peer.address).shareLoad.mutate({ from: incarnation, sequence: ++sequence, servers });
            await withTimeout(host.timers, call, sendTimeoutMs, "shareLoad");
            if (!peer.isReachable) log.info("Sending load updates to another entry.", { peer: peer.address });
            peer.isReachable = true;
            return true;
        }
        catch (error) {
            for (const [backendServer, partIds] of parts) addParts(peer.unsentParts, backendServer, [...partIds]);
            if (peer.isReachable) log.warn("Cannot reach another entry.", { peer: peer.address, detail: getErrorText(error) });
            peer.isReachable = false;
            return false;
        }
    }
}

function addParts(parts: Map<string, Set<string>>, backendServer: string, partIds: readonly string[]): void {
    const known = parts.get(backendServer) ?? new Set();
    for (const partId of partIds) {
        if (known.size < maxPartsPerServer) known.add(partId);
    }
    parts.set(backendServer, known);
}

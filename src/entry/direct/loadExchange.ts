/**
 * Tells the other entries what this one has sent to each backend server, and takes in what they tell, so that entries do not all
 * choose the server that looks idle to each of them. What is lost on the way is made good by the next message.
 */
import type { GatewayRouter, SharedLoad } from "../../kernel/contracts.js";
import type { Host } from "../../kernel/host.js";
import { createRpcClients } from "../../kernel/rpc.js";
import { createSignal, getErrorText, sleep, withTimeout } from "../../kernel/tasks.js";
import type { Signal } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { LoadTracker } from "./loadTracker.js";

/** What an exchange works with. */
export interface LoadExchangeOptions {
    /** Incarnation of this entry. */
    readonly incarnation: string;
    readonly loads: LoadTracker;
}

/** The exchange with all other entries. */
export interface LoadExchange {
    /** Learns which entries there are. */
    addPeers(addresses: readonly Address[]): void;
    /** A prompt was sent to a backend server, which has so many tokens to read for it. */
    recordDispatch(backendServer: string, prefillTokens: number, partIds: readonly string[]): void;
    /** Takes another entry's message in. */
    receive(load: SharedLoad): void;
    start(signal: AbortSignal): void;
}

interface Peer {
    readonly address: Address;
    readonly wakeup: Signal;
    /** Parts that it has not been told of, by backend server. */
    unsentParts: Map<string, Set<string>>;
    listedAtMs: number;
    isSendUrgent: boolean;
    isReachable: boolean;
}

/** Prompts of which a server has this much to read are told at once, because they hold up what comes after them. */
const urgentPrefillTokens = 1_500;
/** Urgent news within this time go along in one message. */
const batchMs = 40;
/** All else is told after this time. */
const refreshIntervalMs = 400;
const sendTimeoutMs = 300;
const retryMs = 400;
const peerExpiryMs = 10_000;
const maxPartsPerServer = 500;

/** Creates an exchange that knows no other entry. */
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
            wakeup: createSignal(host.timers),
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
            if (!peer.isReachable) log.info("Another entry is told of this one's dispatches.", { peer: peer.address });
            peer.isReachable = true;
            return true;
        }
        catch (error) {
            for (const [backendServer, partIds] of parts) addParts(peer.unsentParts, backendServer, [...partIds]);
            if (peer.isReachable) log.warn("Another entry cannot be told.", { peer: peer.address, detail: getErrorText(error) });
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

/**
 * Tells the other entries what this one has sent to each backend server, and takes in what they tell, so that entries do not all
 * choose the server that looks idle to each of them. What is lost on the way is made good by the next message.
 */
import type { GatewayRouter, SharedLoad } from "../../kernel/contracts.js";
import type { Host } from "../../kernel/host.js";
import { createRpcClients } from "../../kernel/rpc.js";
import { createNotifier, getErrorText, sleep, withTimeout } from "../../kernel/tasks.js";
import type { Notifier } from "../../kernel/tasks.js";
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
    learnPeers(addresses: readonly Address[]): void;
    /** A prompt was sent to a backend server, which has so many tokens to read for it. */
    noteDispatch(backendServer: string, readTokens: number, partIds: readonly string[]): void;
    /** Takes another entry's message in. */
    take(load: SharedLoad): void;
    start(signal: AbortSignal): void;
}

interface Peer {
    readonly address: Address;
    readonly work: Notifier;
    /** Parts that it has not been told of, by backend server. */
    parts: Map<string, Set<string>>;
    namedAtMs: number;
    hasNews: boolean;
    isReached: boolean;
}

/** Prompts of which a server has this much to read are told at once, because they hold up what comes after them. */
const urgentTokens = 1_500;
/** Urgent news within this time go along in one message. */
const batchMs = 40;
/** All else is told after this time. */
const refreshMs = 400;
const sendTimeoutMs = 300;
const retryMs = 400;
const forgetPeerAfterMs = 10_000;
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
        learnPeers(addresses) {
            const nowMs = host.clock.nowMs();
            for (const address of addresses) getPeer(address).namedAtMs = nowMs;
        },
        noteDispatch(backendServer, readTokens, partIds) {
            for (const peer of peers.values()) {
                addParts(peer.parts, backendServer, partIds);
                if (readTokens < urgentTokens) continue;
                peer.hasNews = true;
                peer.work.notify();
            }
        },
        take: load => loads.notePeer(load, host.clock.nowMs()),
        start(signal) {
            stopSignal = signal;
            for (const peer of peers.values()) void tellTask(peer, signal);
        },
    };

    function getPeer(address: Address): Peer {
        const known = peers.get(address);
        if (known !== undefined) return known;
        const peer: Peer = { address, work: createNotifier(host.timers), parts: new Map(), namedAtMs: 0, hasNews: true, isReached: false };
        peers.set(address, peer);
        if (stopSignal !== undefined) void tellTask(peer, stopSignal);
        return peer;
    }

    async function tellTask(peer: Peer, signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (!peer.hasNews) await peer.work.wait(refreshMs);
            await sleep(host.timers, batchMs, signal);
            if (signal.aborted) return;
            if (host.clock.nowMs() - peer.namedAtMs > forgetPeerAfterMs) break;
            if (!await tell(peer)) await sleep(host.timers, retryMs, signal);
        }
        peers.delete(peer.address);
    }

    async function tell(peer: Peer): Promise<boolean> {
        const { parts } = peer;
        peer.parts = new Map();
        peer.hasNews = false;
        const servers = loads.listOwn().map(load => ({ ...load, partIds: [...parts.get(load.backendServer) ?? []] }));
        try {
            const call = clients.get(peer.address).shareLoad.mutate({ from: incarnation, sequence: ++sequence, servers });
            await withTimeout(host.timers, call, sendTimeoutMs, "shareLoad");
            if (!peer.isReached) log.info("Another entry is told of this one's dispatches.", { peer: peer.address });
            peer.isReached = true;
            return true;
        }
        catch (error) {
            for (const [backendServer, partIds] of parts) addParts(peer.parts, backendServer, [...partIds]);
            if (peer.isReached) log.warn("Another entry cannot be told.", { peer: peer.address, detail: getErrorText(error) });
            peer.isReached = false;
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

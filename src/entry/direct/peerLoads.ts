/** Stores the dispatches that other entries report, and drops reports that are out of date. */
import type { SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";

/** Sum of the dispatches of all other entries to one backend server. */
export type PeerLoad = Pick<SharedServerLoad, "running" | "waiting" | "waitingTokens">;

/** Dispatches of other entries. */
export interface PeerLoads {
    /** Replaces the entry's previous message. Returns false when the message is older than the stored one. */
    update(load: SharedLoad, nowMs: number): boolean;
    /** Sums the dispatches of all other entries to a backend server. Undefined when no entry has reported recently. */
    getTotal(backendServer: string, nowMs: number): PeerLoad | undefined;
    /** Number of one entry's dispatches whose answers had not started, according to its last message. */
    countWaiting(peer: string, backendServer: string): number;
}

interface Peer {
    readonly sequence: number;
    readonly servers: ReadonlyMap<string, SharedServerLoad>;
    readonly receivedAtMs: number;
}

/** A report older than this no longer describes the present load. */
const staleAfterMs = 1_500;

/** Creates an empty collection. */
export function createPeerLoads(): PeerLoads {
    const peers = new Map<string, Peer>();
    return {
        update({ from, sequence, servers }, nowMs) {
            removeStale(nowMs);
            if (sequence <= (peers.get(from)?.sequence ?? -1)) return false;
            peers.set(from, { sequence, servers: new Map(servers.map(server => [server.backendServer, server])), receivedAtMs: nowMs });
            return true;
        },
        getTotal(backendServer, nowMs) {
            removeStale(nowMs);
            if (peers.size === 0) return undefined;
            const total = { running: 0, waiting: 0, waitingTokens: 0 };
            for (const { servers } of peers.values()) {
                const server = servers.get(backendServer);
                if (server === undefined) continue;
                total.running += server.running;
                total.waiting += server.waiting;
                total.waitingTokens += server.waitingTokens;
            }
            return total;
        },
        countWaiting: (peer, backendServer) => peers.get(peer)?.servers.get(backendServer)?.waiting ?? 0,
    };

    function removeStale(nowMs: number): void {
        for (const [from, { receivedAtMs }] of peers) {
            if (nowMs - receivedAtMs > staleAfterMs) peers.delete(from);
        }
    }
}

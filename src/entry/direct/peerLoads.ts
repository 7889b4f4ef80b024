/** What other entries have told of their dispatches, as long as it is fresh. */
import type { SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";

/** The dispatches of other entries. */
export interface PeerLoads {
    /** Takes a message in, in place of the one before. False when a later one is there already. */
    take(load: SharedLoad, nowMs: number): boolean;
    /** What each other entry has at a backend server. */
    list(backendServer: string, nowMs: number): readonly SharedServerLoad[];
    /** Dispatches of one other entry that had not begun, by its last message. */
    countWaiting(peer: string, backendServer: string): number;
}

interface Peer {
    readonly sequence: number;
    readonly servers: ReadonlyMap<string, SharedServerLoad>;
    readonly heardAtMs: number;
}

/** An entry that is not heard for this long tells nothing of the present. */
const staleAfterMs = 1_500;

/** Creates an empty collection. */
export function createPeerLoads(): PeerLoads {
    const peers = new Map<string, Peer>();
    return {
        take({ from, sequence, servers }, nowMs) {
            forgetStale(nowMs);
            if (sequence <= (peers.get(from)?.sequence ?? -1)) return false;
            peers.set(from, { sequence, servers: new Map(servers.map(server => [server.backendServer, server])), heardAtMs: nowMs });
            return true;
        },
        list(backendServer, nowMs) {
            forgetStale(nowMs);
            return [...peers.values()].flatMap(({ servers }) => servers.get(backendServer) ?? []);
        },
        countWaiting: (peer, backendServer) => peers.get(peer)?.servers.get(backendServer)?.waiting ?? 0,
    };

    function forgetStale(nowMs: number): void {
        for (const [from, { heardAtMs }] of peers) {
            if (nowMs - heardAtMs > staleAfterMs) peers.delete(from);
        }
    }
}

/** What other entries have told of their dispatches, as long as it is fresh. */
import type { SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";

/** Dispatches of other entries at one backend server, summed. */
export type PeerLoad = Pick<SharedServerLoad, "running" | "waiting" | "waitingTokens">;

/** The dispatches of other entries. */
export interface PeerLoads {
    /** Takes a message in, in place of the one before. False when a later one is there already. */
    update(load: SharedLoad, nowMs: number): boolean;
    /** What all other entries have at a backend server. Undefined when none has told of late. */
    getTotal(backendServer: string, nowMs: number): PeerLoad | undefined;
    /** Dispatches of one other entry that had not begun, by its last message. */
    countWaiting(peer: string, backendServer: string): number;
}

interface Peer {
    readonly sequence: number;
    readonly servers: ReadonlyMap<string, SharedServerLoad>;
    readonly receivedAtMs: number;
}

/** An entry that is not heard for this long tells nothing of the present. */
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
            const sum = { running: 0, waiting: 0, waitingTokens: 0 };
            for (const { servers } of peers.values()) {
                const server = servers.get(backendServer);
                if (server === undefined) continue;
                sum.running += server.running;
                sum.waiting += server.waiting;
                sum.waitingTokens += server.waitingTokens;
            }
            return sum;
        },
        countWaiting: (peer, backendServer) => peers.get(peer)?.servers.get(backendServer)?.waiting ?? 0,
    };

    function removeStale(nowMs: number): void {
        for (const [from, { receivedAtMs: heardAtMs }] of peers) {
            if (nowMs - heardAtMs > staleAfterMs) peers.delete(from);
        }
    }
}

/** Calls between the replicas of the log, over tRPC. */
import { z } from "zod";
import type { Host } from "../../kernel/host.js";
import { createRpcClients, rpc } from "../../kernel/rpc.js";
import type { PeerCalls, Replica } from "./replicaTypes.js";
import { appendRequestSchema, snapshotChunkSchema, voteRequestSchema } from "./types.js";
import type { AppendReply, SnapshotReply, VoteReply } from "./types.js";

/** Procedures that a replica serves to the others. */
export function createPeerRouter(replica: Pick<Replica, "onVote" | "onAppend" | "onSnapshot" | "onStartElection">) {
    return rpc.router({
        vote: rpc.procedure.input(voteRequestSchema).mutation(({ input }) => replica.onVote(input)),
        append: rpc.procedure.input(appendRequestSchema).mutation(({ input }) => replica.onAppend(input)),
        installSnapshot: rpc.procedure.input(snapshotChunkSchema).mutation(({ input }) => replica.onSnapshot(input)),
        startElection: rpc.procedure.input(z.object({ term: z.number().int() })).mutation(({ input }) =>
            replica.onStartElection(input.term)
        ),
    });
}

/** All procedures between replicas, under the name that they have on a control VM. */
export function createRootRouter(replica: Replica) {
    return rpc.router({ peer: createPeerRouter(replica) });
}
/** Type of the procedures between replicas. */
export type PeerRouter = ReturnType<typeof createRootRouter>;

/** Calls to the other replicas. */
export function createPeerCalls(host: Host): PeerCalls {
    const clients = createRpcClients<PeerRouter>(host.network);
    return {
        vote: (address, request) => clients.get(address).peer.vote.mutate(request) as Promise<VoteReply>,
        append: (address, request) =>
            clients.get(address).peer.append.mutate({ ...request, entries: [...request.entries] }) as Promise<AppendReply>,
        installSnapshot: (address, chunk) => clients.get(address).peer.installSnapshot.mutate(chunk) as Promise<SnapshotReply>,
        startElection: (address, term) => clients.get(address).peer.startElection.mutate({ term }) as Promise<void>,
    };
}

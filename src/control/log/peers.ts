/** Calls between the replicas of the log, over tRPC. Each names the voter that is meant, because an address may change hands. */
import { z } from "zod";
import type { Host } from "../../kernel/host.js";
import { createRpcClients, rpc } from "../../kernel/rpc.js";
import type { PeerCalls, Replica } from "./replicaTypes.js";
import { appendRequestSchema, snapshotChunkSchema, voteRequestSchema } from "./types.js";
import type { AppendReply, Member, SnapshotReply, VoteReply, VoterId } from "./types.js";

/** Thrown at a call that is meant for another voter. */
export class OtherVoterError extends Error {
    override readonly name = "OtherVoterError";
}

/** Procedures that a replica serves to the others. */
export function createPeerRouter(replica: Pick<Replica, "voterId" | "onVote" | "onAppend" | "onSnapshot" | "onStartElection">) {
    // An emptied disk comes back under a new identity. It must not answer for the voter that it was.
    const addressed = rpc.procedure.input(z.object({ recipientId: z.string() })).use(({ input, next }) => {
        if (input.recipientId !== replica.voterId) throw new OtherVoterError(`${input.recipientId} is not here, but ${replica.voterId}`);
        return next();
    });
    return rpc.router({
        vote: addressed.input(voteRequestSchema).mutation(({ input }) => replica.onVote(input)),
        append: addressed.input(appendRequestSchema).mutation(({ input }) => replica.onAppend(input)),
        installSnapshot: addressed.input(snapshotChunkSchema).mutation(({ input }) => replica.onSnapshot(input)),
        startElection: addressed.input(z.object({ term: z.number().int() })).mutation(({ input }) => replica.onStartElection(input.term)),
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
    const getPeer = (to: Recipient) => clients.get(to.address).peer;
    return {
        vote: (to, request) => getPeer(to).vote.mutate({ ...request, recipientId: to.voterId }) as Promise<VoteReply>,
        append: (to, request) =>
            getPeer(to).append.mutate({ ...request, entries: [...request.entries], recipientId: to.voterId }) as Promise<AppendReply>,
        installSnapshot: (to, chunk) => getPeer(to).installSnapshot.mutate({ ...chunk, recipientId: to.voterId }) as Promise<SnapshotReply>,
        startElection: (to, term) => getPeer(to).startElection.mutate({ term, recipientId: to.voterId }) as Promise<void>,
    };
}

type Recipient = Pick<Member, "address"> & { readonly voterId: VoterId; };

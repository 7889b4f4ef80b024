/** tRPC procedures between log replicas. Each call names the recipient's voter id, because another voter may reuse an address. */
import { z } from "zod";
import type { Host } from "../../kernel/host.js";
import { createRpcClients, rpc } from "../../kernel/rpc.js";
import type { PeerCalls, Replica } from "./replicaTypes.js";
import { appendRequestSchema, snapshotChunkSchema, voteRequestSchema } from "./types.js";
import type { AppendReply, Member, SnapshotReply, VoteReply, VoterId } from "./types.js";

/** Thrown when a call is addressed to a different voter id than the one that this replica has. */
export class WrongVoterError extends Error {
    override readonly name = "WrongVoterError";
}

/** Creates the procedures that a replica serves to its peers. */
export function createPeerRouter(replica: Pick<Replica, "voterId" | "onVote" | "onAppend" | "onSnapshot" | "onStartElection">) {
    // A VM whose disk was emptied rejoins under a new voter id. It must not answer for its old id, because it has lost that
    // voter's log and votes.
    const recipientProcedure = rpc.procedure.input(z.object({ recipientId: z.string() })).use(({ input, next }) => {
        if (input.recipientId !== replica.voterId) throw new WrongVoterError(`${input.recipientId} is not here, but ${replica.voterId}`);
        return next();
    });
    return rpc.router({
        vote: recipientProcedure.input(voteRequestSchema).mutation(({ input }) => replica.onVote(input)),
        append: recipientProcedure.input(appendRequestSchema).mutation(({ input }) => replica.onAppend(input)),
        installSnapshot: recipientProcedure.input(snapshotChunkSchema).mutation(({ input }) => replica.onSnapshot(input)),
        startElection: recipientProcedure.input(z.object({ term: z.number().int() })).mutation(({ input }) =>
            replica.onStartElection(input.term)
        ),
    });
}

/** Creates the router with the procedures between replicas under `peer`, their prefix on a control VM. */
export function createRootRouter(replica: Replica) {
    return rpc.router({ peer: createPeerRouter(replica) });
}
/** Type of the procedures between replicas. */
export type PeerRouter = ReturnType<typeof createRootRouter>;

/** Creates the client for the procedures of other replicas. */
export function createPeerCalls(host: Host): PeerCalls {
    const clients = createRpcClients<PeerRouter>(host.network);
    const getClient = (to: Recipient) => clients.get(to.address).peer;
    return {
        vote: (to, request, signal) => getClient(to).vote.mutate({ ...request, recipientId: to.voterId }, { signal }) as Promise<VoteReply>,
        append: (to, request, signal) =>
            getClient(to).append.mutate({ ...request, entries: [...request.entries], recipientId: to.voterId }, { signal }) as Promise<
                AppendReply
            >,
        installSnapshot: (to, chunk, signal) =>
            getClient(to).installSnapshot.mutate({ ...chunk, recipientId: to.voterId }, { signal }) as Promise<SnapshotReply>,
        startElection: (to, term, signal) =>
            getClient(to).startElection.mutate({ term, recipientId: to.voterId }, { signal }) as Promise<void>,
    };
}

type Recipient = Pick<Member, "address"> & { readonly voterId: VoterId; };

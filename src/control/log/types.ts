/** Shared vocabulary of the replicated log. */
import { z } from "zod";

/** Identity of a voter. A replaced or emptied disk gets a new one. */
export type VoterId = string;

/** One member of the control group. */
export const memberSchema = z.object({ voterId: z.string().min(1), address: z.string().min(1), failureDomain: z.string() }).readonly();
/** One member of the control group. */
export type Member = z.infer<typeof memberSchema>;

/** Who votes. While `nextVoters` is present, decisions need a majority of both sets. */
export const membershipSchema = z.object({
    voters: z.array(memberSchema).readonly(),
    nextVoters: z.array(memberSchema).readonly().optional(),
    learners: z.array(memberSchema).readonly(),
}).readonly();
/** Who votes. */
export type Membership = z.infer<typeof membershipSchema>;

const entryBase = {
    index: z.number().int().positive(),
    term: z.number().int().nonnegative(),
    controlTimeMs: z.number(),
    wallMs: z.number(),
};

/** One entry of the log. */
export const entrySchema = z.discriminatedUnion("kind", [
    z.object({ ...entryBase, kind: z.literal("command"), operationId: z.string(), command: z.string(), input: z.unknown() }),
    z.object({ ...entryBase, kind: z.literal("membership"), membership: membershipSchema }),
    /** A new leader's first entry. It commits what came before. */
    z.object({ ...entryBase, kind: z.literal("leaderStart"), voterId: z.string() }),
]);
/** One entry of the log. */
export type LogEntry = Readonly<z.infer<typeof entrySchema>>;

/** The promises that a voter must not forget. */
export interface HardState {
    readonly term: number;
    readonly votedFor?: VoterId;
}

/** State at an index, which stands for all entries up to it. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly controlTimeMs: number;
    readonly membership: Membership;
    readonly state: unknown;
}

/** A request for a vote, or for the promise of one. */
export const voteRequestSchema = z.object({
    term: z.number().int(),
    candidateId: z.string(),
    lastIndex: z.number().int(),
    lastTerm: z.number().int(),
    isPreVote: z.boolean(),
    /** The old leader asked for this election, so a recent heartbeat is no ground to refuse. */
    isHandover: z.boolean(),
});
/** A request for a vote. */
export type VoteRequest = Readonly<z.infer<typeof voteRequestSchema>>;

/** Answer to a request for a vote. */
export interface VoteReply {
    readonly term: number;
    readonly isGranted: boolean;
}

/** Entries, or an empty heartbeat, from a leader. */
export const appendRequestSchema = z.object({
    term: z.number().int(),
    leaderId: z.string(),
    leaderAddress: z.string(),
    previousIndex: z.number().int(),
    previousTerm: z.number().int(),
    entries: z.array(entrySchema),
    commitIndex: z.number().int(),
});
/** Entries from a leader. */
export type AppendRequest = Readonly<z.infer<typeof appendRequestSchema>>;

/** Answer to an append. */
export interface AppendReply {
    readonly term: number;
    readonly isAppended: boolean;
    /** Last index that is durable and matches, or the index to try next when not appended. */
    readonly index: number;
}

/** One piece of a snapshot from a leader. */
export const snapshotChunkSchema = z.object({
    term: z.number().int(),
    leaderId: z.string(),
    leaderAddress: z.string(),
    index: z.number().int(),
    offsetBytes: z.number().int(),
    totalBytes: z.number().int(),
    dataBase64: z.string(),
});
/** One piece of a snapshot from a leader. */
export type SnapshotChunk = Readonly<z.infer<typeof snapshotChunkSchema>>;

/** Answer to a piece of a snapshot. */
export interface SnapshotReply {
    readonly term: number;
    /** Bytes that the follower holds. The leader goes on from here. */
    readonly receivedBytes: number;
    readonly isInstalled: boolean;
}

/** True when the voters that hold make a quorum of each voter set. */
export function hasQuorum(membership: Membership, holds: (voterId: VoterId) => boolean): boolean {
    const isMajority = (voters: readonly Member[]) => voters.filter(voter => holds(voter.voterId)).length * 2 > voters.length;
    return isMajority(membership.voters) && (membership.nextVoters === undefined || isMajority(membership.nextVoters));
}

/** Every member that votes now, once each. */
export function getVoters(membership: Membership): readonly Member[] {
    const byId = new Map([...membership.voters, ...membership.nextVoters ?? []].map(voter => [voter.voterId, voter]));
    return [...byId.values()];
}

/** Every member that entries are sent to, once each. */
export function getMembers(membership: Membership): readonly Member[] {
    const byId = new Map([...membership.learners, ...getVoters(membership)].map(member => [member.voterId, member]));
    return [...byId.values()];
}

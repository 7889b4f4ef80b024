/** Types and message schemas of the replicated log. */
import { z } from "zod";

/** Id of a group member. A VM whose disk was replaced or emptied gets a new one. */
export type VoterId = string;

/** Schema of a member of the control group. */
export const memberSchema = z.object({ voterId: z.string().min(1), address: z.string().min(1), failureDomain: z.string() }).readonly();
/** A member of the control group. */
export type Member = z.infer<typeof memberSchema>;

/** Schema of the voters and learners of a group. While `nextVoters` is present, a quorum needs a majority of both voter sets. */
export const membershipSchema = z.object({
    voters: z.array(memberSchema).readonly(),
    nextVoters: z.array(memberSchema).readonly().optional(),
    learners: z.array(memberSchema).readonly(),
}).readonly();
/** The voters and learners of a group. */
export type Membership = z.infer<typeof membershipSchema>;

const entryBase = {
    index: z.number().int().positive(),
    term: z.number().int().nonnegative(),
    controlTimeMs: z.number(),
    wallMs: z.number(),
};

/** Schema of a log entry. */
export const entrySchema = z.discriminatedUnion("kind", [
    z.object({ ...entryBase, kind: z.literal("command"), operationId: z.string(), command: z.string(), input: z.unknown() }),
    z.object({ ...entryBase, kind: z.literal("membership"), membership: membershipSchema }),
    /** A new leader's first entry. Committing it commits all entries of earlier terms. */
    z.object({ ...entryBase, kind: z.literal("leaderStart"), voterId: z.string() }),
]);
/** A log entry. */
export type LogEntry = Readonly<z.infer<typeof entrySchema>>;

/** Term and vote of a voter (Raft's hard state). They must be durable before a vote or reply is sent. */
export interface HardState {
    readonly term: number;
    readonly votedFor?: VoterId;
}

/** State of the log at an index, which replaces all entries up to that index. */
export interface Snapshot {
    readonly index: number;
    readonly term: number;
    readonly controlTimeMs: number;
    readonly membership: Membership;
    readonly state: unknown;
}

/** Schema of a vote or pre-vote request. */
export const voteRequestSchema = z.object({
    term: z.number().int(),
    candidateId: z.string(),
    lastIndex: z.number().int(),
    lastTerm: z.number().int(),
    isPreVote: z.boolean(),
    /** The leader requested this election to transfer its leadership, so a recent heartbeat is no reason to refuse the vote. */
    isHandover: z.boolean(),
});
/** A vote or pre-vote request. */
export type VoteRequest = Readonly<z.infer<typeof voteRequestSchema>>;

/** Reply to a vote or pre-vote request. */
export interface VoteReply {
    readonly term: number;
    readonly isGranted: boolean;
}

/** Schema of an append request. Without entries it is a heartbeat. */
export const appendRequestSchema = z.object({
    term: z.number().int(),
    leaderId: z.string(),
    leaderAddress: z.string(),
    previousIndex: z.number().int(),
    previousTerm: z.number().int(),
    entries: z.array(entrySchema),
    commitIndex: z.number().int(),
});
/** An append request from a leader. */
export type AppendRequest = Readonly<z.infer<typeof appendRequestSchema>>;

/** Reply to an append request. */
export interface AppendReply {
    readonly term: number;
    readonly isAppended: boolean;
    /** Last index that is durable and matches the leader's log, or, if nothing was appended, the index that the leader tries next. */
    readonly index: number;
    /** True while the disk of the follower refuses writes. Heartbeats, which store nothing, are answered in any case. */
    readonly hasDiskFailed?: boolean;
}

/** Schema of a snapshot chunk. */
export const snapshotChunkSchema = z.object({
    term: z.number().int(),
    leaderId: z.string(),
    leaderAddress: z.string(),
    index: z.number().int(),
    offsetBytes: z.number().int(),
    totalBytes: z.number().int(),
    dataBase64: z.string(),
});
/** A chunk of a snapshot from a leader. */
export type SnapshotChunk = Readonly<z.infer<typeof snapshotChunkSchema>>;

/** Reply to a snapshot chunk. */
export interface SnapshotReply {
    readonly term: number;
    /** Number of bytes that the follower has received. The leader sends the next chunk from this offset. */
    readonly receivedBytes: number;
    readonly isInstalled: boolean;
}

/** Returns true if the voters for which `isCounted` returns true form a majority of each voter set. */
export function hasQuorum(membership: Membership, isCounted: (voterId: VoterId) => boolean): boolean {
    const isMajority = (voters: readonly Member[]) => voters.filter(voter => isCounted(voter.voterId)).length * 2 > voters.length;
    return isMajority(membership.voters) && (membership.nextVoters === undefined || isMajority(membership.nextVoters));
}

/** Returns the voters of both voter sets, without duplicates. */
export function getVoters(membership: Membership): readonly Member[] {
    const byId = new Map([...membership.voters, ...membership.nextVoters ?? []].map(voter => [voter.voterId, voter]));
    return [...byId.values()];
}

/** Returns all voters and learners, without duplicates. These are the members to which entries are replicated. */
export function getMembers(membership: Membership): readonly Member[] {
    const byId = new Map([...membership.learners, ...getVoters(membership)].map(member => [member.voterId, member]));
    return [...byId.values()];
}

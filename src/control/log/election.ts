/** Leader election of one replica: pre-vote, vote, and the replies to both requests. */
import { callWithTimeout, getErrorText, sleep } from "../../kernel/tasks.js";
import type { ReplicaCore } from "./replicaTypes.js";
import { getVoters, hasQuorum } from "./types.js";
import type { Member, VoteReply, VoteRequest, VoterId } from "./types.js";

/** The election task of a replica and the handlers of election requests. */
export interface Election {
    /** Starts an election whenever no leader has been heard from for an election timeout. Returns when the replica stops. */
    run(): Promise<void>;
    onVote(request: VoteRequest): Promise<VoteReply>;
    /** Starts an election immediately, because the leader of this term transfers its leadership to this voter. */
    startImmediately(term: number): void;
}

/** Creates the election of a replica. */
export function createElection(core: ReplicaCore): Election {
    const { host, options, state } = core;
    const { self, store, timing } = options;
    const log = host.createLogger("election");
    return {
        async run() {
            let waitMs = getRandomTimeoutMs();
            while (!core.stopSignal.aborted) {
                await sleep(host.timers, waitMs, core.stopSignal);
                if (core.stopSignal.aborted) return;
                waitMs = getRandomTimeoutMs();
                if (!shouldCampaign()) continue;
                await campaign(false).catch(error => log.warn("An election failed.", { detail: getErrorText(error) }));
            }
        },
        onVote: request => core.runExclusive(() => handleVoteRequest(request)),
        startImmediately(term) {
            if (term !== core.getTerm()) return;
            void campaign(true).catch(error => log.warn("The election for a leadership transfer failed.", { detail: getErrorText(error) }));
        },
    };

    function getRandomTimeoutMs(): number {
        return timing.electionTimeoutMs * (0.5 + host.random.nextFloat() / 2);
    }

    function shouldCampaign(): boolean {
        if (state.role === "leader" || state.hasDiskFailed || !isVoter()) return false;
        return !hasRecentLeader();
    }

    function isVoter(): boolean {
        return getVoters(state.membership).some(voter => voter.voterId === self.voterId);
    }

    function hasRecentLeader(): boolean {
        return host.clock.nowMs() - state.lastLeaderContactMs < timing.electionTimeoutMs;
    }

    async function campaign(isHandover: boolean): Promise<void> {
        const term = core.getTerm();
        // Pre-vote prevents a voter that was partitioned from raising the term of the others when it reconnects.
        if (!isHandover && !await requestVotes(term + 1, true, false)) return;
        const isCandidate = await core.runExclusive(() => becomeCandidate(term));
        if (!isCandidate) return;
        const isElected = await requestVotes(term + 1, false, isHandover);
        await core.runExclusive(async () => {
            if (isElected && core.getTerm() === term + 1 && state.role === "candidate") core.becomeLeader();
            else if (state.role === "candidate") state.role = "follower";
        });
    }

    async function becomeCandidate(term: number): Promise<boolean> {
        if (core.getTerm() !== term || state.role === "leader") return false;
        state.role = "candidate";
        state.leaderId = undefined;
        state.leaderAddress = undefined;
        await core.saveHardState({ term: term + 1, votedFor: self.voterId });
        return true;
    }

    // Requests the votes of all other voters in parallel. Resolves as soon as a quorum has granted or all have replied or failed.
    function requestVotes(term: number, isPreVote: boolean, isHandover: boolean): Promise<boolean> {
        const membership = state.membership;
        const others = getVoters(membership).filter(voter => voter.voterId !== self.voterId);
        const granted = new Set<VoterId>([self.voterId]);
        const request: VoteRequest = {
            term,
            candidateId: self.voterId,
            lastIndex: store.lastIndex,
            lastTerm: store.getTerm(store.lastIndex) ?? 0,
            isPreVote,
            isHandover,
        };
        return new Promise(resolve => {
            const hasWon = () => hasQuorum(membership, voterId => granted.has(voterId));
            if (hasWon()) return resolve(true);
            let outstandingVotes = others.length;
            const requestVote = async (voter: Member) => {
                try {
                    const reply = await callWithTimeout(
                        host.timers,
                        signal => options.calls.vote(voter, request, signal),
                        timing.callTimeoutMs,
                        "vote",
                    );
                    if (reply.isGranted) granted.add(voter.voterId);
                    else if (reply.term > term) await core.runExclusive(() => stepDownIfNewerTerm(reply.term));
                }
                catch {
                    // A voter that cannot be reached has not voted.
                }
                outstandingVotes--;
                if (hasWon()) resolve(true);
                else if (outstandingVotes === 0) resolve(false);
            };
            for (const voter of others) void requestVote(voter);
        });
    }

    async function stepDownIfNewerTerm(term: number): Promise<void> {
        if (term > core.getTerm()) await core.becomeFollower(term, "newerTerm");
    }

    async function handleVoteRequest(request: VoteRequest): Promise<VoteReply> {
        const isLeaderKnown = state.role === "leader" || hasRecentLeader();
        if (state.hasDiskFailed || (isLeaderKnown && !request.isHandover)) return { term: core.getTerm(), isGranted: false };
        if (request.isPreVote) return { term: core.getTerm(), isGranted: request.term > core.getTerm() && isUpToDate(request) };
        if (request.term > core.getTerm()) await core.becomeFollower(request.term, "newerTerm");
        const { term, votedFor } = store.hardState;
        const mayVote = votedFor === undefined || votedFor === request.candidateId;
        if (request.term < term || !mayVote || !isUpToDate(request)) return { term, isGranted: false };
        // The vote must be durable before the reply, so that a restart cannot vote twice in one term.
        await core.saveHardState({ term, votedFor: request.candidateId });
        return { term, isGranted: true };
    }

    function isUpToDate(request: VoteRequest): boolean {
        const lastTerm = store.getTerm(store.lastIndex) ?? 0;
        return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= store.lastIndex);
    }
}

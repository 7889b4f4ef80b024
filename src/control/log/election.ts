/** Elections of one replica: pre-vote, vote, and the answers to both. */
import { getErrorText, sleep, withTimeout } from "../../kernel/tasks.js";
import type { ReplicaCore } from "./replicaTypes.js";
import { getVoters, hasQuorum } from "./types.js";
import type { Member, VoteReply, VoteRequest, VoterId } from "./types.js";

/** The election task and the handlers that belong to it. */
export interface Election {
    run(): Promise<void>;
    onVote(request: VoteRequest): Promise<VoteReply>;
    /** Starts an election at once, because the leader of this term hands over. */
    startNow(term: number): void;
}

/** Creates the election of a replica. */
export function createElection(core: ReplicaCore): Election {
    const { host, options, state } = core;
    const { self, store, timing } = options;
    const log = host.createLogger("election");
    return {
        async run() {
            let waitMs = getTimeoutMs();
            while (!core.stopSignal.aborted) {
                await sleep(host.timers, waitMs, core.stopSignal);
                if (core.stopSignal.aborted) return;
                waitMs = getTimeoutMs();
                if (!isDue()) continue;
                await campaign(false).catch(error => log.warn("An election failed.", { detail: getErrorText(error) }));
            }
        },
        onVote: request => core.exclusive(() => answer(request)),
        startNow(term) {
            if (term !== core.getTerm()) return;
            void campaign(true).catch(error => log.warn("A hand-over failed.", { detail: getErrorText(error) }));
        },
    };

    function getTimeoutMs(): number {
        return timing.electionTimeoutMs * (0.5 + host.random.nextFloat() / 2);
    }

    function isDue(): boolean {
        if (state.role === "leader" || state.hasDiskFailed || !isSelfVoter()) return false;
        return !hasRecentLeader();
    }

    function isSelfVoter(): boolean {
        return getVoters(state.membership).some(voter => voter.voterId === self.voterId);
    }

    function hasRecentLeader(): boolean {
        return host.clock.nowMs() - state.lastLeaderContactMs < timing.electionTimeoutMs;
    }

    async function campaign(isHandover: boolean): Promise<void> {
        const term = core.getTerm();
        // Pre-vote keeps a voter that was cut off from raising the term when it comes back.
        if (!isHandover && !await collect(term + 1, true, false)) return;
        const isOpen = await core.exclusive(() => openTerm(term));
        if (!isOpen) return;
        const isElected = await collect(term + 1, false, isHandover);
        await core.exclusive(async () => {
            if (isElected && core.getTerm() === term + 1 && state.role === "candidate") core.becomeLeader();
            else if (state.role === "candidate") state.role = "follower";
        });
    }

    async function openTerm(term: number): Promise<boolean> {
        if (core.getTerm() !== term || state.role === "leader") return false;
        state.role = "candidate";
        state.leaderId = undefined;
        state.leaderAddress = undefined;
        await core.saveHardState({ term: term + 1, votedFor: self.voterId });
        return true;
    }

    // Asks every voter at once and returns as soon as the outcome is certain.
    function collect(term: number, isPreVote: boolean, isHandover: boolean): Promise<boolean> {
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
            const count = () => hasQuorum(membership, voterId => granted.has(voterId));
            if (count()) return resolve(true);
            let waiting = others.length;
            const ask = async (voter: Member) => {
                try {
                    const reply = await withTimeout(host.timers, options.calls.vote(voter, request), timing.callTimeoutMs, "vote");
                    if (reply.isGranted) granted.add(voter.voterId);
                    else if (reply.term > term) await core.exclusive(() => followLater(reply.term));
                }
                catch {
                    // A voter that cannot be reached has not voted.
                }
                waiting--;
                if (count()) resolve(true);
                else if (waiting === 0) resolve(false);
            };
            for (const voter of others) void ask(voter);
        });
    }

    async function followLater(term: number): Promise<void> {
        if (term > core.getTerm()) await core.becomeFollower(term);
    }

    async function answer(request: VoteRequest): Promise<VoteReply> {
        const isLeaderKnown = state.role === "leader" || hasRecentLeader();
        if (state.hasDiskFailed || (isLeaderKnown && !request.isHandover)) return { term: core.getTerm(), isGranted: false };
        if (request.isPreVote) return { term: core.getTerm(), isGranted: request.term > core.getTerm() && isUpToDate(request) };
        if (request.term > core.getTerm()) await core.becomeFollower(request.term);
        const { term, votedFor } = store.hardState;
        const isFree = votedFor === undefined || votedFor === request.candidateId;
        if (request.term < term || !isFree || !isUpToDate(request)) return { term, isGranted: false };
        // The vote is durable before it is given.
        await core.saveHardState({ term, votedFor: request.candidateId });
        return { term, isGranted: true };
    }

    function isUpToDate(request: VoteRequest): boolean {
        const lastTerm = store.getTerm(store.lastIndex) ?? 0;
        return request.lastTerm > lastTerm || (request.lastTerm === lastTerm && request.lastIndex >= store.lastIndex);
    }
}

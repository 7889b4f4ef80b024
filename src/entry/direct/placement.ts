/**
 * Chooses the backend server of a dispatch by the time until the request is expected to start there: prompt tokens that the
 * server has yet to read, requests that wait, and how full it is. Entries agree without talking on where the
 * parts of a prompt are cached, by rendezvous hashing (Thaler and Ravishankar, 1998) of the last part that other
 * prompts share. The part after that is the request's own.
 */
import { getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { TrackedServer } from "./loadTracker.js";
import type { PeerLoad } from "./peerLoads.js";
import type { PromptPart } from "./types.js";

/** What is to be placed. */
export interface PlacementRequest {
    /** Zero for requests to plain services. */
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
}

/** A server that could take the request. */
export interface Candidate {
    readonly server: BackendServerRecord;
    readonly tracked: TrackedServer;
}

/** A choice and what it rests on. */
export interface Placement {
    readonly server: BackendServerRecord;
    /** Prompt tokens that it is expected to read. */
    readonly prefillTokens: number;
    /** Prompt tokens that it is expected to read before, for others. */
    readonly queuedTokens: number;
    readonly expectedStartMs: number;
}

/** Reading a part anew also displaces others from the cache and delays what comes after. */
const prefillWeight = 2;
/** Time for which the home of a prompt is preferred, because entries that have not told may have sent its parts there. */
const homeBonusMs = 40;
/** Time that one more running request costs a new one at an engine, and one that waits. */
const runningCostMs = 0.6;
const waitingCostMs = 12;
/** Time that a request takes at a plain service, relative to which its load is weighed. */
const serviceMs = 60;
/** A reported load says nothing of the present after this time. */
const loadStaleMs = 1_500;
const coldFactor = 1.5;
const maxTieBreakMs = 0.5;

/** Chooses among the candidates. Undefined when none takes work now. */
export function choosePlacement(
    request: PlacementRequest,
    candidates: readonly Candidate[],
    nowMs: number,
    randomUnit: number,
): Placement | undefined {
    const usable = filterUsable(candidates, nowMs);
    const home = findHomeServer(request, usable);
    let best: Placement | undefined;
    let bestScoreMs = Infinity;
    for (const candidate of usable) {
        const prefillTokens = estimatePrefillTokens(request, candidate);
        const peerLoad = candidate.tracked.getPeerLoad(nowMs);
        const queuedTokens = candidate.tracked.getQueuedTokens(peerLoad, nowMs);
        const expectedStartMs = estimateStartMs(request, candidate, { tokens: prefillTokens + queuedTokens, peerLoad }, nowMs);
        const prefillPenaltyMs = prefillTokens * (prefillWeight - 1) / candidate.tracked.latencyModel.getTokensPerMs(nowMs);
        // Equal candidates are told apart at random, so that entries do not all choose the first.
        const tieBreakMs = (candidate.tracked.nameHash + randomUnit) % 1 * maxTieBreakMs;
        const bonusMs = candidate === home ? homeBonusMs : 0;
        const scoreMs = expectedStartMs + prefillPenaltyMs + candidate.tracked.getDelayMs(nowMs) - bonusMs + tieBreakMs;
        if (scoreMs >= bestScoreMs) continue;
        bestScoreMs = scoreMs;
        best = { server: candidate.server, prefillTokens, queuedTokens, expectedStartMs };
    }
    return best;
}

// Silent and ejected servers are passed over while others are there.
function filterUsable(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
    const notEjected = candidates.filter(candidate => candidate.tracked.ejectedUntilMs <= nowMs);
    const responsive = notEjected.filter(candidate => !candidate.server.isSilent);
    return responsive.length > 0 ? responsive : notEjected;
}

// Where it is known who holds the prompt's parts, nothing needs to be agreed on.
function findHomeServer(request: PlacementRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const shared = request.promptParts.at(-2) ?? request.promptParts.at(-1);
    if (shared === undefined || candidates.some(({ tracked: facts }) => facts.hasCachedPart(shared.partId))) return undefined;
    let home: Candidate | undefined;
    let highestWeight = -1;
    for (const candidate of candidates) {
        const weight = getHash32(`${shared.partId} ${candidate.server.backendServer}`);
        if (weight <= highestWeight) continue;
        highestWeight = weight;
        home = candidate;
    }
    return home;
}

// A part is of use only where all parts before it are cached too.
function estimatePrefillTokens(request: PlacementRequest, candidate: Candidate): number {
    let cachedTokens = 0;
    for (const part of request.promptParts) {
        if (!candidate.tracked.hasCachedPart(part.partId)) break;
        cachedTokens += part.tokens;
    }
    return Math.max(0, request.promptTokens - cachedTokens);
}

/** What a candidate has to do before the request starts. */
interface QueuedLoad {
    /** Prompt tokens, those of the request included. */
    readonly tokens: number;
    readonly peerLoad: PeerLoad | undefined;
}

function estimateStartMs(request: PlacementRequest, candidate: Candidate, queued: QueuedLoad, nowMs: number): number {
    const { server, tracked: facts } = candidate;
    const own = facts.dispatches.size;
    const load = facts.reported !== undefined && nowMs - facts.reported.atMs < loadStaleMs ? facts.reported : undefined;
    const inFlight = queued.peerLoad === undefined ? countInFlight(facts, load) : own + queued.peerLoad.running;
    const slots = Math.max(1, server.maxRunning);
    const coldMultiplier = server.coldLeftMs > 0 ? coldFactor : 1;
    if (request.promptTokens === 0) return coldMultiplier * serviceMs * (inFlight / slots + Math.max(0, inFlight - slots) / slots);
    const waiting = Math.max(0, inFlight - slots) + (load?.load.waiting ?? 0);
    return coldMultiplier *
        (facts.latencyModel.predictMs(queued.tokens, nowMs) + Math.min(inFlight, slots) * runningCostMs + waiting * waitingCostMs);
}

// What other entries have sent since the report is not known.
function countInFlight(facts: TrackedServer, reported: TrackedServer["reported"]): number {
    const own = facts.dispatches.size;
    if (reported === undefined) return own;
    return Math.max(own, reported.load.running + reported.load.waiting + countDispatchedSince(facts, reported.atMs));
}

function countDispatchedSince(facts: TrackedServer, sinceMs: number): number {
    let count = 0;
    for (const dispatch of facts.dispatches) {
        if (dispatch.sentAtMs > sinceMs) count++;
    }
    return count;
}

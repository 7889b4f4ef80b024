/**
 * Chooses the backend server of a dispatch by the expected time until its answer starts, which depends on the prompt tokens that
 * the server has yet to prefill, on waiting requests and on its utilization. Entries agree without communication on the server
 * that caches a shared prompt prefix, its home server, by rendezvous hashing (Thaler and Ravishankar, 1998) of the last part that
 * other prompts share. The part after that one is unique to the request.
 */
import { combineHashes, getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { TrackedServer } from "./loadTracker.js";
import type { PeerLoad } from "./peerLoads.js";
import type { PromptPart } from "./types.js";

/** Request to place. */
export interface PlacementRequest {
    /** Zero for requests to services other than model engines. */
    readonly promptTokens: number;
    readonly promptParts: readonly PromptPart[];
}

/** A server that the request may be sent to. */
export interface Candidate {
    readonly server: BackendServerRecord;
    readonly tracked: TrackedServer;
}

/** The chosen server, with the estimates behind the choice. */
export interface Placement {
    readonly server: BackendServerRecord;
    /** Prompt tokens of the request that the server is expected to prefill. */
    readonly prefillTokens: number;
    /** Prompt tokens of earlier requests that the server is expected to prefill first. */
    readonly queuedTokens: number;
    readonly expectedStartMs: number;
}

/** Prefilling an uncached part counts double, because it also evicts other parts from the cache and delays later requests. */
const prefillWeight = 2;
/** Cost advantage of the home server, because entries whose reports have not arrived may have sent the prompt's parts there. */
const homeBonusMs = 40;
/** Delay that each running request and each waiting request adds for a new request at a model engine. */
const runningCostMs = 0.6;
const waitingCostMs = 12;
/** Assumed duration of a request at a service other than a model engine, used to convert its load into time. */
const serviceMs = 60;
/** A load report older than this is ignored. */
const loadStaleMs = 1_500;
/** Factor on the expected time while a server is still warming up. */
const coldFactor = 1.5;
const maxTieBreakMs = 0.5;

/** Chooses the candidate of lowest cost. Undefined when no candidate is usable. `randomUnit` is a random number in [0, 1). */
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
        // Ties are broken at random, so that entries do not all choose the first of several equal candidates.
        const tieBreakMs = (candidate.tracked.nameHash + randomUnit) % 1 * maxTieBreakMs;
        const bonusMs = candidate === home ? homeBonusMs : 0;
        const scoreMs = expectedStartMs + prefillPenaltyMs + candidate.tracked.getDelayMs(nowMs) - bonusMs + tieBreakMs;
        if (scoreMs >= bestScoreMs) continue;
        bestScoreMs = scoreMs;
        best = { server: candidate.server, prefillTokens, queuedTokens, expectedStartMs };
    }
    return best;
}

// Ejected servers are never used. Servers without recent heartbeats are used only when there are no others.
function filterUsable(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
    const notEjected = candidates.filter(candidate => candidate.tracked.ejectedUntilMs <= nowMs);
    const responsive = notEjected.filter(candidate => !candidate.server.isSilent);
    return responsive.length > 0 ? responsive : notEjected;
}

// No home server is needed when some candidate is known to have the shared part cached.
function findHomeServer(request: PlacementRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const shared = request.promptParts.at(-2) ?? request.promptParts.at(-1);
    if (shared === undefined || candidates.some(({ tracked }) => tracked.hasCachedPart(shared.partId))) return undefined;
    const partHash = getHash32(shared.partId);
    let home: Candidate | undefined;
    let highestWeight = -1;
    for (const candidate of candidates) {
        const weight = combineHashes(partHash, candidate.tracked.nameHash * 2 ** 32);
        if (weight <= highestWeight) continue;
        highestWeight = weight;
        home = candidate;
    }
    return home;
}

// A cached part can be reused only when all parts before it are cached too.
function estimatePrefillTokens(request: PlacementRequest, candidate: Candidate): number {
    let cachedTokens = 0;
    for (const part of request.promptParts) {
        if (!candidate.tracked.hasCachedPart(part.partId)) break;
        cachedTokens += part.tokens;
    }
    return Math.max(0, request.promptTokens - cachedTokens);
}

/** Work that a candidate has to do before it answers the request. */
interface QueuedLoad {
    /** Prompt tokens to prefill, including those of the request. */
    readonly tokens: number;
    readonly peerLoad: PeerLoad | undefined;
}

function estimateStartMs(request: PlacementRequest, candidate: Candidate, queued: QueuedLoad, nowMs: number): number {
    const { server, tracked } = candidate;
    const ownDispatches = tracked.dispatches.size;
    const freshReport = tracked.reported !== undefined && nowMs - tracked.reported.atMs < loadStaleMs ? tracked.reported : undefined;
    // Of a large fleet an entry hears only some of the others, while the server's report counts the requests of all.
    const inFlight = Math.max(countInFlight(tracked, freshReport), ownDispatches + (queued.peerLoad?.running ?? 0));
    const slots = Math.max(1, server.maxRunning);
    const coldMultiplier = tracked.getColdLeftMs(nowMs) > 0 ? coldFactor : 1;
    if (request.promptTokens === 0) return coldMultiplier * serviceMs * (inFlight / slots + Math.max(0, inFlight - slots) / slots);
    const waiting = Math.max(0, inFlight - slots) + (freshReport?.load.waiting ?? 0);
    return coldMultiplier *
        (tracked.latencyModel.predictMs(queued.tokens, nowMs) + Math.min(inFlight, slots) * runningCostMs + waiting * waitingCostMs);
}

// Estimates the requests in flight from the server's report. Dispatches of other entries since the report are unknown.
function countInFlight(tracked: TrackedServer, reported: TrackedServer["reported"]): number {
    const ownDispatches = tracked.dispatches.size;
    if (reported === undefined) return ownDispatches;
    return Math.max(ownDispatches, reported.load.running + reported.load.waiting + countDispatchedSince(tracked, reported.atMs));
}

function countDispatchedSince(tracked: TrackedServer, sinceMs: number): number {
    let count = 0;
    for (const dispatch of tracked.dispatches) {
        if (dispatch.sentAtMs > sinceMs) count++;
    }
    return count;
}

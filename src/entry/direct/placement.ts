/**
 * Chooses the backend server of a dispatch by the time until the request is expected to start there: prompt tokens that the
 * server has yet to read, requests that wait, and how full it is. Entries agree without talking on where the
 * parts of a prompt are cached, by rendezvous hashing (Thaler and Ravishankar, 1998) of the last part that other
 * prompts share. The part after that is the request's own.
 */
import { getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { ServerFacts } from "./loadTracker.js";
import type { OthersLoad } from "./peerLoads.js";
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
    readonly facts: ServerFacts;
}

/** A choice and what it rests on. */
export interface Placement {
    readonly server: BackendServerRecord;
    /** Prompt tokens that it is expected to read. */
    readonly readTokens: number;
    /** Prompt tokens that it is expected to read before, for others. */
    readonly aheadTokens: number;
    readonly expectedStartMs: number;
}

/** Reading a part anew also displaces others from the cache and delays what comes after. */
const readWeight = 2;
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
const maxTieMs = 0.5;

/** Chooses among the candidates. Undefined when none takes work now. */
export function place(request: PlacementRequest, candidates: readonly Candidate[], nowMs: number, unit: number): Placement | undefined {
    const usable = keepUsable(candidates, nowMs);
    const home = findHome(request, usable);
    let best: Placement | undefined;
    let bestMs = Infinity;
    for (const candidate of usable) {
        const readTokens = estimateReadTokens(request, candidate);
        const others = candidate.facts.getOthers(nowMs);
        const aheadTokens = candidate.facts.getAheadTokens(others, nowMs);
        const expectedStartMs = estimateStartMs(request, candidate, { tokens: readTokens + aheadTokens, others }, nowMs);
        const rereadMs = readTokens * (readWeight - 1) / candidate.facts.startModel.getTokensPerMs(nowMs);
        // Equal candidates are told apart at random, so that entries do not all choose the first.
        const tieMs = (candidate.facts.nameUnit + unit) % 1 * maxTieMs;
        const bonusMs = candidate === home ? homeBonusMs : 0;
        const weighedMs = expectedStartMs + rereadMs + candidate.facts.getDelayMs(nowMs) - bonusMs + tieMs;
        if (weighedMs >= bestMs) continue;
        bestMs = weighedMs;
        best = { server: candidate.server, readTokens, aheadTokens, expectedStartMs };
    }
    return best;
}

// Silent and ejected servers are passed over while others are there.
function keepUsable(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
    const notEjected = candidates.filter(candidate => candidate.facts.ejectedUntilMs <= nowMs);
    const heard = notEjected.filter(candidate => !candidate.server.isSilent);
    return heard.length > 0 ? heard : notEjected;
}

// Where it is known who holds the prompt's parts, nothing needs to be agreed on.
function findHome(request: PlacementRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const shared = request.promptParts.at(-2) ?? request.promptParts.at(-1);
    if (shared === undefined || candidates.some(({ facts }) => facts.holdsPart(shared.partId))) return undefined;
    let home: Candidate | undefined;
    let highest = -1;
    for (const candidate of candidates) {
        const weight = getHash32(`${shared.partId} ${candidate.server.backendServer}`);
        if (weight <= highest) continue;
        highest = weight;
        home = candidate;
    }
    return home;
}

// A part is of use only where all parts before it are cached too.
function estimateReadTokens(request: PlacementRequest, candidate: Candidate): number {
    let cachedTokens = 0;
    for (const part of request.promptParts) {
        if (!candidate.facts.holdsPart(part.partId)) break;
        cachedTokens += part.tokens;
    }
    return Math.max(0, request.promptTokens - cachedTokens);
}

/** What a candidate has to do before the request starts. */
interface AheadLoad {
    /** Prompt tokens, those of the request included. */
    readonly tokens: number;
    readonly others: OthersLoad | undefined;
}

function estimateStartMs(request: PlacementRequest, candidate: Candidate, ahead: AheadLoad, nowMs: number): number {
    const { server, facts } = candidate;
    const own = facts.dispatches.size;
    const load = facts.reported !== undefined && nowMs - facts.reported.atMs < loadStaleMs ? facts.reported : undefined;
    const busy = ahead.others === undefined ? countByReport(facts, load) : own + ahead.others.running;
    const slots = Math.max(1, server.maxRunning);
    const coldness = server.coldLeftMs > 0 ? coldFactor : 1;
    if (request.promptTokens === 0) return coldness * serviceMs * (busy / slots + Math.max(0, busy - slots) / slots);
    const waiting = Math.max(0, busy - slots) + (load?.load.waiting ?? 0);
    return coldness * (facts.startModel.predictMs(ahead.tokens, nowMs) + Math.min(busy, slots) * runningCostMs + waiting * waitingCostMs);
}

// What other entries have sent since the report is not known.
function countByReport(facts: ServerFacts, reported: ServerFacts["reported"]): number {
    const own = facts.dispatches.size;
    if (reported === undefined) return own;
    return Math.max(own, reported.load.running + reported.load.waiting + countSince(facts, reported.atMs));
}

function countSince(facts: ServerFacts, sinceMs: number): number {
    let count = 0;
    for (const dispatch of facts.dispatches) {
        if (dispatch.startedAtMs > sinceMs) count++;
    }
    return count;
}

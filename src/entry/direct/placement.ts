/**
 * Chooses the backend server of a dispatch by the time until the request is expected to start there: prompt tokens that the
 * server has yet to read, requests that wait, and how full it is. Entries agree without talking on where the
 * parts of a prompt are cached, by rendezvous hashing (Thaler and Ravishankar, 1998) of the last part that other
 * prompts share. The part after that is the request's own.
 */
import { crc32 } from "node:zlib";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { ServerFacts } from "./loadBook.js";
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
    readonly expectedStartMs: number;
}

const readTokensPerMs = 80;
/** Reading a part anew also displaces others from the cache and delays what comes after. */
const readWeight = 2;
/** Share of a part's tokens that is read where other entries are expected to have sent the part before. */
const affinityReadShare = 0.25;
/** Time that one more running request costs a new one at an engine, and one that waits. */
const runningCostMs = 0.6;
const waitingCostMs = 12;
/** Time that a request takes at a plain service, relative to which its load is weighed. */
const serviceMs = 60;
/** A reported load says nothing of the present after this time. */
const loadStaleMs = 1_500;
const coldFactor = 1.5;

/** Chooses among the candidates. Undefined when none takes work now. */
export function place(request: PlacementRequest, candidates: readonly Candidate[], nowMs: number, unit: number): Placement | undefined {
    const usable = keepUsable(candidates, nowMs);
    const home = findHome(request, usable);
    let best: Placement | undefined;
    let bestMs = Infinity;
    for (const candidate of usable) {
        const readTokens = estimateReadTokens(request, candidate, candidate === home);
        const expectedStartMs = estimateStartMs(request, candidate, readTokens, nowMs);
        const rereadMs = readTokens * (readWeight - 1) / readTokensPerMs;
        // Equal candidates are told apart at random, so that entries do not all choose the first.
        const tieMs = hashUnit(candidate.server.backendServer, unit) * 0.5;
        const weighedMs = expectedStartMs + rereadMs + candidate.facts.getDelayMs(nowMs) + tieMs;
        if (weighedMs >= bestMs) continue;
        bestMs = weighedMs;
        best = { server: candidate.server, readTokens, expectedStartMs };
    }
    return best;
}

// Silent and ejected servers are passed over while others are there.
function keepUsable(candidates: readonly Candidate[], nowMs: number): readonly Candidate[] {
    const notEjected = candidates.filter(candidate => candidate.facts.ejectedUntilMs <= nowMs);
    const heard = notEjected.filter(candidate => !candidate.server.isSilent);
    return heard.length > 0 ? heard : notEjected;
}

function findHome(request: PlacementRequest, candidates: readonly Candidate[]): Candidate | undefined {
    const shared = request.promptParts.at(-2) ?? request.promptParts.at(-1);
    if (shared === undefined) return undefined;
    let home: Candidate | undefined;
    let highest = -1;
    for (const candidate of candidates) {
        const weight = crc32(`${shared.partId} ${candidate.server.backendServer}`);
        if (weight <= highest) continue;
        highest = weight;
        home = candidate;
    }
    return home;
}

// A part is of use only where all parts before it are cached too.
function estimateReadTokens(request: PlacementRequest, candidate: Candidate, isHome: boolean): number {
    let cachedTokens = 0;
    let isChained = true;
    for (const part of request.promptParts) {
        isChained &&= candidate.facts.holdsPart(part.partId);
        if (isChained) cachedTokens += part.tokens;
        else if (isHome) cachedTokens += part.tokens * (1 - affinityReadShare);
    }
    return Math.max(0, request.promptTokens - cachedTokens);
}

function estimateStartMs(request: PlacementRequest, candidate: Candidate, readTokens: number, nowMs: number): number {
    const { server, facts } = candidate;
    const own = facts.dispatches.size;
    const load = facts.reported !== undefined && nowMs - facts.reported.atMs < loadStaleMs ? facts.reported : undefined;
    const since = load === undefined ? own : countSince(facts, load.atMs);
    const busy = load === undefined ? own : Math.max(own, load.load.running + load.load.waiting + since);
    const slots = Math.max(1, server.maxRunning);
    const coldness = server.coldLeftMs > 0 ? coldFactor : 1;
    if (request.promptTokens === 0) return coldness * serviceMs * (busy / slots + Math.max(0, busy - slots) / slots);
    let aheadTokens = 0;
    for (const dispatch of facts.dispatches) {
        if (!dispatch.hasStarted) aheadTokens += dispatch.readTokens;
    }
    const waiting = Math.max(0, busy - slots) + (load?.load.waiting ?? 0);
    return coldness * ((readTokens + aheadTokens) / readTokensPerMs + Math.min(busy, slots) * runningCostMs + waiting * waitingCostMs);
}

function countSince(facts: ServerFacts, sinceMs: number): number {
    let count = 0;
    for (const dispatch of facts.dispatches) {
        if (dispatch.startedAtMs > sinceMs) count++;
    }
    return count;
}

function hashUnit(name: string, unit: number): number {
    return (crc32(name, Math.floor(unit * 2 ** 31)) >>> 0) / 2 ** 32;
}

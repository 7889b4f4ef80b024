/** What one entry knows of each backend server's load, cache and health, from its dispatches, their answers and other entries. */
import type { SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";
import { getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import { createStartModel } from "./latencyModel.js";
import type { StartModel } from "./latencyModel.js";
import { createPeerLoads } from "./peerLoads.js";
import type { OthersLoad } from "./peerLoads.js";
import type { PromptPart, ServerLoad } from "./types.js";

/** One dispatch that has not ended. */
export interface Dispatch {
    readonly startedAtMs: number;
    /** Prompt tokens that the backend server is expected to read for it. */
    readonly readTokens: number;
    /** Prompt tokens that it was expected to read before that, for others. */
    readonly aheadTokens: number;
    /** Time after which its answer was expected to begin. */
    readonly expectedStartMs: number;
    hasStarted: boolean;
}

/** How a dispatch ended, as far as the backend server's health is concerned. */
export type DispatchEnd = "good" | "refused" | "unreachable" | "broken" | "failed" | "unknown";

/** What is known of one backend server. */
export interface ServerFacts {
    readonly backendServer: string;
    readonly dispatches: ReadonlySet<Dispatch>;
    /** Load by its last answer, and when that came. */
    readonly reported: { readonly load: ServerLoad; readonly atMs: number; } | undefined;
    /** Number that tells equal servers apart, evenly spread over names, from 0 to 1. */
    readonly nameUnit: number;
    /** What other entries have there. Undefined when none has told of late. */
    getOthers(nowMs: number): OthersLoad | undefined;
    /** Until then it gets no work. */
    readonly ejectedUntilMs: number;
    /** How long its answers take to begin. */
    readonly startModel: Pick<StartModel, "predictMs" | "getTokensPerMs">;
    /** Prompt tokens that it has yet to read, with those that others have sent. */
    getAheadTokens(others: OthersLoad | undefined, nowMs: number): number;
    /** Time by which its answers began later than expected of late. It tells of load that other entries bring. */
    getDelayMs(nowMs: number): number;
    /** True when the part is believed to be in its cache. */
    holdsPart(partId: string): boolean;
}

/** Facts of all backend servers. */
export interface LoadTracker {
    get(backendServer: string): ServerFacts;
    begin(backendServer: string, expected: ExpectedStart, parts: readonly PromptPart[], nowMs: number): Dispatch;
    /** The backend server has begun to answer. */
    noteStarted(backendServer: string, dispatch: Dispatch, nowMs: number): void;
    end(backendServer: string, dispatch: Dispatch, how: DispatchEnd, nowMs: number): void;
    noteLoad(backendServer: string, load: ServerLoad, nowMs: number): void;
    /** Takes the dispatches of another entry in. They take the place of what it told before. */
    notePeer(load: SharedLoad, nowMs: number): void;
    /** This entry's dispatches, for other entries. */
    listOwn(): readonly Omit<SharedServerLoad, "partIds">[];
    /** Forgets the servers that are not listed, and the earlier lives of those that have started again under their name. */
    keepOnly(servers: readonly Pick<BackendServerRecord, "backendServer" | "bornMs">[]): void;
}

/** What a dispatch was expected to take. */
export type ExpectedStart = Pick<Dispatch, "readTokens" | "aheadTokens" | "expectedStartMs">;

interface Entry {
    readonly backendServer: string;
    /** Start of the life that this is known of. Undefined until the directory has told. */
    bornMs: number | undefined;
    readonly dispatches: Set<Dispatch>;
    readonly nameUnit: number;
    readonly parts: Map<string, true>;
    readonly startModel: StartModel;
    /** When it last began to read a prompt, as far as this entry knows. */
    readingSinceMs: number;
    reported: { readonly load: ServerLoad; readonly atMs: number; } | undefined;
    ejectedUntilMs: number;
    /** Ends in a row that speak against it. */
    badEnds: number;
    /** Mean excess over the expected start, as it was at the time. */
    delayMs: number;
    delayAtMs: number;
}

const maxParts = 2_000;
const delayHalfLifeMs = 1_500;
const delayGain = 0.4;
const firstEjectionMs = 400;
const maxEjectionMs = 4_000;
/** Ends in a row that count against a server before it is ejected, by how it ended. */
const endsBeforeEjection: Readonly<Record<DispatchEnd, number>> = {
    good: Infinity,
    unknown: Infinity,
    refused: Infinity,
    failed: 6,
    broken: 2,
    unreachable: 1,
};

/** Creates a book that knows nothing. */
export function createLoadTracker(): LoadTracker {
    const entries = new Map<string, Entry>();
    const peers = createPeerLoads();
    return {
        get: backendServer => toFacts(getEntry(backendServer)),
        begin(backendServer, { readTokens, aheadTokens, expectedStartMs }, parts, nowMs) {
            const entry = getEntry(backendServer);
            const dispatch: Dispatch = { startedAtMs: nowMs, readTokens, aheadTokens, expectedStartMs, hasStarted: false };
            if (countAllWaiting(entry, nowMs) === 0) entry.readingSinceMs = nowMs;
            entry.dispatches.add(dispatch);
            noteParts(entry, parts.map(part => part.partId));
            return dispatch;
        },
        noteStarted(backendServer, dispatch, nowMs) {
            if (dispatch.hasStarted) return;
            dispatch.hasStarted = true;
            const entry = getEntry(backendServer);
            entry.readingSinceMs = nowMs;
            const tokens = dispatch.readTokens + dispatch.aheadTokens;
            if (tokens > 0) entry.startModel.observe(tokens, nowMs - dispatch.startedAtMs, nowMs);
            const before = getDecayedDelayMs(entry, nowMs);
            entry.delayMs = before + delayGain * (getExcessMs(dispatch, nowMs) - before);
            entry.delayAtMs = nowMs;
        },
        end(backendServer, dispatch, how, nowMs) {
            const entry = getEntry(backendServer);
            entry.dispatches.delete(dispatch);
            if (how === "unknown") return;
            if (how === "good" || how === "refused") {
                entry.badEnds = 0;
                return;
            }
            entry.badEnds++;
            if (how === "unreachable" || how === "broken") entry.parts.clear();
            const excess = entry.badEnds - endsBeforeEjection[how];
            if (excess >= 0) entry.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, firstEjectionMs * 2 ** excess);
        },
        noteLoad(backendServer, load, nowMs) {
            getEntry(backendServer).reported = { load, atMs: nowMs };
        },
        notePeer(load, nowMs) {
            const waitedBefore = load.servers.map(server => peers.countWaiting(load.from, server.backendServer));
            const allWaitedBefore = load.servers.map(server => countAllWaiting(getEntry(server.backendServer), nowMs));
            if (!peers.take(load, nowMs)) return;
            for (const [index, server] of load.servers.entries()) {
                const entry = getEntry(server.backendServer);
                noteParts(entry, server.partIds);
                const hasBegunOne = server.waiting < waitedBefore[index]!;
                const hasBegunToRead = server.waiting > 0 && allWaitedBefore[index] === 0;
                if (hasBegunOne || hasBegunToRead) entry.readingSinceMs = nowMs;
            }
        },
        listOwn: () =>
            [...entries.values()].map(entry => ({
                backendServer: entry.backendServer,
                running: entry.dispatches.size,
                waiting: countWaiting(entry),
                waitingTokens: sumWaitingTokens(entry),
            })),
        keepOnly(servers) {
            const bornMs = new Map(servers.map(server => [server.backendServer, server.bornMs]));
            for (const [name, entry] of entries) {
                const isSameLife = entry.bornMs === undefined || entry.bornMs === bornMs.get(name);
                if (!bornMs.has(name) || !isSameLife) entries.delete(name);
                else entry.bornMs = bornMs.get(name);
            }
        },
    };

    function getEntry(backendServer: string): Entry {
        const known = entries.get(backendServer);
        if (known !== undefined) return known;
        const created: Entry = {
            backendServer,
            bornMs: undefined,
            dispatches: new Set(),
            nameUnit: getHash32(backendServer) / 2 ** 32,
            parts: new Map(),
            startModel: createStartModel(),
            readingSinceMs: -Infinity,
            reported: undefined,
            ejectedUntilMs: -Infinity,
            badEnds: 0,
            delayMs: 0,
            delayAtMs: 0,
        };
        entries.set(backendServer, created);
        return created;
    }

    function toFacts(entry: Entry): ServerFacts {
        return {
            backendServer: entry.backendServer,
            dispatches: entry.dispatches,
            reported: entry.reported,
            ejectedUntilMs: entry.ejectedUntilMs,
            startModel: entry.startModel,
            nameUnit: entry.nameUnit,
            getOthers: nowMs => peers.sum(entry.backendServer, nowMs),
            getAheadTokens: (others, nowMs) => getAheadTokens(entry, others, nowMs),
            getDelayMs: nowMs => getDelayMs(entry, nowMs),
            holdsPart: partId => entry.parts.has(partId),
        };
    }

    function countAllWaiting(entry: Entry, nowMs: number): number {
        return countWaiting(entry) + (peers.sum(entry.backendServer, nowMs)?.waiting ?? 0);
    }
}

// The first of those that wait is being read.
function getAheadTokens(entry: Entry, others: OthersLoad | undefined, nowMs: number): number {
    const tokens = sumWaitingTokens(entry) + (others?.waitingTokens ?? 0);
    if (tokens === 0) return 0;
    const readSince = entry.startModel.getTokensPerMs(nowMs) * (nowMs - entry.readingSinceMs);
    return tokens - Math.min(readSince, tokens / (countWaiting(entry) + (others?.waiting ?? 0)));
}

function noteParts(entry: Entry, partIds: readonly string[]): void {
    for (const partId of partIds) {
        entry.parts.delete(partId);
        entry.parts.set(partId, true);
    }
    while (entry.parts.size > maxParts) entry.parts.delete(entry.parts.keys().next().value!);
}

function sumWaitingTokens(entry: Entry): number {
    let tokens = 0;
    for (const dispatch of entry.dispatches) {
        if (!dispatch.hasStarted) tokens += dispatch.readTokens;
    }
    return tokens;
}

function countWaiting(entry: Entry): number {
    let count = 0;
    for (const dispatch of entry.dispatches) {
        if (!dispatch.hasStarted) count++;
    }
    return count;
}

// A dispatch that is overdue tells as much as one that began late.
function getDelayMs(entry: Entry, nowMs: number): number {
    let delayMs = getDecayedDelayMs(entry, nowMs);
    for (const dispatch of entry.dispatches) {
        if (!dispatch.hasStarted) delayMs = Math.max(delayMs, getExcessMs(dispatch, nowMs));
    }
    return delayMs;
}

function getDecayedDelayMs(entry: Entry, nowMs: number): number {
    return entry.delayMs * 2 ** ((entry.delayAtMs - nowMs) / delayHalfLifeMs);
}

function getExcessMs(dispatch: Dispatch, nowMs: number): number {
    return Math.max(0, nowMs - dispatch.startedAtMs - dispatch.expectedStartMs);
}

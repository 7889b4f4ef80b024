/** What one entry knows of each backend server's load, cache and health, from its dispatches, their answers and other entries. */
import type { SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";
import { getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import { createLatencyModel } from "./latencyModel.js";
import type { LatencyModel } from "./latencyModel.js";
import { createPeerLoads } from "./peerLoads.js";
import type { PeerLoad } from "./peerLoads.js";
import type { PromptPart, ServerLoad } from "./types.js";

/** One dispatch that has not ended. */
export interface Dispatch {
    readonly sentAtMs: number;
    /** Prompt tokens that the backend server is expected to read for it. */
    readonly prefillTokens: number;
    /** Prompt tokens that it was expected to read before that, for others. */
    readonly queuedTokens: number;
    /** Time after which its answer was expected to begin. */
    readonly expectedStartMs: number;
    hasResponseStarted: boolean;
}

/** How a dispatch ended, as far as the backend server's health is concerned. */
export type DispatchOutcome = "good" | "refused" | "unreachable" | "broken" | "failed" | "unknown";

/** What is known of one backend server. */
export interface TrackedServer {
    readonly backendServer: string;
    readonly dispatches: ReadonlySet<Dispatch>;
    /** Load by its last answer, and when that came. */
    readonly reported: { readonly load: ServerLoad; readonly atMs: number; } | undefined;
    /** Number that tells equal servers apart, evenly spread over names, from 0 to 1. */
    readonly nameHash: number;
    /** What other entries have there. Undefined when none has told of late. */
    getPeerLoad(nowMs: number): PeerLoad | undefined;
    /** Until then it gets no work. */
    readonly ejectedUntilMs: number;
    /** How long its answers take to begin. */
    readonly latencyModel: Pick<LatencyModel, "predictMs" | "getTokensPerMs">;
    /** Prompt tokens that it has yet to read, with those that others have sent. */
    getQueuedTokens(others: PeerLoad | undefined, nowMs: number): number;
    /** Time by which its answers began later than expected of late. It tells of load that other entries bring. */
    getDelayMs(nowMs: number): number;
    /** True when the part is believed to be in its cache. */
    hasCachedPart(partId: string): boolean;
}

/** Facts of all backend servers. */
export interface LoadTracker {
    get(backendServer: string): TrackedServer;
    begin(backendServer: string, expected: ExpectedStart, parts: readonly PromptPart[], nowMs: number): Dispatch;
    /** The backend server has begun to answer. */
    recordResponseStart(backendServer: string, dispatch: Dispatch, nowMs: number): void;
    end(backendServer: string, dispatch: Dispatch, outcome: DispatchOutcome, nowMs: number): void;
    recordLoad(backendServer: string, load: ServerLoad, nowMs: number): void;
    /** Takes the dispatches of another entry in. They take the place of what it told before. */
    applyPeerLoad(load: SharedLoad, nowMs: number): void;
    /** This entry's dispatches, for other entries. */
    listOwnLoads(): readonly Omit<SharedServerLoad, "partIds">[];
    /** Forgets the servers that are not listed, and the earlier lives of those that have started again under their name. */
    retainServers(servers: readonly Pick<BackendServerRecord, "backendServer" | "bornMs">[]): void;
}

/** What a dispatch was expected to take. */
export type ExpectedStart = Pick<Dispatch, "prefillTokens" | "queuedTokens" | "expectedStartMs">;

interface ServerRecord {
    readonly backendServer: string;
    /** Start of the life that this is known of. Undefined until the directory has told. */
    bornMs: number | undefined;
    readonly dispatches: Set<Dispatch>;
    readonly nameHash: number;
    readonly cachedParts: Map<string, true>;
    readonly latencyModel: LatencyModel;
    /** When it last began to read a prompt, as far as this entry knows. */
    prefillStartedAtMs: number;
    reported: { readonly load: ServerLoad; readonly atMs: number; } | undefined;
    ejectedUntilMs: number;
    /** Ends in a row that speak against it. */
    consecutiveFailures: number;
    /** Mean excess over the expected start, as it was at the time. */
    meanDelayMs: number;
    delayUpdatedAtMs: number;
}

const maxCachedParts = 2_000;
const delayHalfLifeMs = 1_500;
const delayGain = 0.4;
const minEjectionMs = 400;
const maxEjectionMs = 4_000;
/** Ends in a row that count against a server before it is ejected, by how it ended. */
const failuresToEject: Readonly<Record<DispatchOutcome, number>> = {
    good: Infinity,
    unknown: Infinity,
    refused: Infinity,
    failed: 6,
    broken: 2,
    unreachable: 1,
};

/** Creates a book that knows nothing. */
export function createLoadTracker(): LoadTracker {
    const entries = new Map<string, ServerRecord>();
    const peers = createPeerLoads();
    return {
        get: backendServer => toTrackedServer(getEntry(backendServer)),
        begin(backendServer, { prefillTokens: readTokens, queuedTokens: aheadTokens, expectedStartMs }, parts, nowMs) {
            const entry = getEntry(backendServer);
            const dispatch: Dispatch = {
                sentAtMs: nowMs,
                prefillTokens: readTokens,
                queuedTokens: aheadTokens,
                expectedStartMs,
                hasResponseStarted: false,
            };
            if (countAllWaiting(entry, nowMs) === 0) entry.prefillStartedAtMs = nowMs;
            entry.dispatches.add(dispatch);
            recordCachedParts(entry, parts.map(part => part.partId));
            return dispatch;
        },
        recordResponseStart(backendServer, dispatch, nowMs) {
            if (dispatch.hasResponseStarted) return;
            dispatch.hasResponseStarted = true;
            const entry = getEntry(backendServer);
            entry.prefillStartedAtMs = nowMs;
            const tokens = dispatch.prefillTokens + dispatch.queuedTokens;
            if (tokens > 0) entry.latencyModel.observe(tokens, nowMs - dispatch.sentAtMs, nowMs);
            const before = getDecayedDelayMs(entry, nowMs);
            entry.meanDelayMs = before + delayGain * (getExcessMs(dispatch, nowMs) - before);
            entry.delayUpdatedAtMs = nowMs;
        },
        end(backendServer, dispatch, outcome, nowMs) {
            const entry = getEntry(backendServer);
            entry.dispatches.delete(dispatch);
            if (outcome === "unknown") return;
            if (outcome === "good" || outcome === "refused") {
                entry.consecutiveFailures = 0;
                return;
            }
            entry.consecutiveFailures++;
            if (outcome === "unreachable" || outcome === "broken") entry.cachedParts.clear();
            const excess = entry.consecutiveFailures - failuresToEject[outcome];
            if (excess >= 0) entry.ejectedUntilMs = nowMs + Math.min(maxEjectionMs, minEjectionMs * 2 ** excess);
        },
        recordLoad(backendServer, load, nowMs) {
            getEntry(backendServer).reported = { load, atMs: nowMs };
        },
        applyPeerLoad(load, nowMs) {
            const previousPeerWaiting = load.servers.map(server => peers.countWaiting(load.from, server.backendServer));
            const previousTotalWaiting = load.servers.map(server => countAllWaiting(getEntry(server.backendServer), nowMs));
            if (!peers.update(load, nowMs)) return;
            for (const [index, server] of load.servers.entries()) {
                const entry = getEntry(server.backendServer);
                recordCachedParts(entry, server.partIds);
                const hasPeerResponseStarted = server.waiting < previousPeerWaiting[index]!;
                const hasPrefillStarted = server.waiting > 0 && previousTotalWaiting[index] === 0;
                if (hasPeerResponseStarted || hasPrefillStarted) entry.prefillStartedAtMs = nowMs;
            }
        },
        listOwnLoads: () =>
            [...entries.values()].map(entry => ({
                backendServer: entry.backendServer,
                running: entry.dispatches.size,
                waiting: countWaiting(entry),
                waitingTokens: sumWaitingTokens(entry),
            })),
        retainServers(servers) {
            const bornMs = new Map(servers.map(server => [server.backendServer, server.bornMs]));
            for (const [name, entry] of entries) {
                const isSameIncarnation = entry.bornMs === undefined || entry.bornMs === bornMs.get(name);
                if (!bornMs.has(name) || !isSameIncarnation) entries.delete(name);
                else entry.bornMs = bornMs.get(name);
            }
        },
    };

    function getEntry(backendServer: string): ServerRecord {
        const known = entries.get(backendServer);
        if (known !== undefined) return known;
        const created: ServerRecord = {
            backendServer,
            bornMs: undefined,
            dispatches: new Set(),
            nameHash: getHash32(backendServer) / 2 ** 32,
            cachedParts: new Map(),
            latencyModel: createLatencyModel(),
            prefillStartedAtMs: -Infinity,
            reported: undefined,
            ejectedUntilMs: -Infinity,
            consecutiveFailures: 0,
            meanDelayMs: 0,
            delayUpdatedAtMs: 0,
        };
        entries.set(backendServer, created);
        return created;
    }

    function toTrackedServer(entry: ServerRecord): TrackedServer {
        return {
            backendServer: entry.backendServer,
            dispatches: entry.dispatches,
            reported: entry.reported,
            ejectedUntilMs: entry.ejectedUntilMs,
            latencyModel: entry.latencyModel,
            nameHash: entry.nameHash,
            getPeerLoad: nowMs => peers.getTotal(entry.backendServer, nowMs),
            getQueuedTokens: (others, nowMs) => getQueuedTokens(entry, others, nowMs),
            getDelayMs: nowMs => getDelayMs(entry, nowMs),
            hasCachedPart: partId => entry.cachedParts.has(partId),
        };
    }

    function countAllWaiting(entry: ServerRecord, nowMs: number): number {
        return countWaiting(entry) + (peers.getTotal(entry.backendServer, nowMs)?.waiting ?? 0);
    }
}

// The first of those that wait is being read.
function getQueuedTokens(entry: ServerRecord, others: PeerLoad | undefined, nowMs: number): number {
    const tokens = sumWaitingTokens(entry) + (others?.waitingTokens ?? 0);
    if (tokens === 0) return 0;
    const prefilledTokens = entry.latencyModel.getTokensPerMs(nowMs) * (nowMs - entry.prefillStartedAtMs);
    return tokens - Math.min(prefilledTokens, tokens / (countWaiting(entry) + (others?.waiting ?? 0)));
}

function recordCachedParts(entry: ServerRecord, partIds: readonly string[]): void {
    for (const partId of partIds) {
        entry.cachedParts.delete(partId);
        entry.cachedParts.set(partId, true);
    }
    while (entry.cachedParts.size > maxCachedParts) entry.cachedParts.delete(entry.cachedParts.keys().next().value!);
}

function sumWaitingTokens(entry: ServerRecord): number {
    let tokens = 0;
    for (const dispatch of entry.dispatches) {
        if (!dispatch.hasResponseStarted) tokens += dispatch.prefillTokens;
    }
    return tokens;
}

function countWaiting(entry: ServerRecord): number {
    let count = 0;
    for (const dispatch of entry.dispatches) {
        if (!dispatch.hasResponseStarted) count++;
    }
    return count;
}

// A dispatch that is overdue tells as much as one that began late.
function getDelayMs(entry: ServerRecord, nowMs: number): number {
    let delayMs = getDecayedDelayMs(entry, nowMs);
    for (const dispatch of entry.dispatches) {
        if (!dispatch.hasResponseStarted) delayMs = Math.max(delayMs, getExcessMs(dispatch, nowMs));
    }
    return delayMs;
}

function getDecayedDelayMs(entry: ServerRecord, nowMs: number): number {
    return entry.meanDelayMs * 2 ** ((entry.delayUpdatedAtMs - nowMs) / delayHalfLifeMs);
}

function getExcessMs(dispatch: Dispatch, nowMs: number): number {
    return Math.max(0, nowMs - dispatch.sentAtMs - dispatch.expectedStartMs);
}

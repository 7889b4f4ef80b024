/**
 * Tracks the load, prompt cache and health of each backend server as seen by one entry, from its own dispatches, the answers to
 * them and the messages of other entries.
 */
import type { SharedLoad, SharedServerLoad } from "../../kernel/contracts.js";
import { getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import { createLatencyModel } from "./latencyModel.js";
import type { LatencyModel } from "./latencyModel.js";
import { createPeerLoads } from "./peerLoads.js";
import type { PeerLoad } from "./peerLoads.js";
import type { PromptPart, ServerLoad } from "./types.js";

/** A dispatch in flight. */
export interface TrackedDispatch {
    readonly sentAtMs: number;
    /** Prompt tokens that the backend server is expected to prefill for this dispatch. */
    readonly prefillTokens: number;
    /** Prompt tokens of earlier requests that the backend server was expected to prefill first. */
    readonly queuedTokens: number;
    /** Expected time from sending until the answer starts. */
    readonly expectedStartMs: number;
    hasResponseStarted: boolean;
}

/** Result of a dispatch, as input to the backend server's health. */
export type DispatchOutcome = "good" | "refused" | "unreachable" | "broken" | "failed" | "unknown";

/** State of one backend server. */
export interface TrackedServer {
    readonly backendServer: string;
    readonly dispatches: ReadonlySet<TrackedDispatch>;
    /** Load that the last answer reported, and when it arrived. */
    readonly reported: { readonly load: ServerLoad; readonly atMs: number; } | undefined;
    /** Hash of the name, scaled to [0, 1). Breaks ties between servers of equal cost. */
    readonly nameHash: number;
    /** Dispatches of other entries to this server. Undefined when no other entry has reported recently. */
    getPeerLoad(nowMs: number): PeerLoad | undefined;
    /** The server receives no requests before this time. */
    readonly ejectedUntilMs: number;
    /** Predicts the time until an answer starts. */
    readonly latencyModel: Pick<LatencyModel, "predictMs" | "getTokensPerMs">;
    /** Prompt tokens that the server has yet to prefill, including those sent by other entries. */
    getQueuedTokens(peerLoad: PeerLoad | undefined, nowMs: number): number;
    /** Recent delay of answers beyond their expected start. It reveals load that comes from other entries. */
    getDelayMs(nowMs: number): number;
    /** Remaining time during which the server is slow because it was started recently. */
    getColdLeftMs(nowMs: number): number;
    /** True when the part is assumed to be in the server's prompt cache. */
    hasCachedPart(partId: string): boolean;
}

/** State of all backend servers. */
export interface LoadTracker {
    get(backendServer: string): TrackedServer;
    begin(backendServer: string, expected: ExpectedStart, parts: readonly PromptPart[], nowMs: number): TrackedDispatch;
    /** Records that the backend server has started to answer. */
    recordResponseStart(backendServer: string, dispatch: TrackedDispatch, nowMs: number): void;
    end(backendServer: string, dispatch: TrackedDispatch, outcome: DispatchOutcome, nowMs: number): void;
    recordLoad(backendServer: string, load: ServerLoad, nowMs: number): void;
    /**
     * Records that the server sent bytes after a complete answer, or a refusal without end. Returns the time in milliseconds for which the
     * server is ejected because of it, or undefined.
     */
    recordSurplus(backendServer: string, nowMs: number): number | undefined;
    /** Replaces the dispatches that another entry reported before by those of its new message. */
    applyPeerLoad(load: SharedLoad, nowMs: number): void;
    /** Lists this entry's dispatches in the form that is sent to other entries. */
    listOwnLoads(): readonly Omit<SharedServerLoad, "partIds">[];
    /** Takes over the cold times of servers, as they remain at `nowMs`. */
    recordColdTimes(servers: readonly Pick<BackendServerRecord, "backendServer" | "coldLeftMs">[], nowMs: number): void;
    /** Drops the state of servers that are not listed, and of earlier incarnations of servers that restarted under the same name. */
    retainServers(servers: readonly Pick<BackendServerRecord, "backendServer" | "bornMs">[]): void;
}

/** Estimates made when a dispatch is sent. */
export type ExpectedStart = Pick<TrackedDispatch, "prefillTokens" | "queuedTokens" | "expectedStartMs">;

interface ServerRecord {
    readonly backendServer: string;
    /** Start time of the server incarnation that this state belongs to. Undefined until the directory has listed it. */
    bornMs: number | undefined;
    readonly dispatches: Set<TrackedDispatch>;
    readonly nameHash: number;
    readonly cachedParts: Map<string, true>;
    readonly latencyModel: LatencyModel;
    /** Time at which the server last started to prefill a prompt, as far as this entry knows. */
    prefillStartedAtMs: number;
    reported: { readonly load: ServerLoad; readonly atMs: number; } | undefined;
    ejectedUntilMs: number;
    /** Failures since the last success or refusal. Dispatches of unknown outcome are not counted. */
    consecutiveFailures: number;
    /** Answers with surplus bytes, less a part of one for each other answer. */
    surplusCount: number;
    /** Exponentially weighted mean delay beyond the expected start, as of `delayUpdatedAtMs`. */
    meanDelayMs: number;
    delayUpdatedAtMs: number;
    coldUntilMs: number;
}

const maxCachedParts = 2_000;
const delayHalfLifeMs = 1_500;
/** Weight of a new observation in the mean delay. */
const delayGain = 0.4;
const minEjectionMs = 400;
const maxEjectionMs = 4_000;
/** A server is ejected at this many answers with surplus bytes in a row, or more if there are others in between. */
const surplusToEject = 6;
/** At this count the ejection is the longest. A higher count would only delay the recovery of a server that no longer sends surplus bytes. */
const maxSurplusCount = 10;
/**
 * What each answer takes from the count. A server with surplus bytes in two of a hundred answers stays far below the limit, and one with
 * surplus bytes in half of them exceeds it.
 */
const surplusForgivenPerAnswer = 0.25;
/** Consecutive failures after which a server is ejected, by the outcome of the last one. */
const failuresToEject: Readonly<Record<DispatchOutcome, number>> = {
    good: Infinity,
    unknown: Infinity,
    refused: Infinity,
    failed: 6,
    broken: 2,
    unreachable: 1,
};

/** Creates a tracker without any servers. `createModel` is called once for each server. */
export function createLoadTracker(createModel: (backendServer: string) => LatencyModel = createLatencyModel): LoadTracker {
    const records = new Map<string, ServerRecord>();
    const peers = createPeerLoads();
    return {
        get: backendServer => toTrackedServer(getRecord(backendServer)),
        begin(backendServer, { prefillTokens, queuedTokens, expectedStartMs }, parts, nowMs) {
            const record = getRecord(backendServer);
            const dispatch: TrackedDispatch = {
                sentAtMs: nowMs,
                prefillTokens,
                queuedTokens,
                expectedStartMs,
                hasResponseStarted: false,
            };
            if (countAllWaiting(record, nowMs) === 0) record.prefillStartedAtMs = nowMs;
            record.dispatches.add(dispatch);
            recordCachedParts(record, parts.map(part => part.partId));
            return dispatch;
        },
        recordResponseStart(backendServer, dispatch, nowMs) {
            if (dispatch.hasResponseStarted) return;
            dispatch.hasResponseStarted = true;
            const record = getRecord(backendServer);
            record.prefillStartedAtMs = nowMs;
            const tokens = dispatch.prefillTokens + dispatch.queuedTokens;
            if (tokens > 0) record.latencyModel.observe(tokens, nowMs - dispatch.sentAtMs, nowMs);
            const decayedMs = getDecayedDelayMs(record, nowMs);
            record.meanDelayMs = decayedMs + delayGain * (getOverdueMs(dispatch, nowMs) - decayedMs);
            record.delayUpdatedAtMs = nowMs;
        },
        end(backendServer, dispatch, outcome, nowMs) {
            const record = getRecord(backendServer);
            record.dispatches.delete(dispatch);
            if (outcome === "unknown") return;
            if (outcome === "good" || outcome === "refused") {
                record.consecutiveFailures = 0;
                record.surplusCount = Math.max(0, record.surplusCount - surplusForgivenPerAnswer);
                return;
            }
            record.consecutiveFailures++;
            if (outcome === "unreachable" || outcome === "broken") record.cachedParts.clear();
            const failuresOverLimit = record.consecutiveFailures - failuresToEject[outcome];
            if (failuresOverLimit >= 0) record.ejectedUntilMs = nowMs + getEjectionMs(failuresOverLimit);
        },
        recordSurplus(backendServer, nowMs) {
            const record = getRecord(backendServer);
            // Answers to dispatches from before the ejection say nothing new.
            if (record.ejectedUntilMs > nowMs) return undefined;
            // `end` counts the same answer as one without surplus bytes, which is made up for here.
            record.surplusCount = Math.min(maxSurplusCount, record.surplusCount + 1 + surplusForgivenPerAnswer);
            if (record.surplusCount < surplusToEject) return undefined;
            const ejectionMs = getEjectionMs(Math.floor(record.surplusCount) - surplusToEject);
            record.ejectedUntilMs = nowMs + ejectionMs;
            return ejectionMs;
        },
        recordLoad(backendServer, load, nowMs) {
            getRecord(backendServer).reported = { load, atMs: nowMs };
        },
        applyPeerLoad(load, nowMs) {
            const previousPeerWaiting = load.servers.map(server => peers.countWaiting(load.from, server.backendServer));
            const previousTotalWaiting = load.servers.map(server => countAllWaiting(getRecord(server.backendServer), nowMs));
            if (!peers.update(load, nowMs)) return;
            for (const [index, server] of load.servers.entries()) {
                const record = getRecord(server.backendServer);
                recordCachedParts(record, server.partIds);
                const hasPeerResponseStarted = server.waiting < previousPeerWaiting[index]!;
                const hasPrefillStarted = server.waiting > 0 && previousTotalWaiting[index] === 0;
                if (hasPeerResponseStarted || hasPrefillStarted) record.prefillStartedAtMs = nowMs;
            }
        },
        listOwnLoads: () =>
            [...records.values()].map(record => ({
                backendServer: record.backendServer,
                running: record.dispatches.size,
                waiting: countWaiting(record),
                waitingTokens: sumWaitingTokens(record),
            })),
        recordColdTimes(servers, nowMs) {
            for (const { backendServer, coldLeftMs } of servers) getRecord(backendServer).coldUntilMs = nowMs + coldLeftMs;
        },
        retainServers(servers) {
            const bornMs = new Map(servers.map(server => [server.backendServer, server.bornMs]));
            for (const [name, entry] of records) {
                const isSameIncarnation = entry.bornMs === undefined || entry.bornMs === bornMs.get(name);
                if (!bornMs.has(name) || !isSameIncarnation) records.delete(name);
                else entry.bornMs = bornMs.get(name);
            }
        },
    };

    function getRecord(backendServer: string): ServerRecord {
        const known = records.get(backendServer);
        if (known !== undefined) return known;
        const created: ServerRecord = {
            backendServer,
            bornMs: undefined,
            dispatches: new Set(),
            nameHash: getHash32(backendServer) / 2 ** 32,
            cachedParts: new Map(),
            latencyModel: createModel(backendServer),
            prefillStartedAtMs: -Infinity,
            reported: undefined,
            ejectedUntilMs: -Infinity,
            consecutiveFailures: 0,
            surplusCount: 0,
            meanDelayMs: 0,
            delayUpdatedAtMs: 0,
            coldUntilMs: -Infinity,
        };
        records.set(backendServer, created);
        return created;
    }

    function toTrackedServer(record: ServerRecord): TrackedServer {
        return {
            backendServer: record.backendServer,
            dispatches: record.dispatches,
            reported: record.reported,
            ejectedUntilMs: record.ejectedUntilMs,
            latencyModel: record.latencyModel,
            nameHash: record.nameHash,
            getPeerLoad: nowMs => peers.getTotal(record.backendServer, nowMs),
            getQueuedTokens: (peerLoad, nowMs) => getQueuedTokens(record, peerLoad, nowMs),
            getDelayMs: nowMs => getDelayMs(record, nowMs),
            getColdLeftMs: nowMs => Math.max(0, record.coldUntilMs - nowMs),
            hasCachedPart: partId => record.cachedParts.has(partId),
        };
    }

    function countAllWaiting(record: ServerRecord, nowMs: number): number {
        return countWaiting(record) + (peers.getTotal(record.backendServer, nowMs)?.waiting ?? 0);
    }
}

// The server prefills the first waiting prompt now, so the tokens already prefilled are subtracted, up to the mean prompt size.
function getQueuedTokens(record: ServerRecord, peerLoad: PeerLoad | undefined, nowMs: number): number {
    const tokens = sumWaitingTokens(record) + (peerLoad?.waitingTokens ?? 0);
    if (tokens === 0) return 0;
    const prefilledTokens = record.latencyModel.getTokensPerMs(nowMs) * (nowMs - record.prefillStartedAtMs);
    return tokens - Math.min(prefilledTokens, tokens / (countWaiting(record) + (peerLoad?.waiting ?? 0)));
}

function recordCachedParts(record: ServerRecord, partIds: readonly string[]): void {
    for (const partId of partIds) {
        record.cachedParts.delete(partId);
        record.cachedParts.set(partId, true);
    }
    while (record.cachedParts.size > maxCachedParts) record.cachedParts.delete(record.cachedParts.keys().next().value!);
}

function sumWaitingTokens(record: ServerRecord): number {
    let tokens = 0;
    for (const dispatch of record.dispatches) {
        if (!dispatch.hasResponseStarted) tokens += dispatch.prefillTokens;
    }
    return tokens;
}

function countWaiting(record: ServerRecord): number {
    let count = 0;
    for (const dispatch of record.dispatches) {
        if (!dispatch.hasResponseStarted) count++;
    }
    return count;
}

// A dispatch whose answer is overdue counts like one whose answer started late.
function getDelayMs(record: ServerRecord, nowMs: number): number {
    let delayMs = getDecayedDelayMs(record, nowMs);
    for (const dispatch of record.dispatches) {
        if (!dispatch.hasResponseStarted) delayMs = Math.max(delayMs, getOverdueMs(dispatch, nowMs));
    }
    return delayMs;
}

/** The time doubles with each failure over the limit. */
function getEjectionMs(failuresOverLimit: number): number {
    return Math.min(maxEjectionMs, minEjectionMs * 2 ** failuresOverLimit);
}

function getDecayedDelayMs(record: ServerRecord, nowMs: number): number {
    return record.meanDelayMs * 2 ** ((record.delayUpdatedAtMs - nowMs) / delayHalfLifeMs);
}

function getOverdueMs(dispatch: TrackedDispatch, nowMs: number): number {
    return Math.max(0, nowMs - dispatch.sentAtMs - dispatch.expectedStartMs);
}

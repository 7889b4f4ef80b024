/**
 * Limits what backend servers get while they are cold, or may be. In any second a cold server may get a bounded number of requests from all
 * entries together, and no entry knows what the others send. All entries together therefore plan for half of the bound. The other half
 * covers requests that take unequally long to arrive, and entries that do not know of each other yet.
 */
import { assert } from "../../kernel/debug.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { BackendServerPoolObject } from "../../kernel/objects.js";
import type { EntryListing, EntryShare } from "./entryShare.js";

/** Bound of the requests that a cold server may get within one second, derived from the rate of its pool. */
export interface ColdBound {
    /** Factor on the rate. */
    readonly overrunFactor: number;
    /** Requests that are added to the product. */
    readonly extraRequests: number;
}

/** Why a server may be cold although no record says so. */
export type ColdSuspicion = "suspectedRestart" | "evacuationEnded";

/** Why a server is limited. */
export type ColdReason = "record" | ColdSuspicion | "noContact";

/** A server that has become limited, or whose limit was lifted. */
export interface ColdChange {
    readonly kind: "limited" | "lifted";
    readonly backendServer: string;
    /** For a lifted limit, the last reason. */
    readonly reason: ColdReason;
}

/** Cold backend servers, as known to one entry. */
export interface ColdServers {
    /** Takes over the cold rates of pools. */
    setPools(pools: readonly BackendServerPoolObject[]): void;
    /** True if some pool has a cold rate. */
    hasRates(): boolean;
    /** Takes over the records of all present servers, with the cold times that remain at `nowMs`. */
    updateServers(servers: readonly BackendServerRecord[], nowMs: number): void;
    /** Records what control said at `saidAtMs`. */
    recordContact(listing: EntryListing, saidAtMs: number, nowMs: number): void;
    /** Treats servers as cold until their next incarnation announces itself, or for some seconds. */
    markPossiblyCold(backendServers: readonly string[], reason: ColdSuspicion, nowMs: number): void;
    recordDispatch(backendServer: string, nowMs: number): void;
    /** Time until this entry may send a request to the server. Infinite while others may and this entry may not. */
    getWaitMs(backendServer: string, nowMs: number): number;
    /** Requests per second that the server gets from all entries together. Infinite if it is not limited. */
    getFleetRate(backendServer: string, nowMs: number): number;
    /** Returns the changes since the last call. */
    takeChanges(nowMs: number): readonly ColdChange[];
    /** Number of servers that are cold by their records. */
    countCold(nowMs: number): number;
    /** Number of servers that are limited. */
    countLimited(nowMs: number): number;
}

interface ServerState {
    readonly pool: string;
    readonly bornMs: number;
    readonly coldUntilMs: number;
    readonly suspicion: { readonly reason: ColdSuspicion; readonly untilMs: number; } | undefined;
    /** Times of the latest dispatches, in order. */
    readonly dispatchesMs: number[];
    /** Reason of the limit that was last reported. */
    reportedReason: ColdReason | undefined;
}

/** Limit that is in force. `factor` is 1 while the server is or may be cold, and grows afterwards. */
interface ActiveLimit {
    readonly reason: ColdReason;
    readonly factor: number;
}

/** Requests that all entries together may send within an interval. */
interface FleetRate {
    readonly requests: number;
    readonly intervalMs: number;
}

/** Covers two heartbeats and their way to the entries. */
const suspicionMs = 3_000;
/** Without an answer of control for this time, a server may have become cold without the entry knowing. */
const contactTimeoutMs = 1_500;
/** A second, for which the bound holds, and the difference between the times that two requests of one entry take to arrive. */
const minIntervalMs = 1_250;
/** Part of the bound that all entries together plan for. */
const plannedPart = 0.5;
const rampStepMs = 500;
const rampFactors = [2, 4, 8, 16] as const;
const maxRampFactor = rampFactors.at(-1)!;

/** Creates the state of an entry that knows no servers and has not heard from control. */
export function createColdServers(bound: ColdBound, share: EntryShare): ColdServers {
    const states = new Map<string, ServerState>();
    let rates: ReadonlyMap<string, FleetRate> = new Map();
    let contactAtMs = -Infinity;

    return {
        setPools(pools) {
            const limited = pools.filter(pool => pool.coldStart !== undefined);
            rates = new Map(limited.map(pool => [pool.name, planFleetRate(pool.coldStart!.requestsPerSecond, bound)]));
        },
        hasRates: () => rates.size > 0,
        updateServers(servers, nowMs) {
            const names = new Set(servers.map(server => server.backendServer));
            for (const name of states.keys()) {
                if (!names.has(name)) states.delete(name);
            }
            for (const server of servers) states.set(server.backendServer, applyRecord(states.get(server.backendServer), server, nowMs));
        },
        recordContact(listing, saidAtMs, nowMs) {
            contactAtMs = Math.max(contactAtMs, saidAtMs);
            share.update(listing, nowMs);
        },
        markPossiblyCold(backendServers, reason, nowMs) {
            for (const backendServer of backendServers) {
                const state = states.get(backendServer);
                if (state !== undefined) states.set(backendServer, { ...state, suspicion: { reason, untilMs: nowMs + suspicionMs } });
            }
        },
        recordDispatch(backendServer, nowMs) {
            const state = states.get(backendServer);
            const rate = state === undefined ? undefined : rates.get(state.pool);
            if (rate === undefined) return;
            const { dispatchesMs } = state!;
            dispatchesMs.push(nowMs);
            while (dispatchesMs.length > rate.requests * maxRampFactor || dispatchesMs[0]! <= nowMs - rate.intervalMs) dispatchesMs.shift();
        },
        getWaitMs(backendServer, nowMs) {
            if (rates.size === 0) return 0;
            const state = states.get(backendServer);
            const limit = getLimit(state, nowMs);
            return limit === undefined ? 0 : getLimitedWaitMs(backendServer, state!, limit, nowMs);
        },
        getFleetRate(backendServer, nowMs) {
            const state = states.get(backendServer);
            const limit = getLimit(state, nowMs);
            if (limit === undefined) return Infinity;
            const { requests, intervalMs } = rates.get(state!.pool)!;
            return requests * limit.factor * 1_000 / intervalMs;
        },
        takeChanges(nowMs) {
            return [...states].flatMap(([backendServer, state]) => {
                const reason = getLimit(state, nowMs)?.reason;
                const before = state.reportedReason;
                state.reportedReason = reason;
                if (reason === before) return [];
                return [{ kind: reason === undefined ? "lifted" : "limited", backendServer, reason: (reason ?? before)! } as const];
            });
        },
        countCold: nowMs => [...states.values()].filter(state => state.coldUntilMs > nowMs).length,
        countLimited: nowMs => [...states.values()].filter(state => getLimit(state, nowMs) !== undefined).length,
    };

    function getLimit(state: ServerState | undefined, nowMs: number): ActiveLimit | undefined {
        if (state === undefined || !rates.has(state.pool)) return undefined;
        const { coldUntilMs, suspicion } = state;
        if (nowMs < coldUntilMs) return { reason: "record", factor: 1 };
        const suspectedUntilMs = suspicion?.untilMs ?? -Infinity;
        if (nowMs < suspectedUntilMs) return { reason: suspicion!.reason, factor: 1 };
        if (nowMs - contactAtMs > contactTimeoutMs) return { reason: "noContact", factor: 1 };
        const rampStep = Math.floor((nowMs - Math.max(coldUntilMs, suspectedUntilMs)) / rampStepMs);
        if (rampStep >= rampFactors.length) return undefined;
        return { reason: coldUntilMs >= suspectedUntilMs ? "record" : suspicion!.reason, factor: rampFactors[rampStep]! };
    }

    function getLimitedWaitMs(backendServer: string, { pool, dispatchesMs }: ServerState, { factor }: ActiveLimit, nowMs: number): number {
        // The other entries do not leave room yet for one that has just started.
        if (factor === 1 && !share.isSettled(nowMs)) return Infinity;
        const { requests, intervalMs } = rates.get(pool)!;
        const ownRequests = share.getOwnRequests(backendServer, requests * factor, nowMs);
        if (ownRequests === 0) return Infinity;
        const earlierMs = dispatchesMs.at(-ownRequests);
        return earlierMs === undefined ? 0 : Math.max(0, earlierMs + intervalMs - nowMs);
    }
}

/** Plans what all entries together may send to a cold server, so that the bound holds and the rate of the pool is not exceeded for long. */
function planFleetRate(requestsPerSecond: number, { overrunFactor, extraRequests }: ColdBound): FleetRate {
    const boundRequests = Math.floor(requestsPerSecond * overrunFactor + extraRequests);
    // A bound below one request leaves nothing to send.
    const requests = Math.max(Math.min(1, boundRequests), Math.floor(boundRequests * plannedPart));
    assert(requests >= 0, "the bound is not negative");
    return { requests, intervalMs: Math.max(minIntervalMs, requests * 1_000 / requestsPerSecond) };
}

function applyRecord(state: ServerState | undefined, { pool, bornMs, coldLeftMs }: BackendServerRecord, nowMs: number): ServerState {
    const coldUntilMs = nowMs + coldLeftMs;
    if (state === undefined) {
        return {
            pool,
            bornMs,
            coldUntilMs: coldLeftMs > 0 ? coldUntilMs : -Infinity,
            suspicion: undefined,
            dispatchesMs: [],
            reportedReason: undefined,
        };
    }
    if (state.bornMs !== bornMs) return { ...state, pool, bornMs, coldUntilMs, suspicion: undefined };
    return { ...state, pool, coldUntilMs: coldLeftMs > 0 ? coldUntilMs : Math.min(state.coldUntilMs, nowMs) };
}

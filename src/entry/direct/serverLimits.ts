/**
 * Request rates that backend servers in need name in their answers. A named rate holds for all entries together, so each entry keeps to a
 * share of it without asking the others: it knows how many entries there are and its position among them. A server that names a very low
 * rate would get more than that from one request of each entry, so only some of the entries send to it then. The rates of cold servers, which
 * `coldServers.ts` divides, limit the same dispatches, and the lower of the two limits applies.
 */
import type { SharedLimit } from "../../kernel/contracts.js";
import { getHash32 } from "../../kernel/digest.js";
import type { BackendServerRecord } from "../../kernel/directory.js";
import type { ColdServers } from "./coldServers.js";
import type { NamedLimit } from "./types.js";

/** Position of this entry among all entries. */
export interface EntryPosition {
    /** Undefined if control does not say. The entry then sends only where all entries may. */
    readonly rank?: number | undefined;
    readonly count: number;
}

/** Limits of cold servers. */
export type ColdLimits = Pick<ColdServers, "recordDispatch" | "getWaitMs" | "getFleetRate" | "markPossiblyCold">;

/** Rates that backend servers have named, and those of cold servers. */
export interface ServerLimits {
    /** Records what an answer said about the rate. `sentAtMs` is the time at which its request was sent. */
    recordAnswer(backendServer: string, limit: NamedLimit, sentAtMs: number, nowMs: number): LimitChange;
    /** Records what another entry has learned from an answer. */
    recordShared(backendServer: string, limit: SharedLimit, nowMs: number): LimitChange;
    /** Records a dispatch, of whatever kind. */
    recordDispatch(backendServer: string, nowMs: number): void;
    /** Records that a connection to the server failed or was refused. It may be starting again. */
    recordBrokenConnection(backendServer: string, nowMs: number): void;
    /** Counts a dispatch that must not go to one of these servers because it is or may be cold. */
    countHeldBack(backendServers: readonly Pick<BackendServerRecord, "backendServer">[], nowMs: number): void;
    getHeldBackCount(): number;
    /** Time until this entry may send a request to the server. Zero if the server is not limited. */
    getWaitMs(backendServer: string, nowMs: number): number;
    /** Time until some entry may be expected to send a request to one of these servers, all of which have used up their rates here. */
    getFleetWaitMs(backendServers: readonly string[], nowMs: number): number;
    /** Returns what this entry has recently learned from the server's own answers. */
    getShared(backendServer: string, nowMs: number): SharedLimit | undefined;
    /** Servers about which `getShared` has something to say. */
    listShared(nowMs: number): readonly string[];
    updatePosition(position: EntryPosition, nowMs: number): void;
    retainServers(names: ReadonlySet<string>): void;
}

/** Effect of new information on what is known of a server. */
export type LimitChange = "named" | "ended" | "unchanged";

interface ServerState {
    /** Undefined while the server names no rate. */
    readonly perSecond: number | undefined;
    /** Time at which the server made the latest known statement. */
    readonly statedAtMs: number;
    /** True if an answer to this entry made the statement. */
    readonly isOwn: boolean;
    readonly nextSendAtMs: number;
}

/** Requests that a server gets from all entries together, even if it names a lower rate: otherwise it could never say that it is well. */
const minPerSecond = 0.1;
/** Entries that may send to a server at once, beyond one per request a second that it named. */
const extraSenders = 3;
/** Interval, per entry of the fleet, at which the entries that do not send to a limited server try it. */
const trialIntervalPerEntryMs = 2_000;
const minTrialIntervalMs = 10_000;
/** A statement older than this is not shared any more. */
const shareForMs = 5_000;
/** A smaller number of entries is believed after this time. A control VM that has just started does not know all of them. */
const shrinkDelayMs = 15_000;

const noColdLimits: ColdLimits = {
    recordDispatch() {},
    getWaitMs: () => 0,
    getFleetRate: () => Infinity,
    markPossiblyCold() {},
};

/** Creates limits without any server. */
export function createServerLimits(nextFloat: () => number, coldLimits: ColdLimits = noColdLimits): ServerLimits {
    const states = new Map<string, ServerState>();
    let position: EntryPosition = { rank: 0, count: 1 };
    let largerSeenAtMs = -Infinity;
    let heldBackCount = 0;

    return {
        recordAnswer(backendServer, limit, sentAtMs, nowMs) {
            const state = states.get(backendServer);
            if (limit.kind === "unreadable") return "unchanged";
            if (limit.kind === "none" && state?.perSecond === undefined) return "unchanged";
            // Answers overtake each other: one to a request that was sent before the rate was named says nothing about its end.
            if (limit.kind === "none" && sentAtMs < state!.statedAtMs) return "unchanged";
            return update(backendServer, limit.kind === "none" ? undefined : limit.perSecond, nowMs, true, nowMs);
        },
        recordShared(backendServer, { perSecond, ageMs }, nowMs) {
            const statedAtMs = nowMs - ageMs;
            const state = states.get(backendServer);
            if (state === undefined ? perSecond === undefined : statedAtMs <= state.statedAtMs) return "unchanged";
            return update(backendServer, perSecond, statedAtMs, false, nowMs);
        },
        recordDispatch(backendServer, nowMs) {
            coldLimits.recordDispatch(backendServer, nowMs);
            const state = states.get(backendServer);
            if (state?.perSecond === undefined) return;
            states.set(backendServer, { ...state, nextSendAtMs: nowMs + getIntervalMs(backendServer, state.perSecond) });
        },
        recordBrokenConnection: (backendServer, nowMs) => coldLimits.markPossiblyCold([backendServer], "suspectedRestart", nowMs),
        countHeldBack(backendServers, nowMs) {
            if (backendServers.some(server => coldLimits.getWaitMs(server.backendServer, nowMs) > 0)) heldBackCount++;
        },
        getHeldBackCount: () => heldBackCount,
        getWaitMs,
        getFleetWaitMs(backendServers, nowMs) {
            const ownWaitMs = Math.min(...backendServers.map(name => getWaitMs(name, nowMs)));
            const rates = backendServers.map(name => getFleetRate(name, nowMs));
            return Math.min(ownWaitMs, 1_000 / rates.reduce((sum, rate) => sum + rate, 0));
        },
        getShared,
        listShared: nowMs => [...states.keys()].filter(name => getShared(name, nowMs) !== undefined),
        updatePosition(next, nowMs) {
            if (next.count >= position.count) largerSeenAtMs = nowMs;
            if (next.count >= position.count || nowMs - largerSeenAtMs > shrinkDelayMs) position = next;
        },
        retainServers(names) {
            for (const name of states.keys()) {
                if (!names.has(name)) states.delete(name);
            }
        },
    };

    function getWaitMs(backendServer: string, nowMs: number): number {
        const state = states.get(backendServer);
        const namedWaitMs = state?.perSecond === undefined ? 0 : state.nextSendAtMs - nowMs;
        return Math.max(0, namedWaitMs, coldLimits.getWaitMs(backendServer, nowMs));
    }

    function getFleetRate(backendServer: string, nowMs: number): number {
        const rate = Math.min(states.get(backendServer)?.perSecond ?? Infinity, coldLimits.getFleetRate(backendServer, nowMs));
        return rate < Infinity ? Math.max(rate, minPerSecond) : minPerSecond;
    }

    function update(
        backendServer: string,
        perSecond: number | undefined,
        statedAtMs: number,
        isOwn: boolean,
        nowMs: number,
    ): LimitChange {
        const before = states.get(backendServer);
        const isNew = perSecond !== undefined && before?.perSecond === undefined;
        // The first request waits a random part of the interval, so that the entries that learn of the rate together do not send together.
        const nextSendAtMs = isNew ? nowMs + nextFloat() * getIntervalMs(backendServer, perSecond) : before?.nextSendAtMs ?? nowMs;
        states.set(backendServer, { perSecond, statedAtMs, isOwn, nextSendAtMs });
        if (before?.perSecond === perSecond) return "unchanged";
        return perSecond === undefined ? "ended" : "named";
    }

    /** Time between two requests of this entry to a server that has named a rate. */
    function getIntervalMs(backendServer: string, perSecond: number): number {
        const { rank, count } = position;
        const senders = Math.min(count, Math.floor(perSecond) + extraSenders);
        const isSender = senders === count || (rank !== undefined && (rank + getHash32(backendServer)) % count < senders);
        const sendIntervalMs = senders * 1_000 / Math.max(perSecond, minPerSecond);
        return isSender ? sendIntervalMs : Math.max(minTrialIntervalMs, count * trialIntervalPerEntryMs, sendIntervalMs);
    }

    function getShared(backendServer: string, nowMs: number): SharedLimit | undefined {
        const state = states.get(backendServer);
        if (state === undefined || !state.isOwn || nowMs - state.statedAtMs > shareForMs) return undefined;
        return { perSecond: state.perSecond, ageMs: nowMs - state.statedAtMs };
    }
}

/** What one entry knows of each backend server's load, cache and health, from its own dispatches and their answers. */
import type { PromptPart, ServerLoad } from "./types.js";

/** One dispatch that has not ended. */
export interface Dispatch {
    readonly startedAtMs: number;
    /** Prompt tokens that the backend server is expected to read for it. */
    readonly readTokens: number;
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
    /** Until then it gets no work. */
    readonly ejectedUntilMs: number;
    /** Time by which its answers began later than expected of late. It tells of load that other entries bring. */
    getDelayMs(nowMs: number): number;
    /** True when the part is believed to be in its cache. */
    holdsPart(partId: string): boolean;
}

/** Facts of all backend servers. */
export interface LoadBook {
    get(backendServer: string): ServerFacts;
    begin(backendServer: string, expected: ExpectedStart, parts: readonly PromptPart[], nowMs: number): Dispatch;
    /** The backend server has begun to answer. */
    noteStarted(backendServer: string, dispatch: Dispatch, nowMs: number): void;
    end(backendServer: string, dispatch: Dispatch, how: DispatchEnd, nowMs: number): void;
    noteLoad(backendServer: string, load: ServerLoad, nowMs: number): void;
    /** Forgets the servers that are not listed. */
    keepOnly(backendServers: ReadonlySet<string>): void;
}

/** What a dispatch was expected to take. */
export type ExpectedStart = Pick<Dispatch, "readTokens" | "expectedStartMs">;

interface Entry {
    readonly backendServer: string;
    readonly dispatches: Set<Dispatch>;
    readonly parts: Map<string, true>;
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
export function createLoadBook(): LoadBook {
    const entries = new Map<string, Entry>();
    return {
        get: backendServer => toFacts(getEntry(backendServer)),
        begin(backendServer, { readTokens, expectedStartMs }, parts, nowMs) {
            const entry = getEntry(backendServer);
            const dispatch: Dispatch = { startedAtMs: nowMs, readTokens, expectedStartMs, hasStarted: false };
            entry.dispatches.add(dispatch);
            for (const part of parts) {
                entry.parts.delete(part.partId);
                entry.parts.set(part.partId, true);
            }
            while (entry.parts.size > maxParts) entry.parts.delete(entry.parts.keys().next().value!);
            return dispatch;
        },
        noteStarted(backendServer, dispatch, nowMs) {
            if (dispatch.hasStarted) return;
            dispatch.hasStarted = true;
            const entry = getEntry(backendServer);
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
        keepOnly(backendServers) {
            for (const name of entries.keys()) {
                if (!backendServers.has(name)) entries.delete(name);
            }
        },
    };

    function getEntry(backendServer: string): Entry {
        const known = entries.get(backendServer);
        if (known !== undefined) return known;
        const created: Entry = {
            backendServer,
            dispatches: new Set(),
            parts: new Map(),
            reported: undefined,
            ejectedUntilMs: -Infinity,
            badEnds: 0,
            delayMs: 0,
            delayAtMs: 0,
        };
        entries.set(backendServer, created);
        return created;
    }
}

function toFacts(entry: Entry): ServerFacts {
    return {
        backendServer: entry.backendServer,
        dispatches: entry.dispatches,
        reported: entry.reported,
        ejectedUntilMs: entry.ejectedUntilMs,
        getDelayMs: nowMs => getDelayMs(entry, nowMs),
        holdsPart: partId => entry.parts.has(partId),
    };
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

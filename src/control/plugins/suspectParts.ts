/** Parts of prompts that were being answered when backend servers crashed. Part of the quarantine plug-in. */
import { countCrashes } from "../../kernel/crashCount.js";
import type { CrashReport, SuspectPartView, Suspicion } from "../../kernel/messages.js";
import { blameCrashCount, publishedCrashCount } from "../../kernel/partBlame.js";

/** The table of suspected parts. */
export interface SuspectPartTable {
    /** Holds the crash against each part that the report names. */
    record(report: CrashReport, nowMs: number): void;
    /** Drops the parts, because an answer carried them. Returns whether any was known. */
    clear(partIds: readonly string[]): boolean;
    deleteExpired(nowMs: number): void;
    /** Parts with enough crashes to be told to the entries. */
    listPublished(): readonly SuspectPartView[];
    /** All parts, with what the entries make of their crashes. */
    listAll(): readonly (SuspectPartView & { readonly suspicion: Suspicion; })[];
    save(): readonly SuspectPartView[];
    load(saved: readonly SuspectPartView[]): void;
}

const suspicionMs = 600_000;
const maxParts = 2_000;
/** More crashes than needed for blame, because some may be explained by other parts. */
const maxCrashesPerPart = 12;

/** Creates an empty table. */
export function createSuspectPartTable(): SuspectPartTable {
    // In the order of the last crash.
    const parts = new Map<string, SuspectPartView>();
    return {
        record(report, nowMs) {
            for (const partId of report.partIds ?? []) addCrash(partId, report, nowMs);
        },
        clear: partIds => partIds.filter(partId => parts.delete(partId)).length > 0,
        deleteExpired(nowMs) {
            for (const part of parts.values()) {
                if (part.expiresAtMs < nowMs) parts.delete(part.partId);
            }
        },
        listPublished: () => [...parts.values()].filter(part => countCrashes(part.crashes) >= publishedCrashCount),
        listAll: () => [...parts.values()].map(part => ({ ...part, suspicion: getSuspicion(part) })),
        save: () => [...parts.values()],
        load(saved) {
            parts.clear();
            for (const part of saved) parts.set(part.partId, part);
        },
    };

    function addCrash(partId: string, report: CrashReport, nowMs: number): void {
        const { backendServer, incarnation, failureDomain, isSolo, ageMs = 0 } = report;
        const crashId = `${backendServer} ${incarnation}`;
        const known = parts.get(partId)?.crashes ?? [];
        // Several entries may report the same crash.
        if (known.some(crash => crash.crashId === crashId)) return;
        const crashes = [...known, { crashId, failureDomain, isSolo, atMs: nowMs - ageMs }].slice(-maxCrashesPerPart);
        parts.delete(partId);
        parts.set(partId, { partId, crashes, expiresAtMs: nowMs + suspicionMs });
        if (parts.size > maxParts) parts.delete(parts.keys().next().value!);
    }
}

function getSuspicion(part: SuspectPartView): Suspicion {
    return countCrashes(part.crashes) >= blameCrashCount ? "quarantined" : "suspect";
}

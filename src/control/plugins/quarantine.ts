/**
 * Quarantine of requests that may have crashed backend servers. A request fingerprint that was in flight at two crashes
 * is rejected by the whole fleet until its record expires. Simultaneous crashes in one failure domain count as one.
 */
import { countCrashes, quarantineCrashCount } from "../../kernel/crashCount.js";
import { getDigest } from "../../kernel/digest.js";
import type { CrashReport, QuarantineView, SuspectPartView, Suspicion } from "../../kernel/messages.js";
import type { ControlPlugin } from "../../kernel/registry.js";
import type { AuditWriter } from "./audit.js";
import { createSuspectPartTable } from "./suspectParts.js";

/** What the configuration publishes to the entries. */
export interface PublishedQuarantine {
    readonly quarantined: readonly QuarantineView[];
    /** Fingerprints with crashes that are too few for a quarantine. */
    readonly suspects: readonly string[];
    /** Parts of prompts that may crash backend servers. */
    readonly suspectParts: readonly SuspectPartView[];
}

/** The plug-in, and what the configuration publishes of it. */
export interface Quarantine {
    readonly plugin: ControlPlugin;
    /** Returns the same object until it changes. */
    getPublished(): PublishedQuarantine;
}

interface Crash {
    readonly backendServer: string;
    readonly incarnation: string;
    readonly failureDomain: string;
    readonly atMs: number;
    readonly isSolo: boolean;
}

interface Suspect {
    readonly fingerprint: string;
    readonly crashes: readonly Crash[];
    readonly expiresAtMs: number;
    /** Number of trials so far, and time from which the next one is granted. Absent in snapshots of earlier versions. */
    readonly trials?: number;
    readonly trialAtMs?: number;
}

const quarantineMs = 3_600_000;
/**
 * Time before the first, second and each further trial. A sound request that only ran beside a crashing one is served again after the first;
 * one that does crash backend servers reaches few more of them.
 */
const trialDelaysMs = [6_000, 30_000, 600_000] as const;
/** Limits the size of snapshots and of what is published. */
const maxSuspects = 2_000;
const maxPublishedSuspects = 200;

/** Creates the quarantine plug-in. */
export function createQuarantine(audit: AuditWriter): Quarantine {
    const suspects = new Map<string, Suspect>();
    const parts = createSuspectPartTable();
    let published = createPublished();

    return {
        getPublished: () => published,
        plugin: {
            name: "quarantine",
            commands: {
                "quarantine.report": ({ crashes }, context) => {
                    deleteExpiredSuspects(context.nowMs);
                    parts.deleteExpired(context.nowMs);
                    for (const crash of crashes) parts.record(crash, context.nowMs);
                    for (const crash of crashes) addCrashToSuspect(crash, context.nowMs);
                    const suspicions = Object.fromEntries(
                        crashes.map(crash => [crash.fingerprint, getSuspicion(suspects.get(crash.fingerprint))]),
                    );
                    publish();
                    for (const [fingerprint, suspicion] of Object.entries(suspicions)) {
                        if (suspicion !== "quarantined") continue;
                        audit(context, {
                            actor: "control",
                            action: "quarantine",
                            outcome: "held back",
                            detail: fingerprint,
                            content: fingerprint,
                        });
                    }
                    return { suspicions };
                },
                "quarantine.exonerate": ({ fingerprint }) => publishAfter(suspects.delete(fingerprint)),
                "quarantine.requestTrial": ({ fingerprint }, { nowMs }) => ({ isGranted: grantTrial(fingerprint, nowMs) }),
                "quarantine.exonerateParts": ({ partIds }) => publishAfter(parts.clear(partIds)),
                "quarantine.clear": ({ fingerprint, actor }, context) => {
                    const { isKnown } = publishAfter(suspects.delete(fingerprint) || parts.clear([fingerprint]));
                    const outcome = isKnown ? "accepted" : "unknown";
                    audit(context, { actor, action: "clearQuarantine", outcome, detail: fingerprint, content: fingerprint });
                    return { isKnown };
                },
            },
            queries: { "quarantine.list": () => ({ fingerprints: [...suspects.values()].map(createView), parts: parts.listAll() }) },
            sections: [{
                name: "quarantine",
                save: () => ({ suspects: [...suspects.values()], parts: parts.save() }),
                load(data) {
                    const saved = data as { suspects: Suspect[]; parts?: SuspectPartView[]; };
                    suspects.clear();
                    for (const suspect of saved.suspects) suspects.set(suspect.fingerprint, suspect);
                    parts.load(saved.parts ?? []);
                    publish();
                },
            }],
        },
    };

    function createPublished(): PublishedQuarantine {
        const views = [...suspects.values()].map(createView);
        return {
            quarantined: views.filter(view => view.suspicion === "quarantined"),
            suspects: views.filter(view => view.suspicion === "suspect").map(view => view.fingerprint).slice(-maxPublishedSuspects),
            suspectParts: parts.listPublished(),
        };
    }

    // Entries are only told of what has changed for them.
    function publish(): void {
        const changed = createPublished();
        if (getDigest(changed) !== getDigest(published)) published = changed;
    }

    function publishAfter(isKnown: boolean): { readonly isKnown: boolean; } {
        if (isKnown) publish();
        return { isKnown };
    }

    function addCrashToSuspect(report: CrashReport, nowMs: number): void {
        const { fingerprint, backendServer, incarnation, failureDomain, isSolo, ageMs = 0 } = report;
        const known = suspects.get(fingerprint);
        const knownCrashes = known?.crashes ?? [];
        // Several entries may report the same crash.
        if (knownCrashes.some(crash => crash.backendServer === backendServer && crash.incarnation === incarnation)) return;
        const crashes = [...knownCrashes, { backendServer, incarnation, failureDomain, isSolo, atMs: nowMs - ageMs }];
        suspects.delete(fingerprint);
        const trials = known?.trials ?? 0;
        suspects.set(fingerprint, {
            fingerprint,
            crashes,
            expiresAtMs: nowMs + quarantineMs,
            trials,
            trialAtMs: nowMs + getTrialDelayMs(trials),
        });
        deleteOldestSuspects();
    }

    // One trial at a time in the whole fleet: the next is due only after another delay, whatever becomes of this one.
    function grantTrial(fingerprint: string, nowMs: number): boolean {
        const suspect = suspects.get(fingerprint);
        if (suspect === undefined || getSuspicion(suspect) !== "quarantined" || nowMs < (suspect.trialAtMs ?? Infinity)) return false;
        const trials = (suspect.trials ?? 0) + 1;
        suspects.set(fingerprint, { ...suspect, trials, trialAtMs: nowMs + getTrialDelayMs(trials) });
        publish();
        return true;
    }

    // The map is in the order of the last crash. Quarantined fingerprints are kept as long as there are others.
    function deleteOldestSuspects(): void {
        if (suspects.size <= maxSuspects) return;
        const oldest = [...suspects.values()].find(suspect => getSuspicion(suspect) === "suspect") ?? suspects.values().next().value;
        if (oldest !== undefined) suspects.delete(oldest.fingerprint);
    }

    function deleteExpiredSuspects(nowMs: number): void {
        for (const suspect of suspects.values()) {
            if (suspect.expiresAtMs < nowMs) suspects.delete(suspect.fingerprint);
        }
    }
}

function getTrialDelayMs(trials: number): number {
    return trialDelaysMs[trials] ?? trialDelaysMs.at(-1)!;
}

function getSuspicion(suspect: Suspect | undefined): Suspicion {
    if (suspect === undefined) return "clear";
    return countCrashes(suspect.crashes) >= quarantineCrashCount ? "quarantined" : "suspect";
}

function createView(suspect: Suspect): QuarantineView {
    return {
        fingerprint: suspect.fingerprint,
        suspicion: getSuspicion(suspect),
        crashes: suspect.crashes.length,
        expiresAtMs: suspect.expiresAtMs,
        trialAtMs: suspect.trialAtMs,
    };
}

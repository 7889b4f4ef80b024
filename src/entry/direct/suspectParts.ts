/** Parts of prompts that one entry suspects of crashing backend servers: those that control has published and those it saw itself. */
import type { ControlTimeBound } from "../../kernel/controlTime.js";
import type { Clock } from "../../kernel/host.js";
import type { SuspectPartView } from "../../kernel/messages.js";
import { findBlamedPart } from "../../kernel/partBlame.js";
import type { PartCrash } from "../../kernel/partBlame.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";

/** The suspected parts. */
export interface SuspectParts {
    /** Remaining time for which a prompt with these parts is held back. Undefined if it may be sent. */
    getHeldBackMs(partIds: readonly string[]): number | undefined;
    /** Holds a crash against the parts until control has published it. */
    add(partIds: readonly string[], crash: PartCrash): void;
    /** Records that control holds the crashes now. */
    confirm(crashIds: ReadonlySet<string>): void;
    /** Drops the parts, because an answer carried them. Returns those that control has to drop too. */
    clear(partIds: readonly string[]): readonly string[];
}

/** Options of the table. */
export interface SuspectPartsOptions {
    readonly clock: Clock;
    readonly controlTime: Pick<ControlTimeBound, "getUpperBoundMs">;
    readonly configuration: Pick<NodeConfiguration, "getSuspectParts">;
    /** Time for which an entry holds a crash against a part by itself. */
    readonly ownSuspicionMs: number;
    /** Time within which control publishes what it has confirmed. */
    readonly publicationMs: number;
}

interface OwnCrash {
    /** With its time in control time, as in what control publishes. */
    readonly crash: PartCrash;
    /** True once control holds the crash too. */
    readonly isConfirmed: boolean;
    /** Local time. */
    readonly expiresAtMs: number;
}

const maxOwnParts = 500;

/** Creates a table without crashes. */
export function createSuspectParts(options: SuspectPartsOptions): SuspectParts {
    const { clock, controlTime, configuration, ownSuspicionMs, publicationMs } = options;
    const ownCrashes = new Map<string, readonly OwnCrash[]>();
    return {
        getHeldBackMs(partIds) {
            if (!partIds.some(partId => ownCrashes.has(partId) || getPublished(partId) !== undefined)) return undefined;
            const blamed = findBlamedPart(partIds, mergeCrashes());
            return blamed === undefined ? undefined : getLeftMs(blamed);
        },
        add(partIds, crash) {
            const own = {
                crash: { ...crash, atMs: toControlTime(crash.atMs) },
                isConfirmed: false,
                expiresAtMs: clock.nowMs() + ownSuspicionMs,
            };
            for (const partId of partIds) {
                const known = listOwn(partId);
                ownCrashes.delete(partId);
                ownCrashes.set(partId, [...known, own]);
                if (ownCrashes.size > maxOwnParts) ownCrashes.delete(ownCrashes.keys().next().value!);
            }
        },
        confirm(crashIds) {
            const expiresAtMs = clock.nowMs() + publicationMs;
            for (const [partId, crashes] of ownCrashes) {
                const updated = crashes.map(own => crashIds.has(own.crash.crashId) ? { ...own, isConfirmed: true, expiresAtMs } : own);
                ownCrashes.set(partId, updated);
            }
        },
        clear(partIds) {
            const published = configuration.getSuspectParts();
            const known = partIds.filter(partId => published.has(partId) || listOwn(partId).some(own => own.isConfirmed));
            for (const partId of partIds) ownCrashes.delete(partId);
            return known;
        },
    };

    function listOwn(partId: string): readonly OwnCrash[] {
        const nowMs = clock.nowMs();
        return (ownCrashes.get(partId) ?? []).filter(own => own.expiresAtMs > nowMs);
    }

    // Control drops expired parts only when it gets another report, so what it published may have expired.
    function isInForce(part: SuspectPartView): boolean {
        const controlNowMs = controlTime.getUpperBoundMs();
        return !Number.isFinite(controlNowMs) || part.expiresAtMs > controlNowMs;
    }

    function getPublished(partId: string): SuspectPartView | undefined {
        const part = configuration.getSuspectParts().get(partId);
        return part !== undefined && isInForce(part) ? part : undefined;
    }

    function mergeCrashes(): ReadonlyMap<string, readonly PartCrash[]> {
        const merged = new Map<string, readonly PartCrash[]>();
        for (const part of configuration.getSuspectParts().values()) {
            if (isInForce(part)) merged.set(part.partId, part.crashes);
        }
        for (const partId of ownCrashes.keys()) {
            const known = merged.get(partId) ?? [];
            const knownIds = new Set(known.map(crash => crash.crashId));
            const own = listOwn(partId).map(({ crash }) => crash).filter(crash => !knownIds.has(crash.crashId));
            merged.set(partId, [...known, ...own]);
        }
        return merged;
    }

    function getLeftMs(partId: string): number {
        const published = getPublished(partId);
        const publishedLeftMs = published === undefined ? 0 : published.expiresAtMs - controlTime.getUpperBoundMs();
        const ownLeftMs = Math.max(0, ...listOwn(partId).map(own => own.expiresAtMs - clock.nowMs()));
        return Math.max(publishedLeftMs, ownLeftMs);
    }

    // Until control has answered once there is no published crash to compare with.
    function toControlTime(localMs: number): number {
        const controlNowMs = controlTime.getUpperBoundMs();
        return Number.isFinite(controlNowMs) ? controlNowMs - (clock.nowMs() - localMs) : localMs;
    }
}

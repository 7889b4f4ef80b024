/** Decides whether a prompt contains a part that crashes backend servers. Sound parts crash together with it and are cleared by answers. */
import { countCrashes } from "./crashCount.js";
import type { CountedCrash } from "./crashCount.js";

/** A crash that was attributed to a part of the prompt that was running. */
export interface PartCrash extends CountedCrash {
    /** Incarnation of the backend server that crashed. */
    readonly crashId: string;
}

/** Crashes of each suspected part since an answer last carried it. */
export type CrashesByPart = ReadonlyMap<string, readonly PartCrash[]>;

/** Number of crashes, as `countCrashes` counts them, from which a part is accused, and blamed if nothing else explains them. */
export const blameCrashCount = 3;
/** Number of crashes from which the entries are told of a part, so that answers can clear it before it is blamed. */
export const publishedCrashCount = 2;

/**
 * Returns the part of a prompt that is to blame for crashes, if any. A prompt that contains only some of the parts that always crashed
 * together is not held back: either it is answered, which clears them, or it shows that they crash by themselves.
 */
export function findBlamedPart(partIds: readonly string[], suspects: CrashesByPart): string | undefined {
    const accused = partIds.filter(partId => countCrashes(suspects.get(partId) ?? []) >= blameCrashCount);
    if (accused.length === 0) return undefined;
    const absent = [...suspects].filter(([partId, crashes]) => !partIds.includes(partId) && countCrashes(crashes) >= publishedCrashCount);
    const explanations = absent.map(([, crashes]) => new Set(crashes.map(crash => crash.crashId)));
    return accused.find(partId => !explanations.some(explained => isExplained(suspects.get(partId)!, explained)));
}

// One other part has to explain the crashes: many together explain those of any part, when servers that run many prompts crash often.
function isExplained(crashes: readonly PartCrash[], explained: ReadonlySet<string>): boolean {
    return countCrashes(crashes.filter(crash => !explained.has(crash.crashId))) < blameCrashCount;
}

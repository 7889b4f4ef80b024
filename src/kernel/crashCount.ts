/** Counts the crashes of backend servers that point to one cause. Control and entries share it, so that they agree. */

/** A crash of a backend server while it ran a request. */
export interface CountedCrash {
    readonly failureDomain: string;
    /** Time of the crash, by the clock of the process that counts. */
    readonly atMs: number;
    /** True if the request ran alone on the backend server. */
    readonly isSolo: boolean;
}

/** Number of crashes, as `countCrashes` counts them, after which a request is quarantined. */
export const quarantineCrashCount = 2;
/** Crashes in one failure domain within this time may have one cause outside the request, such as a power failure. */
const simultaneousCrashesMs = 1_000;

/** Counts the crashes. Those in one failure domain at about the same time count once, unless the request ran alone. */
export function countCrashes(crashes: readonly CountedCrash[]): number {
    const lastCountedMs = new Map<string, number>();
    let count = 0;
    for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
        const lastMs = lastCountedMs.get(crash.failureDomain) ?? -Infinity;
        if (!crash.isSolo && crash.atMs < lastMs + simultaneousCrashesMs) continue;
        lastCountedMs.set(crash.failureDomain, crash.atMs);
        count++;
    }
    return count;
}

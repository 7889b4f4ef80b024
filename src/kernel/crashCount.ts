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
const simultaneousInDomainMs = 1_000;
/** The same for crashes in several failure domains, which only a failure of the whole pool brings about. */
const simultaneousMs = 200;

/** Counts the crashes. Those at about the same time count once, unless the request ran alone. */
export function countCrashes(crashes: readonly CountedCrash[]): number {
    const lastInDomainMs = new Map<string, number>();
    let lastMs = -Infinity;
    let count = 0;
    for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
        const isSimultaneous = crash.atMs < lastMs + simultaneousMs ||
            crash.atMs < (lastInDomainMs.get(crash.failureDomain) ?? -Infinity) + simultaneousInDomainMs;
        if (isSimultaneous && !crash.isSolo) continue;
        lastMs = crash.atMs;
        lastInDomainMs.set(crash.failureDomain, crash.atMs);
        count++;
    }
    return count;
}

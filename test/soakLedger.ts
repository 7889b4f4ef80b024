/** Compares what each server ran with what each caller was told. */
import { mayRepeat, routeShapes } from "./soakTypes.js";
import type { Run, SentAttempt, Told } from "./soakTypes.js";

/** A promise of the fleet that was broken. */
export interface Violation {
    readonly rule: "refusedRan" | "ranTwice" | "twoServersAtOnce" | "wrongAnswer" | "brokenOrder";
    readonly attemptId: string;
    readonly detail: string;
}

/** Collects runs and answers, and checks them. */
export interface Ledger {
    send(attempt: SentAttempt): void;
    begin(run: Omit<Run, "endedAtMs">): Run;
    tell(told: Told): void;
    /** Records a time span in which the connection between the fleet and a server, or the process of an entry, was disturbed. */
    disturb(name: string, fromMs: number, untilMs: number): void;
    check(): readonly Violation[];
    count(): { readonly told: number; readonly runs: number; readonly byStatus: Readonly<Record<string, number>>; };
}

const promiseStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A stream may run at two servers for this time while it moves from one to the other. */
const overlapMs = 400;
/** Time after a disturbance within which a process cannot be expected to act. */
const contactMs = 3_000;

interface Disturbance {
    readonly name: string;
    readonly fromMs: number;
    readonly untilMs: number;
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
    const runs: Run[] = [];
    const answers: Told[] = [];
    const disturbances: Disturbance[] = [];
    const sent = new Map<string, SentAttempt>();
    return {
        send: attempt => void sent.set(attempt.attemptId, attempt),
        begin(start) {
            const run: Run = { ...start, endedAtMs: undefined };
            runs.push(run);
            return run;
        },
        tell: told => void answers.push(told),
        disturb: (name, fromMs, untilMs) => void disturbances.push({ name, fromMs, untilMs }),
        check: () => [
            ...findRefusedRuns(),
            ...findSecondRuns(),
            ...findOverlaps(),
            ...findMixedVersions(),
            ...answers.flatMap(findWrongAnswer),
        ],
        count() {
            const byStatus: Record<string, number> = {};
            for (const { status } of answers) byStatus[status ?? "none"] = (byStatus[status ?? "none"] ?? 0) + 1;
            return { told: answers.length, runs: runs.length, byStatus };
        },
    };

    function findRefusedRuns(): Violation[] {
        const runsById = groupBy(runs, run => run.attemptId);
        return answers.filter(told => told.status !== undefined && promiseStatuses.has(told.status) && !mayRepeat(told.kind)).flatMap(
            told =>
                (runsById.get(told.attemptId) ?? []).map(run => ({
                    rule: "refusedRan" as const,
                    attemptId: told.attemptId,
                    detail:
                        `${told.kind} at ${told.entry}: ${told.status}, ran at ${run.server} (${run.answer}) from ${run.startedAtMs}; sent at ${told.sentAtMs}, told at ${told.endedAtMs}`,
                })),
        );
    }

    function findSecondRuns(): Violation[] {
        return [...groupBy(runs, run => run.attemptId)].flatMap(([attemptId, all]) => {
            const attempt = sent.get(attemptId);
            if (attempt === undefined || mayRepeat(attempt.kind) || all.length < 2) return [];
            const detail = all.map(run => `${run.server} (${run.answer}) from ${run.startedAtMs}`).join(", ");
            return [{ rule: "ranTwice" as const, attemptId, detail: `${attempt.kind} at ${attempt.entry}: ${detail}` }];
        });
    }

    function findOverlaps(): Violation[] {
        return [...groupBy(runs, run => run.streamId)].flatMap(([, all]) =>
            all.flatMap(earlier =>
                all.filter(later => isOverlap(earlier, later)).map(later => ({
                    rule: "twoServersAtOnce" as const,
                    attemptId: later.attemptId,
                    detail: `${describe(earlier)} until ${earlier.endedAtMs}, ${describe(later)} until ${later.endedAtMs}`,
                }))
            )
        );
    }

    function describe({ server, answer, attemptId, startedAtMs }: Run): string {
        return `${server} (${answer}) worked on ${attemptId} of ${sent.get(attemptId)?.entry} from ${startedAtMs}`;
    }

    /** A caller puts a stream together from the events of several attempts. */
    function findMixedVersions(): Violation[] {
        const streams = groupBy(answers.filter(told => routeShapes[told.kind].isResumable && told.isSealed), told => told.streamId);
        return [...streams].flatMap(([, all]) => {
            const versions = new Set(all.flatMap(told => getVersions(told.body)));
            const detail = all.map(told => `${told.attemptId} at ${told.entry}: ${getVersions(told.body).join(" ")}`).join(", ");
            return versions.size < 2 ? [] : [{ rule: "brokenOrder" as const, attemptId: all[0]!.attemptId, detail }];
        });
    }

    // The run of an earlier attempt may reach its server after that of a later one, and has to end soon all the same.
    function isOverlap(earlier: Run, later: Run): boolean {
        const earlierAttempt = sent.get(earlier.attemptId);
        const laterAttempt = sent.get(later.attemptId);
        if (earlier.server === later.server || earlierAttempt === undefined || laterAttempt === undefined) return false;
        if (routeShapes[earlierAttempt.kind].events === 0) return false;
        const isEarlier = earlierAttempt === laterAttempt
            ? earlier.startedAtMs < later.startedAtMs
            : earlierAttempt.sentAtMs < laterAttempt.sentAtMs;
        const bothSinceMs = Math.max(earlier.startedAtMs, later.startedAtMs);
        if (!isEarlier || (earlier.endedAtMs ?? Infinity) <= bothSinceMs + overlapMs) return false;
        const names = [earlier.server, later.server, earlierAttempt.entry];
        return !disturbances.some(({ name, fromMs, untilMs }) =>
            names.includes(name) && fromMs <= bothSinceMs + overlapMs && bothSinceMs <= untilMs + contactMs
        );
    }

    function findWrongAnswer(told: Told): Violation[] {
        const { status, attemptId } = told;
        if (status === undefined || status < 200 || status >= 300 || !told.isComplete) return [];
        if (!told.isSealed) return [{ rule: "wrongAnswer", attemptId, detail: `${status} without a seal` }];
        if (routeShapes[told.kind].events > 0) return findWrongEvents(told);
        if (told.body === `done ${attemptId}`) return [];
        return [{ rule: "wrongAnswer", attemptId, detail: `${status} with ${JSON.stringify(told.body)}` }];
    }

    function findWrongEvents({ attemptId, kind, body }: Told): Violation[] {
        const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
        const isWhole = ids.length > 0 && ids.at(-1) === routeShapes[kind].events && ids.every((id, index) => id === ids[0]! + index);
        if (!isWhole) return [{ rule: "brokenOrder", attemptId, detail: `complete with the events ${ids.join(" ")}` }];
        const versions = getVersions(body);
        return versions.length === 1 ? [] : [{ rule: "brokenOrder", attemptId, detail: `events of ${versions.join(" and ")}` }];
    }
}

/** Returns the software versions that have written the whole events of an answer. */
function getVersions(body: string): readonly string[] {
    return [...new Set([...body.matchAll(/^id: \d+\ndata: (\S+)\n\n/gm)].map(match => match[1]!))];
}

function groupBy<T>(items: readonly T[], getKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
    const groups = new Map<string, T[]>();
    for (const item of items) groups.set(getKey(item), [...groups.get(getKey(item)) ?? [], item]);
    return groups;
}

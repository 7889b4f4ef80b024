/** Counts what happens to requests that wait at a saturated entry, for metrics and for one log line a second at most. */
import type { Host } from "../../kernel/host.js";
import type { MetricReading } from "../../kernel/metrics.js";
import type { AccountDemand } from "./accountShares.js";

/** Why a request was refused. */
export type RefusalReason = "late" | "queueFull" | "disconnected" | "stopping";

/** Counts of one entry. */
export interface AdmissionCounts {
    recordAdmission(requestClass: RequestClass, waitedMs: number): void;
    recordRefusal(reason: RefusalReason, expectedWaitMs: number): void;
    readMetrics(waiting: readonly RequestClass[]): readonly MetricReading[];
}

/** What requests are counted by. */
export interface RequestClass {
    readonly rank: number;
    /** True if the requests of the account are ranked lower, because it sends more than its share. */
    readonly isOverShare: boolean;
}

/** State of the queue. */
export interface QueueFacts {
    readonly waiting: number;
    readonly waitingBytes: number;
    /** Mean time between two dispatches. */
    readonly meanGapMs: number;
    /** The account that sends most lately. */
    readonly largest: AccountDemand | undefined;
}

interface Sum {
    readonly labels: Readonly<Record<string, string>>;
    count: number;
    totalMs: number;
}

const logIntervalMs = 1_000;
/** All less urgent requests are counted together. */
const maxRankLabel = 9;
const msPerSecond = 1_000;

/** Creates counts at zero. */
export function createAdmissionCounts(host: Pick<Host, "clock" | "timers" | "createLogger">, readQueue: () => QueueFacts): AdmissionCounts {
    const log = host.createLogger("admission");
    const admitted = new Map<string, Sum>();
    const refused = new Map<string, Sum>();
    let sinceLine = { admitted: 0, refused: 0, longestWaitMs: 0 };
    let isLinePlanned = false;
    return {
        recordAdmission(requestClass, waitedMs) {
            add(admitted, createLabels(requestClass), waitedMs);
            const longestWaitMs = Math.max(sinceLine.longestWaitMs, waitedMs);
            sinceLine = { ...sinceLine, admitted: sinceLine.admitted + 1, longestWaitMs };
            planLine();
        },
        recordRefusal(reason, expectedWaitMs) {
            add(refused, { reason }, expectedWaitMs);
            sinceLine = { ...sinceLine, refused: sinceLine.refused + 1 };
            planLine();
        },
        readMetrics(waiting) {
            const waitingByClass = new Map<string, Sum>();
            for (const requestClass of waiting) add(waitingByClass, createLabels(requestClass), 0);
            const { waitingBytes } = readQueue();
            return [
                ...readSums(
                    waitingByClass,
                    "lovage_admission_waiting",
                    "requests that wait for admission, by rank and use of the account's share",
                ),
                { name: "lovage_admission_waiting_bytes", help: "bytes of the bodies of these requests", value: waitingBytes },
                ...readSums(
                    admitted,
                    "lovage_admission_admitted",
                    "requests admitted after a wait, by rank and use of the account's share",
                ),
                ...readWaits(admitted, "lovage_admission_wait_seconds", "sum of the waits of admitted requests"),
                ...readSums(refused, "lovage_admission_refused", "requests refused by admission"),
                ...readWaits(refused, "lovage_admission_refused_wait_seconds", "sum of the expected waits of refused requests"),
            ];
        },
    };

    function planLine(): void {
        if (isLinePlanned) return;
        isLinePlanned = true;
        host.timers.after(logIntervalMs, writeLine);
    }

    function writeLine(): void {
        isLinePlanned = false;
        const { waiting, waitingBytes, meanGapMs, largest } = readQueue();
        log.info("Requests waited for admission because the process is saturated.", {
            admitted: sinceLine.admitted,
            refused: sinceLine.refused,
            longestWaitMs: Math.round(sinceLine.longestWaitMs),
            waiting,
            waitingBytes,
            meanGapMs: Math.round(meanGapMs),
            largestAccount: largest?.account,
            largestShares: largest === undefined ? undefined : Number(largest.shares.toFixed(1)),
        });
        sinceLine = { admitted: 0, refused: 0, longestWaitMs: 0 };
    }
}

function createLabels({ rank, isOverShare }: RequestClass): Sum["labels"] {
    return { rank: String(Math.min(rank, maxRankLabel)), share: isOverShare ? "over" : "within" };
}

function add(sums: Map<string, Sum>, labels: Sum["labels"], durationMs: number): void {
    const key = Object.values(labels).join(" ");
    const sum = sums.get(key) ?? { labels, count: 0, totalMs: 0 };
    sums.set(key, sum);
    sum.count++;
    sum.totalMs += durationMs;
}

function readSums(sums: ReadonlyMap<string, Sum>, name: string, help: string): readonly MetricReading[] {
    return [...sums.values()].map(({ labels, count }) => ({ name, help, value: count, labels }));
}

function readWaits(sums: ReadonlyMap<string, Sum>, name: string, help: string): readonly MetricReading[] {
    return [...sums.values()].map(({ labels, totalMs }) => ({ name, help, value: totalMs / msPerSecond, labels }));
}

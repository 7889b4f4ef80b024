/** Request counters and latency histograms (HDR) of one entry. */
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import type { MessageCode } from "../kernel/diagnostics.js";
import type { ServiceClass } from "../kernel/types.js";

/** Collects the statistics of one entry. */
export interface EntryStatistics {
    recordRequest(): void;
    recordDispatch(): void;
    recordRetry(): void;
    recordRefusal(code: MessageCode): void;
    /** Records a caller that left before its answer was complete. */
    recordAbandoned(): void;
    recordAnswer(serviceClass: ServiceClass, durationMs: number): void;
    recordCompletionTokens(clientAccount: string, completionTokens: number): void;
    /** Returns an answer length that most answers of the client account do not exceed. */
    getTypicalCompletionTokens(clientAccount: string): number;
    read(): EntryStatisticsSnapshot;
}

/** Current counters and histograms. */
export interface EntryStatisticsSnapshot {
    readonly requests: number;
    readonly dispatches: number;
    readonly retries: number;
    readonly refusals: Readonly<Record<string, number>>;
    readonly abandoned: number;
    readonly answered: Readonly<Record<ServiceClass, Histogram>>;
}

/** Weight of the latest answer in the moving average of an account's answer length. */
const completionLengthGain = 0.1;
/** Multiple of the mean answer length that most answers do not exceed. */
const typicalLengthFactor = 1.4;
const initialCompletionTokens = 32;
const maxAccounts = 20_000;
const microsecondsPerMs = 1_000;

/** Creates statistics with all counters at zero. Latencies are recorded in microseconds. */
export function createEntryStatistics(): EntryStatistics {
    const refusals: Record<string, number> = {};
    const answered = { interactive: createHistogram(), batch: createHistogram() };
    const meanCompletionTokens = new Map<string, number>();
    let requests = 0;
    let dispatches = 0;
    let retries = 0;
    let abandoned = 0;
    return {
        recordRequest: () => void requests++,
        recordDispatch: () => void dispatches++,
        recordRetry: () => void retries++,
        recordRefusal(code) {
            refusals[code] = (refusals[code] ?? 0) + 1;
        },
        recordAbandoned: () => void abandoned++,
        recordAnswer: (serviceClass, durationMs) => answered[serviceClass].recordValue(Math.round(durationMs * microsecondsPerMs)),
        recordCompletionTokens(clientAccount, completionTokens) {
            const mean = meanCompletionTokens.get(clientAccount) ?? initialCompletionTokens;
            meanCompletionTokens.delete(clientAccount);
            meanCompletionTokens.set(clientAccount, mean + (completionTokens - mean) * completionLengthGain);
            if (meanCompletionTokens.size > maxAccounts) meanCompletionTokens.delete(meanCompletionTokens.keys().next().value!);
        },
        getTypicalCompletionTokens: clientAccount =>
            Math.ceil((meanCompletionTokens.get(clientAccount) ?? initialCompletionTokens) * typicalLengthFactor),
        read: () => ({ requests, dispatches, retries, refusals, abandoned, answered }),
    };
}

function createHistogram(): Histogram {
    return build({ numberOfSignificantValueDigits: 2, lowestDiscernibleValue: 1, highestTrackableValue: 3_600_000_000, bitBucketSize: 32 });
}

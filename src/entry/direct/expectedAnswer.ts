/**
 * Predicts when the answer of a request starts and ends. The start is predicted as for its placement; the time after it from the length that
 * the caller expects, or from that of earlier answers, and from the measured time between two events of the backend server.
 */
import type { DeliveryResult } from "./delivery.js";
import type { LoadTracker } from "./loadTracker.js";
import { choosePlacement } from "./placement.js";
import type { ServerView } from "./serverView.js";
import { isResumption, isStream } from "./types.js";
import type { DirectCall } from "./types.js";

/** Expected times from the dispatch of a request. */
export interface ExpectedAnswer {
    readonly startMs: number;
    readonly endMs: number;
}

/** Predictions from the answers so far. */
export interface AnswerPredictor {
    /** Without a usable backend server all times are zero, because nothing is known of them. */
    predict(call: DirectCall, tokensPerEvent: number | undefined, nowMs: number): ExpectedAnswer;
    /** Expected number of events of the answer. Zero if it is no stream. */
    predictEvents(call: DirectCall, tokensPerEvent: number | undefined): number;
    /** Learns from an answer that ended now. */
    recordEnd(call: DirectCall, delivery: DeliveryResult, tokensPerEvent: number | undefined, nowMs: number): void;
    retainServers(names: ReadonlySet<string>): void;
}

/** Options of a predictor. */
export interface AnswerPredictorOptions {
    readonly servers: Pick<ServerView, "listPool">;
    readonly loads: Pick<LoadTracker, "get">;
}

/** Weight of a new answer in the mean values. */
const eventTimeGain = 0.1;
const lengthGain = 0.05;
/** Part of the maximum length that an answer has, until some have been seen. */
const initialLengthPart = 0.25;
/** An answer with fewer events says little about the time between two of them. */
const minEventsToMeasure = 4;

/** Creates a predictor that has seen no answer. */
export function createAnswerPredictor({ servers, loads }: AnswerPredictorOptions): AnswerPredictor {
    /** Mean time between two events in milliseconds, by backend server. */
    const eventTimesMs = new Map<string, number>();
    let meanLengthPart = initialLengthPart;
    return {
        predict(call, tokensPerEvent, nowMs) {
            const candidates = servers.listPool(call.pool).map(server => ({ server, tracked: loads.get(server.backendServer) }));
            const request = { promptTokens: call.head.generation?.promptTokens ?? 0, promptParts: call.head.promptParts };
            const placement = choosePlacement(request, candidates, nowMs, 0);
            const events = predictEvents(call, tokensPerEvent);
            if (placement === undefined) return { startMs: 0, endMs: 0 };
            const startMs = placement.expectedStartMs;
            const eventTimeMs = eventTimesMs.get(placement.server.backendServer) ?? 0;
            return { startMs, endMs: startMs + Math.max(0, events - 1) * eventTimeMs };
        },
        predictEvents,
        recordEnd(call, delivery, tokensPerEvent, nowMs) {
            const { answeredAtMs, deliveredEvents, placement, attempts } = delivery;
            if (delivery.verdict !== undefined || answeredAtMs === undefined || placement === undefined || attempts > 1) return;
            if (!isStream(call.route) || isResumption(call) || deliveredEvents < minEventsToMeasure) return;
            const name = placement.server.backendServer;
            const eventTimeMs = (nowMs - answeredAtMs) / (deliveredEvents - 1);
            const beforeMs = eventTimesMs.get(name) ?? eventTimeMs;
            eventTimesMs.set(name, beforeMs + (eventTimeMs - beforeMs) * eventTimeGain);
            const maxTokens = call.head.generation?.maxCompletionTokens ?? 0;
            if (maxTokens === 0 || tokensPerEvent === undefined) return;
            meanLengthPart += (Math.min(1, deliveredEvents * tokensPerEvent / maxTokens) - meanLengthPart) * lengthGain;
        },
        retainServers(names) {
            for (const name of eventTimesMs.keys()) {
                if (!names.has(name)) eventTimesMs.delete(name);
            }
        },
    };

    // How much of a stream its caller has already is not known, so a resumed one may end at once.
    function predictEvents(call: DirectCall, tokensPerEvent: number | undefined): number {
        const { generation, lengthHintTokens } = call.head;
        if (generation === undefined || tokensPerEvent === undefined || !isStream(call.route) || isResumption(call)) return 0;
        const { maxCompletionTokens } = generation;
        const tokens = Math.min(maxCompletionTokens, lengthHintTokens ?? maxCompletionTokens * meanLengthPart);
        return Math.ceil(tokens / tokensPerEvent);
    }
}

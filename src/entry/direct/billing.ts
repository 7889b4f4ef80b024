/** Computes the tokens that a generation reserves and is billed. */
import type { DeliveryResult } from "./delivery.js";
import type { GenerationSize } from "./types.js";

/** Tokens to reserve before a generation is dispatched: the prompt and the longest possible completion. */
export function getReservationTokens(generation: GenerationSize): number {
    return generation.promptTokens + generation.maxCompletionTokens;
}

/**
 * Tokens to bill: the prompt once, plus the completion, estimated from the number of delivered events. Nothing is billed when no
 * backend server started to answer. When the tokens per event are unknown, a single event bills the longest completion.
 */
export function getBilledTokens(
    generation: GenerationSize | undefined,
    delivery: Pick<DeliveryResult, "hasAnswered" | "deliveredEvents">,
    tokensPerEvent: number | undefined,
): number {
    if (generation === undefined || !delivery.hasAnswered) return 0;
    const { promptTokens, maxCompletionTokens } = generation;
    const completionTokens = delivery.deliveredEvents * (tokensPerEvent ?? maxCompletionTokens);
    return promptTokens + Math.min(maxCompletionTokens, completionTokens);
}

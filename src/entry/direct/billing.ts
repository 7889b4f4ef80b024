/** What a generation costs its client account. */
import type { Delivery } from "./delivery.js";
import type { GenerationSize } from "./types.js";

/** Tokens that are reserved before a generation is dispatched: its prompt and its longest completion. */
export function getReservationTokens(generation: GenerationSize): number {
    return generation.promptTokens + generation.maxCompletionTokens;
}

/**
 * Tokens that are billed: the prompt once, and the completion by the events that were delivered. Nothing where no backend server
 * began to answer, and the longest completion where it is not known how much an event holds.
 */
export function getBilledTokens(
    generation: GenerationSize | undefined,
    delivery: Pick<Delivery, "hasAnswered" | "deliveredEvents">,
    tokensPerEvent: number | undefined,
): number {
    if (generation === undefined || !delivery.hasAnswered) return 0;
    const { promptTokens, maxCompletionTokens } = generation;
    const completionTokens = delivery.deliveredEvents * (tokensPerEvent ?? maxCompletionTokens);
    return promptTokens + Math.min(maxCompletionTokens, completionTokens);
}

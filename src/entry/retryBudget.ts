/** A budget for retries: a share of the requests, so that retries never multiply an overload. */

/** Retries that may still be made. */
export interface RetryBudget {
    noteRequest(): void;
    /** Takes one retry. False when the budget is spent. */
    tryTake(): boolean;
}

const retriesPerRequest = 0.1;
const maxSaved = 10;
const initialSaved = 3;

/** Creates a budget with a few retries saved. */
export function createRetryBudget(): RetryBudget {
    let saved = initialSaved;
    return {
        noteRequest() {
            saved = Math.min(maxSaved, saved + retriesPerRequest);
        },
        tryTake() {
            if (saved < 1) return false;
            saved -= 1;
            return true;
        },
    };
}

/** A budget for retries: a share of the requests, so that retries never multiply an overload. */

/** Retries that may still be made. */
export interface RetryBudget {
    noteRequest(): void;
    /** Takes one retry. False when the budget is spent. */
    tryTake(): boolean;
}

const retriesPerRequest = 0.1;
const maxBalance = 10;
const initialBalance = 3;

/** Creates a budget with a few retries saved. */
export function createRetryBudget(): RetryBudget {
    let balance = initialBalance;
    return {
        noteRequest() {
            balance = Math.min(maxBalance, balance + retriesPerRequest);
        },
        tryTake() {
            if (balance < 1) return false;
            balance -= 1;
            return true;
        },
    };
}

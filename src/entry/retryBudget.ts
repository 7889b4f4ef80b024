/** Limits retries to a fraction of the requests, so that retries do not amplify an overload. */

/** Balance of retries that are still allowed. */
export interface RetryBudget {
    recordRequest(): void;
    /** Takes one retry from the balance. Returns false if less than one is left. */
    tryAcquire(): boolean;
}

const retriesPerRequest = 0.1;
const maxBalance = 10;
const initialBalance = 3;

/** Creates a budget with a small initial balance. */
export function createRetryBudget(): RetryBudget {
    let balance = initialBalance;
    return {
        recordRequest() {
            balance = Math.min(maxBalance, balance + retriesPerRequest);
        },
        tryAcquire() {
            if (balance < 1) return false;
            balance -= 1;
            return true;
        },
    };
}

/** Rate and concurrency limits of client accounts at one entry. The rate limit is a token bucket. */
import type { PolicyObject } from "../kernel/objects.js";

/** Result of checking the limits for a request. */
export type LimitDecision =
    | { readonly kind: "admitted"; }
    | { readonly kind: "rateLimited"; readonly retryAfterMs: number; }
    | { readonly kind: "concurrencyLimited"; };

/** Limits of all client accounts. */
export interface AccountLimits {
    /** Checks the limits. An admitted request counts as running until it is released. */
    tryAcquire(clientAccount: string, policy: PolicyObject, nowMs: number): LimitDecision;
    release(clientAccount: string): void;
}

interface AccountState {
    /** Requests that the token bucket admits now. */
    tokens: number;
    refilledAtMs: number;
    runningRequests: number;
}

const secondMs = 1_000;
const maxAccounts = 20_000;

/** Creates the limits. Each entry enforces its share: the account's rate and concurrency divided by the number of entries. */
export function createAccountLimits(getEntryCount: () => number): AccountLimits {
    const accounts = new Map<string, AccountState>();
    return {
        tryAcquire(clientAccount, policy, nowMs) {
            const state = getState(clientAccount, policy, nowMs);
            refill(state, policy, nowMs);
            if (state.runningRequests >= Math.ceil(policy.maxConcurrentRequests / getEntryCount())) return { kind: "concurrencyLimited" };
            if (state.tokens < 1) {
                return { kind: "rateLimited", retryAfterMs: (1 - state.tokens) * secondMs / (policy.requestsPerSecond / getEntryCount()) };
            }
            state.tokens -= 1;
            state.runningRequests += 1;
            return { kind: "admitted" };
        },
        release(clientAccount) {
            const state = accounts.get(clientAccount);
            if (state === undefined) return;
            state.runningRequests -= 1;
            if (state.runningRequests === 0 && accounts.size > maxAccounts) accounts.delete(clientAccount);
        },
    };

    function getState(clientAccount: string, policy: PolicyObject, nowMs: number): AccountState {
        const existing = accounts.get(clientAccount);
        if (existing !== undefined) return existing;
        const created: AccountState = { tokens: policy.burstRequests, refilledAtMs: nowMs, runningRequests: 0 };
        accounts.set(clientAccount, created);
        return created;
    }

    function refill(state: AccountState, policy: PolicyObject, nowMs: number): void {
        const added = (nowMs - state.refilledAtMs) * policy.requestsPerSecond / getEntryCount() / secondMs;
        state.tokens = Math.min(policy.burstRequests, state.tokens + added);
        state.refilledAtMs = nowMs;
    }
}

/** Stages that apply the client account's limits and then admit the request through the fair queue. */
import { assertNever, checkDefined } from "../../kernel/debug.js";
import type { Clock } from "../../kernel/host.js";
import { refuse } from "../../kernel/verdict.js";
import type { FairQueue } from "../fairQueue.js";
import type { AccountLimits } from "../rateLimit.js";
import type { Stage } from "../types.js";

const concurrencyRetryAfterMs = 1_000;

/** Creates the stage that enforces the client account's rate and concurrency limits. */
export function createLimitsStage(clock: Clock, limits: AccountLimits): Stage {
    return {
        name: "limits",
        async run(exchange, next) {
            const account = checkDefined(exchange.clientAccount, "the request is authenticated");
            const policy = checkDefined(exchange.policy, "the account has a policy");
            const decision = limits.tryAcquire(account.name, policy, clock.nowMs());
            switch (decision.kind) {
                case "rateLimited":
                    return refuse("accountRateLimited", undefined, decision.retryAfterMs);
                case "concurrencyLimited":
                    return refuse("accountConcurrencyLimited", undefined, concurrencyRetryAfterMs);
                case "admitted":
                    break;
                default:
                    assertNever(decision);
            }
            try {
                await next();
            }
            finally {
                limits.release(account.name);
            }
        },
    };
}

/** Creates the stage that waits until the fair queue admits the request. */
export function createQueueStage(clock: Clock, queue: FairQueue): Stage {
    return {
        name: "queue",
        async run(exchange, next) {
            const parsed = checkDefined(exchange.parsed, "the request is parsed");
            await queue.enter({
                pool: parsed.pool,
                clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name,
                weight: checkDefined(exchange.policy, "the account has a policy").weight,
                serviceClass: parsed.serviceClass,
                costTokens: parsed.promptTokensBound + parsed.maxCompletionTokens + 1,
                deadlineMs: exchange.deadlineMs,
                signal: exchange.request.signal,
            });
            const admittedAtMs = clock.nowMs();
            try {
                await next();
                queue.recordServiceTime(parsed.pool, parsed.serviceClass, clock.nowMs() - admittedAtMs);
            }
            finally {
                queue.notify();
            }
        },
    };
}

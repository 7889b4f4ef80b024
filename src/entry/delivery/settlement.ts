/**
 * Settlement of attempts. A request with an idempotency key is billed through its claim, so that only one of two finished attempts
 * is billed. A settlement that control or an agent cannot confirm yet stays pending and keeps its tokens reserved.
 */
import type { CancelBilling, CancelReply } from "../../kernel/contracts.js";
import { sleep, withTimeout } from "../../kernel/tasks.js";
import { getBilledTokens } from "../../kernel/types.js";
import type { TokenUsage } from "../../kernel/types.js";
import { followAttempt } from "../attemptStream.js";
import type { AttemptLocation } from "../attemptStream.js";
import type { Attempt, DeliveryContext } from "./types.js";

/** Maximum time that the last chunk of an answer is delayed until the bill is durable. */
const settleWaitMs = 300;
const finishTimeoutMs = 3_000;
const cancelTimeoutMs = 1_000;
const maxUnreachableMs = 10_000;
const retryMs = 1_000;
/** Time without a final reply from the agent after which an abandoned attempt is settled as unbilled. */
const agentGoneMs = 600_000;

/** Bills a finished attempt. If it has a claim, resolves when control has made the bill durable, or after `settleWaitMs`. */
export async function settleFinished(delivery: DeliveryContext, attempt: Attempt, usage: TokenUsage): Promise<void> {
    const billedTokens = Math.min(getBilledTokens(usage), attempt.reservation?.reservedTokens ?? 0);
    if (attempt.claim === undefined) {
        attempt.reservation?.settle(attempt.location.incarnation, billedTokens);
        return;
    }
    const claimFinished = finishClaim(delivery, attempt, billedTokens);
    delivery.background.run(() => claimFinished);
    await withTimeout(delivery.host.timers, claimFinished, settleWaitMs, "settlement").catch(() => undefined);
}

// Retries until control has decided whether this attempt is the one to bill.
async function finishClaim(delivery: DeliveryContext, attempt: Attempt, billedTokens: number): Promise<void> {
    const { claim, location } = attempt;
    const operationId = delivery.host.random.nextId();
    for (;;) {
        const input = { clientAccount: claim!.clientAccount, key: claim!.key, requestId: location.requestId, billedTokens };
        const outcome = await delivery.control.submit("claims.finish", input, { timeoutMs: finishTimeoutMs, operationId });
        if (outcome.kind === "done") {
            attempt.reservation?.settle(location.incarnation, outcome.result.isBilled ? billedTokens : 0);
            if (attempt.reservation !== undefined) delivery.leases.forceRenewal();
            return;
        }
        await sleep(delivery.host.timers, retryMs);
    }
}

/** Settles the reservation of an attempt that certainly did not run, and releases its claim so that the request can be retried. */
export function settleNotRun(delivery: DeliveryContext, attempt: Attempt): void {
    attempt.reservation?.settle(attempt.location.incarnation, 0);
    if (attempt.claim !== undefined) delivery.background.run(() => releaseClaim(delivery, attempt));
}

/** Releases the claim of an attempt that certainly did not run. Resolves once control has confirmed it or all tries have failed. */
export async function releaseClaim(delivery: DeliveryContext, attempt: Attempt): Promise<void> {
    const { claim, location } = attempt;
    if (claim === undefined) return;
    for (let tries = 0; tries < maxReleaseTries; tries++) {
        const input = { clientAccount: claim.clientAccount, key: claim.key, requestId: location.requestId };
        const outcome = await delivery.control.submit("claims.release", input, { timeoutMs: finishTimeoutMs });
        if (outcome.kind === "done") return;
        await sleep(delivery.host.timers, retryMs);
    }
}

const maxReleaseTries = 600;

/** Asks an agent to stop an attempt. Resolves to undefined when the agent is unreachable. */
export async function cancelAttempt(
    delivery: DeliveryContext,
    location: AttemptLocation,
    bill: CancelBilling,
): Promise<CancelReply | undefined> {
    const call = delivery.agents.get(location.address).cancel.mutate({
        requestId: location.requestId,
        incarnation: location.incarnation,
        bill,
    });
    return withTimeout(delivery.host.timers, call as Promise<CancelReply>, cancelTimeoutMs, "cancel").catch(() => undefined);
}

/**
 * Settles an attempt whose frames are no longer read, once its agent has reported the outcome. Until then the tokens stay reserved,
 * because the attempt may still run.
 */
export async function settleAbandoned(delivery: DeliveryContext, attempt: Attempt, bill: CancelBilling): Promise<void> {
    const startMs = delivery.host.clock.nowMs();
    for (;;) {
        const reply = await cancelAttempt(delivery, attempt.location, bill);
        if (reply !== undefined && reply.state !== "running") {
            return billAbandoned(delivery, attempt, getAbandonedTokens(attempt, reply, bill));
        }
        const isServerReplaced = delivery.router.isReplaced(attempt.backendServer, attempt.location.incarnation);
        const isAgentGone = delivery.host.clock.nowMs() - startMs > agentGoneMs;
        if (isAgentGone || (isServerReplaced && delivery.host.clock.nowMs() - startMs > cancelTimeoutMs)) {
            attempt.reservation?.settle(attempt.location.incarnation, 0);
            return;
        }
        await sleep(delivery.host.timers, retryMs);
    }
}

/** Reads an attempt with an idempotency key to its end after the caller has disconnected, because a retry will ask for all of it. */
export async function settleAfterCallerDisconnect(delivery: DeliveryContext, attempt: Attempt): Promise<void> {
    const { signal } = new AbortController();
    try {
        for await (const frame of followAttempt(delivery.host, attempt.location, { signal, maxUnreachableMs })) {
            if (frame.kind === "end") return await settleFinished(delivery, attempt, frame);
            if (frame.kind === "failed") return attempt.reservation?.settle(attempt.location.incarnation, 0);
        }
    }
    catch {
        await settleAbandoned(delivery, attempt, "finished");
    }
}

function getAbandonedTokens(attempt: Attempt, reply: CancelReply, bill: CancelBilling): number {
    const isBilled = (reply.state === "finished" && bill !== "never") || (reply.state === "stopped" && bill === "generated");
    return isBilled ? Math.min(reply.billedTokens, attempt.reservation?.reservedTokens ?? 0) : 0;
}

async function billAbandoned(delivery: DeliveryContext, attempt: Attempt, billedTokens: number): Promise<void> {
    if (attempt.claim !== undefined && billedTokens > 0) return finishClaim(delivery, attempt, billedTokens);
    attempt.reservation?.settle(attempt.location.incarnation, billedTokens);
}

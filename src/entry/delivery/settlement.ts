/**
 * Settlement of attempts. A keyed request is billed through its claim, so that of two attempts that both
 * finish only one is. What control or an agent cannot confirm now is owed, and its reservation stays held.
 */
import type { CancelBilling, CancelReply } from "../../kernel/contracts.js";
import { sleep, withTimeout } from "../../kernel/tasks.js";
import { getBilledTokens } from "../../kernel/types.js";
import type { TokenUsage } from "../../kernel/types.js";
import { followAttempt } from "../attemptStream.js";
import type { AttemptPlace } from "../attemptStream.js";
import type { Attempt, DeliveryHost } from "./types.js";

/** Time that the last piece of an answer waits for its bill to be durable. */
const settleWaitMs = 300;
const finishTimeoutMs = 3_000;
const cancelTimeoutMs = 1_000;
const maxUnattendedMs = 10_000;
const retryMs = 1_000;
/** Silence after which an agent that nobody hears of counts as gone. */
const agentGoneMs = 600_000;

/** Bills a finished attempt. Resolves when the bill is durable, or when the caller has waited long enough. */
export async function settleFinished(delivery: DeliveryHost, attempt: Attempt, usage: TokenUsage): Promise<void> {
    const billedTokens = Math.min(getBilledTokens(usage), attempt.reservation?.reservedTokens ?? 0);
    if (attempt.claim === undefined) {
        attempt.reservation?.settle(attempt.place.incarnation, billedTokens);
        return;
    }
    const finishing = finishClaim(delivery, attempt, billedTokens);
    delivery.background.run(() => finishing);
    await withTimeout(delivery.host.timers, finishing, settleWaitMs, "settlement").catch(() => undefined);
}

// Goes on until control has said whether this attempt is the one that is billed.
async function finishClaim(delivery: DeliveryHost, attempt: Attempt, billedTokens: number): Promise<void> {
    const { claim, place } = attempt;
    const operationId = delivery.host.random.nextId();
    for (;;) {
        const input = { clientAccount: claim!.clientAccount, key: claim!.key, requestId: place.requestId, billedTokens };
        const outcome = await delivery.control.submit("claims.finish", input, { timeoutMs: finishTimeoutMs, operationId });
        if (outcome.kind === "done") {
            attempt.reservation?.settle(place.incarnation, outcome.result.isBilled ? billedTokens : 0);
            if (attempt.reservation !== undefined) delivery.leases.forceRenewal();
            return;
        }
        await sleep(delivery.host.timers, retryMs);
    }
}

/** Ends a reservation of an attempt that certainly did not run, and frees its claim for a retry. */
export function settleNotRun(delivery: DeliveryHost, attempt: Attempt): void {
    attempt.reservation?.settle(attempt.place.incarnation, 0);
    if (attempt.claim !== undefined) delivery.background.run(() => releaseClaim(delivery, attempt));
}

/** Frees the claim of an attempt that certainly did not run. Resolves once control has it. */
export async function releaseClaim(delivery: DeliveryHost, attempt: Attempt): Promise<void> {
    const { claim, place } = attempt;
    if (claim === undefined) return;
    for (let tries = 0; tries < maxReleaseTries; tries++) {
        const input = { clientAccount: claim.clientAccount, key: claim.key, requestId: place.requestId };
        const outcome = await delivery.control.submit("claims.release", input, { timeoutMs: finishTimeoutMs });
        if (outcome.kind === "done") return;
        await sleep(delivery.host.timers, retryMs);
    }
}

const maxReleaseTries = 600;

/** Asks an agent to stop an attempt. Undefined when it cannot be reached. */
export async function cancelAttempt(delivery: DeliveryHost, place: AttemptPlace, bill: CancelBilling): Promise<CancelReply | undefined> {
    const call = delivery.agents.get(place.address).cancel.mutate({ requestId: place.requestId, bill });
    return withTimeout(delivery.host.timers, call as Promise<CancelReply>, cancelTimeoutMs, "cancel").catch(() => undefined);
}

/**
 * Settles an attempt that nobody follows any more, once its agent has said what it came to. Until then the
 * reservation stays held, because the attempt may still run.
 */
export async function settleAbandoned(delivery: DeliveryHost, attempt: Attempt, bill: CancelBilling): Promise<void> {
    const sinceMs = delivery.host.clock.nowMs();
    for (;;) {
        const reply = await cancelAttempt(delivery, attempt.place, bill);
        if (reply !== undefined && reply.state !== "running") {
            return billAbandoned(delivery, attempt, getAbandonedTokens(attempt, reply, bill));
        }
        const isReplaced = delivery.router.isReplaced(attempt.backendServer, attempt.place.incarnation);
        const isGone = delivery.host.clock.nowMs() - sinceMs > agentGoneMs;
        if (isGone || (isReplaced && delivery.host.clock.nowMs() - sinceMs > cancelTimeoutMs)) {
            attempt.reservation?.settle(attempt.place.incarnation, 0);
            return;
        }
        await sleep(delivery.host.timers, retryMs);
    }
}

/** Follows a keyed attempt whose caller has gone to its end, because a retry will want the whole answer. */
export async function settleUnattended(delivery: DeliveryHost, attempt: Attempt): Promise<void> {
    const { signal } = new AbortController();
    try {
        for await (const frame of followAttempt(delivery.host, attempt.place, { signal, maxUnreachableMs: maxUnattendedMs })) {
            if (frame.kind === "end") return await settleFinished(delivery, attempt, frame);
            if (frame.kind === "failed") return attempt.reservation?.settle(attempt.place.incarnation, 0);
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

async function billAbandoned(delivery: DeliveryHost, attempt: Attempt, billedTokens: number): Promise<void> {
    if (attempt.claim !== undefined && billedTokens > 0) return finishClaim(delivery, attempt, billedTokens);
    attempt.reservation?.settle(attempt.place.incarnation, billedTokens);
}

/** Opens claims on idempotency keys, and delivers the answer of the attempt that already holds a claim. */
import { checkDefined } from "../../kernel/debug.js";
import type { Claim, ClaimOpening } from "../../kernel/messages.js";
import { withTimeout } from "../../kernel/tasks.js";
import { createVerdict, refuse } from "../../kernel/verdict.js";
import type { AnswerWriter } from "../answers.js";
import { AnswerLostError, followAttempt } from "../attemptStream.js";
import type { AttemptLocation } from "../attemptStream.js";
import type { Exchange } from "../types.js";
import { cancelAttempt } from "./settlement.js";
import type { AttemptResult, DeliveryContext } from "./types.js";

/** Result of opening a claim. `unreachable` when control did not reply in time. */
export type OpenClaimResult = ClaimOpening | { readonly kind: "unreachable"; };

/** Time that an idempotent request with a key waits for its claim before it runs without waiting further. */
const claimWaitMs = 250;
const claimTimeoutMs = 5_000;
const maxAttachUnreachableMs = 2_000;
const unknownRequestRetries = 3;

/**
 * Opens the claim of an attempt whose request has an idempotency key. An idempotent request waits only briefly, so that it can run
 * while control is unreachable; the claim is then opened in the background.
 */
export async function openClaim(
    delivery: DeliveryContext,
    exchange: Exchange,
    location: AttemptLocation,
    replacesRequestId?: string,
): Promise<OpenClaimResult> {
    const parsed = checkDefined(exchange.parsed, "the request is parsed");
    const remainingMs = exchange.deadlineMs - delivery.host.clock.nowMs();
    const opening = submitClaim(delivery, exchange, location, Math.min(claimTimeoutMs, Math.max(1, remainingMs)), replacesRequestId);
    if (!parsed.isIdempotent) return opening;
    delivery.background.run(async () => void await opening);
    return withTimeout(delivery.host.timers, opening, claimWaitMs, "claim").catch(() => ({ kind: "unreachable" }));
}

async function submitClaim(
    delivery: DeliveryContext,
    exchange: Exchange,
    location: AttemptLocation,
    timeoutMs: number,
    replacesRequestId: string | undefined,
): Promise<OpenClaimResult> {
    const parsed = checkDefined(exchange.parsed, "the request is parsed");
    const outcome = await delivery.control.submit("claims.open", {
        clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name,
        key: checkDefined(parsed.idempotencyKey, "the request has a key"),
        bodyDigest: parsed.bodyDigest,
        requestId: location.requestId,
        incarnation: location.incarnation,
        address: location.address,
        isIdempotent: parsed.isIdempotent,
        replacesRequestId,
    }, { timeoutMs });
    return outcome.kind === "done" ? outcome.result : { kind: "unreachable" };
}

/** Delivers the answer of the attempt that holds the claim, from the first frame. Nothing is billed for this. */
export async function attachToClaim(
    delivery: DeliveryContext,
    exchange: Exchange,
    writer: AnswerWriter,
    claim: Claim,
): Promise<AttemptResult> {
    const location: AttemptLocation = { address: claim.address, incarnation: claim.incarnation, requestId: claim.requestId };
    const deadline = new AbortController();
    const remainingMs = Math.max(1, exchange.deadlineMs - delivery.host.clock.nowMs());
    const cancelDeadline = delivery.host.timers.after(remainingMs, () => deadline.abort());
    const signal = AbortSignal.any([deadline.signal, exchange.request.signal]);
    try {
        for await (
            const frame of followAttempt(delivery.host, location, {
                signal,
                maxUnreachableMs: maxAttachUnreachableMs,
                unknownRequestRetries,
            })
        ) {
            if (frame.kind === "head") writer.head(frame);
            else if (frame.kind === "chunk") await writer.chunk(frame.data);
            else if (frame.kind === "end") {
                await writer.finish(frame);
                return { kind: "delivered" };
            }
            else return await handleLoss(delivery, claim, writer, frame.verdict.code === "backendServerCrashed" ? "crashed" : "stopped");
        }
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "deadlineExceeded", "The answer did not come in time.") };
    }
    catch (error) {
        if (!(error instanceof AnswerLostError)) throw error;
        return await handleLoss(delivery, claim, writer, error.reason);
    }
    finally {
        cancelDeadline();
    }
}

type LossReason = AnswerLostError["reason"] | "crashed" | "stopped";

// Handles the loss of the answer of the attempt that holds the claim. An idempotent request is retried. Any other is retried only if
// that attempt certainly never ran.
async function handleLoss(
    delivery: DeliveryContext,
    claim: Claim,
    writer: AnswerWriter,
    reason: LossReason,
): Promise<AttemptResult> {
    const failure = claim.state === "finished"
        ? createVerdict("ran", "answerLost")
        : createVerdict("mayHaveRun", "outcomeUnknown", "An earlier request with this key may have run, and its answer cannot be had.");
    if (writer.hasStarted) return { kind: "failed", verdict: failure };
    if (claim.isIdempotent) return { kind: "again", verdict: failure, isSolo: reason === "crashed", replacesRequestId: claim.requestId };
    if (claim.state === "finished" || reason !== "unknownRequest" || !await confirmNeverRan(delivery, claim)) {
        return { kind: "failed", verdict: failure };
    }
    const { clientAccount, key, requestId } = claim;
    const released = await delivery.control.submit("claims.release", { clientAccount, key, requestId }, { timeoutMs: claimTimeoutMs });
    if (released.kind !== "done") refuse("controlUnavailable");
    return { kind: "again", verdict: createVerdict("notRun", "backendServerRefused"), isSolo: false };
}

// An agent that replies "unknown" also refuses the attempt if its dispatch arrives later.
async function confirmNeverRan(delivery: DeliveryContext, claim: Claim): Promise<boolean> {
    const location: AttemptLocation = { address: claim.address, incarnation: claim.incarnation, requestId: claim.requestId };
    const reply = await cancelAttempt(delivery, location, "finished");
    return reply?.state === "unknown";
}

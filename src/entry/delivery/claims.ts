/** Claims on idempotency keys, and attaching to the answer of an attempt that holds one. */
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

/** What opening a claim came to. */
export type OpenClaimResult = ClaimOpening | { readonly kind: "unreachable"; };

/** Time that a keyed idempotent request waits for its claim before it goes ahead beside it. */
const claimWaitMs = 250;
const claimTimeoutMs = 5_000;
const maxAttachUnreachableMs = 2_000;
const unknownRequestRetries = 3;

/** Opens the claim of a keyed request for an attempt. Idempotent work does not wait for a control that is cut off. */
export async function openClaim(
    delivery: DeliveryContext,
    exchange: Exchange,
    location: AttemptLocation,
    replacesRequestId?: string,
): Promise<OpenClaimResult> {
    const parsed = checkDefined(exchange.parsed, "the request is read");
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
    const parsed = checkDefined(exchange.parsed, "the request is read");
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

/** Delivers the answer of the attempt that holds the claim, from its beginning. It bills nothing. */
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
            else return await replaceLost(delivery, claim, writer, frame.verdict.code === "backendServerCrashed" ? "crashed" : "stopped");
        }
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "deadlineExceeded", "The answer did not come in time.") };
    }
    catch (error) {
        if (!(error instanceof AnswerLostError)) throw error;
        return await replaceLost(delivery, claim, writer, error.reason);
    }
    finally {
        cancelDeadline();
    }
}

type LossReason = AnswerLostError["reason"] | "crashed" | "stopped";

// The held attempt gives no answer. Idempotent work runs again; other work only when it certainly never ran.
async function replaceLost(
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

// The agent's answer is also a promise: an attempt that comes after it is refused.
async function confirmNeverRan(delivery: DeliveryContext, claim: Claim): Promise<boolean> {
    const location: AttemptLocation = { address: claim.address, incarnation: claim.incarnation, requestId: claim.requestId };
    const reply = await cancelAttempt(delivery, location, "finished");
    return reply?.state === "unknown";
}

/** Claims on idempotency keys, and attaching to the answer of an attempt that holds one. */
import { checkDefined } from "../../kernel/debug.js";
import type { Claim, ClaimOpening } from "../../kernel/messages.js";
import { withTimeout } from "../../kernel/tasks.js";
import { createVerdict, refuse } from "../../kernel/verdict.js";
import type { AnswerWriter } from "../answers.js";
import { AnswerLostError, followAttempt } from "../attemptStream.js";
import type { AttemptPlace } from "../attemptStream.js";
import type { Exchange } from "../types.js";
import { cancelAttempt } from "./settlement.js";
import type { AttemptResult, DeliveryHost } from "./types.js";

/** What opening a claim came to. */
export type OpenedClaim = ClaimOpening | { readonly kind: "unreachable"; };

/** Time that a keyed idempotent request waits for its claim before it goes ahead beside it. */
const claimWaitMs = 250;
const claimTimeoutMs = 5_000;
const attachUnreachableMs = 2_000;
const unknownRetries = 3;

/** Opens the claim of a keyed request for an attempt. Idempotent work does not wait for a control that is cut off. */
export async function openClaim(
    delivery: DeliveryHost,
    exchange: Exchange,
    place: AttemptPlace,
    replacesRequestId?: string,
): Promise<OpenedClaim> {
    const work = checkDefined(exchange.work, "the request is read");
    const remainingMs = exchange.deadlineMs - delivery.host.clock.nowMs();
    const opening = submitClaim(delivery, exchange, place, Math.min(claimTimeoutMs, Math.max(1, remainingMs)), replacesRequestId);
    if (!work.isIdempotent) return opening;
    delivery.background.run(async () => void await opening);
    return withTimeout(delivery.host.timers, opening, claimWaitMs, "claim").catch(() => ({ kind: "unreachable" }));
}

async function submitClaim(
    delivery: DeliveryHost,
    exchange: Exchange,
    place: AttemptPlace,
    timeoutMs: number,
    replacesRequestId: string | undefined,
): Promise<OpenedClaim> {
    const work = checkDefined(exchange.work, "the request is read");
    const outcome = await delivery.control.submit("claims.open", {
        clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name,
        key: checkDefined(work.idempotencyKey, "the request has a key"),
        bodyDigest: work.bodyDigest,
        requestId: place.requestId,
        incarnation: place.incarnation,
        address: place.address,
        isIdempotent: work.isIdempotent,
        replacesRequestId,
    }, { timeoutMs });
    return outcome.kind === "done" ? outcome.result : { kind: "unreachable" };
}

/** Delivers the answer of the attempt that holds the claim, from its beginning. It bills nothing. */
export async function attach(delivery: DeliveryHost, exchange: Exchange, writer: AnswerWriter, claim: Claim): Promise<AttemptResult> {
    const place: AttemptPlace = { address: claim.address, incarnation: claim.incarnation, requestId: claim.requestId };
    const deadline = new AbortController();
    const remainingMs = Math.max(1, exchange.deadlineMs - delivery.host.clock.nowMs());
    const cancelDeadline = delivery.host.timers.after(remainingMs, () => deadline.abort());
    const signal = AbortSignal.any([deadline.signal, exchange.request.signal]);
    try {
        for await (const frame of followAttempt(delivery.host, place, { signal, maxUnreachableMs: attachUnreachableMs, unknownRetries })) {
            if (frame.kind === "head") writer.head(frame);
            else if (frame.kind === "chunk") await writer.chunk(frame.data);
            else if (frame.kind === "end") {
                await writer.finish(frame);
                return { kind: "delivered" };
            }
            else return await replace(delivery, claim, writer, frame.verdict.code === "backendServerCrashed" ? "crashed" : "stopped");
        }
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "deadlineExceeded", "The answer did not come in time.") };
    }
    catch (error) {
        if (!(error instanceof AnswerLostError)) throw error;
        return await replace(delivery, claim, writer, error.reason);
    }
    finally {
        cancelDeadline();
    }
}

type LossReason = AnswerLostError["reason"] | "crashed" | "stopped";

// The held attempt gives no answer. Idempotent work runs again; other work only when it certainly never ran.
async function replace(delivery: DeliveryHost, claim: Claim, writer: AnswerWriter, reason: LossReason): Promise<AttemptResult> {
    const lost = claim.state === "finished"
        ? createVerdict("ran", "answerLost")
        : createVerdict("mayHaveRun", "outcomeUnknown", "An earlier request with this key may have run, and its answer cannot be had.");
    if (writer.hasStarted) return { kind: "failed", verdict: lost };
    if (claim.isIdempotent) return { kind: "again", verdict: lost, isSolo: reason === "crashed", replacesRequestId: claim.requestId };
    if (claim.state === "finished" || reason !== "unknownRequest" || !await hasNeverRun(delivery, claim)) {
        return { kind: "failed", verdict: lost };
    }
    const { clientAccount, key, requestId } = claim;
    const released = await delivery.control.submit("claims.release", { clientAccount, key, requestId }, { timeoutMs: claimTimeoutMs });
    if (released.kind !== "done") refuse("controlUnavailable");
    return { kind: "again", verdict: createVerdict("notRun", "backendServerRefused"), isSolo: false };
}

// The agent's answer is also a promise: an attempt that comes after it is refused.
async function hasNeverRun(delivery: DeliveryHost, claim: Claim): Promise<boolean> {
    const place: AttemptPlace = { address: claim.address, incarnation: claim.incarnation, requestId: claim.requestId };
    const reply = await cancelAttempt(delivery, place, "finished");
    return reply?.state === "unknown";
}

/** Runs one attempt: opens its claim, reserves tokens, dispatches it, forwards the answer and settles it. */
import type { CancelBilling } from "../../kernel/contracts.js";
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Dispatch, Frame } from "../../kernel/messages.js";
import { withTimeout } from "../../kernel/tasks.js";
import { createVerdict, refuse, VerdictError } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createBufferedWriter } from "../answers.js";
import type { AnswerWriter } from "../answers.js";
import { AnswerLostError, followAttempt, sendDispatch, UnexpectedFrameError } from "../attemptStream.js";
import type { AttemptLocation, SendDispatchResult } from "../attemptStream.js";
import type { Reservation } from "../budgets/leaseManager.js";
import type { AttemptTimes, Choice, RouteRequest } from "../routing/types.js";
import type { Exchange, ParsedRequest } from "../types.js";
import { attachToClaim, openClaim } from "./claims.js";
import { cancelAttempt, releaseClaim, settleAbandoned, settleAfterCallerDisconnect, settleFinished, settleNotRun } from "./settlement.js";
import { exonerateSuspect, reportCrash, showsSoundness } from "./suspects.js";
import type { Attempt, AttemptResult, DeliveryContext } from "./types.js";

/** Input of an attempt. */
export interface AttemptRequest {
    readonly exchange: Exchange;
    readonly writer: AnswerWriter;
    readonly choice: Choice;
    readonly routeRequest: RouteRequest;
    /** Index of the attempt within its request, from 0. */
    readonly attemptIndex: number;
    /** Identifier of the earlier attempt whose claim this one takes over. */
    readonly replacesRequestId?: string;
    readonly startedAtMs: number;
}

/** Minimum time without output after which an idempotent attempt is retried on another backend server. */
const minStallMs = 1_000;
const stallFactor = 5;
/** Minimum multiple of the typical time. Under overload all answers are slow, and abandoning an attempt only adds load. */
const minStallFactor = 2;
/** Share of the remaining time after which a stalled attempt is abandoned, so that another one can use the rest. */
const maxStallShare = 0.5;
const maxUnreachableMs = 5_000;
const controlRetryAfterMs = 1_000;
const countTimeoutMs = 300;

/** Runs one attempt. Throws a `VerdictError` if it is refused and certainly did not run. */
export async function runAttempt(delivery: DeliveryContext, request: AttemptRequest): Promise<AttemptResult> {
    const { exchange, choice } = request;
    const parsed = checkDefined(exchange.parsed, "the request is parsed");
    const location = {
        address: choice.candidate.agent.address,
        incarnation: choice.incarnation,
        requestId: `${exchange.requestId}.${request.attemptIndex}`,
    };
    const claim = getClaim(exchange, parsed);
    const attemptBase: Attempt = {
        location,
        backendServer: choice.backendServer,
        claim,
        isIdempotent: parsed.isIdempotent,
        maxCompletionTokens: parsed.maxCompletionTokens,
        isTight: false,
    };
    if (claim !== undefined) {
        const opened = await openClaim(delivery, exchange, location, request.replacesRequestId);
        if (opened.kind === "conflict") refuse("keyConflict");
        if (opened.kind === "held") return attachToClaim(delivery, exchange, request.writer, opened.claim);
        if (opened.kind === "unreachable" && !parsed.isIdempotent) {
            // The claim may have been committed although control did not reply, so release it.
            delivery.background.run(() => releaseClaim(delivery, attemptBase));
            refuse("controlUnavailable", undefined, controlRetryAfterMs);
        }
    }
    const reservedBudget = await reserveBudget(delivery, exchange, parsed, location).catch((error: unknown) => {
        settleNotRun(delivery, attemptBase);
        throw error;
    });
    return dispatchAttempt(delivery, reservedBudget.isTight ? { ...request, writer: createBufferedWriter(request.writer) } : request, {
        ...attemptBase,
        ...reservedBudget,
    });
}

function getClaim(exchange: Exchange, parsed: ParsedRequest): Attempt["claim"] {
    if (parsed.idempotencyKey === undefined) return undefined;
    return { clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name, key: parsed.idempotencyKey };
}

/** Reserved tokens, and the limit on the answer's length that they allow. */
interface ReservedBudget {
    readonly reservation?: Reservation;
    readonly maxCompletionTokens: number;
    readonly isTight: boolean;
}

async function reserveBudget(
    delivery: DeliveryContext,
    exchange: Exchange,
    parsed: ParsedRequest,
    location: AttemptLocation,
): Promise<ReservedBudget> {
    const { maxCompletionTokens } = parsed;
    if (parsed.format === "raw") return { maxCompletionTokens, isTight: false };
    const account = checkDefined(exchange.clientAccount, "the request is authenticated");
    const objects = delivery.configuration.getObjects();
    const budget = objects.get("budget", account.budget);
    const weighsMore = (budget === undefined ? undefined : objects.get("policy", budget.policy))?.weighsMore ?? "overspend";
    const reservationBase = { budget: account.budget, weighsMore, deadlineMs: exchange.deadlineMs };
    const upperBoundTokens = parsed.promptTokensBound + maxCompletionTokens;
    const immediateReservation = delivery.leases.tryReserve({ ...reservationBase, tokens: upperBoundTokens });
    if (immediateReservation !== undefined) return { reservation: immediateReservation, maxCompletionTokens, isTight: false };
    // This entry holds too few tokens for the upper bound, which is derived from the byte length. Ask the engine for the exact count.
    const countedTokens = await countPromptTokens(delivery, exchange, location);
    const promptTokens = Math.min(countedTokens ?? Infinity, parsed.promptTokensBound);
    try {
        const reservation = await delivery.leases.reserve({ ...reservationBase, tokens: promptTokens + maxCompletionTokens });
        return { reservation, maxCompletionTokens, isTight: false };
    }
    catch (error) {
        const cappedTokens = delivery.statistics.getTypicalCompletionTokens(account.name);
        const mayCapAnswer = weighsMore === "falseRefusals" && parsed.isIdempotent && countedTokens !== undefined;
        if (!mayCapAnswer || cappedTokens >= maxCompletionTokens || !isBudgetExhausted(error)) throw error;
        // The budget does not cover the full request, but may cover an answer of typical length. That answer is sent to the caller only
        // if it ends before the reduced limit.
        const reservation = await delivery.leases.reserve({ ...reservationBase, tokens: promptTokens + cappedTokens });
        return { reservation, maxCompletionTokens: cappedTokens, isTight: true };
    }
}

function isBudgetExhausted(error: unknown): boolean {
    return error instanceof VerdictError && error.verdict.code === "budgetExhausted";
}

async function countPromptTokens(delivery: DeliveryContext, exchange: Exchange, location: AttemptLocation): Promise<number | undefined> {
    const body = Buffer.from(exchange.request.body).toString("utf8");
    const call = delivery.agents.get(location.address).countTokens.mutate({ body });
    const counted = withTimeout(delivery.host.timers, call, countTimeoutMs, "count");
    return counted.then(reply => reply.promptTokens, () => undefined);
}

async function dispatchAttempt(delivery: DeliveryContext, request: AttemptRequest, attempt: Attempt): Promise<AttemptResult> {
    const { exchange, choice } = request;
    const nowMs = delivery.host.clock.nowMs();
    // The caller may have left, or its time may have run out, while the attempt waited for its claim or tokens.
    if (exchange.request.signal.aborted || nowMs >= exchange.deadlineMs) {
        settleNotRun(delivery, attempt);
        refuse("overloaded", "The caller left or its deadline passed before the dispatch.", controlRetryAfterMs);
    }
    const endDispatch = delivery.router.recordDispatch(choice, request.routeRequest, nowMs);
    const abort = new AbortController();
    const cancelDeadline = delivery.host.timers.after(Math.max(1, exchange.deadlineMs - nowMs), () => abort.abort());
    const onCallerDisconnect = () => abort.abort();
    exchange.request.signal.addEventListener("abort", onCallerDisconnect);
    exchange.hasDispatched = true;
    try {
        const sent = await sendDispatch(
            delivery.host,
            attempt.location.address,
            createDispatch(exchange, attempt, choice, nowMs),
            exchange.request.body,
            abort.signal,
        );
        if (sent.kind !== "unknown" && sent.load !== undefined) delivery.router.applyLoad(choice, sent.load, delivery.host.clock.nowMs());
        if (sent.kind === "refused") return refuseAttempt(delivery, attempt, sent.verdict);
        delivery.statistics.recordDispatch();
        return await followDispatch(delivery, request, attempt, sent, abort);
    }
    finally {
        cancelDeadline();
        exchange.request.signal.removeEventListener("abort", onCallerDisconnect);
        endDispatch();
    }
}

function createDispatch(exchange: Exchange, attempt: Attempt, choice: Choice, nowMs: number): Dispatch {
    const parsed = checkDefined(exchange.parsed, "the request is parsed");
    const { reservation } = attempt;
    return {
        requestId: attempt.location.requestId,
        attempt: Number(attempt.location.requestId.split(".").at(-1)),
        incarnation: attempt.location.incarnation,
        clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name,
        fingerprint: parsed.fingerprint,
        serviceClass: parsed.serviceClass,
        isIdempotent: parsed.isIdempotent,
        isSolo: exchange.isSolo,
        idempotencyKey: parsed.idempotencyKey,
        timeoutMs: Math.max(1, exchange.deadlineMs - nowMs),
        method: exchange.request.method,
        path: parsed.path,
        contentType: parsed.contentType,
        lease: reservation === undefined ? undefined : {
            leaseId: reservation.leaseId,
            reservedTokens: reservation.reservedTokens,
            expiresAtMs: reservation.expiresAtMs,
        },
        maxCompletionTokens: attempt.maxCompletionTokens,
        prefillTokens: choice.prefillTokens,
        isTight: attempt.isTight,
    };
}

function refuseAttempt(delivery: DeliveryContext, attempt: Attempt, verdict: Verdict): AttemptResult {
    settleNotRun(delivery, attempt);
    const isServerFault = verdict.code === "noBackendServer" || verdict.code === "notReady";
    if (isServerFault) delivery.router.recordOutcome(attempt.backendServer, "failed", undefined, delivery.host.clock.nowMs());
    return { kind: "again", verdict, isSolo: false };
}

async function followDispatch(
    delivery: DeliveryContext,
    request: AttemptRequest,
    attempt: Attempt,
    sent: Exclude<SendDispatchResult, { kind: "refused"; }>,
    abort: AbortController,
): Promise<AttemptResult> {
    const { exchange, writer, choice } = request;
    const startedAtMs = delivery.host.clock.nowMs();
    const stallTimer = startStallTimer(delivery, exchange, attempt, choice, abort);
    let firstTokenMs: number | undefined;
    let status: number | undefined;
    try {
        const reply = sent.kind === "accepted" ? sent.reply : undefined;
        for await (const frame of followAttempt(delivery.host, attempt.location, { signal: abort.signal, maxUnreachableMs, reply })) {
            if (frame.kind === "chunk") {
                firstTokenMs ??= delivery.host.clock.nowMs() - startedAtMs;
                stallTimer.cancel();
            }
            if (frame.kind === "head") status = frame.status;
            if (frame.kind === "end" && exchange.isSolo && showsSoundness(status)) exonerateSuspect(delivery, exchange);
            const result = await handleFrame(delivery, request, attempt, frame, firstTokenMs);
            if (result !== undefined) return result;
        }
    }
    catch (error) {
        if (error instanceof AnswerLostError) return handleLostAnswer(delivery, attempt, writer, error);
        if (!(error instanceof UnexpectedFrameError)) throw error;
        delivery.background.run(() => settleAbandoned(delivery, attempt, getCancelBill(attempt)));
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "outcomeUnknown") };
    }
    finally {
        stallTimer.cancel();
    }
    return handleAborted(delivery, exchange, attempt, writer, stallTimer.hasStalled());
}

// A backend server may accept a request and never answer. An idempotent request is then abandoned and retried.
function startStallTimer(delivery: DeliveryContext, exchange: Exchange, attempt: Attempt, choice: Choice, abort: AbortController) {
    let hasStalled = false;
    const remainingMs = exchange.deadlineMs - delivery.host.clock.nowMs();
    const typicalMs = Math.max(choice.expectedFirstTokenMs, choice.meanFirstTokenMs);
    const boundedStallMs = Math.min(typicalMs * stallFactor, remainingMs * maxStallShare);
    const stallMs = Math.max(minStallMs, boundedStallMs, typicalMs * minStallFactor);
    const cancel = !attempt.isIdempotent ? () => undefined : delivery.host.timers.after(stallMs, () => {
        hasStalled = true;
        abort.abort();
    });
    return { cancel, hasStalled: () => hasStalled };
}

async function handleFrame(
    delivery: DeliveryContext,
    request: AttemptRequest,
    attempt: Attempt,
    frame: Frame,
    firstTokenMs: number | undefined,
): Promise<AttemptResult | undefined> {
    const { writer, exchange } = request;
    const nowMs = delivery.host.clock.nowMs();
    switch (frame.kind) {
        case "head":
            writer.head(frame);
            return undefined;
        case "chunk":
            await writer.chunk(frame.data);
            return undefined;
        case "end":
            delivery.router.recordOutcome(attempt.backendServer, "good", getAttemptTimes(request, firstTokenMs, nowMs), nowMs);
            recordCompletionTokens(delivery, exchange, frame.completionTokens);
            await settleFinished(delivery, attempt, frame);
            await writer.finish(frame);
            return { kind: "delivered" };
        case "failed":
            return handleFailedFrame(delivery, request, attempt, frame.verdict);
    }
}

function getAttemptTimes(request: AttemptRequest, firstTokenMs: number | undefined, nowMs: number): AttemptTimes | undefined {
    if (firstTokenMs === undefined) return undefined;
    return { firstTokenMs, durationMs: nowMs - request.startedAtMs };
}

function recordCompletionTokens(delivery: DeliveryContext, exchange: Exchange, completionTokens: number): void {
    if (completionTokens === 0) return;
    delivery.statistics.recordCompletionTokens(checkDefined(exchange.clientAccount, "the request is authenticated").name, completionTokens);
}

async function handleFailedFrame(
    delivery: DeliveryContext,
    request: AttemptRequest,
    attempt: Attempt,
    verdict: Verdict,
): Promise<AttemptResult> {
    const { writer, exchange } = request;
    if (verdict.kind === "notRun") return refuseAttempt(delivery, attempt, verdict);
    attempt.reservation?.settle(attempt.location.incarnation, 0);
    delivery.router.recordOutcome(attempt.backendServer, "failed", undefined, delivery.host.clock.nowMs());
    const hasCrashed = verdict.code === "backendServerCrashed";
    const suspicion = hasCrashed ? await reportCrash(delivery, exchange, attempt) : "clear";
    if (suspicion === "quarantined") return { kind: "failed", verdict: createVerdict("mayHaveRun", "quarantined") };
    if (!attempt.isIdempotent || writer.hasStarted || !hasCrashed) return { kind: "failed", verdict };
    return { kind: "again", verdict, isSolo: suspicion === "suspect", replacesRequestId: attempt.location.requestId };
}

async function handleLostAnswer(
    delivery: DeliveryContext,
    attempt: Attempt,
    writer: AnswerWriter,
    error: AnswerLostError,
): Promise<AttemptResult> {
    delivery.router.recordOutcome(attempt.backendServer, "failed", undefined, delivery.host.clock.nowMs());
    if (error.reason === "unknownRequest" && !writer.hasStarted) {
        // The dispatch may never have arrived. If so, the agent replies "unknown" and will refuse the dispatch if it arrives later.
        const reply = await cancelAttempt(delivery, attempt.location, "finished");
        if (reply?.state === "unknown") return refuseAttempt(delivery, attempt, createVerdict("notRun", "noBackendServer"));
    }
    const verdict = createVerdict("mayHaveRun", "outcomeUnknown");
    if (error.reason === "otherIncarnation") attempt.reservation?.settle(attempt.location.incarnation, 0);
    else delivery.background.run(() => settleAbandoned(delivery, attempt, getCancelBill(attempt)));
    if (!attempt.isIdempotent || writer.hasStarted) return { kind: "failed", verdict };
    return { kind: "again", verdict, isSolo: false, replacesRequestId: attempt.location.requestId };
}

// A caller's retry with the same idempotency key may still read the answer, also through another entry. Control bills only one
// attempt for each key.
function getCancelBill(attempt: Attempt): CancelBilling {
    return attempt.claim === undefined ? "never" : "finished";
}

// Called when the deadline has passed, the caller has disconnected, or the backend server has stalled.
function handleAborted(
    delivery: DeliveryContext,
    exchange: Exchange,
    attempt: Attempt,
    writer: AnswerWriter,
    hasStalled: boolean,
): AttemptResult {
    const hasCallerDisconnected = exchange.request.signal.aborted;
    if (hasCallerDisconnected && attempt.claim !== undefined) {
        delivery.background.run(() => settleAfterCallerDisconnect(delivery, attempt));
        return { kind: "delivered" };
    }
    delivery.background.run(() => settleAbandoned(delivery, attempt, hasCallerDisconnected ? "generated" : getCancelBill(attempt)));
    if (hasCallerDisconnected) return { kind: "delivered" };
    if (!hasStalled) {
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "deadlineExceeded", "The deadline passed while the request ran.") };
    }
    delivery.router.recordOutcome(attempt.backendServer, "stalled", undefined, delivery.host.clock.nowMs());
    const verdict = createVerdict("mayHaveRun", "outcomeUnknown", "The backend server did not answer.");
    assert(attempt.isIdempotent, "only an idempotent request is abandoned when it stalls");
    return writer.hasStarted
        ? { kind: "failed", verdict }
        : { kind: "again", verdict, isSolo: false, replacesRequestId: attempt.location.requestId };
}

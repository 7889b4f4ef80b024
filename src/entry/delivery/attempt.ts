/** One attempt from reservation to settlement. */
import type { CancelBilling } from "../../kernel/contracts.js";
import { assert, checkDefined } from "../../kernel/debug.js";
import type { Dispatch, Frame } from "../../kernel/messages.js";
import { withTimeout } from "../../kernel/tasks.js";
import { createVerdict, refuse, VerdictError } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createWholeOnlyWriter } from "../answers.js";
import type { AnswerWriter } from "../answers.js";
import { AnswerLostError, CrossedAnswerError, followAttempt, sendDispatch } from "../attemptStream.js";
import type { AttemptPlace, DispatchOutcome } from "../attemptStream.js";
import type { Reservation } from "../budgets/leaseManager.js";
import type { AttemptTimes, Choice, RouteRequest } from "../routing/types.js";
import type { Exchange, Work } from "../types.js";
import { attach, openClaim } from "./claims.js";
import { cancelAttempt, releaseClaim, settleAbandoned, settleFinished, settleNotRun, settleUnattended } from "./settlement.js";
import { reportCrash, reportFinishedSolo } from "./suspects.js";
import type { Attempt, AttemptResult, DeliveryHost } from "./types.js";

/** What one attempt is made of. */
export interface AttemptRequest {
    readonly exchange: Exchange;
    readonly writer: AnswerWriter;
    readonly choice: Choice;
    readonly routeRequest: RouteRequest;
    readonly number: number;
    readonly replacesRequestId?: string;
    readonly startedAtMs: number;
}

/** Silence after which an idempotent attempt that has given nothing is tried elsewhere. */
const minStallMs = 1_000;
const stallFactor = 5;
/** Under an overload every answer is slow, and giving one up only adds work. */
const minStallFactor = 2;
/** Share of the remaining time after which a stalled attempt leaves the rest to another one. */
const maxStallShare = 0.5;
const maxUnreachableMs = 5_000;
const controlRetryMs = 1_000;
const countTimeoutMs = 300;

/** Runs one attempt. Refusals that are certain are thrown as verdicts. */
export async function runAttempt(delivery: DeliveryHost, request: AttemptRequest): Promise<AttemptResult> {
    const { exchange, choice } = request;
    const work = checkDefined(exchange.work, "the request is read");
    const place = {
        address: choice.candidate.agent.address,
        incarnation: choice.incarnation,
        requestId: `${exchange.requestId}.${request.number}`,
    };
    const claim = getClaim(exchange, work);
    const common: Attempt = {
        place,
        backendServer: choice.backendServer,
        claim,
        isIdempotent: work.isIdempotent,
        maxCompletionTokens: work.maxCompletionTokens,
        isTight: false,
    };
    if (claim !== undefined) {
        const opened = await openClaim(delivery, exchange, place, request.replacesRequestId);
        if (opened.kind === "conflict") refuse("keyConflict");
        if (opened.kind === "held") return attach(delivery, exchange, request.writer, opened.claim);
        if (opened.kind === "unreachable" && !work.isIdempotent) {
            // The claim may have been committed all the same, so it is taken back.
            delivery.background.run(() => releaseClaim(delivery, common));
            refuse("controlUnavailable", undefined, controlRetryMs);
        }
    }
    const covered = await cover(delivery, exchange, work, place).catch((error: unknown) => {
        settleNotRun(delivery, common);
        throw error;
    });
    return dispatch(delivery, covered.isTight ? { ...request, writer: createWholeOnlyWriter(request.writer) } : request, {
        ...common,
        ...covered,
    });
}

function getClaim(exchange: Exchange, work: Work): Attempt["claim"] {
    if (work.idempotencyKey === undefined) return undefined;
    return { clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name, key: work.idempotencyKey };
}

/** Tokens set aside, and the cap on the answer that they allow. */
interface Cover {
    readonly reservation?: Reservation;
    readonly maxCompletionTokens: number;
    readonly isTight: boolean;
}

async function cover(delivery: DeliveryHost, exchange: Exchange, work: Work, place: AttemptPlace): Promise<Cover> {
    const { maxCompletionTokens } = work;
    if (work.format === "raw") return { maxCompletionTokens, isTight: false };
    const account = checkDefined(exchange.clientAccount, "the request is authenticated");
    const objects = delivery.configuration.getObjects();
    const budget = objects.get("budget", account.budget);
    const weighsMore = (budget === undefined ? undefined : objects.get("policy", budget.policy))?.weighsMore ?? "overspend";
    const wanted = { budget: account.budget, weighsMore, deadlineMs: exchange.deadlineMs };
    const boundTokens = work.promptTokensBound + maxCompletionTokens;
    const held = delivery.leases.tryReserve({ ...wanted, tokens: boundTokens });
    if (held !== undefined) return { reservation: held, maxCompletionTokens, isTight: false };
    // Tokens are short here, so the engine's own count takes the place of the bound by bytes.
    const counted = await countPromptTokens(delivery, exchange, place);
    const promptTokens = Math.min(counted ?? Infinity, work.promptTokensBound);
    try {
        const reservation = await delivery.leases.reserve({ ...wanted, tokens: promptTokens + maxCompletionTokens });
        return { reservation, maxCompletionTokens, isTight: false };
    }
    catch (error) {
        const tightTokens = delivery.statistics.getUsualCompletionTokens(account.name);
        const canTry = weighsMore === "falseRefusals" && work.isIdempotent && counted !== undefined;
        if (!canTry || tightTokens >= maxCompletionTokens || !isExhausted(error)) throw error;
        // The whole request does not fit, but its usual answer may. It is shown only if it ends by itself.
        const reservation = await delivery.leases.reserve({ ...wanted, tokens: promptTokens + tightTokens });
        return { reservation, maxCompletionTokens: tightTokens, isTight: true };
    }
}

function isExhausted(error: unknown): boolean {
    return error instanceof VerdictError && error.verdict.code === "budgetExhausted";
}

async function countPromptTokens(delivery: DeliveryHost, exchange: Exchange, place: AttemptPlace): Promise<number | undefined> {
    const body = Buffer.from(exchange.request.body).toString("utf8");
    const call = delivery.agents.get(place.address).countTokens.mutate({ body });
    const counted = withTimeout(delivery.host.timers, call, countTimeoutMs, "count");
    return counted.then(reply => reply.promptTokens, () => undefined);
}

async function dispatch(delivery: DeliveryHost, request: AttemptRequest, attempt: Attempt): Promise<AttemptResult> {
    const { exchange, choice } = request;
    const nowMs = delivery.host.clock.nowMs();
    const forgetDispatch = delivery.router.recordDispatch(choice, request.routeRequest, nowMs);
    const abort = new AbortController();
    const cancelDeadline = delivery.host.timers.after(Math.max(1, exchange.deadlineMs - nowMs), () => abort.abort());
    const onGone = () => abort.abort();
    exchange.request.signal.addEventListener("abort", onGone);
    exchange.hasDispatched = true;
    try {
        const sent = await sendDispatch(
            delivery.host,
            attempt.place.address,
            createDispatch(exchange, attempt, choice, nowMs),
            exchange.request.body,
            abort.signal,
        );
        if (sent.kind !== "unknown" && sent.load !== undefined) delivery.router.applyLoad(choice, sent.load, delivery.host.clock.nowMs());
        if (sent.kind === "refused") return refuseAttempt(delivery, attempt, sent.verdict);
        delivery.statistics.noteDispatch();
        return await follow(delivery, request, attempt, sent, abort);
    }
    finally {
        cancelDeadline();
        exchange.request.signal.removeEventListener("abort", onGone);
        forgetDispatch();
    }
}

function createDispatch(exchange: Exchange, attempt: Attempt, choice: Choice, nowMs: number): Dispatch {
    const work = checkDefined(exchange.work, "the request is read");
    const { reservation } = attempt;
    return {
        requestId: attempt.place.requestId,
        attempt: Number(attempt.place.requestId.split(".").at(-1)),
        incarnation: attempt.place.incarnation,
        clientAccount: checkDefined(exchange.clientAccount, "the request is authenticated").name,
        fingerprint: work.fingerprint,
        serviceClass: work.serviceClass,
        isIdempotent: work.isIdempotent,
        isSolo: exchange.isSolo,
        idempotencyKey: work.idempotencyKey,
        timeoutMs: Math.max(1, exchange.deadlineMs - nowMs),
        method: exchange.request.method,
        path: work.path,
        contentType: work.contentType,
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

function refuseAttempt(delivery: DeliveryHost, attempt: Attempt, verdict: Verdict): AttemptResult {
    settleNotRun(delivery, attempt);
    const isFault = verdict.code === "noBackendServer" || verdict.code === "notReady";
    if (isFault) delivery.router.recordOutcome(attempt.backendServer, "failed", undefined, delivery.host.clock.nowMs());
    return { kind: "again", verdict, isSolo: false };
}

async function follow(
    delivery: DeliveryHost,
    request: AttemptRequest,
    attempt: Attempt,
    sent: Exclude<DispatchOutcome, { kind: "refused"; }>,
    abort: AbortController,
): Promise<AttemptResult> {
    const { exchange, writer, choice } = request;
    const startedAtMs = delivery.host.clock.nowMs();
    const stall = watchForStall(delivery, exchange, attempt, choice, abort);
    let firstTokenMs: number | undefined;
    try {
        const reply = sent.kind === "accepted" ? sent.reply : undefined;
        for await (const frame of followAttempt(delivery.host, attempt.place, { signal: abort.signal, maxUnreachableMs, reply })) {
            if (frame.kind === "chunk") {
                firstTokenMs ??= delivery.host.clock.nowMs() - startedAtMs;
                stall.cancel();
            }
            const result = await passOn(delivery, request, attempt, frame, firstTokenMs);
            if (result !== undefined) return result;
        }
    }
    catch (error) {
        if (error instanceof AnswerLostError) return onLost(delivery, attempt, writer, error);
        if (!(error instanceof CrossedAnswerError)) throw error;
        delivery.background.run(() => settleAbandoned(delivery, attempt, getLostBill(attempt)));
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "outcomeUnknown") };
    }
    finally {
        stall.cancel();
    }
    return onAborted(delivery, exchange, attempt, writer, stall.hasStalled());
}

// A backend server may accept and never answer. Idempotent work does not wait for it.
function watchForStall(delivery: DeliveryHost, exchange: Exchange, attempt: Attempt, choice: Choice, abort: AbortController) {
    let hasStalled = false;
    const remainingMs = exchange.deadlineMs - delivery.host.clock.nowMs();
    const usualMs = Math.max(choice.expectedMs, choice.averageFirstTokenMs);
    const patienceMs = Math.min(usualMs * stallFactor, remainingMs * maxStallShare);
    const stallMs = Math.max(minStallMs, patienceMs, usualMs * minStallFactor);
    const cancel = !attempt.isIdempotent ? () => undefined : delivery.host.timers.after(stallMs, () => {
        hasStalled = true;
        abort.abort();
    });
    return { cancel, hasStalled: () => hasStalled };
}

async function passOn(
    delivery: DeliveryHost,
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
            delivery.router.recordOutcome(attempt.backendServer, "good", getTimes(request, firstTokenMs, nowMs), nowMs);
            noteCompletion(delivery, exchange, frame.completionTokens);
            await settleFinished(delivery, attempt, frame);
            if (exchange.isSolo) reportFinishedSolo(delivery, exchange);
            await writer.finish(frame);
            return { kind: "delivered" };
        case "failed":
            return onFailed(delivery, request, attempt, frame.verdict);
    }
}

function getTimes(request: AttemptRequest, firstTokenMs: number | undefined, nowMs: number): AttemptTimes | undefined {
    if (firstTokenMs === undefined) return undefined;
    return { firstTokenMs, durationMs: nowMs - request.startedAtMs };
}

function noteCompletion(delivery: DeliveryHost, exchange: Exchange, completionTokens: number): void {
    if (completionTokens === 0) return;
    delivery.statistics.noteCompletion(checkDefined(exchange.clientAccount, "the request is authenticated").name, completionTokens);
}

async function onFailed(delivery: DeliveryHost, request: AttemptRequest, attempt: Attempt, verdict: Verdict): Promise<AttemptResult> {
    const { writer, exchange } = request;
    if (verdict.kind === "notRun") return refuseAttempt(delivery, attempt, verdict);
    attempt.reservation?.settle(attempt.place.incarnation, 0);
    delivery.router.recordOutcome(attempt.backendServer, "failed", undefined, delivery.host.clock.nowMs());
    const hasCrashed = verdict.code === "backendServerCrashed";
    const suspicion = hasCrashed ? await reportCrash(delivery, exchange, attempt) : "clear";
    if (suspicion === "quarantined") return { kind: "failed", verdict: createVerdict("mayHaveRun", "quarantined") };
    if (!attempt.isIdempotent || writer.hasStarted || !hasCrashed) return { kind: "failed", verdict };
    return { kind: "again", verdict, isSolo: suspicion === "suspect", replacesRequestId: attempt.place.requestId };
}

async function onLost(delivery: DeliveryHost, attempt: Attempt, writer: AnswerWriter, error: AnswerLostError): Promise<AttemptResult> {
    delivery.router.recordOutcome(attempt.backendServer, "failed", undefined, delivery.host.clock.nowMs());
    if (error.reason === "unknownRequest" && !writer.hasStarted) {
        // The dispatch may never have arrived. If so, the agent now promises that it never starts.
        const reply = await cancelAttempt(delivery, attempt.place, "finished");
        if (reply?.state === "unknown") return refuseAttempt(delivery, attempt, createVerdict("notRun", "noBackendServer"));
    }
    const verdict = createVerdict("mayHaveRun", "outcomeUnknown");
    if (error.reason === "otherIncarnation") attempt.reservation?.settle(attempt.place.incarnation, 0);
    else delivery.background.run(() => settleAbandoned(delivery, attempt, getLostBill(attempt)));
    if (!attempt.isIdempotent || writer.hasStarted) return { kind: "failed", verdict };
    return { kind: "again", verdict, isSolo: false, replacesRequestId: attempt.place.requestId };
}

// A retry with its key may still get the answer, also by way of another entry. Control bills one attempt of a key only.
function getLostBill(attempt: Attempt): CancelBilling {
    return attempt.claim === undefined ? "never" : "finished";
}

// The deadline passed, the caller left, or the backend server stalled.
function onAborted(delivery: DeliveryHost, exchange: Exchange, attempt: Attempt, writer: AnswerWriter, hasStalled: boolean): AttemptResult {
    const isGone = exchange.request.signal.aborted;
    if (isGone && attempt.claim !== undefined) {
        delivery.background.run(() => settleUnattended(delivery, attempt));
        return { kind: "delivered" };
    }
    delivery.background.run(() => settleAbandoned(delivery, attempt, isGone ? "generated" : getLostBill(attempt)));
    if (isGone) return { kind: "delivered" };
    if (!hasStalled) {
        return { kind: "failed", verdict: createVerdict("mayHaveRun", "deadlineExceeded", "The deadline passed while the request ran.") };
    }
    delivery.router.recordOutcome(attempt.backendServer, "stalled", undefined, delivery.host.clock.nowMs());
    const verdict = createVerdict("mayHaveRun", "outcomeUnknown", "The backend server did not answer.");
    assert(attempt.isIdempotent, "only idempotent work is given up for a stall");
    return writer.hasStarted
        ? { kind: "failed", verdict }
        : { kind: "again", verdict, isSolo: false, replacesRequestId: attempt.place.requestId };
}

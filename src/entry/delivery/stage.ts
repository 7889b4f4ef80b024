/** Last stage: attempts until the caller has the whole answer or a verdict. The only place that retries. */
import { checkDefined } from "../../kernel/debug.js";
import { sleep } from "../../kernel/tasks.js";
import { createVerdict, VerdictError } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createAnswerWriter } from "../answers.js";
import type { Choice, RouteRequest } from "../routing/types.js";
import type { Exchange, Stage } from "../types.js";
import { runAttempt } from "./attempt.js";
import type { DeliveryHost } from "./types.js";

const maxAttempts = 5;
const choicePollMs = 50;
/** How long a request waits for any backend server of its pool to appear. */
const maxChoiceWaitMs = 2_000;
/** Usual length of a token. Estimates of work need no bound. */
const bytesPerToken = 4;
const noServerRetryMs = 2_000;
const backoffMs = { first: 20, factor: 2 } as const;

/** Creates the stage. */
export function createDeliveryStage(delivery: DeliveryHost): Stage {
    return { name: "delivery", run: exchange => deliver(delivery, exchange) };
}

async function deliver(delivery: DeliveryHost, exchange: Exchange): Promise<void> {
    const work = checkDefined(exchange.work, "the request is read");
    const writer = createAnswerWriter(exchange, work.format);
    const excluded = new Set<string>();
    let replacesRequestId: string | undefined;
    let verdict: Verdict = createVerdict("notRun", "noBackendServer", undefined, noServerRetryMs);
    delivery.retries.noteRequest();
    for (let number = 0; number < maxAttempts; number++) {
        if (number > 0 && !await mayRetry(delivery, exchange, number)) break;
        const routeRequest: RouteRequest = {
            pool: work.pool,
            model: work.model,
            promptTokens: work.promptTokensBound / bytesPerToken,
            prefixHashes: work.prefixHashes,
            excluded,
            failureDomain: delivery.failureDomain,
        };
        const choice = await chooseWithin(delivery, exchange, routeRequest);
        if (choice === undefined) break;
        if (!writer.hasStarted) writer.restart();
        const result = await runOrRefuse(delivery, {
            exchange,
            writer,
            choice,
            routeRequest,
            number,
            replacesRequestId,
            startedAtMs: delivery.host.clock.nowMs(),
        }, verdict);
        if (result.kind === "delivered") return;
        if (result.kind === "failed") return writer.fail(result.verdict);
        verdict = combineVerdicts(verdict, result.verdict);
        exchange.isSolo ||= result.isSolo;
        replacesRequestId = result.replacesRequestId ?? replacesRequestId;
        excluded.add(choice.backendServer);
    }
    await writer.fail(addRetryAfter(verdict));
}

// Once an attempt may have run, no later refusal takes that back.
function combineVerdicts(before: Verdict, latest: Verdict): Verdict {
    return before.kind !== "notRun" && latest.kind === "notRun" ? before : latest;
}

// A refusal of a later attempt says nothing of an earlier one that may have run.
async function runOrRefuse(
    delivery: DeliveryHost,
    request: Parameters<typeof runAttempt>[1],
    before: Verdict,
): ReturnType<typeof runAttempt> {
    try {
        return await runAttempt(delivery, request);
    }
    catch (error) {
        if (!(error instanceof VerdictError) || before.kind === "notRun" || error.verdict.kind !== "notRun") throw error;
        return { kind: "failed", verdict: before };
    }
}

async function mayRetry(delivery: DeliveryHost, exchange: Exchange, number: number): Promise<boolean> {
    if (exchange.request.signal.aborted || !delivery.retries.tryTake()) return false;
    delivery.statistics.noteRetry();
    const ceilingMs = backoffMs.first * backoffMs.factor ** (number - 1);
    await sleep(delivery.host.timers, ceilingMs * delivery.host.random.nextFloat(), exchange.request.signal);
    return delivery.host.clock.nowMs() < exchange.deadlineMs;
}

async function chooseWithin(delivery: DeliveryHost, exchange: Exchange, request: RouteRequest): Promise<Choice | undefined> {
    const { host, router } = delivery;
    const giveUpAtMs = Math.min(exchange.deadlineMs, host.clock.nowMs() + maxChoiceWaitMs);
    for (;;) {
        const choice = router.choose(request, host.clock.nowMs());
        if (choice !== undefined) return choice;
        // With nowhere else to go, a backend server that refused before may be asked again.
        const again = request.excluded.size > 0 ? router.choose({ ...request, excluded: new Set() }, host.clock.nowMs()) : undefined;
        if (again !== undefined) return again;
        if (host.clock.nowMs() >= giveUpAtMs || exchange.request.signal.aborted) return undefined;
        await sleep(host.timers, choicePollMs, exchange.request.signal);
    }
}

function addRetryAfter(verdict: Verdict): Verdict {
    return verdict.kind === "notRun" && verdict.retryAfterMs === undefined ? { ...verdict, retryAfterMs: noServerRetryMs } : verdict;
}

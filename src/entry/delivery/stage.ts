/** Last stage of the pipeline: makes attempts until the caller has a complete answer or a verdict. Only this stage retries. */
import { checkDefined } from "../../kernel/debug.js";
import { sleep } from "../../kernel/tasks.js";
import { createVerdict, VerdictError } from "../../kernel/verdict.js";
import type { Verdict } from "../../kernel/verdict.js";
import { createAnswerWriter } from "../answers.js";
import type { Choice, RouteRequest } from "../routing/types.js";
import type { Exchange, Stage } from "../types.js";
import { runAttempt } from "./attempt.js";
import type { DeliveryContext } from "./types.js";

const maxAttempts = 5;
const choicePollMs = 50;
/** How long a request waits for a backend server of its pool to become available. */
const maxChoiceWaitMs = 2_000;
/** Typical token length. Load estimates use it instead of the upper bound on the prompt's tokens. */
const bytesPerToken = 4;
const noServerRetryAfterMs = 2_000;
const backoffMs = { first: 20, factor: 2 } as const;

/** Creates the delivery stage. */
export function createDeliveryStage(delivery: DeliveryContext): Stage {
    return { name: "delivery", run: exchange => deliver(delivery, exchange) };
}

async function deliver(delivery: DeliveryContext, exchange: Exchange): Promise<void> {
    const parsed = checkDefined(exchange.parsed, "the request is parsed");
    const writer = createAnswerWriter(exchange, parsed.format);
    const excluded = new Set<string>();
    let replacesRequestId: string | undefined;
    let verdict: Verdict = createVerdict("notRun", "noBackendServer", undefined, noServerRetryAfterMs);
    delivery.retryBudget.recordRequest();
    for (let attemptIndex = 0; attemptIndex < maxAttempts; attemptIndex++) {
        if (attemptIndex > 0 && !await prepareRetry(delivery, exchange, attemptIndex)) break;
        const routeRequest: RouteRequest = {
            pool: parsed.pool,
            model: parsed.model,
            promptTokens: parsed.promptTokensBound / bytesPerToken,
            prefixHashes: parsed.prefixHashes,
            excluded,
            failureDomain: delivery.failureDomain,
        };
        const choice = await chooseBackendServer(delivery, exchange, routeRequest);
        if (choice === undefined) break;
        if (!writer.hasStarted) writer.restart();
        const result = await runWithEarlierVerdict(delivery, {
            exchange,
            writer,
            choice,
            routeRequest,
            attemptIndex,
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

// Once an attempt may have run, a later refusal does not replace its verdict.
function combineVerdicts(earlier: Verdict, latest: Verdict): Verdict {
    return earlier.kind !== "notRun" && latest.kind === "notRun" ? earlier : latest;
}

// If an earlier attempt may have run, a refusal of the later one is reported with the earlier verdict.
async function runWithEarlierVerdict(
    delivery: DeliveryContext,
    request: Parameters<typeof runAttempt>[1],
    earlier: Verdict,
): ReturnType<typeof runAttempt> {
    try {
        return await runAttempt(delivery, request);
    }
    catch (error) {
        if (!(error instanceof VerdictError) || earlier.kind === "notRun" || error.verdict.kind !== "notRun") throw error;
        return { kind: "failed", verdict: earlier };
    }
}

async function prepareRetry(delivery: DeliveryContext, exchange: Exchange, attemptIndex: number): Promise<boolean> {
    if (exchange.request.signal.aborted || !delivery.retryBudget.tryAcquire()) return false;
    delivery.statistics.recordRetry();
    const maxDelayMs = backoffMs.first * backoffMs.factor ** (attemptIndex - 1);
    await sleep(delivery.host.timers, maxDelayMs * delivery.host.random.nextFloat(), exchange.request.signal);
    return delivery.host.clock.nowMs() < exchange.deadlineMs;
}

async function chooseBackendServer(delivery: DeliveryContext, exchange: Exchange, request: RouteRequest): Promise<Choice | undefined> {
    const { host, router } = delivery;
    const giveUpAtMs = Math.min(exchange.deadlineMs, host.clock.nowMs() + maxChoiceWaitMs);
    for (;;) {
        const choice = router.choose(request, host.clock.nowMs());
        if (choice !== undefined) return choice;
        // If no other backend server is available, try the excluded ones again.
        const previouslyExcluded = request.excluded.size > 0
            ? router.choose({ ...request, excluded: new Set() }, host.clock.nowMs())
            : undefined;
        if (previouslyExcluded !== undefined) return previouslyExcluded;
        if (host.clock.nowMs() >= giveUpAtMs || exchange.request.signal.aborted) return undefined;
        await sleep(host.timers, choicePollMs, exchange.request.signal);
    }
}

function addRetryAfter(verdict: Verdict): Verdict {
    return verdict.kind === "notRun" && verdict.retryAfterMs === undefined ? { ...verdict, retryAfterMs: noServerRetryAfterMs } : verdict;
}

/** Reports to control the crashes that a request may have caused, and suspects that ran alone without a crash. */
import { checkDefined } from "../../kernel/debug.js";
import type { Suspicion } from "../../kernel/messages.js";
import type { Exchange } from "../types.js";
import type { Attempt, DeliveryContext } from "./types.js";

const reportTimeoutMs = 2_000;

/**
 * Reports a crash to control and returns the resulting state of the request. Without a reply it becomes a suspect, or quarantined if it
 * ran alone.
 */
export async function reportCrash(delivery: DeliveryContext, exchange: Exchange, attempt: Attempt): Promise<Suspicion> {
    const { fingerprint } = checkDefined(exchange.parsed, "the request is parsed");
    const failureDomain = delivery.router.getFailureDomain(attempt.backendServer) ?? "unknown";
    const crash = {
        fingerprint,
        requestId: attempt.location.requestId,
        backendServer: attempt.backendServer,
        incarnation: attempt.location.incarnation,
        failureDomain,
        isSolo: exchange.isSolo,
    };
    const outcome = await delivery.control.submit("quarantine.report", { crashes: [crash] }, { timeoutMs: reportTimeoutMs });
    if (outcome.kind !== "done") return exchange.isSolo ? "quarantined" : "suspect";
    return outcome.result.suspicions[fingerprint] ?? "clear";
}

/** True if the status of a complete answer shows that the request did the backend server no harm. One that reports an error shows nothing. */
export function showsSoundness(status: number | undefined): boolean {
    return status !== undefined && status < 300;
}

/** Reports to control that a suspect ran alone and succeeded. */
export function exonerateSuspect(delivery: DeliveryContext, exchange: Exchange): void {
    const { fingerprint } = checkDefined(exchange.parsed, "the request is parsed");
    delivery.background.run(async () =>
        void await delivery.control.submit("quarantine.exonerate", { fingerprint }, { timeoutMs: reportTimeoutMs })
    );
}

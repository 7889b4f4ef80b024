/** Reports of crashes that a request may have caused, and of suspects that ran alone without one. */
import { checkDefined } from "../../kernel/debug.js";
import type { Suspicion } from "../../kernel/messages.js";
import type { Exchange } from "../types.js";
import type { Attempt, DeliveryContext } from "./types.js";

const reportTimeoutMs = 2_000;

/** Tells control of a crash and returns what the request now counts as. It is a suspect where control is cut off. */
export async function reportCrash(delivery: DeliveryContext, exchange: Exchange, attempt: Attempt): Promise<Suspicion> {
    const { fingerprint } = checkDefined(exchange.parsed, "the request is read");
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

/** Tells control that a suspect ran alone to its end. */
export function exonerateSuspect(delivery: DeliveryContext, exchange: Exchange): void {
    const { fingerprint } = checkDefined(exchange.parsed, "the request is read");
    delivery.background.run(async () =>
        void await delivery.control.submit("quarantine.exonerate", { fingerprint }, { timeoutMs: reportTimeoutMs })
    );
}

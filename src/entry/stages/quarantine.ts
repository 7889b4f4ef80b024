/** Refuses requests that are quarantined for crashing backend servers, and marks suspects to run alone. */
import type { ControlTimeBound } from "../../kernel/controlTime.js";
import { checkDefined } from "../../kernel/debug.js";
import { refuse } from "../../kernel/verdict.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import type { Stage } from "../types.js";

/** Creates the quarantine stage. */
export function createQuarantineStage(configuration: NodeConfiguration, time: ControlTimeBound): Stage {
    return {
        name: "quarantine",
        async run(exchange, next) {
            const { fingerprint } = checkDefined(exchange.parsed, "the request is parsed");
            const suspicion = configuration.getSuspicion(fingerprint, Math.min(time.getUpperBoundMs(), Number.MAX_VALUE));
            if (suspicion === "quarantined") refuse("quarantined");
            exchange.isSolo = suspicion === "suspect";
            await next();
        },
    };
}

/** Stage that holds back requests that crashed backend servers, and lets suspects run only alone. */
import type { ControlTimeBound } from "../../kernel/controlTime.js";
import { checkDefined } from "../../kernel/debug.js";
import { refuse } from "../../kernel/verdict.js";
import type { NodeConfiguration } from "../configurationView.js";
import type { Stage } from "../types.js";

/** Creates the stage. */
export function createQuarantineStage(configuration: NodeConfiguration, time: ControlTimeBound): Stage {
    return {
        name: "quarantine",
        async run(exchange, next) {
            const { fingerprint } = checkDefined(exchange.work, "the request is read");
            const suspicion = configuration.getSuspicion(fingerprint, Math.min(time.getUpperBoundMs(), Number.MAX_VALUE));
            if (suspicion === "quarantined") refuse("quarantined");
            exchange.isSolo = suspicion === "suspect";
            await next();
        },
    };
}

/** Refuses requests whose pool has all its backend servers in evacuated failure domains, before they wait for their turn. */
import { checkDefined } from "../../kernel/debug.js";
import { refuse } from "../../kernel/verdict.js";
import type { Router } from "../routing/router.js";
import type { Stage } from "../types.js";

const retryAfterMs = 1_000;

/** Creates the evacuation stage. */
export function createEvacuationStage(router: Pick<Router, "isPoolEvacuated">): Stage {
    return {
        name: "evacuation",
        async run(exchange, next) {
            const { pool } = checkDefined(exchange.parsed, "the request is parsed");
            if (router.isPoolEvacuated(pool)) refuse("poolEvacuated", undefined, retryAfterMs);
            await next();
        },
    };
}

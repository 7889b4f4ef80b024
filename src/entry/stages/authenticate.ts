/** First stage: authenticates the caller by API key. */
import { refuse } from "../../kernel/verdict.js";
import type { NodeConfiguration } from "../nodeConfiguration.js";
import type { Stage } from "../types.js";

const bearerPattern = /^Bearer\s+(\S+)$/i;
const notReadyRetryAfterMs = 1_000;

/** Creates the stage that looks up the client account of the request's API key. */
export function createAuthenticateStage(configuration: NodeConfiguration): Stage {
    return {
        name: "authenticate",
        async run(exchange, next) {
            if (!configuration.isReady()) refuse("notReady", undefined, notReadyRetryAfterMs);
            const key = bearerPattern.exec(exchange.request.headers["authorization"] ?? "")?.[1];
            const account = key === undefined ? undefined : configuration.findAccount(key);
            if (account === undefined) refuse("unauthenticated");
            exchange.clientAccount = account;
            exchange.policy = configuration.getObjects().get("policy", account.policy);
            await next();
        },
    };
}

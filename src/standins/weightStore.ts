/** Stand-in for the weight store: it gives artifacts at a limited rate and refuses what comes faster. */
import type { Host, HttpHandler } from "../kernel/host.js";
import { sendJson } from "./modelEngine.js";

/** A stand-in store. */
export interface WeightStore {
    readonly handle: HttpHandler;
    getServedCount(): number;
    getRefusedCount(): number;
}

const minuteMs = 60_000;

/** Creates a store with a rate in artifacts a minute. */
export function createWeightStore(host: Host, maxLoadsPerMinute: number): WeightStore {
    let nextFreeAtMs = 0;
    let served = 0;
    let refused = 0;
    return {
        getServedCount: () => served,
        getRefusedCount: () => refused,
        async handle(request, response) {
            const nowMs = host.clock.nowMs();
            if (nowMs < nextFreeAtMs) {
                refused++;
                return sendJson(response, 429, { error: "too many loads" });
            }
            nextFreeAtMs = nowMs + minuteMs / maxLoadsPerMinute;
            served++;
            return sendJson(response, 200, { artifact: request.path });
        },
    };
}

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
    let nextAllowedAtMs = 0;
    let servedCount = 0;
    let refusedCount = 0;
    return {
        getServedCount: () => servedCount,
        getRefusedCount: () => refusedCount,
        async handle(request, response) {
            const nowMs = host.clock.nowMs();
            if (nowMs < nextAllowedAtMs) {
                refusedCount++;
                return sendJson(response, 429, { error: "too many loads" });
            }
            nextAllowedAtMs = nowMs + minuteMs / maxLoadsPerMinute;
            servedCount++;
            return sendJson(response, 200, { artifact: request.path });
        },
    };
}

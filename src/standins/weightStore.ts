/** Simulated store of model weights. It serves artifacts at a limited rate and refuses faster requests. */
import type { Host, HttpHandler } from "../kernel/host.js";
import { sendJson } from "./modelEngine.js";

/** A simulated store. */
export interface WeightStore {
    readonly handle: HttpHandler;
    getServedCount(): number;
    getRefusedCount(): number;
}

const minuteMs = 60_000;

/** Creates a store that serves at most `maxLoadsPerMinute` artifacts per minute. */
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

/** Simulated HTTP service that is not a model engine. It records each request that it ran and when. */
import type { Host, HttpHandler } from "../kernel/host.js";
import { sleep } from "../kernel/tasks.js";
import { sendJson } from "./modelEngine.js";

/** One request that the service ran. */
export interface ServiceRun {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly body: string;
    readonly atMs: number;
}

/** A simulated service. */
export interface PlainService {
    readonly handle: HttpHandler;
    readonly runs: readonly ServiceRun[];
}

/** Creates a service that takes between 0.5 and 1.5 times `serviceMs` for each request. */
export function createPlainService(host: Host, serviceMs = 20): PlainService {
    const runs: ServiceRun[] = [];
    let runningRequests = 0;
    return {
        runs,
        async handle(request, response) {
            if (request.path === "/load") return sendJson(response, 200, { runningRequests, queuedRequests: 0 });
            const requestId = request.headers["x-request-id"] ?? "";
            const body = Buffer.from(request.body).toString("utf8");
            runs.push({ requestId, method: request.method, path: request.path, body, atMs: host.clock.nowMs() });
            runningRequests++;
            await sleep(host.timers, serviceMs * (0.5 + host.random.nextFloat()));
            runningRequests--;
            await sendJson(response, 200, { method: request.method, path: request.path, body, requestId });
        },
    };
}

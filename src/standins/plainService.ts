/** Simulated HTTP service that is not a model engine. It records each request that it ran and when. */
import type { Host, HttpHandler, HttpResponse } from "../kernel/host.js";
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
    /** Breaks the connections of the requests that it runs. */
    crash(): void;
}

/**
 * Creates a service that takes between 0.5 and 1.5 times `serviceMs` for each request. A path that ends with `?status=N` is answered with that
 * status.
 */
export function createPlainService(host: Host, serviceMs = 20): PlainService {
    const runs: ServiceRun[] = [];
    const running = new Set<HttpResponse>();
    return {
        runs,
        crash() {
            for (const response of running) response.abort();
            running.clear();
        },
        async handle(request, response) {
            if (request.path === "/load") return sendJson(response, 200, { runningRequests: running.size, queuedRequests: 0 });
            const requestId = request.headers["x-request-id"] ?? "";
            const body = Buffer.from(request.body).toString("utf8");
            runs.push({ requestId, method: request.method, path: request.path, body, atMs: host.clock.nowMs() });
            running.add(response);
            await sleep(host.timers, serviceMs * (0.5 + host.random.nextFloat()));
            if (!running.delete(response)) return;
            const status = Number(/\?status=(\d{3})$/.exec(request.path)?.[1] ?? 200);
            await sendJson(response, status, { method: request.method, path: request.path, body, requestId });
        },
    };
}

/** HTTP endpoints that every process serves: health, readiness and metrics. */
import type { HttpHandler, HttpResponse } from "./host.js";
import { createMetricsPage } from "./metrics.js";
import type { MetricSource } from "./metrics.js";

/** Sources of the common endpoints of a process. */
export interface ProcessEndpoints {
    readonly isReady: () => boolean;
    readonly readMetrics: MetricSource;
    /** Handles all other requests. */
    readonly handler: HttpHandler;
}

type Endpoint = (response: HttpResponse) => Promise<void>;

/** Creates the HTTP handler of a process. */
export function createProcessHandler(endpoints: ProcessEndpoints): HttpHandler {
    const getMetricsPage = createMetricsPage(endpoints.readMetrics);
    const endpointsByPath: Readonly<Record<string, Endpoint>> = {
        "/healthz": response => sendText(response, 200, "ok\n"),
        "/readyz": response => endpoints.isReady() ? sendText(response, 200, "ready\n") : sendText(response, 503, "not ready\n"),
        "/metrics": async response => sendText(response, 200, await getMetricsPage()),
    };
    return (request, response) => {
        const endpoint = Object.hasOwn(endpointsByPath, request.path) && request.method === "GET"
            ? endpointsByPath[request.path]
            : undefined;
        return endpoint === undefined ? endpoints.handler(request, response) : endpoint(response);
    };
}

/** Sends a complete text response. */
export async function sendText(
    response: HttpResponse,
    status: number,
    text: string,
    contentType = "text/plain; charset=utf-8",
): Promise<void> {
    response.start(status, { "content-type": contentType });
    await response.write(Buffer.from(text));
    response.end();
}

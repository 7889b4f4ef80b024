/** Adapter for a plain service. It forwards the request unchanged and returns the response body in base64 chunks. */
import { NotSentError } from "../../kernel/host.js";
import type { Host } from "../../kernel/host.js";
import { maxMessageBytes } from "../../kernel/readLimits.js";
import { getErrorText, readAll } from "../../kernel/tasks.js";
import type { Address } from "../../kernel/types.js";
import type { BackendServerAdapter, BackendServerLoad } from "../types.js";

const noTokens = { promptTokens: 0, completionTokens: 0 } as const;

/** Creates an adapter for the service at an address. */
export function createPlainServiceAdapter(host: Host, address: Address): BackendServerAdapter {
    return {
        async run(dispatch, body, signal, sink) {
            const hasBody = dispatch.method !== "GET" && dispatch.method !== "HEAD";
            try {
                const reply = await host.network.request(address, {
                    method: dispatch.method,
                    path: dispatch.path,
                    headers: { "content-type": dispatch.contentType, "x-request-id": dispatch.requestId },
                    body: hasBody ? body : undefined,
                    signal,
                });
                sink.head(reply.status, reply.headers["content-type"] ?? "application/octet-stream");
                for await (const bytes of reply.body) await sink.chunk(Buffer.from(bytes).toString("base64"));
                return { kind: "finished", usage: noTokens };
            }
            catch (error) {
                if (signal.aborted) return { kind: "stopped", usage: noTokens };
                if (error instanceof NotSentError) return { kind: "notRun", detail: error.message };
                return { kind: "broken", detail: getErrorText(error) };
            }
        },
        async refreshLoad(): Promise<BackendServerLoad> {
            const reply = await host.network.request(address, { method: "GET", path: "/load" });
            const load = JSON.parse(Buffer.from(await readAll(reply.body, maxMessageBytes.loadReport)).toString("utf8")) as {
                runningRequests: number;
                queuedRequests: number;
            };
            return {
                isHealthy: true,
                runningRequests: load.runningRequests,
                queuedRequests: load.queuedRequests,
                tokensPerSecond: 0,
                cacheAdded: [],
                cacheRemoved: [],
            };
        },
        countPromptTokens: () => Promise.resolve(undefined),
        applyOrder: () => Promise.resolve(false),
    };
}

/** tRPC links of the production host to other processes of the fleet, over undici's keep-alive connections. */
import { httpBatchLink, httpLink } from "@trpc/client";
import type { OperationLink, TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import { request as undiciRequest } from "undici";
import type { Agent } from "undici";
import { failureDomainHeader } from "./callCounts.js";
import type { CallCounts } from "./callCounts.js";
import { fleetSecretHeader } from "./fleetSecret.js";
import { isLongPoll } from "./rpc.js";
import type { Address } from "./types.js";

/** Path prefix of calls that a relay forwards. The address of the target process follows it. */
export const relayPrefix = "/relay/";

/** Must be longer than every long poll. */
const peerCallTimeoutMs = 75_000;
/** Largest number of calls over HTTP in one request. */
export const maxBatchItems = 64;

// The answer to a batch arrives when its slowest call is done. Therefore only calls of one procedure share a batch, and a long poll is
// sent alone.
/** Creates a link to the router of another process, through a relay if one is given. */
export function createHttpLink(
    address: Address,
    pool: Agent,
    fleetSecret: string,
    counts: CallCounts,
    relay?: Address,
): TRPCLink<AnyRouter> {
    const options = {
        url: relay === undefined ? `http://${address}/rpc` : `http://${relay}${relayPrefix}${address}/rpc`,
        methodOverride: "POST" as const,
        headers: { [fleetSecretHeader]: fleetSecret, [failureDomainHeader]: counts.ownDomain },
        fetch: (url: unknown, init: unknown) => callPeer(pool, counts, String(url), init as PeerCall),
    };
    return runtime => {
        const sendAlone = httpLink<AnyRouter>(options)(runtime);
        const batchesByProcedure = new Map<string, OperationLink<AnyRouter>>();
        const getBatch = (procedure: string) => {
            const batch = batchesByProcedure.get(procedure) ?? httpBatchLink<AnyRouter>({ ...options, maxItems: maxBatchItems })(runtime);
            batchesByProcedure.set(procedure, batch);
            return batch;
        };
        return request => (isLongPoll(request.op.context) ? sendAlone : getBatch(request.op.path))(request);
    };
}

/** Returns the procedure of the path or URL of a call over HTTP, and the number of calls in its batch. */
export function readCallPath(path: string): { readonly procedure: string; readonly callCount: number; } {
    const procedures = path.slice(path.lastIndexOf("/rpc/") + "/rpc/".length).split("?", 1)[0]!.split(",");
    return { procedure: procedures[0]!, callCount: procedures.length };
}

/** The part of `RequestInit` that the tRPC link sets. */
interface PeerCall {
    readonly method: "GET" | "POST";
    readonly headers: Record<string, string>;
    readonly body?: string;
    readonly signal?: AbortSignal;
}

// Implements only the part of `fetch` that the tRPC link needs. The full `fetch` costs several times as much.
async function callPeer(
    pool: Agent,
    counts: CallCounts,
    url: string,
    call: PeerCall,
): Promise<{ readonly ok: boolean; json(): Promise<unknown>; }> {
    const { method, headers, body, signal } = call;
    // The timeouts ensure that a call on a dead connection does not occupy it forever.
    const response = await undiciRequest(url, {
        dispatcher: pool,
        method,
        headers,
        body,
        signal,
        headersTimeout: peerCallTimeoutMs,
        bodyTimeout: peerCallTimeoutMs,
    });
    return {
        ok: response.statusCode < 300,
        async json() {
            const text = await response.body.text();
            const { procedure, callCount } = readCallPath(url);
            const peer = counts.locate(response.headers[failureDomainHeader] as string | undefined);
            counts.add({ side: "caller", procedure, peer }, callCount, {
                sentBytes: Buffer.byteLength(body ?? ""),
                receivedBytes: Buffer.byteLength(text),
            });
            return JSON.parse(text) as unknown;
        },
    };
}

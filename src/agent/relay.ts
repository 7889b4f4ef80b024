/**
 * A relay forwards RPC calls between processes of the fleet that cannot reach each other directly. It does not interpret the
 * calls. Control decides by the contents of a call alone, so no guarantee depends on the relay.
 */
import { failureDomainHeader } from "../kernel/callCounts.js";
import type { Host, HttpHandler, HttpRequest, HttpResponse } from "../kernel/host.js";
import { readCallPath, relayPrefix } from "../kernel/rpcLinks.js";
import { getErrorText } from "../kernel/tasks.js";
import type { Address } from "../kernel/types.js";

/** Options of a relay. */
export interface RelayOptions {
    /** Port of the fleet's RPC servers. Calls to any other port are not forwarded. */
    readonly fleetPort: number;
    readonly isAuthentic: (request: HttpRequest) => boolean;
}

interface ForwardingTarget {
    readonly address: Address;
    readonly path: string;
}

/** Creates the HTTP handler of a relay. It responds with 404 to anything that is not a relayed call. */
export function createRelay(host: Host, options: RelayOptions): HttpHandler {
    const log = host.createLogger("relay");
    const counts = host.network.callCounts;
    return async (request, response) => {
        const target = parseTarget(request.path, options.fleetPort);
        if (target === undefined) return sendStatus(response, 404);
        if (!options.isAuthentic(request)) return sendStatus(response, 401);
        const { procedure, callCount } = readCallPath(target.path);
        const requestBytes = request.body.length;
        let replyBytes = 0;
        let targetDomain: string | undefined;
        try {
            const reply = await host.network.request(target.address, {
                method: request.method,
                path: target.path,
                headers: {
                    "content-type": request.headers["content-type"] ?? "application/json",
                    [failureDomainHeader]: counts.ownDomain,
                },
                body: request.body.length > 0 ? request.body : undefined,
                signal: request.signal,
            });
            targetDomain = reply.headers[failureDomainHeader];
            response.start(reply.status, {
                "content-type": reply.headers["content-type"] ?? "application/json",
                [failureDomainHeader]: counts.ownDomain,
            });
            for await (const chunk of reply.body) {
                replyBytes += chunk.length;
                await response.write(chunk);
            }
            response.end();
        }
        catch (error) {
            log.debug("Forwarding a relayed call failed.", { address: target.address, detail: getErrorText(error) });
            if (response.hasStarted) response.abort();
            else sendStatus(response, 502);
        }
        finally {
            const peer = counts.locate(request.headers[failureDomainHeader]);
            counts.add({ side: "relay", procedure, peer }, callCount, { sentBytes: replyBytes, receivedBytes: requestBytes });
            const next = { side: "relay", procedure, peer: counts.locate(targetDomain) } as const;
            counts.add(next, callCount, { sentBytes: requestBytes, receivedBytes: replyBytes });
        }
    };
}

// Forwards over one hop only: the path after the address must be an RPC call, not another relay path.
function parseTarget(path: string, fleetPort: number): ForwardingTarget | undefined {
    if (!path.startsWith(relayPrefix)) return undefined;
    const end = path.indexOf("/", relayPrefix.length);
    const address = path.slice(relayPrefix.length, end);
    const rest = path.slice(end);
    return end > 0 && address.endsWith(`:${fleetPort}`) && rest.startsWith("/rpc/") ? { address, path: rest } : undefined;
}

function sendStatus(response: HttpResponse, status: number): void {
    response.start(status, { "content-length": "0" });
    response.end();
}

/**
 * tRPC links on kept WebSocket connections, one for each process that is called. The client of `@trpc/client` is not used: it keeps calls
 * until it can connect, waits longer after each failed attempt, and closes a silent connection only when its peer agrees.
 */
import { TRPCClientError } from "@trpc/client";
import type { TRPCLink } from "@trpc/client";
import type { AnyRouter } from "@trpc/server";
import { observable } from "@trpc/server/observable";
import type { Unsubscribable } from "@trpc/server/observable";
import type { CallCounts } from "./callCounts.js";
import type { Clock, Logger } from "./host.js";
import { openRpcConnection } from "./rpcConnection.js";
import type { RpcConnection } from "./rpcConnection.js";
import type { Address } from "./types.js";

/** Links that share one connection for each address. */
export interface RpcSockets {
    /** Returns a link to a process. It uses the other link while the process does not take WebSocket connections. */
    linkTo(address: Address, httpLink: TRPCLink<AnyRouter>): TRPCLink<AnyRouter>;
}

/** Options of the connections. */
export interface RpcSocketOptions {
    readonly fleetSecret: string;
    readonly clock: Clock;
    readonly log: Logger;
    readonly counts: CallCounts;
    readonly connectTimeoutMs: number;
}

/** Time after which calls to a process of an earlier version look again for its WebSocket server. */
const httpOnlyMs = 10_000;

// All routers of a process are served at its one address, and no call holds up another one. Therefore one connection suffices for all
// clients of the address.
/** Creates links without connections. The first call to an address opens one. */
export function createRpcSockets(options: RpcSocketOptions): RpcSockets {
    const { clock, log } = options;
    const connections = new Map<Address, RpcConnection>();
    const httpOnlyUntilMs = new Map<Address, number>();

    return {
        linkTo: (address, httpLink) => runtime => {
            const sendOverHttp = httpLink(runtime);
            return request => {
                if (clock.nowMs() < (httpOnlyUntilMs.get(address) ?? 0)) return sendOverHttp(request);
                return observable(observer => {
                    let overHttp: Unsubscribable | undefined;
                    const forget = getConnection(address).call({
                        op: request.op,
                        succeed(data) {
                            observer.next({ result: { type: "data", data } });
                            observer.complete();
                        },
                        fail: error => observer.error(TRPCClientError.from(error)),
                        sendOverHttp() {
                            overHttp = sendOverHttp(request).subscribe(observer);
                        },
                    });
                    const giveUp = () => {
                        forget();
                        overHttp?.unsubscribe();
                    };
                    request.op.signal?.addEventListener("abort", giveUp, { once: true });
                    return giveUp;
                });
            };
        },
    };

    function getConnection(address: Address): RpcConnection {
        const current = connections.get(address);
        if (current?.isUsable()) return current;
        const created = openRpcConnection(address, {
            ...options,
            onEnd() {
                if (connections.get(address) === created) connections.delete(address);
            },
            onHttpOnly(status) {
                const nowMs = clock.nowMs();
                for (const [known, untilMs] of httpOnlyUntilMs) if (untilMs <= nowMs) httpOnlyUntilMs.delete(known);
                httpOnlyUntilMs.set(address, nowMs + httpOnlyMs);
                log.info("A process takes no WebSocket connections. Calls to it use HTTP.", { address, status });
            },
        });
        connections.set(address, created);
        current?.retire();
        return created;
    }
}

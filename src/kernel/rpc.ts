/** Shared tRPC setup: the builder for all routers, and typed clients that use the host's links. */
import { createTRPCClient } from "@trpc/client";
import type { TRPCClient, TRPCLink } from "@trpc/client";
import { initTRPC } from "@trpc/server";
import type { AnyRouter } from "@trpc/server";
import type { Network } from "./host.js";
import type { Address } from "./types.js";

/** Builder of routers and procedures. */
export const rpc = initTRPC.create({ isDev: false });

/** Options of a call that the server may hold until there is something to report. */
export const longPollOptions = { context: { isLongPoll: true } } as const;

/** True if a call was made with `longPollOptions`. */
export function isLongPoll(context: Readonly<Record<string, unknown>>): boolean {
    return context.isLongPoll === true;
}

/** A cache of typed clients by address. */
export interface RpcClients<R extends AnyRouter> {
    get(address: Address, relay?: Address): TRPCClient<R>;
}

/** Creates a cache of clients. Clients hold no connections, so stale ones cost little and are never evicted. */
export function createRpcClients<R extends AnyRouter>(network: Network): RpcClients<R> {
    const clients = new Map<Address, TRPCClient<R>>();
    return {
        get(address, relay) {
            const key = relay === undefined ? address : `${relay} ${address}`;
            const cached = clients.get(key);
            if (cached !== undefined) return cached;
            const created = createTRPCClient<R>({ links: [network.linkTo(address, relay) as unknown as TRPCLink<R>] });
            clients.set(key, created);
            return created;
        },
    };
}

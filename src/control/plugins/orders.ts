/** Load orders for engines: the artifacts that each backend server must load, at the rate that the weight store allows. */
import type { EngineOrder } from "../../kernel/messages.js";
import type { ObjectIndex } from "../../kernel/objects.js";
import type { ControlPlugin } from "../../kernel/registry.js";
import type { FleetState } from "./fleet.js";

/** Dependencies of the orders plug-in. */
export interface OrdersOptions {
    readonly getObjects: () => ObjectIndex;
    readonly fleet: FleetState;
}

interface OrderRecord extends EngineOrder {
    readonly incarnation: string;
    readonly isDone: boolean;
}

const minuteMs = 60_000;

/** Creates the orders plug-in. */
export function createOrders(options: OrdersOptions): ControlPlugin {
    const orders = new Map<number, OrderRecord>();
    const nextLoadAtMs = new Map<string, number>();
    let epoch = 0;

    return {
        name: "orders",
        commands: {
            "orders.plan": (_input, context) => {
                // The term of the plan is the fencing epoch: orders of a deposed leader carry a lower one.
                epoch = Math.max(epoch, context.term);
                deleteOrdersOfDepartedAgents();
                return { planned: planLoads(context.index, context.nowMs) };
            },
            "orders.done": ({ orderId, isDone }) => {
                const order = orders.get(orderId);
                if (order !== undefined) orders.set(orderId, { ...order, isDone });
                return { isKnown: order !== undefined };
            },
        },
        queries: {
            "orders.for": ({ backendServer }, nowMs) => ({
                epoch,
                orders: [...orders.values()]
                    .filter(order => order.backendServer === backendServer && !order.isDone && order.notBeforeMs <= nowMs)
                    .map(({ orderId, action, artifact, notBeforeMs }) => ({
                        orderId,
                        epoch,
                        backendServer,
                        action,
                        artifact,
                        notBeforeMs,
                    })),
            }),
        },
        sections: [{
            name: "orders",
            save: () => ({ epoch, orders: [...orders.values()], nextLoadAtMs: [...nextLoadAtMs] }),
            load(data) {
                const saved = data as { epoch: number; orders: OrderRecord[]; nextLoadAtMs: [string, number][]; };
                epoch = saved.epoch;
                orders.clear();
                nextLoadAtMs.clear();
                for (const order of saved.orders) orders.set(order.orderId, order);
                for (const [pool, atMs] of saved.nextLoadAtMs) nextLoadAtMs.set(pool, atMs);
            },
        }],
    };

    function deleteOrdersOfDepartedAgents(): void {
        for (const order of orders.values()) {
            const agent = options.fleet.agents.get(order.incarnation);
            if (agent === undefined || agent.isSuperseded || agent.endedAtMs !== undefined) orders.delete(order.orderId);
        }
    }

    // Loads within a pool are spaced over time, so that the other backend servers keep their capacity during a rollout.
    function planLoads(index: number, nowMs: number): number {
        let planned = 0;
        for (const agent of options.fleet.agents.values()) {
            const pool = options.getObjects().get("backendServerPool", agent.pool);
            if (pool === undefined || agent.state !== "present" || agent.isSuperseded) continue;
            for (const artifact of pool.artifacts) {
                if (agent.adapters.includes(artifact) || hasOrder(agent.incarnation, artifact)) continue;
                const notBeforeMs = Math.max(nowMs, nextLoadAtMs.get(pool.name) ?? 0);
                nextLoadAtMs.set(pool.name, notBeforeMs + minuteMs / pool.maxLoadsPerMinute);
                // Order ids increase with the log index. The factor reserves an id range for the orders of one plan.
                const orderId = index * 10_000 + planned;
                planned++;
                orders.set(orderId, {
                    orderId,
                    epoch,
                    backendServer: agent.backendServer,
                    incarnation: agent.incarnation,
                    action: "load",
                    artifact,
                    notBeforeMs,
                    isDone: false,
                });
            }
        }
        return planned;
    }

    function hasOrder(incarnation: string, artifact: string): boolean {
        return [...orders.values()].some(order => order.incarnation === incarnation && order.artifact === artifact);
    }
}

/** Cost of one routing decision by the number of backend servers. */
import { createRouter } from "../src/entry/routing/router.js";
import { getPrefixHashes } from "../src/kernel/prefix.js";
import { createRandom } from "../src/standins/fakeHost.js";
import { measureCpuMicros, measureHeapBytes } from "./measureCost.js";

const fleetSizes = [8, 64, 512, 4_600] as const;
const decisions = 20_000;

/** Microseconds and bytes per decision, and bytes per backend server. */
export async function measureDecisions() {
    const rows = [];
    for (const backendServers of fleetSizes) {
        const create = () => createFilled(backendServers);
        const router = create();
        const request = {
            pool: "p",
            promptTokens: 2_000,
            prefixHashes: getPrefixHashes("a long job sheet ".repeat(500)),
            excluded: new Set<string>(),
            failureDomain: "d1",
        };
        const decide = () => {
            for (let index = 0; index < decisions; index++) {
                const choice = router.choose(request, 1);
                if (choice === undefined) throw new Error("no backend server was chosen");
            }
        };
        decide();
        const before = process.memoryUsage().heapUsed;
        const micros = await measureCpuMicros(decide, 3) / decisions;
        rows.push({
            backendServers,
            microsPerDecision: micros,
            bytesPerDecision: Math.max(0, process.memoryUsage().heapUsed - before) / (3 * decisions),
            bytesPerBackendServer: measureHeapBytes(create) / backendServers,
        });
    }
    return { rows };
}

function createFilled(backendServers: number) {
    const router = createRouter({ random: { nextUnit: createRandom(1), nextId: () => "" } });
    for (let index = 0; index < backendServers; index++) {
        router.learn({
            agent: {
                backendServer: `engine-${index}`,
                vm: `vm-${index}`,
                failureDomain: `d${index % 8}`,
                incarnation: `i-${index}`,
                address: `10.0.0.${index % 250}:1`,
                kind: "modelEngine",
                pool: "p",
                models: ["m"],
                adapters: [],
                checksFencing: true,
                maxConcurrent: 16,
            },
            sequence: 1,
            isLeaving: false,
            isHealthy: true,
            outstandingRequests: index % 12,
            pendingTokens: (index * 37) % 4_000,
            runningRequests: 1,
            queuedRequests: 0,
            queuedTokens: 0,
            tokensPerSecond: 8_000,
            ageMs: 1,
            cacheAdded: [],
            cacheRemoved: [],
        }, 0);
    }
    return router;
}

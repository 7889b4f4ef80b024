/** Benchmark of a routing decision for several numbers of backend servers. */
import { createRouter } from "../src/entry/routing/router.js";
import { getPrefixHashes } from "../src/kernel/prefix.js";
import { createRandom } from "../src/standins/fakeHost.js";
import { measureCpuMicros, measureHeapBytes } from "./measureCost.js";
import { createFirstReport } from "./reports.js";

const backendServerCounts = [8, 64, 512, 4_600] as const;
const decisionsPerRun = 20_000;

/** Measures CPU time and heap growth per decision, and heap use per backend server. */
export async function measureDecisions() {
    const rows = [];
    for (const backendServers of backendServerCounts) {
        const create = () => createRouterWithBackendServers(backendServers);
        const router = create();
        const request = {
            pool: "lovage-pool",
            promptTokens: 2_000,
            prefixHashes: getPrefixHashes("a long job sheet ".repeat(500)),
            excluded: new Set<string>(),
            failureDomain: "d1",
        };
        const decide = () => {
            for (let index = 0; index < decisionsPerRun; index++) {
                const choice = router.choose(request, 1);
                if (choice === undefined) throw new Error("the router chose no backend server");
            }
        };
        decide();
        const heapBytesBefore = process.memoryUsage().heapUsed;
        const microsPerDecision = await measureCpuMicros(decide, 3) / decisionsPerRun;
        rows.push({
            backendServers,
            microsPerDecision,
            bytesPerDecision: Math.max(0, process.memoryUsage().heapUsed - heapBytesBefore) / (3 * decisionsPerRun),
            bytesPerBackendServer: measureHeapBytes(create) / backendServers,
        });
    }
    return { rows };
}

function createRouterWithBackendServers(count: number) {
    const router = createRouter({ random: { nextFloat: createRandom(1), nextId: () => "" } });
    for (let index = 0; index < count; index++) router.applyReport(createFirstReport(index), 0);
    return router;
}

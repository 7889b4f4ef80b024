/** Cost of one routing decision by the number of backend servers. */
import { createRouter } from "../src/entry/routing/router.js";
import { getPrefixHashes } from "../src/kernel/prefix.js";
import { createRandom } from "../src/standins/fakeHost.js";
import { measureCpuMicros, measureHeapBytes } from "./measureCost.js";
import { createFirstReport } from "./reports.js";

const fleetSizes = [8, 64, 512, 4_600] as const;
const decisions = 20_000;

/** Microseconds and bytes per decision, and bytes per backend server. */
export async function measureDecisions() {
    const rows = [];
    for (const backendServers of fleetSizes) {
        const create = () => createFilled(backendServers);
        const router = create();
        const request = {
            pool: "lovage-pool",
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
    const router = createRouter({ random: { nextFloat: createRandom(1), nextId: () => "" } });
    for (let index = 0; index < backendServers; index++) router.applyReport(createFirstReport(index), 0);
    return router;
}

/** CPU costs of RPC calls over the loopback interface, with client and server in this process. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { createEntryRouter } from "../src/kernel/contracts.js";
import type { EntryRouter } from "../src/kernel/contracts.js";
import { fleetSecretHeader } from "../src/kernel/fleetSecret.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createRpcClients } from "../src/kernel/rpc.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { measureCpuMicros } from "./measureCost.js";
import { createReport } from "./reports.js";

/** CPU time of one call, client and server together, in microseconds. */
export interface CallCosts {
    readonly unbatchedCpuMicros: number;
    /** With `batchSize` calls in flight, which the client sends in batches. */
    readonly batchedCpuMicros: number;
    readonly batchSize: number;
}

const callCount = 2_000;
const batchSize = 50;
const fleetSecret = "bench";

/** Measures calls that carry a load report, sent one by one and in batches. */
export async function measureCalls(): Promise<CallCosts> {
    const host = createNodeHost({ fleetSecret, createLogger: createSilentLogger });
    const router = createEntryRouter({ report: () => Promise.resolve({ nextReportMs: 500, wantsAgent: false }) });
    const listener = await host.network.serve({
        address: "127.0.0.1:0",
        handler: (_request, response) => Promise.resolve(response.abort()),
        router,
        maxBodyBytes: 1e6,
    });
    const batched = createRpcClients<EntryRouter>(host.network).get(listener.address);
    const unbatched = createTRPCClient<EntryRouter>({
        links: [httpLink({ url: `http://${listener.address}/rpc`, headers: { [fleetSecretHeader]: fleetSecret } })],
    });
    const report = createReport(1, 1);
    const sendBatched = async () => {
        for (let sentCount = 0; sentCount < callCount; sentCount += batchSize) {
            await Promise.all(Array.from({ length: batchSize }, () => batched.report.mutate(report)));
        }
    };
    const sendUnbatched = async () => {
        for (let sentCount = 0; sentCount < callCount; sentCount++) await unbatched.report.mutate(report);
    };
    await sendBatched();
    const costs = {
        unbatchedCpuMicros: await measureCpuMicros(sendUnbatched, 2) / callCount,
        batchedCpuMicros: await measureCpuMicros(sendBatched, 3) / callCount,
        batchSize,
    };
    await listener.close();
    return costs;
}

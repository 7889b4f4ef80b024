/** Costs of calls between processes, measured over loopback with both sides in this process. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { createEntryRouter } from "../src/kernel/contracts.js";
import type { EntryRouter } from "../src/kernel/contracts.js";
import { createNodeHost, fleetSecretHeader } from "../src/kernel/hostNode.js";
import { createRpcClients } from "../src/kernel/rpc.js";
import { measureCpuMicros } from "./measureCost.js";
import { createReport } from "./reports.js";

/** Processor time of one call, both sides together, in microseconds. */
export interface CallCosts {
    readonly unbatchedCpuMicros: number;
    /** With this many calls in flight that share batches. */
    readonly batchedCpuMicros: number;
    readonly batchSize: number;
}

const callCount = 2_000;
const batchSize = 50;
const fleetSecret = "bench";

/** Measures a load report as a call, alone and batched. */
export async function measureCalls(): Promise<CallCosts> {
    const createSilentLogger = () => ({ debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined });
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
    const runBatched = async () => {
        for (let done = 0; done < callCount; done += batchSize) {
            await Promise.all(Array.from({ length: batchSize }, () => batched.report.mutate(report)));
        }
    };
    const runUnbatched = async () => {
        for (let done = 0; done < callCount; done++) await unbatched.report.mutate(report);
    };
    await runBatched();
    const costs = {
        unbatchedCpuMicros: await measureCpuMicros(runUnbatched, 2) / callCount,
        batchedCpuMicros: await measureCpuMicros(runBatched, 3) / callCount,
        batchSize,
    };
    await listener.close();
    return costs;
}

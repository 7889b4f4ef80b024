/** Benchmark of the replicated log on a real disk and the loopback interface: commit rate by calls in flight, and restart time. */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { Control } from "../src/control/control.js";
import type { Host } from "../src/kernel/host.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { findFreeAddress } from "../src/standins/freeAddress.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { initializeControl, startControl } from "../src/wiring.js";
import type { RunningProcess } from "../src/wiring.js";
import { createConfigurationObjects } from "./fleet.js";
import { measureMs } from "./measureCost.js";

const concurrencies = [1, 16, 256] as const;
const runMs = 2_000;
const accountCount = 8_900;
const budgetCount = 11_000;

/** Measures the commit rate of one and of three voters, then the restart of a voter that holds a state of the target size. */
export async function measureLog() {
    return { oneVoter: await measureCommits(1), threeVoters: await measureCommits(3), restart: await measureRestart() };
}

interface VoterGroup {
    readonly host: Host;
    readonly processes: readonly RunningProcess<Control>[];
    readonly folder: string;
    readonly getLeader: () => RunningProcess<Control>;
    close(): Promise<void>;
}

async function startVoterGroup(size: number): Promise<VoterGroup> {
    const host = createNodeHost({ fleetSecret: "bench", createLogger: createSilentLogger });
    const folder = await mkdtemp(join(tmpdir(), "lovage-bench-"));
    const addresses: string[] = [];
    for (let index = 0; index < size; index++) addresses.push(await findFreeAddress(host));
    const members = addresses.map((address, index) => ({ voterId: `v${index}`, address, failureDomain: `d${index}` }));
    const processes: RunningProcess<Control>[] = [];
    for (const [index, member] of members.entries()) {
        const dataFolder = join(folder, member.voterId);
        await initializeControl(host, { dataFolder, groupId: "bench", voterId: member.voterId }, members);
        processes.push(await launchVoter(host, index, dataFolder, addresses));
    }
    const getLeader = () => processes.find(running => running.part.replica.getStatus().role === "leader")!;
    while (getLeader() === undefined) await new Promise(resolve => setTimeout(resolve, 20));
    return {
        host,
        processes,
        folder,
        getLeader,
        async close() {
            for (const running of processes) running.part.halt();
            for (const running of processes) await Promise.all(running.listeners.map(listener => listener.close()));
            await rm(folder, { recursive: true, force: true });
        },
    };
}

function launchVoter(host: Host, index: number, dataFolder: string, addresses: readonly string[]): Promise<RunningProcess<Control>> {
    return startControl(host, {
        vm: `c${index}`,
        failureDomain: `d${index}`,
        listen: addresses[index]!,
        administrationListen: addresses[index]!,
        controlAddresses: addresses,
        voterId: `v${index}`,
        groupId: "bench",
        dataFolder,
        operatorToken: "bench",
    });
}

async function measureCommits(size: number) {
    const group = await startVoterGroup(size);
    const rows = [];
    for (const concurrency of concurrencies) {
        const endMs = performance.now() + runMs;
        let commits = 0;
        const proposeUntilEnd = async () => {
            while (performance.now() < endMs) {
                const result = await group.getLeader().part.replica.propose(`op-${commits}-${Math.random()}`, "claims.release", {
                    clientAccount: "a",
                    key: "k",
                    requestId: "r",
                });
                if (result.kind === "applied") commits++;
            }
        };
        const elapsedMs = await measureMs(() => Promise.all(Array.from({ length: concurrency }, proposeUntilEnd)));
        rows.push({ inFlight: concurrency, commitsPerSecond: Math.round(commits / elapsedMs * 1_000) });
    }
    await group.close();
    return rows;
}

async function measureRestart() {
    const group = await startVoterGroup(1);
    const { getLeader } = group;
    const accountObjects = createConfigurationObjects(Array.from({ length: accountCount }, (_, index) => `account-${index}`), "cascade");
    const unassignedBudgets = Array.from(
        { length: budgetCount - accountCount },
        (_, index) => ({ kind: "budget", name: `spare-${index}`, clientAccounts: [], policy: "cascade" }),
    );
    const objects = [...accountObjects, ...unassignedBudgets];
    const submit = (kind: "configuration.apply" | "budgets.topUp", input: object, operationId: string) =>
        getLeader().part.api.submit({ operationId, kind, input: { ...input, actor: "bench" } });
    const applyMs = await measureMs(() => submit("configuration.apply", { baseVersion: 0, changeId: "c", objects }, "c"));
    const budgetNames = objects.flatMap(object =>
        (object as { kind: string; name: string; }).kind === "budget" ? [(object as { name: string; }).name] : []
    );
    const topUpMs = await measureMs(() => Promise.all(budgetNames.map(budget => submit("budgets.topUp", { budget, tokens: 1e6 }, budget))));
    const heapBytes = process.memoryUsage().heapUsed;
    const running = getLeader();
    running.part.halt();
    await Promise.all(running.listeners.map(listener => listener.close()));
    const address = running.listeners[0]!.address;
    let restarted: RunningProcess<Control> | undefined;
    const restartMs = await measureMs(async () => {
        restarted = await launchVoter(group.host, 0, join(group.folder, "v0"), [address]);
        while (restarted.part.replica.getStatus().role !== "leader" || restarted.part.state.ledger.listViews().length < budgetCount) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
    });
    restarted!.part.halt();
    await Promise.all(restarted!.listeners.map(listener => listener.close()));
    await rm(group.folder, { recursive: true, force: true });
    return { clientAccounts: accountCount, budgets: budgetCount, applyMs, topUpMs, restartFromLogMs: restartMs, heapBytes };
}

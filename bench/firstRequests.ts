/** Processor time of a new process for its first requests, with and without a warm-up before them. */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { platformProtocol } from "../platform/requests.js";
import { warmUp } from "../src/entry/direct/warmUp.js";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createSilentLogger } from "../src/standins/silentLogger.js";

const firstRequests = 50;
const repetitions = 5;
const microsecondsPerMs = 1_000;

/** Mean processor time of one of the first requests, both ends of its connections included. */
export interface FirstRequestsResult {
    readonly coldMs: number;
    readonly warmMs: number;
}

/** Measures new processes, one after the other. */
export async function measureFirstRequests(): Promise<FirstRequestsResult> {
    return { coldMs: await measureProcesses("cold"), warmMs: await measureProcesses("warm") };
}

async function measureProcesses(mode: "cold" | "warm"): Promise<number> {
    let totalMs = 0;
    for (let count = 0; count < repetitions; count++) {
        const { stdout } = await promisify(execFile)(process.execPath, [fileURLToPath(import.meta.url), mode]);
        totalMs += Number(stdout);
    }
    return Math.round(totalMs / repetitions * 100) / 100;
}

// The first requests are sample requests too: they take the path of a caller's request over real sockets.
async function runProcess(mode: string): Promise<void> {
    const host = createNodeHost({ fleetSecret: "", createLogger: createSilentLogger });
    const identity = { vm: "e1", role: "entry", failureDomain: "a", incarnation: "i1", address: "127.0.0.1:1" } as const;
    if (mode === "warm") await warmUp(host, { protocol: platformProtocol, identity, isOver: () => false });
    const before = process.cpuUsage();
    let requests = 0;
    await warmUp(host, { protocol: platformProtocol, identity, isOver: () => requests++ >= firstRequests || recordEnd(before) });
    process.stdout.write(String(usedMs / firstRequests));
    process.exit();
}

let usedMs = 0;

// Measured before each request, so that the end of the gateway is not counted.
function recordEnd(before: NodeJS.CpuUsage): false {
    const { user, system } = process.cpuUsage(before);
    usedMs = (user + system) / microsecondsPerMs;
    return false;
}

if (process.argv[1] === fileURLToPath(import.meta.url)) void runProcess(process.argv[2] ?? "cold");

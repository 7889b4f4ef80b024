/**
 * Start, recovery, memory and disk of three control VMs after a number of configuration changes. Real processes of the platform's program
 * are killed at the same moment and started again on their disks.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdir, mkdtemp, readdir, readFile, rm, stat, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { checkDefined } from "../src/kernel/debug.js";

const program = fileURLToPath(new URL("../platform/programs/control.js", import.meta.url));
const ips = ["127.0.0.2", "127.0.0.3", "127.0.0.4"];
const fleetPort = 17_440;
const controlPort = 17_441;
const routeCount = 130;
const accountCount = 50;
const kibibyte = 1024;
const attemptTimeoutMs = 2_000;
const retryDelayMs = 5;
const giveUpMs = 60_000;

/** What the VMs take after a history of changes. Maxima over the three VMs. */
interface HistoryResult {
    readonly changes: number;
    /** From the start of the processes until the last one listens, until a change is acknowledged, and the same on empty disks. */
    readonly listeningMs: number;
    readonly acknowledgedMs: number;
    readonly diskKiB: number;
    /** Peak resident memory before the kill and after the restart. */
    readonly peakBeforeMiB: number;
    readonly peakAfterMiB: number;
}

interface ControlProcess {
    readonly ip: string;
    readonly folder: string;
    child?: ChildProcess;
}

/** Measures histories of these lengths, one after the other on the same disks. */
export async function measureHistory(lengths: readonly number[] = [1, 100, 1_000, 10_000]): Promise<{ readonly histories: object; }> {
    const root = await mkdtemp(join(tmpdir(), "lovage-history-"));
    const processes = ips.map(ip => ({ ip, folder: join(root, ip) }) as ControlProcess);
    const histories: HistoryResult[] = [];
    let version = 0;
    try {
        await startAll(processes, true);
        for (const changes of lengths) {
            while (version < changes) await replaceConfiguration(++version);
            const diskKiB = await getMaximum(processes, getDiskKiB);
            const peakBeforeMiB = await getMaximum(processes, getPeakMiB);
            await killAll(processes);
            const startedAtMs = performance.now();
            await startAll(processes, false);
            const listeningMs = Math.round(performance.now() - startedAtMs);
            await replaceConfiguration(++version);
            const acknowledgedMs = Math.round(performance.now() - startedAtMs);
            histories.push({
                changes,
                listeningMs,
                acknowledgedMs,
                diskKiB,
                peakBeforeMiB,
                peakAfterMiB: await getMaximum(processes, getPeakMiB),
            });
        }
        return { histories };
    }
    finally {
        await killAll(processes);
        await rm(root, { recursive: true });
    }
}

async function startAll(processes: readonly ControlProcess[], isBootstrap: boolean): Promise<void> {
    await Promise.all(processes.map(async item => {
        await mkdir(item.folder, { recursive: true });
        const settingsFile = join(item.folder, "settings.json");
        await writeFile(settingsFile, JSON.stringify(createSettings(item, isBootstrap)));
        item.child = spawn(process.execPath, ["--max-old-space-size=200", program], {
            env: { LOVAGEFOLD_CONFIG: settingsFile },
            stdio: ["ignore", "ignore", "inherit"],
        });
    }));
    for (const { ip } of processes) await retry(() => send(ip, "GET", "/config/read", undefined), status => status > 0);
}

function createSettings({ ip, folder }: ControlProcess, isBootstrap: boolean): object {
    return {
        node_name: ip,
        ip,
        zone: ip,
        port_range: [fleetPort, fleetPort + 9],
        seeds: ips.map(seed => `${seed}:${controlPort}`),
        bootstrap: isBootstrap,
        data_dir: join(folder, "data"),
        listen: { control: `${ip}:${controlPort}` },
        fault_tolerance: { machines: 1 },
    };
}

async function killAll(processes: readonly ControlProcess[]): Promise<void> {
    await Promise.all(processes.map(({ child }) =>
        new Promise<void>(resolve => {
            if (child === undefined || child.exitCode !== null || child.signalCode !== null) return resolve();
            child.once("exit", () => resolve());
            child.kill("SIGKILL");
        })
    ));
}

async function replaceConfiguration(version: number): Promise<void> {
    const body = JSON.stringify(createDocument(version));
    let attempts = 0;
    await retry(() => send(ips[attempts++ % ips.length]!, "POST", "/config/replace", body), status => status === 200);
}

/** A set of the size of the users' deployments, of which each version changes one route. */
function createDocument(version: number): object {
    const routes = Array.from({ length: routeCount }, (_, index) => ({
        name: `route-${index}`,
        host: "caller.example",
        path_prefix: `/prefix-${index}/`,
        type: "streaming",
        timeout_ms: 5_000 + (index === version % routeCount ? version : 0),
        slo_ms: 300,
        priority: 0,
        service: "models",
        attempts: 2,
        public: false,
        sticky: true,
        resumable: true,
        itl_target_ms: 200,
    }));
    const tenants = Array.from({ length: accountCount }, (_, index) => ({
        name: `tenant-${index}`,
        api_keys: [`key-${index}-a`, `key-${index}-b`],
        priority: 1,
        reserved: 1_000_000,
    }));
    const services = [{ name: "models", health_path: "/healthz", max_conns: 240, protocol: "h1", tls: false }];
    const limits = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };
    return { version, routes, services, limits, tenants };
}

/** Returns the status, or 0 if there was no answer. */
async function send(ip: string, method: "GET" | "POST", path: string, body: string | undefined): Promise<number> {
    try {
        const answer = await request(`http://${ip}:${controlPort}${path}`, {
            method,
            body,
            headers: { "content-type": "application/json" },
            headersTimeout: attemptTimeoutMs,
        });
        await answer.body.dump();
        return answer.statusCode;
    }
    catch {
        return 0;
    }
}

async function retry(attempt: () => Promise<number>, isDone: (status: number) => boolean): Promise<void> {
    const deadlineMs = performance.now() + giveUpMs;
    while (!isDone(await attempt())) {
        if (performance.now() > deadlineMs) throw new Error(`control did not answer within ${giveUpMs} ms`);
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
}

async function getMaximum(processes: readonly ControlProcess[], read: (item: ControlProcess) => Promise<number>): Promise<number> {
    return Math.max(...await Promise.all(processes.map(read)));
}

async function getDiskKiB({ folder }: ControlProcess): Promise<number> {
    const files = await readdir(join(folder, "data"));
    const sizes = await Promise.all(files.map(async file => (await stat(join(folder, "data", file))).size));
    return Math.round(sizes.reduce((total, size) => total + size, 0) / kibibyte);
}

async function getPeakMiB({ child }: ControlProcess): Promise<number> {
    const status = await readFile(`/proc/${child?.pid}/status`, "utf8");
    const peak = checkDefined(/VmHWM:\s+(\d+) kB/.exec(status)?.[1], "the system must tell the peak memory of a process");
    return Math.round(Number(peak) / kibibyte);
}

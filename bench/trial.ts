/**
 * `npm run trial`: the binaries on loopback, killed with SIGKILL and restarted in a seeded order under load. Afterwards
 * callers' records, the stand-ins' run logs and the ledger are compared. Ends only processes that it started.
 */
import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { createNodeHost } from "../src/kernel/hostNode.js";
import { createAdministrationClient } from "../src/operator/client.js";
import type { AdministrationClient } from "../src/operator/client.js";
import { createRandom } from "../src/standins/fakeHost.js";
import { findFreeAddress } from "../src/standins/freeAddress.js";
import { countPromptTokens, createModelEngine, getExpectedAnswer } from "../src/standins/modelEngine.js";
import { createPlainService } from "../src/standins/plainService.js";
import { sendChat, sendOrder } from "./caller.js";
import type { CallerRecord } from "./caller.js";
import { createSet } from "./fleet.js";

const seed = Number(process.env["LOVAGE_TRIAL_SEED"] ?? 1);
const runMs = Number(process.env["LOVAGE_TRIAL_MS"] ?? 30_000);
const requestsPerSecond = 15;
const secret = "trial-secret";
const token = "trial-token";
const accounts = ["a", "b"] as const;
const toppedUpTokens = { a: 1_000_000, b: 6_000 } as const;
const quiet = () => ({ debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined });
const settleLimitMs = 200_000;

interface Part {
    readonly name: string;
    readonly program: string;
    readonly args: readonly string[];
    child: ChildProcess | undefined;
}

interface Sent {
    readonly account: (typeof accounts)[number];
    readonly costTokens: number;
    readonly prompt: string;
    readonly records: CallerRecord[];
}

const random = createRandom(seed);
const host = createNodeHost({ fleetSecret: secret, createLogger: quiet });
const folder = await mkdtemp(join(tmpdir(), "lovage-trial-"));
const engines = Array.from({ length: 3 }, () => createModelEngine(host, { stepMs: 8, restartMs: 500 }));
const service = createPlainService(host);
const sent: Sent[] = [];
const orders = new Map<string, string[]>();
let live = 0;

const controlAddresses = await findFreeAddresses(3);
const entryAddresses = await findFreeAddresses(2);
const parts = await createParts();
await initializeVoters();
for (const part of parts) launch(part);
const administration = createAdministrationClient(`http://${controlAddresses[0]}`, token, "trial");
await prepare();
const kills = await Promise.all([sendAll(), killAll()]).then(([, count]) => count);
for (let waitedMs = 0; live > 0 && waitedMs < 60_000; waitedMs += 200) await sleep(200);
await waitUntilSettled();
const result = await summarize();
process.stdout.write(`${JSON.stringify({ seed, kills, ...result })}\n`);
for (const part of parts) part.child?.kill("SIGKILL");
await rm(folder, { recursive: true, force: true });
const isBroken = result.overspendTokens + result.doubleBills + result.doubleRuns + result.notRunThatRan + result.wrongAnswers > 0;
process.exit(isBroken ? 1 : 0);

function findFreeAddresses(count: number): Promise<readonly string[]> {
    return Promise.all(Array.from({ length: count }, () => findFreeAddress(host)));
}

async function createParts(): Promise<readonly Part[]> {
    const common = ["--control", controlAddresses.join(","), "--log-level", "warn"];
    const controls = controlAddresses.map((listen, index) =>
        createPart(`control-${index}`, "lovage-control", [
            ...common,
            "--listen",
            listen,
            "--voter-id",
            `v${index}`,
            "--data",
            join(folder, `v${index}`),
        ])
    );
    const fleetAddresses = await findFreeAddresses(2);
    const entries = entryAddresses.map((listen, index) =>
        createPart(`entry-${index}`, "lovage-entry", [...common, "--listen", listen, "--fleet-listen", fleetAddresses[index]!])
    );
    const handlers = [...engines.map(engine => engine.handle), service.handle];
    const agentAddresses = await findFreeAddresses(handlers.length);
    const agents = await Promise.all(handlers.map(async (handler, index) => {
        const listener = await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes: 1e7 });
        const kind = index < engines.length
            ? ["modelEngine", "--pool", "lovage-pool", "--models", "lovage-pool"]
            : ["plainService", "--pool", "shopdesk"];
        const place = [
            "--listen",
            agentAddresses[index]!,
            "--backend-server",
            `server-${index}`,
            "--backend-server-address",
            listener.address,
        ];
        return createPart(`agent-${index}`, "lovage-agent", [...common, ...place, "--kind", ...kind]);
    }));
    return [...controls, ...entries, ...agents];
}

function createPart(name: string, program: string, args: readonly string[]): Part {
    return { name, program, args: ["run", "--vm", name, "--failure-domain", "pnw-a", ...args], child: undefined };
}

async function initializeVoters(): Promise<void> {
    const voters = controlAddresses.map((address, index) => `v${index}=${address}=pnw-${index}`).join(",");
    for (const index of controlAddresses.keys()) {
        const args = ["init", "--voter-id", `v${index}`, "--data", join(folder, `v${index}`), "--voters", voters];
        await new Promise(resolve => start("lovage-control", args).on("exit", resolve));
    }
}

function start(program: string, args: readonly string[]): ChildProcess {
    const file = fileURLToPath(new URL(`../src/programs/${program}.js`, import.meta.url));
    const env = { ...process.env, LOVAGE_FLEET_SECRET: secret, LOVAGE_OPERATOR_TOKEN: token };
    return spawn(process.execPath, [file, ...args], { env, stdio: ["ignore", "ignore", "inherit"] });
}

function launch(part: Part): void {
    part.child = start(part.program, part.args);
}

async function retry<T>(work: () => Promise<T>): Promise<T> {
    for (let tries = 0;; tries++) {
        try {
            return await work();
        }
        catch (error) {
            if (tries > 100) throw error;
            await sleep(200);
        }
    }
}

async function prepare(): Promise<void> {
    const objects = [...createSet(accounts, "cascade")];
    await writeFile(join(folder, "set.json"), JSON.stringify({ objects }));
    await retry(() => administration.submit("configuration.apply", { baseVersion: 0, changeId: "trial", objects }, "trial-apply"));
    for (const name of accounts) {
        const input = { budget: `budget-${name}`, tokens: toppedUpTokens[name] };
        await retry(() => administration.submit("budgets.topUp", input, `trial-${name}`));
    }
    await retry(async () => {
        const record = await sendChat(host, entryAddresses[0]!, { clientAccount: "a", prompt: "ready?", maxTokens: 1 });
        const other = await sendOrder(host, entryAddresses[1]!, "a", "ready?", "ready");
        if (!record.isWhole || other.status !== 200) throw new Error("not ready");
    });
    note("a", "ready?", 1, []);
}

function note(account: (typeof accounts)[number], prompt: string, maxTokens: number, records: CallerRecord[]): Sent {
    const costTokens = countPromptTokens([{ content: prompt }]) + getExpectedAnswer(prompt, maxTokens).split(" ").length;
    const item = { account, prompt, costTokens, records };
    sent.push(item);
    return item;
}

async function sendAll(): Promise<void> {
    const endMs = performance.now() + runMs;
    while (performance.now() < endMs) {
        await sleep(-Math.log(1 - random()) * 1_000 / requestsPerSecond);
        live++;
        void (random() < 0.2 ? sendOneOrder() : sendOneChat()).finally(() => live--);
    }
}

async function sendOneChat(): Promise<void> {
    const prompt = `${sent.length} ${"tab ".repeat(Math.floor(random() * 20))}`;
    const item = note(random() < 0.7 ? "a" : "b", prompt, 32, []);
    const key = random() < 0.5 ? `k${sent.length}` : undefined;
    const isStreamed = random() < 0.5;
    for (let sends = 0; sends < (key === undefined ? 1 : 4); sends++) {
        const address = entryAddresses[Math.floor(random() * entryAddresses.length)]!;
        const record = await sendChat(host, address, {
            clientAccount: item.account,
            prompt,
            maxTokens: 32,
            isStreamed,
            idempotencyKey: key,
            timeoutMs: 15_000,
        });
        item.records.push(record);
        if (record.isWhole || record.code === "budgetExhausted") return;
        await sleep(500 + random() * 1_500);
    }
}

async function sendOneOrder(): Promise<void> {
    const key = `order-${orders.size}`;
    orders.set(key, []);
    for (let sends = 0; sends < 4; sends++) {
        const address = entryAddresses[Math.floor(random() * entryAddresses.length)]!;
        const record = await sendOrder(host, address, "a", key, key);
        orders.get(key)!.push(record.verdict);
        if (record.status === 200) return;
        await sleep(500 + random() * 1_500);
    }
}

// One part at a time, so that control always has a quorum in the end.
async function killAll(): Promise<number> {
    const endMs = performance.now() + runMs;
    let count = 0;
    while (performance.now() < endMs - 4_000) {
        await sleep(1_000 + random() * 2_000);
        const part = parts[Math.floor(random() * parts.length)]!;
        part.child?.kill("SIGKILL");
        count++;
        await sleep(200 + random() * 1_500);
        launch(part);
    }
    return count;
}

async function waitUntilSettled(): Promise<void> {
    for (let waitedMs = 0; waitedMs < settleLimitMs; waitedMs += 2_000) {
        const { leases } = await retry(() => administration.query("leases.list", {}));
        if (leases.every(lease => lease.state === "inDoubt")) return;
        await sleep(2_000);
    }
}

async function summarize() {
    const contentKeys = new Set(engines.flatMap(engine => [...engine.runs.values()].map(run => run.promptDigest)));
    const ranIds = new Set(engines.flatMap(engine => [...engine.runs.keys()].map(id => id.split(".")[0]!)));
    const views = await Promise.all(accounts.map(name => getView(administration, name)));
    const balances = accounts.map((name, index) => {
        const own = sent.filter(item => item.account === name);
        const sum = (items: readonly Sent[]) => items.reduce((total, item) => total + item.costTokens, 0);
        return {
            view: views[index]!,
            deliveredTokens: sum(own.filter(item => item.records.some(record => record.isWhole))),
            ranTokens: sum(own.filter(item => contentKeys.has(getExpectedAnswer(item.prompt, 1)))),
        };
    });
    const records = sent.flatMap(item => item.records);
    const countRuns = (key: string) => service.runs.filter(run => run.body === key).length;
    return {
        requests: sent.length,
        orders: orders.size,
        answered: sent.filter(item => item.records.some(record => record.isWhole)).length,
        overspendTokens: balances.reduce(
            (sum, { view, deliveredTokens }) => sum + Math.max(0, Math.max(deliveredTokens, view.settledTokens) - view.toppedUpTokens),
            0,
        ),
        doubleBills: balances.filter(({ view, ranTokens }) => view.settledTokens - view.writtenOffTokens > ranTokens).length,
        unbilledTokens: balances.reduce((sum, { view, deliveredTokens }) => sum + Math.max(0, deliveredTokens - view.settledTokens), 0),
        doubleRuns: [...orders.keys()].filter(key => countRuns(key) > 1).length,
        notRunThatRan: records.filter(record => record.verdict === "not-run" && ranIds.has(record.requestId)).length
            + [...orders].filter(([key, verdicts]) =>
                verdicts.length > 0 && verdicts.every(verdict => verdict === "not-run") && countRuns(key) > 0
            ).length,
        wrongAnswers: records.filter(record => record.isWhole && !record.isRight).length,
        refusals: records.filter(record => record.code === "budgetExhausted").length,
        inDoubtTokens: views.reduce((sum, view) => sum + view.inDoubtTokens, 0),
    };
}

async function getView(client: AdministrationClient, name: string) {
    const { budget } = await retry(() => client.query("budgets.show", { budget: `budget-${name}` }));
    return budget!;
}

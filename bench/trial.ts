/**
 * `npm run trial`: runs the binaries on the loopback interface under load, kills them with SIGKILL and restarts them in a
 * seeded order. Afterwards it compares the callers' records, the stand-ins' run logs and the ledger. It kills only
 * processes that it started.
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
import { createSilentLogger } from "../src/standins/silentLogger.js";
import { sendChat, sendOrder } from "./caller.js";
import type { CallerRecord } from "./caller.js";
import { createConfigurationObjects } from "./fleet.js";

const seed = Number(process.env["LOVAGE_TRIAL_SEED"] ?? 1);
const runMs = Number(process.env["LOVAGE_TRIAL_MS"] ?? 30_000);
const requestsPerSecond = 15;
const fleetSecret = "trial-secret";
const operatorToken = "trial-token";
const accounts = ["a", "b"] as const;
const toppedUpTokens = { a: 1_000_000, b: 6_000 } as const;
const settleTimeoutMs = 200_000;

interface TrialProcess {
    readonly name: string;
    readonly program: string;
    readonly args: readonly string[];
    child: ChildProcess | undefined;
}

/** A chat request with the records of all its sends. */
interface SentRequest {
    readonly account: (typeof accounts)[number];
    readonly costTokens: number;
    readonly prompt: string;
    readonly records: CallerRecord[];
}

const random = createRandom(seed);
const host = createNodeHost({ fleetSecret, createLogger: createSilentLogger });
const rootFolder = await mkdtemp(join(tmpdir(), "lovage-trial-"));
const engines = Array.from({ length: 3 }, () => createModelEngine(host, { stepMs: 8, restartMs: 500 }));
const service = createPlainService(host);
const sentRequests: SentRequest[] = [];
const orders = new Map<string, string[]>();
let requestsInFlight = 0;

const controlAddresses = await findFreeAddresses(3);
const entryAddresses = await findFreeAddresses(2);
const trialProcesses = await createTrialProcesses();
await initializeVoters();
for (const trialProcess of trialProcesses) startTrialProcess(trialProcess);
const administration = createAdministrationClient(`http://${controlAddresses[0]}`, operatorToken, "trial");
await applyInitialState();
const kills = await Promise.all([generateLoad(), killAndRestartProcesses()]).then(([, count]) => count);
for (let waitedMs = 0; requestsInFlight > 0 && waitedMs < 60_000; waitedMs += 200) await sleep(200);
await waitUntilSettled();
const result = await summarize();
process.stdout.write(`${JSON.stringify({ seed, kills, ...result })}\n`);
for (const trialProcess of trialProcesses) trialProcess.child?.kill("SIGKILL");
await rm(rootFolder, { recursive: true, force: true });
const violatesInvariants = result.overspendTokens + result.doubleBills + result.doubleRuns + result.notRunThatRan + result.wrongAnswers > 0;
process.exit(violatesInvariants ? 1 : 0);

function findFreeAddresses(count: number): Promise<readonly string[]> {
    return Promise.all(Array.from({ length: count }, () => findFreeAddress(host)));
}

async function createTrialProcesses(): Promise<readonly TrialProcess[]> {
    const commonArgs = ["--control", controlAddresses.join(","), "--log-level", "warn"];
    const controls = controlAddresses.map((listen, index) =>
        createTrialProcess(`control-${index}`, "lovage-control", [
            ...commonArgs,
            "--listen",
            listen,
            "--voter-id",
            `v${index}`,
            "--data",
            join(rootFolder, `v${index}`),
        ])
    );
    const fleetAddresses = await findFreeAddresses(2);
    const entries = entryAddresses.map((listen, index) =>
        createTrialProcess(`entry-${index}`, "lovage-entry", [...commonArgs, "--listen", listen, "--fleet-listen", fleetAddresses[index]!])
    );
    const handlers = [...engines.map(engine => engine.handle), service.handle];
    const agentAddresses = await findFreeAddresses(handlers.length);
    const agents = await Promise.all(handlers.map(async (handler, index) => {
        const listener = await host.network.serve({ address: "127.0.0.1:0", handler, maxBodyBytes: 1e7 });
        const kind = index < engines.length
            ? ["modelEngine", "--pool", "lovage-pool", "--models", "lovage-pool"]
            : ["plainService", "--pool", "shopdesk"];
        const addressArgs = [
            "--listen",
            agentAddresses[index]!,
            "--backend-server",
            `server-${index}`,
            "--backend-server-address",
            listener.address,
        ];
        return createTrialProcess(`agent-${index}`, "lovage-agent", [...commonArgs, ...addressArgs, "--kind", ...kind]);
    }));
    return [...controls, ...entries, ...agents];
}

function createTrialProcess(name: string, program: string, args: readonly string[]): TrialProcess {
    return { name, program, args: ["run", "--vm", name, "--failure-domain", "pnw-a", ...args], child: undefined };
}

async function initializeVoters(): Promise<void> {
    const voters = controlAddresses.map((address, index) => `v${index}=${address}=pnw-${index}`).join(",");
    for (const index of controlAddresses.keys()) {
        const args = ["init", "--voter-id", `v${index}`, "--data", join(rootFolder, `v${index}`), "--voters", voters];
        await new Promise(resolve => spawnProgram("lovage-control", args).on("exit", resolve));
    }
}

function spawnProgram(program: string, args: readonly string[]): ChildProcess {
    const file = fileURLToPath(new URL(`../src/programs/${program}.js`, import.meta.url));
    const env = { ...process.env, LOVAGE_FLEET_SECRET: fleetSecret, LOVAGE_OPERATOR_TOKEN: operatorToken };
    return spawn(process.execPath, [file, ...args], { env, stdio: ["ignore", "ignore", "inherit"] });
}

function startTrialProcess(trialProcess: TrialProcess): void {
    trialProcess.child = spawnProgram(trialProcess.program, trialProcess.args);
}

async function retryUntilSuccess<T>(operation: () => Promise<T>): Promise<T> {
    for (let attempt = 0;; attempt++) {
        try {
            return await operation();
        }
        catch (error) {
            if (attempt > 100) throw error;
            await sleep(200);
        }
    }
}

async function applyInitialState(): Promise<void> {
    const objects = [...createConfigurationObjects(accounts, "cascade")];
    await writeFile(join(rootFolder, "set.json"), JSON.stringify({ objects }));
    await retryUntilSuccess(() =>
        administration.submit("configuration.apply", { baseVersion: 0, changeId: "trial", objects }, "trial-apply")
    );
    for (const name of accounts) {
        const input = { budget: `budget-${name}`, tokens: toppedUpTokens[name] };
        await retryUntilSuccess(() => administration.submit("budgets.topUp", input, `trial-${name}`));
    }
    await retryUntilSuccess(async () => {
        const record = await sendChat(host, entryAddresses[0]!, { clientAccount: "a", prompt: "ready?", maxTokens: 1 });
        const orderRecord = await sendOrder(host, entryAddresses[1]!, "a", "ready?", "ready");
        if (!record.isComplete || orderRecord.status !== 200) throw new Error("the fleet does not serve requests yet");
    });
    recordRequest("a", "ready?", 1, []);
}

function recordRequest(account: (typeof accounts)[number], prompt: string, maxTokens: number, records: CallerRecord[]): SentRequest {
    const costTokens = countPromptTokens([{ content: prompt }]) + getExpectedAnswer(prompt, maxTokens).split(" ").length;
    const request = { account, prompt, costTokens, records };
    sentRequests.push(request);
    return request;
}

async function generateLoad(): Promise<void> {
    const endMs = performance.now() + runMs;
    while (performance.now() < endMs) {
        await sleep(-Math.log(1 - random()) * 1_000 / requestsPerSecond);
        requestsInFlight++;
        void (random() < 0.2 ? sendOrderWithRetries() : sendChatWithRetries()).finally(() => requestsInFlight--);
    }
}

async function sendChatWithRetries(): Promise<void> {
    const prompt = `${sentRequests.length} ${"tab ".repeat(Math.floor(random() * 20))}`;
    const request = recordRequest(random() < 0.7 ? "a" : "b", prompt, 32, []);
    const key = random() < 0.5 ? `k${sentRequests.length}` : undefined;
    const isStreamed = random() < 0.5;
    for (let sends = 0; sends < (key === undefined ? 1 : 4); sends++) {
        const address = entryAddresses[Math.floor(random() * entryAddresses.length)]!;
        const record = await sendChat(host, address, {
            clientAccount: request.account,
            prompt,
            maxTokens: 32,
            isStreamed,
            idempotencyKey: key,
            timeoutMs: 15_000,
        });
        request.records.push(record);
        if (record.isComplete || record.code === "budgetExhausted") return;
        await sleep(500 + random() * 1_500);
    }
}

async function sendOrderWithRetries(): Promise<void> {
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

// Kills one process at a time and restarts it before the next, so that control can always regain a quorum.
async function killAndRestartProcesses(): Promise<number> {
    const endMs = performance.now() + runMs;
    let count = 0;
    while (performance.now() < endMs - 4_000) {
        await sleep(1_000 + random() * 2_000);
        const trialProcess = trialProcesses[Math.floor(random() * trialProcesses.length)]!;
        trialProcess.child?.kill("SIGKILL");
        count++;
        await sleep(200 + random() * 1_500);
        startTrialProcess(trialProcess);
    }
    return count;
}

// A lease in doubt stays until an operator releases it, so it does not count as unsettled.
async function waitUntilSettled(): Promise<void> {
    for (let waitedMs = 0; waitedMs < settleTimeoutMs; waitedMs += 2_000) {
        const { leases } = await retryUntilSuccess(() => administration.query("leases.list", {}));
        if (leases.every(lease => lease.state === "inDoubt")) return;
        await sleep(2_000);
    }
}

async function summarize() {
    const executedPrompts = new Set(engines.flatMap(engine => [...engine.runs.values()].map(run => run.promptDigest)));
    const executedRequestIds = new Set(engines.flatMap(engine => [...engine.runs.keys()].map(id => id.split(".")[0]!)));
    const budgetViews = await Promise.all(accounts.map(name => getBudgetView(administration, name)));
    const accountResults = accounts.map((name, index) => {
        const accountRequests = sentRequests.filter(request => request.account === name);
        const sum = (requests: readonly SentRequest[]) => requests.reduce((total, request) => total + request.costTokens, 0);
        return {
            view: budgetViews[index]!,
            deliveredTokens: sum(accountRequests.filter(request => request.records.some(record => record.isComplete))),
            ranTokens: sum(accountRequests.filter(request => executedPrompts.has(getExpectedAnswer(request.prompt, 1)))),
        };
    });
    const records = sentRequests.flatMap(request => request.records);
    const countRuns = (key: string) => service.runs.filter(run => run.body === key).length;
    return {
        requests: sentRequests.length,
        orders: orders.size,
        answered: sentRequests.filter(request => request.records.some(record => record.isComplete)).length,
        overspendTokens: accountResults.reduce(
            (sum, { view, deliveredTokens }) => sum + Math.max(0, Math.max(deliveredTokens, view.settledTokens) - view.toppedUpTokens),
            0,
        ),
        doubleBills: accountResults.filter(({ view, ranTokens }) => view.settledTokens - view.writtenOffTokens > ranTokens).length,
        unbilledTokens: accountResults.reduce(
            (sum, { view, deliveredTokens }) => sum + Math.max(0, deliveredTokens - view.settledTokens),
            0,
        ),
        doubleRuns: [...orders.keys()].filter(key => countRuns(key) > 1).length,
        notRunThatRan: records.filter(record => record.verdict === "not-run" && executedRequestIds.has(record.requestId)).length
            + [...orders].filter(([key, verdicts]) =>
                verdicts.length > 0 && verdicts.every(verdict => verdict === "not-run") && countRuns(key) > 0
            ).length,
        wrongAnswers: records.filter(record => record.isComplete && !record.isCorrect).length,
        refusals: records.filter(record => record.code === "budgetExhausted").length,
        inDoubtTokens: budgetViews.reduce((sum, view) => sum + view.inDoubtTokens, 0),
    };
}

async function getBudgetView(client: AdministrationClient, name: string) {
    const { budget } = await retryUntilSuccess(() => client.query("budgets.show", { budget: `budget-${name}` }));
    return budget!;
}

/** Runs a budget scenario on a simulated fleet and compares what callers, stand-ins and the ledger recorded. */
import { leaseRules } from "../src/control/plugins/budgets/types.js";
import type { LeaseManager } from "../src/entry/budgets/leaseManager.js";
import type { Host } from "../src/kernel/host.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { countPromptTokens, getExpectedAnswer } from "../src/standins/modelEngine.js";
import { createCentralLeases, createOptimisticLeases, createStaticSplitLeases } from "./baselines.js";
import type { BudgetDesign, SharedBudgetState } from "./baselines.js";
import { sendChat, sendOrder } from "./caller.js";
import type { CallerRecord } from "./caller.js";
import { createConfigurationObjects, createFleet } from "./fleet.js";
import { scenarios } from "./scenarios.js";
import type { ScenarioContext, ScenarioName } from "./scenarios.js";

/** Options of a run. */
export interface BudgetRunOptions {
    readonly scenario: ScenarioName;
    readonly policy: "cascade" | "suhara";
    readonly design: BudgetDesign;
    readonly seed: number;
}

/** Result of a run. */
export interface BudgetRunResult {
    readonly requests: number;
    readonly answered: number;
    /** Delivered or settled tokens, whichever is more, beyond what was topped up. */
    readonly overspendTokens: number;
    /** Budgets that were billed for more than their requests used. */
    readonly doubleBills: number;
    /** Orders that a service ran more than once. */
    readonly doubleRuns: number;
    /** Requests that were reported as not run although they ran. */
    readonly notRunThatRan: number;
    readonly wrongAnswers: number;
    /** Refused requests that a ledger with a global, current view would have admitted. */
    readonly falseRefusals: number;
    /** Those of them for which the tokens were on the entry's side of the partition. */
    readonly reachableFalseRefusals: number;
    readonly trueRefusals: number;
    /** Incomplete answers for other reasons than the budget. */
    readonly otherRefusals: number;
    readonly unbilledTokens: number;
    /** Tokens that the policy for lost work settled although their use is unknown. */
    readonly writtenOffTokens: number;
    /** Tokens that are still leased or in doubt at the end. */
    readonly strandedTokens: number;
    /** Largest part of any budget that is stranded. */
    readonly strandedShare: number;
    /** Longest time from the crash of an entry until its leases were closed. */
    readonly recoveryMs: number;
    readonly controlCallsPerRequest: number;
    /** Observations of an entry with an older configuration version than before. */
    readonly versionsFell: number;
}

/** A chat request together with its resends. */
interface LogicalRequest {
    readonly clientAccount: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly costTokens: number;
    readonly key: string | undefined;
    records: CallerRecord[];
}

interface Refusal {
    readonly request: LogicalRequest;
    /** True when a ledger with a global, current view would have admitted the request. */
    readonly isFalse: boolean;
    /** True when the refusal is false and the tokens were on the entry's side of the partition. */
    readonly hadReachableTokens: boolean;
}

const accountWeights = [8, 5, 3, 1, 1, 1, 1, 1, 0.5, 0.5] as const;
const requestsPerSecond = 12;
const idempotencyKeyShare = 0.3;
const orderShare = 0.05;
const maxSends = 3;
const entryCount = 3;
const engineCounts = { cascade: 8, suhara: 13 } as const;
const serviceCount = 3;
const meanCostTokens = 60;
/** Time after the last request in which leases are renewed, settled and closed. */
const settleTimeMs = 70_000;
/** Calls to control are counted only after this time. Before it, each entry serves each account for the first time. */
const warmUpMs = 20_000;
const maxRecoveryWaitMs = 700_000;

/** Runs a scenario once with one seed. */
export async function runBudgetScenario(options: BudgetRunOptions): Promise<BudgetRunResult> {
    const scenario = scenarios[options.scenario];
    const simulation = createSimulation(options.seed);
    const accounts = accountWeights.map((_, index) => `acct-${index}`);
    const totalWeight = accountWeights.reduce((sum, weight) => sum + weight, 0);
    const getDemandTokens = (index: number) =>
        Math.ceil(accountWeights[index]! / totalWeight * requestsPerSecond * scenario.durationMs / 1_000 * meanCostTokens);
    const toppedUpByBudget = new Map(
        accounts.map((name, index) => [`budget-${name}`, Math.ceil(getDemandTokens(index) * scenario.balanceShare)]),
    );
    const shared: SharedBudgetState = { toppedUpByBudget, spentByBudget: new Map(), calls: 0 };
    const partition = { isBlocked: (_from: string, _to: string) => false };
    const isQuorumUnreachable = (entryIp: string) =>
        ["10.0.1.1", "10.0.1.2", "10.0.1.3"].filter(ip => partition.isBlocked(entryIp, ip)).length > 1;
    const fleet = await createFleet(simulation, {
        controls: 3,
        entries: entryCount,
        engines: engineCounts[options.policy],
        services: serviceCount,
        objects: createConfigurationObjects(accounts, options.policy),
        topUps: Object.fromEntries(toppedUpByBudget),
        engine: { tokensPerChunk: 16 },
        leaseRules: options.design === "noRecall" ? disableRecall() : leaseRules,
        entryOverrides: { createLeases: createBaselineFactory() },
    });
    const logicalRequests: LogicalRequest[] = [];
    const refusals: Refusal[] = [];
    const orders = new Map<string, string[]>();
    let requestsInFlight = 0;
    let otherRefusals = 0;
    let versionRegressions = 0;
    let recoveryMs = 0;
    let steadyStateCalls = 0;
    let steadyStateRequests = 0;
    const highestVersions = new Map<number, number>();

    const context: ScenarioContext = {
        fleet,
        isolateFailureDomain(domain) {
            const isInDomain = (ip: string) =>
                !ip.startsWith("10.0.9") && !ip.startsWith("10.0.8") && (Number(ip.split(".")[3]) - 1) % 3 === domain;
            // Callers still reach every entry, as they do through the platform's load balancer.
            partition.isBlocked = (from, to) =>
                !from.startsWith("10.0.9") && !to.startsWith("10.0.9") && isInDomain(from) !== isInDomain(to);
            simulation.setPartition(partition.isBlocked);
        },
        isolateControl(index) {
            const ip = `10.0.1.${index + 1}`;
            partition.isBlocked = (from, to) => (from === ip) !== (to === ip);
            simulation.setPartition(partition.isBlocked);
        },
        healPartition() {
            partition.isBlocked = () => false;
            simulation.healPartition();
        },
        crashEntry(index) {
            fleet.entries[index]!.vm.crash();
            const incarnation = getEntryIncarnation(index);
            void measureRecovery(incarnation);
        },
        topUpAllBudgets(share, operationIdPrefix) {
            for (const [index, name] of accounts.entries()) {
                const tokens = Math.ceil(getDemandTokens(index) * share);
                const budget = `budget-${name}`;
                toppedUpByBudget.set(budget, toppedUpByBudget.get(budget)! + tokens);
                const callOptions = { timeoutMs: 60_000, operationId: `${operationIdPrefix}-${budget}` };
                void fleet.operator.submit("budgets.topUp", { budget, tokens, actor: "test" }, callOptions);
                // Sent twice, as by an operator who resends after a lost reply. The operation id makes the second call a no-op.
                void fleet.operator.submit("budgets.topUp", { budget, tokens, actor: "test" }, callOptions);
            }
        },
    };

    for (const event of scenario.events(simulation.random)) schedule(event.atMs, () => void event.run(context));
    const arrivals = generateArrivals();
    await simulation.runUntil(arrivals, scenario.durationMs * 10);
    for (let waitedMs = 0; requestsInFlight > 0 && waitedMs < 300_000; waitedMs += 500) await simulation.advance(500);
    context.healPartition();
    simulation.setFaults({ lossProbability: 0, duplicationProbability: 0 });
    for (const index of fleet.entries.keys()) {
        if (!isEntryReady(index)) await fleet.restartEntry(index);
    }
    await simulation.advance(settleTimeMs);
    for (let waitedMs = 0; hasUnrecoveredLeases() && waitedMs < maxRecoveryWaitMs; waitedMs += 5_000) await simulation.advance(5_000);
    return summarize();

    function schedule(delayMs: number, run: () => void): void {
        fleet.callerVm.host.timers.after(delayMs, run);
    }

    function disableRecall(): typeof leaseRules {
        const { overspend, falseRefusals } = leaseRules;
        return { overspend: { ...overspend, isRecallEnabled: false }, falseRefusals: { ...falseRefusals, isRecallEnabled: false } };
    }

    function createBaselineFactory(): ((host: Host) => LeaseManager) | undefined {
        let createdCount = 0;
        const createFactory =
            (createManager: (host: Host, baseline: Parameters<typeof createStaticSplitLeases>[0]) => LeaseManager) => (host: Host) => {
                const ip = `10.0.2.${(createdCount++ % entryCount) + 1}`;
                return createManager(host, { shared, entryCount, isControlUnreachable: () => isQuorumUnreachable(ip) });
            };
        if (options.design === "staticSplit") return createFactory((_host, baseline) => createStaticSplitLeases(baseline));
        if (options.design === "central") return createFactory(createCentralLeases);
        if (options.design === "optimistic") return createFactory(createOptimisticLeases);
        return undefined;
    }

    function isBaseline(): boolean {
        return options.design !== "design" && options.design !== "noRecall";
    }

    async function generateArrivals(): Promise<void> {
        const { host } = fleet.callerVm;
        const endMs = simulation.nowMs() + scenario.durationMs;
        const steadyStateStartMs = simulation.nowMs() + warmUpMs;
        schedule(warmUpMs, () => {
            steadyStateCalls = -countControlCalls();
        });
        while (simulation.nowMs() < endMs) {
            await sleep(host.timers, -Math.log(1 - simulation.random()) * 1_000 / requestsPerSecond);
            requestsInFlight++;
            if (simulation.nowMs() >= steadyStateStartMs) steadyStateRequests++;
            const send = simulation.random() < orderShare ? sendOrderRequest() : sendChatRequest();
            void send.finally(() => requestsInFlight--);
            recordVersions();
        }
        steadyStateCalls += countControlCalls();
    }

    async function sendChatRequest(): Promise<void> {
        const account = pickAccount();
        const prompt = `${logicalRequests.length} ${"tab ".repeat(Math.floor(simulation.random() * 30))}`;
        const maxTokens = 64;
        const costTokens = countPromptTokens([{ content: prompt }]) + getExpectedAnswer(prompt, maxTokens).split(" ").length;
        const key = options.scenario !== "calm" && simulation.random() < idempotencyKeyShare ? `k${logicalRequests.length}` : undefined;
        const request: LogicalRequest = { clientAccount: account, prompt, maxTokens, costTokens, key, records: [] };
        logicalRequests.push(request);
        for (let sends = 0; sends < (key === undefined ? 1 : maxSends); sends++) {
            const entryIndex = Math.floor(simulation.random() * entryCount);
            const record = await sendChat(fleet.callerVm.host, fleet.getEntryAddress(entryIndex), {
                clientAccount: account,
                prompt,
                maxTokens,
                isStreamed: simulation.random() < 0.5,
                idempotencyKey: key,
                timeoutMs: 20_000,
            });
            request.records.push(record);
            if (record.isComplete) return;
            if (isBudgetRefusal(record)) return recordRefusal(request, entryIndex);
            otherRefusals++;
            await sleep(fleet.callerVm.host.timers, 500 + simulation.random() * 2_000);
        }
    }

    async function sendOrderRequest(): Promise<void> {
        const key = `order-${orders.size}`;
        orders.set(key, []);
        for (let sends = 0; sends < maxSends; sends++) {
            const entryIndex = Math.floor(simulation.random() * entryCount);
            const record = await sendOrder(fleet.callerVm.host, fleet.getEntryAddress(entryIndex), "acct-0", key, key);
            orders.get(key)!.push(record.verdict);
            if (record.status === 200) return;
            await sleep(fleet.callerVm.host.timers, 500 + simulation.random() * 2_000);
        }
    }

    function pickAccount(): string {
        let remainingWeight = simulation.random() * totalWeight;
        const index = accountWeights.findIndex(weight => (remainingWeight -= weight) < 0);
        return accounts[Math.max(0, index)]!;
    }

    // Decides whether the refusal was false. The reference is a ledger with a global, current view: it counts the answered
    // requests and those whose first attempt is still in flight, both at their true cost.
    function recordRefusal(request: LogicalRequest, entryIndex: number): void {
        const budget = `budget-${request.clientAccount}`;
        // That ledger would have admitted the earlier falsely refused requests, so their tokens are spent too.
        const falselyRefusedTokens = sumCost(
            refusals
                .filter(refusal => refusal.isFalse && refusal.request.clientAccount === request.clientAccount)
                .map(refusal => refusal.request),
        );
        const spentTokens = logicalRequests
            .filter(other =>
                other !== request && other.clientAccount === request.clientAccount &&
                (other.records.length === 0 || other.records.some(record => record.isComplete))
            )
            .reduce((sum, other) => sum + other.costTokens, 0);
        const isFalse = toppedUpByBudget.get(budget)! - spentTokens - falselyRefusedTokens >= request.costTokens;
        const reachableTokens = getReachableTokens(budget, entryIndex) - falselyRefusedTokens;
        refusals.push({ request, isFalse, hadReachableTokens: isFalse && reachableTokens >= request.costTokens });
    }

    function getReachableTokens(budget: string, entryIndex: number): number {
        const ip = `10.0.2.${entryIndex + 1}`;
        const reachableEntries = fleet.entries.filter(other => !partition.isBlocked(ip, other.vm.ip) && other.process !== undefined);
        const leasedTokens = reachableEntries.reduce((sum, other) => sum + other.process!.part.leases.getAvailableTokens(budget), 0);
        if (isQuorumUnreachable(ip)) return leasedTokens;
        const view = fleet.getLeader()?.process?.part.state.ledger.getView(budget);
        return leasedTokens + (isBaseline() ? 0 : view?.freeTokens ?? 0);
    }

    function countControlCalls(): number {
        if (isBaseline()) return shared.calls;
        return fleet.entries.reduce((sum, entry) => sum + (entry.process?.control.getCallCounts()["leases.renew"] ?? 0), 0);
    }

    function recordVersions(): void {
        for (const [index, entry] of fleet.entries.entries()) {
            const version = entry.process?.part.getVersion() ?? 0;
            if (version !== 0 && version < (highestVersions.get(index) ?? 0)) versionRegressions++;
            highestVersions.set(index, Math.max(version, highestVersions.get(index) ?? 0));
        }
    }

    function getEntryIncarnation(index: number): string | undefined {
        const leader = fleet.getLeader()?.process?.part;
        return [...leader?.state.fleet.entries.values() ?? []].find(entry => entry.vm === `entry-${index + 1}` && !entry.isSuperseded)
            ?.incarnation;
    }

    async function measureRecovery(incarnation: string | undefined): Promise<void> {
        const startedAtMs = simulation.nowMs();
        for (;;) {
            await sleep(fleet.callerVm.host.timers, 250);
            const ledger = fleet.getLeader()?.process?.part.state.ledger;
            if (ledger === undefined) continue;
            if ([...ledger.listLeases()].some(lease => lease.incarnation === incarnation)) continue;
            recoveryMs = Math.max(recoveryMs, simulation.nowMs() - startedAtMs);
            return;
        }
    }

    function isEntryReady(index: number): boolean {
        return fleet.entries[index]!.process!.part.isReady();
    }

    function hasUnrecoveredLeases(): boolean {
        const ledger = fleet.getLeader()?.process?.part.state.ledger;
        if (ledger === undefined) return true;
        const currentIncarnations = new Set(fleet.entries.map((_, index) => getEntryIncarnation(index)));
        return [...ledger.listLeases()].some(lease =>
            lease.state === "recovering" || (lease.state === "open" && !currentIncarnations.has(lease.incarnation))
        );
    }

    function summarize(): BudgetRunResult {
        const answeredRequests = logicalRequests.filter(request => request.records.some(record => record.isComplete));
        const ledger = fleet.getLeader()!.process!.part.state.ledger;
        let overspendTokens = 0;
        let doubleBills = 0;
        let unbilledTokens = 0;
        let writtenOffTokens = 0;
        let strandedTokens = 0;
        let strandedShare = 0;
        for (const name of accounts) {
            const budget = `budget-${name}`;
            const view = ledger.getView(budget)!;
            const deliveredTokens = sumCost(answeredRequests.filter(request => request.clientAccount === name));
            const executedTokens = sumCost(logicalRequests.filter(request => request.clientAccount === name && hasRun(request)));
            overspendTokens += Math.max(0, Math.max(deliveredTokens, view.settledTokens) - toppedUpByBudget.get(budget)!);
            if (isBaseline()) continue;
            writtenOffTokens += view.writtenOffTokens;
            if (view.settledTokens - view.writtenOffTokens > executedTokens) doubleBills++;
            unbilledTokens += Math.max(0, deliveredTokens - view.settledTokens);
            strandedTokens += view.leasedTokens + view.inDoubtTokens;
            strandedShare = Math.max(strandedShare, (view.leasedTokens + view.inDoubtTokens) / view.toppedUpTokens);
        }
        return {
            requests: logicalRequests.length,
            answered: answeredRequests.length,
            overspendTokens,
            doubleBills,
            doubleRuns: [...orders.keys()].filter(key => countServiceRuns(key) > 1).length,
            notRunThatRan: countNotRunThatRan(),
            wrongAnswers:
                logicalRequests.flatMap(request => request.records).filter(record => record.isComplete && !record.isCorrect).length,
            falseRefusals: refusals.filter(refusal => refusal.isFalse).length,
            reachableFalseRefusals: refusals.filter(refusal => refusal.hadReachableTokens).length,
            trueRefusals: refusals.filter(refusal => !refusal.isFalse).length,
            otherRefusals,
            unbilledTokens,
            writtenOffTokens,
            strandedTokens,
            strandedShare,
            recoveryMs,
            controlCallsPerRequest: steadyStateRequests === 0 ? 0 : steadyStateCalls / steadyStateRequests,
            versionsFell: versionRegressions,
        };
    }

    function sumCost(requests: readonly LogicalRequest[]): number {
        return requests.reduce((sum, request) => sum + request.costTokens, 0);
    }

    // The engines log each run under a digest of the prompt, with which the expected answer begins.
    function hasRun(request: LogicalRequest): boolean {
        const promptDigest = getExpectedAnswer(request.prompt, 1);
        return fleet.engines.some(engine => [...engine.runs.values()].some(run => run.promptDigest === promptDigest));
    }

    function countServiceRuns(key: string): number {
        return fleet.services.reduce((sum, service) => sum + service.runs.filter(run => run.body === key).length, 0);
    }

    function countNotRunThatRan(): number {
        const executedRequestIds = new Set(
            fleet.engines.flatMap(engine => [...engine.runs.keys()].map(requestId => requestId.split(".")[0]!)),
        );
        const misreportedChats = logicalRequests.flatMap(request => request.records)
            .filter(record => record.verdict === "not-run" && executedRequestIds.has(record.requestId))
            .length;
        const misreportedOrders =
            [...orders].filter(([key, verdicts]) => verdicts.every(verdict => verdict === "not-run") && countServiceRuns(key) > 0).length;
        return misreportedChats + misreportedOrders;
    }
}

function isBudgetRefusal(record: CallerRecord): boolean {
    return record.code === "budgetExhausted" || record.code === "budgetUnavailable";
}

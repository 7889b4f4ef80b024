/** One run of a budget scenario on a whole fake fleet, and what came of it. */
import { leaseRules } from "../src/control/plugins/budgets/types.js";
import type { LeaseManager } from "../src/entry/budgets/leaseManager.js";
import type { Host } from "../src/kernel/host.js";
import { sleep } from "../src/kernel/tasks.js";
import { createSimulation } from "../src/standins/fakeHost.js";
import { countPromptTokens, getExpectedAnswer } from "../src/standins/modelEngine.js";
import { createCentral, createOptimistic, createStaticSplit } from "./baselines.js";
import type { BudgetDesign, SharedBudgets } from "./baselines.js";
import { sendChat, sendOrder } from "./caller.js";
import type { CallerRecord } from "./caller.js";
import { createFleet, createSet } from "./fleet.js";
import { scenarios } from "./scenarios.js";
import type { ScenarioContext, ScenarioName } from "./scenarios.js";

/** What to run. */
export interface BudgetRunOptions {
    readonly scenario: ScenarioName;
    readonly policy: "cascade" | "suhara";
    readonly design: BudgetDesign;
    readonly seed: number;
}

/** What came of it. */
export interface BudgetRunResult {
    readonly requests: number;
    readonly answered: number;
    readonly overspendTokens: number;
    readonly doubleBills: number;
    readonly doubleRuns: number;
    readonly notRunThatRan: number;
    readonly wrongAnswers: number;
    /** Refusals that a ledger which knows everything would have run. */
    readonly falseRefusals: number;
    /** Those of them where the tokens lay on the entry's own side of a cut. */
    readonly reachableFalseRefusals: number;
    readonly trueRefusals: number;
    readonly otherRefusals: number;
    readonly unbilledTokens: number;
    /** Tokens settled without a known use, by the policy for lost work. */
    readonly writtenOffTokens: number;
    readonly strandedTokens: number;
    readonly strandedShare: number;
    readonly recoveryMs: number;
    readonly controlCallsPerRequest: number;
    readonly versionsFell: number;
}

interface Logical {
    readonly clientAccount: string;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly costTokens: number;
    readonly key: string | undefined;
    records: CallerRecord[];
}

interface Refusal {
    readonly logical: Logical;
    readonly isFalse: boolean;
    readonly isReachable: boolean;
}

const accountWeights = [8, 5, 3, 1, 1, 1, 1, 1, 0.5, 0.5] as const;
const requestsPerSecond = 12;
const keyedShare = 0.3;
const orderShare = 0.05;
const maxSends = 3;
const entryCount = 3;
const engineCounts = { cascade: 8, suhara: 13 } as const;
const serviceCount = 3;
const meanCostTokens = 60;
const settleMs = 70_000;
/** Until then each entry meets each account for the first time. */
const warmUpMs = 20_000;
const recoveryLimitMs = 700_000;

/** Runs a scenario once. */
export async function runBudgetScenario(options: BudgetRunOptions): Promise<BudgetRunResult> {
    const scenario = scenarios[options.scenario];
    const world = createSimulation(options.seed);
    const accounts = accountWeights.map((_, index) => `acct-${index}`);
    const totalWeight = accountWeights.reduce((sum, weight) => sum + weight, 0);
    const getDemandTokens = (index: number) =>
        Math.ceil(accountWeights[index]! / totalWeight * requestsPerSecond * scenario.durationMs / 1_000 * meanCostTokens);
    const toppedUp = new Map(accounts.map((name, index) => [`budget-${name}`, Math.ceil(getDemandTokens(index) * scenario.balanceShare)]));
    const shared: SharedBudgets = { toppedUp, spent: new Map(), calls: 0 };
    const cuts = { isCut: (_from: string, _to: string) => false };
    const isEntryCut = (entryIp: string) => ["10.0.1.1", "10.0.1.2", "10.0.1.3"].filter(ip => cuts.isCut(entryIp, ip)).length > 1;
    const fleet = await createFleet(world, {
        controls: 3,
        entries: entryCount,
        engines: engineCounts[options.policy],
        services: serviceCount,
        objects: createSet(accounts, options.policy),
        topUps: Object.fromEntries(toppedUp),
        engine: { tokensPerChunk: 16 },
        leaseRules: options.design === "noRecall" ? withoutRecall() : leaseRules,
        entryOverrides: { createLeases: createBaselineFactory() },
    });
    const logicals: Logical[] = [];
    const refusals: Refusal[] = [];
    const orders = new Map<string, string[]>();
    let liveSends = 0;
    let otherRefusals = 0;
    let falls = 0;
    let recoveryMs = 0;
    let steadyCalls = 0;
    let steadyRequests = 0;
    const versions = new Map<number, number>();

    const context: ScenarioContext = {
        fleet,
        cutDomain(domain) {
            const isInside = (ip: string) =>
                !ip.startsWith("10.0.9") && !ip.startsWith("10.0.8") && (Number(ip.split(".")[3]) - 1) % 3 === domain;
            // Callers reach every entry, as through the platform's balancer.
            cuts.isCut = (from, to) => !from.startsWith("10.0.9") && !to.startsWith("10.0.9") && isInside(from) !== isInside(to);
            world.setPartition(cuts.isCut);
        },
        cutControl(index) {
            const ip = `10.0.1.${index + 1}`;
            cuts.isCut = (from, to) => (from === ip) !== (to === ip);
            world.setPartition(cuts.isCut);
        },
        heal() {
            cuts.isCut = () => false;
            world.healPartition();
        },
        killEntry(index) {
            fleet.entries[index]!.vm.crash();
            const incarnation = getIncarnation(index);
            void watchRecovery(incarnation);
        },
        topUpAll(share, id) {
            for (const [index, name] of accounts.entries()) {
                const tokens = Math.ceil(getDemandTokens(index) * share);
                const budget = `budget-${name}`;
                toppedUp.set(budget, toppedUp.get(budget)! + tokens);
                const call = { timeoutMs: 60_000, operationId: `${id}-${budget}` };
                void fleet.operator.submit("budgets.topUp", { budget, tokens, actor: "test" }, call);
                // Operators resend after a lost answer.
                void fleet.operator.submit("budgets.topUp", { budget, tokens, actor: "test" }, call);
            }
        },
    };

    for (const event of scenario.events(world.random)) schedule(event.atMs, () => void event.run(context));
    const arrivals = arrive();
    await world.runUntil(arrivals, scenario.durationMs * 10);
    for (let waitedMs = 0; liveSends > 0 && waitedMs < 300_000; waitedMs += 500) await world.advance(500);
    context.heal();
    world.setFaults({ lossProbability: 0, duplicationProbability: 0 });
    for (const index of fleet.entries.keys()) {
        if (!isAlive(index)) await fleet.restartEntry(index);
    }
    await world.advance(settleMs);
    for (let waitedMs = 0; hasRecovering() && waitedMs < recoveryLimitMs; waitedMs += 5_000) await world.advance(5_000);
    return summarize();

    function schedule(delayMs: number, run: () => void): void {
        fleet.callerVm.host.timers.after(delayMs, run);
    }

    function withoutRecall(): typeof leaseRules {
        const { overspend, falseRefusals } = leaseRules;
        return { overspend: { ...overspend, isRecallEnabled: false }, falseRefusals: { ...falseRefusals, isRecallEnabled: false } };
    }

    function createBaselineFactory(): ((host: Host) => LeaseManager) | undefined {
        let next = 0;
        const create = (make: (host: Host, baseline: Parameters<typeof createStaticSplit>[0]) => LeaseManager) => (host: Host) => {
            const ip = `10.0.2.${(next++ % entryCount) + 1}`;
            return make(host, { shared, entryCount, isCut: () => isEntryCut(ip) });
        };
        if (options.design === "staticSplit") return create((_host, baseline) => createStaticSplit(baseline));
        if (options.design === "central") return create(createCentral);
        if (options.design === "optimistic") return create(createOptimistic);
        return undefined;
    }

    function isBaseline(): boolean {
        return options.design !== "design" && options.design !== "noRecall";
    }

    async function arrive(): Promise<void> {
        const { host } = fleet.callerVm;
        const endMs = world.nowMs() + scenario.durationMs;
        const steadyFromMs = world.nowMs() + warmUpMs;
        schedule(warmUpMs, () => {
            steadyCalls = -countCalls();
        });
        while (world.nowMs() < endMs) {
            await sleep(host.timers, -Math.log(1 - world.random()) * 1_000 / requestsPerSecond);
            liveSends++;
            if (world.nowMs() >= steadyFromMs) steadyRequests++;
            const send = world.random() < orderShare ? sendOneOrder() : sendOne();
            void send.finally(() => liveSends--);
            noteVersions();
        }
        steadyCalls += countCalls();
    }

    async function sendOne(): Promise<void> {
        const account = pickAccount();
        const prompt = `${logicals.length} ${"tab ".repeat(Math.floor(world.random() * 30))}`;
        const maxTokens = 64;
        const costTokens = countPromptTokens([{ content: prompt }]) + getExpectedAnswer(prompt, maxTokens).split(" ").length;
        const key = options.scenario !== "calm" && world.random() < keyedShare ? `k${logicals.length}` : undefined;
        const logical: Logical = { clientAccount: account, prompt, maxTokens, costTokens, key, records: [] };
        logicals.push(logical);
        for (let sends = 0; sends < (key === undefined ? 1 : maxSends); sends++) {
            const entry = Math.floor(world.random() * entryCount);
            const record = await sendChat(fleet.callerVm.host, fleet.getEntryAddress(entry), {
                clientAccount: account,
                prompt,
                maxTokens,
                isStreamed: world.random() < 0.5,
                idempotencyKey: key,
                timeoutMs: 20_000,
            });
            logical.records.push(record);
            if (record.isWhole) return;
            if (isBudgetRefusal(record)) return noteRefusal(logical, entry);
            otherRefusals++;
            await sleep(fleet.callerVm.host.timers, 500 + world.random() * 2_000);
        }
    }

    async function sendOneOrder(): Promise<void> {
        const key = `order-${orders.size}`;
        orders.set(key, []);
        for (let sends = 0; sends < maxSends; sends++) {
            const entry = Math.floor(world.random() * entryCount);
            const record = await sendOrder(fleet.callerVm.host, fleet.getEntryAddress(entry), "acct-0", key, key);
            orders.get(key)!.push(record.verdict);
            if (record.status === 200) return;
            await sleep(fleet.callerVm.host.timers, 500 + world.random() * 2_000);
        }
    }

    function pickAccount(): string {
        let left = world.random() * totalWeight;
        const index = accountWeights.findIndex(weight => (left -= weight) < 0);
        return accounts[Math.max(0, index)]!;
    }

    // What is spent for certain, plus what runs now at its true cost: all that a ledger which knows everything counts.
    function noteRefusal(logical: Logical, entry: number): void {
        const budget = `budget-${logical.clientAccount}`;
        // What such a ledger ran in place of earlier refusals, it has spent.
        const regrantedTokens = sumCost(
            refusals.filter(refusal => refusal.isFalse && refusal.logical.clientAccount === logical.clientAccount).map(refusal =>
                refusal.logical
            ),
        );
        const spentTokens = logicals
            .filter(other =>
                other !== logical && other.clientAccount === logical.clientAccount &&
                (other.records.length === 0 || other.records.some(record => record.isWhole))
            )
            .reduce((sum, other) => sum + other.costTokens, 0);
        const isFalse = toppedUp.get(budget)! - spentTokens - regrantedTokens >= logical.costTokens;
        const reachableTokens = getReachableTokens(budget, entry) - regrantedTokens;
        refusals.push({ logical, isFalse, isReachable: isFalse && reachableTokens >= logical.costTokens });
    }

    function getReachableTokens(budget: string, entry: number): number {
        const ip = `10.0.2.${entry + 1}`;
        const sameSide = fleet.entries.filter(other => !cuts.isCut(ip, other.vm.ip) && other.process !== undefined);
        const leasedTokens = sameSide.reduce((sum, other) => sum + other.process!.part.leases.getAvailableTokens(budget), 0);
        if (isEntryCut(ip)) return leasedTokens;
        const view = fleet.getLeader()?.process?.part.state.ledger.getView(budget);
        return leasedTokens + (isBaseline() ? 0 : view?.freeTokens ?? 0);
    }

    function countCalls(): number {
        if (isBaseline()) return shared.calls;
        return fleet.entries.reduce((sum, entry) => sum + (entry.process?.control.getCallCounts()["leases.renew"] ?? 0), 0);
    }

    function noteVersions(): void {
        for (const [index, entry] of fleet.entries.entries()) {
            const version = entry.process?.part.getVersion() ?? 0;
            if (version !== 0 && version < (versions.get(index) ?? 0)) falls++;
            versions.set(index, Math.max(version, versions.get(index) ?? 0));
        }
    }

    function getIncarnation(index: number): string | undefined {
        const leader = fleet.getLeader()?.process?.part;
        return [...leader?.state.fleet.entries.values() ?? []].find(entry => entry.vm === `entry-${index + 1}` && !entry.isSuperseded)
            ?.incarnation;
    }

    async function watchRecovery(incarnation: string | undefined): Promise<void> {
        const startedMs = world.nowMs();
        for (;;) {
            await sleep(fleet.callerVm.host.timers, 250);
            const ledger = fleet.getLeader()?.process?.part.state.ledger;
            if (ledger === undefined) continue;
            if ([...ledger.listLeases()].some(lease => lease.incarnation === incarnation)) continue;
            recoveryMs = Math.max(recoveryMs, world.nowMs() - startedMs);
            return;
        }
    }

    function isAlive(index: number): boolean {
        return fleet.entries[index]!.process!.part.isReady();
    }

    function hasRecovering(): boolean {
        const ledger = fleet.getLeader()?.process?.part.state.ledger;
        if (ledger === undefined) return true;
        const current = new Set(fleet.entries.map((_, index) => getIncarnation(index)));
        return [...ledger.listLeases()].some(lease =>
            lease.state === "recovering" || (lease.state === "open" && !current.has(lease.incarnation))
        );
    }

    function summarize(): BudgetRunResult {
        const delivered = logicals.filter(logical => logical.records.some(record => record.isWhole));
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
            const deliveredTokens = sumCost(delivered.filter(logical => logical.clientAccount === name));
            const ranTokens = sumCost(logicals.filter(logical => logical.clientAccount === name && hasRun(logical)));
            overspendTokens += Math.max(0, Math.max(deliveredTokens, view.settledTokens) - toppedUp.get(budget)!);
            if (isBaseline()) continue;
            writtenOffTokens += view.writtenOffTokens;
            if (view.settledTokens - view.writtenOffTokens > ranTokens) doubleBills++;
            unbilledTokens += Math.max(0, deliveredTokens - view.settledTokens);
            strandedTokens += view.leasedTokens + view.inDoubtTokens;
            strandedShare = Math.max(strandedShare, (view.leasedTokens + view.inDoubtTokens) / view.toppedUpTokens);
        }
        return {
            requests: logicals.length,
            answered: delivered.length,
            overspendTokens,
            doubleBills,
            doubleRuns: [...orders.keys()].filter(key => countServiceRuns(key) > 1).length,
            notRunThatRan: countNotRunThatRan(),
            wrongAnswers: logicals.flatMap(logical => logical.records).filter(record => record.isWhole && !record.isRight).length,
            falseRefusals: refusals.filter(refusal => refusal.isFalse).length,
            reachableFalseRefusals: refusals.filter(refusal => refusal.isReachable).length,
            trueRefusals: refusals.filter(refusal => !refusal.isFalse).length,
            otherRefusals,
            unbilledTokens,
            writtenOffTokens,
            strandedTokens,
            strandedShare,
            recoveryMs,
            controlCallsPerRequest: steadyRequests === 0 ? 0 : steadyCalls / steadyRequests,
            versionsFell: falls,
        };
    }

    function sumCost(list: readonly Logical[]): number {
        return list.reduce((sum, logical) => sum + logical.costTokens, 0);
    }

    // Every engine kept a log of what it ran, by content.
    function hasRun(logical: Logical): boolean {
        const content = getExpectedAnswer(logical.prompt, 1);
        return fleet.engines.some(engine => [...engine.runs.values()].some(run => run.promptDigest === content));
    }

    function countServiceRuns(key: string): number {
        return fleet.services.reduce((sum, service) => sum + service.runs.filter(run => run.body === key).length, 0);
    }

    function countNotRunThatRan(): number {
        const ran = new Set(fleet.engines.flatMap(engine => [...engine.runs.keys()].map(requestId => requestId.split(".")[0]!)));
        const chats =
            logicals.flatMap(logical => logical.records).filter(record => record.verdict === "not-run" && ran.has(record.requestId)).length;
        const lied =
            [...orders].filter(([key, verdicts]) => verdicts.every(verdict => verdict === "not-run") && countServiceRuns(key) > 0).length;
        return chats + lied;
    }
}

function isBudgetRefusal(record: CallerRecord): boolean {
    return record.code === "budgetExhausted" || record.code === "budgetUnavailable";
}

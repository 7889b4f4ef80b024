/** Scenarios of the budget runs: which failures are injected and when, and how much the budgets are topped up. */
import type { Fleet } from "./fleet.js";

/** Names of the scenarios. */
export const scenarioNames = [
    "calm",
    "low-balance",
    "long-partition",
    "partition-top-up",
    "entry-death",
    "agent-death",
    "control-isolation",
    "all",
] as const;

/** Name of a scenario. */
export type ScenarioName = (typeof scenarioNames)[number];

/** An event at a time after the start of the run. */
export interface ScenarioEvent {
    readonly atMs: number;
    run(context: ScenarioContext): Promise<void> | void;
}

/** Operations for the events of a scenario. */
export interface ScenarioContext {
    readonly fleet: Fleet;
    /** Partitions the VMs of one failure domain from all others. Callers still reach both sides. */
    isolateFailureDomain(domain: number): void;
    /** Partitions one control VM from all other VMs. */
    isolateControl(index: number): void;
    healPartition(): void;
    crashEntry(index: number): void;
    /** Tops up each budget by a share of the tokens that its account is expected to ask for. */
    topUpAllBudgets(share: number, operationIdPrefix: string): void;
}

/** A scenario. */
export interface Scenario {
    readonly durationMs: number;
    /** Initial tokens of each budget, relative to the tokens that its account is expected to ask for. */
    readonly balanceShare: number;
    readonly events: (random: () => number) => readonly ScenarioEvent[];
}

const msPerSecond = 1_000;
const ampleBalanceShare = 20;

/** Scenarios by name. */
export const scenarios: Readonly<Record<ScenarioName, Scenario>> = {
    "calm": { durationMs: 60 * msPerSecond, balanceShare: ampleBalanceShare, events: () => [] },
    "low-balance": { durationMs: 60 * msPerSecond, balanceShare: 0.6, events: () => [] },
    "long-partition": {
        durationMs: 120 * msPerSecond,
        balanceShare: 3,
        events: () => [
            { atMs: 15 * msPerSecond, run: context => context.isolateFailureDomain(2) },
            { atMs: 105 * msPerSecond, run: context => context.healPartition() },
        ],
    },
    "partition-top-up": {
        durationMs: 100 * msPerSecond,
        balanceShare: 0.4,
        events: () => [
            { atMs: 15 * msPerSecond, run: context => context.isolateFailureDomain(2) },
            { atMs: 45 * msPerSecond, run: context => context.topUpAllBudgets(0.4, "middle") },
            { atMs: 75 * msPerSecond, run: context => context.healPartition() },
        ],
    },
    "entry-death": {
        durationMs: 60 * msPerSecond,
        balanceShare: 2,
        events: random => [
            { atMs: (10 + random() * 10) * msPerSecond, run: context => context.crashEntry(0) },
            { atMs: 30 * msPerSecond, run: context => context.fleet.restartEntry(0) },
        ],
    },
    "agent-death": {
        durationMs: 60 * msPerSecond,
        balanceShare: 2,
        events: random =>
            [0, 1].flatMap(index => [
                {
                    atMs: (10 + random() * 10) * msPerSecond,
                    run: (context: ScenarioContext) => context.fleet.backends[index]!.vm.crash(),
                },
                { atMs: (25 + index * 5) * msPerSecond, run: (context: ScenarioContext) => context.fleet.restartBackendNode(index) },
            ]),
    },
    "control-isolation": {
        durationMs: 70 * msPerSecond,
        balanceShare: 2,
        events: () => [
            { atMs: 15 * msPerSecond, run: context => context.isolateControl(context.fleet.controls.indexOf(context.fleet.getLeader()!)) },
            { atMs: 55 * msPerSecond, run: context => context.healPartition() },
        ],
    },
    "all": { durationMs: 120 * msPerSecond, balanceShare: 1.5, events: createMixedFailureEvents },
};

// Five failures of random kinds at random times. They may overlap, and a kind may occur more than once.
function createMixedFailureEvents(random: () => number): readonly ScenarioEvent[] {
    const events: ScenarioEvent[] = [
        { atMs: 40 * msPerSecond, run: context => context.topUpAllBudgets(0.2, "mixed") },
        { atMs: 100 * msPerSecond, run: context => context.healPartition() },
        { atMs: 101 * msPerSecond, run: context => context.fleet.simulation.setFaults({ lossProbability: 0, duplicationProbability: 0 }) },
    ];
    const failureKinds: readonly ((atMs: number) => readonly ScenarioEvent[])[] = [
        atMs => [{ atMs, run: context => context.isolateFailureDomain(Math.floor(random() * 3)) }, {
            atMs: atMs + random() * 30 * msPerSecond,
            run: context => context.healPartition(),
        }],
        atMs => {
            const index = Math.floor(random() * 3);
            return [
                { atMs, run: context => context.crashEntry(index) },
                { atMs: atMs + (2 + random() * 15) * msPerSecond, run: context => context.fleet.restartEntry(index) },
            ];
        },
        atMs => {
            const share = random();
            const pickIndex = (context: ScenarioContext) => Math.floor(share * context.fleet.backends.length);
            return [
                { atMs, run: context => context.fleet.backends[pickIndex(context)]!.vm.crash() },
                { atMs: atMs + (2 + random() * 10) * msPerSecond, run: context => context.fleet.restartBackendNode(pickIndex(context)) },
            ];
        },
        atMs => {
            const index = Math.floor(random() * 3);
            return [
                { atMs, run: context => context.fleet.controls[index]!.vm.crash() },
                { atMs: atMs + (1 + random() * 10) * msPerSecond, run: context => context.fleet.restartControl(index) },
            ];
        },
        atMs => [{ atMs, run: context => context.fleet.simulation.setFaults({ lossProbability: 0.03, duplicationProbability: 0.03 }) }],
    ];
    for (let count = 0; count < 5; count++) {
        const createFailure = failureKinds[Math.floor(random() * failureKinds.length)]!;
        events.push(...createFailure((5 + random() * 80) * msPerSecond));
    }
    return events;
}

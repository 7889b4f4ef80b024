/** Scenarios of the budget measurements: what fails, when, and how much is topped up. */
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

/** Something that happens at a time after the start. */
export interface ScenarioEvent {
    readonly atMs: number;
    run(context: ScenarioContext): Promise<void> | void;
}

/** What events reach. */
export interface ScenarioContext {
    readonly fleet: Fleet;
    /** Cuts every link between two groups of VMs, given by the third failure domain. */
    cutDomain(domain: number): void;
    cutControl(index: number): void;
    heal(): void;
    killEntry(index: number): void;
    topUpAll(share: number, id: string): void;
}

/** One scenario. */
export interface Scenario {
    readonly durationMs: number;
    /** Tokens of each budget, relative to what its account asks for. */
    readonly balanceShare: number;
    readonly events: (random: () => number) => readonly ScenarioEvent[];
}

const seconds = 1_000;
const ample = 20;

/** The scenarios. */
export const scenarios: Readonly<Record<ScenarioName, Scenario>> = {
    "calm": { durationMs: 60 * seconds, balanceShare: ample, events: () => [] },
    "low-balance": { durationMs: 60 * seconds, balanceShare: 0.6, events: () => [] },
    "long-partition": {
        durationMs: 120 * seconds,
        balanceShare: 3,
        events: () => [
            { atMs: 15 * seconds, run: context => context.cutDomain(2) },
            { atMs: 105 * seconds, run: context => context.heal() },
        ],
    },
    "partition-top-up": {
        durationMs: 100 * seconds,
        balanceShare: 0.4,
        events: () => [
            { atMs: 15 * seconds, run: context => context.cutDomain(2) },
            { atMs: 45 * seconds, run: context => context.topUpAll(0.4, "middle") },
            { atMs: 75 * seconds, run: context => context.heal() },
        ],
    },
    "entry-death": {
        durationMs: 60 * seconds,
        balanceShare: 2,
        events: random => [
            { atMs: (10 + random() * 10) * seconds, run: context => context.killEntry(0) },
            { atMs: 30 * seconds, run: context => context.fleet.restartEntry(0) },
        ],
    },
    "agent-death": {
        durationMs: 60 * seconds,
        balanceShare: 2,
        events: random =>
            [0, 1].flatMap(index => [
                { atMs: (10 + random() * 10) * seconds, run: (context: ScenarioContext) => context.fleet.workers[index]!.vm.crash() },
                { atMs: (25 + index * 5) * seconds, run: (context: ScenarioContext) => context.fleet.restartWorker(index) },
            ]),
    },
    "control-isolation": {
        durationMs: 70 * seconds,
        balanceShare: 2,
        events: () => [
            { atMs: 15 * seconds, run: context => context.cutControl(context.fleet.controls.indexOf(context.fleet.getLeader()!)) },
            { atMs: 55 * seconds, run: context => context.heal() },
        ],
    },
    "all": { durationMs: 120 * seconds, balanceShare: 1.5, events: createMixedEvents },
};

// Every kind of failure, at random times, together or twice.
function createMixedEvents(random: () => number): readonly ScenarioEvent[] {
    const events: ScenarioEvent[] = [
        { atMs: 40 * seconds, run: context => context.topUpAll(0.2, "mixed") },
        { atMs: 100 * seconds, run: context => context.heal() },
        { atMs: 101 * seconds, run: context => context.fleet.world.setFaults({ lossProbability: 0, duplicationProbability: 0 }) },
    ];
    const kinds: readonly ((atMs: number) => readonly ScenarioEvent[])[] = [
        atMs => [{ atMs, run: context => context.cutDomain(Math.floor(random() * 3)) }, {
            atMs: atMs + random() * 30 * seconds,
            run: context => context.heal(),
        }],
        atMs => {
            const index = Math.floor(random() * 3);
            return [
                { atMs, run: context => context.killEntry(index) },
                { atMs: atMs + (2 + random() * 15) * seconds, run: context => context.fleet.restartEntry(index) },
            ];
        },
        atMs => {
            const share = random();
            const pick = (context: ScenarioContext) => Math.floor(share * context.fleet.workers.length);
            return [
                { atMs, run: context => context.fleet.workers[pick(context)]!.vm.crash() },
                { atMs: atMs + (2 + random() * 10) * seconds, run: context => context.fleet.restartWorker(pick(context)) },
            ];
        },
        atMs => {
            const index = Math.floor(random() * 3);
            return [
                { atMs, run: context => context.fleet.controls[index]!.vm.crash() },
                { atMs: atMs + (1 + random() * 10) * seconds, run: context => context.fleet.restartControl(index) },
            ];
        },
        atMs => [{ atMs, run: context => context.fleet.world.setFaults({ lossProbability: 0.03, duplicationProbability: 0.03 }) }],
    ];
    for (let count = 0; count < 5; count++) {
        const kind = kinds[Math.floor(random() * kinds.length)]!;
        events.push(...kind((5 + random() * 80) * seconds));
    }
    return events;
}

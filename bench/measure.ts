/** `npm run measure`: runs budget scenarios on simulated fleets. Prints one JSON object per run, or one that aggregates many seeds. */
import { Cli, Command, Option } from "clipanion";
import type { BudgetDesign } from "./baselines.js";
import { runBudgetScenario } from "./budgetRun.js";
import type { BudgetRunResult } from "./budgetRun.js";
import { scenarioNames } from "./scenarios.js";
import type { ScenarioName } from "./scenarios.js";

const designs: readonly BudgetDesign[] = ["design", "noRecall", "staticSplit", "central", "optimistic"];

class MeasureCommand extends Command {
    static override paths = [Command.Default];

    scenario = Option.String("--scenario", "calm");
    policy = Option.String("--policy", "cascade");
    design = Option.String("--design", "design");
    seed = Option.String("--seed", "1");
    seeds = Option.String("--seeds", { description: "Number of seeds to run, starting with --seed. Prints aggregates." });
    isJson = Option.Boolean("--json", false);

    override async execute(): Promise<number> {
        const scenario = this.parseChoice("--scenario", this.scenario, scenarioNames);
        const policy = this.parseChoice("--policy", this.policy, ["cascade", "suhara"] as const);
        const selectedDesigns = this.design === "every" ? designs : [this.parseChoice("--design", this.design, designs)];
        for (const design of selectedDesigns) {
            if (this.seeds === undefined) {
                this.printJson({
                    scenario,
                    policy,
                    design,
                    seed: Number(this.seed),
                    ...await runBudgetScenario({ scenario, policy, design, seed: Number(this.seed) }),
                });
            }
            else this.printJson({ scenario, policy, design, ...await this.runSeeds(scenario, policy, design) });
        }
        return 0;
    }

    private async runSeeds(scenario: ScenarioName, policy: "cascade" | "suhara", design: BudgetDesign) {
        const results: BudgetRunResult[] = [];
        const failed: string[] = [];
        for (let seed = Number(this.seed); seed < Number(this.seed) + Number(this.seeds); seed++) {
            try {
                const result = await runBudgetScenario({ scenario, policy, design, seed });
                results.push(result);
                if (violatesInvariants(result) && design === "design") failed.push(`${seed}: ${JSON.stringify(result)}`);
            }
            catch (error) {
                failed.push(`${seed}: ${String(error)}`);
            }
        }
        return { seeds: results.length, ...aggregateResults(results), failed };
    }

    private parseChoice<T extends string>(flag: string, value: string, choices: readonly T[]): T {
        const choice = choices.find(candidate => candidate === value);
        if (choice === undefined) throw new Error(`${flag} must be one of ${choices.join(", ")}`);
        return choice;
    }

    private printJson(value: object): void {
        this.context.stdout.write(`${this.isJson ? JSON.stringify(value) : JSON.stringify(value, undefined, 2)}\n`);
    }
}

// Each of these counts must be zero in every run.
function violatesInvariants(result: BudgetRunResult): boolean {
    const { overspendTokens, doubleBills, doubleRuns, notRunThatRan, wrongAnswers, versionsFell } = result;
    return overspendTokens + doubleBills + doubleRuns + notRunThatRan + wrongAnswers + versionsFell > 0;
}

const maximumFields: ReadonlySet<keyof BudgetRunResult> = new Set(["strandedShare", "recoveryMs"]);

function aggregateResults(results: readonly BudgetRunResult[]) {
    const keys = Object.keys(results[0] ?? {}) as (keyof BudgetRunResult)[];
    const sums = Object.fromEntries(keys.map(key => {
        const values = results.map(result => result[key]);
        const sum = values.reduce((total, value) => total + value, 0);
        if (maximumFields.has(key)) return [key, Math.max(...values)];
        return [key, key === "controlCallsPerRequest" ? sum / values.length : sum];
    }));
    const requests = sums["requests"] ?? 1;
    return {
        ...sums,
        falseRefusalShare: sums["falseRefusals"]! / requests,
        reachableFalseShare: sums["reachableFalseRefusals"]! / requests,
    };
}

const cli = new Cli({ binaryName: "npm run measure --" });
cli.register(MeasureCommand);
void cli.runExit(process.argv.slice(2));

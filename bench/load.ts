/** `npm run load`: compares routing policies under load. Prints one JSON object per policy, and draws a plot with `--plot`. */
import { Cli, Command, Option } from "clipanion";
import { writeFile } from "node:fs/promises";
import { runLoad } from "./loadRun.js";
import type { LoadPolicy, LoadResult } from "./loadRun.js";
import { drawComparison } from "./plot.js";

const policies: readonly LoadPolicy[] = ["expectedCompletion", "random", "roundRobin", "leastReported", "prefixOnly", "omniscient"];
const profiles = ["cascade", "suhara"] as const;

class LoadCommand extends Command {
    static override paths = [Command.Default];

    profile = Option.String("--profile", "cascade");
    policy = Option.String("--policy", "expectedCompletion", { description: "Name of a routing policy, or every for all of them." });
    seed = Option.String("--seed", "1");
    loadShare = Option.String("--load", "0.8", { description: "Arrival rate relative to the capacity of the fleet." });
    durationMs = Option.String("--duration-ms", "40000");
    hangAtMs = Option.String("--grey-at-ms", { description: "Time at which one engine hangs: it accepts requests and never answers." });
    plot = Option.String("--plot", { description: "SVG file to write the plot to." });
    isJson = Option.Boolean("--json", false);

    override async execute(): Promise<number> {
        const profile = profiles.find(candidate => candidate === this.profile);
        const selectedPolicies = this.policy === "every" ? policies : policies.filter(candidate => candidate === this.policy);
        if (profile === undefined || selectedPolicies.length === 0) {
            throw new Error(`--profile takes ${profiles.join(", ")}; --policy takes every, ${policies.join(", ")}`);
        }
        const results: { readonly policy: string; readonly result: LoadResult; }[] = [];
        for (const policy of selectedPolicies) {
            const result = await runLoad({
                profile,
                policy,
                seed: Number(this.seed),
                loadShare: Number(this.loadShare),
                durationMs: Number(this.durationMs),
                hangAtMs: this.hangAtMs === undefined ? undefined : Number(this.hangAtMs),
            });
            results.push({ policy, result });
            const line = { profile, policy, seed: Number(this.seed), loadShare: Number(this.loadShare), ...result };
            this.context.stdout.write(`${this.isJson ? JSON.stringify(line) : JSON.stringify(line, undefined, 2)}\n`);
        }
        if (this.plot !== undefined) await writeFile(this.plot, await drawComparison(`${profile}, load ${this.loadShare}`, results));
        return 0;
    }
}

const cli = new Cli({ binaryName: "npm run load --" });
cli.register(LoadCommand);
void cli.runExit(process.argv.slice(2));

/** `npm run bench`: microbenches on the real host. */
import { Cli, Command, Option } from "clipanion";
import { readFile, writeFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { putCapacityTable } from "./capacityPage.js";
import { measureDecisions } from "./decisionBench.js";
import { measureLog } from "./logBench.js";
import { measureOverhead } from "./overheadBench.js";
import { measureSlopes } from "./slopes.js";

const benchmarks = {
    decisions: measureDecisions,
    log: measureLog,
    overhead: measureOverhead,
    slopes: measureSlopes,
} as const;

const capacityPagePath = fileURLToPath(new URL("../../docs/CAPACITY.md", import.meta.url));

class BenchCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Run benches: decisions, log, overhead, slopes. All without a name.",
        examples: [["Measure slopes and write the capacity table", "npm run bench -- slopes --write"]],
    });

    names = Option.Rest();
    isJson = Option.Boolean("--json", false);
    isWritingCapacityPage = Option.Boolean("--write", false, { description: "Put the slopes' table into docs/CAPACITY.md." });

    override async execute(): Promise<number> {
        const selectedNames = this.names.length === 0 ? Object.keys(benchmarks) : this.names;
        for (const name of selectedNames) {
            if (!Object.hasOwn(benchmarks, name)) throw new Error(`no benchmark ${name}, only ${Object.keys(benchmarks).join(", ")}`);
            const result = await benchmarks[name as keyof typeof benchmarks]();
            this.context.stdout.write(`${JSON.stringify({ bench: name, ...result }, undefined, this.isJson ? 0 : 2)}\n`);
            if (name === "slopes" && this.isWritingCapacityPage) {
                const page = await readFile(capacityPagePath, "utf8");
                await writeFile(capacityPagePath, putCapacityTable(page, result as Awaited<ReturnType<typeof measureSlopes>>));
            }
        }
        return 0;
    }
}

const cli = new Cli({ binaryName: "npm run bench --" });
cli.register(BenchCommand);
void cli.runExit(process.argv.slice(2)).then(() => process.exit());

/** `npm run bench`: microbenches on the real host. */
import { Cli, Command, Option } from "clipanion";
import { readFile, writeFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";
import { putCapacityTable } from "./capacityPage.js";
import { measureDecisions } from "./decisionBench.js";
import { measureLog } from "./logBench.js";
import { measureOverhead } from "./overheadBench.js";
import { measureSlopes } from "./slopes.js";

const benches = {
    decisions: measureDecisions,
    log: measureLog,
    overhead: measureOverhead,
    slopes: measureSlopes,
} as const;

const capacityPage = fileURLToPath(new URL("../../docs/CAPACITY.md", import.meta.url));

class BenchCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Run benches: decisions, log, overhead, slopes. All without a name.",
        examples: [["Measure slopes and write the capacity table", "npm run bench -- slopes --write"]],
    });

    names = Option.Rest();
    isJson = Option.Boolean("--json", false);
    isWriting = Option.Boolean("--write", false, { description: "Put the slopes' table into docs/CAPACITY.md." });

    override async execute(): Promise<number> {
        const chosen = this.names.length === 0 ? Object.keys(benches) : this.names;
        for (const name of chosen) {
            if (!Object.hasOwn(benches, name)) throw new Error(`there is no bench ${name}; there are ${Object.keys(benches).join(", ")}`);
            const result = await benches[name as keyof typeof benches]();
            this.context.stdout.write(`${JSON.stringify({ bench: name, ...result }, undefined, this.isJson ? 0 : 2)}\n`);
            if (name === "slopes" && this.isWriting) {
                const page = await readFile(capacityPage, "utf8");
                await writeFile(capacityPage, putCapacityTable(page, result as Awaited<ReturnType<typeof measureSlopes>>));
            }
        }
        return 0;
    }
}

const cli = new Cli({ binaryName: "npm run bench --" });
cli.register(BenchCommand);
void cli.runExit(process.argv.slice(2)).then(() => process.exit());

/** Commands on the configuration: apply, validate, diff and export. */
import { Command, Option } from "clipanion";
import { randomUUID } from "node:crypto";
import type { ChangeOutcome } from "../kernel/messages.js";
import type { AdministrationClient } from "./client.js";
import { pause } from "./clock.js";
import { compareSets, readSetFile } from "./configurationFile.js";
import { OperatorCommand, operatorExitCodes } from "./operatorCommand.js";
import { formatTable } from "./table.js";

const publicationTimeoutMs = 5_000;
const pollMs = 250;

/** Publishes a full set. */
export class ApplyCommand extends OperatorCommand {
    static override paths = [["apply"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Check a full set and publish it.",
        details:
            "The set is accepted only if --base-version is in force, so that of two racing changes one wins. A resend with the same --change-id gets the first answer.",
        examples: [["Publish a set", "lovagectl apply -f set.json --base-version 12 --change-id raise-limits"]],
    });

    file = Option.String("-f,--file", { description: "File with the set." });
    baseVersion = Option.String("--base-version", { description: "Version that the set was made from." });
    changeId = Option.String("--change-id", { description: "Identifier of this change, for resends. Default: a new one." });
    isWaiting = Option.Boolean("--wait", false, { description: "Wait until every VM has the version in force, 5 s at most." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const objects = await readSetFile(this.require("-f", this.file));
        const baseVersion = this.requireCount("--base-version", this.baseVersion);
        const changeId = this.changeId ?? randomUUID();
        const outcome = await client.submit("configuration.apply", { baseVersion, changeId, objects: [...objects] });
        this.print(toPublic(outcome), formatOutcome(outcome));
        const isInForce = outcome.outcome === "accepted" || outcome.outcome === "repeated";
        if (isInForce && this.isWaiting) await this.waitForAll(client, outcome.version);
        return isInForce ? operatorExitCodes.ok : operatorExitCodes.refused;
    }

    private async waitForAll(client: AdministrationClient, version: number): Promise<void> {
        for (let waitedMs = 0; waitedMs <= publicationTimeoutMs; waitedMs += pollMs) {
            const { vms } = await client.getStatus();
            const late = vms.filter(vm => vm.versionInForce < version).map(vm => vm.vm);
            this.context.stderr.write(`${vms.length - late.length} of ${vms.length} VMs have version ${version} in force.\n`);
            if (late.length === 0) return;
            await pause(pollMs);
        }
        this.context.stderr.write("Some VMs lag. See lovagectl status.\n");
    }
}

/** Checks a set without publishing it. */
export class ValidateCommand extends OperatorCommand {
    static override paths = [["validate"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Check a full set against the one in force, without publishing it.",
        examples: [["Check a set", "lovagectl validate -f set.json"]],
    });

    file = Option.String("-f,--file", { description: "File with the set." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const objects = await readSetFile(this.require("-f", this.file));
        const { problems } = await client.query("configuration.validate", { objects: [...objects] });
        const outcome = problems.length === 0 ? "valid" : "invalid";
        this.print({ outcome, problems }, problems.length === 0 ? "The set is valid.\n" : formatProblems(problems));
        return problems.length === 0 ? operatorExitCodes.ok : operatorExitCodes.refused;
    }
}

/** Shows what a set would change. */
export class DiffCommand extends OperatorCommand {
    static override paths = [["diff"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show what a set would change.",
        examples: [["Compare a set with the one in force", "lovagectl diff -f set.json"]],
    });

    file = Option.String("-f,--file", { description: "File with the set." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const objects = await readSetFile(this.require("-f", this.file));
        const inForce = await client.query("configuration.get", {});
        // The check fills in what a set may leave out, so that only real differences show.
        const checked = await client.query("configuration.validate", { objects: [...objects] });
        const differences = compareSets(inForce.objects, checked.objects);
        const rows = differences.map(difference => [difference.change, difference.object]);
        this.print({ version: inForce.version, differences }, formatTable(["CHANGE", "OBJECT"], rows));
        return operatorExitCodes.ok;
    }
}

/** Prints the set in force. */
export class ExportCommand extends OperatorCommand {
    static override paths = [["export"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Print the set in force, as a file that apply takes. Its version goes to standard error.",
        examples: [["Save the set", "lovagectl export > set.json"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { version, objects } = await client.query("configuration.get", {});
        this.context.stderr.write(`version ${version}\n`);
        this.context.stdout.write(`${JSON.stringify({ objects }, undefined, 4)}\n`);
        return operatorExitCodes.ok;
    }
}

function toPublic(outcome: ChangeOutcome) {
    return { outcome: outcome.outcome, version: outcome.version, problems: outcome.problems, winningChangeId: outcome.winningChangeId };
}

function formatOutcome(outcome: ChangeOutcome): string {
    const texts: Readonly<Record<ChangeOutcome["outcome"], string>> = {
        accepted: `Accepted. Version ${outcome.version} is in force.\n`,
        repeated: `Accepted before, as version ${outcome.version}.\n`,
        conflict: `Conflict: version ${outcome.version} is in force, by change ${outcome.winningChangeId}.\n`,
        invalid: `Refused. Version ${outcome.version} stays in force.\n`,
    };
    return texts[outcome.outcome] + (outcome.problems.length > 0 ? formatProblems(outcome.problems) : "");
}

function formatProblems(problems: ChangeOutcome["problems"]): string {
    return formatTable(["OBJECT", "FIELD", "PROBLEM"], problems.map(problem => [problem.object, problem.field, problem.detail]));
}

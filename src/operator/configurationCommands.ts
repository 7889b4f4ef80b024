/** Configuration commands: apply, validate, diff and export. */
import { Command, Option } from "clipanion";
import { randomUUID } from "node:crypto";
import type { ChangeOutcome } from "../kernel/messages.js";
import type { AdministrationClient } from "./client.js";
import { diffObjects, readConfigurationFile } from "./configurationFile.js";
import { OperatorCommand, operatorExitCodes } from "./operatorCommand.js";
import { pollUntil } from "./operatorHost.js";
import { formatTable } from "./table.js";

const rolloutTimeoutMs = 5_000;
const pollIntervalMs = 250;

/** Validates a complete configuration and publishes it. */
export class ApplyCommand extends OperatorCommand {
    static override paths = [["apply"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Validate a complete configuration and publish it.",
        details:
            "The configuration is accepted only if --base-version is the current version, so only one of two concurrent changes succeeds. A retry with the same --change-id returns the result of the first attempt.",
        examples: [["Publish a configuration", "lovagectl apply -f set.json --base-version 12 --change-id raise-limits"]],
    });

    file = Option.String("-f,--file", { description: "Configuration file." });
    baseVersion = Option.String("--base-version", { description: "Version that the configuration is based on." });
    changeId = Option.String("--change-id", {
        description: "Identifier of this change, which makes retries safe. Default: a random identifier.",
    });
    shouldWait = Option.Boolean("--wait", false, { description: "Wait up to 5 s until every VM has applied the version." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const objects = await readConfigurationFile(this.requireValue("-f", this.file));
        const baseVersion = this.requireNonNegativeInteger("--base-version", this.baseVersion);
        const changeId = this.changeId ?? randomUUID();
        const outcome = await client.submit("configuration.apply", { baseVersion, changeId, objects: [...objects] });
        this.print(toPrintedOutcome(outcome), formatOutcome(outcome));
        const isAccepted = outcome.outcome === "accepted" || outcome.outcome === "repeated";
        if (!isAccepted) return operatorExitCodes.refused;
        if (!this.shouldWait || await this.waitForRollout(client, outcome.version)) return operatorExitCodes.ok;
        this.context.stderr.write("Some VMs have not applied the version yet. See lovagectl status.\n");
        return operatorExitCodes.notInEffect;
    }

    private waitForRollout(client: AdministrationClient, version: number): Promise<boolean> {
        return pollUntil(
            async () => {
                const { vms } = await client.getStatus();
                const appliedCount = vms.filter(vm => vm.versionInForce >= version).length;
                this.context.stderr.write(`${appliedCount} of ${vms.length} VMs have applied version ${version}.\n`);
                return appliedCount === vms.length;
            },
            rolloutTimeoutMs,
            pollIntervalMs,
        );
    }
}

/** Validates a configuration without publishing it. */
export class ValidateCommand extends OperatorCommand {
    static override paths = [["validate"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Validate a complete configuration against the current one without publishing it.",
        examples: [["Validate a configuration", "lovagectl validate -f set.json"]],
    });

    file = Option.String("-f,--file", { description: "Configuration file." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const objects = await readConfigurationFile(this.requireValue("-f", this.file));
        const { problems } = await client.query("configuration.validate", { objects: [...objects] });
        const outcome = problems.length === 0 ? "valid" : "invalid";
        this.print({ outcome, problems }, problems.length === 0 ? "The configuration is valid.\n" : formatProblems(problems));
        return problems.length === 0 ? operatorExitCodes.ok : operatorExitCodes.refused;
    }
}

/** Shows the differences between the current configuration and a file. */
export class DiffCommand extends OperatorCommand {
    static override paths = [["diff"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show the differences between the current configuration and a file.",
        examples: [["Compare a file with the current configuration", "lovagectl diff -f set.json"]],
    });

    file = Option.String("-f,--file", { description: "Configuration file." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const objects = await readConfigurationFile(this.requireValue("-f", this.file));
        const current = await client.query("configuration.get", {});
        // Validation fills in the defaults of omitted fields, so that these do not show up as differences.
        const validated = await client.query("configuration.validate", { objects: [...objects] });
        const differences = diffObjects(current.objects, validated.objects);
        const rows = differences.map(difference => [difference.change, difference.object]);
        this.print({ version: current.version, differences }, formatTable(["CHANGE", "OBJECT"], rows));
        return operatorExitCodes.ok;
    }
}

/** Prints the current configuration. */
export class ExportCommand extends OperatorCommand {
    static override paths = [["export"]];
    static override usage = Command.Usage({
        category: "Configuration",
        description: "Print the current configuration in the file format of the apply command. The version is written to standard error.",
        examples: [["Save the configuration", "lovagectl export > set.json"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { version, objects } = await client.query("configuration.get", {});
        this.context.stderr.write(`version ${version}\n`);
        this.context.stdout.write(`${JSON.stringify({ objects }, undefined, 4)}\n`);
        return operatorExitCodes.ok;
    }
}

function toPrintedOutcome(outcome: ChangeOutcome) {
    return { outcome: outcome.outcome, version: outcome.version, problems: outcome.problems, winningChangeId: outcome.winningChangeId };
}

function formatOutcome(outcome: ChangeOutcome): string {
    const texts: Readonly<Record<ChangeOutcome["outcome"], string>> = {
        accepted: `Accepted. The current version is ${outcome.version}.\n`,
        repeated: `Already accepted as version ${outcome.version}.\n`,
        conflict: `Conflict: the current version is ${outcome.version}, from change ${outcome.winningChangeId}.\n`,
        invalid: `Rejected. The current version is still ${outcome.version}.\n`,
    };
    return texts[outcome.outcome] + (outcome.problems.length > 0 ? formatProblems(outcome.problems) : "");
}

function formatProblems(problems: ChangeOutcome["problems"]): string {
    return formatTable(["OBJECT", "FIELD", "PROBLEM"], problems.map(problem => [problem.object, problem.field, problem.detail]));
}

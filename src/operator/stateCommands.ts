/** Runtime state commands: status, budgets, drain, evacuate, fleet, audit, quarantine and voters. */
import { Command, Option } from "clipanion";
import { listEvacuationStatus } from "../kernel/evacuations.js";
import type { EvacuationStatus } from "../kernel/evacuations.js";
import type { BudgetView } from "../kernel/messages.js";
import type { AdministrationClient } from "./client.js";
import { CommandUsageError, OperatorCommand, operatorExitCodes } from "./operatorCommand.js";
import { getWallMs, pollUntil } from "./operatorHost.js";
import { formatTable } from "./table.js";

const hourMs = 3_600_000;
const drainPollIntervalMs = 500;
const drainTimeoutMs = 600_000;
const maxAuditRecords = 1_000;

/** Shows the configuration version that each VM has applied, and the evacuated failure domains. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        category: "State",
        description: "Show the configuration version of every VM, which VMs lag behind, and the evacuated failure domains.",
        examples: [["Show the status", "lovagectl status"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const status = await client.getStatus();
        const vms = status.vms.map(({ vm, role, failureDomain, versionInForce }) => ({ vm, role, failureDomain, versionInForce }));
        const laggingVms = vms.filter(vm => vm.versionInForce < status.version).map(vm => vm.vm);
        const rows = vms.map(vm => [vm.vm, vm.role, vm.failureDomain, vm.versionInForce]);
        const evacuations = listEvacuationStatus(status);
        const text = `The current version is ${status.version}. ${
            laggingVms.length === 0 ? "No VM lags behind." : `Lagging: ${laggingVms.join(", ")}.`
        }\n`;
        this.print(
            { version: status.version, vms, lagging: laggingVms, evacuations },
            text + formatEvacuations(evacuations) + formatTable(["VM", "ROLE", "FAILURE DOMAIN", "VERSION"], rows),
        );
        return operatorExitCodes.ok;
    }
}

/** Shows one budget. */
export class BudgetsShowCommand extends OperatorCommand {
    static override paths = [["budgets", "show"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "Show one budget.",
        examples: [["Show a budget", "lovagectl budgets show dev-budget-1"]],
    });

    budget = Option.String();

    protected override async run(client: AdministrationClient): Promise<number> {
        const { budget } = await client.query("budgets.show", { budget: this.budget });
        if (budget === undefined) throw new CommandUsageError(`there is no budget ${this.budget}.`);
        this.print(budget, formatBudgets([budget]));
        return operatorExitCodes.ok;
    }
}

/** Lists budgets. */
export class BudgetsListCommand extends OperatorCommand {
    static override paths = [["budgets"], ["budgets", "list"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "List all budgets with their balances.",
        examples: [["List budgets", "lovagectl budgets"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { budgets } = await client.query("budgets.list", {});
        this.print({ budgets }, formatBudgets(budgets));
        return operatorExitCodes.ok;
    }
}

/** Tops up a budget. */
export class BudgetsTopUpCommand extends OperatorCommand {
    static override paths = [["budgets", "top-up"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "Add prepaid tokens to a budget.",
        details: "Retry with the same --operation-id if the response was lost: the tokens are added only once.",
        examples: [["Add tokens", "lovagectl budgets top-up dev-budget-1 --tokens 500000 --operation-id invoice-1017"]],
    });

    budget = Option.String();
    tokens = Option.String("--tokens", { description: "Tokens to add." });
    operationId = Option.String("--operation-id", { description: "Identifier of this top-up, which makes retries safe." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const tokens = this.requireNonNegativeInteger("--tokens", this.tokens);
        const operationId = this.requireValue("--operation-id", this.operationId);
        if (tokens === 0) throw new CommandUsageError("--tokens must be greater than zero.");
        const result = await client.submit("budgets.topUp", { budget: this.budget, tokens }, operationId);
        if (!result.isKnown) throw new CommandUsageError(`there is no budget ${this.budget}.`);
        this.print(
            { budget: this.budget, toppedUpTokens: result.toppedUpTokens },
            `The total of ${this.budget} is now ${result.toppedUpTokens} tokens.\n`,
        );
        return operatorExitCodes.ok;
    }
}

/** Closes a lease that is in doubt. */
export class BudgetsReleaseCommand extends OperatorCommand {
    static override paths = [["budgets", "release"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "Close a lease whose usage is in doubt and settle the given number of tokens as spent.",
        examples: [["Settle 120 tokens and release the rest", "lovagectl budgets release LEASE --spent 120 --operation-id release-1"]],
    });

    leaseId = Option.String();
    spent = Option.String("--spent", { description: "Number of tokens to settle as spent." });
    operationId = Option.String("--operation-id", { description: "Identifier of this release, which makes retries safe." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const spentTokens = this.requireNonNegativeInteger("--spent", this.spent);
        const result = await client.submit(
            "budgets.release",
            { leaseId: this.leaseId, spentTokens },
            this.requireValue("--operation-id", this.operationId),
        );
        this.print(result, result.isKnown ? "The lease is closed.\n" : "No lease with this identifier is in doubt.\n");
        return result.isKnown ? operatorExitCodes.ok : operatorExitCodes.refused;
    }
}

/** Lists leases. */
export class LeasesCommand extends OperatorCommand {
    static override paths = [["budgets", "leases"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "List leases with their held and settled tokens.",
        examples: [["List leases", "lovagectl budgets leases"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { leases } = await client.query("leases.list", {});
        const rows = leases.map(lease => [lease.leaseId, lease.budget, lease.vm, lease.state, lease.heldTokens, lease.settledTokens]);
        this.print({ leases }, formatTable(["LEASE", "BUDGET", "VM", "STATE", "HELD", "SETTLED"], rows));
        return operatorExitCodes.ok;
    }
}

/** Drains a backend server, or ends its drain. */
export class DrainCommand extends OperatorCommand {
    static override paths = [["drain"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "Stop sending new requests to a backend server, or resume with --undo.",
        examples: [["Drain a backend server and wait", "lovagectl drain engine-1 --wait"]],
    });

    backendServer = Option.String();
    isUndo = Option.Boolean("--undo", false, { description: "Resume sending requests." });
    shouldWait = Option.Boolean("--wait", false, { description: "Show progress until the fleet list shows the change." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const isDraining = !this.isUndo;
        const result = await client.submit("fleet.drain", { backendServer: this.backendServer, isDraining });
        const text = result.isKnown
            ? `${this.backendServer} ${isDraining ? "will receive no new requests after 3 s" : "receives requests again"}.\n`
            : `${this.backendServer} has not registered yet. The setting applies when it does.\n`;
        this.print({ backendServer: this.backendServer, isDraining, isKnown: result.isKnown }, text);
        const isInEffect = !this.shouldWait || !result.isKnown || await this.waitForDrain(client, isDraining);
        return isInEffect ? operatorExitCodes.ok : operatorExitCodes.notInEffect;
    }

    private waitForDrain(client: AdministrationClient, isDraining: boolean): Promise<boolean> {
        return pollUntil(
            async () => {
                const { agents } = await client.query("fleet.list", {});
                const agent = agents.find(candidate => candidate.backendServer === this.backendServer);
                this.context.stderr.write(`${this.backendServer}: ${agent?.isDraining === true ? "draining" : agent?.state ?? "gone"}\n`);
                return agent === undefined || agent.isDraining === isDraining;
            },
            drainTimeoutMs,
            drainPollIntervalMs,
        );
    }
}

/** Evacuates a failure domain, or ends its evacuation. */
export class EvacuateCommand extends OperatorCommand {
    static override paths = [["evacuate"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "Stop sending new requests to all backend servers of a failure domain, or resume with --finish.",
        details:
            "Requests in flight finish. `lovagectl status` shows which entries have not confirmed the order. It is safe to give the order again.",
        examples: [
            ["Evacuate a failure domain", "lovagectl evacuate pnw-b"],
            ["Send requests there again", "lovagectl evacuate pnw-b --finish"],
        ],
    });

    failureDomain = Option.String();
    isFinish = Option.Boolean("--finish", false, { description: "End the evacuation." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const outcome = await client.evacuate(this.failureDomain, this.isFinish ? "finish" : "begin");
        const effect = this.isFinish ? "receives requests again" : "receives no new requests after 5 s";
        const suffix = outcome === "repeated" ? " (the order was in force already)" : "";
        this.print(
            { failureDomain: this.failureDomain, isEvacuated: !this.isFinish, outcome },
            `${this.failureDomain} ${effect}${suffix}.\n`,
        );
        return operatorExitCodes.ok;
    }
}

/** Lists backend servers. With `--json` the output also has the entries. */
export class FleetCommand extends OperatorCommand {
    static override paths = [["fleet"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "List the registered backend servers.",
        examples: [["List backend servers", "lovagectl fleet"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const fleet = await client.query("fleet.list", {});
        const rows = fleet.agents.map(
            agent => [agent.backendServer, agent.pool, agent.failureDomain, agent.isDraining ? "draining" : agent.state],
        );
        this.print(fleet, formatTable(["BACKEND SERVER", "POOL", "FAILURE DOMAIN", "STATE"], rows));
        return operatorExitCodes.ok;
    }
}

/** Prints the audit log. */
export class AuditCommand extends OperatorCommand {
    static override paths = [["audit"]];
    static override usage = Command.Usage({
        category: "State",
        description: "Print the audit log of accepted and rejected changes.",
        examples: [
            ["Show the last hour", "lovagectl audit --since 1h"],
            ["Show the records since a time", "lovagectl audit --since 2026-12-04T00:00:00Z"],
        ],
    });

    since = Option.String("--since", "24h", {
        description: "Start of the records, as a date and time or as an age such as 30m, 24h or 7d.",
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { records } = await client.query("audit.since", { wallMs: parseSince(this.since), limit: maxAuditRecords });
        const rows = records.map(
            record => [new Date(record.wallMs).toISOString(), record.actor, record.action, record.outcome, record.detail],
        );
        this.print({ records }, formatTable(["TIME", "WHO", "WHAT", "OUTCOME", "DETAIL"], rows));
        return operatorExitCodes.ok;
    }
}

const ageUnitsMs: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: hourMs, d: 24 * hourMs };

/** Parses the value of `--since`, a date and time or an age, to milliseconds since the Unix epoch. */
export function parseSince(text: string): number {
    const age = /^(\d+)([smhd])$/.exec(text);
    if (age) return Math.max(0, getWallMs() - Number(age[1]) * ageUnitsMs[age[2]!]!);
    const time = Date.parse(text);
    if (Number.isNaN(time)) throw new CommandUsageError(`--since ${text} is neither a date and time nor an age such as 24h.`);
    return Math.max(0, time);
}

/** Lists request fingerprints and prompt parts that are suspected of crashing backend servers, or quarantined. */
export class QuarantineListCommand extends OperatorCommand {
    static override paths = [["quarantine", "list"], ["quarantine"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "List the fingerprints of requests, and the parts of prompts, that crashed backend servers.",
        examples: [["List fingerprints and parts", "lovagectl quarantine list"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { fingerprints, parts } = await client.query("quarantine.list", {});
        const rows = [
            ...fingerprints.map(record => ["request", record.fingerprint, record.suspicion, record.crashes]),
            ...parts.map(part => ["part", part.partId, part.suspicion, part.crashes.length]),
        ];
        this.print({ fingerprints, parts }, formatTable(["KIND", "FINGERPRINT", "STATE", "CRASHES"], rows));
        return operatorExitCodes.ok;
    }
}

/** Removes a request fingerprint or a prompt part from quarantine. */
export class QuarantineClearCommand extends OperatorCommand {
    static override paths = [["quarantine", "clear"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "Remove a request fingerprint or a prompt part from quarantine, so that such requests run again.",
        examples: [["Clear a fingerprint", "lovagectl quarantine clear FINGERPRINT"]],
    });

    fingerprint = Option.String();

    protected override async run(client: AdministrationClient): Promise<number> {
        const result = await client.submit("quarantine.clear", { fingerprint: this.fingerprint });
        this.print(result, result.isKnown ? "Cleared.\n" : "The fingerprint or part was not found.\n");
        return result.isKnown ? operatorExitCodes.ok : operatorExitCodes.refused;
    }
}

/** Lists the voters and learners of the control group. */
export class VotersListCommand extends OperatorCommand {
    static override paths = [["voters", "list"], ["voters"]];
    static override usage = Command.Usage({
        category: "Control",
        description: "List the voters and learners of the control group.",
        examples: [["List voters", "lovagectl voters list"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const status = await client.getStatus();
        const rows = status.voters.map(voter => [voter.voterId, voter.address, voter.failureDomain, voter.isLearner ? "learner" : "voter"]);
        this.print(
            { voters: status.voters, leaderAddress: status.leaderAddress, term: status.term },
            `Leader: ${status.leaderAddress ?? "unknown"}, term ${status.term}.\n${
                formatTable(["VOTER", "ADDRESS", "FAILURE DOMAIN", "STATE"], rows)
            }`,
        );
        return operatorExitCodes.ok;
    }
}

/** Replaces a voter of the control group. */
export class VotersReplaceCommand extends OperatorCommand {
    static override paths = [["voters", "replace"]];
    static override usage = Command.Usage({
        category: "Control",
        description: "Replace a voter with a new one in a single membership change (joint consensus).",
        details: "First initialize the new voter's data folder with `lovage-control init --join` and start the voter.",
        examples: [["Replace v2", "lovagectl voters replace v2 --voter-id v4 --address 127.0.0.1:7004 --failure-domain pnw-b"]],
    });

    oldVoterId = Option.String();
    voterId = Option.String("--voter-id", { description: "Identifier of the new voter." });
    address = Option.String("--address", { description: "Address of the new voter." });
    failureDomain = Option.String("--failure-domain", { description: "Failure domain of the new voter." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const voterId = this.requireValue("--voter-id", this.voterId);
        const address = this.requireValue("--address", this.address);
        const failureDomain = this.requireValue("--failure-domain", this.failureDomain);
        await client.replaceVoter({ oldVoterId: this.oldVoterId, voterId, address, failureDomain });
        this.print({ replaced: this.oldVoterId, voterId }, `${voterId} has replaced ${this.oldVoterId} as a voter.\n`);
        return operatorExitCodes.ok;
    }
}

function formatEvacuations(evacuations: readonly EvacuationStatus[]): string {
    return evacuations.map(({ failureDomain, since, actor, unconfirmedEntries }) => {
        const confirmation = unconfirmedEntries.length === 0
            ? "All entries have confirmed."
            : `Not confirmed by: ${unconfirmedEntries.join(", ")}.`;
        return `${failureDomain} is evacuated since ${since}, by ${actor}. ${confirmation}\n`;
    }).join("");
}

function formatBudgets(budgets: readonly BudgetView[]): string {
    const rows = budgets.map(budget => [
        budget.budget,
        budget.toppedUpTokens,
        budget.settledTokens,
        budget.leasedTokens,
        budget.inDoubtTokens,
        budget.freeTokens,
    ]);
    return formatTable(["BUDGET", "TOPPED UP", "SETTLED", "LEASED", "IN DOUBT", "FREE"], rows);
}

/** Commands on running state: status, budgets, drain, audit, quarantine and voters. */
import { Command, Option } from "clipanion";
import type { BudgetView } from "../kernel/messages.js";
import type { AdministrationClient } from "./client.js";
import { getWallMs, pause } from "./clock.js";
import { OperatorCommand, operatorExitCodes, UsageProblem } from "./operatorCommand.js";
import { formatTable } from "./table.js";

const hourMs = 3_600_000;
const drainPollMs = 500;
const drainTimeoutMs = 600_000;
const maxAuditRecords = 1_000;

/** Shows versions in force. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({
        category: "State",
        description: "Show the version in force on every VM, and those that lag.",
        examples: [["Show it", "lovagectl status"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const status = await client.getStatus();
        const vms = status.vms.map(({ vm, role, failureDomain, versionInForce }) => ({ vm, role, failureDomain, versionInForce }));
        const late = vms.filter(vm => vm.versionInForce < status.version).map(vm => vm.vm);
        const rows = vms.map(vm => [vm.vm, vm.role, vm.failureDomain, vm.versionInForce]);
        const text = `Version ${status.version} is in force. ${late.length === 0 ? "No VM lags." : `Lagging: ${late.join(", ")}.`}\n`;
        this.print({ version: status.version, vms, lagging: late }, text + formatTable(["VM", "ROLE", "FAILURE DOMAIN", "VERSION"], rows));
        return operatorExitCodes.ok;
    }
}

/** Shows one budget. */
export class BudgetsShowCommand extends OperatorCommand {
    static override paths = [["budgets", "show"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "Show one budget.",
        examples: [["Show it", "lovagectl budgets show dev-budget-1"]],
    });

    budget = Option.String();

    protected override async run(client: AdministrationClient): Promise<number> {
        const { budget } = await client.query("budgets.show", { budget: this.budget });
        if (budget === undefined) throw new UsageProblem(`there is no budget ${this.budget}.`);
        this.print(budget, formatBudgets([budget]));
        return operatorExitCodes.ok;
    }
}

/** Lists budgets. */
export class BudgetsListCommand extends OperatorCommand {
    static override paths = [["budgets"], ["budgets", "list"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "List budgets with their balances.",
        examples: [["List them", "lovagectl budgets"]],
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
        details: "Give the same --operation-id when you resend after a lost answer: the tokens are added once.",
        examples: [["Add tokens", "lovagectl budgets top-up dev-budget-1 --tokens 500000 --operation-id invoice-1017"]],
    });

    budget = Option.String();
    tokens = Option.String("--tokens", { description: "Tokens to add." });
    operationId = Option.String("--operation-id", { description: "Identifier of this top-up, for resends." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const tokens = this.requireCount("--tokens", this.tokens);
        const operationId = this.require("--operation-id", this.operationId);
        if (tokens === 0) throw new UsageProblem("--tokens must be above zero.");
        const result = await client.submit("budgets.topUp", { budget: this.budget, tokens }, operationId);
        if (!result.isKnown) throw new UsageProblem(`there is no budget ${this.budget}.`);
        this.print(
            { budget: this.budget, toppedUpTokens: result.toppedUpTokens },
            `${this.budget} is topped up to ${result.toppedUpTokens} tokens.\n`,
        );
        return operatorExitCodes.ok;
    }
}

/** Lists leases, or ends one that is in doubt. */
export class BudgetsReleaseCommand extends OperatorCommand {
    static override paths = [["budgets", "release"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "End a lease that is in doubt, at the tokens that it is to count as spent.",
        examples: [["Free all but 120 tokens", "lovagectl budgets release LEASE --spent 120 --operation-id release-1"]],
    });

    leaseId = Option.String();
    spent = Option.String("--spent", { description: "Tokens that count as spent." });
    operationId = Option.String("--operation-id", { description: "Identifier of this release, for resends." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const spentTokens = this.requireCount("--spent", this.spent);
        const result = await client.submit(
            "budgets.release",
            { leaseId: this.leaseId, spentTokens },
            this.require("--operation-id", this.operationId),
        );
        this.print(result, result.isKnown ? "The lease is closed.\n" : "There is no such lease in doubt.\n");
        return result.isKnown ? operatorExitCodes.ok : operatorExitCodes.refused;
    }
}

/** Lists leases. */
export class LeasesCommand extends OperatorCommand {
    static override paths = [["budgets", "leases"]];
    static override usage = Command.Usage({
        category: "Budgets",
        description: "List leases and what they hold.",
        examples: [["List them", "lovagectl budgets leases"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { leases } = await client.query("leases.list", {});
        const rows = leases.map(lease => [lease.leaseId, lease.budget, lease.vm, lease.state, lease.heldTokens, lease.settledTokens]);
        this.print({ leases }, formatTable(["LEASE", "BUDGET", "VM", "STATE", "HELD", "SETTLED"], rows));
        return operatorExitCodes.ok;
    }
}

/** Drains a backend server. */
export class DrainCommand extends OperatorCommand {
    static override paths = [["drain"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "Send no new work to a backend server, or lift that with --undo.",
        examples: [["Drain it and wait", "lovagectl drain engine-1 --wait"]],
    });

    backendServer = Option.String();
    isUndone = Option.Boolean("--undo", false, { description: "Send work again." });
    isWaiting = Option.Boolean("--wait", false, { description: "Show progress until the backend server is marked as draining." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const isDraining = !this.isUndone;
        const result = await client.submit("fleet.drain", { backendServer: this.backendServer, isDraining });
        const text = result.isKnown
            ? `${this.backendServer} ${isDraining ? "takes no new work within 3 s" : "takes work again"}.\n`
            : `${this.backendServer} is not known yet. It is kept from work when it announces itself.\n`;
        this.print({ backendServer: this.backendServer, isDraining, isKnown: result.isKnown }, text);
        if (this.isWaiting && result.isKnown) await this.waitForDrain(client, isDraining);
        return operatorExitCodes.ok;
    }

    private async waitForDrain(client: AdministrationClient, isDraining: boolean): Promise<void> {
        for (let waitedMs = 0; waitedMs < drainTimeoutMs; waitedMs += drainPollMs) {
            const { agents } = await client.query("fleet.list", {});
            const agent = agents.find(candidate => candidate.backendServer === this.backendServer);
            this.context.stderr.write(`${this.backendServer}: ${agent?.isDraining === true ? "draining" : agent?.state ?? "gone"}\n`);
            if (agent === undefined || agent.isDraining === isDraining) return;
            await pause(drainPollMs);
        }
    }
}

/** Lists backend servers and entries. */
export class FleetCommand extends OperatorCommand {
    static override paths = [["fleet"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "List backend servers that have announced themselves.",
        examples: [["List them", "lovagectl fleet"]],
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

/** Reads the audit trail. */
export class AuditCommand extends OperatorCommand {
    static override paths = [["audit"]];
    static override usage = Command.Usage({
        category: "State",
        description: "Read the audit trail of changes, refusals too.",
        examples: [["The last hour", "lovagectl audit --since 1h"], ["Since a time", "lovagectl audit --since 2026-12-04T00:00:00Z"]],
    });

    since = Option.String("--since", "24h", { description: "A time, or an age such as 30m, 24h or 7d." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { records } = await client.query("audit.since", { wallMs: readSince(this.since), limit: maxAuditRecords });
        const rows = records.map(
            record => [new Date(record.wallMs).toISOString(), record.actor, record.action, record.outcome, record.detail],
        );
        this.print({ records }, formatTable(["TIME", "WHO", "WHAT", "OUTCOME", "DETAIL"], rows));
        return operatorExitCodes.ok;
    }
}

const unitsMs: Readonly<Record<string, number>> = { s: 1_000, m: 60_000, h: hourMs, d: 24 * hourMs };

/** Start of a time span, in milliseconds since the epoch. */
export function readSince(text: string): number {
    const age = /^(\d+)([smhd])$/.exec(text);
    if (age) return Math.max(0, getWallMs() - Number(age[1]) * unitsMs[age[2]!]!);
    const time = Date.parse(text);
    if (Number.isNaN(time)) throw new UsageProblem(`--since ${text} is neither a time nor an age such as 24h.`);
    return Math.max(0, time);
}

/** Lists requests that are held back. */
export class QuarantineListCommand extends OperatorCommand {
    static override paths = [["quarantine", "list"], ["quarantine"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "List requests that crashed backend servers.",
        examples: [["List them", "lovagectl quarantine list"]],
    });

    protected override async run(client: AdministrationClient): Promise<number> {
        const { fingerprints } = await client.query("quarantine.list", {});
        const rows = fingerprints.map(item => [item.fingerprint, item.suspicion, item.crashes]);
        this.print({ fingerprints }, formatTable(["FINGERPRINT", "STATE", "CRASHES"], rows));
        return operatorExitCodes.ok;
    }
}

/** Lets a request run again. */
export class QuarantineClearCommand extends OperatorCommand {
    static override paths = [["quarantine", "clear"]];
    static override usage = Command.Usage({
        category: "Fleet",
        description: "Let a held request run again.",
        examples: [["Clear it", "lovagectl quarantine clear FINGERPRINT"]],
    });

    fingerprint = Option.String();

    protected override async run(client: AdministrationClient): Promise<number> {
        const result = await client.submit("quarantine.clear", { fingerprint: this.fingerprint });
        this.print(result, result.isKnown ? "Cleared.\n" : "It was not held back.\n");
        return result.isKnown ? operatorExitCodes.ok : operatorExitCodes.refused;
    }
}

/** Lists voters. */
export class VotersListCommand extends OperatorCommand {
    static override paths = [["voters", "list"], ["voters"]];
    static override usage = Command.Usage({
        category: "Control",
        description: "List the voters of control.",
        examples: [["List them", "lovagectl voters list"]],
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

/** Replaces a voter. */
export class VotersReplaceCommand extends OperatorCommand {
    static override paths = [["voters", "replace"]];
    static override usage = Command.Usage({
        category: "Control",
        description: "Put a new voter in the place of an old one, by one joint change.",
        details: "First format the new voter's folder with `lovage-control init --join` and start it.",
        examples: [["Replace v2", "lovagectl voters replace v2 --voter-id v4 --address 127.0.0.1:7004 --failure-domain pnw-b"]],
    });

    oldVoterId = Option.String();
    voterId = Option.String("--voter-id", { description: "New identity." });
    address = Option.String("--address", { description: "Address of the new voter." });
    failureDomain = Option.String("--failure-domain", { description: "Failure domain of the new voter." });

    protected override async run(client: AdministrationClient): Promise<number> {
        const voterId = this.require("--voter-id", this.voterId);
        const address = this.require("--address", this.address);
        const failureDomain = this.require("--failure-domain", this.failureDomain);
        await client.replaceVoter({ oldVoterId: this.oldVoterId, voterId, address, failureDomain });
        this.print({ replaced: this.oldVoterId, voterId }, `${voterId} votes in place of ${this.oldVoterId}.\n`);
        return operatorExitCodes.ok;
    }
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

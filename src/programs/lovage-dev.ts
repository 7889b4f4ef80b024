/** `lovage-dev`: all roles in one process on the loopback interface, with simulated backend servers, for local trials. */
import { Command, Option } from "clipanion";
import { mkdtemp, readFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Control } from "../control/control.js";
import type { Host, Listener } from "../kernel/host.js";
import { createNodeHost } from "../kernel/hostNode.js";
import { createLoggerFactory } from "../kernel/log.js";
import { getErrorText, sleep } from "../kernel/tasks.js";
import { findFreeAddress } from "../standins/freeAddress.js";
import { createModelEngine } from "../standins/modelEngine.js";
import { createPlainService } from "../standins/plainService.js";
import { initializeControl, startAgent, startControl, startEntry } from "../wiring.js";
import type { RunningProcess } from "../wiring.js";
import { exitCodes, waitForStopSignal } from "./processCommand.js";
import { runProgram } from "./runProgram.js";
import { readAddress, readLogLevel, SettingError } from "./settings.js";

const operatorToken = "dev-operator";
const fleetSecret = "dev-fleet";
const failureDomains = ["pnw-a", "pnw-b", "pnw-c"] as const;
const engineCount = 4;
const serviceCount = 2;
const maxBodyBytes = 8 * 1024 * 1024;
const startTimeoutMs = 20_000;
const pollIntervalMs = 50;

class DevCommand extends Command {
    static override paths = [Command.Default];
    static override usage = Command.Usage({
        description: "Run the whole system on the loopback interface with simulated backend servers.",
        examples: [["Run the system", "npm start"]],
    });

    entry1 = Option.String("--entry-1", "127.0.0.1:8080", { env: "LOVAGE_ENTRY_1", description: "Address of the first entry." });
    entry2 = Option.String("--entry-2", "127.0.0.1:8081", { env: "LOVAGE_ENTRY_2", description: "Address of the second entry." });
    administration = Option.String("--administration", "127.0.0.1:8090", {
        env: "LOVAGE_ADMINISTRATION",
        description: "Address of the administration API.",
    });
    data = Option.String("--data", { env: "LOVAGE_DATA", description: "Data folder. Default: a new temporary folder." });
    configurationFile = Option.String("--set", { env: "LOVAGE_SET", description: "Configuration file. Default: examples/cascade.json." });
    logLevel = Option.String("--log-level", "warn", { env: "LOVAGE_LOG_LEVEL", description: "Log level: debug, info, warn or error." });

    override async execute(): Promise<number> {
        try {
            const level = readLogLevel(this.logLevel);
            const host = createNodeHost({ fleetSecret, createLogger: createLoggerFactory({ level, isJson: false, vm: "dev" }) });
            const processes = await this.startAll(host);
            this.context.stdout.write(this.formatReadyMessage());
            await waitForStopSignal();
            process.once("SIGTERM", () => process.exit(exitCodes.failed));
            process.once("SIGINT", () => process.exit(exitCodes.failed));
            for (const running of processes) await running.stop();
            process.exit(exitCodes.ok);
        }
        catch (error) {
            this.context.stderr.write(`lovage-dev: ${getErrorText(error)}\n`);
            process.exit(error instanceof SettingError ? exitCodes.invalidSettings : exitCodes.failed);
        }
    }

    private formatReadyMessage(): string {
        const body =
            "{\"model\":\"lovage-pool\",\"messages\":[{\"role\":\"user\",\"content\":\"Word a tab for exhibits.\"}],\"max_tokens\":32}";
        return `ready entries=${this.entry1},${this.entry2} administration=${this.administration}\n`
            + `curl -s http://${this.entry1}/v1/chat/completions -H 'Authorization: Bearer dev-key-1' -H 'Content-Type: application/json' -d '${body}'\n`;
    }

    // Returns the processes in the order in which they stop. Entries stop before agents, and agents before control, so that no
    // request in flight is interrupted.
    private async startAll(host: Host): Promise<readonly { stop(): Promise<void>; }[]> {
        const control = await this.startControl(host);
        const controlAddresses = [control.listeners[0]!.address];
        await this.loadExampleData(host, control);
        const agents = await this.startAgents(host, controlAddresses);
        const entries = await Promise.all([this.entry1, this.entry2].map(async (listen, position) =>
            startEntry(host, {
                vm: `dev-entry-${position + 1}`,
                failureDomain: failureDomains[position]!,
                listen: readAddress({ flag: `--entry-${position + 1}`, variable: `LOVAGE_ENTRY_${position + 1}`, value: listen }),
                fleetListen: await findFreeAddress(host),
                controlAddresses,
            })
        ));
        await waitFor(host, () => entries.every(entry => entry.part.isReady()), "the entries");
        await waitFor(host, () => agents.every(agent => agent.part.isReady()), "the agents");
        await waitFor(
            host,
            () => entries.every(entry => knowsAllBackendServers(entry.part.requestRouter, host.clock.nowMs())),
            "the load reports",
        );
        return [...entries, ...agents, control];
    }

    private async startControl(host: Host): Promise<RunningProcess<Control>> {
        const dataFolder = this.data ?? await mkdtemp(join(tmpdir(), "lovage-dev-"));
        const listen = await findFreeAddress(host);
        const self = { voterId: "dev-1", address: listen, failureDomain: failureDomains[0] };
        const settings = { groupId: "dev", voterId: "dev-1", dataFolder };
        await initializeControl(host, settings, [self]).catch(error => {
            // The folder of an earlier run is reused.
            if (!getErrorText(error).includes("already holds")) throw error;
        });
        const control = await startControl(host, {
            ...settings,
            vm: "dev-control",
            failureDomain: failureDomains[0],
            listen,
            controlAddresses: [listen],
            operatorToken,
            administrationListen: readAddress({ flag: "--administration", variable: "LOVAGE_ADMINISTRATION", value: this.administration }),
        });
        await waitFor(host, () => control.part.replica.getStatus().role === "leader", "control");
        return control;
    }

    private async loadExampleData(host: Host, control: RunningProcess<Control>): Promise<void> {
        const file = this.configurationFile ?? fileURLToPath(new URL("../../../examples/cascade.json", import.meta.url));
        const { objects } = JSON.parse(await readFile(file, "utf8")) as { objects: unknown[]; };
        const { version } = control.part.state.getConfiguration();
        const options = { timeoutMs: startTimeoutMs };
        if (version === 0) {
            const input = { baseVersion: 0, changeId: "dev-example", objects, actor: "lovage-dev" };
            const outcome = await control.control.submit("configuration.apply", input, options);
            if (outcome.kind !== "done" || outcome.result.problems.length > 0) {
                throw new SettingError(`the configuration in ${file} was rejected: ${JSON.stringify(outcome)}`);
            }
        }
        for (const [budget, tokens] of [["dev-budget-1", 1_000_000], ["dev-budget-2", 200]] as const) {
            await control.control.submit("budgets.topUp", { budget, tokens, actor: "lovage-dev" }, {
                ...options,
                operationId: `dev-top-up-${budget}`,
            });
        }
    }

    private async startAgents(host: Host, controlAddresses: readonly string[]) {
        const engines = Array.from({ length: engineCount }, (_, position) => ({
            name: `engine-${position + 1}`,
            pool: "lovage-pool",
            models: ["lovage-pool"],
            kind: "modelEngine" as const,
            handler: createModelEngine(host).handle,
        }));
        const services = Array.from({ length: serviceCount }, (_, position) => ({
            name: `desk-${position + 1}`,
            pool: "shopdesk",
            models: [],
            kind: "plainService" as const,
            handler: createPlainService(host).handle,
        }));
        return Promise.all([...engines, ...services].map(async (server, position) => {
            const listener: Listener = await host.network.serve({
                address: "127.0.0.1:0",
                kind: "fleet",
                handler: server.handler,
                maxBodyBytes,
            });
            return startAgent(host, {
                vm: `dev-agent-${server.name}`,
                failureDomain: failureDomains[position % failureDomains.length]!,
                listen: await findFreeAddress(host),
                controlAddresses,
                backendServer: server.name,
                backendServerAddress: listener.address,
                kind: server.kind,
                pool: server.pool,
                models: server.models,
                adapters: [],
                checksFencing: true,
                maxConcurrent: 8,
                fleetSecret,
            });
        }));
    }
}

function knowsAllBackendServers(router: { countCandidates(pool: string, nowMs: number): number; }, nowMs: number): boolean {
    return router.countCandidates("lovage-pool", nowMs) === engineCount && router.countCandidates("shopdesk", nowMs) === serviceCount;
}

async function waitFor(host: Host, condition: () => boolean, subject: string): Promise<void> {
    const deadlineMs = host.clock.nowMs() + startTimeoutMs;
    while (!condition()) {
        if (host.clock.nowMs() > deadlineMs) throw new Error(`${subject} did not become ready within ${startTimeoutMs} ms`);
        await sleep(host.timers, pollIntervalMs);
    }
}

void runProgram("lovage-dev", [DevCommand]);

/** What the commands of all serving processes share: common flags, logs, signals and the exit code. */
import { Command, Option } from "clipanion";
import type { Host } from "../kernel/host.js";
import { createNodeHost } from "../kernel/hostNode.js";
import { createLoggerFactory } from "../kernel/log.js";
import { getErrorText } from "../kernel/tasks.js";
import type { ProcessSettings, RunningProcess } from "../wiring.js";
import { readAddress, readAddresses, readLogLevel, readSecret, readText, SettingError } from "./settings.js";

/** Exit codes of every program. */
export const exitCodes = { ok: 0, failed: 1, badSettings: 2 } as const;

/** Base of the commands that run a process until it is told to stop. */
export abstract class ProcessCommand extends Command {
    vm = Option.String("--vm", { env: "LOVAGE_VM", description: "Name of this VM. Unique in the fleet." });
    failureDomain = Option.String("--failure-domain", { env: "LOVAGE_FAILURE_DOMAIN", description: "Failure domain of this VM." });
    listen = Option.String("--listen", { env: "LOVAGE_LISTEN", description: "IP number and port to serve on." });
    control = Option.String("--control", { env: "LOVAGE_CONTROL", description: "Addresses of all control VMs, with commas between." });
    fleetSecretFile = Option.String("--fleet-secret-file", {
        env: "LOVAGE_FLEET_SECRET_FILE",
        description: "File with the secret that the fleet's processes share. LOVAGE_FLEET_SECRET may hold it instead.",
    });
    logLevel = Option.String("--log-level", { env: "LOVAGE_LOG_LEVEL", description: "debug, info, warn or error." });
    isLogJson = Option.Boolean("--log-json", false, { description: "One JSON object a line." });

    /** Starts the process. */
    protected abstract start(host: Host, fleetSecret: string): Promise<RunningProcess<unknown>>;

    override async execute(): Promise<number> {
        try {
            const running = await this.begin();
            await this.runUntilStopped(running);
            return exitCodes.ok;
        }
        catch (error) {
            this.context.stderr.write(`${this.cli.binaryName}: ${getErrorText(error)}\n`);
            return error instanceof SettingError ? exitCodes.badSettings : exitCodes.failed;
        }
    }

    /** Settings that all processes have. */
    protected readCommon(): ProcessSettings {
        return {
            vm: readText({ flag: "--vm", variable: "LOVAGE_VM", value: this.vm }),
            failureDomain: readText({ flag: "--failure-domain", variable: "LOVAGE_FAILURE_DOMAIN", value: this.failureDomain }),
            listen: readAddress({ flag: "--listen", variable: "LOVAGE_LISTEN", value: this.listen }),
            controlAddresses: readAddresses({ flag: "--control", variable: "LOVAGE_CONTROL", value: this.control }),
        };
    }

    /** The real host of this process. */
    protected createHost(fleetSecret: string): Host {
        const level = readLogLevel(this.logLevel);
        return createNodeHost({ fleetSecret, createLogger: createLoggerFactory({ level, isJson: this.isLogJson, vm: this.vm ?? "" }) });
    }

    protected readFleetSecret(): string {
        return readSecret(
            { flag: "--fleet-secret-file", variable: "LOVAGE_FLEET_SECRET_FILE", value: this.fleetSecretFile },
            "LOVAGE_FLEET_SECRET",
        );
    }

    private async begin(): Promise<RunningProcess<unknown>> {
        this.readCommon();
        const fleetSecret = this.readFleetSecret();
        const running = await this.start(this.createHost(fleetSecret), fleetSecret);
        const addresses = running.listeners.map(listener => listener.address).join(" ");
        this.context.stdout.write(`ready ${addresses}\n`);
        return running;
    }

    // The first signal stops gracefully. A second one ends at once.
    private async runUntilStopped(running: RunningProcess<unknown>): Promise<void> {
        process.on("SIGHUP", () => {
            for (const listener of running.listeners) {
                listener.reloadTls().catch(error =>
                    this.context.stderr.write(`The TLS files were not read again: ${getErrorText(error)}\n`)
                );
            }
        });
        await waitForStopSignal();
        process.once("SIGTERM", () => process.exit(exitCodes.failed));
        process.once("SIGINT", () => process.exit(exitCodes.failed));
        await running.stop();
        // Long polls of other processes may hold connections open.
        setTimeout(() => process.exit(exitCodes.ok), exitDelayMs).unref();
    }
}

const exitDelayMs = 500;

/** Resolves at the first SIGTERM or SIGINT. */
export function waitForStopSignal(): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", () => resolve());
        process.once("SIGINT", () => resolve());
    });
}

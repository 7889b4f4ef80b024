/** Base class of the commands that run a long-lived process: common flags, logging, signal handling and exit codes. */
import { Command, Option } from "clipanion";
import type { Host } from "../kernel/host.js";
import { createNodeHost } from "../kernel/hostNode.js";
import { createLoggerFactory } from "../kernel/log.js";
import { defaultAllowance } from "../kernel/processLimits.js";
import type { ProcessAllowance } from "../kernel/processLimits.js";
import { getErrorText } from "../kernel/tasks.js";
import type { ProcessSettings, RunningProcess } from "../wiring.js";
import { readAddress, readAddresses, readLogLevel, readPositiveInteger, readRequired, readSecret, SettingError } from "./settings.js";

/** Exit codes of all programs. `lovagectl` has further ones. */
export const exitCodes = { ok: 0, failed: 1, invalidSettings: 2 } as const;

/** Base class of the commands that run a process until it receives a stop signal. */
export abstract class ProcessCommand extends Command {
    vm = Option.String("--vm", { env: "LOVAGE_VM", description: "Name of this VM, unique in the fleet." });
    failureDomain = Option.String("--failure-domain", { env: "LOVAGE_FAILURE_DOMAIN", description: "Failure domain of this VM." });
    listen = Option.String("--listen", { env: "LOVAGE_LISTEN", description: "IP address and port to listen on." });
    control = Option.String("--control", { env: "LOVAGE_CONTROL", description: "Addresses of all control VMs, separated by commas." });
    fleetSecretFile = Option.String("--fleet-secret-file", {
        env: "LOVAGE_FLEET_SECRET_FILE",
        description:
            "File that contains the secret shared by all processes of the fleet. Alternative: set LOVAGE_FLEET_SECRET to the secret.",
    });
    memoryMb = Option.String("--memory-mb", {
        env: "LOVAGE_MEMORY_MB",
        description: `Memory that the process may use, in MiB. Default: ${defaultAllowance.memoryMb}.`,
    });
    maxDescriptors = Option.String("--max-descriptors", {
        env: "LOVAGE_MAX_DESCRIPTORS",
        description: `File descriptors that the process may use. Default: ${defaultAllowance.maxDescriptors}.`,
    });
    logLevel = Option.String("--log-level", {
        env: "LOVAGE_LOG_LEVEL",
        description: "Log level: debug, info, warn or error. Default: info.",
    });
    isLogJson = Option.Boolean("--log-json", false, { description: "Write each log line as a JSON object." });

    /** Starts the process. */
    protected abstract start(host: Host, fleetSecret: string): Promise<RunningProcess<unknown>>;

    override async execute(): Promise<number> {
        try {
            const running = await this.startAndReport();
            await this.runUntilStopped(running);
            return exitCodes.ok;
        }
        catch (error) {
            this.context.stderr.write(`${this.cli.binaryName}: ${getErrorText(error)}\n`);
            return error instanceof SettingError ? exitCodes.invalidSettings : exitCodes.failed;
        }
    }

    /** Reads the settings that all processes have in common. */
    protected readProcessSettings(): ProcessSettings {
        return {
            vm: readRequired({ flag: "--vm", variable: "LOVAGE_VM", value: this.vm }),
            failureDomain: readRequired({ flag: "--failure-domain", variable: "LOVAGE_FAILURE_DOMAIN", value: this.failureDomain }),
            listen: readAddress({ flag: "--listen", variable: "LOVAGE_LISTEN", value: this.listen }),
            controlAddresses: readAddresses({ flag: "--control", variable: "LOVAGE_CONTROL", value: this.control }),
        };
    }

    /** Creates the Node.js host: clock, timers, network, disk and loggers. */
    protected createHost(fleetSecret: string): Host {
        const level = readLogLevel(this.logLevel);
        return createNodeHost({
            fleetSecret,
            createLogger: createLoggerFactory({ level, isJson: this.isLogJson, vm: this.vm ?? "" }),
            failureDomain: this.failureDomain,
            allowance: this.readAllowance(),
        });
    }

    private readAllowance(): ProcessAllowance {
        const { memoryMb = String(defaultAllowance.memoryMb), maxDescriptors = String(defaultAllowance.maxDescriptors) } = this;
        return {
            memoryMb: readPositiveInteger({ flag: "--memory-mb", variable: "LOVAGE_MEMORY_MB", value: memoryMb }),
            maxDescriptors: readPositiveInteger({ flag: "--max-descriptors", variable: "LOVAGE_MAX_DESCRIPTORS", value: maxDescriptors }),
        };
    }

    protected readFleetSecret(): string {
        return readSecret(
            { flag: "--fleet-secret-file", variable: "LOVAGE_FLEET_SECRET_FILE", value: this.fleetSecretFile },
            "LOVAGE_FLEET_SECRET",
        );
    }

    // Prints the bound addresses once the process is ready to serve.
    private async startAndReport(): Promise<RunningProcess<unknown>> {
        // Reports invalid common settings before the secret is read. The result is read again by `start`.
        this.readProcessSettings();
        const fleetSecret = this.readFleetSecret();
        const running = await this.start(this.createHost(fleetSecret), fleetSecret);
        const addresses = running.listeners.map(listener => listener.address).join(" ");
        this.context.stdout.write(`ready ${addresses}\n`);
        return running;
    }

    // The first signal starts a graceful stop. A second one exits immediately.
    private async runUntilStopped(running: RunningProcess<unknown>): Promise<void> {
        process.on("SIGHUP", () => {
            for (const listener of running.listeners) {
                listener.reloadTls().catch(error => this.context.stderr.write(`Failed to reload the TLS files: ${getErrorText(error)}\n`));
            }
        });
        await waitForStopSignal();
        process.once("SIGTERM", () => process.exit(exitCodes.failed));
        process.once("SIGINT", () => process.exit(exitCodes.failed));
        await running.stop();
        // Long polls from other processes may keep connections, and therefore this process, alive.
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

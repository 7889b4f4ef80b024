/** `lovage-entry`: the process that accepts client requests. */
import { Command, Option } from "clipanion";
import type { Host } from "../kernel/host.js";
import { startEntry } from "../wiring.js";
import type { RunningProcess } from "../wiring.js";
import { ProcessCommand } from "./processCommand.js";
import { runProgram } from "./runProgram.js";
import { readAddress, readTls } from "./settings.js";

class RunCommand extends ProcessCommand {
    static override paths = [["run"], Command.Default];
    static override usage = Command.Usage({
        description: "Serve client requests.",
        examples: [[
            "Run an entry",
            "lovage-entry run --vm e1 --failure-domain pnw-a --listen 127.0.0.1:8080 --fleet-listen 127.0.0.1:7101 --control 127.0.0.1:7001",
        ]],
    });

    fleetListen = Option.String("--fleet-listen", {
        env: "LOVAGE_FLEET_LISTEN",
        description: "IP address and port for RPC between processes of the fleet.",
    });
    tlsCertificate = Option.String("--tls-certificate", {
        env: "LOVAGE_TLS_CERTIFICATE",
        description: "TLS certificate file.",
    });
    tlsKey = Option.String("--tls-key", { env: "LOVAGE_TLS_KEY", description: "TLS private key file." });

    protected override start(host: Host): Promise<RunningProcess<unknown>> {
        return startEntry(host, {
            ...this.readProcessSettings(),
            fleetListen: readAddress({ flag: "--fleet-listen", variable: "LOVAGE_FLEET_LISTEN", value: this.fleetListen }),
            tls: readTls(
                { flag: "--tls-certificate", variable: "LOVAGE_TLS_CERTIFICATE", value: this.tlsCertificate },
                { flag: "--tls-key", variable: "LOVAGE_TLS_KEY", value: this.tlsKey },
            ),
        });
    }
}

void runProgram("lovage-entry", [RunCommand]);

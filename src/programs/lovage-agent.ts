/** `lovage-agent`: the sidecar process of a backend server. */
import { Command, Option } from "clipanion";
import type { Host } from "../kernel/host.js";
import type { BackendServerKind } from "../kernel/types.js";
import { startAgent } from "../wiring.js";
import type { RunningProcess } from "../wiring.js";
import { ProcessCommand } from "./processCommand.js";
import { runProgram } from "./runProgram.js";
import { readAddress, readChoice, readList, readPositiveInteger, readRequired } from "./settings.js";

const backendServerKinds: readonly BackendServerKind[] = ["modelEngine", "plainService"];
const defaultMaxConcurrent = "8";

class RunCommand extends ProcessCommand {
    static override paths = [["run"], Command.Default];
    static override usage = Command.Usage({
        description: "Register a backend server and admit the requests sent to it.",
        examples: [[
            "Run an agent",
            "lovage-agent run --vm a1 --failure-domain pnw-a --listen 127.0.0.1:7201 --control 127.0.0.1:7001 --backend-server engine-1 --backend-server-address 127.0.0.1:9001 --kind modelEngine --pool lovage-pool --models lovage-pool",
        ]],
    });

    backendServer = Option.String("--backend-server", { env: "LOVAGE_BACKEND_SERVER", description: "Name of the backend server." });
    backendServerAddress = Option.String("--backend-server-address", {
        env: "LOVAGE_BACKEND_SERVER_ADDRESS",
        description: "IP address and port of the backend server.",
    });
    kind = Option.String("--kind", { env: "LOVAGE_KIND", description: "Kind of the backend server: modelEngine or plainService." });
    pool = Option.String("--pool", { env: "LOVAGE_POOL", description: "Pool that the backend server belongs to." });
    models = Option.String("--models", {
        env: "LOVAGE_MODELS",
        description: "Models that the backend server serves, separated by commas.",
    });
    adapters = Option.String("--adapters", {
        env: "LOVAGE_ADAPTERS",
        description: "Artifacts that the backend server has loaded, separated by commas.",
    });
    checksFencing = Option.Boolean("--checks-fencing", false, { description: "The backend server itself rejects stale fencing tokens." });
    maxConcurrent = Option.String("--max-concurrent", {
        env: "LOVAGE_MAX_CONCURRENT",
        description: `Maximum number of concurrent requests. Default: ${defaultMaxConcurrent}.`,
    });

    protected override start(host: Host, fleetSecret: string): Promise<RunningProcess<unknown>> {
        return startAgent(host, {
            ...this.readProcessSettings(),
            backendServer: readRequired({ flag: "--backend-server", variable: "LOVAGE_BACKEND_SERVER", value: this.backendServer }),
            backendServerAddress: readAddress({
                flag: "--backend-server-address",
                variable: "LOVAGE_BACKEND_SERVER_ADDRESS",
                value: this.backendServerAddress,
            }),
            kind: readChoice({ flag: "--kind", variable: "LOVAGE_KIND", value: this.kind }, backendServerKinds),
            pool: readRequired({ flag: "--pool", variable: "LOVAGE_POOL", value: this.pool }),
            models: readList(this.models),
            adapters: readList(this.adapters),
            checksFencing: this.checksFencing,
            maxConcurrent: readPositiveInteger({
                flag: "--max-concurrent",
                variable: "LOVAGE_MAX_CONCURRENT",
                value: this.maxConcurrent ?? defaultMaxConcurrent,
            }),
            fleetSecret,
        });
    }
}

void runProgram("lovage-agent", [RunCommand]);

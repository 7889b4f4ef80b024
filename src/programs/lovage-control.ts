/** `lovage-control`: one voter of the control group, which replicates the durable state. */
import { Command, Option } from "clipanion";
import type { Member } from "../control/log/types.js";
import type { Host } from "../kernel/host.js";
import { getErrorText } from "../kernel/tasks.js";
import { initializeControl, startControl } from "../wiring.js";
import type { RunningProcess } from "../wiring.js";
import { exitCodes, ProcessCommand } from "./processCommand.js";
import { runProgram } from "./runProgram.js";
import { readAddress, readRequired, readSecret, readTls, SettingError } from "./settings.js";

const defaultGroupId = "lovagefold";

class RunCommand extends ProcessCommand {
    static override paths = [["run"], Command.Default];
    static override usage = Command.Usage({
        description: "Run a voter on an initialized data folder.",
        examples: [[
            "Run a voter",
            "lovage-control run --vm c1 --failure-domain pnw-a --listen 127.0.0.1:7001 --control 127.0.0.1:7001 --voter-id v1 --data /var/lib/lovage",
        ]],
    });

    voterId = Option.String("--voter-id", {
        env: "LOVAGE_VOTER_ID",
        description: "Identifier of this voter. A voter whose data folder was lost needs a new identifier.",
    });
    groupId = Option.String("--group", { env: "LOVAGE_GROUP", description: "Name of the control group." });
    data = Option.String("--data", { env: "LOVAGE_DATA", description: "Data folder on a local disk of this VM." });
    administrationListen = Option.String("--administration-listen", {
        env: "LOVAGE_ADMINISTRATION_LISTEN",
        description: "IP address and port of the administration API. Default: the value of --listen.",
    });
    operatorTokenFile = Option.String("--operator-token-file", {
        env: "LOVAGE_OPERATOR_TOKEN_FILE",
        description: "File that contains the operator token. Alternative: set LOVAGE_OPERATOR_TOKEN to the token.",
    });
    tlsCertificate = Option.String("--tls-certificate", {
        env: "LOVAGE_TLS_CERTIFICATE",
        description: "TLS certificate file of the administration API.",
    });
    tlsKey = Option.String("--tls-key", { env: "LOVAGE_TLS_KEY", description: "TLS private key file of the administration API." });

    protected override start(host: Host): Promise<RunningProcess<unknown>> {
        const processSettings = this.readProcessSettings();
        const administrationListen = this.administrationListen ?? processSettings.listen;
        return startControl(host, {
            ...processSettings,
            voterId: readRequired({ flag: "--voter-id", variable: "LOVAGE_VOTER_ID", value: this.voterId }),
            groupId: this.groupId ?? defaultGroupId,
            dataFolder: readRequired({ flag: "--data", variable: "LOVAGE_DATA", value: this.data }),
            operatorToken: readSecret(
                { flag: "--operator-token-file", variable: "LOVAGE_OPERATOR_TOKEN_FILE", value: this.operatorTokenFile },
                "LOVAGE_OPERATOR_TOKEN",
            ),
            administrationListen: readAddress({
                flag: "--administration-listen",
                variable: "LOVAGE_ADMINISTRATION_LISTEN",
                value: administrationListen,
            }),
            tls: readTls(
                { flag: "--tls-certificate", variable: "LOVAGE_TLS_CERTIFICATE", value: this.tlsCertificate },
                { flag: "--tls-key", variable: "LOVAGE_TLS_KEY", value: this.tlsKey },
            ),
        });
    }
}

class InitCommand extends ProcessCommand {
    static override paths = [["init"]];
    static override usage = Command.Usage({
        description: "Initialize the data folder of a new voter.",
        details:
            "For a new group, list all its initial voters with --voters. A voter that is to replace another is initialized with --join and added by `lovagectl voters replace`.",
        examples: [
            [
                "Create a group",
                "lovage-control init --voter-id v1 --data /var/lib/lovage --voters v1=127.0.0.1:7001=pnw-a,v2=127.0.0.1:7002=pnw-b,v3=127.0.0.1:7003=pnw-c",
            ],
            ["Join a group", "lovage-control init --voter-id v4 --data /var/lib/lovage --join"],
        ],
    });

    voterId = Option.String("--voter-id", { env: "LOVAGE_VOTER_ID" });
    groupId = Option.String("--group", { env: "LOVAGE_GROUP" });
    data = Option.String("--data", { env: "LOVAGE_DATA" });
    voters = Option.String("--voters", { description: "Initial voters as ID=ADDRESS=FAILURE_DOMAIN, separated by commas." });
    isJoining = Option.Boolean("--join", false, { description: "Initialize a voter that is to replace another." });

    protected override start(): Promise<RunningProcess<unknown>> {
        throw new Error("the init command does not start a process");
    }

    override async execute(): Promise<number> {
        try {
            const voterId = readRequired({ flag: "--voter-id", variable: "LOVAGE_VOTER_ID", value: this.voterId });
            const dataFolder = readRequired({ flag: "--data", variable: "LOVAGE_DATA", value: this.data });
            const initialVoters = this.isJoining ? [] : this.readInitialVoters(voterId);
            await initializeControl(this.createHost(""), { dataFolder, voterId, groupId: this.groupId ?? defaultGroupId }, initialVoters);
            this.context.stdout.write(`Initialized the data folder for voter ${voterId}.\n`);
            return exitCodes.ok;
        }
        catch (error) {
            this.context.stderr.write(`lovage-control: ${getErrorText(error)}\n`);
            return error instanceof SettingError ? exitCodes.invalidSettings : exitCodes.failed;
        }
    }

    private readInitialVoters(voterId: string): readonly Member[] {
        const initialVoters = readRequired({ flag: "--voters", variable: "no variable", value: this.voters }).split(",").map(text => {
            const [id = "", address = "", failureDomain = ""] = text.trim().split("=");
            if (id === "" || failureDomain === "") throw new SettingError("--voters must list ID=ADDRESS=FAILURE_DOMAIN.");
            return { voterId: id, address: readAddress({ flag: "--voters", variable: "no variable", value: address }), failureDomain };
        });
        if (!initialVoters.some(member => member.voterId === voterId)) throw new SettingError(`--voters must list ${voterId} itself.`);
        return initialVoters;
    }
}

void runProgram("lovage-control", [RunCommand, InitCommand]);

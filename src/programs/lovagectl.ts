/** `lovagectl`: the operators' command line. */
import { Builtins, Cli } from "clipanion";
import * as configurationCommands from "../operator/configurationCommands.js";
import * as stateCommands from "../operator/stateCommands.js";

const { ApplyCommand, DiffCommand, ExportCommand, ValidateCommand } = configurationCommands;
const {
    AuditCommand,
    BudgetsListCommand,
    BudgetsReleaseCommand,
    BudgetsShowCommand,
    BudgetsTopUpCommand,
    DrainCommand,
    FleetCommand,
    LeasesCommand,
    QuarantineClearCommand,
    QuarantineListCommand,
    StatusCommand,
    VotersListCommand,
    VotersReplaceCommand,
} = stateCommands;

const commands = [
    ApplyCommand,
    AuditCommand,
    BudgetsListCommand,
    BudgetsReleaseCommand,
    BudgetsShowCommand,
    BudgetsTopUpCommand,
    DiffCommand,
    DrainCommand,
    ExportCommand,
    FleetCommand,
    LeasesCommand,
    QuarantineClearCommand,
    QuarantineListCommand,
    StatusCommand,
    ValidateCommand,
    VotersListCommand,
    VotersReplaceCommand,
    Builtins.HelpCommand,
    Builtins.VersionCommand,
];

const cli = new Cli({ binaryLabel: "lovagectl", binaryName: "lovagectl", binaryVersion: "0.1.0" });
for (const command of commands) cli.register(command);
void cli.runExit(process.argv.slice(2));

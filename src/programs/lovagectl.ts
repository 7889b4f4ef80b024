/** `lovagectl`: the command line for operators. */
import * as configurationCommands from "../operator/configurationCommands.js";
import * as stateCommands from "../operator/stateCommands.js";
import { runProgram } from "./runProgram.js";

const { ApplyCommand, DiffCommand, ExportCommand, ValidateCommand } = configurationCommands;
const {
    AuditCommand,
    BudgetsListCommand,
    BudgetsReleaseCommand,
    BudgetsShowCommand,
    BudgetsTopUpCommand,
    DrainCommand,
    EvacuateCommand,
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
    EvacuateCommand,
    ExportCommand,
    FleetCommand,
    LeasesCommand,
    QuarantineClearCommand,
    QuarantineListCommand,
    StatusCommand,
    ValidateCommand,
    VotersListCommand,
    VotersReplaceCommand,
];

void runProgram("lovagectl", commands);

/** Runs a program's commands. Wrong use exits with the code that the documents give. */
import { Builtins, Cli, UsageError } from "clipanion";
import type { CommandClass } from "clipanion";
import { exitCodes } from "./processCommand.js";

/** Registers the commands, adds help and version, and runs the one that the arguments name. */
export async function runProgram(name: string, commands: readonly CommandClass[]): Promise<void> {
    const cli = new Cli({ binaryLabel: name, binaryName: name, binaryVersion: "0.1.0" });
    for (const command of [...commands, Builtins.HelpCommand, Builtins.VersionCommand]) cli.register(command);
    try {
        const command = cli.process(process.argv.slice(2), Cli.defaultContext);
        process.exitCode = await cli.run(command, Cli.defaultContext);
    }
    catch (error) {
        process.stderr.write(cli.error(error));
        process.exitCode = error instanceof UsageError || isSyntaxError(error) ? exitCodes.badSettings : exitCodes.failed;
    }
}

// Clipanion's own errors of parsing carry a type for their formatting.
function isSyntaxError(error: unknown): boolean {
    return error instanceof Error && "clipanion" in error;
}

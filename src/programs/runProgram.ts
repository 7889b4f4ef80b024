/** Command-line entry point of every program. Invalid arguments exit with the code for invalid settings. */
import { Builtins, Cli, UsageError } from "clipanion";
import type { CommandClass } from "clipanion";
import { exitCodes } from "./processCommand.js";

/** Registers the commands and the help and version flags, and runs the command that the arguments select. */
export async function runProgram(name: string, commands: readonly CommandClass[]): Promise<void> {
    const cli = new Cli({ binaryLabel: name, binaryName: name, binaryVersion: "0.1.0" });
    for (const command of [...commands, Builtins.HelpCommand, Builtins.VersionCommand]) cli.register(command);
    try {
        const command = cli.process(process.argv.slice(2), Cli.defaultContext);
        process.exitCode = await cli.run(command, Cli.defaultContext);
    }
    catch (error) {
        process.stderr.write(cli.error(error));
        process.exitCode = error instanceof UsageError || isArgumentError(error) ? exitCodes.invalidSettings : exitCodes.failed;
    }
}

// Clipanion marks its argument-parsing errors with a `clipanion` property, which controls their formatting.
function isArgumentError(error: unknown): boolean {
    return error instanceof Error && "clipanion" in error;
}

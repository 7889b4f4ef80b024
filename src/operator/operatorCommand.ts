/** Base class of the `lovagectl` commands: connection flags, operator token, output format and exit codes. */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { AdministrationError, createAdministrationClient } from "./client.js";
import type { AdministrationClient } from "./client.js";
import { ConfigurationFileError } from "./configurationFile.js";

/** Exit codes of `lovagectl`. */
export const operatorExitCodes = {
    ok: 0,
    refused: 1,
    usageError: 2,
    unreachable: 3,
    /** The change was accepted, but was not in effect when the wait for it ended. */
    notInEffect: 4,
} as const;

/** Thrown when a flag or argument is missing or invalid. */
export class CommandUsageError extends Error {
    override readonly name = "CommandUsageError";
}

/** Base class of the operator commands. */
export abstract class OperatorCommand extends Command {
    control = Option.String("--control", "http://127.0.0.1:8090", {
        env: "LOVAGE_ADMINISTRATION_URL",
        description: "URL of the administration API of any control VM.",
    });
    tokenFile = Option.String("--token-file", {
        env: "LOVAGE_OPERATOR_TOKEN_FILE",
        description: "File that contains the operator token. Alternative: set LOVAGE_OPERATOR_TOKEN to the token.",
    });
    actor = Option.String("--actor", {
        env: "LOVAGE_ACTOR",
        description: "Name recorded in the audit log. Default: the current user's name.",
    });
    isJson = Option.Boolean("--json", false, { description: "Print one JSON object instead of text." });

    /** Runs the command and returns its exit code. */
    protected abstract run(client: AdministrationClient): Promise<number>;

    override async execute(): Promise<number> {
        try {
            return await this.run(createAdministrationClient(this.control, this.readToken(), this.actor));
        }
        catch (error) {
            return this.reportError(error);
        }
    }

    /** Prints the value as JSON if `--json` is set, and the text otherwise. */
    protected print(value: unknown, text: string): void {
        this.context.stdout.write(this.isJson ? `${JSON.stringify(value)}\n` : text);
    }

    /** Returns the value of a required flag. */
    protected requireValue(flag: string, value: string | undefined): string {
        if (value === undefined || value === "") throw new CommandUsageError(`${flag} is required.`);
        return value;
    }

    /** Returns the value of a required flag as a nonnegative integer. */
    protected requireNonNegativeInteger(flag: string, value: string | undefined): number {
        const number = Number(this.requireValue(flag, value));
        if (!Number.isInteger(number) || number < 0) throw new CommandUsageError(`${flag} must be a nonnegative integer.`);
        return number;
    }

    private readToken(): string {
        const token = this.tokenFile === undefined ? process.env["LOVAGE_OPERATOR_TOKEN"] : readTokenFile(this.tokenFile);
        if (token === undefined || token === "") {
            throw new CommandUsageError("an operator token is required: pass its file with --token-file, or set LOVAGE_OPERATOR_TOKEN.");
        }
        return token;
    }

    private reportError(error: unknown): number {
        const isExpected = error instanceof AdministrationError || error instanceof ConfigurationFileError ||
            error instanceof CommandUsageError;
        if (!isExpected) throw error;
        this.context.stderr.write(`lovagectl: ${error.message}\n`);
        if (error instanceof CommandUsageError) return operatorExitCodes.usageError;
        return error instanceof AdministrationError && error.isUnreachable ? operatorExitCodes.unreachable : operatorExitCodes.refused;
    }
}

function readTokenFile(file: string): string {
    try {
        return readFileSync(file, "utf8").trim();
    }
    catch {
        throw new CommandUsageError(`--token-file: ${file} cannot be read.`);
    }
}

/** What all operators' commands share: the API's address, the token, output and exit codes. */
import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { AdministrationError, createAdministrationClient } from "./client.js";
import type { AdministrationClient } from "./client.js";
import { SetFileError } from "./configurationFile.js";

/** Exit codes of `lovagectl`. */
export const operatorExitCodes = { ok: 0, refused: 1, badUse: 2, unreachable: 3 } as const;

/** Thrown when a flag is missing or wrong. */
export class UsageProblem extends Error {
    override readonly name = "UsageProblem";
}

/** Base of the operators' commands. */
export abstract class OperatorCommand extends Command {
    control = Option.String("--control", "http://127.0.0.1:8090", {
        env: "LOVAGE_ADMINISTRATION_URL",
        description: "URL of the administration API of any control VM.",
    });
    tokenFile = Option.String("--token-file", {
        env: "LOVAGE_OPERATOR_TOKEN_FILE",
        description: "File with the operators' token. LOVAGE_OPERATOR_TOKEN may hold it instead.",
    });
    actor = Option.String("--actor", { env: "LOVAGE_ACTOR", description: "Name for the audit trail. Default: the user's." });
    isJson = Option.Boolean("--json", false, { description: "One JSON object in place of text." });

    /** Does the work and returns the exit code. */
    protected abstract run(client: AdministrationClient): Promise<number>;

    override async execute(): Promise<number> {
        try {
            return await this.run(createAdministrationClient(this.control, this.readToken(), this.actor));
        }
        catch (error) {
            return this.reportError(error);
        }
    }

    /** Prints the value as JSON, or as text for people. */
    protected print(value: unknown, text: string): void {
        this.context.stdout.write(this.isJson ? `${JSON.stringify(value)}\n` : text);
    }

    /** The value of a flag that must be given. */
    protected require(flag: string, value: string | undefined): string {
        if (value === undefined || value === "") throw new UsageProblem(`${flag} is required.`);
        return value;
    }

    /** A whole number that must be given. */
    protected requireCount(flag: string, value: string | undefined): number {
        const count = Number(this.require(flag, value));
        if (!Number.isInteger(count) || count < 0) throw new UsageProblem(`${flag} must be a whole number.`);
        return count;
    }

    private readToken(): string {
        const token = this.tokenFile === undefined ? process.env["LOVAGE_OPERATOR_TOKEN"] : readTokenFile(this.tokenFile);
        if (token === undefined || token === "") {
            throw new UsageProblem("a token is required: name its file with --token-file, or set LOVAGE_OPERATOR_TOKEN.");
        }
        return token;
    }

    private reportError(error: unknown): number {
        const known = error instanceof AdministrationError || error instanceof SetFileError || error instanceof UsageProblem;
        if (!known) throw error;
        this.context.stderr.write(`lovagectl: ${error.message}\n`);
        if (error instanceof UsageProblem) return operatorExitCodes.badUse;
        return error instanceof AdministrationError && error.isUnreachable ? operatorExitCodes.unreachable : operatorExitCodes.refused;
    }
}

function readTokenFile(file: string): string {
    try {
        return readFileSync(file, "utf8").trim();
    }
    catch {
        throw new UsageProblem(`--token-file: ${file} cannot be read.`);
    }
}

/** Settings from flags and environment variables, checked at start. Each error names the flag and the variable. */
import { readFileSync } from "node:fs";
import type { LogLevel, TlsFiles } from "../kernel/host.js";
import { parseAddress } from "../kernel/hostNode.js";
import { logLevels } from "../kernel/log.js";
import { getErrorText } from "../kernel/tasks.js";

/** Thrown when a setting is missing or wrong. Its message is for the operator. */
export class SettingError extends Error {
    override readonly name = "SettingError";
}

/** One setting as it was given. */
export interface GivenSetting {
    readonly flag: string;
    readonly variable: string;
    readonly value: string | undefined;
}

/** The setting's name in messages. */
function describe(setting: GivenSetting): string {
    return `${setting.flag} (or ${setting.variable})`;
}

/** The value, or an error when it is missing. */
export function readText(setting: GivenSetting): string {
    if (setting.value === undefined || setting.value === "") throw new SettingError(`${describe(setting)} is required.`);
    return setting.value;
}

/** An IP number with a port. */
export function readAddress(setting: GivenSetting): string {
    const text = readText(setting);
    try {
        parseAddress(text);
    }
    catch (error) {
        throw new SettingError(`${describe(setting)}: ${getErrorText(error)}.`);
    }
    return text;
}

/** A list of addresses with commas between them. */
export function readAddresses(setting: GivenSetting): readonly string[] {
    return readText(setting).split(",").map(value => readAddress({ ...setting, value: value.trim() }));
}

/** A whole number above zero. */
export function readCount(setting: GivenSetting): number {
    const value = Number(readText(setting));
    if (!Number.isInteger(value) || value <= 0) throw new SettingError(`${describe(setting)} must be a whole number above zero.`);
    return value;
}

/** One of a few words. */
export function readChoice<T extends string>(setting: GivenSetting, choices: readonly T[]): T {
    const text = readText(setting);
    const choice = choices.find(candidate => candidate === text);
    if (choice === undefined) throw new SettingError(`${describe(setting)} must be one of ${choices.join(", ")}.`);
    return choice;
}

/** Names with commas between them. */
export function readNames(value: string | undefined): readonly string[] {
    return (value ?? "").split(",").map(name => name.trim()).filter(name => name !== "");
}

/** A secret, from a file or from the environment. Never from a flag, which other users of the VM could read. */
export function readSecret(fileSetting: GivenSetting, variable: string): string {
    const fromEnvironment = process.env[variable];
    const secret = fileSetting.value !== undefined ? readSecretFile(fileSetting) : fromEnvironment;
    if (secret === undefined || secret === "") {
        throw new SettingError(
            `a secret is required: name its file with ${fileSetting.flag} (or ${fileSetting.variable}), or set ${variable}.`,
        );
    }
    return secret;
}

function readSecretFile(setting: GivenSetting): string {
    try {
        return readFileSync(readText(setting), "utf8").trim();
    }
    catch (error) {
        throw new SettingError(`${describe(setting)}: ${getErrorText(error)}.`);
    }
}

/** Certificate and key files: both or neither. */
export function readTls(certificate: GivenSetting, key: GivenSetting): TlsFiles | undefined {
    if (certificate.value === undefined && key.value === undefined) return undefined;
    return { certificateFile: readText(certificate), keyFile: readText(key) };
}

/** The log level. */
export function readLogLevel(value: string | undefined): LogLevel {
    return readChoice({ flag: "--log-level", variable: "LOVAGE_LOG_LEVEL", value: value ?? "info" }, logLevels);
}

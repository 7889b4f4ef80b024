/** Parses and validates settings from flags and environment variables. Each error names the flag and the variable. */
import { readFileSync } from "node:fs";
import { parseAddress } from "../kernel/address.js";
import type { LogLevel, TlsFiles } from "../kernel/host.js";
import { logLevels } from "../kernel/log.js";
import { getErrorText } from "../kernel/tasks.js";

/** Thrown when a setting is missing or invalid. The message is shown to the operator. */
export class SettingError extends Error {
    override readonly name = "SettingError";
}

/** Unparsed value of a setting, with the flag and the environment variable that can set it. */
export interface RawSetting {
    readonly flag: string;
    readonly variable: string;
    readonly value: string | undefined;
}

function formatSettingName(setting: RawSetting): string {
    return `${setting.flag} (or ${setting.variable})`;
}

/** Returns the value. Throws if it is missing or empty. */
export function readRequired(setting: RawSetting): string {
    if (setting.value === undefined || setting.value === "") throw new SettingError(`${formatSettingName(setting)} is required.`);
    return setting.value;
}

/** Returns the value as an IP address with a port. */
export function readAddress(setting: RawSetting): string {
    const text = readRequired(setting);
    try {
        parseAddress(text);
    }
    catch (error) {
        throw new SettingError(`${formatSettingName(setting)}: ${getErrorText(error)}.`);
    }
    return text;
}

/** Parses a comma-separated list of addresses. */
export function readAddresses(setting: RawSetting): readonly string[] {
    return readRequired(setting).split(",").map(value => readAddress({ ...setting, value: value.trim() }));
}

/** Returns the value as a positive integer. Throws if it is missing, empty or not a positive integer. */
export function readPositiveInteger(setting: RawSetting): number {
    const value = Number(readRequired(setting));
    if (!Number.isInteger(value) || value <= 0) throw new SettingError(`${formatSettingName(setting)} must be a positive integer.`);
    return value;
}

/** Returns the value as one of the allowed choices. */
export function readChoice<T extends string>(setting: RawSetting, choices: readonly T[]): T {
    const text = readRequired(setting);
    const choice = choices.find(candidate => candidate === text);
    if (choice === undefined) throw new SettingError(`${formatSettingName(setting)} must be one of ${choices.join(", ")}.`);
    return choice;
}

/** Parses a comma-separated list. Empty items are dropped. */
export function readList(value: string | undefined): readonly string[] {
    return (value ?? "").split(",").map(name => name.trim()).filter(name => name !== "");
}

/**
 * Reads a secret from a file or an environment variable. No flag takes the secret itself, because other users of the VM can read the
 * command line.
 */
export function readSecret(fileSetting: RawSetting, variable: string): string {
    const environmentValue = process.env[variable];
    const secret = fileSetting.value !== undefined ? readSecretFile(fileSetting) : environmentValue;
    if (secret === undefined || secret === "") {
        throw new SettingError(
            `a secret is required: pass its file with ${fileSetting.flag} (or ${fileSetting.variable}), or set ${variable}.`,
        );
    }
    return secret;
}

function readSecretFile(setting: RawSetting): string {
    try {
        return readFileSync(readRequired(setting), "utf8").trim();
    }
    catch (error) {
        throw new SettingError(`${formatSettingName(setting)}: ${getErrorText(error)}.`);
    }
}

/** Returns the certificate and key files, or undefined if neither is set. Throws if only one of them is set. */
export function readTls(certificate: RawSetting, key: RawSetting): TlsFiles | undefined {
    if (certificate.value === undefined && key.value === undefined) return undefined;
    return { certificateFile: readRequired(certificate), keyFile: readRequired(key) };
}

/** Returns the log level, which defaults to `info`. */
export function readLogLevel(value: string | undefined): LogLevel {
    return readChoice({ flag: "--log-level", variable: "LOVAGE_LOG_LEVEL", value: value ?? "info" }, logLevels);
}

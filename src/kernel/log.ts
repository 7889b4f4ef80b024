/** Logs by loglevel: short sentences with a fixed prefix for each part, or one JSON object a line. */
import loglevel from "loglevel";
import type { LogFields, Logger, LogLevel } from "./host.js";

/** How logs are written. */
export interface LogOptions {
    readonly level: LogLevel;
    readonly isJson: boolean;
    /** Names the process in JSON lines. */
    readonly vm: string;
}

/** Levels that a flag may name. */
export const logLevels: readonly LogLevel[] = ["debug", "info", "warn", "error"];

/** Creates a factory of loggers. Lines go to standard error. */
export function createLoggerFactory(options: LogOptions): (prefix: string) => Logger {
    return prefix => {
        const logger = loglevel.getLogger(`${options.vm}/${prefix}`);
        logger.methodFactory = () => line => void process.stderr.write(`${String(line)}\n`);
        logger.setLevel(options.level, false);
        const createMethod = (level: LogLevel) => (sentence: string, fields?: LogFields) => {
            logger[level](
                options.isJson ? formatJson(options.vm, prefix, level, sentence, fields) : formatText(prefix, level, sentence, fields),
            );
        };
        return { debug: createMethod("debug"), info: createMethod("info"), warn: createMethod("warn"), error: createMethod("error") };
    };
}

function formatJson(vm: string, prefix: string, level: LogLevel, sentence: string, fields: LogFields | undefined): string {
    return JSON.stringify({ time: new Date().toISOString(), level, vm, part: prefix, message: sentence, ...fields });
}

function formatText(prefix: string, level: LogLevel, sentence: string, fields: LogFields | undefined): string {
    const details = Object.entries(fields ?? {}).map(([key, value]) => `${key}=${String(value)}`).join(" ");
    return `${new Date().toISOString()} ${level.padEnd(5)} [${prefix}] ${sentence}${details === "" ? "" : ` (${details})`}`;
}

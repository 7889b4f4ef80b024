/** Logs by loglevel: short sentences with a fixed prefix for each part, or one JSON object a line. */
import loglevel from "loglevel";
import type { LogFields, Logger, LogLevel } from "./host.js";

/** How logs are written. */
export interface LogOptions {
    readonly level: LogLevel;
    readonly isJson: boolean;
    /** Names the process in JSON lines. */
    readonly vm: string;
    /** Where lines go. Standard error where it is absent. */
    readonly write?: (line: string) => void;
}

/** What a bounded writer writes to. */
export interface LogStream {
    write(text: string): boolean;
    /** Bytes that the other side has not taken yet. */
    readonly writableLength: number;
}

/** Lines that a process writes in any second, beyond which they are counted instead. */
export const maxLogLinesPerSecond = 400;
const maxPendingLogBytes = 1024 * 1024;
const windowMs = 1_000;

/**
 * Creates a writer that neither blocks nor floods: lines beyond the limit of a second, or while too much is pending, are left
 * out, and the next line that is written is followed by their number.
 */
export function createBoundedWriter(
    stream: LogStream,
    nowMs: () => number,
    maxLinesPerSecond = maxLogLinesPerSecond,
): (line: string) => void {
    let windowStartedAtMs = -Infinity;
    let linesInWindow = 0;
    let droppedLines = 0;
    return line => {
        const now = nowMs();
        if (now - windowStartedAtMs >= windowMs) {
            windowStartedAtMs = now;
            linesInWindow = 0;
        }
        if (linesInWindow >= maxLinesPerSecond || stream.writableLength > maxPendingLogBytes) {
            droppedLines++;
            return;
        }
        linesInWindow++;
        stream.write(`${line}\n`);
        if (droppedLines === 0) return;
        stream.write(`${JSON.stringify({ part: "log", level: "warn", message: "Lines were left out.", count: droppedLines })}\n`);
        droppedLines = 0;
    };
}

/** Levels that a flag may name. */
export const logLevels: readonly LogLevel[] = ["debug", "info", "warn", "error"];

/** Creates a factory of loggers. */
export function createLoggerFactory(options: LogOptions): (prefix: string) => Logger {
    const write = options.write ?? (line => void process.stderr.write(`${line}\n`));
    return prefix => {
        const logger = loglevel.getLogger(`${options.vm}/${prefix}`);
        logger.methodFactory = () => line => write(String(line));
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

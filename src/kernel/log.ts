/** Logging, built on loglevel. Records are written as text lines with the prefix of the component, or as one JSON object per line. */
import loglevel from "loglevel";
import type { LogFields, Logger, LogLevel } from "./host.js";

/** Options of the log output. */
export interface LogOptions {
    readonly level: LogLevel;
    readonly isJson: boolean;
    /** Identifies the process in JSON records. */
    readonly vm: string;
    /** Writes one line. Default: to standard error. */
    readonly write?: (line: string) => void;
}

/** The part of a writable stream that a bounded writer uses. */
export interface LogStream {
    write(text: string): boolean;
    /** Number of bytes that are buffered and not yet written. */
    readonly writableLength: number;
}

/** Maximum number of lines that a process writes within one second. Further lines are dropped and counted. */
export const maxLogLinesPerSecond = 400;
const maxPendingLogBytes = 1024 * 1024;
const windowMs = 1_000;

/**
 * Creates a writer that never blocks and limits its output: lines are dropped if they exceed the limit per second or if too much
 * output is pending. The number of dropped lines is written after the next line.
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
        stream.write(`${JSON.stringify({ part: "log", level: "warn", message: "Log lines were dropped.", count: droppedLines })}\n`);
        droppedLines = 0;
    };
}

/** All log levels, from the lowest severity to the highest. */
export const logLevels: readonly LogLevel[] = ["debug", "info", "warn", "error"];

/** Creates a factory of loggers by prefix. */
export function createLoggerFactory(options: LogOptions): (prefix: string) => Logger {
    const write = options.write ?? (line => void process.stderr.write(`${line}\n`));
    return prefix => {
        const logger = loglevel.getLogger(`${options.vm}/${prefix}`);
        logger.methodFactory = () => line => write(String(line));
        logger.setLevel(options.level, false);
        const createMethod = (level: LogLevel) => (message: string, fields?: LogFields) => {
            logger[level](
                options.isJson ? formatJson(options.vm, prefix, level, message, fields) : formatText(prefix, level, message, fields),
            );
        };
        return { debug: createMethod("debug"), info: createMethod("info"), warn: createMethod("warn"), error: createMethod("error") };
    };
}

function formatJson(vm: string, prefix: string, level: LogLevel, message: string, fields: LogFields | undefined): string {
    return JSON.stringify({ time: new Date().toISOString(), level, vm, part: prefix, message, ...fields });
}

function formatText(prefix: string, level: LogLevel, message: string, fields: LogFields | undefined): string {
    const details = Object.entries(fields ?? {}).map(([key, value]) => `${key}=${String(value)}`).join(" ");
    return `${new Date().toISOString()} ${level.padEnd(5)} [${prefix}] ${message}${details === "" ? "" : ` (${details})`}`;
}

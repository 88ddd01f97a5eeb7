/**
 * Logging with bunyan: short sentences, each with the fixed prefix of its component, and ids as fields. Prompts,
 * answers and keys are never logged.
 */
import bunyan from "bunyan";

/** Logger of one component. */
export interface Log {
    debug(message: string, fields?: object): void;
    info(message: string, fields?: object): void;
    warn(message: string, fields?: object): void;
    error(message: string, fields?: object): void;
    /** Logger of another component, whose prefix replaces this one. */
    withPrefix(prefix: string): Log;
    /** Sets the lowest level that is logged, for all prefixes. */
    setLevel(level: bunyan.LogLevelString): void;
}

/** Destination of log lines. */
export interface LineWriter {
    write(line: string): unknown;
}

/** Level of a log line. */
export type LogLevel = bunyan.LogLevelString;

/** The log of an instance as JSON lines, by default on standard error. */
export const createLog = (instance: string, level: LogLevel, stream: LineWriter = process.stderr): Log => {
    const logger = bunyan.createLogger({
        name: "skylarktide",
        instance,
        level,
        stream: stream as NodeJS.WritableStream,
    });
    return prefixedLog(logger, "instance");
};

const prefixedLog = (logger: bunyan, prefix: string): Log => ({
    debug: (message, fields = {}) => logger.debug(fields, `${prefix}: ${message}`),
    info: (message, fields = {}) => logger.info(fields, `${prefix}: ${message}`),
    warn: (message, fields = {}) => logger.warn(fields, `${prefix}: ${message}`),
    error: (message, fields = {}) => logger.error(fields, `${prefix}: ${message}`),
    withPrefix: next => prefixedLog(logger, next),
    setLevel: level => logger.level(level),
});

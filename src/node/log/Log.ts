/**
 * Logs by bunyan: short sentences, each with the fixed prefix of its part, and ids as fields. Prompts,
 * answers and keys are never logged.
 */
import bunyan from "bunyan";

/** Logger of one part. */
export interface Log {
    debug(message: string, fields?: object): void;
    info(message: string, fields?: object): void;
    warn(message: string, fields?: object): void;
    error(message: string, fields?: object): void;
    /** Logger of another part with its own prefix. */
    withPrefix(prefix: string): Log;
    /** Changes the least level that is logged, for all parts. */
    setLevel(level: bunyan.LogLevelString): void;
}

/** Takes the lines of a log. */
export interface LineWriter {
    write(line: string): unknown;
}

/** Level of a log line. */
export type LogLevel = bunyan.LogLevelString;

/** The log of an instance, written to standard error as JSON lines. */
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

import { pino } from "pino";
import type { DestinationStream, Logger } from "pino";

/** Fields that are redacted in log lines, at the top level and up to two levels below. */
const SECRET_FIELDS = [
    "authorization",
    "apiKey",
    "keyDigest",
    "operatorToken",
    "operatorTokenHash",
    "token",
    "secret",
    "credential",
    "credentials",
    "payload",
    "answer",
    "checkpoint",
];
const REDACTED = "(redacted)";

/** Level, destination and constant fields of a process's log lines. */
export interface LoggerOptions {
    readonly level: string;
    readonly vmName: string;
    readonly availabilityZone: string;
    readonly role: string;
    /** Defaults to standard output. */
    readonly destination?: DestinationStream;
}

/** Creates a logger that writes one JSON object per line, with secrets and callers' data redacted. */
export const createLogger = (options: LoggerOptions): Logger => {
    const nested = SECRET_FIELDS.flatMap(field => [field, `*.${field}`, `*.*.${field}`]);
    const settings = {
        level: options.level,
        base: { vm: options.vmName, availabilityZone: options.availabilityZone, role: options.role },
        timestamp: pino.stdTimeFunctions.isoTime,
        formatters: { level: (label: string) => ({ level: label }) },
        redact: { paths: nested, censor: REDACTED },
    };
    return options.destination === undefined ? pino(settings) : pino(settings, options.destination);
};

import {
    ANSWER_LIMIT_BYTES,
    DEFAULT_ENTRY_LIMITS,
    DEFAULT_ENTRY_TIMING,
    PAYLOAD_LIMIT_BYTES,
} from "@waxwingspread/entry";
import * as parsers from "./parsers.js";
import type { SettingParser } from "./parsers.js";
import { DaemonRole, LogLevel } from "./types.js";

/** Roles that require a setting. */
export type RequiredFor = readonly DaemonRole[];

/** Definition of one setting. The names of its flag and its environment variable are derived from its key. */
export interface SettingDefinition<T> {
    readonly description: string;
    readonly parser: SettingParser<T>;
    /** Default as text, parsed like a given value. Undefined if there is none. */
    readonly defaultText?: string;
    readonly requiredFor: RequiredFor;
    /** Whether the value is hidden in all output. */
    readonly secret?: boolean;
}

const ALL_ROLES: RequiredFor = [DaemonRole.Entry, DaemonRole.Control, DaemonRole.Both];
const ENTRY_ROLES: RequiredFor = [DaemonRole.Entry, DaemonRole.Both];
const CONTROL_ROLES: RequiredFor = [DaemonRole.Control, DaemonRole.Both];
const NO_ROLES: RequiredFor = [];

const required = <T>(
    parser: SettingParser<T>,
    requiredFor: RequiredFor,
    description: string,
): SettingDefinition<T> => ({ description, parser, requiredFor });

const optional = <T>(
    parser: SettingParser<T>,
    defaultText: string | undefined,
    description: string,
): SettingDefinition<T> => ({ description, parser, requiredFor: NO_ROLES, defaultText });

const KIBIBYTE = 1_024;
const MINUTE_MS = 60_000;

/** All settings of the daemon, in the order in which the help and the documentation list them. */
export const SETTING_DEFINITIONS = {
    role: required(parsers.choice(DaemonRole), ALL_ROLES, "What this process does"),
    vmName: required(parsers.name, ALL_ROLES, "Name of this VM, unique in the deployment"),
    availabilityZone: required(parsers.name, ALL_ROLES, "Availability zone of this VM"),
    listenCallers: required(parsers.endpoint, ENTRY_ROLES, "Listener for callers and backend servers"),
    listenControl: required(parsers.endpoint, CONTROL_ROLES, "Listener for control replicas and entries"),
    listenOperators: required(
        parsers.endpoint,
        ALL_ROLES,
        "Listener for operators: metrics, health, journal",
    ),
    advertiseHost: optional(
        parsers.host,
        undefined,
        "Host under which other processes reach this one; needed when a listener is bound to 0.0.0.0 or ::",
    ),
    controlAddresses: required(parsers.endpoints, ENTRY_ROLES, "Control listeners that the entry asks first"),
    dataFolder: required(parsers.folder, CONTROL_ROLES, "Folder of the replicated log and the blob store"),
    bootstrapPeers: optional(
        parsers.peers,
        undefined,
        "Initial control replicas including this one; leave out for a replica that an operator adds later",
    ),
    addressTranslations: optional(
        parsers.translations,
        undefined,
        "Peers and backend servers reached under another address, as real=reached; for relays and for tests",
    ),
    operatorTokenHash: {
        ...required(parsers.tokenHash, ALL_ROLES, "Salted hash of the operator token"),
        secret: true,
    },
    logLevel: optional(parsers.choice(LogLevel), LogLevel.Info, "Least severe level that is logged"),
    payloadLimitBytes: optional(
        parsers.integer(KIBIBYTE, PAYLOAD_LIMIT_BYTES),
        String(PAYLOAD_LIMIT_BYTES),
        "Largest payload; larger ones are refused",
    ),
    answerLimitBytes: optional(
        parsers.integer(KIBIBYTE, ANSWER_LIMIT_BYTES),
        String(ANSWER_LIMIT_BYTES),
        "Largest answer or checkpoint; larger ones end the job as answer-too-large",
    ),
    connectionsPerListener: optional(
        parsers.integer(1, 65_536),
        "1024",
        "Connections that one listener holds open; further ones are closed",
    ),
    requestsPerSecondPerListener: optional(
        parsers.integer(1, 1_000_000),
        "2000",
        "Requests that one listener accepts in a second; further ones get status 429",
    ),
    waitingCallers: optional(
        parsers.integer(1, 1_000_000),
        String(DEFAULT_ENTRY_LIMITS.waitingCallers),
        "Callers that may wait for an outcome at the same time",
    ),
    snapshotIntervalEntries: optional(
        parsers.integer(100, 10_000_000),
        "10000",
        "Log entries between two snapshots",
    ),
    zoneEvictionsPerSecond: optional(
        parsers.integer(1, 1_000),
        "8",
        "Batch tasks checkpointed in a second while an availability zone is drained",
    ),
    heartbeatMs: optional(parsers.integer(10, 10_000), "100", "Interval of the leader's heartbeats"),
    minimumElectionTimeoutMs: optional(
        parsers.integer(50, MINUTE_MS),
        "400",
        "Shortest time without a heartbeat before an election",
    ),
    maximumElectionTimeoutMs: optional(
        parsers.integer(50, MINUTE_MS),
        "800",
        "Longest time without a heartbeat before an election",
    ),
    startWindowMs: optional(
        parsers.integer(100, MINUTE_MS),
        "1000",
        "Time after a decision within which the backend server may start the task",
    ),
    taskLeaseMs: optional(
        parsers.integer(1_000, 10 * MINUTE_MS),
        "10000",
        "Lease of running tasks, renewed by each announcement",
    ),
    leaseMarginMs: optional(
        parsers.integer(100, MINUTE_MS),
        "500",
        "Added to an expired lease before its capacity is released",
    ),
    pollHoldMs: optional(parsers.integer(10, MINUTE_MS), "500", "Longest time that the leader holds a poll"),
    configurationLeaseMs: optional(
        parsers.integer(100, 10_000),
        "1200",
        "Time after a poll for which an entry may use its configuration",
    ),
    entryLostAfterMs: optional(
        parsers.integer(100, MINUTE_MS),
        "1500",
        "Time without a poll after which an entry's orders go to another one",
    ),
    orderRepeatMs: optional(
        parsers.integer(50, MINUTE_MS),
        "300",
        "Time after which an order without an observed effect is repeated",
    ),
    controlCallTimeoutMs: optional(
        parsers.integer(50, MINUTE_MS),
        "1000",
        "Deadline of a call to a control replica; its connection is then replaced",
    ),
    pollTimeoutMs: optional(
        parsers.integer(50, MINUTE_MS),
        String(DEFAULT_ENTRY_TIMING.pollTimeoutMs),
        "Deadline of a poll; its connection is then replaced",
    ),
    requestTimeoutMs: optional(
        parsers.integer(100, 10 * MINUTE_MS),
        String(DEFAULT_ENTRY_TIMING.requestTimeoutMs),
        "Bound on a caller's request with all its retries, without the time for which the caller waits",
    ),
    maximumWaitMs: optional(
        parsers.integer(0, 60 * MINUTE_MS),
        String(DEFAULT_ENTRY_TIMING.maximumWaitMs),
        "Longest wait that a caller may ask for with waitMs",
    ),
    drainWaitMs: optional(
        parsers.integer(0, 60 * MINUTE_MS),
        String(DEFAULT_ENTRY_TIMING.drainWaitMs),
        "Time after the begin of a planned shutdown after which waiting callers get the state as it is",
    ),
    zoneReturnMs: optional(
        parsers.integer(1_000, 60 * MINUTE_MS),
        "30000",
        "Time for which a returning zone is filled at a bounded rate",
    ),
    shutdownGraceMs: optional(
        parsers.integer(0, 60 * MINUTE_MS),
        "30000",
        "Longest time for which a planned shutdown waits for requests in progress",
    ),
} as const;

/** Key of a setting. */
export type SettingKey = keyof typeof SETTING_DEFINITIONS;

/** Parsed value of each setting; undefined if it is absent or invalid. */
export type SettingValues = {
    -readonly [K in SettingKey]: (typeof SETTING_DEFINITIONS)[K] extends SettingDefinition<infer T> ? T | undefined
        : never;
};

/** Keys of all settings, in the order of their definitions. */
export const SETTING_KEYS = Object.keys(SETTING_DEFINITIONS) as SettingKey[];

/** Prefix of the environment variables of all settings. */
export const VARIABLE_PREFIX = "WAXWINGSPREAD_";

/** Returns the command-line flag of a setting, without the leading dashes. */
export const flagOf = (key: SettingKey): string => key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** Returns the environment variable of a setting. */
export const variableOf = (key: SettingKey): string =>
    VARIABLE_PREFIX + key.replace(/[A-Z]/g, letter => `_${letter}`).toUpperCase();

/** Returns the definition of a setting, with its value type erased. */
export const definitionOf = (key: SettingKey): SettingDefinition<unknown> => SETTING_DEFINITIONS[key];

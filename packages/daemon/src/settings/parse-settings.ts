import { Err, Ok } from "ts-results-es";
import type { Result } from "ts-results-es";
import { findViolations } from "./constraints.js";
import { definitionOf, flagOf, SETTING_KEYS, variableOf } from "./definitions.js";
import type { SettingKey, SettingValues } from "./definitions.js";
import { isUnspecifiedHost } from "./endpoint.js";
import { SettingsError } from "./settings-error.js";
import type { InvalidSetting } from "./settings-error.js";
import { readUnparsedSettings } from "./source.js";
import { DaemonRole } from "./types.js";
import type { DaemonSettings, LimitSettings, TimingSettings } from "./types.js";

const HIDDEN = "(hidden)";

const deepFreeze = <T>(value: T): T => {
    if (typeof value === "object" && value !== null) {
        Object.values(value).forEach(deepFreeze);
        Object.freeze(value);
    }
    return value;
};

/** Values after all invalid settings have been reported; an absent value that is read here is a bug in this module. */
type ValidatedValues = { [K in SettingKey]: NonNullable<SettingValues[K]> };

const limitsOf = (values: ValidatedValues): LimitSettings => ({
    payloadBytes: values.payloadLimitBytes,
    answerBytes: values.answerLimitBytes,
    connectionsPerListener: values.connectionsPerListener,
    requestsPerSecondPerListener: values.requestsPerSecondPerListener,
    waitingCallers: values.waitingCallers,
});

const timingsOf = (values: ValidatedValues): TimingSettings => ({
    heartbeatMs: values.heartbeatMs,
    minimumElectionTimeoutMs: values.minimumElectionTimeoutMs,
    maximumElectionTimeoutMs: values.maximumElectionTimeoutMs,
    startWindowMs: values.startWindowMs,
    taskLeaseMs: values.taskLeaseMs,
    leaseMarginMs: values.leaseMarginMs,
    pollHoldMs: values.pollHoldMs,
    configurationLeaseMs: values.configurationLeaseMs,
    entryLostAfterMs: values.entryLostAfterMs,
    orderRepeatMs: values.orderRepeatMs,
    controlCallTimeoutMs: values.controlCallTimeoutMs,
    pollTimeoutMs: values.pollTimeoutMs,
    requestTimeoutMs: values.requestTimeoutMs,
    maximumWaitMs: values.maximumWaitMs,
    drainWaitMs: values.drainWaitMs,
    zoneReturnMs: values.zoneReturnMs,
    shutdownGraceMs: values.shutdownGraceMs,
});

const toDaemonSettings = (checked: SettingValues, printSettings: boolean): DaemonSettings => {
    const values = checked as ValidatedValues;
    const runsEntry = values.role !== DaemonRole.Control;
    const runsControl = values.role !== DaemonRole.Entry;
    const mainListener = runsControl ? values.listenControl : values.listenCallers;
    const boundHost = isUnspecifiedHost(mainListener.host) ? undefined : mainListener.host;
    return {
        role: values.role,
        vmName: values.vmName,
        availabilityZone: values.availabilityZone,
        listeners: {
            callers: runsEntry ? values.listenCallers : undefined,
            control: runsControl ? values.listenControl : undefined,
            operators: values.listenOperators,
        },
        advertiseHost: checked.advertiseHost ?? boundHost ?? values.listenOperators.host,
        controlAddresses: checked.controlAddresses ?? [],
        dataFolder: runsControl ? values.dataFolder : undefined,
        bootstrapPeers: checked.bootstrapPeers ?? [],
        addressTranslations: checked.addressTranslations ?? [],
        snapshotIntervalEntries: values.snapshotIntervalEntries,
        zoneEvictionsPerSecond: values.zoneEvictionsPerSecond,
        limits: limitsOf(values),
        timings: timingsOf(values),
        operatorTokenHash: values.operatorTokenHash,
        logLevel: values.logLevel,
        printSettings,
    };
};

const isRequired = (key: SettingKey, role: DaemonRole | undefined): boolean => {
    const { requiredFor } = definitionOf(key);
    // Without a valid role, only settings that all roles require can be reported as missing.
    return role === undefined ? requiredFor.length === Object.keys(DaemonRole).length : requiredFor.includes(role);
};

/** Parses and validates all settings. The error lists every invalid setting, not only the first one. */
export const parseSettings = (
    argv: readonly string[],
    environment: NodeJS.ProcessEnv,
): Result<DaemonSettings, SettingsError> => {
    const { texts, printSettings, errors: sourceErrors } = readUnparsedSettings(argv, environment);
    const values: Partial<Record<SettingKey, unknown>> = {};
    const errors: InvalidSetting[] = [...sourceErrors];
    for (const key of SETTING_KEYS) {
        const { parser, defaultText, secret } = definitionOf(key);
        const text = texts.get(key) ?? defaultText;
        const value = text === undefined ? undefined : parser.parse(text);
        const isMissing = text === undefined && isRequired(key, values.role as DaemonRole | undefined);
        if (isMissing || (text !== undefined && value === undefined)) {
            const given = secret && text !== undefined ? HIDDEN : text;
            errors.push({ flag: `--${flagOf(key)}`, variable: variableOf(key), given, allowed: parser.allowed });
        }
        values[key] = value;
    }
    const checked = values as SettingValues;
    errors.push(...findViolations(checked, key => texts.get(key) ?? definitionOf(key).defaultText));
    return errors.length > 0
        ? Err(new SettingsError(errors))
        : Ok(deepFreeze(toDaemonSettings(checked, printSettings)));
};

/** Returns the settings as JSON for `--print-settings`, with secrets hidden. */
export const formatSettings = (settings: DaemonSettings): string =>
    JSON.stringify({ ...settings, operatorTokenHash: HIDDEN, printSettings: undefined }, undefined, 4);

import { flagOf, variableOf } from "./definitions.js";
import type { SettingKey, SettingValues } from "./definitions.js";
import { formatEndpoint, isUnspecifiedHost } from "./endpoint.js";
import type { Endpoint } from "./endpoint.js";
import type { InvalidSetting } from "./settings-error.js";
import { DaemonRole } from "./types.js";

/** Constraint between several settings. `violation` returns a description of what is allowed if it is violated. */
interface Constraint {
    readonly key: SettingKey;
    readonly violation: (values: SettingValues) => string | undefined;
}

/** Time within which a configuration change must take effect everywhere. */
const CONFIGURATION_PROPAGATION_LIMIT_MS = 2_000;
/** Ratio of the election timeout to the heartbeat interval; with 2, a single lost heartbeat causes no election. */
const HEARTBEATS_PER_ELECTION_TIMEOUT = 2;

/** Requires one number to be at least `factor` times another. Skipped if either is invalid or absent. */
const atLeast = (key: SettingKey, other: SettingKey, factor = 1): Constraint => ({
    key,
    violation: values => {
        const value = values[key];
        const bound = values[other];
        if (typeof value !== "number" || typeof bound !== "number" || value >= bound * factor) {
            return undefined;
        }
        const multiple = factor === 1 ? "" : `${factor} times `;
        return `at least ${multiple}--${flagOf(other)} (${bound * factor})`;
    },
});

const listenerHosts = (values: SettingValues): string[] =>
    [values.listenCallers, values.listenControl, values.listenOperators]
        .filter((item): item is Endpoint => item !== undefined)
        .map(item => item.host);

/** Returns whether two listeners would bind the same port of the same address; a wildcard includes every address. */
const collides = (a: Endpoint | undefined, b: Endpoint | undefined): boolean =>
    a !== undefined
    && b !== undefined
    && a.port === b.port
    && (a.host === b.host || isUnspecifiedHost(a.host) || isUnspecifiedHost(b.host));

const distinctListeners = (key: "listenControl" | "listenOperators", others: readonly SettingKey[]): Constraint => ({
    key,
    violation: values => {
        const colliding = others.find(other => collides(values[key], values[other] as Endpoint | undefined));
        return colliding === undefined ? undefined : `address other than --${flagOf(colliding)}`;
    },
});

const advertiseHostForWildcards: Constraint = {
    key: "advertiseHost",
    violation: values => {
        const isMissing = values.advertiseHost === undefined && listenerHosts(values).some(isUnspecifiedHost);
        return isMissing ? "must be given when a listener is bound to 0.0.0.0 or ::" : undefined;
    },
};

const peersIncludeThisVm: Constraint = {
    key: "bootstrapPeers",
    violation: values => {
        const { bootstrapPeers, vmName, listenControl } = values;
        if (bootstrapPeers === undefined || vmName === undefined || listenControl === undefined) {
            return undefined;
        }
        const host = values.advertiseHost ?? listenControl.host;
        const thisPeerAddress = formatEndpoint({ host, port: listenControl.port });
        const isListed = bootstrapPeers.some(peer =>
            peer.name === vmName && formatEndpoint(peer.address) === thisPeerAddress
        );
        return isListed ? undefined : `must contain this VM as ${vmName}=${thisPeerAddress}`;
    },
};

const peersRequireControlRole: Constraint = {
    key: "bootstrapPeers",
    violation: values =>
        values.bootstrapPeers !== undefined && values.role === DaemonRole.Entry
            ? "only with --role control or both"
            : undefined,
};

const configurationLeaseLimit: Constraint = {
    key: "configurationLeaseMs",
    violation: values =>
        (values.configurationLeaseMs ?? 0) >= CONFIGURATION_PROPAGATION_LIMIT_MS
            ? `below ${CONFIGURATION_PROPAGATION_LIMIT_MS}, within which a change must be in force everywhere`
            : undefined,
};

const CONSTRAINTS: readonly Constraint[] = [
    distinctListeners("listenControl", ["listenCallers"]),
    distinctListeners("listenOperators", ["listenCallers", "listenControl"]),
    advertiseHostForWildcards,
    peersRequireControlRole,
    peersIncludeThisVm,
    atLeast("minimumElectionTimeoutMs", "heartbeatMs", HEARTBEATS_PER_ELECTION_TIMEOUT),
    atLeast("maximumElectionTimeoutMs", "minimumElectionTimeoutMs"),
    // A held poll must be answered before its call times out and before the configuration lease expires.
    atLeast("pollTimeoutMs", "pollHoldMs"),
    atLeast("configurationLeaseMs", "pollHoldMs", 2),
    configurationLeaseLimit,
    atLeast("entryLostAfterMs", "configurationLeaseMs"),
    atLeast("shutdownGraceMs", "drainWaitMs"),
    atLeast("startWindowMs", "orderRepeatMs"),
    atLeast("taskLeaseMs", "startWindowMs"),
];

/** Checks the constraints between settings, whose values are each valid on their own. */
export const findViolations = (
    values: SettingValues,
    givenText: (key: SettingKey) => string | undefined,
): InvalidSetting[] =>
    CONSTRAINTS.flatMap(({ key, violation }) => {
        const allowed = violation(values);
        const invalid = { flag: `--${flagOf(key)}`, variable: variableOf(key), given: givenText(key) };
        return allowed === undefined ? [] : [{ ...invalid, allowed }];
    });

import type { Endpoint } from "./endpoint.js";

/** What a daemon process does. */
export enum DaemonRole {
    Entry = "entry",
    Control = "control",
    Both = "both",
}

/** Least severe level that is logged. */
export enum LogLevel {
    Fatal = "fatal",
    Error = "error",
    Warn = "warn",
    Info = "info",
    Debug = "debug",
    Trace = "trace",
}

/** One initial member of the control replicas. */
export interface BootstrapPeer {
    readonly name: string;
    readonly address: Endpoint;
}

/** A peer that is reached under another address than its own. */
export interface AddressTranslation {
    readonly from: Endpoint;
    readonly to: Endpoint;
}

/** Salted SHA-256 of the operator token: `sha256(salt || token)`. */
export interface TokenHash {
    readonly saltHex: string;
    readonly sha256Hex: string;
}

export interface ListenerSettings {
    /** Callers and backend servers; undefined without the entry role. */
    readonly callers: Endpoint | undefined;
    /** Control replicas and entries; undefined without the control role. */
    readonly control: Endpoint | undefined;
    readonly operators: Endpoint;
}

export interface LimitSettings {
    readonly payloadBytes: number;
    readonly answerBytes: number;
    readonly connectionsPerListener: number;
    readonly requestsPerSecondPerListener: number;
    readonly waitingCallers: number;
}

export interface TimingSettings {
    readonly heartbeatMs: number;
    readonly minimumElectionTimeoutMs: number;
    readonly maximumElectionTimeoutMs: number;
    readonly startWindowMs: number;
    readonly taskLeaseMs: number;
    readonly leaseMarginMs: number;
    readonly pollHoldMs: number;
    readonly configurationLeaseMs: number;
    readonly entryLostAfterMs: number;
    readonly orderRepeatMs: number;
    readonly controlCallTimeoutMs: number;
    readonly pollTimeoutMs: number;
    readonly requestTimeoutMs: number;
    readonly maximumWaitMs: number;
    readonly drainWaitMs: number;
    readonly zoneReturnMs: number;
    readonly shutdownGraceMs: number;
}

/** Settings of one daemon process, checked and deeply frozen. */
export interface DaemonSettings {
    readonly role: DaemonRole;
    readonly vmName: string;
    readonly availabilityZone: string;
    readonly listeners: ListenerSettings;
    /** Host under which other processes reach this one. */
    readonly advertiseHost: string;
    /** Control replicas that an entry asks first; later changes come with each poll. */
    readonly controlAddresses: readonly Endpoint[];
    /** Absolute path; undefined without the control role. */
    readonly dataFolder: string | undefined;
    /** Empty for a replica that an operator adds to a running cluster. */
    readonly bootstrapPeers: readonly BootstrapPeer[];
    /** Empty when all peers are reached under their own addresses. */
    readonly addressTranslations: readonly AddressTranslation[];
    readonly snapshotIntervalEntries: number;
    readonly zoneEvictionsPerSecond: number;
    readonly limits: LimitSettings;
    readonly timings: TimingSettings;
    readonly operatorTokenHash: TokenHash;
    readonly logLevel: LogLevel;
    /** Print the settings and exit instead of starting. */
    readonly printSettings: boolean;
}

import type { Endpoint } from "./endpoint.js";

/** Role of a daemon process: an entry, a control replica, or both. */
export enum DaemonRole {
    Entry = "entry",
    Control = "control",
    Both = "both",
}

/** Levels of the log, from the most severe to the most verbose. */
export enum LogLevel {
    Fatal = "fatal",
    Error = "error",
    Warn = "warn",
    Info = "info",
    Debug = "debug",
    Trace = "trace",
}

/** One initial member of the control cluster. */
export interface BootstrapPeer {
    readonly name: string;
    readonly address: Endpoint;
}

/** Maps a peer's own address to the address to connect to. */
export interface AddressTranslation {
    readonly from: Endpoint;
    readonly to: Endpoint;
}

/** Salted SHA-256 of the operator token: `sha256(salt || token)`. */
export interface TokenHash {
    readonly saltHex: string;
    readonly sha256Hex: string;
}

/** Addresses on which the process listens. */
export interface ListenerSettings {
    /** Callers and backend servers; undefined without the entry role. */
    readonly callers: Endpoint | undefined;
    /** Control replicas and entries; undefined without the control role. */
    readonly control: Endpoint | undefined;
    readonly operators: Endpoint;
}

/** Limits on the size and number of requests. */
export interface LimitSettings {
    readonly payloadBytes: number;
    readonly answerBytes: number;
    readonly connectionsPerListener: number;
    readonly requestsPerSecondPerListener: number;
    readonly waitingCallers: number;
}

/** Intervals, timeouts and leases, all in milliseconds. */
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

/** Validated, deeply frozen settings of one daemon process. */
export interface DaemonSettings {
    readonly role: DaemonRole;
    readonly vmName: string;
    readonly availabilityZone: string;
    readonly listeners: ListenerSettings;
    /** Host that other processes use to connect to this one. */
    readonly advertiseHost: string;
    /** Initial control replicas of an entry. Each poll returns the current ones. */
    readonly controlAddresses: readonly Endpoint[];
    /** Absolute path; undefined without the control role. */
    readonly dataFolder: string | undefined;
    /** Empty for a replica that an operator adds to a running cluster. */
    readonly bootstrapPeers: readonly BootstrapPeer[];
    /** Empty if all peers are reached at their own addresses. */
    readonly addressTranslations: readonly AddressTranslation[];
    readonly snapshotIntervalEntries: number;
    readonly zoneEvictionsPerSecond: number;
    readonly limits: LimitSettings;
    readonly timings: TimingSettings;
    readonly operatorTokenHash: TokenHash;
    readonly logLevel: LogLevel;
    /** Whether to print the settings and exit instead of starting. */
    readonly printSettings: boolean;
}

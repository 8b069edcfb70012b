import type { SeededRandom } from "@waxwingspread/common";
import type { HardState, LogEntry, ReplicaIdentity, ReplicaMessage, SnapshotHeader } from "@waxwingspread/protocol";

/** Role of a replica in its current term. */
export enum ReplicaRole {
    Follower = "follower",
    PreCandidate = "pre-candidate",
    Candidate = "candidate",
    Leader = "leader",
}

/** Heartbeat interval and bounds of the randomized election timeout. */
export interface ReplicaTiming {
    heartbeatMs: number;
    minimumElectionTimeoutMs: number;
    maximumElectionTimeoutMs: number;
}

/** Bounds on messages and on the log kept in memory. */
export interface ReplicaLimits {
    /** Entries in one append message. */
    batchEntries: number;
    /** Approximate bytes in one append message; a larger single entry is sent alone. */
    batchBytes: number;
    /** Entries sent to one peer and not yet acknowledged. */
    inFlightEntries: number;
    /** Approximate bytes sent to one peer and not yet acknowledged. */
    inFlightBytes: number;
    snapshotChunkBytes: number;
    /** Entries kept before the last snapshot, so that a peer a few messages behind needs no snapshot. */
    retainedEntries: number;
    /** Approximate size of these entries, beyond which fewer are kept. */
    retainedBytes: number;
}

/** Timing that applies where the options give none. */
export const DEFAULT_REPLICA_TIMING: ReplicaTiming = {
    heartbeatMs: 100,
    minimumElectionTimeoutMs: 400,
    maximumElectionTimeoutMs: 800,
};

/** Limits that apply where the options give none. */
export const DEFAULT_REPLICA_LIMITS: ReplicaLimits = {
    batchEntries: 512,
    batchBytes: 256 * 1024,
    inFlightEntries: 8_192,
    // A busy leader handles acknowledgements only every 100 to 200 ms.
    inFlightBytes: 3 * 1024 * 1024,
    snapshotChunkBytes: 64 * 1024,
    retainedEntries: 1_000,
    retainedBytes: 4 * 1024 * 1024,
};

/** State read from a replica's disk at startup. */
export interface PersistedState {
    hardState: HardState;
    snapshot?: SnapshotHeader;
    /** Consecutive entries; the first one follows the snapshot. */
    entries: LogEntry[];
}

/** Construction parameters of a replica. */
export interface ReplicaOptions {
    identity: ReplicaIdentity;
    persisted: PersistedState;
    random: SeededRandom;
    timing?: Partial<ReplicaTiming>;
    limits?: Partial<ReplicaLimits>;
}

/** Kinds of single-step membership changes. */
export enum MembershipChangeKind {
    AddLearner = "add-learner",
    Promote = "promote",
    Remove = "remove",
}

/** A single-step change of the membership. */
export type MembershipChange =
    | { kind: MembershipChangeKind.AddLearner; identity: ReplicaIdentity }
    | { kind: MembershipChangeKind.Promote; diskId: string }
    | { kind: MembershipChangeKind.Remove; diskId: string };

/** Kinds of effects of a replica. */
export enum ReplicaEffectKind {
    Send = "send",
    Persist = "persist",
    Commit = "commit",
    RestoreSnapshot = "restore-snapshot",
    SnapshotNeeded = "snapshot-needed",
    RoleChanged = "role-changed",
}

/** Send a message; it may be lost, duplicated or reordered. The address is empty when it is not known. */
export interface SendEffect {
    kind: ReplicaEffectKind.Send;
    to: ReplicaIdentity;
    message: ReplicaMessage;
}

/** Write and sync in this order: hard state, truncation, entries. Then call `onPersisted(token)`. */
export interface PersistEffect {
    kind: ReplicaEffectKind.Persist;
    token: number;
    hardState?: HardState;
    /** First index to remove from the log before the entries are appended. */
    truncateFromIndex?: number;
    entries: LogEntry[];
}

/** Apply these entries, each exactly once and in order. */
export interface CommitEffect {
    kind: ReplicaEffectKind.Commit;
    entries: LogEntry[];
}

/**
 * Replace the state with the snapshot, store it, and discard the whole log. Then call `onPersisted(token)`.
 * Ordered with Persist effects.
 */
export interface RestoreSnapshotEffect {
    kind: ReplicaEffectKind.RestoreSnapshot;
    token: number;
    header: SnapshotHeader;
    bytes: Uint8Array;
}

/** Read the latest stored snapshot and call `onSnapshotLoaded`. */
export interface SnapshotNeededEffect {
    kind: ReplicaEffectKind.SnapshotNeeded;
}

/** The role, the term or the known leader changed. */
export interface RoleChangedEffect {
    kind: ReplicaEffectKind.RoleChanged;
    role: ReplicaRole;
    term: number;
    leader?: ReplicaIdentity;
}

/** Output of a replica, to be executed in order. */
export type ReplicaEffect =
    | SendEffect
    | PersistEffect
    | CommitEffect
    | RestoreSnapshotEffect
    | SnapshotNeededEffect
    | RoleChangedEffect;

import type { StepError } from "@waxwingspread/common";
import type { Result } from "ts-results-es";

/** The part of the replicated log that a workflow node uses. */
export interface ReplicatedLog {
    readonly term: number;
    readonly isLeader: boolean;
    /** Appends one record; returns its index. Fails with NOT_LEADER. */
    propose(record: Uint8Array, nowMs: number): Result<number, StepError>;
    /** Whether no other replica can have been elected and all earlier entries are committed. */
    hasQuorumLease(nowMs: number): boolean;
    /** Starts a check that no other replica leads. Returns the time for `isLeadershipConfirmed`. */
    startLeadershipCheck(nowMs: number): number;
    /** Whether a quorum has answered this leader since the check began, so that the committed state is current. */
    isLeadershipConfirmed(checkMs: number): boolean;
}

/** A committed record of the log. */
export interface CommittedRecord {
    index: number;
    term: number;
    /** Undefined for entries that the replication protocol itself appends. */
    data: Uint8Array | undefined;
}

import type { StepError } from "@waxwingspread/common";
import type { Result } from "ts-results-es";

/** The replicated log as a workflow node uses it. */
export interface ReplicatedLog {
    readonly term: number;
    readonly isLeader: boolean;
    /** Appends one record; returns its index. Fails with NOT_LEADER. */
    propose(record: Uint8Array, nowMs: number): Result<number, StepError>;
    /** True while no other replica can have been elected and all earlier entries are committed. */
    hasQuorumLease(nowMs: number): boolean;
}

/** A committed record. */
export interface CommittedRecord {
    index: number;
    term: number;
    /** Undefined for entries of replication itself. */
    data: Uint8Array | undefined;
}

import type { StepError } from "@waxwingspread/common";
import type { MembershipChange } from "@waxwingspread/consensus";
import type { Membership } from "@waxwingspread/protocol";
import type { Result } from "ts-results-es";

/** Interface of the replicated log that a control node uses. */
export interface ReplicatedLogPort {
    readonly term: number;
    readonly isLeader: boolean;
    /** Address of the current leader, if known. */
    readonly leaderAddress: string | undefined;
    readonly membership: Membership;
    readonly commitIndex: number;
    /** Appends records; returns the index of the last one. Fails with NOT_LEADER. */
    propose(records: Uint8Array[], nowMs: number): Result<number, StepError>;
    changeMembership(change: MembershipChange, nowMs: number): Result<number, StepError>;
    /** True while no other replica can have been elected. */
    hasQuorumLease(nowMs: number): boolean;
}

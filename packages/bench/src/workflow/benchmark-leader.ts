import { WorkflowNode } from "@waxwingspread/workflow";
import type { CommittedRecord, LeaderSettings, Times } from "@waxwingspread/workflow";
import { Ok } from "ts-results-es";

const SETTINGS: LeaderSettings = {
    leaseMs: 3_500,
    maxLeaseMs: 6_000,
    busyHeartbeatMs: 100,
    idleHeartbeatMs: 100,
    maintenanceMs: 2_000,
    maxOrderBytes: 256 * 1024,
    orderLeaseMs: 3_000,
    retentionMs: 180_000,
    maxJobBytes: 40_000_000,
};

/** The workflow node of a leader, with a log in memory that commits at once. */
export class BenchmarkLeader {
    readonly node: WorkflowNode;
    #proposedRecords: CommittedRecord[] = [];
    #index = 0;

    constructor(times: Times) {
        this.node = new WorkflowNode({
            settings: SETTINGS,
            log: {
                term: 1,
                isLeader: true,
                hasQuorumLease: () => true,
                startLeadershipCheck: nowMs => nowMs,
                isLeadershipConfirmed: () => true,
                propose: data => {
                    this.#index += 1;
                    this.#proposedRecords.push({ index: this.#index, term: 1, data });
                    return Ok(this.#index);
                },
            },
        });
        // The first record of the term, without which the node does not lead.
        this.node.applyCommitted([{ index: 0, term: 1, data: undefined }], times);
    }

    /** Runs the node and commits its proposals, twice, so that committed proposals are answered in the same cycle. */
    runCycle(times: Times): void {
        for (let round = 0; round < 2; round += 1) {
            this.node.run(times);
            const records = this.#proposedRecords;
            this.#proposedRecords = [];
            this.node.applyCommitted(records, times);
        }
    }
}

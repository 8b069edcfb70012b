import { ReplicaRole } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import type { ReplicatedLog } from "@waxwingspread/workflow";

/** Returns the replicated log of a runner, which is read only when the log is used. */
export const createRunnerLog = (readRunner: () => ReplicaRunner): ReplicatedLog => ({
    get term() {
        return readRunner().replica.term;
    },
    get isLeader() {
        return readRunner().replica.role === ReplicaRole.Leader;
    },
    propose: (record, nowMs) => readRunner().propose([record], nowMs),
    hasQuorumLease: nowMs => readRunner().hasQuorumLease(nowMs),
    startLeadershipCheck: nowMs => readRunner().startLeadershipCheck(nowMs),
    isLeadershipConfirmed: checkMs => readRunner().isLeadershipConfirmed(checkMs),
});

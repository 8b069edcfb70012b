import { ReplicaRole } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import type { ReplicatedLogPort } from "./replicated-log-port.js";

/** Adapts a replica runner to a control node's log interface. The runner may be created after the node. */
export const createReplicatedLogPort = (findRunner: () => ReplicaRunner | undefined): ReplicatedLogPort => {
    const runner = (): ReplicaRunner => {
        const found = findRunner();
        if (found === undefined) {
            throw new Error("the replica has not started");
        }
        return found;
    };
    return {
        get term() {
            return runner().replica.term;
        },
        get isLeader() {
            return runner().replica.role === ReplicaRole.Leader;
        },
        get leaderAddress() {
            return runner().replica.leader?.address;
        },
        get membership() {
            return runner().replica.membership;
        },
        get commitIndex() {
            return runner().replica.commitIndex;
        },
        propose: (records, nowMs) => runner().propose(records, nowMs),
        changeMembership: (change, nowMs) => runner().changeMembership(change, nowMs),
        hasQuorumLease: nowMs => runner().hasQuorumLease(nowMs),
    };
};

import { ReplicaRole } from "@waxwingspread/consensus";
import type { ReplicaRunner } from "@waxwingspread/consensus";
import { monotonicNowMs } from "../transport/monotonic-time.js";

const CHECK_INTERVAL_MS = 20;

/**
 * Hands over the leadership of a replica. Resolves once it is not the leader any more, or after `timeoutMs`, with whether
 * the replica was the leader.
 */
export const handOverLeadership = async (runner: ReplicaRunner, timeoutMs: number): Promise<boolean> => {
    const wasLeader = runner.replica.role === ReplicaRole.Leader;
    const deadlineMs = monotonicNowMs() + timeoutMs;
    while (runner.replica.role === ReplicaRole.Leader && monotonicNowMs() < deadlineMs) {
        runner.handOver(monotonicNowMs());
        await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
    return wasLeader;
};

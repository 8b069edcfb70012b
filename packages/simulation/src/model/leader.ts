import { decodeEvents, EventKind, WorkflowNode } from "@waxwingspread/workflow";
import type { AssignedRun, BeginMaintenance, LeaderSettings, Times } from "@waxwingspread/workflow";
import { Ok } from "ts-results-es";
import type { SimulatedLog } from "./simulated-log.js";

/** Dependencies of a {@link Leader}. */
export interface LeaderOptions {
    term: number;
    settings: LeaderSettings;
    log: SimulatedLog;
    beginMaintenance: BeginMaintenance;
    assigned: (run: AssignedRun) => void;
}

/** The node of a replica in the term in which it leads. */
export class Leader {
    readonly term: number;
    readonly node: WorkflowNode;
    /** Whether the replica takes itself for the leader; it may have been replaced while it was suspended. */
    believesToLead = true;
    /** Whether its records reach the other replicas. */
    isReplaced = false;
    /** Time until which its process is suspended. */
    suspendedUntilMs = -Infinity;
    /** Calls that have arrived while its process was suspended. */
    readonly waitingCalls: ((leader: Leader, times: Times) => void)[] = [];

    constructor({ term, settings, log, beginMaintenance, assigned }: LeaderOptions) {
        this.term = term;
        const isLeader = (): boolean => this.believesToLead;
        const isConfirmed = (): boolean => this.believesToLead && !this.isReplaced;
        this.node = new WorkflowNode({
            settings,
            beginMaintenance,
            log: {
                term,
                get isLeader() {
                    return isLeader();
                },
                // The monotonic clock of a suspended machine may stand still, so that its lease seems to hold.
                hasQuorumLease: isLeader,
                startLeadershipCheck: nowMs => nowMs,
                isLeadershipConfirmed: isConfirmed,
                propose: data => {
                    if (this.isReplaced) {
                        return Ok(Infinity);
                    }
                    decodeEvents(data)
                        .flatMap(event => event.kind === EventKind.RunsAssigned ? event.runs : [])
                        .forEach(assigned);
                    return Ok(log.append(term, data));
                },
            },
        });
    }

    /** Ends the leadership of a replica that has heard of a later term. */
    stepDown(): void {
        this.believesToLead = false;
        this.node.handleLeadershipLost();
    }

    /** Applies the records that were committed before its term, and those of its own. */
    apply(records: Parameters<WorkflowNode["applyCommitted"]>[0], times: Times): void {
        this.node.applyCommitted(records, times);
    }
}

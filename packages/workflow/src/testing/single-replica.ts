import { Ok } from "ts-results-es";
import type { LeaderSettings } from "../leader/settings.js";
import type { Times } from "../leader/times.js";
import type { CallResult, Respond } from "../model/calls.js";
import type { HeartbeatOrders, HeartbeatReport } from "../model/heartbeat.js";
import type { JobSpecification } from "../model/specification.js";
import type { CallOrigin } from "../node/caller-access.js";
import type { CommittedRecord } from "../node/replicated-log.js";
import { WorkflowNode } from "../node/workflow-node.js";
import type { WorkflowNodeOptions } from "../node/workflow-node.js";
import { configurationOf, HOST } from "./fixtures.js";

/** Initial time of the monotonic clock and of the wall clock in tests. */
const START_MS = 1_000_000;

/** Settings of the leader in tests. */
export const LEADER_SETTINGS: LeaderSettings = {
    leaseMs: 3_000,
    maxLeaseMs: 6_000,
    busyHeartbeatMs: 100,
    idleHeartbeatMs: 100,
    maintenanceMs: 2_000,
    maxOrderBytes: 256 * 1024,
    orderLeaseMs: 3_000,
    retentionMs: 120_000,
    maxJobBytes: 40_000_000,
};

/** Returns the result that a call delivered synchronously; throws when there is none. */
export const resultOf = <Value>(call: (respond: Respond<Value>) => void): CallResult<Value> => {
    const results: CallResult<Value>[] = [];
    call(result => results.push(result));
    const [result] = results;
    if (result === undefined) {
        throw new Error("the call has no result yet");
    }
    return result;
};

/** Test doubles of the platform's services, and receivers of contained errors and of refused calls. */
type PlatformServices = Pick<
    WorkflowNodeOptions,
    "queryEligibility" | "beginMaintenance" | "onError" | "onCallRefused"
>;

/** One workflow node with an in-memory log that commits on request and a clock that is advanced manually. */
export class SingleReplica {
    node: WorkflowNode;
    /** Whether this replica leads. */
    isLeader = true;
    /** Whether followers answer this replica. */
    isAnswered = true;
    term = 1;
    readonly log: CommittedRecord[] = [];
    #committedCount = 0;
    #nowMs = START_MS;
    /** Offset of the wall clock from the monotonic clock. */
    timeOfDayOffsetMs = 0;

    /** Settings of the next node that is created. */
    settings: LeaderSettings;
    readonly #services: PlatformServices;

    constructor(services: PlatformServices = {}, settings = LEADER_SETTINGS) {
        this.#services = services;
        this.settings = settings;
        this.node = this.#createNode();
        this.#beginTerm();
    }

    /** Creates a leader that has a configuration and whose initial planning delay has passed. */
    static started(services: PlatformServices = {}, settings = LEADER_SETTINGS): SingleReplica {
        const replica = new SingleReplica(services, settings);
        replica.settle();
        replica.node.configure(configurationOf(1), () => undefined, replica.times);
        replica.settle();
        replica.advance(500);
        return replica;
    }

    get times(): Times {
        return { nowMs: this.#nowMs, timeOfDayMs: this.#nowMs + this.timeOfDayOffsetMs };
    }

    /** Advances the clock and settles. */
    advance(durationMs: number): void {
        this.#nowMs += durationMs;
        this.settle();
    }

    /** Runs the node and commits its proposals ten times, so that follow-up proposals are committed as well. */
    settle(): void {
        for (let round = 0; round < 10; round += 1) {
            this.node.run(this.times);
            this.commit();
        }
    }

    commit(): void {
        const records = this.log.slice(this.#committedCount);
        this.#committedCount = this.log.length;
        this.node.applyCommitted(records, this.times);
    }

    /**
     * Replaces the node by a new one that leads in the next term. It has applied all committed records, or only the given
     * number when it is elected.
     */
    failOver({ appliedRecords = this.#committedCount } = {}): void {
        this.log.length = this.#committedCount;
        this.node.handleLeadershipLost();
        this.node = this.#createNode();
        this.term += 1;
        this.node.applyCommitted(this.log.slice(0, appliedRecords), this.times);
        this.#committedCount = appliedRecords;
        this.#beginTerm();
        this.settle();
    }

    /** Elects this node again in the next term; what it has not committed is lost. */
    reelect(): void {
        this.log.length = this.#committedCount;
        this.term += 1;
        this.#beginTerm();
        this.settle();
    }

    /** Submits a job to the queue `/batch/`, with the key of its organisation as `organisationOf` names it. */
    submit(job: JobSpecification): CallResult<void> {
        const results: CallResult<void>[] = [];
        this.node.submit(originOf(job.id, job.organisation), job, result => results.push(result), this.times);
        this.settle();
        return resultOf(respond => results.forEach(respond));
    }

    /** Cancels a job with the key of its organisation; to be settled by the caller. */
    cancel(jobId: string): void {
        const { organisation } = this.node.state.job(jobId)?.specification ?? {};
        this.node.cancel(jobId, () => undefined, this.times, originOf(jobId, organisation));
    }

    /** Sends a heartbeat and returns the orders in its answer. */
    heartbeat(report: HeartbeatReport): HeartbeatOrders | undefined {
        const results: CallResult<HeartbeatOrders | undefined>[] = [];
        this.node.heartbeat(report, result => results.push(result), this.times);
        this.settle();
        const [result] = results;
        return result?.ok === true ? result.value : undefined;
    }

    /** Returns a job's state. */
    stateOf(jobId: string): string {
        const results: CallResult<string>[] = [];
        this.node.jobState(jobId, result => results.push(result), this.times);
        this.settle();
        const [result] = results;
        return result === undefined ? "none" : result.ok ? result.value : result.refusal;
    }

    /** Appends the first record of a term, which the replication protocol writes; the next commit delivers it. */
    #beginTerm(): void {
        this.log.push({ index: this.log.length + 1, term: this.term, data: undefined });
    }

    #createNode(): WorkflowNode {
        const isLeader = (): boolean => this.isLeader;
        const isConfirmed = (): boolean => this.isLeader && this.isAnswered;
        const term = (): number => this.term;
        return new WorkflowNode({
            ...this.#services,
            settings: this.settings,
            log: {
                get term() {
                    return term();
                },
                get isLeader() {
                    return isLeader();
                },
                hasQuorumLease: isLeader,
                startLeadershipCheck: nowMs => nowMs,
                isLeadershipConfirmed: isConfirmed,
                propose: data => {
                    this.log.push({ index: this.log.length + 1, term: this.term, data });
                    return Ok(this.log.length);
                },
            },
        });
    }
}

const originOf = (jobId: string, keyDigest: string | undefined): CallOrigin => ({
    host: HOST,
    path: `/batch/${jobId}`,
    keyDigest,
});

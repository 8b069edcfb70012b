import type { JobSpecification } from "../model/specification.js";
import type { JobRecord } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";

const JOB_BYTES = 1_000;
const STEP_BYTES = 600;
const TASK_BYTES = 100;

/** Interval at which the memory that all jobs need is computed again. */
const UPDATE_INTERVAL_MS = 500;
/**
 * A job is accepted if this multiple of its size is free. So large jobs are refused first, and some room is left for small
 * ones.
 */
const FREE_RATIO = 2;

/** Dependencies of a {@link JobAdmission}. */
export interface JobAdmissionOptions {
    state: WorkflowState;
    /** Upper bound on the memory for all jobs. */
    maxBytes: number;
}

/**
 * Limits the memory that accepted jobs take on every replica. Without a limit a burst of large jobs ends all replicas, and
 * ends them again at each start, since all of them read what was accepted.
 */
export class JobAdmission {
    readonly #options: JobAdmissionOptions;
    #usedBytes = 0;
    #updatedAtMs = -Infinity;

    constructor(options: JobAdmissionOptions) {
        this.#options = options;
    }

    /** Returns whether a job may be accepted, and counts it if so. */
    tryAdmit(job: JobSpecification, nowMs: number): boolean {
        this.#update(nowMs);
        if (!this.#fits(job, this.#usedBytes)) {
            return false;
        }
        this.#usedBytes += sizeOfJob(job) + sizeOfTasks(job);
        return true;
    }

    /** Whether a job would be accepted beside all known ones; counts nothing. */
    hasRoomFor(job: JobSpecification): boolean {
        return this.#fits(job, this.#sizeOfKnownJobs());
    }

    #fits(job: JobSpecification, usedBytes: number): boolean {
        return usedBytes + FREE_RATIO * (sizeOfJob(job) + sizeOfTasks(job)) <= this.#options.maxBytes;
    }

    #update(nowMs: number): void {
        if (nowMs - this.#updatedAtMs < UPDATE_INTERVAL_MS) {
            return;
        }
        this.#updatedAtMs = nowMs;
        this.#usedBytes = this.#sizeOfKnownJobs();
    }

    #sizeOfKnownJobs(): number {
        let sizeBytes = 0;
        for (const job of this.#options.state.jobs.values()) {
            sizeBytes += sizeOf(job);
        }
        return sizeBytes;
    }
}

/** The tasks of complete occurrences take no memory. */
const sizeOf = (job: JobRecord): number =>
    sizeOfJob(job.specification) + sizeOfTasks(job.specification) * job.openOccurrenceCount;

const sizeOfJob = ({ payload, steps }: JobSpecification): number =>
    JOB_BYTES + payload.length + steps.length * STEP_BYTES;

/** Returns the size of the tasks of one occurrence. */
const sizeOfTasks = ({ steps }: JobSpecification): number =>
    steps.reduce((sum, { taskCount }) => sum + taskCount, 0) * TASK_BYTES;

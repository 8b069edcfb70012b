import { JobState } from "../../model/calls.js";
import { queueAddressOf } from "../../model/queue-identity.js";
import { taskKindOf } from "../../model/specification.js";
import type { TaskKind, TaskPosition } from "../../model/specification.js";
import type { JobRecord } from "../../state/job-record.js";
import { acceptedDurationMs, criticalPathMs } from "../job-duration.js";
import type { RunView } from "../server-view.js";
import { jobWorkCoreSeconds } from "./job-work.js";

/** Jobs that are listed in one report; the others are only counted. */
const MAX_LISTED_JOBS = 20;
/** A job that takes longer than this multiple of the accepted duration counts as very late. */
const VERY_LATE_RATIO = 3;

/** How a job ended, by what its callers accept. */
export enum Punctuality {
    InTime = "in-time",
    Late = "late",
    VeryLate = "very-late",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** The end of a job that runs once, and what delayed it. */
export interface JobOutcome {
    jobId: string;
    queue: string;
    /** Host and path prefix of the queue; several may share a name. */
    queueAddress: string;
    priority: number;
    kind: TaskKind;
    punctuality: Punctuality;
    workCoreSeconds: number;
    tasks: number;
    /** Runs beyond one for each task. */
    repeatedRuns: number;
    durationMs: number;
    acceptedDurationMs: number;
    /** Estimated duration of the job on servers without other work. */
    estimatedMs: number;
    /** Sum over the steps of the longest wait of a task for a server. */
    waitMs: number;
    /** Sum over the steps of the longest time from the choice of a server to its report of the run. */
    startMs: number;
}

/** Ends of jobs by the address of the queue since the last report. */
export interface JobOutcomeReport {
    counts: Record<string, Partial<Record<Punctuality, number>>>;
    /** Jobs that did not end in time, up to a bound. */
    lateJobs: JobOutcome[];
}

/** Longest delays of the tasks of one step, in milliseconds, and the number of their runs. */
interface StepDelays {
    waitMs: number;
    startMs: number;
    runs: number;
}

/** Follows the jobs that run once until their end, and tells what delayed those that end late. */
export class JobOutcomes {
    /** Delays by job, then by step. */
    readonly #delays = new Map<string, Map<number, StepDelays>>();
    #counts: JobOutcomeReport["counts"] = {};
    #lateJobs: JobOutcome[] = [];

    /** Records that a server was chosen for a run. */
    recordAssigned({ position, waitingSinceMs }: RunView, timeOfDayMs: number): void {
        const delays = this.#delaysOf(position);
        delays.runs += 1;
        delays.waitMs = Math.max(delays.waitMs, timeOfDayMs - (waitingSinceMs ?? timeOfDayMs));
    }

    /** Records that a server has reported a run for the first time. */
    recordStarted({ position, assignedAtMs, firstReportedAtMs }: RunView): void {
        const delays = this.#delaysOf(position);
        delays.startMs = Math.max(delays.startMs, (firstReportedAtMs ?? assignedAtMs) - assignedAtMs);
    }

    /** Records the end of a job. */
    recordEnd(job: JobRecord): JobOutcome | undefined {
        const delays = this.#delays.get(job.id);
        this.#delays.delete(job.id);
        const outcome = outcomeOf(job, delays);
        if (outcome === undefined) {
            return undefined;
        }
        const counts = this.#counts[outcome.queueAddress] ??= {};
        counts[outcome.punctuality] = (counts[outcome.punctuality] ?? 0) + 1;
        const isLate = outcome.punctuality === Punctuality.Late || outcome.punctuality === Punctuality.VeryLate;
        if (isLate && this.#lateJobs.length < MAX_LISTED_JOBS) {
            this.#lateJobs.push(outcome);
        }
        return outcome;
    }

    /** Removes jobs that have ended without a record of their end. */
    retain(isOpen: (jobId: string) => boolean): void {
        for (const jobId of this.#delays.keys()) {
            if (!isOpen(jobId)) {
                this.#delays.delete(jobId);
            }
        }
    }

    /** Returns the outcomes since the last call. */
    take(): JobOutcomeReport {
        const report = { counts: this.#counts, lateJobs: this.#lateJobs };
        this.#counts = {};
        this.#lateJobs = [];
        return report;
    }

    #delaysOf({ jobId, step }: TaskPosition): StepDelays {
        const steps = this.#delays.get(jobId) ?? new Map<number, StepDelays>();
        this.#delays.set(jobId, steps);
        const delays = steps.get(step) ?? { waitMs: 0, startMs: 0, runs: 0 };
        steps.set(step, delays);
        return delays;
    }
}

/** Returns the outcome of a job that has ended; undefined for standing and scheduled ones, which have no duration. */
const outcomeOf = (job: JobRecord, delays: Map<number, StepDelays> | undefined): JobOutcome | undefined => {
    const { specification, queue, endedAtMs } = job;
    const [first] = specification.steps;
    const isOngoing = specification.schedule !== undefined || specification.steps.some(({ isStanding }) => isStanding);
    if (first === undefined || endedAtMs === undefined || isOngoing) {
        return undefined;
    }
    const durationMs = endedAtMs - job.acceptedAtMs;
    const acceptedMs = acceptedDurationMs(specification.steps, queue);
    const steps = [...delays?.values() ?? []];
    const tasks = specification.steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
    return {
        jobId: job.id,
        queue: queue.name,
        queueAddress: queueAddressOf(queue),
        priority: queue.priority,
        kind: taskKindOf(first),
        punctuality: punctualityOf(job.state, durationMs / Math.max(1, acceptedMs)),
        workCoreSeconds: Math.round(jobWorkCoreSeconds(specification)),
        tasks,
        repeatedRuns: Math.max(0, steps.reduce((sum, { runs }) => sum + runs, 0) - tasks),
        durationMs,
        acceptedDurationMs: Math.round(acceptedMs),
        estimatedMs: Math.round(criticalPathMs(specification.steps)),
        waitMs: Math.round(steps.reduce((sum, { waitMs }) => sum + waitMs, 0)),
        startMs: Math.round(steps.reduce((sum, { startMs }) => sum + startMs, 0)),
    };
};

const punctualityOf = (state: JobState, durationRatio: number): Punctuality => {
    if (state !== JobState.Completed) {
        return state === JobState.Cancelled ? Punctuality.Cancelled : Punctuality.Failed;
    }
    if (durationRatio <= 1) {
        return Punctuality.InTime;
    }
    return durationRatio <= VERY_LATE_RATIO ? Punctuality.Late : Punctuality.VeryLate;
};

import type { Refusal } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import { queueAddressOf } from "../model/queue-identity.js";
import type { JobSpecification, TaskKind } from "../model/specification.js";
import { JobRecord } from "../state/job-record.js";
import type { ServerCounts } from "./placement.js";
import type { Planner } from "./planner.js";
import type { SubmissionControl } from "./submission-control.js";
import type { Times } from "./times.js";
import { untimedStepsOf } from "./untimed-steps.js";

/** Where the tasks of a step would go if they were waiting now. */
export interface StepPreview extends ServerCounts {
    /** Position of the step in its job. */
    step: number;
    kind: TaskKind;
    taskCount: number;
    /** Positions of the steps that must end before. */
    dependsOn: readonly number[];
    /** Server that suits a task best; undefined if none can run it. In a large fleet the planner may take another good one. */
    serverId: string | undefined;
}

/** What would happen to a submission now. */
export interface JobPreview {
    queue: string;
    /** Host and path prefix of the queue; several may share a name. */
    queueAddress: string;
    /** Whether a job with this id is known, so that a submission would change nothing. */
    isKnown: boolean;
    /** Why the submission would be refused; undefined if it would be accepted. */
    refusal: Refusal | undefined;
    steps: StepPreview[];
}

/** A job and the queue that it would be handed in to. */
export interface Submission {
    job: JobSpecification;
    queue: QueueContract;
}

/** What a preview is derived from. */
export interface JobPreviewSources {
    planner: Planner;
    submissions: SubmissionControl;
    /** Whether a job with the id is known. */
    isKnown: boolean;
}

/**
 * Returns what would happen to a submission now. Each step is looked at by itself, as if those before it had ended: the
 * room that the job's other tasks would take is not counted. Nothing is changed or reserved.
 */
export const previewJob = (
    { job, queue }: Submission,
    { planner, submissions, isKnown }: JobPreviewSources,
    times: Times,
): JobPreview => ({
    queue: queue.name,
    queueAddress: queueAddressOf(queue),
    isKnown,
    refusal: isKnown ? undefined : submissions.check(job, queue, times)?.refusal,
    steps: untimedStepsOf(JobRecord.accepted(job, queue, times.timeOfDayMs)).map(waiting => ({
        step: waiting.stepIndex,
        kind: waiting.kind,
        taskCount: waiting.step.taskCount,
        dependsOn: waiting.step.dependsOn,
        serverId: planner.bestServerFor(waiting, times.nowMs)?.id,
        ...planner.countServersFor(waiting, times.nowMs),
    })),
});

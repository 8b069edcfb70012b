import { taskKindOf } from "../model/specification.js";
import type { JobRecord } from "../state/job-record.js";
import type { WaitingStep } from "./work-queue.js";

/** Returns a step without the times that only matter for its order in the queue. */
export const untimedStepOf = (
    step: Pick<WaitingStep, "job" | "occurrence" | "stepIndex" | "step" | "kind" | "record">,
): WaitingStep => ({
    ...step,
    waitingSinceMs: 0,
    expectedEndMs: 0,
    usefulUntilMs: 0,
    remainingCriticalPathMs: 0,
    idleSinceMs: undefined,
});

/** Returns the steps of a job's first occurrence as if all of them were waiting. */
export const untimedStepsOf = (job: JobRecord): WaitingStep[] =>
    (job.stepsOf(0) ?? []).flatMap((record, stepIndex) => {
        const step = job.specification.steps[stepIndex];
        return step === undefined
            ? []
            : [untimedStepOf({ job, occurrence: 0, stepIndex, step, kind: taskKindOf(step), record })];
    });

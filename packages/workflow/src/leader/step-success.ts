import { taskKeyOf, TaskKind } from "../model/specification.js";
import type { StepPosition } from "../model/specification.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { ServerDirectory } from "./server-directory.js";

/** Reported progress of a standing task that is at work. */
const FULL_PROGRESS_PERCENT = 100;

/** Whether a task of a step has ended successfully or, in a standing step, is at work. */
export const hasStepSucceeded = (
    state: WorkflowState,
    directory: ServerDirectory,
    { jobId, occurrence, step }: StepPosition,
): boolean => {
    const job = state.job(jobId);
    if (job?.isOccurrenceComplete(occurrence) === true) {
        return true;
    }
    const record = job?.stepsOf(occurrence)?.[step];
    return record !== undefined && (record.doneCount > 0 || record.tasks.some((task, index) => {
        const key = taskKeyOf({ jobId, occurrence, step, index });
        const run = directory.get(task.server?.serverId ?? "")?.findRun(key, task.run);
        return run?.kind === TaskKind.Standing && run.progressPercent >= FULL_PROGRESS_PERCENT;
    }));
};

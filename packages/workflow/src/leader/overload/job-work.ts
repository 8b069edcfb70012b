import type { JobSpecification, StepSpecification } from "../../model/specification.js";

/** Returns the estimated CPU time that one task of a step needs, in core-seconds. */
export const taskWorkCoreSeconds = ({ amounts, estimatedRunTimeMs }: StepSpecification): number =>
    (amounts.cpuMillicores / 1_000) * (estimatedRunTimeMs / 1_000);

/** Returns the estimated CPU time that the tasks of a step need, in core-seconds. */
export const stepWorkCoreSeconds = (step: StepSpecification): number => step.taskCount * taskWorkCoreSeconds(step);

/** Returns the estimated CPU time that one occurrence of a job needs, in core-seconds. */
export const jobWorkCoreSeconds = ({ steps }: Pick<JobSpecification, "steps">): number =>
    steps.reduce((sum, step) => sum + stepWorkCoreSeconds(step), 0);

import type { QueueContract } from "../model/configuration.js";
import type { StepSpecification } from "../model/specification.js";

/** Estimated durations of the critical paths of a job's steps. */
interface CriticalPaths {
    /** Durations of the paths from each step on. */
    fromSteps: readonly number[];
    longestMs: number;
}

const criticalPathsBySteps = new WeakMap<readonly StepSpecification[], CriticalPaths>();

/** Returns the duration of a job that callers accept: a multiple of its critical path plus the queue's target duration. */
export const acceptedDurationMs = (
    steps: readonly StepSpecification[],
    { stretchRatio, targetDurationMs }: QueueContract,
): number => stretchRatio * criticalPathMs(steps) + targetDurationMs;

/** Returns the estimated duration of the critical path from a step on; by default, from the beginning. */
export const criticalPathMs = (steps: readonly StepSpecification[], fromStep?: number): number => {
    let paths = criticalPathsBySteps.get(steps);
    if (paths === undefined) {
        const fromSteps = criticalPathsOf(steps);
        paths = { fromSteps, longestMs: fromSteps.reduce((longest, path) => Math.max(longest, path), 0) };
        criticalPathsBySteps.set(steps, paths);
    }
    return fromStep === undefined ? paths.longestMs : paths.fromSteps[fromStep] ?? 0;
};

/** Computes the critical paths from each step on. Steps depend on earlier ones only, so that the last comes first. */
const criticalPathsOf = (steps: readonly StepSpecification[]): number[] => {
    const paths = steps.map(() => 0);
    for (let index = steps.length - 1; index >= 0; index -= 1) {
        const path = (paths[index] ?? 0) + (steps[index]?.estimatedRunTimeMs ?? 0);
        paths[index] = path;
        steps[index]?.dependsOn.forEach(earlier => {
            paths[earlier] = Math.max(paths[earlier] ?? 0, path);
        });
    }
    return paths;
};

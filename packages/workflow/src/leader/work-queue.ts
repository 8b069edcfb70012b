import { stepKeyOf as stepKey, taskKeyOf, TaskKind, taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import type { JobRecord, StepRecord } from "../state/job-record.js";
import { TaskPhase } from "../state/job-record.js";

/** A step with tasks that wait for a run. */
export interface WaitingStep {
    readonly job: JobRecord;
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: StepSpecification;
    readonly kind: TaskKind;
    readonly record: StepRecord;
    /** Time of day at which callers expect the end of the occurrence. */
    readonly expectedEndMs: number;
}

/**
 * Steps whose turn has come, in the order in which they get room: by priority, then by the time at which callers
 * expect the job's end. A batch job that has missed that time comes after those that can still make it.
 */
export class WorkQueue {
    readonly #steps = new Map<string, WaitingStep>();
    #sorted: WaitingStep[] | undefined;

    /** Steps with tasks that may wait. */
    get steps(): readonly WaitingStep[] {
        this.#sorted ??= [...this.#steps.values()].sort(compare);
        return this.#sorted;
    }

    /** Returns the steps in the order in which they get room. */
    ordered(timeOfDayMs: number): readonly WaitingStep[] {
        const { steps } = this;
        const overdue = steps.filter(waiting => isOverdue(waiting, timeOfDayMs));
        if (overdue.length === 0) {
            return steps;
        }
        const inTime = steps.filter(waiting => !isOverdue(waiting, timeOfDayMs));
        return [...inTime, ...overdue].sort((a, b) => a.job.queue.priority - b.job.queue.priority);
    }

    /** Takes note that a job's tasks or its state changed. */
    refresh(job: JobRecord, timeOfDayMs: number): void {
        job.occurrences.forEach((steps, occurrence) => {
            const isDue = job.dueMs(occurrence) <= timeOfDayMs;
            steps.forEach((record, stepIndex) => {
                const step = job.specification.steps[stepIndex];
                const isWaiting = !job.isOver && isDue && step !== undefined
                    && record.doneCount < record.tasks.length
                    && job.isStepUnlocked(occurrence, stepIndex)
                    && record.tasks.some(task => task.phase === TaskPhase.Waiting);
                const key = stepKey({ jobId: job.id, occurrence, step: stepIndex });
                if (isWaiting && !this.#steps.has(key)) {
                    this.#steps.set(key, {
                        job,
                        occurrence,
                        stepIndex,
                        step,
                        kind: taskKindOf(step),
                        record,
                        expectedEndMs: expectedEndMsOf(job, occurrence),
                    });
                    this.#sorted = undefined;
                }
                else if (!isWaiting && this.#steps.delete(key)) {
                    this.#sorted = undefined;
                }
            });
        });
    }
}

/** Returns the key of a step of one occurrence. */
export const stepKeyOf = ({ job, occurrence, stepIndex }: WaitingStep): string =>
    stepKey({ jobId: job.id, occurrence, step: stepIndex });

/** Returns the key of one task of a step. */
export const taskKeyIn = (waiting: WaitingStep, index: number): string =>
    taskKeyOf({ jobId: waiting.job.id, occurrence: waiting.occurrence, step: waiting.stepIndex, index });

const compare = (a: WaitingStep, b: WaitingStep): number =>
    a.job.queue.priority - b.job.queue.priority
    || a.expectedEndMs - b.expectedEndMs
    || a.occurrence - b.occurrence
    || a.stepIndex - b.stepIndex;

const isOverdue = (waiting: WaitingStep, timeOfDayMs: number): boolean =>
    waiting.kind === TaskKind.Filler && waiting.expectedEndMs < timeOfDayMs;

/** Returns the time by which callers expect an occurrence to end: a multiple of its longest chain of work, and more. */
const expectedEndMsOf = (job: JobRecord, occurrence: number): number => {
    const beginMs = Math.max(job.acceptedAtMs, job.dueMs(occurrence));
    return beginMs + job.queue.stretchRatio * longestChainMs(job.specification.steps) + job.queue.targetDurationMs;
};

const longestChainMs = (steps: readonly StepSpecification[]): number => {
    const ends: number[] = [];
    for (const step of steps) {
        const beginMs = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0));
        ends.push(beginMs + step.estimatedRunTimeMs);
    }
    return Math.max(0, ...ends);
};

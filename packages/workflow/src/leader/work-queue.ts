import { taskKeyOf, taskKindOf } from "../model/specification.js";
import type { StepSpecification, TaskKind } from "../model/specification.js";
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
}

const keyOf = (jobId: string, occurrence: number, step: number): string => `${jobId}.${occurrence}.${step}`;

/** Steps whose turn has come, in the order in which they get room: by priority, then by age. */
export class WorkQueue {
    readonly #steps = new Map<string, WaitingStep>();
    #sorted: WaitingStep[] | undefined;

    /** Steps with tasks that may wait, the first to be placed first. */
    get steps(): readonly WaitingStep[] {
        this.#sorted ??= [...this.#steps.values()].sort(compare);
        return this.#sorted;
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
                const key = keyOf(job.id, occurrence, stepIndex);
                if (isWaiting && !this.#steps.has(key)) {
                    this.#steps.set(key, { job, occurrence, stepIndex, step, kind: taskKindOf(step), record });
                    this.#sorted = undefined;
                }
                else if (!isWaiting && this.#steps.delete(key)) {
                    this.#sorted = undefined;
                }
            });
        });
    }
}

/** Returns the key of one task of a step. */
export const taskKeyIn = (waiting: WaitingStep, index: number): string =>
    taskKeyOf({ jobId: waiting.job.id, occurrence: waiting.occurrence, step: waiting.stepIndex, index });

const compare = (a: WaitingStep, b: WaitingStep): number =>
    a.job.queue.priority - b.job.queue.priority
    || Math.max(a.job.acceptedAtMs, a.job.dueMs(a.occurrence)) - Math.max(b.job.acceptedAtMs, b.job.dueMs(b.occurrence))
    || a.occurrence - b.occurrence
    || a.stepIndex - b.stepIndex;

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
    /** Expected time from the step's start to the end of the occurrence. */
    readonly remainingChainMs: number;
}

/**
 * Steps whose turn has come, in the order in which they get room: by priority, then by the time at which callers
 * expect the job's end. A batch job that can't end by that time comes after those that can.
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

    /** Takes note that a job's tasks or its state changed; returns whether other steps wait now. */
    refresh(job: JobRecord, timeOfDayMs: number): boolean {
        let isChanged = false;
        for (let occurrence = 0; occurrence < job.occurrences.length; occurrence += 1) {
            isChanged = this.refreshOccurrence(job, occurrence, timeOfDayMs) || isChanged;
        }
        return isChanged;
    }

    /** Takes note that tasks of one occurrence changed; returns whether other steps wait now. */
    refreshOccurrence(job: JobRecord, occurrence: number, timeOfDayMs: number): boolean {
        let isChanged = false;
        const isDue = !job.isOver && job.dueMs(occurrence) <= timeOfDayMs;
        job.occurrences[occurrence]?.forEach((record, stepIndex) => {
            const step = job.specification.steps[stepIndex];
            const key = stepKey({ jobId: job.id, occurrence, step: stepIndex });
            const isWaiting = isDue && step !== undefined && hasWaitingTask(job, occurrence, stepIndex, record);
            if (isWaiting === this.#steps.has(key)) {
                return;
            }
            if (isWaiting) {
                this.#steps.set(key, waitingStepOf(job, occurrence, stepIndex, step, record));
            }
            else {
                this.#steps.delete(key);
            }
            this.#sorted = undefined;
            isChanged = true;
        });
        return isChanged;
    }
}

const hasWaitingTask = (job: JobRecord, occurrence: number, stepIndex: number, record: StepRecord): boolean =>
    record.doneCount < record.tasks.length
    && job.isStepUnlocked(occurrence, stepIndex)
    && record.tasks.some(task => task.phase === TaskPhase.Waiting);

const waitingStepOf = (
    job: JobRecord,
    occurrence: number,
    stepIndex: number,
    step: StepSpecification,
    record: StepRecord,
): WaitingStep => ({
    job,
    occurrence,
    stepIndex,
    step,
    kind: taskKindOf(step),
    record,
    expectedEndMs: expectedEndMsOf(job, occurrence),
    remainingChainMs: longestChainMs(job.specification.steps, stepIndex),
});

/** Share of the estimated remaining work that a job certainly needs. */
const ESTIMATE_TRUST_RATIO = 0.7;

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

/** Whether a batch job ends late even if its tasks begin now; estimates are trusted in part only. */
const isOverdue = (waiting: WaitingStep, timeOfDayMs: number): boolean =>
    waiting.kind === TaskKind.Filler
    && timeOfDayMs + waiting.remainingChainMs * ESTIMATE_TRUST_RATIO > waiting.expectedEndMs;

/** Returns the time by which callers expect an occurrence to end: a multiple of its longest chain of work, and more. */
const expectedEndMsOf = (job: JobRecord, occurrence: number): number => {
    const beginMs = Math.max(job.acceptedAtMs, job.dueMs(occurrence));
    return beginMs + job.queue.stretchRatio * longestChainMs(job.specification.steps) + job.queue.targetDurationMs;
};

/** Returns the longest chain of work from a step on; of all steps for the default. */
const longestChainMs = (steps: readonly StepSpecification[], fromStep?: number): number => {
    const ends = new Map<number, number>();
    steps.forEach((step, index) => {
        const earlierEnds = step.dependsOn.flatMap(earlier => ends.get(earlier) ?? []);
        const isInChain = fromStep === undefined || index === fromStep || earlierEnds.length > 0;
        if (isInChain) {
            ends.set(index, Math.max(0, ...earlierEnds) + step.estimatedRunTimeMs);
        }
    });
    return Math.max(0, ...ends.values());
};

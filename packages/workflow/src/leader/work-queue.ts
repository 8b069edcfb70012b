import type { QueueContract } from "../model/configuration.js";
import { stepKeyOf as stepKey, taskKeyOf, TaskKind, taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import type { JobRecord } from "../state/job-record.js";
import { TaskPhase } from "../state/occurrence-records.js";
import type { StepRecord, TaskRecord } from "../state/occurrence-records.js";
import { acceptedDurationMs, criticalPathMs } from "./job-duration.js";

/** A step of one occurrence with tasks that wait for a run. */
export interface WaitingStep {
    readonly job: JobRecord;
    readonly occurrence: number;
    readonly stepIndex: number;
    readonly step: StepSpecification;
    readonly kind: TaskKind;
    readonly record: StepRecord;
    /** Wall-clock time since which a task of the step has waited, as far as this leader knows. */
    readonly waitingSinceMs: number;
    /** Wall-clock time by which callers expect the occurrence to end. */
    readonly expectedEndMs: number;
    /** Wall-clock time after which callers have little use for the occurrence. */
    readonly usefulUntilMs: number;
    /** Estimated time from the step's start to the end of the occurrence: its remaining critical path. */
    readonly remainingCriticalPathMs: number;
    /** Wall-clock time since which no task of the occurrence is assigned to a backend server; undefined while one is. */
    idleSinceMs: number | undefined;
}

/** A step of which tasks are to be placed next. */
export interface Turn {
    readonly waiting: WaitingStep;
    /** Upper bound on the tasks to be placed; a gang is placed as a whole. */
    readonly maxTasks: number;
}

/**
 * Time after which a waiting standing step precedes all other work. Standing tasks must be at work again within a few
 * seconds, however much work of a higher priority waits.
 */
const MAX_STANDING_WAIT_MS = 2_000;

/**
 * Waiting steps of one job from which on no further occurrence enters the queue. They would wait behind those anyway, and
 * each planning round goes through the whole queue.
 */
const MAX_WAITING_STEPS_OF_JOB = 1_000;

/** Multiple of the duration that callers accept from which on they have little use for a job. */
const USEFUL_DURATION_RATIO = 3;

/** Groups of the steps of one priority, in scheduling order. In the groups of late jobs, idle ones come first. */
enum Urgency {
    /** Finite jobs that have begun and can end in time. */
    BegunInTime,
    /**
     * Finite jobs that have begun and end late in any case; the capacity they have used is not to be wasted. While room is
     * scarce, those of which callers have little use any more are left out.
     */
    BegunLate,
    /** Other jobs that can end in time, and standing jobs, which are never too late to start. */
    InTime,
    /** Standing jobs while room for finite ones is scarce: they keep for long what they take. */
    PutOff,
    /** Jobs that end late even if they begin now; before those above, they would make them late as well. */
    Late,
}

/**
 * Returns the wall-clock time since which a task has waited whose assignments ended without a start; undefined for other
 * tasks.
 */
type UnstartedSince = (task: string) => number | undefined;

/** Returns whether the finite work that competes with a queue has too little room. */
type IsRoomScarce = (queue: QueueContract) => boolean;

/**
 * Steps that are due and whose dependencies are done, in scheduling order: overdue standing steps, then the others by
 * priority, by urgency, and by the time at which callers expect the occurrence to end.
 */
export class WorkQueue {
    readonly #unstartedSinceMs: UnstartedSince;
    readonly #steps = new Map<string, WaitingStep>();
    /** Keys of the waiting steps by job. */
    readonly #keysByJob = new Map<string, Set<string>>();
    /** Next occurrence to enter the queue when it is due, by job. */
    readonly #nextOccurrences = new Map<string, number>();
    #sorted: WaitingStep[] | undefined;

    constructor(unstartedSinceMs: UnstartedSince = () => undefined) {
        this.#unstartedSinceMs = unstartedSinceMs;
    }

    /** Steps with waiting tasks, by priority and expected end. */
    get steps(): readonly WaitingStep[] {
        this.#sorted ??= [...this.#steps.values()].sort(compareSteps);
        return this.#sorted;
    }

    /** Returns the standing steps that precede all other work, in scheduling order. */
    overdue(timeOfDayMs: number): readonly WaitingStep[] {
        return this.steps.filter(waiting => isStandingOverdue(waiting, timeOfDayMs));
    }

    /** Returns the steps in scheduling order. Idle late jobs have two turns: one for a single task, one for the others. */
    turns(timeOfDayMs: number, isRoomScarce: IsRoomScarce = () => false): readonly Turn[] {
        const overdue: Turn[] = [];
        const turns: Turn[] = [];
        let priority: number | undefined;
        let groups = emptyGroups();
        for (const waiting of this.steps) {
            if (isStandingOverdue(waiting, timeOfDayMs)) {
                overdue.push(wholeStepTurn(waiting));
                continue;
            }
            if (waiting.job.queue.priority !== priority) {
                priority = waiting.job.queue.priority;
                turns.push(...groups.flatMap(turnsOfGroup));
                groups = emptyGroups();
            }
            groups[urgencyOf(waiting, isRoomScarce, timeOfDayMs)]?.push(waiting);
        }
        turns.push(...groups.flatMap(turnsOfGroup));
        return [...overdue, ...turns];
    }

    /** Updates the queue after a change of a job. */
    refresh(job: JobRecord, timeOfDayMs: number): void {
        if (job.isOver) {
            this.#remove(job);
            return;
        }
        job.openOccurrences().forEach(occurrence => this.#refreshOccurrence(job, occurrence, timeOfDayMs));
        this.addDue(job, timeOfDayMs);
    }

    /** Adds the occurrences of a job that have become due; returns whether the set of waiting steps has changed. */
    addDue(job: JobRecord, timeOfDayMs: number): boolean {
        let isChanged = false;
        let next = this.#nextOccurrences.get(job.id) ?? job.firstIncompleteOccurrence;
        while (
            next < job.occurrenceCount
            && job.dueMs(next) <= timeOfDayMs
            && (this.#keysByJob.get(job.id)?.size ?? 0) < MAX_WAITING_STEPS_OF_JOB
        ) {
            isChanged = this.#refreshOccurrence(job, next, timeOfDayMs) || isChanged;
            next += 1;
        }
        this.#nextOccurrences.set(job.id, next);
        return isChanged;
    }

    /** Updates the queue after a change of a task. Only its own occurrence is refreshed, unless the job has ended. */
    refreshTask(job: JobRecord, occurrence: number, timeOfDayMs: number): void {
        if (job.isOver) {
            this.#remove(job);
        }
        else {
            this.#refreshOccurrence(job, occurrence, timeOfDayMs);
        }
    }

    /** Updates the queue after a change in one occurrence; returns whether the set of waiting steps has changed. */
    #refreshOccurrence(job: JobRecord, occurrence: number, timeOfDayMs: number): boolean {
        let isChanged = false;
        const isDue = job.dueMs(occurrence) <= timeOfDayMs;
        const records = isDue ? job.stepsOf(occurrence) : undefined;
        const hasAssignedTask = records?.some(({ tasks }) => tasks.some(isAssigned)) === true;
        job.specification.steps.forEach((step, stepIndex) => {
            const record = records?.[stepIndex];
            const key = stepKey({ jobId: job.id, occurrence, step: stepIndex });
            const isWaiting = record !== undefined && hasWaitingTask(job, occurrence, stepIndex, record);
            const queued = this.#steps.get(key);
            if (queued !== undefined) {
                queued.idleSinceMs = hasAssignedTask ? undefined : queued.idleSinceMs ?? timeOfDayMs;
            }
            if (isWaiting === (queued !== undefined)) {
                return;
            }
            if (isWaiting) {
                const waiting = this.#waitingStepOf({ job, occurrence, stepIndex, step, record }, timeOfDayMs);
                waiting.idleSinceMs = hasAssignedTask ? undefined : waiting.waitingSinceMs;
                this.#add(key, waiting);
            }
            else {
                this.#delete(key, job.id);
            }
            isChanged = true;
        });
        return isChanged;
    }

    #add(key: string, waiting: WaitingStep): void {
        this.#steps.set(key, waiting);
        const keys = this.#keysByJob.get(waiting.job.id) ?? new Set<string>();
        this.#keysByJob.set(waiting.job.id, keys.add(key));
        this.#sorted = undefined;
    }

    #delete(key: string, jobId: string): void {
        this.#steps.delete(key);
        const keys = this.#keysByJob.get(jobId);
        keys?.delete(key);
        if (keys?.size === 0) {
            this.#keysByJob.delete(jobId);
        }
        this.#sorted = undefined;
    }

    /** Removes a job that has ended. */
    #remove(job: JobRecord): void {
        this.#keysByJob.get(job.id)?.forEach(key => this.#delete(key, job.id));
        this.#nextOccurrences.delete(job.id);
    }

    #waitingStepOf(queued: QueuedStep, timeOfDayMs: number): WaitingStep {
        const { job, occurrence, stepIndex, step } = queued;
        return {
            ...queued,
            kind: taskKindOf(step),
            waitingSinceMs: this.#waitingSinceMsOf(queued, timeOfDayMs),
            idleSinceMs: undefined,
            expectedEndMs: expectedEndMsOf(job, occurrence),
            usefulUntilMs: expectedEndMsOf(job, occurrence, USEFUL_DURATION_RATIO),
            remainingCriticalPathMs: criticalPathMs(job.specification.steps, stepIndex),
        };
    }

    /**
     * Returns the wall-clock time since which a task of a step that is now queued has waited. The log does not tell when
     * an earlier run ended or when the dependencies were done.
     */
    #waitingSinceMsOf({ job, occurrence, stepIndex, step, record }: QueuedStep, timeOfDayMs: number): number {
        const isFirstRun = step.dependsOn.length === 0 && record.tasks.some(task => task.run === 0);
        let sinceMs = isFirstRun ? Math.min(timeOfDayMs, beginMsOf(job, occurrence)) : timeOfDayMs;
        record.tasks.forEach(({ phase, run }, index) => {
            if (phase === TaskPhase.Waiting && run > 0) {
                const task = taskKeyOf({ jobId: job.id, occurrence, step: stepIndex, index });
                sinceMs = Math.min(sinceMs, this.#unstartedSinceMs(task) ?? Infinity);
            }
        });
        return sinceMs;
    }
}

/** A step that enters the queue. */
type QueuedStep = Pick<WaitingStep, "job" | "occurrence" | "stepIndex" | "step" | "record">;

const hasWaitingTask = (job: JobRecord, occurrence: number, stepIndex: number, record: StepRecord): boolean =>
    record.doneCount < record.tasks.length
    && job.areDependenciesDone(occurrence, stepIndex)
    && record.tasks.some(task => task.phase === TaskPhase.Waiting);

/** Returns the wall-clock time at which an occurrence was accepted and due. */
const beginMsOf = (job: JobRecord, occurrence: number): number => Math.max(job.acceptedAtMs, job.dueMs(occurrence));

/** Returns the key of a step of one occurrence. */
export const stepKeyOf = ({ job, occurrence, stepIndex }: WaitingStep): string =>
    stepKey({ jobId: job.id, occurrence, step: stepIndex });

/** Returns the key of one task of a step. */
export const taskKeyIn = (waiting: WaitingStep, index: number): string =>
    taskKeyOf({ jobId: waiting.job.id, occurrence: waiting.occurrence, step: waiting.stepIndex, index });

const compareSteps = (a: WaitingStep, b: WaitingStep): number =>
    a.job.queue.priority - b.job.queue.priority
    || a.expectedEndMs - b.expectedEndMs
    || a.occurrence - b.occurrence
    || a.stepIndex - b.stepIndex;

const emptyGroups = (): WaitingStep[][] => [[], [], [], [], []];

const LATE_GROUPS: ReadonlySet<Urgency> = new Set([Urgency.BegunLate, Urgency.Late]);

/**
 * Returns the turns of one group. Among late jobs, each idle one gets a server for one task before any other gets a further
 * one, the longest idle one first. So all of them proceed, however much work there is.
 */
const turnsOfGroup = (group: readonly WaitingStep[], urgency: Urgency): Turn[] => {
    const turns = group.map(wholeStepTurn);
    if (!LATE_GROUPS.has(urgency)) {
        return turns;
    }
    const idle = group
        .filter(({ idleSinceMs }) => idleSinceMs !== undefined)
        .sort((a, b) => (a.idleSinceMs ?? 0) - (b.idleSinceMs ?? 0));
    return [...idle.map(waiting => ({ waiting, maxTasks: 1 })), ...turns];
};

const wholeStepTurn = (waiting: WaitingStep): Turn => ({ waiting, maxTasks: Infinity });

/** Whether a standing step has waited for so long that it precedes all other work. */
export const isStandingOverdue = ({ kind, waitingSinceMs }: WaitingStep, timeOfDayMs: number): boolean =>
    kind === TaskKind.Standing && timeOfDayMs - waitingSinceMs >= MAX_STANDING_WAIT_MS;

const urgencyOf = (waiting: WaitingStep, isRoomScarce: IsRoomScarce, timeOfDayMs: number): Urgency => {
    const { kind, job } = waiting;
    if (kind === TaskKind.Standing) {
        return isRoomScarce(job.queue) ? Urgency.PutOff : Urgency.InTime;
    }
    const endsLate = isExpectedLate(waiting, timeOfDayMs);
    // A filler continues from its checkpoint and holds no processors, so that its job may wait after it has begun.
    const holdsCapacity = kind === TaskKind.Finite && hasBegun(waiting);
    if (holdsCapacity && (isUseful(waiting, timeOfDayMs) || !isRoomScarce(job.queue))) {
        return endsLate ? Urgency.BegunLate : Urgency.BegunInTime;
    }
    return endsLate ? Urgency.Late : Urgency.InTime;
};

const isAssigned = ({ phase }: TaskRecord): boolean => phase === TaskPhase.Assigned;

/** Whether a task of the occurrence is done. */
const hasBegun = ({ job, occurrence }: WaitingStep): boolean =>
    job.stepsOf(occurrence)?.some(({ doneCount }) => doneCount > 0) === true;

/** Whether a job is expected to end late even if its tasks start now. */
export const isExpectedLate = (waiting: WaitingStep, timeOfDayMs: number): boolean =>
    timeOfDayMs + waiting.remainingCriticalPathMs > waiting.expectedEndMs;

/** Whether callers still have use for a job if its tasks start now. */
const isUseful = (waiting: WaitingStep, timeOfDayMs: number): boolean =>
    timeOfDayMs + waiting.remainingCriticalPathMs <= waiting.usefulUntilMs;

/** Returns the wall-clock time by which callers expect an occurrence to end. */
const expectedEndMsOf = (job: JobRecord, occurrence: number, ratio = 1): number =>
    beginMsOf(job, occurrence) + ratio * acceptedDurationMs(job.specification.steps, job.queue);

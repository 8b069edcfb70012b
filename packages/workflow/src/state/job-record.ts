import { JobState } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import type { JobSpecification, StepSpecification, TaskPosition } from "../model/specification.js";
import { findCrash, isToBeGivenUp, withCrash } from "./crash-history.js";
import type { CrashRecord } from "./crash-history.js";
import type { AssignedRun, LostRun, RecordedEnd, ServerIncarnation } from "./events.js";
import { OccurrenceRecords, TaskPhase } from "./occurrence-records.js";
import type { OccurrencesContent, StepRecord, TaskRecord } from "./occurrence-records.js";

/** A task that was given up because it crashes the servers that start it. */
export interface CrashingTask {
    task: string;
    /** Run whose loss decided it. */
    run: number;
    crashes: CrashRecord[];
}

/** A task whose latest run is assigned to a backend server. */
export interface AssignedTask {
    position: TaskPosition;
    step: StepSpecification;
    task: TaskRecord;
    server: ServerIncarnation;
}

/** Serializable content of a job's record. */
export interface JobContent extends OccurrencesContent {
    specification: JobSpecification;
    queue: QueueContract;
    acceptedAtMs: number;
    isCancelled: boolean;
    hasFailed: boolean;
    hasStarted: boolean;
    /** Wall-clock time at which the job ended; undefined before its end. */
    endedAtMs: number | undefined;
    /** The task for which the job has failed; undefined unless it crashes servers. */
    crashingTask?: CrashingTask;
}

/** Whether a run with this end has worked, so that it hasn't crashed its server. */
export const hasRun = (end: RunEnd): boolean => end !== RunEnd.NotStarted && end !== RunEnd.GangIncomplete;

/** Replicated record of one job. */
export class JobRecord {
    readonly #content: Omit<JobContent, keyof OccurrencesContent>;
    readonly #occurrences: OccurrenceRecords;

    constructor({ occurrences, sparseOccurrences, ...content }: JobContent) {
        this.#content = content;
        this.#occurrences = OccurrenceRecords.fromContent(
            content.specification.steps,
            occurrenceCountOf(content.specification),
            { occurrences, sparseOccurrences },
        );
    }

    /** Creates the record of a newly accepted job. */
    static accepted(specification: JobSpecification, queue: QueueContract, acceptedAtMs: number): JobRecord {
        return new JobRecord({
            specification,
            queue,
            acceptedAtMs,
            isCancelled: false,
            hasFailed: false,
            hasStarted: false,
            endedAtMs: undefined,
            occurrences: [],
        });
    }

    get id(): string {
        return this.#content.specification.id;
    }

    get specification(): JobSpecification {
        return this.#content.specification;
    }

    get queue(): QueueContract {
        return this.#content.queue;
    }

    get acceptedAtMs(): number {
        return this.#content.acceptedAtMs;
    }

    get endedAtMs(): number | undefined {
        return this.#content.endedAtMs;
    }

    /** Whether the job has ended, so that no further run may start. */
    get isOver(): boolean {
        return this.#content.endedAtMs !== undefined;
    }

    /** The task for which the job has failed because it crashes servers; undefined for any other job. */
    get crashingTask(): CrashingTask | undefined {
        return this.#content.crashingTask;
    }

    get hasStarted(): boolean {
        return this.#content.hasStarted;
    }

    get occurrenceCount(): number {
        return occurrenceCountOf(this.specification);
    }

    /** First occurrence that is not complete. */
    get firstIncompleteOccurrence(): number {
        return this.#occurrences.firstIncomplete;
    }

    /** Number of occurrences whose records are in memory. */
    get openOccurrenceCount(): number {
        return this.#occurrences.openCount;
    }

    /** Returns the occurrences that may have begun and are not complete. */
    openOccurrences(): number[] {
        return Array.from(this.#occurrences.open(), ([occurrence]) => occurrence);
    }

    /** Whether all tasks of an occurrence are done. */
    isOccurrenceComplete(occurrence: number): boolean {
        return this.#occurrences.isComplete(occurrence);
    }

    /** Returns the records of an occurrence's steps; undefined if it is complete or doesn't exist. */
    stepsOf(occurrence: number): readonly StepRecord[] | undefined {
        return this.#occurrences.stepsOf(occurrence);
    }

    get state(): JobState {
        if (this.#content.isCancelled) {
            return JobState.Cancelled;
        }
        if (this.#content.hasFailed) {
            return JobState.Failed;
        }
        if (this.#content.endedAtMs !== undefined) {
            return JobState.Completed;
        }
        return this.#content.hasStarted ? JobState.Running : JobState.Queued;
    }

    /** Returns the record of a task; undefined if its occurrence is complete or it doesn't exist. */
    task(position: TaskPosition): TaskRecord | undefined {
        return this.stepsOf(position.occurrence)?.[position.step]?.tasks[position.index];
    }

    /** Yields the tasks whose latest run is assigned to a backend server. */
    *assignedTasks(): Generator<AssignedTask> {
        for (const [occurrence, steps] of this.#occurrences.open()) {
            for (const [step, record] of steps.entries()) {
                const specification = this.specification.steps[step];
                for (const [index, task] of record.tasks.entries()) {
                    const { phase, server } = task;
                    if (phase === TaskPhase.Assigned && server !== undefined && specification !== undefined) {
                        const position = { jobId: this.id, occurrence, step, index };
                        yield { position, step: specification, task, server };
                    }
                }
            }
        }
    }

    /** Whether all steps that this step depends on are complete. */
    areDependenciesDone(occurrence: number, step: number): boolean {
        const steps = this.stepsOf(occurrence) ?? [];
        const { dependsOn } = this.specification.steps[step] ?? { dependsOn: [] };
        return dependsOn.every(dependency => {
            const record = steps[dependency];
            return record !== undefined && record.doneCount === record.tasks.length;
        });
    }

    /** Returns the wall-clock time at which an occurrence is due; 0 for a job without a schedule. */
    dueMs(occurrence: number): number {
        const { schedule } = this.specification;
        return schedule === undefined ? 0 : schedule.firstDueMs + occurrence * schedule.intervalMs;
    }

    cancel(atMs: number): void {
        if (!this.isOver) {
            this.#content.isCancelled = true;
            this.#content.endedAtMs = atMs;
        }
    }

    /** Records an assigned run; returns false, without effect, for an outdated or repeated assignment. */
    assign(position: TaskPosition, assigned: AssignedRun): boolean {
        const task = this.task(position);
        if (task?.phase !== TaskPhase.Waiting || assigned.run <= task.run || this.isOver) {
            return false;
        }
        task.phase = TaskPhase.Assigned;
        task.run = assigned.run;
        task.server = { serverId: assigned.serverId, incarnation: assigned.incarnation };
        return true;
    }

    /** Records the end of a run; returns false, without effect, unless it is the task's assigned run. */
    end(position: TaskPosition, ended: RecordedEnd, atMs: number): boolean {
        const task = this.#findAssignedTask(position, ended.run);
        if (task === undefined) {
            return false;
        }
        task.phase = TaskPhase.Waiting;
        this.#saveCheckpoint(position, ended.checkpoint);
        if (ended.end !== RunEnd.NotStarted) {
            this.#content.hasStarted = true;
        }
        if (hasRun(ended.end)) {
            this.#members(position).forEach(member => {
                delete member.crashes;
            });
        }
        const step = this.specification.steps[position.step];
        if (ended.end === RunEnd.Done && step?.isStanding !== true) {
            this.#markDone(position, step?.isGang === true, atMs);
        }
        else if (ended.end === RunEnd.Failed && step?.isStanding !== true) {
            this.#countFailure(position, ended.run, atMs);
        }
        return true;
    }

    /**
     * Records that a run is gone without a reported end, and its involvement in a crash. Returns false if the run isn't
     * assigned; then only what is known of its crash may change.
     */
    lose(position: TaskPosition, lost: LostRun, atMs: number): boolean {
        this.#recordCrash(position, lost, atMs);
        const task = this.#findAssignedTask(position, lost.run);
        if (task === undefined) {
            return false;
        }
        task.phase = TaskPhase.Waiting;
        this.#saveCheckpoint(position, lost.checkpoint);
        return true;
    }

    toContent(): JobContent {
        return { ...this.#content, ...this.#occurrences.toContent() };
    }

    #findAssignedTask(position: TaskPosition, run: number): TaskRecord | undefined {
        const task = this.task(position);
        return task?.phase === TaskPhase.Assigned && task.run === run ? task : undefined;
    }

    /** A gang resumes as a whole, from one member's checkpoint. */
    #saveCheckpoint(position: TaskPosition, checkpoint: string): void {
        if (checkpoint === "") {
            return;
        }
        this.#members(position).forEach(member => {
            member.checkpoint = checkpoint;
        });
    }

    /** Returns the tasks that share the fate of a task: all members of its gang, or the task alone. */
    #members(position: TaskPosition): readonly TaskRecord[] {
        const step = this.stepsOf(position.occurrence)?.[position.step];
        const task = step?.tasks[position.index];
        if (step === undefined || task === undefined) {
            return [];
        }
        return this.specification.steps[position.step]?.isGang === true ? step.tasks : [task];
    }

    /** Once a run is recorded as lost, only the involvement recorded of it can change. */
    #recordCrash(position: TaskPosition, { task: key, run, crash }: LostRun, atMs: number): void {
        const crashes = this.task(position)?.crashes ?? [];
        if (crash === undefined || this.isOver) {
            return;
        }
        const isKnown = findCrash(crashes, run, crash.serverId) !== undefined;
        if (!isKnown && this.#findAssignedTask(position, run) === undefined) {
            return;
        }
        const { serverId, vmId, involvement } = crash;
        const updated = withCrash(crashes, { run, serverId, vmId, involvement });
        this.#members(position).forEach(member => {
            member.crashes = [...updated];
        });
        if (isToBeGivenUp(updated)) {
            this.#content.crashingTask = { task: key, run, crashes: updated };
            this.#content.hasFailed = true;
            this.#content.endedAtMs = atMs;
        }
    }

    #markDone(position: TaskPosition, isGang: boolean, atMs: number): void {
        const step = this.stepsOf(position.occurrence)?.[position.step];
        const task = step?.tasks[position.index];
        if (step === undefined || task === undefined) {
            return;
        }
        // The end of one member completes all members of a gang.
        const completedTasks = isGang ? step.tasks.filter(member => member.phase !== TaskPhase.Done) : [task];
        completedTasks.forEach(member => {
            member.phase = TaskPhase.Done;
        });
        step.doneCount += completedTasks.length;
        this.#occurrences.completeIfDone(position.occurrence);
        if (this.#occurrences.areAllComplete && !this.isOver) {
            this.#content.endedAtMs = atMs;
        }
    }

    /** A gang fails as a whole: each of its runs counts as one failure, no matter which members report it. */
    #countFailure(position: TaskPosition, run: number, atMs: number): void {
        const step = this.stepsOf(position.occurrence)?.[position.step];
        const task = step?.tasks[position.index];
        if (step === undefined || task === undefined) {
            return;
        }
        const isGang = this.specification.steps[position.step]?.isGang === true;
        if (isGang && step.failedGangRun === run) {
            return;
        }
        step.failedGangRun = isGang ? run : 0;
        const failedTasks = isGang ? step.tasks : [task];
        failedTasks.forEach(member => {
            member.failures += 1;
        });
        if (task.failures >= this.queue.maxAttempts && !this.isOver) {
            this.#content.hasFailed = true;
            this.#content.endedAtMs = atMs;
        }
    }
}

const occurrenceCountOf = ({ schedule }: JobSpecification): number => schedule?.occurrences ?? 1;

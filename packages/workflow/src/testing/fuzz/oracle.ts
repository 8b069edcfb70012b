import { RunEnd } from "../../model/heartbeat.js";
import type { StartOrder } from "../../model/heartbeat.js";
import { parseTaskKey, taskKeyOf } from "../../model/specification.js";
import type { JobSpecification, TaskPosition } from "../../model/specification.js";
import { isWithinCapacity } from "./changing-capacity.js";
import type { SimulatedWorker, WorkerRun } from "./simulated-worker.js";

/** An order written before a change may arrive up to this long after it. */
const ORDER_DELAY_MS = 1_100;

/** A submitted job and the results acknowledged to its caller. */
export interface SubmittedJob {
    specification: JobSpecification;
    maxAttempts: number;
    isAccepted: boolean;
    /** Time at which a cancellation was acknowledged; undefined without one. */
    cancelledAtMs: number | undefined;
    /** Number of cancellations that were sent and not certainly refused; each may have an effect. */
    possibleCancellations: number;
}

/** Checks the guarantees about runs and jobs, using only what workers and callers can observe. */
export class Oracle {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #workers: readonly SimulatedWorker[];
    readonly #done = new Set<string>();
    readonly #acknowledgedDone = new Set<string>();
    /** Failed runs by task. A worker that restarts may never learn that the end of one of them was recorded. */
    readonly #failedRuns = new Map<string, Set<number>>();
    /** Failed runs whose recording was acknowledged to the worker, by task. */
    readonly #acknowledgedFailures = new Map<string, Set<number>>();
    readonly #latestRuns = new Map<string, number>();
    readonly #checkpoints = new Map<string, Set<string>>();
    /** Times since which zones are out of service, by zone. */
    readonly zonesOutSinceMs = new Map<string, number>();
    /** Times at which a heartbeat of the draining worker was first answered, by worker and incarnation. */
    readonly drainingSinceMs = new Map<string, number>();

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, workers: readonly SimulatedWorker[]) {
        this.#jobs = jobs;
        this.#workers = workers;
    }

    /** Whether every task of a job has ended successfully. */
    isDone(job: JobSpecification): boolean {
        return job.steps.every((step, index) =>
            Array.from({ length: step.taskCount }, (unused, task) => task)
                .every(task => this.#isTaskDone({ jobId: job.id, occurrence: 0, step: index, index: task }))
        );
    }

    /** Returns the tasks that are not done and whose step's dependencies are done. */
    dueTasks(job: JobSpecification): TaskPosition[] {
        return job.steps.flatMap((step, index) =>
            Array.from(
                { length: step.taskCount },
                (unused, task) => ({ jobId: job.id, occurrence: 0, step: index, index: task }),
            ).filter(position => !this.#isTaskDone(position) && this.#areDependenciesDone(job, position))
        );
    }

    /** Whether a task of the job has failed in as many runs as its queue allows. */
    hasFailed(job: SubmittedJob): boolean {
        return [...this.#failedRuns].some(([task, runs]) =>
            task.startsWith(`${job.specification.id}.`) && runs.size >= job.maxAttempts
        );
    }

    started(worker: SimulatedWorker, order: StartOrder, run: WorkerRun, nowMs: number): void {
        const { task } = order;
        const job = this.#jobs.get(run.position.jobId);
        const check = (isSatisfied: boolean, guarantee: string): void => {
            if (!isSatisfied) {
                this.violations.push(`violated: ${guarantee}: ${task} run ${order.run} on ${worker.id} at ${nowMs} ms`);
            }
        };
        if (job === undefined) {
            check(false, "only submitted jobs start");
            return;
        }
        const { specification } = job;
        check(order.payload === specification.payload, "the payload is the job's");
        check(order.run > (this.#latestRuns.get(task) ?? 0) || run.step.isGang, "run numbers increase");
        this.#latestRuns.set(task, order.run);
        check(
            this.#workers.every(other => other === worker || !other.isUp || !other.runs.has(task)),
            "at most one run of a task at a time",
        );
        check(!this.#acknowledgedDone.has(task), "no start after an acknowledged success");
        check(
            this.#areDependenciesDone(specification, run.position),
            "no start before the end of the steps that it depends on",
        );
        check(
            (this.#acknowledgedFailures.get(task)?.size ?? 0) < job.maxAttempts || run.step.isStanding,
            "no start beyond the maximum number of attempts",
        );
        const cancelledAtMs = job.cancelledAtMs ?? Infinity;
        check(nowMs <= cancelledAtMs + ORDER_DELAY_MS, "no start after a cancellation");
        const outSinceMs = this.zonesOutSinceMs.get(worker.options.availabilityZone) ?? Infinity;
        check(nowMs <= outSinceMs + ORDER_DELAY_MS, "no start in a zone out of service");
        const drainingSinceMs = this.drainingSinceMs.get(`${worker.id}/${worker.incarnation}`) ?? Infinity;
        check(nowMs <= drainingSinceMs + ORDER_DELAY_MS, "no start on a draining server");
        check(
            isWithinCapacity(worker.runs.values(), worker.capacity.largestSince(nowMs - ORDER_DELAY_MS)),
            "no start beyond the server's capacity",
        );
        const { requiredLabel } = run.step;
        check(
            requiredLabel === "" || worker.options.labels.includes(requiredLabel),
            "the server has the required label",
        );
        check(isWithinTasksPerServer(worker, run), "no more tasks of a step than allowed");
        const isOwnCheckpoint = order.checkpoint === "" || this.#checkpoints.get(task)?.has(order.checkpoint) === true;
        check(isOwnCheckpoint, "the checkpoint belongs to the task");
    }

    /** A start must not be rejected for want of capacity, unless the capacity has just shrunk. */
    rejected(worker: SimulatedWorker, run: WorkerRun, nowMs: number): void {
        const runs = [...worker.runs.values(), run];
        if (!isWithinCapacity(runs, worker.capacity.largestSince(nowMs - ORDER_DELAY_MS))) {
            this.violations.push(
                `violated: no start that is rejected: ${run.task} run ${run.run} on ${worker.id} at ${nowMs} ms`,
            );
        }
    }

    ended(run: WorkerRun, end: RunEnd): void {
        if (end === RunEnd.Stopped && run.step.savesCheckpoints) {
            this.#membersOf(run.position).forEach(task => addToSet(this.#checkpoints, task, `${run.task}/${run.run}`));
        }
        if (end === RunEnd.Done) {
            this.#membersOf(run.position).forEach(task => this.#done.add(task));
        }
        else if (end === RunEnd.Failed) {
            this.#membersOf(run.position).forEach(task => addToSet(this.#failedRuns, task, run.run));
        }
    }

    acknowledged(task: string, run: number, end: RunEnd): void {
        const position = parseTaskKey(task);
        if (position === undefined) {
            return;
        }
        for (const member of this.#membersOf(position)) {
            if (end === RunEnd.Done) {
                this.#acknowledgedDone.add(member);
            }
            else if (end === RunEnd.Failed) {
                addToSet(this.#acknowledgedFailures, member, run);
            }
        }
    }

    /** Returns the tasks that an end counts for: the end of one member counts for all members of a gang. */
    #membersOf(position: TaskPosition): string[] {
        const step = this.#jobs.get(position.jobId)?.specification.steps[position.step];
        return step?.isGang === true
            ? Array.from({ length: step.taskCount }, (unused, index) => taskKeyOf({ ...position, index }))
            : [taskKeyOf(position)];
    }

    #isTaskDone(position: TaskPosition): boolean {
        return this.#done.has(taskKeyOf(position));
    }

    #areDependenciesDone(job: JobSpecification, position: TaskPosition): boolean {
        return (job.steps[position.step]?.dependsOn ?? []).every(step =>
            Array.from({ length: job.steps[step]?.taskCount ?? 0 }, (unused, index) => index)
                .every(index => this.#isTaskDone({ ...position, step, index }))
        );
    }
}

const addToSet = <Value>(sets: Map<string, Set<Value>>, key: string, value: Value): void => {
    sets.set(key, (sets.get(key) ?? new Set()).add(value));
};

const isWithinTasksPerServer = (worker: SimulatedWorker, run: WorkerRun): boolean => {
    const isSameStep = ({ position }: WorkerRun): boolean =>
        position.jobId === run.position.jobId
        && position.step === run.position.step
        && position.occurrence === run.position.occurrence;
    const count = [...worker.runs.values()].filter(isSameStep).length;
    return run.step.maxTasksPerServer === 0 || count <= run.step.maxTasksPerServer;
};

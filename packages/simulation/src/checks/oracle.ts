import { parseTaskKey, RunEnd, stepKeyOf, taskKeyOf } from "@waxwingspread/workflow";
import type { AssignedRun, JobSpecification, StartOrder, TaskPosition } from "@waxwingspread/workflow";
import { isWithinCapacity } from "../model/changing-capacity.js";
import type { ServerRun } from "../model/server-run.js";
import type { SimulatedServer } from "../model/simulated-server.js";

/** An order written before a change may arrive up to this long after it. */
const ORDER_DELAY_MS = 1_100;

/** Age up to which a run may look to the leader as if it had just started, with late messages. */
const MAX_FRESH_RUN_MS = 4_000;
/** Time after its assignment by which a run has started or its assignment is void. */
const MAX_ASSIGNED_MS = 8_000;
/** Runs of any age with crashes of servers after which a task may be given up. */
const MAX_CRASHED_RUNS = 5;
/** Servers that crashed under fresh runs of a task, and these runs, after which it may be given up. */
const MAX_CRASHED_WORKERS = 2;
/** Crashes under a task after which the platform counts its starts, and the number of them that breaks its rule. */
const COUNTED_CRASHES = 3;
const FORBIDDEN_STARTS = 3;

/** The crash of a server under a run of a task. */
interface Crash {
    /** The task whose run was there: the task itself, or another member of its gang. */
    task: string;
    run: number;
    serverId: string;
    /** Whether the run had begun. A leader can't know it of a run that was assigned but not reported. */
    hasBegun: boolean;
    runAgeMs: number;
}

/** The assignment of a run that hasn't started. */
interface Assignment {
    run: number;
    atMs: number;
}

/** A submitted job and the results acknowledged to its caller. */
export interface SubmittedJob {
    specification: JobSpecification;
    maxAttempts: number;
    /** Whether each run crashes its server. */
    crashesServers: boolean;
    isAccepted: boolean;
    /** Time at which a cancellation was acknowledged; undefined without one. */
    cancelledAtMs: number | undefined;
    /** Number of cancellations that were sent and not certainly refused; each may have an effect. */
    possibleCancellations: number;
}

/** Checks the guarantees about runs and jobs, using only what servers and callers can observe. */
export class Oracle {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #servers: readonly SimulatedServer[];
    readonly #done = new Set<string>();
    /** Number of tasks that are done, by step. */
    readonly #doneCounts = new Map<string, number>();
    /** Servers that have started a task. */
    readonly #startedOn = new Map<string, Set<SimulatedServer>>();
    readonly #acknowledgedDone = new Set<string>();
    /** Failed runs by task. A server that restarts may never learn that the end of one of them was recorded. */
    readonly #failedRuns = new Map<string, Set<number>>();
    /** Failed runs whose recording was acknowledged to the server, by task. */
    readonly #acknowledgedFailures = new Map<string, Set<number>>();
    readonly #latestRuns = new Map<string, number>();
    readonly #checkpoints = new Map<string, Set<string>>();
    /** Crashes of servers by the task that ran there. */
    readonly #crashes = new Map<string, Crash[]>();
    /** Assignments of runs that haven't started, by server and task. */
    readonly #assigned = new Map<string, Map<string, Assignment>>();
    /** Starts of each task after three crashes under it. */
    readonly #startsAfterCrashes = new Map<string, number>();
    /** Times since which zones are out of service, by zone. */
    readonly zonesOutSinceMs = new Map<string, number>();
    /** Times at which a heartbeat of the draining server was first answered, by server and incarnation. */
    readonly drainingSinceMs = new Map<string, number>();

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, servers: readonly SimulatedServer[]) {
        this.#jobs = jobs;
        this.#servers = servers;
    }

    /** Whether every task of a job has ended successfully. */
    isDone(job: JobSpecification): boolean {
        return job.steps.every((unused, step) => this.#isStepDone(job, step));
    }

    /** Yields the tasks that are not done and whose step's dependencies are done. */
    *dueTasks(job: JobSpecification): Generator<TaskPosition> {
        for (const [step, { taskCount }] of job.steps.entries()) {
            if (this.#isStepDone(job, step) || !this.#areDependenciesDone(job, step)) {
                continue;
            }
            for (let index = 0; index < taskCount; index += 1) {
                const position = { jobId: job.id, occurrence: 0, step, index };
                if (!this.#done.has(taskKeyOf(position))) {
                    yield position;
                }
            }
        }
    }

    /** Whether a task of the job has failed in as many runs as its queue allows. */
    hasFailed(job: SubmittedJob): boolean {
        return [...this.#failedRuns].some(([task, runs]) =>
            task.startsWith(`${job.specification.id}.`) && runs.size >= job.maxAttempts
        );
    }

    /** Whether servers have crashed under a task of the job so often that it may be given up. */
    mayBeGivenUp(job: SubmittedJob): boolean {
        return [...this.#crashes].some(([task, crashes]) => {
            const fresh = crashes.filter(({ runAgeMs }) => runAgeMs <= MAX_FRESH_RUN_MS);
            const servers = new Set(fresh.map(({ serverId }) => serverId));
            return task.startsWith(`${job.specification.id}.`)
                && (Math.min(servers.size, countRuns(fresh)) >= MAX_CRASHED_WORKERS
                    || countRuns(crashes) >= MAX_CRASHED_RUNS);
        });
    }

    crashed(server: SimulatedServer, nowMs: number): void {
        for (const run of server.runs.values()) {
            this.#recordCrash(run.position, {
                task: run.task,
                run: run.run,
                serverId: server.id,
                hasBegun: true,
                runAgeMs: nowMs - run.startedAtMs,
            });
        }
        for (const [task, { run, atMs }] of this.#assigned.get(server.id) ?? []) {
            const position = parseTaskKey(task);
            const runAgeMs = nowMs - atMs;
            if (position !== undefined && runAgeMs <= MAX_ASSIGNED_MS) {
                this.#recordCrash(position, { task, run, serverId: server.id, hasBegun: false, runAgeMs });
            }
        }
        this.#assigned.delete(server.id);
    }

    /**
     * Records an assignment that a leader proposes. Its order may or may not reach the server, which may have crashed
     * without the leader's knowledge.
     */
    assigned({ task, run, serverId, incarnation }: AssignedRun, nowMs: number): void {
        const position = parseTaskKey(task);
        const server = this.#servers.find(({ id }) => id === serverId);
        const hasCrashed = server !== undefined && (!server.isUp || server.incarnation > incarnation);
        if (position !== undefined && hasCrashed) {
            this.#recordCrash(position, { task, run, serverId: serverId, hasBegun: false, runAgeMs: 0 });
            return;
        }
        const assigned = this.#assigned.get(serverId) ?? new Map<string, Assignment>();
        this.#assigned.set(serverId, assigned.set(task, { run, atMs: nowMs }));
    }

    started(server: SimulatedServer, order: StartOrder, run: ServerRun, nowMs: number): void {
        const { task } = order;
        this.#assigned.get(server.id)?.delete(task);
        const job = this.#jobs.get(run.position.jobId);
        const check = (isSatisfied: boolean, guarantee: string): void => {
            if (!isSatisfied) {
                this.violations.push(`violated: ${guarantee}: ${task} run ${order.run} on ${server.id} at ${nowMs} ms`);
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
        const others = [...this.#startedOn.get(task) ?? []].filter(other => other !== server);
        check(!others.some(other => other.isUp && other.runs.has(task)), "at most one run of a task at a time");
        addToSet(this.#startedOn, task, server);
        check(!this.#acknowledgedDone.has(task), "no start after an acknowledged success");
        check(
            this.#areDependenciesDone(specification, run.position.step),
            "no start before the end of the steps that it depends on",
        );
        check(
            (this.#acknowledgedFailures.get(task)?.size ?? 0) < job.maxAttempts || run.step.isStanding,
            "no start beyond the maximum number of attempts",
        );
        check(
            !job.crashesServers || this.#countStartAfterCrashes(task) < FORBIDDEN_STARTS,
            "no third start after three crashes under a task",
        );
        const cancelledAtMs = job.cancelledAtMs ?? Infinity;
        check(nowMs <= cancelledAtMs + ORDER_DELAY_MS, "no start after a cancellation");
        const outSinceMs = this.zonesOutSinceMs.get(server.options.availabilityZone) ?? Infinity;
        check(nowMs <= outSinceMs + ORDER_DELAY_MS, "no start in a zone out of service");
        const drainingSinceMs = this.drainingSinceMs.get(`${server.id}/${server.incarnation}`) ?? Infinity;
        check(nowMs <= drainingSinceMs + ORDER_DELAY_MS, "no start on a draining server");
        check(
            isWithinCapacity(server.runs.values(), server.capacity.largestSince(nowMs - ORDER_DELAY_MS)),
            "no start beyond the server's capacity",
        );
        const { requiredLabel } = run.step;
        check(
            requiredLabel === "" || server.options.labels.includes(requiredLabel),
            "the server has the required label",
        );
        check(isWithinTasksPerServer(server, run), "no more tasks of a step than allowed");
        const isOwnCheckpoint = order.checkpoint === "" || this.#checkpoints.get(task)?.has(order.checkpoint) === true;
        check(isOwnCheckpoint, "the checkpoint belongs to the task");
    }

    /** A start must not be rejected for want of capacity, unless the capacity has just shrunk. */
    rejected(server: SimulatedServer, run: ServerRun, nowMs: number): void {
        const runs = [...server.runs.values(), run];
        if (!isWithinCapacity(runs, server.capacity.largestSince(nowMs - ORDER_DELAY_MS))) {
            this.violations.push(
                `violated: no start that is rejected: ${run.task} run ${run.run} on ${server.id} at ${nowMs} ms`,
            );
        }
    }

    /** Records a checkpoint that a server has reported, for all members of a gang. */
    saved(run: ServerRun, checkpoint: string): void {
        this.#membersOf(run.position).forEach(task => addToSet(this.#checkpoints, task, checkpoint));
    }

    /** A server takes no answer that is too long, and the next one would hold the same orders. */
    answered(server: SimulatedServer, bytes: number, isTooLong: boolean, nowMs: number): void {
        if (isTooLong) {
            this.violations.push(`violated: an answer can be taken: ${bytes} bytes for ${server.id} at ${nowMs} ms`);
        }
    }

    ended(run: ServerRun, end: RunEnd): void {
        if (end === RunEnd.Done) {
            this.#recordDone(run.position);
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

    #recordCrash(position: TaskPosition, crash: Crash): void {
        for (const task of this.#membersOf(position)) {
            this.#crashes.set(task, [...this.#crashes.get(task) ?? [], crash]);
        }
    }

    #countStartAfterCrashes(task: string): number {
        const crashes = this.#crashes.get(task)?.filter(crash => crash.task === task && crash.hasBegun) ?? [];
        const hasCrashed = crashes.length >= COUNTED_CRASHES;
        const starts = (this.#startsAfterCrashes.get(task) ?? 0) + (hasCrashed ? 1 : 0);
        this.#startsAfterCrashes.set(task, starts);
        return starts;
    }

    /** Returns the tasks that an end counts for: the end of one member counts for all members of a gang. */
    #membersOf(position: TaskPosition): string[] {
        const step = this.#jobs.get(position.jobId)?.specification.steps[position.step];
        return step?.isGang === true
            ? Array.from({ length: step.taskCount }, (unused, index) => taskKeyOf({ ...position, index }))
            : [taskKeyOf(position)];
    }

    #recordDone(position: TaskPosition): void {
        for (const task of this.#membersOf(position)) {
            if (!this.#done.has(task)) {
                this.#done.add(task);
                const step = stepKeyOf(position);
                this.#doneCounts.set(step, (this.#doneCounts.get(step) ?? 0) + 1);
            }
        }
    }

    #isStepDone(job: JobSpecification, step: number): boolean {
        return this.#doneCounts.get(stepKeyOf({ jobId: job.id, occurrence: 0, step })) === job.steps[step]?.taskCount;
    }

    #areDependenciesDone(job: JobSpecification, step: number): boolean {
        return (job.steps[step]?.dependsOn ?? []).every(dependency => this.#isStepDone(job, dependency));
    }
}

const countRuns = (crashes: readonly Crash[]): number => new Set(crashes.map(({ run }) => run)).size;

const addToSet = <Value>(sets: Map<string, Set<Value>>, key: string, value: Value): void => {
    sets.set(key, (sets.get(key) ?? new Set()).add(value));
};

const isWithinTasksPerServer = (server: SimulatedServer, run: ServerRun): boolean => {
    const isSameStep = ({ position }: ServerRun): boolean =>
        position.jobId === run.position.jobId
        && position.step === run.position.step
        && position.occurrence === run.position.occurrence;
    const count = [...server.runs.values()].filter(isSameStep).length;
    return run.step.maxTasksPerServer === 0 || count <= run.step.maxTasksPerServer;
};

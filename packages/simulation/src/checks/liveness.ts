import { taskKeyOf } from "@waxwingspread/workflow";
import type { StepSpecification, TaskPosition } from "@waxwingspread/workflow";
import { freeAmountsOf } from "../model/server-run.js";
import type { ServerRun } from "../model/server-run.js";
import type { SimulatedServer } from "../model/simulated-server.js";
import type { Oracle, SubmittedJob } from "./oracle.js";

/** Longest time for which a task may wait although a server has room for two of its kind. */
const MAX_WAIT_MS = 3_000;
/** Room that counts as capacity for a task, as a multiple of its need; the leader may just have reserved the rest. */
const CAPACITY_FACTOR = 2;

/** Share of the fleet's CPU in use above which finite tasks are not checked. */
const MAX_USED_RATIO = 0.5;

/** Time after the crash of a server by which its lease has expired. */
const LEASE_EXPIRY_MS = 3_200;

/** Checks that every accepted task whose turn has come is at work whenever servers have capacity for it. */
export class LivenessCheck {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #servers: readonly SimulatedServer[];
    readonly #oracle: Oracle;
    /** Times since which tasks have waited in spite of capacity, by task. */
    readonly #waitingSinceMs = new Map<string, number>();
    #crashedAtMs = -Infinity;

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, servers: readonly SimulatedServer[], oracle: Oracle) {
        this.#jobs = jobs;
        this.#servers = servers;
        this.#oracle = oracle;
    }

    /** Records the crash of a server: the runs that were there can't go on before the leader knows that they are lost. */
    recordCrash(nowMs: number): void {
        this.#waitingSinceMs.clear();
        this.#crashedAtMs = nowMs;
    }

    /** Observes the servers; to be called at short intervals while nothing is disrupted. */
    observe(nowMs: number): void {
        if (nowMs - this.#crashedAtMs < LEASE_EXPIRY_MS) {
            return;
        }
        const tasksAtWork = this.#findTasksAtWork();
        const isOverHalfInUse = this.#isOverHalfInUse();
        for (const job of this.#jobs.values()) {
            const hasEnded = this.#oracle.hasFailed(job) || this.#oracle.mayBeGivenUp(job);
            if (job.isAccepted && job.possibleCancellations === 0 && !hasEnded) {
                this.#observeJob(job, tasksAtWork, isOverHalfInUse, nowMs);
            }
        }
    }

    #observeJob(
        { specification }: SubmittedJob,
        tasksAtWork: ReadonlySet<string>,
        isOverHalfInUse: boolean,
        nowMs: number,
    ): void {
        /** Whether there is room for each step with a task that waits. */
        const hasRoom = new Map<number, boolean>();
        for (const position of this.#oracle.dueTasks(specification)) {
            const step = specification.steps[position.step];
            const task = taskKeyOf(position);
            if (step === undefined || tasksAtWork.has(task) || (isOverHalfInUse && !step.isStanding)) {
                this.#waitingSinceMs.delete(task);
                continue;
            }
            const isPossible = hasRoom.get(position.step) ?? this.#hasCapacityFor(position, step);
            hasRoom.set(position.step, isPossible);
            this.#observeWaiting(task, isPossible, nowMs);
        }
    }

    #observeWaiting(task: string, hasRoom: boolean, nowMs: number): void {
        if (!hasRoom) {
            this.#waitingSinceMs.delete(task);
            return;
        }
        const sinceMs = this.#waitingSinceMs.get(task) ?? nowMs;
        this.#waitingSinceMs.set(task, sinceMs);
        if (nowMs - sinceMs > MAX_WAIT_MS) {
            this.violations.push(`violated: an accepted task runs if there is capacity: ${task} at ${nowMs} ms`);
            this.#waitingSinceMs.set(task, Infinity);
        }
    }

    #findTasksAtWork(): Set<string> {
        const tasks = new Set<string>();
        for (const server of this.#servers) {
            for (const run of server.isUp ? server.runs.values() : []) {
                if (isAtWork(run)) {
                    tasks.add(run.task);
                }
            }
        }
        return tasks;
    }

    /** Whether more than half of the fleet's CPU is in use, so that finite tasks may wait for suitable servers. */
    #isOverHalfInUse(): boolean {
        const usedRatios = this.#servers.map(server =>
            1 - freeAmountsOf(server).idleMillicores / server.capacity.current.cpuMillicores
        );
        return usedRatios.reduce((sum, ratio) => sum + ratio, 0) > this.#servers.length * MAX_USED_RATIO;
    }

    /** Work that is not standing needs room beside any one server, which may be avoided after runs have failed there. */
    #hasCapacityFor(position: TaskPosition, step: StepSpecification): boolean {
        const places = this.#servers.map(server => countPlaces(server, position, step)).sort((a, b) => b - a);
        if (step.isGang) {
            return places.slice(1).reduce((sum, count) => sum + count, 0) >= step.taskCount * CAPACITY_FACTOR;
        }
        return (places[step.isStanding ? 0 : 1] ?? 0) >= CAPACITY_FACTOR;
    }
}

/** Returns how many tasks of a step fit on a server beside its runs. */
export const countPlaces = (server: SimulatedServer, position: TaskPosition, step: StepSpecification): number => {
    const { labels } = server.options;
    const isAllowed = server.isUp && (step.requiredLabel === "" || labels.includes(step.requiredLabel));
    const limit = step.maxTasksPerServer === 0 ? Infinity : step.maxTasksPerServer;
    const isSameStep = (run: ServerRun): boolean =>
        run.position.jobId === position.jobId && run.position.step === position.step;
    if (!isAllowed || [...server.runs.values()].filter(isSameStep).length >= limit) {
        return 0;
    }
    const free = freeAmountsOf(server);
    const cpuMillicores = step.isFiller && !step.isStanding ? free.idleMillicores : free.cpuMillicores;
    return Math.floor(Math.min(
        cpuMillicores / step.amounts.cpuMillicores,
        free.memoryMebibytes / step.amounts.memoryMebibytes,
    ));
};

/** Whether a run proceeds; a filler at pace 0 stands still. */
const isAtWork = (run: ServerRun): boolean => run.pacePercent > 0;

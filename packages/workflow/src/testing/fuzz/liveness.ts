import { taskKeyOf } from "../../model/specification.js";
import type { StepSpecification, TaskPosition } from "../../model/specification.js";
import type { Oracle, SubmittedJob } from "./oracle.js";
import type { SimulatedWorker, WorkerRun } from "./simulated-worker.js";

/** Longest time for which a task may wait although a worker has room for two of its kind. */
const MAX_WAIT_MS = 3_000;
/** Room that counts as capacity for a task, as a multiple of its need; the leader may just have reserved the rest. */
const CAPACITY_FACTOR = 2;

/** Share of the fleet's CPU in use above which finite tasks are not checked. */
const MAX_USED_RATIO = 0.5;

interface FreeAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    /** CPU that neither reservations nor fillers need. */
    idleMillicores: number;
}

/** Checks that every accepted task whose turn has come is at work whenever workers have capacity for it. */
export class LivenessCheck {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #workers: readonly SimulatedWorker[];
    readonly #oracle: Oracle;
    /** Times since which tasks have waited in spite of capacity, by task. */
    readonly #waitingSinceMs = new Map<string, number>();

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, workers: readonly SimulatedWorker[], oracle: Oracle) {
        this.#jobs = jobs;
        this.#workers = workers;
        this.#oracle = oracle;
    }

    /** Observes the workers; to be called at short intervals while nothing is disturbed. */
    observe(nowMs: number): void {
        for (const job of this.#jobs.values()) {
            const isOpen = job.isAccepted && job.possibleCancellations === 0 && !this.#oracle.hasFailed(job);
            for (const position of isOpen ? this.#oracle.dueTasks(job.specification) : []) {
                this.#observeTask(position, job.specification.steps[position.step], nowMs);
            }
        }
    }

    #observeTask(position: TaskPosition, step: StepSpecification | undefined, nowMs: number): void {
        const task = taskKeyOf(position);
        const isRunning = this.#workers.some(worker => worker.isUp && worker.runs.has(task));
        const isFleetBusy = step?.isStanding !== true && this.#isOverHalfInUse();
        if (step === undefined || isRunning || isFleetBusy || !this.#hasCapacityFor(position, step)) {
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

    /** Whether more than half of the fleet's CPU is in use, so that finite tasks may wait for suitable workers. */
    #isOverHalfInUse(): boolean {
        const usedRatios = this.#workers.map(worker =>
            1 - freeAmountsOf(worker).idleMillicores / worker.capacity.current.cpuMillicores
        );
        return usedRatios.reduce((sum, ratio) => sum + ratio, 0) > this.#workers.length * MAX_USED_RATIO;
    }

    /** Work that is not standing needs room beside any one worker, which may be avoided after runs have failed there. */
    #hasCapacityFor(position: TaskPosition, step: StepSpecification): boolean {
        const places = this.#workers.map(worker => countPlaces(worker, position, step)).sort((a, b) => b - a);
        if (step.isGang) {
            return places.slice(1).reduce((sum, count) => sum + count, 0) >= step.taskCount * CAPACITY_FACTOR;
        }
        return (places[step.isStanding ? 0 : 1] ?? 0) >= CAPACITY_FACTOR;
    }
}

/** Returns how many tasks of a step fit on a worker beside its runs. */
const countPlaces = (worker: SimulatedWorker, position: TaskPosition, step: StepSpecification): number => {
    const { labels } = worker.options;
    const isAllowed = worker.isUp && (step.requiredLabel === "" || labels.includes(step.requiredLabel));
    const limit = step.maxTasksPerServer === 0 ? Infinity : step.maxTasksPerServer;
    const isSameStep = (run: WorkerRun): boolean =>
        run.position.jobId === position.jobId && run.position.step === position.step;
    if (!isAllowed || [...worker.runs.values()].filter(isSameStep).length >= limit) {
        return 0;
    }
    const free = freeAmountsOf(worker);
    const cpuMillicores = step.isFiller && !step.isStanding ? free.idleMillicores : free.cpuMillicores;
    return Math.floor(Math.min(
        cpuMillicores / step.amounts.cpuMillicores,
        free.memoryMebibytes / step.amounts.memoryMebibytes,
    ));
};

const freeAmountsOf = (worker: SimulatedWorker): FreeAmounts => {
    const { cpuMillicores, memoryMebibytes } = worker.capacity.current;
    const free = { cpuMillicores, memoryMebibytes, idleMillicores: cpuMillicores };
    for (const { step } of worker.runs.values()) {
        const reservesCpu = !step.isFiller || step.isStanding;
        free.cpuMillicores -= reservesCpu ? step.amounts.cpuMillicores : 0;
        free.memoryMebibytes -= step.amounts.memoryMebibytes;
        free.idleMillicores -= step.amounts.cpuMillicores;
    }
    return free;
};

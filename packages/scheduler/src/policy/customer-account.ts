import { WorkKind } from "@waxwingspread/protocol";
import { addAmounts, dominantShare, subtractAmounts, zeroAmounts } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { CustomerLimits, QueuedJob, TaskKey } from "./types.js";

/** Work kinds in descending order of priority. */
export const WORK_KINDS_BY_PRIORITY = [WorkKind.LATENCY_CRITICAL, WorkKind.STANDING, WorkKind.BATCH] as const;

/** A task that counts towards the usage of its customer. */
export interface CountedTask {
    taskKey: TaskKey;
    workKind: WorkKind;
    reserved: ResourceAmounts;
    /** True once quota reclaim selected the task for eviction. */
    reclaimed: boolean;
}

/**
 * Jobs of one customer and work kind whose start is not delayed, in order of arrival. Requeued jobs come first; they
 * are recognised by a queue time before that of a job added earlier.
 */
export class ReadyQueue {
    readonly #requeued = new Map<string, QueuedJob>();
    readonly #newlyQueued = new Map<string, QueuedJob>();
    #latestQueuedAtMs = Number.NEGATIVE_INFINITY;

    constructor(readonly id: string, readonly account: CustomerAccount, readonly workKind: WorkKind) {}

    get size(): number {
        return this.#requeued.size + this.#newlyQueued.size;
    }

    add(job: QueuedJob): void {
        const isRequeued = job.queuedAtMs < this.#latestQueuedAtMs;
        this.#latestQueuedAtMs = Math.max(this.#latestQueuedAtMs, job.queuedAtMs);
        (isRequeued ? this.#requeued : this.#newlyQueued).set(job.jobKey, job);
    }

    remove(jobKey: string): void {
        if (!this.#requeued.delete(jobKey)) {
            this.#newlyQueued.delete(jobKey);
        }
    }

    first(): QueuedJob | undefined {
        return this.jobs().next().value;
    }

    *jobs(): Generator<QueuedJob, undefined> {
        yield* this.#requeued.values();
        yield* this.#newlyQueued.values();
        return undefined;
    }
}

/** Resource usage, running tasks and ready queues of one customer. */
export class CustomerAccount {
    readonly used = zeroAmounts();
    readonly usedByKind = new Map<WorkKind, ResourceAmounts>();
    readonly countByKind = new Map<WorkKind, number>();
    readonly queues = new Map<WorkKind, ReadyQueue>();
    limits: CustomerLimits | undefined;
    queuedCount = 0;
    readonly #reclaimedAmounts = zeroAmounts();
    readonly #tasks = new Map<TaskKey, CountedTask>();
    /** Batch tasks in order of start; may contain tasks that have ended. */
    readonly #batchTasksByStart: CountedTask[] = [];

    constructor(readonly customer: string) {
        for (const workKind of WORK_KINDS_BY_PRIORITY) {
            this.usedByKind.set(workKind, zeroAmounts());
            this.countByKind.set(workKind, 0);
            this.queues.set(workKind, new ReadyQueue(`${customer}/${workKind}`, this, workKind));
        }
    }

    get taskCount(): number {
        return this.#tasks.size;
    }

    get weight(): number {
        const weight = this.limits?.weight ?? 0;
        return weight > 0 ? weight : 1;
    }

    countOf(workKind: WorkKind): number {
        return this.countByKind.get(workKind) ?? 0;
    }

    usedBy(workKind: WorkKind): ResourceAmounts {
        return this.usedByKind.get(workKind) ?? zeroAmounts();
    }

    add(task: CountedTask): void {
        if (this.#tasks.has(task.taskKey)) {
            return;
        }
        this.#tasks.set(task.taskKey, task);
        this.#updateUsage(task, 1);
        if (task.workKind === WorkKind.BATCH) {
            this.#batchTasksByStart.push(task);
        }
    }

    remove(taskKey: TaskKey): CountedTask | undefined {
        const task = this.#tasks.get(taskKey);
        if (task !== undefined) {
            this.#tasks.delete(taskKey);
            this.#updateUsage(task, -1);
            if (task.reclaimed) {
                addAmounts(this.#reclaimedAmounts, task.reserved, -1);
            }
            this.#removeEndedBatchTasks();
        }
        return task;
    }

    /** Returns the most recently started batch task that quota reclaim has not selected yet. */
    newestReclaimableTask(): CountedTask | undefined {
        for (let index = this.#batchTasksByStart.length - 1; index >= 0; index -= 1) {
            const task = this.#batchTasksByStart[index];
            if (task !== undefined && !task.reclaimed && this.#tasks.get(task.taskKey) === task) {
                return task;
            }
        }
        return undefined;
    }

    /** Dominant share of the fleet by which the customer exceeds its quota; without a quota, all of its usage. */
    borrowedShare(fleet: ResourceAmounts): number {
        const quota = this.limits?.quota.resources;
        return dominantShare(quota === undefined ? this.used : subtractAmounts(this.used, quota), fleet);
    }

    /** Dominant share of the fleet held by tasks that quota reclaim has already selected. */
    reclaimedShare(fleet: ResourceAmounts): number {
        return dominantShare(this.#reclaimedAmounts, fleet);
    }

    markReclaimed(task: CountedTask): void {
        task.reclaimed = true;
        addAmounts(this.#reclaimedAmounts, task.reserved);
    }

    #updateUsage(task: CountedTask, sign: 1 | -1): void {
        addAmounts(this.used, task.reserved, sign);
        const usedOfKind = this.usedByKind.get(task.workKind);
        if (usedOfKind !== undefined) {
            addAmounts(usedOfKind, task.reserved, sign);
        }
        this.countByKind.set(task.workKind, this.countOf(task.workKind) + sign);
    }

    /** Compacts the list once more than half of its tasks have ended, which keeps the cost per task constant. */
    #removeEndedBatchTasks(): void {
        const runningCount = this.countOf(WorkKind.BATCH);
        if (this.#batchTasksByStart.length <= 2 * runningCount + 16) {
            return;
        }
        const running = this.#batchTasksByStart.filter(task => this.#tasks.get(task.taskKey) === task);
        this.#batchTasksByStart.splice(0, this.#batchTasksByStart.length, ...running);
    }
}

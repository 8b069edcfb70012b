import { Reason, WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";
import { addResources, fitsWithin, NO_RESOURCES, scaleResources } from "../../state/resources.js";
import type { ResourceAmounts } from "../../state/resources.js";
import type { CustomerLimits, FairSharePolicy, QueuedJob, TaskKey } from "../types.js";

interface CustomerUsage {
    tasks: Map<TaskKey, { workKind: WorkKind; reserved: Resources }>;
    byKind: Map<WorkKind, ResourceAmounts>;
}

const WORK_KINDS_BY_PRIORITY = [WorkKind.LATENCY_CRITICAL, WorkKind.STANDING, WorkKind.BATCH];

/** First in, first out within each work kind. Customers cannot exceed their quotas, so nothing is reclaimed. */
export class BasicFairSharePolicy implements FairSharePolicy {
    readonly #limits = new Map<string, CustomerLimits>();
    readonly #usageByCustomer = new Map<string, CustomerUsage>();
    readonly #queues = new Map(WORK_KINDS_BY_PRIORITY.map(kind => [kind, new Map<string, QueuedJob>()]));

    setCustomer(limits: CustomerLimits): void {
        this.#limits.set(limits.customer, limits);
    }

    removeCustomer(customer: string): void {
        this.#limits.delete(customer);
    }

    setFleetCapacity(): void {
        return undefined;
    }

    taskStarted(customer: string, workKind: WorkKind, taskKey: TaskKey, reserved: Resources): void {
        const usage = this.#usageByCustomer.get(customer) ?? { tasks: new Map(), byKind: new Map() };
        this.#usageByCustomer.set(customer, usage);
        usage.tasks.set(taskKey, { workKind, reserved });
        usage.byKind.set(workKind, addResources(usage.byKind.get(workKind) ?? NO_RESOURCES, reserved));
    }

    taskEnded(customer: string, taskKey: TaskKey): void {
        const usage = this.#usageByCustomer.get(customer);
        const task = usage?.tasks.get(taskKey);
        if (usage !== undefined && task !== undefined) {
            usage.tasks.delete(taskKey);
            usage.byKind.set(
                task.workKind,
                addResources(usage.byKind.get(task.workKind) ?? NO_RESOURCES, task.reserved, -1),
            );
        }
    }

    enqueue(job: QueuedJob): void {
        this.#queues.get(job.workKind)?.set(job.jobKey, job);
    }

    dequeue(jobKey: string): void {
        this.#queues.forEach(queue => queue.delete(jobKey));
    }

    next(nowMs: number, limit: number): QueuedJob[] {
        const chosen: QueuedJob[] = [];
        for (const kind of WORK_KINDS_BY_PRIORITY) {
            for (const job of this.#queues.get(kind)?.values() ?? []) {
                if (chosen.length >= limit) {
                    return chosen;
                }
                if (job.notBeforeMs <= nowMs && this.blockingReason(job) === undefined) {
                    chosen.push(job);
                }
            }
        }
        return chosen;
    }

    blockingReason(job: QueuedJob): Reason | undefined {
        const limits = this.#limits.get(job.customer);
        if (limits === undefined) {
            return Reason.CUSTOMER_REMOVED;
        }
        const usage = this.#usageByCustomer.get(job.customer);
        const sum = (kinds: readonly WorkKind[]): ResourceAmounts =>
            kinds.map(kind => usage?.byKind.get(kind) ?? NO_RESOURCES)
                .reduce((total, used) => addResources(total, used), job.reserved as ResourceAmounts);
        const quota = limits.quota.resources ?? NO_RESOURCES;
        const shares = new Map([
            [WorkKind.LATENCY_CRITICAL, limits.latencyCriticalShare],
            [WorkKind.BATCH, limits.batchShare],
        ]);
        const isWithinQuota = (usage?.tasks.size ?? 0) < limits.quota.concurrentTasks
            && fitsWithin(sum(WORK_KINDS_BY_PRIORITY), quota)
            && fitsWithin(sum([job.workKind]), scaleResources(quota, shares.get(job.workKind) ?? 1));
        return isWithinQuota ? undefined : Reason.QUOTA_IN_USE;
    }

    selectReclaimVictims(): [] {
        return [];
    }

    queuedCount(customer: string): number {
        return [...this.#queues.values()].flatMap(queue => [...queue.values()])
            .filter(job => job.customer === customer).length;
    }
}

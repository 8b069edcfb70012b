import { fillProgressively, IndexedHeap } from "@waxwingspread/common";
import { Reason, WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";
import {
    addAmounts,
    fitsWithin,
    scaleResources,
    subtractAmounts,
    weightedShare,
    zeroAmounts,
} from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import { CustomerAccount, WORK_KINDS_BY_PRIORITY } from "./customer-account.js";
import type { ReadyQueue } from "./customer-account.js";
import { QuotaReclaim, RECLAIM_DEFAULTS } from "./quota-reclaim.js";
import type { ReclaimParameters } from "./quota-reclaim.js";
import type { CustomerLimits, FairSharePolicy, QueuedJob, TaskKey } from "./types.js";

/** Parameters of the {@link FairShareQueue}. */
export interface FairShareParameters {
    /** Part of each selection that is filled from all customers in turn, regardless of their shares. */
    rotationRatio: number;
    reclaim: ReclaimParameters;
}

/** Default parameters of the {@link FairShareQueue}. */
export const FAIR_SHARE_DEFAULTS: FairShareParameters = { rotationRatio: 0.25, reclaim: RECLAIM_DEFAULTS };

/** Number of jobs of one queue that are examined before the queue is marked as blocked. */
const MAXIMUM_EXAMINED_JOBS = 4;
/** Number of blocked queues of each work kind that are examined again when any task ends. */
const REEXAMINED_QUEUES_PER_TASK_END = 4;

interface DelayedJob {
    id: string;
    job: QueuedJob;
}

/** Ready queues of one work kind, over all customers. */
class WorkKindQueues {
    /** Queues with a startable job, by weighted dominant share. */
    readonly heap = new IndexedHeap<ReadyQueue>();
    /** The same queues, least recently selected by rotation first. */
    readonly rotation = new Set<ReadyQueue>();
    /** Queues none of whose examined jobs may start until usage, limits or capacity change. */
    readonly blocked = new Set<ReadyQueue>();
}

/** Orders jobs by weighted dominant resource fairness (DRF); batch may borrow idle capacity beyond its quota. */
export class FairShareQueue implements FairSharePolicy {
    readonly #parameters: FairShareParameters;
    readonly #accounts = new Map<string, CustomerAccount>();
    readonly #jobs = new Map<string, QueuedJob>();
    readonly #delayed = new IndexedHeap<DelayedJob>();
    readonly #delayedByKey = new Map<string, DelayedJob>();
    readonly #queuesByKind = new Map<WorkKind, WorkKindQueues>(
        WORK_KINDS_BY_PRIORITY.map(kind => [kind, new WorkKindQueues()]),
    );
    readonly #fleetUsed = zeroAmounts();
    readonly #reclaim: QuotaReclaim;
    #fleetCapacity: ResourceAmounts = zeroAmounts();

    constructor(parameters: FairShareParameters = FAIR_SHARE_DEFAULTS) {
        this.#parameters = parameters;
        this.#reclaim = new QuotaReclaim(parameters.reclaim);
    }

    setCustomer(limits: CustomerLimits): void {
        const account = this.#getOrCreateAccount(limits.customer);
        account.limits = limits;
        this.#reclaim.updateBorrower(account, this.#fleetCapacity);
        this.#refreshAll(account);
    }

    /** Removes a customer's limits. Its remaining jobs and tasks are still counted; its queued jobs are blocked. */
    removeCustomer(customer: string): void {
        const account = this.#accounts.get(customer);
        if (account !== undefined) {
            account.limits = undefined;
            this.#reclaim.updateBorrower(account, this.#fleetCapacity);
            this.#deleteIfUnused(account);
        }
    }

    setFleetCapacity(capacity: Resources): void {
        this.#fleetCapacity = {
            cpuMillicores: capacity.cpuMillicores,
            memoryMebibytes: capacity.memoryMebibytes,
            accelerators: capacity.accelerators,
        };
        for (const account of this.#accounts.values()) {
            this.#refreshAll(account);
        }
    }

    taskStarted(customer: string, workKind: WorkKind, taskKey: TaskKey, reserved: Resources): void {
        const account = this.#getOrCreateAccount(customer);
        account.add({ taskKey, workKind, reserved, reclaimed: false });
        addAmounts(this.#fleetUsed, reserved);
        this.#reclaim.updateBorrower(account, this.#fleetCapacity);
        this.#updateShareKeys(account);
    }

    taskEnded(customer: string, taskKey: TaskKey): void {
        const account = this.#accounts.get(customer);
        const task = account?.remove(taskKey);
        if (account === undefined || task === undefined) {
            return;
        }
        addAmounts(this.#fleetUsed, task.reserved, -1);
        this.#reclaim.updateBorrower(account, this.#fleetCapacity);
        this.#refreshAll(account);
        this.#reexamineBlocked(REEXAMINED_QUEUES_PER_TASK_END);
        this.#deleteIfUnused(account);
    }

    enqueue(job: QueuedJob): void {
        if (this.#jobs.has(job.jobKey)) {
            this.dequeue(job.jobKey);
        }
        const account = this.#getOrCreateAccount(job.customer);
        this.#jobs.set(job.jobKey, job);
        account.queuedCount += 1;
        if (job.notBeforeMs > job.queuedAtMs) {
            const delayed = { id: job.jobKey, job };
            this.#delayedByKey.set(job.jobKey, delayed);
            this.#delayed.set(delayed, job.notBeforeMs);
            return;
        }
        this.#makeReady(account, job);
    }

    dequeue(jobKey: string): void {
        const job = this.#jobs.get(jobKey);
        const account = job === undefined ? undefined : this.#accounts.get(job.customer);
        if (job === undefined || account === undefined) {
            return;
        }
        this.#jobs.delete(jobKey);
        if (this.#reclaim.removeJob(jobKey)) {
            this.#reexamineBlocked(Number.POSITIVE_INFINITY);
        }
        account.queuedCount -= 1;
        const delayed = this.#delayedByKey.get(jobKey);
        if (delayed === undefined) {
            account.queues.get(job.workKind)?.remove(jobKey);
            this.#refresh(account, job.workKind);
        }
        else {
            this.#delayedByKey.delete(jobKey);
            this.#delayed.delete(delayed);
        }
        this.#deleteIfUnused(account);
    }

    next(nowMs: number, limit: number): QueuedJob[] {
        this.#releaseDelayed(nowMs);
        const selected: QueuedJob[] = [];
        for (const workKind of WORK_KINDS_BY_PRIORITY) {
            const remainingCount = limit - selected.length;
            if (remainingCount <= 0) {
                break;
            }
            selected.push(...this.#select(workKind, remainingCount));
        }
        return selected;
    }

    blockingReason(job: QueuedJob): Reason | undefined {
        const account = this.#accounts.get(job.customer);
        const limits = account?.limits;
        if (account === undefined || limits === undefined) {
            return Reason.CUSTOMER_REMOVED;
        }
        switch (job.workKind) {
            case WorkKind.LATENCY_CRITICAL:
                return this.#latencyCriticalBlockingReason(account, limits, job);
            case WorkKind.STANDING:
                return this.#standingBlockingReason(account, limits, job);
            default:
                return this.#batchBlockingReason(account, limits, job);
        }
    }

    selectReclaimVictims(nowMs: number, limit: number): { taskKey: TaskKey; explanation: string }[] {
        if (this.#reclaim.expireClaims(nowMs)) {
            this.#reexamineBlocked(Number.POSITIVE_INFINITY);
        }
        if (!this.#reclaim.hasBorrowers()) {
            return [];
        }
        this.#releaseDelayed(nowMs);
        const claimants = [...this.#select(WorkKind.STANDING, limit), ...this.#select(WorkKind.BATCH, limit)]
            .filter(job => !this.#isBorrowing(job));
        return this.#reclaim.chooseVictims(claimants, this.#fleetCapacity, nowMs, limit);
    }

    queuedCount(customer: string): number {
        return this.#accounts.get(customer)?.queuedCount ?? 0;
    }

    /** Ignores batch usage and batch tasks, so that they never block the customer's latency-critical work. */
    #latencyCriticalBlockingReason(
        account: CustomerAccount,
        limits: CustomerLimits,
        job: QueuedJob,
    ): Reason | undefined {
        const latencyCriticalUsed = account.usedBy(WorkKind.LATENCY_CRITICAL);
        const { quota, latencyCriticalShare } = limits;
        const count = account.countOf(WorkKind.LATENCY_CRITICAL) + account.countOf(WorkKind.STANDING);
        const isWithinQuota = fitsQuotaShare(latencyCriticalUsed, job.reserved, quota.resources, latencyCriticalShare);
        return isWithinQuota && isBelowLimit(count, quota.concurrentTasks) ? undefined : Reason.QUOTA_IN_USE;
    }

    #standingBlockingReason(account: CustomerAccount, limits: CustomerLimits, job: QueuedJob): Reason | undefined {
        const { quota } = limits;
        const count = account.countOf(WorkKind.LATENCY_CRITICAL) + account.countOf(WorkKind.STANDING);
        const isWithinQuota = fitsQuotaShare(account.usedBy(WorkKind.STANDING), job.reserved, quota.resources, 1);
        return isWithinQuota && isBelowLimit(count, quota.concurrentTasks) ? undefined : Reason.QUOTA_IN_USE;
    }

    #batchBlockingReason(account: CustomerAccount, limits: CustomerLimits, job: QueuedJob): Reason | undefined {
        if (!isBelowLimit(account.taskCount, limits.quota.concurrentTasks)) {
            return Reason.QUOTA_IN_USE;
        }
        if (!this.#exceedsQuota(account, limits, job)) {
            return undefined;
        }
        if (this.#reclaim.hasClaims()) {
            // Capacity that was reclaimed for one customer must not be borrowed by another.
            return Reason.QUOTA_IN_USE;
        }
        return fitsWithin(job.reserved, subtractAmounts(this.#fleetCapacity, this.#fleetUsed))
            ? undefined
            : Reason.NO_CAPACITY;
    }

    #isBorrowing(job: QueuedJob): boolean {
        const account = this.#accounts.get(job.customer);
        return account?.limits === undefined || this.#exceedsQuota(account, account.limits, job);
    }

    #exceedsQuota(account: CustomerAccount, limits: CustomerLimits, job: QueuedJob): boolean {
        const quota = limits.quota.resources;
        if (job.workKind !== WorkKind.BATCH) {
            return !fitsQuotaShare(account.used, job.reserved, quota, 1);
        }
        return !fitsQuotaShare(account.used, job.reserved, quota, 1)
            || !fitsQuotaShare(account.usedBy(WorkKind.BATCH), job.reserved, quota, limits.batchShare);
    }

    #select(workKind: WorkKind, limit: number): QueuedJob[] {
        const queues = this.#getOrCreateQueues(workKind);
        const selected = new Map<string, QueuedJob>();
        const rotationCount = limit > 1 ? Math.floor(limit * this.#parameters.rotationRatio) : 0;
        this.#selectByShare(queues, workKind, limit - rotationCount, selected);
        this.#selectByRotation(queues, limit, selected);
        return [...selected.values()];
    }

    /** Counts each selected job as running, so that a single selection is shared fairly as well. */
    #selectByShare(queues: WorkKindQueues, workKind: WorkKind, limit: number, selected: Map<string, QueuedJob>): void {
        const cursors = new Map<ReadyQueue, Generator<QueuedJob, undefined>>();
        const cursorOf = (queue: ReadyQueue): Generator<QueuedJob, undefined> => {
            const cursor = cursors.get(queue) ?? queue.jobs();
            cursors.set(queue, cursor);
            return cursor;
        };
        const jobs = fillProgressively({
            heap: queues.heap,
            next: queue => this.#nextStartable(cursorOf(queue)),
            shareAfter: (queue, job, share) => share + this.#weightedShare(job.reserved, queue.account),
        });
        while (selected.size < limit) {
            const job = jobs.next().value;
            if (job === undefined) {
                break;
            }
            selected.set(job.jobKey, job);
        }
        for (const queue of cursors.keys()) {
            this.#refreshQueue(queues, queue, workKind);
        }
    }

    /** Selects from all queues in turn, so that jobs that cannot be placed do not starve other customers. */
    #selectByRotation(queues: WorkKindQueues, limit: number, selected: Map<string, QueuedJob>): void {
        for (const queue of [...takeFirst(queues.rotation, limit - selected.size)]) {
            queues.rotation.delete(queue);
            queues.rotation.add(queue);
            const job = this.#nextStartable(queue.jobs());
            if (job !== undefined) {
                selected.set(job.jobKey, job);
            }
        }
    }

    #nextStartable(cursor: Generator<QueuedJob, undefined>): QueuedJob | undefined {
        for (let examined = 0; examined < MAXIMUM_EXAMINED_JOBS; examined += 1) {
            const job = cursor.next().value;
            if (job === undefined) {
                return undefined;
            }
            if (this.blockingReason(job) === undefined) {
                return job;
            }
        }
        return undefined;
    }

    #makeReady(account: CustomerAccount, job: QueuedJob): void {
        account.queues.get(job.workKind)?.add(job);
        this.#refresh(account, job.workKind);
    }

    #releaseDelayed(nowMs: number): void {
        while (this.#delayed.peekKey() <= nowMs) {
            const delayed = this.#delayed.peek();
            if (delayed === undefined) {
                return;
            }
            this.#delayed.delete(delayed);
            this.#delayedByKey.delete(delayed.id);
            this.#makeReady(this.#getOrCreateAccount(delayed.job.customer), delayed.job);
        }
    }

    #reexamineBlocked(count: number): void {
        for (const queues of this.#queuesByKind.values()) {
            for (const queue of [...takeFirst(queues.blocked, count)]) {
                this.#refresh(queue.account, queue.workKind);
            }
        }
    }

    #refreshAll(account: CustomerAccount): void {
        for (const workKind of WORK_KINDS_BY_PRIORITY) {
            this.#refresh(account, workKind);
        }
    }

    #refresh(account: CustomerAccount, workKind: WorkKind): void {
        const queue = account.queues.get(workKind);
        if (queue !== undefined) {
            this.#refreshQueue(this.#getOrCreateQueues(workKind), queue, workKind);
        }
    }

    /** Updates the collections that hold the queue: none if it is empty, `blocked` or else `heap` and `rotation`. */
    #refreshQueue(queues: WorkKindQueues, queue: ReadyQueue, workKind: WorkKind): void {
        queues.blocked.delete(queue);
        if (queue.size > 0 && this.#nextStartable(queue.jobs()) !== undefined) {
            queues.heap.set(queue, this.#weightedShare(this.#usageForShare(queue.account, workKind), queue.account));
            queues.rotation.add(queue);
            return;
        }
        queues.heap.delete(queue);
        queues.rotation.delete(queue);
        if (queue.size > 0) {
            queues.blocked.add(queue);
        }
    }

    #updateShareKeys(account: CustomerAccount): void {
        for (const [workKind, queue] of account.queues) {
            const { heap } = this.#getOrCreateQueues(workKind);
            if (heap.has(queue)) {
                heap.set(queue, this.#weightedShare(this.#usageForShare(account, workKind), account));
            }
        }
    }

    #usageForShare(account: CustomerAccount, workKind: WorkKind): ResourceAmounts {
        return workKind === WorkKind.BATCH ? account.used : account.usedBy(workKind);
    }

    #weightedShare(used: ResourceAmounts, account: CustomerAccount): number {
        return weightedShare(used, this.#fleetCapacity, account.weight);
    }

    #getOrCreateQueues(workKind: WorkKind): WorkKindQueues {
        let queues = this.#queuesByKind.get(workKind);
        if (queues === undefined) {
            queues = new WorkKindQueues();
            this.#queuesByKind.set(workKind, queues);
        }
        return queues;
    }

    #getOrCreateAccount(customer: string): CustomerAccount {
        let account = this.#accounts.get(customer);
        if (account === undefined) {
            account = new CustomerAccount(customer);
            this.#accounts.set(customer, account);
        }
        return account;
    }

    #deleteIfUnused(account: CustomerAccount): void {
        if (account.limits === undefined && account.taskCount === 0 && account.queuedCount === 0) {
            this.#accounts.delete(account.customer);
        }
    }
}

const isBelowLimit = (count: number, limit: number): boolean => limit === 0 || count < limit;

const fitsQuotaShare = (
    used: ResourceAmounts,
    added: ResourceAmounts,
    quota: ResourceAmounts | undefined,
    share: number,
): boolean => quota === undefined || fitsWithin(added, subtractAmounts(scaleResources(quota, share), used));

function* takeFirst<T>(items: Iterable<T>, count: number): Generator<T, undefined> {
    let remaining = count;
    for (const item of items) {
        if (remaining <= 0) {
            return undefined;
        }
        remaining -= 1;
        yield item;
    }
    return undefined;
}

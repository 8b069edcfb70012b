import { addAmounts, fitsWithin, zeroAmounts } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { CustomerAccount } from "./customer-account.js";
import type { QueuedJob, TaskKey } from "./types.js";

/** Parameters of the {@link QuotaReclaim}. */
export interface ReclaimParameters {
    /** Time that a job within its customer's quota waits before tasks of borrowers are evicted for it. */
    graceMs: number;
    /** Time after which the claim of a job expires if the job has not started since tasks were evicted for it. */
    claimMs: number;
    /** Minimum time until tasks are evicted again for a job that did not start. */
    repeatMs: number;
}

/** Defaults: long enough for capacity to become free without evictions, or for a checkpoint to be taken. */
export const RECLAIM_DEFAULTS: ReclaimParameters = { graceMs: 1_000, claimMs: 10_000, repeatMs: 60_000 };

/** Selects tasks to evict from customers above their quotas: largest borrower first, its most recent task first. */
export class QuotaReclaim {
    readonly #parameters: ReclaimParameters;
    readonly #borrowers = new Set<CustomerAccount>();
    /** Time at which tasks were selected for eviction for each job that has not started yet, oldest first. */
    readonly #claims = new Map<string, number>();
    readonly #lastClaimedAtMs = new Map<string, number>();

    constructor(parameters: ReclaimParameters) {
        this.#parameters = parameters;
    }

    hasBorrowers(): boolean {
        return this.#borrowers.size > 0;
    }

    hasClaims(): boolean {
        return this.#claims.size > 0;
    }

    /** Adds the account to the borrowers or removes it, after its usage or limits changed. */
    updateBorrower(account: CustomerAccount, fleet: ResourceAmounts): void {
        if (account.taskCount > 0 && account.borrowedShare(fleet) > 0) {
            this.#borrowers.add(account);
        }
        else {
            this.#borrowers.delete(account);
        }
    }

    /** Drops the claim of a job that left the queue. Returns true if it was the last claim. */
    removeJob(jobKey: string): boolean {
        this.#lastClaimedAtMs.delete(jobKey);
        return this.#claims.delete(jobKey) && this.#claims.size === 0;
    }

    /** Drops claims whose jobs did not start in time. Returns true if there were claims and none remains. */
    expireClaims(nowMs: number): boolean {
        const previousCount = this.#claims.size;
        for (const [jobKey, claimedAtMs] of this.#claims) {
            if (nowMs - claimedAtMs < this.#parameters.claimMs) {
                break;
            }
            this.#claims.delete(jobKey);
        }
        return previousCount > 0 && this.#claims.size === 0;
    }

    /** Selects at most `limit` tasks to evict for the given jobs, which must be within their customers' quotas. */
    chooseVictims(
        claimants: readonly QueuedJob[],
        fleet: ResourceAmounts,
        nowMs: number,
        limit: number,
    ): { taskKey: TaskKey; explanation: string }[] {
        const chosen: { taskKey: TaskKey; explanation: string }[] = [];
        for (const job of claimants) {
            if (nowMs - job.queuedAtMs < this.#parameters.graceMs || this.#claimedRecently(job, nowMs)) {
                continue;
            }
            const victims = this.#victimsFor(job, fleet, limit - chosen.length);
            if (victims.length > 0) {
                this.#claims.set(job.jobKey, nowMs);
                this.#lastClaimedAtMs.set(job.jobKey, nowMs);
                chosen.push(...victims);
            }
        }
        return chosen;
    }

    #victimsFor(job: QueuedJob, fleet: ResourceAmounts, limit: number): { taskKey: TaskKey; explanation: string }[] {
        const freed = zeroAmounts();
        const victims: { taskKey: TaskKey; explanation: string }[] = [];
        while (victims.length < limit && !fitsWithin(job.reserved, freed)) {
            const borrower = this.#largestBorrower(fleet, job.customer);
            const task = borrower?.newestReclaimableTask();
            if (borrower === undefined || task === undefined) {
                break;
            }
            borrower.markReclaimed(task);
            addAmounts(freed, task.reserved);
            victims.push({
                taskKey: task.taskKey,
                explanation: `${borrower.customer} is above its quota, ${job.customer} is below and waits`,
            });
        }
        return victims;
    }

    #largestBorrower(fleet: ResourceAmounts, excludedCustomer: string): CustomerAccount | undefined {
        let largest: CustomerAccount | undefined;
        let largestShare = 0;
        for (const account of this.#borrowers) {
            const share = account.customer === excludedCustomer
                ? 0
                : account.borrowedShare(fleet) - account.reclaimedShare(fleet);
            const isFirstByCustomer = largest === undefined || account.customer < largest.customer;
            if (share > largestShare || (share > 0 && share === largestShare && isFirstByCustomer)) {
                largest = account;
                largestShare = share;
            }
        }
        return largest;
    }

    #claimedRecently(job: QueuedJob, nowMs: number): boolean {
        const claimedAtMs = this.#lastClaimedAtMs.get(job.jobKey);
        return claimedAtMs !== undefined && nowMs - claimedAtMs < this.#parameters.repeatMs;
    }
}

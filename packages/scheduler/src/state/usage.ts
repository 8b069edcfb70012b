import { jobKeyOf } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import { AttemptState, JobState } from "@waxwingspread/protocol";
import type { Attempt, Job } from "@waxwingspread/protocol";
import { addResources, NO_RESOURCES } from "./resources.js";
import type { ResourceAmounts } from "./resources.js";

/** Capacity held by the attempts of one backend server or of one customer. */
export interface CapacityUse {
    readonly resources: ResourceAmounts;
    /** Jobs whose attempt holds capacity. */
    readonly jobKeys: ReadonlySet<JobKey>;
    /** Zero for a backend server. */
    readonly queuedJobs: number;
}

interface MutableUse {
    resources: ResourceAmounts;
    jobKeys: Set<JobKey>;
    queuedJobs: number;
}

const NO_USE: CapacityUse = { resources: NO_RESOURCES, jobKeys: new Set(), queuedJobs: 0 };

/** Returns the job's attempt if it holds capacity. */
export const heldAttempt = (job: Job | undefined): Attempt | undefined =>
    job?.attempt !== undefined && job.state === JobState.ACTIVE && job.attempt.state !== AttemptState.ENDED
        ? job.attempt
        : undefined;

/** Index of the use by server and by customer, and of the queued and active jobs; derived from the jobs table. */
export class UsageIndex {
    readonly queued = new Set<JobKey>();
    readonly active = new Set<JobKey>();
    readonly #byServer = new Map<string, MutableUse>();
    readonly #byCustomer = new Map<string, MutableUse>();

    ofServer(backendServerId: string): CapacityUse {
        return this.#byServer.get(backendServerId) ?? NO_USE;
    }

    ofCustomer(customer: string): CapacityUse {
        return this.#byCustomer.get(customer) ?? NO_USE;
    }

    jobChanged(before: Job | undefined, after: Job | undefined): void {
        this.#updateJob(before, -1);
        this.#updateJob(after, 1);
    }

    #updateJob(job: Job | undefined, sign: 1 | -1): void {
        if (job?.specification === undefined) {
            return;
        }
        const key = jobKeyOf(job.specification);
        const { customer } = job.specification;
        const attempt = heldAttempt(job);
        if (attempt !== undefined) {
            this.#updateUse(this.#byServer, attempt.backendServerId, key, attempt, sign);
            this.#updateUse(this.#byCustomer, customer, key, attempt, sign);
            changeMembership(this.active, key, sign);
        }
        if (job.state === JobState.QUEUED) {
            changeMembership(this.queued, key, sign);
            const use = useOf(this.#byCustomer, customer);
            use.queuedJobs += sign;
            dropIfEmpty(this.#byCustomer, customer, use);
        }
    }

    #updateUse(uses: Map<string, MutableUse>, owner: string, key: JobKey, attempt: Attempt, sign: 1 | -1): void {
        const use = useOf(uses, owner);
        use.resources = addResources(use.resources, attempt.reserved ?? NO_RESOURCES, sign);
        changeMembership(use.jobKeys, key, sign);
        dropIfEmpty(uses, owner, use);
    }
}

const useOf = (uses: Map<string, MutableUse>, owner: string): MutableUse => {
    const existing = uses.get(owner);
    if (existing !== undefined) {
        return existing;
    }
    const use: MutableUse = { resources: NO_RESOURCES, jobKeys: new Set(), queuedJobs: 0 };
    uses.set(owner, use);
    return use;
};

const dropIfEmpty = (uses: Map<string, MutableUse>, owner: string, use: MutableUse): void => {
    if (use.jobKeys.size === 0 && use.queuedJobs === 0) {
        uses.delete(owner);
    }
};

const changeMembership = (set: Set<JobKey>, key: JobKey, sign: 1 | -1): void => {
    if (sign === 1) {
        set.add(key);
    }
    else {
        set.delete(key);
    }
};

import { TokenBucket } from "@waxwingspread/common";
import type { JobSpecification } from "@waxwingspread/protocol";
import { Reason, WorkKind } from "@waxwingspread/protocol";
import { fitsWithin, scaleResources } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { Admission, AdmissionPolicy, CustomerLimits, QueuedJob } from "./types.js";

/** Queries to other policies on which {@link AdmissionControl} depends. */
export interface AdmissionDependencies {
    couldEverFit(reserved: ResourceAmounts): boolean;
    queuedCount(customer: string): number;
    expectedRunTimeMs(classKey: string, declaredMs: number): number;
}

interface AdmittedCustomer {
    limits: CustomerLimits;
    /** Undefined if the contract does not limit the submission rate. */
    rate: TokenBucket | undefined;
}

/** Bounds on the retry delay returned when the customer's queue is full. */
const MINIMUM_QUEUE_RETRY_MS = 500;
const MAXIMUM_QUEUE_RETRY_MS = 30_000;

const ADMITTED: Admission = { admitted: true };

const refuse = (reason: Reason, detail: string, retryAfterMs?: number): Admission => ({
    admitted: false,
    reason,
    detail,
    retryAfterMs,
});

const quotaShareOf = (limits: CustomerLimits, workKind: WorkKind): number => {
    switch (workKind) {
        case WorkKind.LATENCY_CRITICAL:
            return limits.latencyCriticalShare;
        case WorkKind.BATCH:
            return limits.batchShare;
        default:
            return 1;
    }
};

/**
 * Refuses jobs that are larger than any backend server or than the customer's quota for their kind, that would miss
 * their deadlines, or that exceed the customer's queue limit or submission rate.
 */
export class AdmissionControl implements AdmissionPolicy {
    readonly #dependencies: AdmissionDependencies;
    readonly #customers = new Map<string, AdmittedCustomer>();

    constructor(dependencies: AdmissionDependencies) {
        this.#dependencies = dependencies;
    }

    setCustomer(limits: CustomerLimits): void {
        const { submissionsPerSecond, submissionBurst } = limits.quota;
        const burst = Math.max(1, submissionBurst);
        const known = this.#customers.get(limits.customer);
        if (submissionsPerSecond <= 0) {
            this.#customers.set(limits.customer, { limits, rate: undefined });
            return;
        }
        // The existing bucket is kept so that an amended contract does not grant a second burst.
        known?.rate?.configure(submissionsPerSecond, burst);
        const rate = known?.rate ?? new TokenBucket(submissionsPerSecond, burst);
        this.#customers.set(limits.customer, { limits, rate });
    }

    removeCustomer(customer: string): void {
        this.#customers.delete(customer);
    }

    /**
     * Checks the rate last, so that a job that may be submitted again takes no token. Other refusals are recorded, so
     * that the rate has to limit them as well.
     */
    admit(specification: JobSpecification, job: QueuedJob, expectedWaitMs: number, nowMs: number): Admission {
        const customer = this.#customers.get(job.customer);
        if (customer === undefined) {
            return refuse(Reason.CUSTOMER_REMOVED, `no contract for customer ${job.customer}`);
        }
        const refusal = this.#sizeRefusal(customer.limits, job)
            ?? this.#deadlineRefusal(specification, job, expectedWaitMs, nowMs)
            ?? this.#queueRefusal(customer.limits, job, expectedWaitMs);
        return refusal?.reason === Reason.QUEUE_FULL
            ? refusal
            : this.#rateRefusal(customer, nowMs) ?? refusal ?? ADMITTED;
    }

    #sizeRefusal(limits: CustomerLimits, job: QueuedJob): Admission | undefined {
        if (!this.#dependencies.couldEverFit(job.reserved)) {
            return refuse(Reason.LARGER_THAN_ANY_BACKEND_SERVER, "no known backend server is large enough");
        }
        const share = quotaShareOf(limits, job.workKind);
        const quota = limits.quota.resources;
        if (quota !== undefined && !fitsWithin(job.reserved, scaleResources(quota, share))) {
            return refuse(
                Reason.LARGER_THAN_QUOTA,
                `larger than ${share} of the customer's quota`,
            );
        }
        return undefined;
    }

    #deadlineRefusal(
        specification: JobSpecification,
        job: QueuedJob,
        expectedWaitMs: number,
        nowMs: number,
    ): Admission | undefined {
        if (job.deadlineMs <= 0) {
            return undefined;
        }
        if (job.deadlineMs <= nowMs) {
            return refuse(Reason.DEADLINE_PASSED, "the deadline has passed");
        }
        const runTimeMs = this.#dependencies.expectedRunTimeMs(job.classKey, specification.declaredRunTimeMs);
        const expectedEndMs = nowMs + expectedWaitMs + runTimeMs;
        if (expectedEndMs <= job.deadlineMs) {
            return undefined;
        }
        const lateMs = Math.ceil(expectedEndMs - job.deadlineMs);
        return refuse(Reason.DEADLINE_UNREACHABLE, `expected to end ${lateMs} ms after the deadline`, lateMs);
    }

    #queueRefusal(limits: CustomerLimits, job: QueuedJob, expectedWaitMs: number): Admission | undefined {
        const bound = limits.quota.queuedJobs;
        if (bound === 0 || this.#dependencies.queuedCount(job.customer) < bound) {
            return undefined;
        }
        const retryAfterMs = Math.min(MAXIMUM_QUEUE_RETRY_MS, Math.max(MINIMUM_QUEUE_RETRY_MS, expectedWaitMs));
        return refuse(Reason.QUEUE_FULL, `${bound} jobs are queued already`, retryAfterMs);
    }

    #rateRefusal(customer: AdmittedCustomer, nowMs: number): Admission | undefined {
        if (customer.rate === undefined || customer.rate.take(nowMs)) {
            return undefined;
        }
        const perSecond = customer.limits.quota.submissionsPerSecond;
        return refuse(Reason.RATE_EXCEEDED, `more than ${perSecond} submissions/s`, customer.rate.waitMs(nowMs));
    }
}

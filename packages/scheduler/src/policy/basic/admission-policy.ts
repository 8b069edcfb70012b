import { Reason } from "@waxwingspread/protocol";
import type { JobSpecification } from "@waxwingspread/protocol";
import { setBucket } from "../../timing/token-bucket.js";
import type { TokenBucket } from "../../timing/token-bucket.js";
import type { Admission, AdmissionPolicy, CustomerLimits, QueuedJob } from "../types.js";

/** Limits the submission rate and refuses deadlines that the expected wait and declared run time exceed. */
export class BasicAdmissionPolicy implements AdmissionPolicy {
    readonly #buckets = new Map<string, TokenBucket>();

    setCustomer({ customer, quota }: CustomerLimits): void {
        setBucket(this.#buckets, customer, quota.submissionsPerSecond, Math.max(1, quota.submissionBurst));
    }

    removeCustomer(customer: string): void {
        this.#buckets.delete(customer);
    }

    admit(specification: JobSpecification, job: QueuedJob, expectedWaitMs: number, nowMs: number): Admission {
        const bucket = this.#buckets.get(job.customer);
        if (bucket !== undefined && !bucket.take(nowMs)) {
            return {
                admitted: false,
                reason: Reason.RATE_EXCEEDED,
                retryAfterMs: Math.ceil(1_000 / Math.max(bucket.perSecond, 0.001)),
            };
        }
        const earliestEndMs = nowMs + expectedWaitMs + specification.declaredRunTimeMs;
        if (job.deadlineMs > 0 && earliestEndMs > job.deadlineMs) {
            return { admitted: false, reason: Reason.DEADLINE_UNREACHABLE, retryAfterMs: expectedWaitMs };
        }
        return { admitted: true };
    }
}

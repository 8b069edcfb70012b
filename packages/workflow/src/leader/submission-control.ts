import { Refusal, refused } from "../model/calls.js";
import type { RefusedCall } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import type { JobSpecification } from "../model/specification.js";
import type { JobAdmission } from "./job-admission.js";
import type { Times } from "./times.js";

/** Checks a submission; returns why it is refused, or undefined. */
export type SubmissionCheck = (job: JobSpecification, queue: QueueContract, times: Times) => RefusedCall | undefined;

/** Decides whether a leader accepts a submission: the checks in their order, then the memory for the job. */
export class SubmissionControl {
    readonly #checks: readonly SubmissionCheck[];
    readonly #admission: JobAdmission;

    constructor(checks: readonly SubmissionCheck[], admission: JobAdmission) {
        this.#checks = checks;
        this.#admission = admission;
    }

    /** Returns why the submission is refused; otherwise counts its job as accepted and returns undefined. */
    admit(job: JobSpecification, queue: QueueContract, times: Times): RefusedCall | undefined {
        const refusal = this.#firstRefusal(job, queue, times);
        if (refusal !== undefined) {
            return refusal;
        }
        // The last check, since it counts the job.
        return this.#admission.tryAdmit(job, times.nowMs) ? undefined : refused(Refusal.Overloaded);
    }

    /** Returns why the submission would be refused, or undefined; counts nothing. */
    check(job: JobSpecification, queue: QueueContract, times: Times): RefusedCall | undefined {
        return this.#firstRefusal(job, queue, times)
            ?? (this.#admission.hasRoomFor(job) ? undefined : refused(Refusal.Overloaded));
    }

    #firstRefusal(job: JobSpecification, queue: QueueContract, times: Times): RefusedCall | undefined {
        for (const check of this.#checks) {
            const refusal = check(job, queue, times);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        return undefined;
    }
}

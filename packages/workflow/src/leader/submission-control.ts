import { Refusal, refused } from "../model/calls.js";
import type { RefusedCall } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import type { JobSpecification } from "../model/specification.js";
import type { JobAdmission } from "./job-admission.js";
import type { Times } from "./times.js";

/** Checks a submission, or previews one without a change; returns why it is refused, or undefined. */
export type SubmissionCheck = (
    job: JobSpecification,
    queue: QueueContract,
    times: Times,
    isPreview: boolean,
) => RefusedCall | undefined;

/** Dependencies of a {@link SubmissionControl}. */
export interface SubmissionControlOptions {
    /** Returns the job with the marks that decide what precedes it. */
    classify: (job: JobSpecification, nowMs: number) => JobSpecification;
    checks: readonly SubmissionCheck[];
    admission: JobAdmission;
    /** Called for each submission that is refused. */
    recordRefusal: (job: JobSpecification, refused: RefusedCall) => void;
}

/** Decides whether a leader accepts a submission: the checks in their order, then the memory for the job. */
export class SubmissionControl {
    readonly #options: SubmissionControlOptions;

    constructor(options: SubmissionControlOptions) {
        this.#options = options;
    }

    /** Counts a submission and returns its job as it is to be checked and recorded. */
    classify(job: JobSpecification, { nowMs }: Times): JobSpecification {
        return this.#options.classify(job, nowMs);
    }

    /** Returns why the submission is refused; otherwise counts its job as accepted and returns undefined. */
    admit(job: JobSpecification, queue: QueueContract, times: Times): RefusedCall | undefined {
        const refusal = this.#firstRefusal(job, queue, times, false) ?? this.#admit(job, times);
        if (refusal !== undefined) {
            this.#options.recordRefusal(job, refusal);
        }
        return refusal;
    }

    /** Returns why the submission would be refused, or undefined; counts nothing. */
    check(job: JobSpecification, queue: QueueContract, times: Times): RefusedCall | undefined {
        return this.#firstRefusal(job, queue, times, true)
            ?? (this.#options.admission.hasRoomFor(job) ? undefined : refused(Refusal.Overloaded));
    }

    /** The last check, since it counts the job. */
    #admit(job: JobSpecification, { nowMs }: Times): RefusedCall | undefined {
        return this.#options.admission.tryAdmit(job, nowMs) ? undefined : refused(Refusal.Overloaded);
    }

    #firstRefusal(
        job: JobSpecification,
        queue: QueueContract,
        times: Times,
        isPreview: boolean,
    ): RefusedCall | undefined {
        for (const check of this.#options.checks) {
            const refusal = check(job, queue, times, isPreview);
            if (refusal !== undefined) {
                return refusal;
            }
        }
        return undefined;
    }
}

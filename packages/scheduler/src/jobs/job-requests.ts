import { create } from "@bufbuild/protobuf";
import { jobKeyOf, StepError } from "@waxwingspread/common";
import {
    AcknowledgeResponseSchema,
    CancelResponseSchema,
    ErrorCode,
    JobState,
    LookUpResponseSchema,
    Outcome,
    Reason,
} from "@waxwingspread/protocol";
import type {
    AcknowledgeRequest,
    AcknowledgeResponse,
    CancelRequest,
    CancelResponse,
    Job,
    LookUpRequest,
    LookUpResponse,
} from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import type { Decision } from "../decision.js";

/** Handles requests to look up, cancel and acknowledge jobs. */
export class JobRequests {
    readonly #decision: Decision;
    readonly #attempts: Attempts;

    constructor(decision: Decision, attempts: Attempts) {
        this.#decision = decision;
        this.#attempts = attempts;
    }

    lookUp({ customer, requestId }: LookUpRequest): LookUpResponse {
        const job = this.#decision.state.job(jobKeyOf({ customer, requestId }));
        return job === undefined
            ? create(LookUpResponseSchema, {
                result: { case: "error", value: unknownJobError("lookUp", requestId).toDetail() },
            })
            : create(LookUpResponseSchema, { result: { case: "job", value: job } });
    }

    cancel({ customer, requestIds }: CancelRequest): CancelResponse {
        const results = requestIds.map(requestId => {
            this.#cancelJob(this.#decision.state.job(jobKeyOf({ customer, requestId })));
            return this.lookUp({ customer, requestId } as LookUpRequest);
        });
        return create(CancelResponseSchema, { results });
    }

    acknowledge({ customer, requestId }: AcknowledgeRequest): AcknowledgeResponse {
        const job = this.#decision.state.job(jobKeyOf({ customer, requestId }));
        if (job === undefined) {
            return create(AcknowledgeResponseSchema, { error: unknownJobError("acknowledge", requestId).toDetail() });
        }
        if (job.state !== JobState.ENDED) {
            const error = new StepError(ErrorCode.INVALID, "acknowledge", requestId, "the job has not ended");
            return create(AcknowledgeResponseSchema, { error: error.toDetail() });
        }
        if (!job.acknowledged) {
            this.#decision.record({ case: "answerAcknowledged", value: { customer, requestId } });
        }
        return create(AcknowledgeResponseSchema);
    }

    #cancelJob(job: Job | undefined): void {
        if (job?.specification === undefined || job.state === JobState.ENDED || job.cancelRequested) {
            return;
        }
        if (job.state === JobState.QUEUED) {
            this.#attempts.endQueued(job, Outcome.CANCELLED, Reason.CANCELLED);
            return;
        }
        const { customer, requestId } = job.specification;
        this.#decision.record({ case: "cancelRequested", value: { customer, requestId } });
        this.#attempts.stop(job, Reason.CANCELLED, "Stopped because the caller cancelled it.");
    }
}

const unknownJobError = (step: string, requestId: string): StepError =>
    new StepError(ErrorCode.UNKNOWN_REQUEST, step, requestId, "no such job is known");

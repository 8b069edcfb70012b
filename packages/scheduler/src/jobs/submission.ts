import { create } from "@bufbuild/protobuf";
import { jobKeyOf, StepError } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import {
    ErrorCode,
    JobSchema,
    JobSpecificationSchema,
    JobState,
    Outcome,
    Reason,
    SubmitResponseSchema,
    WorkKind,
} from "@waxwingspread/protocol";
import type { Contract, Job, JobSpecification, SubmitRequest, SubmitResponse } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import type { Decision } from "../decision.js";
import type { OrderTracker } from "../orders/order-tracker.js";
import type { Placer } from "../placement/placer.js";
import type { Admission, QueuedJob } from "../policy/types.js";
import { fitsWithin, NO_RESOURCES } from "../state/resources.js";
import type { WorkView } from "../work-view.js";

const STEP = "submit";

/** Maximum number of queued jobs tried when a latency-critical job arrives while others of its kind are queued. */
const LATENCY_CRITICAL_PLACEMENT_LIMIT = 8;

/** Retry delay that is suggested to the caller if the customer's queue is full. */
const QUEUE_FULL_RETRY_MS = 1_000;

/** Reasons of temporary refusals: the request is not recorded and may be sent again with the same id. */
const TEMPORARY_REASONS: ReadonlySet<Reason> = new Set([Reason.RATE_EXCEEDED, Reason.QUEUE_FULL]);

const sameBytes = (a: Uint8Array, b: Uint8Array): boolean =>
    a.length === b.length && a.every((byte, position) => byte === b[position]);

/** Accepts or refuses requests and places them at once where possible. */
export class Submission {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #placer: Placer;
    readonly #attempts: Attempts;
    readonly #orders: OrderTracker;

    constructor(decision: Decision, view: WorkView, placer: Placer, attempts: Attempts, orders: OrderTracker) {
        this.#decision = decision;
        this.#view = view;
        this.#placer = placer;
        this.#attempts = attempts;
        this.#orders = orders;
    }

    submit(request: SubmitRequest): SubmitResponse {
        const { specification } = request;
        if (specification === undefined || specification.customer === "" || specification.requestId === "") {
            return errorResponse(
                new StepError(ErrorCode.INVALID, STEP, request.entryId, "customer or request id is missing"),
            );
        }
        const key = jobKeyOf(specification);
        const existing = this.#decision.state.job(key);
        if (existing !== undefined) {
            return this.#handleRepeatedRequest(key, existing, specification, request.entryId);
        }
        const contract = this.#decision.state.contract(specification.customer);
        if (contract === undefined) {
            const message = `customer ${specification.customer} has no contract`;
            return errorResponse(new StepError(ErrorCode.UNAUTHENTICATED, STEP, request.entryId, message));
        }
        return this.#handleNewRequest(key, this.#effectiveSpecification(specification), contract, request.entryId);
    }

    #handleRepeatedRequest(key: JobKey, job: Job, specification: JobSpecification, entryId: string): SubmitResponse {
        const known = job.specification?.contentSha256 ?? new Uint8Array();
        if (!sameBytes(known, specification.contentSha256)) {
            const message = "the request id was used before with other content";
            return errorResponse(new StepError(ErrorCode.REQUEST_ID_REUSED, STEP, entryId, message));
        }
        if (job.state !== JobState.ENDED && entryId !== "") {
            this.#orders.watch(key, entryId);
        }
        return jobResponse(job);
    }

    /** Adds the defaults of the class. Repeatability is fixed on acceptance: a later contract cannot relax it. */
    #effectiveSpecification(specification: JobSpecification): JobSpecification {
        const workClass = this.#decision.state.workClass(specification.customer, specification.workClass);
        const { declaredRunTimeMs } = specification;
        return create(JobSpecificationSchema, {
            ...specification,
            $typeName: undefined,
            repeatable: specification.repeatable && !workClass?.neverRepeat,
            declaredResources: specification.declaredResources ?? workClass?.defaultResources,
            declaredRunTimeMs: declaredRunTimeMs > 0 ? declaredRunTimeMs : workClass?.defaultRunTimeMs ?? 0,
        });
    }

    #handleNewRequest(
        key: JobKey,
        specification: JobSpecification,
        contract: Contract,
        entryId: string,
    ): SubmitResponse {
        const draft = create(JobSchema, { specification, state: JobState.QUEUED });
        const queued = this.#view.describe(key, draft);
        const admission = this.#admit(draft, queued, contract);
        const reason = admission.reason ?? Reason.UNSPECIFIED;
        if (!admission.admitted && TEMPORARY_REASONS.has(reason)) {
            return errorResponse(refusalError(reason, admission, entryId));
        }
        this.#decision.record({ case: "jobAccepted", value: { specification, entryId } });
        const { state } = this.#decision;
        if (!admission.admitted) {
            this.#attempts.endJob(state.job(key) ?? draft, Outcome.NOT_RUN, reason, { detail: detailOf(admission) });
            this.#orders.outcomeDelivered(key);
            return jobResponse(state.job(key) ?? draft);
        }
        this.#place(key, queued);
        const order = this.#orders.takeStart(key);
        return jobResponse(state.job(key) ?? draft, order);
    }

    /**
     * Queued work of the same kind takes precedence over a new job. If there is any, latency-critical work is placed in
     * the order of the queue at once, and other work by the next tick.
     */
    #place(key: JobKey, { workKind }: QueuedJob): void {
        if (this.#view.queuedOfKind(workKind) <= 1) {
            this.#placer.placeNew(key);
        }
        else if (workKind === WorkKind.LATENCY_CRITICAL) {
            this.#placer.placeQueued(LATENCY_CRITICAL_PLACEMENT_LIMIT);
        }
    }

    /**
     * Returns a temporary refusal of the admission policy before it checks for permanent ones, because permanent
     * refusals are recorded and must not fill the log.
     */
    #admit(draft: Job, queued: QueuedJob, contract: Contract): Admission {
        const { state, policies, nowMs } = this.#decision;
        const specification = draft.specification as JobSpecification;
        const expectedWaitMs = this.#expectedWaitMs(draft, queued);
        const admission = this.#ignoreSizeWithoutServers(
            policies.admission.admit(specification, queued, expectedWaitMs, nowMs),
        );
        if (!admission.admitted && TEMPORARY_REASONS.has(admission.reason ?? Reason.UNSPECIFIED)) {
            return admission;
        }
        const permanentReason = this.#permanentRefusal(specification, queued, contract);
        if (permanentReason !== undefined) {
            return { admitted: false, reason: permanentReason };
        }
        const isQueueFull = state.useOfCustomer(contract.customer).queuedJobs >= (contract.quota?.queuedJobs ?? 0);
        return admission.admitted && isQueueFull && !this.#placer.canPlace(draft, queued)
            ? { admitted: false, reason: Reason.QUEUE_FULL, retryAfterMs: QUEUE_FULL_RETRY_MS }
            : admission;
    }

    /** Accepts jobs of any size before the first announcement, when no backend server's capacity is known. */
    #ignoreSizeWithoutServers(admission: Admission): Admission {
        const isTooLarge = admission.reason === Reason.LARGER_THAN_ANY_BACKEND_SERVER;
        return isTooLarge && this.#decision.state.backendServerCount === 0 ? { admitted: true } : admission;
    }

    #permanentRefusal(specification: JobSpecification, queued: QueuedJob, contract: Contract): Reason | undefined {
        const { state, policies, nowMs } = this.#decision;
        if (!contract.classes.some(workClass => workClass.name === specification.workClass)) {
            return Reason.CLASS_NOT_IN_CONTRACT;
        }
        if (specification.deadlineMs > 0 && specification.deadlineMs <= nowMs) {
            return Reason.DEADLINE_PASSED;
        }
        if (!fitsWithin(queued.reserved, contract.quota?.resources ?? NO_RESOURCES)) {
            return Reason.LARGER_THAN_QUOTA;
        }
        if (state.backendServerCount > 0 && !policies.placement.couldEverFit(queued.reserved)) {
            return Reason.LARGER_THAN_ANY_BACKEND_SERVER;
        }
        return undefined;
    }

    /** Rough estimate: queued work of the same kind, spread over all slots. Only needed for jobs with a deadline. */
    #expectedWaitMs(draft: Job, queued: QueuedJob): number {
        if (queued.deadlineMs === 0 || this.#placer.canPlace(draft, queued)) {
            return 0;
        }
        const { reservation } = this.#decision.policies;
        const declaredMs = draft.specification?.declaredRunTimeMs ?? 0;
        const runTimeMs = reservation.expectedRunTimeMs(queued.classKey, declaredMs);
        return this.#view.queuedOfKind(queued.workKind) * runTimeMs / Math.max(1, this.#view.totalSlots);
    }
}

const jobResponse = (job: Job, order?: SubmitResponse["order"]): SubmitResponse =>
    create(SubmitResponseSchema, { result: { case: "job", value: job }, order });

const errorResponse = (error: StepError): SubmitResponse =>
    create(SubmitResponseSchema, { result: { case: "error", value: error.toDetail() } });

const detailOf = ({ detail, retryAfterMs }: Admission): string =>
    detail ?? (retryAfterMs === undefined ? "" : `try again after ${Math.ceil(retryAfterMs)} ms`);

const refusalError = (reason: Reason, { retryAfterMs, detail }: Admission, peer: string): StepError => {
    const name = Reason[reason].toLowerCase().replaceAll("_", "-");
    const message = `not accepted: ${name}${detail === undefined ? "" : `, ${detail}`}`;
    return new StepError(ErrorCode.OVERLOADED, STEP, peer, message, { retryAfterMs });
};

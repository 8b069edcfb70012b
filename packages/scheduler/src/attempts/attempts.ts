import { jobKeyOf } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import { AttemptEnd, AttemptState, HealthState, Outcome, Reason } from "@waxwingspread/protocol";
import type { Attempt, BlobReference, Job } from "@waxwingspread/protocol";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import type { Explanations } from "../operators/explanations.js";
import type { HealthChange } from "../policy/types.js";
import { heldAttempt } from "../state/usage.js";
import type { WorkView } from "../work-view.js";
import { isFinalStop } from "./stop-reasons.js";

/** End of an attempt with the data reported for it. */
export interface AttemptResult {
    end: AttemptEnd;
    answer?: BlobReference;
    checkpoint?: BlobReference;
    detail?: string;
    /** Reason for which the start was refused. */
    refusal?: Reason;
}

/** Effect of the end of an attempt on its job: a final outcome, or a return to the queue with a delay. */
type JobTransition = { outcome: Outcome; reason: Reason } | { requeue: Reason; delayMs: number };

interface EndedAttempt {
    job: Job;
    attempt: Attempt;
    result: AttemptResult;
}

type EndHandler = (ended: EndedAttempt) => JobTransition;

/** Called after a job whose attempt ended is queued again. */
export type RequeueListener = (key: JobKey) => void;

/** Called after the end of an attempt is recorded. */
export type AttemptEndListener = (attempt: Attempt, end: AttemptEnd) => void;

/** Records the life cycle of attempts (running, stopping, ended), and ends or requeues the jobs of ended ones. */
export class Attempts {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #explanations: Explanations;
    readonly #handlers: ReadonlyMap<AttemptEnd, EndHandler>;
    #endListener: AttemptEndListener = () => undefined;
    #requeueListener: RequeueListener = () => undefined;

    constructor(decision: Decision, view: WorkView, explanations: Explanations) {
        this.#decision = decision;
        this.#view = view;
        this.#explanations = explanations;
        this.#handlers = new Map<AttemptEnd, EndHandler>([
            [AttemptEnd.COMPLETED, () => ({ outcome: Outcome.COMPLETED, reason: Reason.COMPLETED })],
            [AttemptEnd.ANSWER_TOO_LARGE, () => ({
                outcome: Outcome.ANSWER_TOO_LARGE,
                reason: Reason.ANSWER_TOO_LARGE,
            })],
            [AttemptEnd.TASK_ERROR, ended => this.#afterTaskError(ended)],
            [AttemptEnd.NEVER_STARTED, ended => this.#afterNeverStarted(ended)],
            [AttemptEnd.STOPPED, ended => this.#afterStop(ended)],
            [AttemptEnd.LOST, ended => this.#afterLoss(ended)],
        ]);
    }

    onEnded(listener: AttemptEndListener): void {
        this.#endListener = listener;
    }

    onRequeued(listener: RequeueListener): void {
        this.#requeueListener = listener;
    }

    /** Records that a backend server runs the job's attempt; has no effect if this is recorded already. */
    recordRunning(job: Job): void {
        const attempt = heldAttempt(job);
        if (attempt !== undefined && attempt.runningSinceMs === 0) {
            const { customer, requestId } = specificationOf(job);
            const value = { customer, requestId, attemptNumber: attempt.number };
            this.#decision.record({ case: "attemptRunning", value });
        }
    }

    /** Requests the stop of the job's attempt; returns false if it holds no capacity or is stopping already. */
    stop(job: Job, reason: Reason, explanation: string): boolean {
        const attempt = heldAttempt(job);
        if (attempt === undefined || attempt.state === AttemptState.STOPPING) {
            return false;
        }
        const { customer, requestId } = specificationOf(job);
        const value = { customer, requestId, attemptNumber: attempt.number, reason };
        this.#decision.record({ case: "attemptStopping", value });
        this.#explanations.add(jobKeyOf(specificationOf(job)), explanation, this.#decision.nowMs);
        return true;
    }

    throttle(job: Job, throttled: boolean, explanation: string): void {
        const attempt = heldAttempt(job);
        if (attempt === undefined || attempt.throttled === throttled) {
            return;
        }
        const { customer, requestId } = specificationOf(job);
        const value = { customer, requestId, attemptNumber: attempt.number, throttled };
        this.#decision.record({ case: "attemptThrottled", value });
        this.#explanations.add(jobKeyOf(specificationOf(job)), explanation, this.#decision.nowMs);
    }

    /** Ends the attempt that holds capacity for the job, then ends or requeues the job. */
    end(job: Job, reported: AttemptResult): void {
        const attempt = heldAttempt(job);
        if (attempt === undefined) {
            return;
        }
        const result = correctEnd(attempt, reported);
        const { customer, requestId } = specificationOf(job);
        const { end, checkpoint, detail } = result;
        const number = attempt.number;
        this.#decision.record({
            case: "attemptEnded",
            value: { customer, requestId, attemptNumber: number, end, checkpoint, detail },
        });
        this.#endListener(attempt, end);
        this.#updatePolicies(job, attempt, end);
        const key = jobKeyOf(specificationOf(job));
        const ended = { job: this.#decision.state.job(key) ?? job, attempt, result };
        const transition = this.#handlers.get(end)?.(ended) ?? this.#afterLoss(ended);
        if ("requeue" in transition) {
            this.#requeue(job, transition);
            this.#requeueListener(key);
            return;
        }
        this.endJob(job, transition.outcome, transition.reason, { answer: result.answer, detail });
    }

    /** Records the job's final outcome. */
    endJob(
        job: Job,
        outcome: Outcome,
        reason: Reason,
        extras: { answer?: BlobReference; detail?: string } = {},
    ): void {
        const { customer, requestId } = specificationOf(job);
        this.#decision.record({ case: "jobEnded", value: { customer, requestId, outcome, reason, ...extras } });
    }

    /** Ends a queued job: as not run if no attempt can have started, otherwise with `startedOutcome`. */
    endQueued(job: Job, startedOutcome: Outcome, reason: Reason, detail = ""): void {
        this.endJob(job, job.everStarted ? startedOutcome : Outcome.NOT_RUN, reason, { detail });
    }

    /** Ends all attempts on a backend server as lost. */
    endAllAsLost(backendServerId: string, detail: string): void {
        const { state } = this.#decision;
        for (const key of [...state.useOfBackendServer(backendServerId).jobKeys]) {
            const job = state.job(key);
            if (job !== undefined) {
                this.end(job, { end: AttemptEnd.LOST, detail });
            }
        }
    }

    /** Records a change of a backend server's health and passes it to placement. */
    recordHealth(change: HealthChange | undefined): void {
        const server = change && this.#decision.state.backendServer(change.backendServerId);
        if (change === undefined || server === undefined) {
            return;
        }
        const { backendServerId, health, consecutiveFailures } = change;
        if (server.health !== health || server.consecutiveFailures !== consecutiveFailures) {
            const value = { backendServerId, health, consecutiveFailures };
            this.#decision.record({ case: "backendServerHealthChanged", value });
        }
        this.#view.refreshServer(backendServerId);
    }

    #updatePolicies(job: Job, attempt: Attempt, end: AttemptEnd): void {
        const { policies, nowMs } = this.#decision;
        const key = jobKeyOf(specificationOf(job));
        if (end === AttemptEnd.TASK_ERROR) {
            this.recordHealth(policies.health.failed(attempt.backendServerId, key, nowMs));
        }
        if (end === AttemptEnd.COMPLETED) {
            this.recordHealth(policies.health.succeeded(attempt.backendServerId, nowMs));
            if (attempt.runningSinceMs > 0) {
                const { customer, workClass } = specificationOf(job);
                policies.reservation.observeRunTime(`${customer}/${workClass}`, nowMs - attempt.runningSinceMs);
            }
        }
    }

    #requeue(job: Job, { requeue, delayMs }: { requeue: Reason; delayMs: number }): void {
        const { customer, requestId } = specificationOf(job);
        const notBeforeMs = delayMs === 0 ? 0 : this.#decision.nowMs + delayMs;
        this.#decision.record({ case: "jobRequeued", value: { customer, requestId, reason: requeue, notBeforeMs } });
    }

    /** Returns the outcome of unfinished work that must not continue (cancelled or customer removed), or undefined. */
    #finalOutcome({ job, attempt }: EndedAttempt): JobTransition | undefined {
        const isCustomerRemoved = this.#decision.state.contract(specificationOf(job).customer) === undefined;
        if (!job.cancelRequested && !isCustomerRemoved && !isFinalStop(attempt.stopReason)) {
            return undefined;
        }
        const outcome = job.everStarted ? Outcome.CANCELLED : Outcome.NOT_RUN;
        return { outcome, reason: job.cancelRequested ? Reason.CANCELLED : Reason.CUSTOMER_REMOVED };
    }

    #afterTaskError({ job }: EndedAttempt): JobTransition {
        const { policies, nowMs, settings } = this.#decision;
        const { customer } = specificationOf(job);
        if (!this.#view.isRepeatable(job) || job.cancelRequested) {
            return { outcome: Outcome.FAILED, reason: Reason.TASK_ERROR };
        }
        if (this.#failedOnHealthy(job) >= settings.failedServersLimit || this.failedOnAll(job)) {
            return { outcome: Outcome.FAILED, reason: Reason.FAILS_EVERYWHERE };
        }
        if (this.#decision.state.contract(customer) === undefined) {
            return { outcome: Outcome.FAILED, reason: Reason.CUSTOMER_REMOVED };
        }
        if (!policies.retry.tryTakeRetry(customer, nowMs)) {
            return { outcome: Outcome.FAILED, reason: Reason.RETRY_BUDGET_EXHAUSTED };
        }
        return { requeue: Reason.TASK_ERROR, delayMs: policies.retry.nextDelayMs(job.attemptsMade) };
    }

    /** Returns true if the job has failed on every known backend server. */
    failedOnAll(job: Job): boolean {
        const { state } = this.#decision;
        return job.failedOn.length >= state.backendServerCount && job.failedOn.length > 0
            && [...state.backendServers()].every(server => job.failedOn.includes(server.backendServerId));
    }

    #failedOnHealthy(job: Job): number {
        const { state } = this.#decision;
        const faulty: readonly (HealthState | undefined)[] = [HealthState.QUARANTINED, HealthState.PROBING];
        return job.failedOn.filter(id => !faulty.includes(state.backendServer(id)?.health)).length;
    }

    #afterNeverStarted(ended: EndedAttempt): JobTransition {
        const { job, attempt, result } = ended;
        if (result.refusal === Reason.PAYLOAD_MISSING) {
            const outcome = job.everStarted ? Outcome.INTERRUPTED : Outcome.NOT_RUN;
            return this.#finalOutcome(ended) ?? { outcome, reason: Reason.PAYLOAD_MISSING };
        }
        const isStopping = attempt.state === AttemptState.STOPPING;
        const delayMs = isStopping ? 0 : this.#decision.policies.retry.nextDelayMs(1);
        const reason = isStopping ? attempt.stopReason : result.refusal ?? Reason.START_WINDOW_PASSED;
        return this.#finalOutcome(ended) ?? { requeue: reason, delayMs };
    }

    #afterStop(ended: EndedAttempt): JobTransition {
        const { job, attempt, result } = ended;
        const reason = attempt.stopReason === Reason.UNSPECIFIED ? Reason.EVICTED : attempt.stopReason;
        const final = this.#finalOutcome(ended);
        if (final !== undefined) {
            return final;
        }
        if (!this.#view.isRepeatable(job) && result.checkpoint === undefined) {
            return { outcome: Outcome.INTERRUPTED, reason };
        }
        return { requeue: reason, delayMs: 0 };
    }

    #afterLoss(ended: EndedAttempt): JobTransition {
        const { job } = ended;
        const { policies, nowMs, settings } = this.#decision;
        const final = this.#finalOutcome(ended);
        if (final !== undefined) {
            return final;
        }
        if (!this.#view.isRepeatable(job)) {
            return { outcome: Outcome.INTERRUPTED, reason: Reason.BACKEND_SERVER_LOST };
        }
        const delayMs = policies.retry.nextDelayMs(job.attemptsMade);
        return policies.retry.tryTakeRetry(specificationOf(job).customer, nowMs)
            ? { requeue: Reason.BACKEND_SERVER_LOST, delayMs }
            : { requeue: Reason.RETRY_BUDGET_EXHAUSTED, delayMs: delayMs + settings.exhaustedRetryDelayMs };
    }
}

/**
 * An attempt that is known to have run cannot end as never started, whatever is reported later; such a report counts
 * as a stop without a checkpoint.
 */
const correctEnd = (attempt: Attempt, result: AttemptResult): AttemptResult =>
    result.end === AttemptEnd.NEVER_STARTED && attempt.runningSinceMs > 0
        ? { ...result, end: AttemptEnd.STOPPED, checkpoint: undefined }
        : result;

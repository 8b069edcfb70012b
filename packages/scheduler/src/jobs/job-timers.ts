import type { JobKey } from "@waxwingspread/common";
import { JobState, Outcome, Reason } from "@waxwingspread/protocol";
import type { Job } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import { DueQueue } from "../timing/due-queue.js";

/** Maximum number of ended jobs deleted in one tick, which bounds the size of an event batch. */
const MAXIMUM_FORGOTTEN_PER_TICK = 500;

/** Ends queued jobs at their deadline and deletes ended jobs when their retention expires. */
export class JobTimers {
    readonly #decision: Decision;
    readonly #attempts: Attempts;
    readonly #deadlines = new DueQueue();
    readonly #retention = new DueQueue();

    constructor(decision: Decision, attempts: Attempts) {
        this.#decision = decision;
        this.#attempts = attempts;
    }

    jobChanged(key: JobKey, after: Job | undefined): void {
        const deadlineMs = after?.specification?.deadlineMs ?? 0;
        if (after?.state === JobState.QUEUED && deadlineMs > 0) {
            this.#deadlines.set(key, deadlineMs);
        }
        else {
            this.#deadlines.delete(key);
        }
        if (after?.state === JobState.ENDED) {
            this.#retention.set(key, this.#forgetAtMs(after));
        }
        else {
            this.#retention.delete(key);
        }
    }

    tick(): void {
        const { state, nowMs } = this.#decision;
        for (const key of this.#deadlines.takeDue(nowMs)) {
            const job = state.job(key);
            if (job?.state === JobState.QUEUED) {
                this.#attempts.endQueued(job, Outcome.INTERRUPTED, Reason.DEADLINE_PASSED);
            }
        }
        for (const key of this.#retention.takeDue(nowMs, MAXIMUM_FORGOTTEN_PER_TICK)) {
            this.#forget(key);
        }
    }

    /** Deletes an ended job unless the contract's retention has been extended since the timer was set. */
    #forget(key: JobKey): void {
        const job = this.#decision.state.job(key);
        if (job?.state !== JobState.ENDED) {
            return;
        }
        const forgetAtMs = this.#forgetAtMs(job);
        if (forgetAtMs > this.#decision.nowMs) {
            this.#retention.set(key, forgetAtMs);
            return;
        }
        const { customer, requestId } = specificationOf(job);
        this.#decision.record({ case: "jobForgotten", value: { customer, requestId } });
    }

    #forgetAtMs(job: Job): number {
        const { state, settings } = this.#decision;
        const contract = state.contract(specificationOf(job).customer);
        const contractRetentionMs = contract?.answerRetentionMs ?? 0;
        const retentionMs = contractRetentionMs > 0 ? contractRetentionMs : settings.defaultRetentionMs;
        return job.endedAtMs
            + (job.acknowledged ? Math.min(settings.acknowledgedRetentionMs, retentionMs) : retentionMs);
    }
}

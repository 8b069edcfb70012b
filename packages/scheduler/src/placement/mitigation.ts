import { Reason } from "@waxwingspread/protocol";
import type { Job } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import type { Decision } from "../decision.js";
import { MitigationKind } from "../policy/types.js";
import type { Mitigation } from "../policy/types.js";
import { heldAttempt } from "../state/usage.js";
import { parseTaskKey } from "../work-view.js";

/** Maximum number of evictions per round that reclaim borrowed capacity. */
const MAXIMUM_RECLAIMS_PER_ROUND = 8;

/** Throttles and evicts tasks that interfere with others, and reclaims borrowed capacity. */
export class Mitigations {
    readonly #decision: Decision;
    readonly #attempts: Attempts;
    readonly #handlers: Readonly<Record<MitigationKind, (job: Job, mitigation: Mitigation) => void>> = {
        [MitigationKind.Throttle]: (job, { explanation }) => this.#attempts.throttle(job, true, explanation),
        [MitigationKind.Unthrottle]: (job, { explanation }) => this.#attempts.throttle(job, false, explanation),
        [MitigationKind.Evict]: (job, { reason, explanation }) => this.#attempts.stop(job, reason, explanation),
    };
    #nextEvaluationMs = 0;

    constructor(decision: Decision, attempts: Attempts) {
        this.#decision = decision;
        this.#attempts = attempts;
    }

    tick(): void {
        const { policies, nowMs, settings } = this.#decision;
        if (nowMs < this.#nextEvaluationMs) {
            return;
        }
        this.#nextEvaluationMs = nowMs + settings.mitigationIntervalMs;
        for (const mitigation of policies.interference.evaluate(nowMs)) {
            const job = this.#jobOfTask(mitigation.taskKey);
            if (job !== undefined) {
                this.#handlers[mitigation.kind](job, mitigation);
            }
        }
        for (
            const { taskKey, explanation } of policies.fairShare.selectReclaimVictims(nowMs, MAXIMUM_RECLAIMS_PER_ROUND)
        ) {
            const job = this.#jobOfTask(taskKey);
            if (job !== undefined) {
                this.#attempts.stop(job, Reason.QUOTA_RECLAIMED, explanation);
            }
        }
    }

    #jobOfTask(taskKey: string): Job | undefined {
        const { jobKey, attemptNumber } = parseTaskKey(taskKey);
        const job = this.#decision.state.job(jobKey);
        return heldAttempt(job)?.number === attemptNumber ? job : undefined;
    }
}

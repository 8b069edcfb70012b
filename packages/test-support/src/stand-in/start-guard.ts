import { attemptKeyOf, taskJobKeyOf } from "./messages.js";
import type { AttemptIdentity, StartMessage } from "./messages.js";

/** Longer than any start window, so that no start can still be in flight when the decision about it is dropped. */
const DECISION_RETENTION_MS = 60_000;

interface Decision {
    accepted: boolean;
    detail: string;
    retainUntilMs: number;
}

interface HighestAttempt {
    attemptNumber: number;
    retainUntilMs: number;
}

/** State of the server on which the decision about a start depends. */
export interface ServerState {
    incarnation: string;
    leaving: boolean;
    /** True when another attempt of the job has not ended on this server. */
    holdsOtherAttempt: boolean;
    fits: boolean;
}

/**
 * Accepts or refuses starts and retains the decisions, so that a duplicate gets the reply of the first start and
 * starts nothing. Times are readings of the server's own clock.
 */
export class StartGuard {
    readonly #decisions = new Map<string, Decision>();
    readonly #highestAttempts = new Map<string, HighestAttempt>();
    #term = 0;

    /** Highest leader term received. */
    get term(): number {
        return this.#term;
    }

    /** Records a leader's term; returns false when it is older than one received before. */
    recordTerm(term: number): boolean {
        if (term < this.#term) {
            return false;
        }
        this.#term = term;
        return true;
    }

    /** Returns the earlier decision about this attempt. */
    earlierDecision(start: AttemptIdentity): Decision | undefined {
        return this.#decisions.get(attemptKeyOf(start));
    }

    /** Returns the reason for refusing a start, undefined when it is accepted. Retains the decision. */
    decide(start: StartMessage, state: ServerState, clockMs: number): string | undefined {
        const refusal = this.#refusalOf(start, state, clockMs);
        const accepted = refusal === undefined;
        const retainUntilMs = Math.max(start.startDeadlineMs, clockMs) + DECISION_RETENTION_MS;
        this.#decisions.set(attemptKeyOf(start), { accepted, detail: refusal ?? "", retainUntilMs });
        if (accepted) {
            const { attemptNumber } = start;
            this.#highestAttempts.set(taskJobKeyOf(start), { attemptNumber, retainUntilMs });
        }
        return refusal;
    }

    /** Refuses all later starts of an attempt that was stopped before its start arrived. */
    refuseFutureStarts(identity: AttemptIdentity, detail: string, clockMs: number): void {
        this.#decisions.set(attemptKeyOf(identity), {
            accepted: false,
            detail,
            retainUntilMs: clockMs + DECISION_RETENTION_MS,
        });
    }

    /** Drops the decisions whose retention has passed; no start can refer to them any more. */
    removeExpired(clockMs: number): void {
        for (const retained of [this.#decisions, this.#highestAttempts] as Map<string, { retainUntilMs: number }>[]) {
            for (const [key, { retainUntilMs }] of retained) {
                if (retainUntilMs < clockMs) {
                    retained.delete(key);
                }
            }
        }
    }

    #refusalOf(start: StartMessage, state: ServerState, clockMs: number): string | undefined {
        const highest = this.#highestAttempts.get(taskJobKeyOf(start))?.attemptNumber ?? 0;
        const checks: [boolean, string][] = [
            [start.incarnation !== state.incarnation, "another incarnation"],
            [!this.recordTerm(start.term), "older term"],
            [state.leaving, "leaving"],
            [clockMs > start.startDeadlineMs, "start deadline passed"],
            [clockMs >= start.leaseExpiresMs, "lease expired"],
            [start.attemptNumber < highest, "lower attempt number"],
            [state.holdsOtherAttempt, "another attempt of the job is held"],
            [!state.fits, "no free capacity"],
        ];
        return checks.find(([isRefused]) => isRefused)?.[1];
    }
}

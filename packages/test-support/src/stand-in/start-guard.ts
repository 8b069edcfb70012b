import { attemptKeyOf, taskJobKeyOf } from "./messages.js";
import type { AttemptIdentity, StartMessage } from "./messages.js";

/** Retention of decisions. Longer than any start window, so that no start for a dropped one can still be in flight. */
const MEMORY_MS = 60_000;

interface Remembered {
    accepted: boolean;
    detail: string;
    untilMs: number;
}

interface HighestAttempt {
    attemptNumber: number;
    untilMs: number;
}

/** State of the server on which the decision about a start depends. */
export interface ServerView {
    incarnation: string;
    leaving: boolean;
    /** True when another attempt of the job has not ended on this server. */
    otherAttemptHeld: boolean;
    fits: boolean;
}

/**
 * Accepts or refuses starts and retains the decisions, so that a duplicate gets the reply of the first start and
 * starts nothing. Times are readings of the server's own clock.
 */
export class StartGuard {
    readonly #decisions = new Map<string, Remembered>();
    readonly #highestAttempts = new Map<string, HighestAttempt>();
    #term = 0;

    /** Highest leader term received. */
    get term(): number {
        return this.#term;
    }

    /** Records a leader's term; returns false when it is older than one received before. */
    observeTerm(term: number): boolean {
        if (term < this.#term) {
            return false;
        }
        this.#term = term;
        return true;
    }

    /** Returns the earlier decision about this attempt. */
    earlierDecision(start: AttemptIdentity): Remembered | undefined {
        return this.#decisions.get(attemptKeyOf(start));
    }

    /** Returns the reason for refusing a start, undefined when it is accepted. Retains the decision. */
    decide(start: StartMessage, view: ServerView, clockMs: number): string | undefined {
        const refusal = this.#refusalOf(start, view, clockMs);
        const accepted = refusal === undefined;
        const untilMs = Math.max(start.startDeadlineMs, clockMs) + MEMORY_MS;
        this.#decisions.set(attemptKeyOf(start), { accepted, detail: refusal ?? "", untilMs });
        if (accepted) {
            const { attemptNumber } = start;
            this.#highestAttempts.set(taskJobKeyOf(start), { attemptNumber, untilMs });
        }
        return refusal;
    }

    /** Refuses all later starts of an attempt that was stopped before its start arrived. */
    refuseLater(identity: AttemptIdentity, detail: string, clockMs: number): void {
        this.#decisions.set(attemptKeyOf(identity), { accepted: false, detail, untilMs: clockMs + MEMORY_MS });
    }

    /** Drops the decisions whose retention has passed; no start can refer to them any more. */
    forget(clockMs: number): void {
        for (const memory of [this.#decisions, this.#highestAttempts] as Map<string, { untilMs: number }>[]) {
            for (const [key, { untilMs }] of memory) {
                if (untilMs < clockMs) {
                    memory.delete(key);
                }
            }
        }
    }

    #refusalOf(start: StartMessage, view: ServerView, clockMs: number): string | undefined {
        const highest = this.#highestAttempts.get(taskJobKeyOf(start))?.attemptNumber ?? 0;
        const checks: [boolean, string][] = [
            [start.incarnation !== view.incarnation, "another incarnation"],
            [!this.observeTerm(start.term), "older term"],
            [view.leaving, "leaving"],
            [clockMs > start.startDeadlineMs, "start deadline passed"],
            [clockMs >= start.leaseExpiresMs, "lease expired"],
            [start.attemptNumber < highest, "lower attempt number"],
            [view.otherAttemptHeld, "another attempt of the job is held"],
            [!view.fits, "no free capacity"],
        ];
        return checks.find(([refused]) => refused)?.[1];
    }
}

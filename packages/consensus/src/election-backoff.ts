/** Duration after which the end of a leadership no longer counts as early. */
const STABLE_LEADERSHIP_MS = 3_000;
const MAX_EARLY_ENDS = 2;
const MAX_FACTOR = 3;

/**
 * Lengthens timeouts while leaderships are young or end early, because the work of a new leader is heaviest in its first
 * seconds and an election makes the next leader begin it again. A leadership that lasts resets the backoff.
 */
export class ElectionBackoff {
    #term = 0;
    #startMs = -Infinity;
    #lastContactMs = -Infinity;
    #earlyEnds = 0;

    /** Records that the leader of a term is active. */
    recordLeader(term: number, nowMs: number): void {
        if (term !== this.#term) {
            const hasEndedEarly = this.#term > 0 && this.#isYoung;
            this.#earlyEnds = hasEndedEarly ? Math.min(this.#earlyEnds + 1, MAX_EARLY_ENDS) : 0;
            this.#term = term;
            this.#startMs = nowMs;
        }
        this.#lastContactMs = nowMs;
        if (!this.#isYoung) {
            this.#earlyEnds = 0;
        }
    }

    /** Factor of the time for which a follower waits for its leader, and a leader for the answers of a quorum. */
    get timeoutFactor(): number {
        return Math.min(MAX_FACTOR, 1 + this.#earlyEnds + (this.#isYoung ? 1 : 0));
    }

    get #isYoung(): boolean {
        return this.#lastContactMs - this.#startMs < STABLE_LEADERSHIP_MS;
    }
}

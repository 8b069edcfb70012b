const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket that permits a constant rate, with bursts of at most the tokens of one second. */
export class RateLimiter {
    readonly #perSecond: number;
    #tokens: number;
    #refilledAtMs: number;

    constructor(perSecond: number, nowMs: number) {
        this.#perSecond = perSecond;
        this.#tokens = perSecond;
        this.#refilledAtMs = nowMs;
    }

    /** Takes one token. Returns false if less than one is available. */
    take(nowMs: number): boolean {
        const elapsedMs = Math.max(0, nowMs - this.#refilledAtMs);
        const refill = elapsedMs * this.#perSecond / MILLISECONDS_PER_SECOND;
        this.#tokens = Math.min(this.#perSecond, this.#tokens + refill);
        this.#refilledAtMs = nowMs;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}

const MILLISECONDS_PER_SECOND = 1_000;

/** Tokens that refill at a constant rate up to a bound. */
export class TokenBucket {
    #tokens: number;
    #updatedAtMs: number | undefined;
    #perSecond: number;
    #burst: number;

    /** Starts full. */
    constructor(perSecond: number, burst: number) {
        this.#perSecond = perSecond;
        this.#burst = burst;
        this.#tokens = burst;
    }

    /** Changes rate and bound; tokens above the new bound are lost. */
    configure(perSecond: number, burst: number): void {
        this.#perSecond = perSecond;
        this.#burst = burst;
        this.#tokens = Math.min(this.#tokens, burst);
    }

    /** Takes one token; false where there is none. */
    take(nowMs: number): boolean {
        this.#refill(nowMs);
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }

    /** Time until a token is there. */
    waitMs(nowMs: number): number {
        this.#refill(nowMs);
        if (this.#tokens >= 1) {
            return 0;
        }
        return Math.ceil((1 - this.#tokens) / this.#perSecond * MILLISECONDS_PER_SECOND);
    }

    #refill(nowMs: number): void {
        const elapsedMs = Math.max(0, nowMs - (this.#updatedAtMs ?? nowMs));
        this.#tokens = Math.min(this.#burst, this.#tokens + elapsedMs * this.#perSecond / MILLISECONDS_PER_SECOND);
        this.#updatedAtMs = nowMs;
    }
}

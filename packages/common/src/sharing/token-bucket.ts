const MILLISECONDS_PER_SECOND = 1_000;

/** Token bucket: tokens accrue at a constant rate up to the burst size. */
export class TokenBucket {
    #tokens: number;
    #updatedAtMs: number | undefined;
    #perSecond: number;
    #burst: number;

    /** Creates a full bucket. */
    constructor(perSecond: number, burst: number) {
        this.#perSecond = perSecond;
        this.#burst = burst;
        this.#tokens = burst;
    }

    /** Changes the rate and the burst size; tokens above the new burst size are discarded. */
    configure(perSecond: number, burst: number): void {
        this.#perSecond = perSecond;
        this.#burst = burst;
        this.#tokens = Math.min(this.#tokens, burst);
    }

    /** Takes one token; returns false if none is available. */
    take(nowMs: number): boolean {
        this.#refill(nowMs);
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }

    /** Gives one token back that was taken. */
    giveBack(): void {
        this.#tokens = Math.min(this.#burst, this.#tokens + 1);
    }

    /** Returns the time in milliseconds until a token is available. */
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

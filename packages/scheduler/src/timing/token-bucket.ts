/** Rate limiter whose tokens are refilled at a constant rate up to its size. */
export class TokenBucket {
    #tokens: number;
    #filledAtMs = 0;

    constructor(public perSecond: number, public size: number) {
        this.#tokens = size;
    }

    /** Takes one token; returns false if none is left. */
    take(nowMs: number): boolean {
        const refill = Math.max(0, nowMs - this.#filledAtMs) * this.perSecond / 1_000;
        this.#tokens = Math.min(this.size, this.#tokens + refill);
        this.#filledAtMs = nowMs;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}

/** Creates or changes the bucket of a customer. */
export const setBucket = (
    buckets: Map<string, TokenBucket>,
    customer: string,
    perSecond: number,
    size: number,
): void => {
    const bucket = buckets.get(customer);
    if (bucket === undefined) {
        buckets.set(customer, new TokenBucket(perSecond, size));
        return;
    }
    bucket.perSecond = perSecond;
    bucket.size = size;
};

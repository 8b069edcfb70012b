/** Ratio of a bucket's upper edge to its lower edge: estimates are at most 5% above the true quantile. */
const BUCKET_RATIO = 1.05;
const LOG_BUCKET_RATIO = Math.log(BUCKET_RATIO);
/** Total weight above which all counts are halved, so that old observations lose influence. */
const MAXIMUM_WEIGHT = 512;
/** Buckets whose count falls below this weight are removed. */
const MINIMUM_BUCKET_WEIGHT = 0.25;

/** Estimates quantiles with a logarithmic histogram whose counts decay; negative values count as zero. */
export class DecayedQuantile {
    readonly #buckets = new Map<number, number>();
    #weight = 0;
    #zeroWeight = 0;

    /** Total weight of the retained observations; a new observation has weight 1. */
    get weight(): number {
        return this.#weight;
    }

    add(value: number): void {
        this.#weight += 1;
        if (value <= 0) {
            this.#zeroWeight += 1;
        }
        else {
            const bucket = Math.ceil(Math.log(value) / LOG_BUCKET_RATIO);
            this.#buckets.set(bucket, (this.#buckets.get(bucket) ?? 0) + 1);
        }
        if (this.#weight > MAXIMUM_WEIGHT) {
            this.#halveCounts();
        }
    }

    /** Returns the upper edge of the bucket that contains the quantile; 0 without observations. */
    quantile(ratio: number): number {
        let remaining = ratio * this.#weight - this.#zeroWeight;
        if (this.#weight === 0 || remaining <= 0) {
            return 0;
        }
        const ordered = [...this.#buckets.keys()].sort((left, right) => left - right);
        for (const bucket of ordered) {
            remaining -= this.#buckets.get(bucket) ?? 0;
            if (remaining <= 0) {
                return BUCKET_RATIO ** bucket;
            }
        }
        return BUCKET_RATIO ** (ordered.at(-1) ?? 0);
    }

    #halveCounts(): void {
        this.#zeroWeight /= 2;
        this.#weight = this.#zeroWeight;
        for (const [bucket, count] of this.#buckets) {
            if (count / 2 < MINIMUM_BUCKET_WEIGHT) {
                this.#buckets.delete(bucket);
                continue;
            }
            this.#buckets.set(bucket, count / 2);
            this.#weight += count / 2;
        }
    }
}

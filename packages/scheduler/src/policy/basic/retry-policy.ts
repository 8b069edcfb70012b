import type { SeededRandom } from "@waxwingspread/common";
import { setBucket } from "../../timing/token-bucket.js";
import type { TokenBucket } from "../../timing/token-bucket.js";
import type { CustomerLimits, RetryPolicy } from "../types.js";

const FIRST_RETRY_DELAY_MS = 200;
const MAXIMUM_RETRY_DELAY_MS = 30_000;
const MAXIMUM_BACKOFF_EXPONENT = 10;

/** Exponential backoff with jitter, and a retry budget for each customer. */
export class BasicRetryPolicy implements RetryPolicy {
    readonly #buckets = new Map<string, TokenBucket>();
    readonly #random: SeededRandom;

    constructor(random: SeededRandom) {
        this.#random = random;
    }

    setCustomer({ customer, quota }: CustomerLimits): void {
        setBucket(this.#buckets, customer, quota.retriesPerMinute / 60, quota.retriesPerMinute);
    }

    nextDelayMs(attemptsMade: number): number {
        const exponent = Math.min(Math.max(attemptsMade - 1, 0), MAXIMUM_BACKOFF_EXPONENT);
        return Math.min(FIRST_RETRY_DELAY_MS * 2 ** exponent, MAXIMUM_RETRY_DELAY_MS)
            * (0.5 + this.#random.nextRatio());
    }

    tryTakeRetry(customer: string, nowMs: number): boolean {
        return this.#buckets.get(customer)?.take(nowMs) ?? false;
    }
}

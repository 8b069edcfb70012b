import { TokenBucket } from "@waxwingspread/common";
import type { SeededRandom } from "@waxwingspread/common";
import type { CustomerLimits, RetryPolicy } from "./types.js";

/** Parameters of the {@link RetryBackoff}. */
export interface RetryBackoffParameters {
    firstDelayMs: number;
    maximumDelayMs: number;
    /** Part of each delay that is random, so that retries are not synchronised. */
    jitterRatio: number;
}

/** Defaults; the first delay is about the time that it takes to detect a lost order. */
export const RETRY_BACKOFF_DEFAULTS: RetryBackoffParameters = {
    firstDelayMs: 250,
    maximumDelayMs: 30_000,
    jitterRatio: 0.5,
};

const SECONDS_PER_MINUTE = 60;

/** Exponential backoff with jitter, and a retry budget for each customer. */
export class RetryBackoff implements RetryPolicy {
    readonly #random: SeededRandom;
    readonly #parameters: RetryBackoffParameters;
    readonly #budgets = new Map<string, TokenBucket>();

    constructor(random: SeededRandom, parameters: RetryBackoffParameters = RETRY_BACKOFF_DEFAULTS) {
        this.#random = random;
        this.#parameters = parameters;
    }

    setCustomer(limits: CustomerLimits): void {
        const perMinute = limits.quota.retriesPerMinute;
        const burst = Math.ceil(perMinute);
        const budget = this.#budgets.get(limits.customer);
        if (budget === undefined) {
            this.#budgets.set(limits.customer, new TokenBucket(perMinute / SECONDS_PER_MINUTE, burst));
            return;
        }
        budget.configure(perMinute / SECONDS_PER_MINUTE, burst);
    }

    nextDelayMs(attemptsMade: number): number {
        const { firstDelayMs, maximumDelayMs, jitterRatio } = this.#parameters;
        const delayMs = Math.min(maximumDelayMs, firstDelayMs * 2 ** Math.max(0, attemptsMade - 1));
        return delayMs * (1 - jitterRatio * this.#random.nextRatio());
    }

    /** Returns false for customers without a contract, which have no budget. */
    tryTakeRetry(customer: string, nowMs: number): boolean {
        return this.#budgets.get(customer)?.take(nowMs) ?? false;
    }
}

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Pseudorandom number generator that repeats the same sequence for the same seed. Not for secrets. */
export class SeededRandom {
    readonly #generator: RandomGenerator;

    constructor(seed: number) {
        this.#generator = xoroshiro128plus(seed);
    }

    /** Returns a uniformly distributed number from 0 (included) to 1 (excluded). */
    nextRatio(): number {
        return uniformFloat64(this.#generator);
    }

    /** Returns a uniformly distributed integer from `minimum` to `maximum`, both included. */
    nextInteger(minimum: number, maximum: number): number {
        return uniformInt(this.#generator, minimum, maximum);
    }

    /** Returns a random item; `items` must not be empty. */
    pick<T>(items: readonly T[]): T {
        return items[this.nextInteger(0, items.length - 1)] as T;
    }

    /** Returns an exponentially distributed number with the given mean. */
    nextExponential(mean: number): number {
        return -Math.log(1 - this.nextRatio()) * mean;
    }
}

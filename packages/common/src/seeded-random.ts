import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { RandomGenerator } from "pure-rand/types/RandomGenerator";

/** Repeatable random numbers from a seed. Not for secrets. */
export class SeededRandom {
    readonly #source: RandomGenerator;

    constructor(seed: number) {
        this.#source = xoroshiro128plus(seed);
    }

    /** Returns a number from 0 up to, but without, 1. */
    nextRatio(): number {
        return uniformFloat64(this.#source);
    }

    /** Returns an integer from `minimum` to `maximum`, both included. */
    nextInteger(minimum: number, maximum: number): number {
        return uniformInt(this.#source, minimum, maximum);
    }

    /** Returns one of the items, which must not be empty. */
    pick<T>(items: readonly T[]): T {
        return items[this.nextInteger(0, items.length - 1)] as T;
    }

    /** Returns an exponentially distributed number with the given mean. */
    nextExponential(mean: number): number {
        return -Math.log(1 - this.nextRatio()) * mean;
    }
}

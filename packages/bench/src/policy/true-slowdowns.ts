import type { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import type { SlowdownSource } from "@waxwingspread/scheduler";
import { classKeyOf } from "./deployments.js";
import type { Deployment } from "./deployments.js";

/** Slowdowns grow linearly with CPU utilization: factor at zero utilization, and increase up to full utilization. */
const IDLE_CPU_FACTOR = 0.7;
const CPU_FACTOR_INCREASE = 0.6;
/** Factor at typical CPU utilization, which the variant with known slowdowns assumes. */
const TYPICAL_CPU_FACTOR = 1.1;
/** Share of the pairs whose slowdown changes during a run. */
const DRIFT_RATIO = 0.2;

/** Cumulative shares of the pairs with weak, noticeable and strong interference, and the bounds of their slowdowns. */
const WEAK_RATIO = 0.6;
const NOTICEABLE_RATIO = 0.9;
const WEAK = [0, 0.05] as const;
const NOTICEABLE = [0.05, 0.2] as const;
const STRONG = [0.3, 0.7] as const;
/** Latency-critical and standing tasks are lightweight, so they interfere less than batch tasks. */
const NON_BATCH_FACTOR = 0.4;

/**
 * Actual slowdowns between all pairs of classes, which the machines simulate. The policies can't see them, except in
 * the variant with known slowdowns.
 */
export class TrueSlowdowns implements SlowdownSource {
    readonly #indexes = new Map<string, number>();
    readonly #factors: number[];
    readonly #count: number;
    readonly #table: Float64Array;

    constructor(deployment: Deployment, random: SeededRandom) {
        this.#count = deployment.classes.length;
        this.#factors = deployment.classes.map(profile => profile.workKind === WorkKind.BATCH ? 1 : NON_BATCH_FACTOR);
        deployment.classes.forEach((profile, index) => this.#indexes.set(classKeyOf(profile), index));
        this.#table = Float64Array.from(
            { length: this.#count ** 2 },
            (unused, index) => this.#sampleSlowdown(index, random),
        );
    }

    /** Replaces the slowdowns of randomly selected pairs. */
    drift(random: SeededRandom): void {
        for (let index = 0; index < this.#table.length; index += 1) {
            if (random.nextRatio() < DRIFT_RATIO) {
                this.#table[index] = this.#sampleSlowdown(index, random);
            }
        }
    }

    /** Returns the slowdown that a task of the second class adds to one of the first, at the given CPU utilization. */
    addedSlowdown(affected: number, interfering: number, cpuUtilization: number): number {
        return (this.#table[affected * this.#count + interfering] ?? 0)
            * (IDLE_CPU_FACTOR + CPU_FACTOR_INCREASE * cpuUtilization);
    }

    coefficient(affected: string, interfering: string): number {
        const index = (this.#indexes.get(affected) ?? 0) * this.#count + (this.#indexes.get(interfering) ?? 0);
        return (this.#table[index] ?? 0) * TYPICAL_CPU_FACTOR;
    }

    variance(): number {
        return 0;
    }

    #sampleSlowdown(index: number, random: SeededRandom): number {
        const kind = random.nextRatio();
        const [low, high] = kind < WEAK_RATIO ? WEAK : kind < NOTICEABLE_RATIO ? NOTICEABLE : STRONG;
        const factor = this.#factors[index % this.#count] ?? 1;
        return (low + (high - low) * random.nextRatio()) * factor;
    }
}

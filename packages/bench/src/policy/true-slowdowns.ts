import type { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import type { SlowdownSource } from "@waxwingspread/scheduler";
import { classKeyOf } from "./shapes.js";
import type { FirmShape } from "./shapes.js";

/** Slowdowns grow with the part of the processors in use: factor at no use, and its growth to full use. */
const IDLE_FACTOR = 0.7;
const LOAD_FACTOR = 0.6;
/** Factor at the typical use, as assumed by the placement that knows the table. */
const TYPICAL_FACTOR = 1.1;
/** Part of the pairs that change during a run. */
const DRIFT_RATIO = 0.2;

/** Parts of the pairs that disturb little, noticeably and strongly, with their bounds. */
const HARMLESS_RATIO = 0.6;
const NOTICEABLE_RATIO = 0.9;
const HARMLESS = [0, 0.05] as const;
const NOTICEABLE = [0.05, 0.2] as const;
const STRONG = [0.3, 0.7] as const;
/** Requests and monitors are light; they disturb less than batch. */
const LIGHT_FACTOR = 0.4;

/** The table of pairwise slowdowns that is hidden from the policies. */
export class TrueSlowdowns implements SlowdownSource {
    readonly #indexes = new Map<string, number>();
    readonly #factors: number[];
    readonly #count: number;
    readonly #table: Float64Array;

    constructor(firm: FirmShape, random: SeededRandom) {
        this.#count = firm.classes.length;
        this.#factors = firm.classes.map(shape => shape.workKind === WorkKind.BATCH ? 1 : LIGHT_FACTOR);
        firm.classes.forEach((shape, index) => this.#indexes.set(classKeyOf(shape), index));
        this.#table = Float64Array.from({ length: this.#count ** 2 }, (unused, index) => this.#draw(index, random));
    }

    /** Changes a part of the table. */
    drift(random: SeededRandom): void {
        for (let index = 0; index < this.#table.length; index += 1) {
            if (random.nextRatio() < DRIFT_RATIO) {
                this.#table[index] = this.#draw(index, random);
            }
        }
    }

    /** Slowdown that a task of the second class adds to one of the first, at the given use of the processors. */
    between(suffering: number, causing: number, usedRatio: number): number {
        return (this.#table[suffering * this.#count + causing] ?? 0) * (IDLE_FACTOR + LOAD_FACTOR * usedRatio);
    }

    coefficient(suffering: string, causing: string): number {
        const index = (this.#indexes.get(suffering) ?? 0) * this.#count + (this.#indexes.get(causing) ?? 0);
        return (this.#table[index] ?? 0) * TYPICAL_FACTOR;
    }

    variance(): number {
        return 0;
    }

    #draw(index: number, random: SeededRandom): number {
        const kind = random.nextRatio();
        const [low, high] = kind < HARMLESS_RATIO ? HARMLESS : kind < NOTICEABLE_RATIO ? NOTICEABLE : STRONG;
        const factor = this.#factors[index % this.#count] ?? 1;
        return (low + (high - low) * random.nextRatio()) * factor;
    }
}

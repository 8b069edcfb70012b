import { WorkKind } from "@waxwingspread/protocol";
import { addAmounts, zeroAmounts } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { PlacedTask } from "./types.js";

/** Parameters of the {@link LatencyCriticalHeadroom}. */
export interface LatencyCriticalHeadroomParameters {
    /** Time after which the recorded peak has decayed halfway to the current number of tasks. */
    halfLifeMs: number;
    /** Number of additional slots to keep free, as a multiple of the square root of the peak. */
    marginFactor: number;
}

/** Defaults; the number of running requests varies around its mean like a Poisson variable. */
export const LATENCY_CRITICAL_HEADROOM_DEFAULTS: LatencyCriticalHeadroomParameters = {
    halfLifeMs: 40_000,
    marginFactor: 1.3,
};

/** Computes how many slots batch must leave free for latency-critical tasks to come, from their recent peak number. */
export class LatencyCriticalHeadroom {
    readonly #parameters: LatencyCriticalHeadroomParameters;
    readonly #used = zeroAmounts();
    #count = 0;
    #peakCount = 0;
    #updatedAtMs = Number.NEGATIVE_INFINITY;

    constructor(parameters: LatencyCriticalHeadroomParameters) {
        this.#parameters = parameters;
    }

    taskAdded(task: PlacedTask): void {
        if (task.workKind === WorkKind.LATENCY_CRITICAL) {
            this.#count += 1;
            addAmounts(this.#used, task.reserved);
            this.#peakCount = Math.max(this.#peakCount, this.#count);
        }
    }

    taskRemoved(task: PlacedTask): void {
        if (task.workKind === WorkKind.LATENCY_CRITICAL) {
            this.#count -= 1;
            addAmounts(this.#used, task.reserved, -1);
        }
    }

    /** Returns the number of slots to keep free. */
    slots(nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
        if (elapsedMs > 0) {
            const retainedRatio = Number.isFinite(elapsedMs) ? 2 ** (-elapsedMs / this.#parameters.halfLifeMs) : 1;
            this.#peakCount = this.#count + (this.#peakCount - this.#count) * retainedRatio;
            this.#updatedAtMs = nowMs;
        }
        return Math.ceil(this.#peakCount - this.#count + this.#parameters.marginFactor * Math.sqrt(this.#peakCount));
    }

    /** Returns the mean reservation of the running latency-critical tasks; zero if there are none. */
    meanReserved(): ResourceAmounts {
        const mean = zeroAmounts();
        if (this.#count > 0) {
            addAmounts(mean, this.#used, 1 / this.#count);
        }
        return mean;
    }
}

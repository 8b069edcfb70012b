import { DecayedQuantile } from "@waxwingspread/common";
import type { Resources } from "@waxwingspread/protocol";
import { RESOURCE_NAMES, toRoundedResources } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { ClassKey, ReservationPolicy } from "./types.js";

/** Parameters of the {@link ReservationEstimator}. */
export interface ReservationEstimatorParameters {
    /** Quantile of the observed usage that is reserved. */
    quantile: number;
    /** Margin for usage above the quantile, as a part of the quantile. */
    marginRatio: number;
    /** Lower bound on the reservation, as a part of the declared amount. */
    floorRatio: number;
    /** Number of observations after which an estimate replaces the declared amount. */
    minimumObservations: number;
    /** Weight of the declared run time in the mean, as a number of observations. */
    declaredRunTimeWeight: number;
}

/** Defaults; 95% of the observed usage fits into the reservation without its margin. */
export const RESERVATION_ESTIMATOR_DEFAULTS: ReservationEstimatorParameters = {
    quantile: 0.95,
    marginRatio: 0.1,
    floorRatio: 0.25,
    minimumObservations: 8,
    declaredRunTimeWeight: 3,
};

interface ClassUsage {
    cpuMillicores: DecayedQuantile;
    memoryMebibytes: DecayedQuantile;
    accelerators: DecayedQuantile;
    /** Last estimate. It is reused for a number of observations, since computing a quantile sorts the buckets. */
    cached: ResourceAmounts | undefined;
    observationsSinceCached: number;
}

interface ClassRunTime {
    weight: number;
    meanMs: number;
}

/** Number of observations for which a computed estimate is reused. */
const OBSERVATIONS_PER_ESTIMATE = 16;
/** Upper bound on the weight of earlier run times in the mean; beyond it, older ones decay exponentially. */
const MAXIMUM_RUN_TIME_WEIGHT = 64;

/** Derives reservations from observed usage rather than from declared amounts, which are often wrong. */
export class ReservationEstimator implements ReservationPolicy {
    readonly #parameters: ReservationEstimatorParameters;
    readonly #largestCapacity: () => ResourceAmounts | undefined;
    readonly #onRunTime: (classKey: ClassKey, runTimeMs: number) => void;
    readonly #usageByClass = new Map<ClassKey, ClassUsage>();
    readonly #runTimes = new Map<ClassKey, ClassRunTime>();

    /**
     * `largestCapacity` returns the largest amount of each resource on any backend server, or undefined while none is
     * known. `onRunTime` is called with each observed run time.
     */
    constructor(
        largestCapacity: () => ResourceAmounts | undefined,
        parameters: ReservationEstimatorParameters = RESERVATION_ESTIMATOR_DEFAULTS,
        onRunTime: (classKey: ClassKey, runTimeMs: number) => void = () => undefined,
    ) {
        this.#onRunTime = onRunTime;
        this.#largestCapacity = largestCapacity;
        this.#parameters = parameters;
    }

    observe(classKey: ClassKey, used: Resources): void {
        const usage = this.#getOrCreateUsage(classKey);
        for (const name of RESOURCE_NAMES) {
            usage[name].add(used[name]);
        }
        usage.observationsSinceCached += 1;
    }

    /**
     * Returns the declared amounts until there are enough observations of the class. They are not limited to the
     * capacity of a backend server, since a job of an unknown class that is larger than any must be refused.
     */
    reserve(classKey: ClassKey, declared: Resources): Resources {
        const usage = this.#usageByClass.get(classKey);
        if (usage === undefined || usage.cpuMillicores.weight < this.#parameters.minimumObservations) {
            return declared;
        }
        const estimate = this.#estimate(usage);
        const capacity = this.#largestCapacity();
        const reserved = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
        for (const name of RESOURCE_NAMES) {
            const floor = declared[name] * this.#parameters.floorRatio;
            reserved[name] = Math.min(Math.max(floor, estimate[name]), capacity?.[name] ?? Number.POSITIVE_INFINITY);
        }
        // Accelerators are allocated whole even if no usage was observed, and a job that needs more of them than any
        // backend server has must be refused. The declared number is therefore kept.
        reserved.accelerators = declared.accelerators;
        return toRoundedResources(reserved);
    }

    observeRunTime(classKey: ClassKey, runTimeMs: number): void {
        const known = this.#runTimes.get(classKey) ?? { weight: 0, meanMs: 0 };
        known.weight = Math.min(MAXIMUM_RUN_TIME_WEIGHT, known.weight + 1);
        known.meanMs += (runTimeMs - known.meanMs) / known.weight;
        this.#runTimes.set(classKey, known);
        this.#onRunTime(classKey, runTimeMs);
    }

    expectedRunTimeMs(classKey: ClassKey, declaredMs: number): number {
        const known = this.#runTimes.get(classKey);
        if (known === undefined) {
            return declaredMs;
        }
        const declaredWeight = declaredMs > 0 ? this.#parameters.declaredRunTimeWeight : 0;
        return (known.meanMs * known.weight + declaredMs * declaredWeight) / (known.weight + declaredWeight);
    }

    #estimate(usage: ClassUsage): ResourceAmounts {
        if (usage.cached !== undefined && usage.observationsSinceCached < OBSERVATIONS_PER_ESTIMATE) {
            return usage.cached;
        }
        const { quantile, marginRatio } = this.#parameters;
        const estimate = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
        for (const name of RESOURCE_NAMES) {
            estimate[name] = usage[name].quantile(quantile) * (1 + marginRatio);
        }
        usage.cached = estimate;
        usage.observationsSinceCached = 0;
        return estimate;
    }

    #getOrCreateUsage(classKey: ClassKey): ClassUsage {
        let usage = this.#usageByClass.get(classKey);
        if (usage === undefined) {
            usage = {
                cpuMillicores: new DecayedQuantile(),
                memoryMebibytes: new DecayedQuantile(),
                accelerators: new DecayedQuantile(),
                cached: undefined,
                observationsSinceCached: 0,
            };
            this.#usageByClass.set(classKey, usage);
        }
        return usage;
    }
}

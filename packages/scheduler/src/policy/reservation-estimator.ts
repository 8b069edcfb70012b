import type { Resources } from "@waxwingspread/protocol";
import { RESOURCE_NAMES, toResources } from "./amounts.js";
import type { Amounts } from "./amounts.js";
import { DecayedQuantile } from "./decayed-quantile.js";
import type { ClassKey, ReservationPolicy } from "./types.js";

/** Parameters of the {@link ReservationEstimator}. */
export interface ReservationEstimatorParameters {
    quantile: number;
    /** Added to the quantile for use above it. */
    marginRatio: number;
    /** Least part of the declared amount that is reserved, whatever was observed. */
    floorRatio: number;
    /** Observations before an estimate replaces the declared amount. */
    minimumObservations: number;
    /** Weight of the declared run time, in observations. */
    declaredRunTimeWeight: number;
}

/** Defaults; 95% of the observed use fits the reservation without its margin. */
export const RESERVATION_ESTIMATOR_DEFAULTS: ReservationEstimatorParameters = {
    quantile: 0.95,
    marginRatio: 0.1,
    floorRatio: 0.25,
    minimumObservations: 8,
    declaredRunTimeWeight: 3,
};

interface ClassUse {
    cpuMillicores: DecayedQuantile;
    memoryMebibytes: DecayedQuantile;
    accelerators: DecayedQuantile;
    /** Estimates are computed once per so many observations, since a quantile sorts the buckets. */
    cached: Amounts | undefined;
    observationsSinceCached: number;
}

interface ClassRunTime {
    weight: number;
    meanMs: number;
}

const CACHED_OBSERVATIONS = 16;
/** Weight at which older run times stop counting in full. */
const MAXIMUM_RUN_TIME_WEIGHT = 64;

/** Reserves by observed use instead of the declared amounts, which are often wrong. */
export class ReservationEstimator implements ReservationPolicy {
    readonly #parameters: ReservationEstimatorParameters;
    readonly #largestCapacity: () => Amounts | undefined;
    readonly #runTimeObserved: (classKey: ClassKey, runTimeMs: number) => void;
    readonly #use = new Map<ClassKey, ClassUse>();
    readonly #runTimes = new Map<ClassKey, ClassRunTime>();

    /**
     * `largestCapacity` returns the greatest amount of each resource on any backend server, if one is known;
     * `runTimeObserved` passes observed run times on to other policies.
     */
    constructor(
        largestCapacity: () => Amounts | undefined,
        parameters: ReservationEstimatorParameters = RESERVATION_ESTIMATOR_DEFAULTS,
        runTimeObserved: (classKey: ClassKey, runTimeMs: number) => void = () => undefined,
    ) {
        this.#runTimeObserved = runTimeObserved;
        this.#largestCapacity = largestCapacity;
        this.#parameters = parameters;
    }

    observe(classKey: ClassKey, used: Resources): void {
        const use = this.#useOf(classKey);
        for (const name of RESOURCE_NAMES) {
            use[name].add(used[name]);
        }
        use.observationsSinceCached += 1;
    }

    /**
     * Returns the declared amount until the class is known: an unknown job that is larger than any backend server
     * must be refused, not cut down to size.
     */
    reserve(classKey: ClassKey, declared: Resources): Resources {
        const use = this.#use.get(classKey);
        if (use === undefined || use.cpuMillicores.weight < this.#parameters.minimumObservations) {
            return declared;
        }
        const estimate = this.#estimate(use);
        const capacity = this.#largestCapacity();
        const reserved = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
        for (const name of RESOURCE_NAMES) {
            const floor = declared[name] * this.#parameters.floorRatio;
            reserved[name] = Math.min(Math.max(floor, estimate[name]), capacity?.[name] ?? Number.POSITIVE_INFINITY);
        }
        // An accelerator is held whole whether or not it was seen in use, and a job that needs more of them than any
        // backend server has must be refused.
        reserved.accelerators = declared.accelerators;
        return toResources(reserved);
    }

    observeRunTime(classKey: ClassKey, runTimeMs: number): void {
        const known = this.#runTimes.get(classKey) ?? { weight: 0, meanMs: 0 };
        known.weight = Math.min(MAXIMUM_RUN_TIME_WEIGHT, known.weight + 1);
        known.meanMs += (runTimeMs - known.meanMs) / known.weight;
        this.#runTimes.set(classKey, known);
        this.#runTimeObserved(classKey, runTimeMs);
    }

    expectedRunTimeMs(classKey: ClassKey, declaredMs: number): number {
        const known = this.#runTimes.get(classKey);
        if (known === undefined) {
            return declaredMs;
        }
        const declaredWeight = declaredMs > 0 ? this.#parameters.declaredRunTimeWeight : 0;
        return (known.meanMs * known.weight + declaredMs * declaredWeight) / (known.weight + declaredWeight);
    }

    #estimate(use: ClassUse): Amounts {
        if (use.cached !== undefined && use.observationsSinceCached < CACHED_OBSERVATIONS) {
            return use.cached;
        }
        const { quantile, marginRatio } = this.#parameters;
        const estimate = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };
        for (const name of RESOURCE_NAMES) {
            estimate[name] = use[name].quantile(quantile) * (1 + marginRatio);
        }
        use.cached = estimate;
        use.observationsSinceCached = 0;
        return estimate;
    }

    #useOf(classKey: ClassKey): ClassUse {
        let use = this.#use.get(classKey);
        if (use === undefined) {
            use = {
                cpuMillicores: new DecayedQuantile(),
                memoryMebibytes: new DecayedQuantile(),
                accelerators: new DecayedQuantile(),
                cached: undefined,
                observationsSinceCached: 0,
            };
            this.#use.set(classKey, use);
        }
        return use;
    }
}

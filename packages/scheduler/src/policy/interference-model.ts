import type { ClassKey } from "./types.js";

/** Class of a neighbour and its load relative to the usual load of that class (1 = usual). */
export interface NeighbourLoad {
    classKey: ClassKey;
    load: number;
}

/** Expected slowdown factor (1 = none) and its standard deviation. */
export interface ExpectedSlowdown {
    mean: number;
    uncertainty: number;
}

/** Provides the coefficients of the additive slowdown model, learned or known. */
export interface SlowdownSource {
    /** Slowdown that one neighbour of class `interfering` with a load of 1 adds to a task of class `affected`. */
    coefficient(affected: ClassKey, interfering: ClassKey, nowMs: number): number;
    /** Variance of that coefficient. */
    variance(affected: ClassKey, interfering: ClassKey, nowMs: number): number;
}

/** Parameters of the {@link InterferenceModel}. */
export interface InterferenceModelParameters {
    /** Coefficient assumed for a pair of classes without samples. */
    priorMean: number;
    /** Standard deviation of the coefficients over all pairs. */
    priorDeviation: number;
    /** Standard deviation of a single sample, relative to its slowdown factor. */
    noiseDeviation: number;
    /** Growth of a coefficient's variance per second, which lets the estimate follow drift. */
    driftVariancePerSecond: number;
    /** Time after which a coefficient without new samples has returned halfway to the prior mean. */
    forgettingHalfLifeMs: number;
}

/** Defaults: a neighbour slows a task by 6% on average; the standard deviation of a sample is 8% of the slowdown. */
export const INTERFERENCE_MODEL_DEFAULTS: InterferenceModelParameters = {
    priorMean: 0.06,
    priorDeviation: 0.12,
    noiseDeviation: 0.08,
    driftVariancePerSecond: 0.0002,
    forgettingHalfLifeMs: 600_000,
};

/** Upper bound on the slowdown of a sample. Higher values come from stalled tasks and would dominate the estimate. */
const MAXIMUM_SLOWDOWN = 8;
const MINIMUM_SPEED_RATIO = 1 / MAXIMUM_SLOWDOWN;
const MILLISECONDS_PER_SECOND = 1_000;

interface Coefficient {
    mean: number;
    variance: number;
    updatedAtMs: number;
}

/**
 * Learns how much a task of one class slows a task of another. Each pair of classes has a scalar Kalman filter; the
 * error of a sample is divided among the neighbours in proportion to the variance of their coefficients.
 */
export class InterferenceModel implements SlowdownSource {
    readonly #parameters: InterferenceModelParameters;
    readonly #pairs = new Map<ClassKey, Map<ClassKey, Coefficient>>();
    readonly #priorVariance: number;

    constructor(parameters: InterferenceModelParameters = INTERFERENCE_MODEL_DEFAULTS) {
        this.#parameters = parameters;
        this.#priorVariance = parameters.priorDeviation ** 2;
    }

    /** Updates the coefficients from a task's speed ratio and its neighbours at the time of the measurement. */
    learn(classKey: ClassKey, neighbours: readonly NeighbourLoad[], speedRatio: number, nowMs: number): void {
        const loads = new Map<ClassKey, number>();
        for (const neighbour of neighbours) {
            loads.set(neighbour.classKey, (loads.get(neighbour.classKey) ?? 0) + neighbour.load);
        }
        const slowdown = 1 / Math.max(MINIMUM_SPEED_RATIO, speedRatio);
        // The standard deviation of a sample is proportional to its slowdown.
        let innovationVariance = (this.#parameters.noiseDeviation * slowdown) ** 2;
        let error = slowdown - 1;
        for (const [interfering, load] of loads) {
            const coefficient = this.#updatedCoefficient(classKey, interfering, nowMs);
            error -= load * coefficient.mean;
            innovationVariance += load * load * coefficient.variance;
        }
        for (const [interfering, load] of loads) {
            const coefficient = this.#updatedCoefficient(classKey, interfering, nowMs);
            const gain = coefficient.variance * load / innovationVariance;
            coefficient.mean = Math.max(0, coefficient.mean + gain * error);
            coefficient.variance *= 1 - gain * load;
        }
    }

    coefficient(affected: ClassKey, interfering: ClassKey, nowMs: number): number {
        const known = this.#pairs.get(affected)?.get(interfering);
        const { priorMean } = this.#parameters;
        return known === undefined
            ? priorMean
            : priorMean + (known.mean - priorMean) * this.#retainedRatio(known, nowMs);
    }

    variance(affected: ClassKey, interfering: ClassKey, nowMs: number): number {
        const known = this.#pairs.get(affected)?.get(interfering);
        return known === undefined ? this.#priorVariance : this.#driftedVariance(known, nowMs);
    }

    #updatedCoefficient(affected: ClassKey, interfering: ClassKey, nowMs: number): Coefficient {
        let row = this.#pairs.get(affected);
        if (row === undefined) {
            row = new Map();
            this.#pairs.set(affected, row);
        }
        let coefficient = row.get(interfering);
        if (coefficient === undefined) {
            coefficient = { mean: this.#parameters.priorMean, variance: this.#priorVariance, updatedAtMs: nowMs };
            row.set(interfering, coefficient);
        }
        else if (coefficient.updatedAtMs < nowMs) {
            coefficient.mean = this.coefficient(affected, interfering, nowMs);
            coefficient.variance = this.#driftedVariance(coefficient, nowMs);
            coefficient.updatedAtMs = nowMs;
        }
        return coefficient;
    }

    #retainedRatio(coefficient: Coefficient, nowMs: number): number {
        const elapsedMs = Math.max(0, nowMs - coefficient.updatedAtMs);
        return this.#parameters.forgettingHalfLifeMs / (this.#parameters.forgettingHalfLifeMs + elapsedMs);
    }

    #driftedVariance(coefficient: Coefficient, nowMs: number): number {
        const elapsedSeconds = Math.max(0, nowMs - coefficient.updatedAtMs) / MILLISECONDS_PER_SECOND;
        const grownVariance = coefficient.variance + elapsedSeconds * this.#parameters.driftVariancePerSecond;
        return Math.min(this.#priorVariance, grownVariance);
    }
}

/** Returns the expected slowdown of a class beside the given neighbours: 1 plus the sum of their contributions. */
export const predictSlowdown = (
    source: SlowdownSource,
    classKey: ClassKey,
    neighbours: readonly NeighbourLoad[],
    nowMs: number,
): ExpectedSlowdown => {
    let mean = 1;
    let variance = 0;
    for (const neighbour of neighbours) {
        mean += neighbour.load * source.coefficient(classKey, neighbour.classKey, nowMs);
        variance += neighbour.load ** 2 * source.variance(classKey, neighbour.classKey, nowMs);
    }
    return { mean, uncertainty: Math.sqrt(variance) };
};

import { TaskKind } from "../model/specification.js";
import type { PressureTable } from "../state/events.js";
import { RidgeRegression } from "./ridge-regression.js";
import type { RunView, ServerView } from "./server-view.js";

/** Prior pressure of a pair of images that has not been observed on the same server. */
const PRIOR_PRESSURE = 1.8;
/** Strength of that prior, in squared shares of a server's CPU capacity. */
const PRIOR_STRENGTH = 0.02;
/** Strength of the prior for pressures that a former leader has learned, in the same unit. */
const INHERITED_PRIOR_STRENGTH = 0.2;
/** Standard deviation of the residual log tail latency, after the persistent part of the last residual is removed. */
const RESIDUAL_STANDARD_DEVIATION = 0.5;
/**
 * First-order autocorrelation of the residuals: the share of a residual that persists in the next observation. The own
 * load of a standing task changes over many seconds, so differences between observations reveal more about fillers
 * than the observations themselves.
 */
const RESIDUAL_AUTOCORRELATION = 0.85;
/** Tail latencies are measured over half a second; a shorter interval would count one measurement twice. */
const OBSERVATION_INTERVAL_MS = 450;
/** Observations further apart than this are treated as uncorrelated and are not compared. */
const MAX_OBSERVATION_GAP_MS = 1_000;
/** Bounds to which the ratio of a tail latency to its target is clamped. */
const MIN_TAIL_RATIO = 0.03;
const MAX_TAIL_RATIO = 10;
/** Upper bound on the filler images in the model of one standing image; further ones keep the prior. */
const MAX_FILLER_IMAGES = 40;
/** Pressures below this are within the estimation error and count as zero. */
const MIN_SIGNIFICANT_PRESSURE = 0.8;
/** Decay of past filler usage per observation; it is kept since a tail latency falls slowly after its cause ends. */
const USAGE_DECAY = 0.4;
/** Logarithm of the ratio of tail latency to target up to which a filler may start. */
const MAX_PLACEMENT_LOG_RATIO = Math.log(0.65);
/** Assumed logarithm of that ratio for a standing task that has not been measured. */
const UNMEASURED_LOG_RATIO = Math.log(0.5);
/** Time after which the measured tail latencies include the effect of a new filler. */
const MEASUREMENT_DELAY_MS = 700;
/** Minimum interval between two solutions of the regression. */
const REFRESH_INTERVAL_MS = 500;

/** CPU usage of the fillers beside a standing task, and the task's tail latency, at one time. */
interface Observation {
    atMs: number;
    /** Shares of the server's CPU capacity that fillers use, by image. */
    shares: ReadonlyMap<string, number>;
    /** Logarithm of the ratio of the tail latency to its target. */
    logRatio: number;
}

interface PressureEstimate {
    expected: number;
    /** Lower confidence bound of the pressure: one standard error below the estimate. */
    lowerBound: number;
}

/** Assumed logarithm of the ratio of a tail latency without fillers to its target. */
const BASE_LOG_RATIO = -1;
const BASE_CHANGE = BASE_LOG_RATIO * (1 - RESIDUAL_AUTOCORRELATION);

const PRIOR_ESTIMATE: PressureEstimate = { expected: PRIOR_PRESSURE, lowerBound: 0 };

/** Estimates the pressures of filler images on one standing image. */
class StandingImageModel {
    readonly #model = new RidgeRegression();
    readonly #positions = new Map<string, number>();
    readonly #pressures = new Map<string, PressureEstimate>();
    #refreshedAtMs = -Infinity;

    /** Initializes the priors with the pressures that a former leader has learned. */
    initialize(pressures: Readonly<Record<string, number>>): void {
        for (const [image, weight] of Object.entries(pressures)) {
            this.#positions.set(image, this.#model.addInput({ weight, strength: INHERITED_PRIOR_STRENGTH }));
        }
        this.refresh(0);
    }

    /** Updates the model with the change between two consecutive observations of one task. */
    observe(previous: Observation, current: Observation): void {
        const inputs: [number, number][] = [];
        for (const image of new Set([...previous.shares.keys(), ...current.shares.keys()])) {
            const position = this.#positionOf(image);
            const change = (current.shares.get(image) ?? 0)
                - RESIDUAL_AUTOCORRELATION * (previous.shares.get(image) ?? 0);
            if (position !== undefined && change !== 0) {
                inputs.push([position, change]);
            }
        }
        this.#model.observe(inputs, current.logRatio - RESIDUAL_AUTOCORRELATION * previous.logRatio - BASE_CHANGE);
    }

    pressureOf(image: string): PressureEstimate {
        return this.#pressures.get(image) ?? PRIOR_ESTIMATE;
    }

    /** Recomputes the pressures if the refresh interval has passed. */
    refresh(nowMs: number): void {
        if (nowMs - this.#refreshedAtMs < REFRESH_INTERVAL_MS) {
            return;
        }
        this.#refreshedAtMs = nowMs;
        const weights = this.#model.weights();
        this.#positions.forEach((position, image) => {
            const { weight, error } = weights[position] ?? { weight: PRIOR_PRESSURE, error: 0 };
            this.#pressures.set(image, {
                expected: zeroIfInsignificant(weight),
                lowerBound: zeroIfInsignificant(weight - RESIDUAL_STANDARD_DEVIATION * error),
            });
        });
    }

    get pressures(): Record<string, number> {
        return Object.fromEntries([...this.#pressures].map(([image, pressure]) => [image, pressure.expected]));
    }

    #positionOf(image: string): number | undefined {
        let position = this.#positions.get(image);
        if (position === undefined && this.#positions.size < MAX_FILLER_IMAGES) {
            position = this.#model.addInput({ weight: PRIOR_PRESSURE, strength: PRIOR_STRENGTH });
            this.#positions.set(image, position);
        }
        return position;
    }
}

/**
 * Learns online, by pair of images, how much a filler raises the tail latency of a standing task on the same server.
 * The pressure of a pair is the increase of the logarithm of the tail latency if the filler used the server's whole
 * CPU capacity; the increase is proportional to the share that the filler does use.
 */
export class PressureModel {
    readonly #models = new Map<string, StandingImageModel>();
    readonly #observedAtMs = new Map<string, number>();
    readonly #observations = new WeakMap<RunView, Observation>();
    /** Logarithm of the highest current ratio of tail latency to target, by server, then by standing image. */
    readonly #maxLogRatios = new Map<string, ReadonlyMap<string, number>>();
    /** Smoothed shares of the CPU capacity that fillers use, by server, then by image. */
    readonly #shares = new Map<string, Map<string, number>>();
    /** CPU capacity in millicores at the latest observation, by server. */
    readonly #observedCapacities = new Map<string, number>();

    constructor(inherited: PressureTable) {
        for (const [name, pressures] of Object.entries(inherited)) {
            this.#modelOf(name).initialize(pressures);
        }
    }

    /** Returns the estimated pressure of a filler image on a standing image; the prior for an unknown pair. */
    expectedPressure(standingImage: string, fillerImage: string): number {
        return (this.#models.get(standingImage)?.pressureOf(fillerImage) ?? PRIOR_ESTIMATE).expected;
    }

    /** Returns the lower confidence bound of the pressure; low for pairs with little data, so that they are tried. */
    minPressure(standingImage: string, fillerImage: string): number {
        return (this.#models.get(standingImage)?.pressureOf(fillerImage) ?? PRIOR_ESTIMATE).lowerBound;
    }

    /** Returns a lower bound on the largest increase of a log tail latency on the server by a filler at full speed. */
    logIncreaseBy(server: ServerView, image: string, cpuMillicores: number): number {
        let highest = 0;
        for (const standingImage of server.standingByImage.keys()) {
            highest = Math.max(highest, this.minPressure(standingImage, image));
        }
        return highest * server.cpuShareOf(cpuMillicores);
    }

    /**
     * Whether one more filler is expected to keep the tail latencies on a server within the placement limit, given the
     * current measurements and the fillers that have just started there.
     */
    canAddFiller(server: ServerView, image: string, cpuMillicores: number, nowMs: number): boolean {
        for (const standingImage of server.standingByImage.keys()) {
            const increase = this.minPressure(standingImage, image) * server.cpuShareOf(cpuMillicores);
            if (
                increase > 0
                && this.#recentIncrease(server, standingImage, nowMs) + increase > this.#margin(server, standingImage)
            ) {
                return false;
            }
        }
        return true;
    }

    /** Returns by how much the logarithm of the highest tail latency of an image on a server may increase. */
    #margin(server: ServerView, standingImage: string): number {
        const highest = this.#maxLogRatios.get(server.id)?.get(standingImage) ?? UNMEASURED_LOG_RATIO;
        return MAX_PLACEMENT_LOG_RATIO - highest;
    }

    /** Returns the increase by fillers that started too recently to show in the measured tail latencies. */
    #recentIncrease(server: ServerView, standingImage: string, nowMs: number): number {
        let increase = 0;
        for (const run of server.runs.values()) {
            const isRecent = nowMs - (run.firstReportedAtMs ?? nowMs) < MEASUREMENT_DELAY_MS;
            if (isRecent && run.kind === TaskKind.Filler) {
                const share = server.cpuShareOf(run.step.amounts.cpuMillicores) * (run.pacePercent / 100);
                increase += this.minPressure(standingImage, run.step.image) * share;
            }
        }
        return increase;
    }

    /** Updates the model with a server's current measurements, at most once per observation interval. */
    observe(server: ServerView, nowMs: number): void {
        if (nowMs - (this.#observedAtMs.get(server.id) ?? -Infinity) < OBSERVATION_INTERVAL_MS) {
            return;
        }
        this.#observedAtMs.set(server.id, nowMs);
        const shares = this.#observeShares(server);
        const maxLogRatios = new Map<string, number>();
        this.#maxLogRatios.set(server.id, maxLogRatios);
        for (const run of server.runs.values()) {
            const ratio = tailRatioOf(run);
            if (ratio !== undefined && ratio > 0) {
                const logRatio = Math.log(Math.min(MAX_TAIL_RATIO, Math.max(MIN_TAIL_RATIO, ratio)));
                const { image } = run.step;
                maxLogRatios.set(image, Math.max(logRatio, maxLogRatios.get(image) ?? -Infinity));
                if (shares === undefined) {
                    this.#observations.delete(run);
                }
                else {
                    this.#observeRun(run, { atMs: nowMs, shares, logRatio });
                }
            }
        }
    }

    /** Returns the shares that fillers use; undefined if the measured usage is not one of the present capacity. */
    #observeShares(server: ServerView): ReadonlyMap<string, number> | undefined {
        const { cpuMillicores } = server.capacity;
        const hasChanged = cpuMillicores !== (this.#observedCapacities.get(server.id) ?? cpuMillicores);
        this.#observedCapacities.set(server.id, cpuMillicores);
        if (hasChanged || cpuMillicores === 0) {
            this.#shares.delete(server.id);
            return undefined;
        }
        const shares = smoothShares(this.#shares.get(server.id), sharesByImage(server));
        this.#shares.set(server.id, shares);
        return shares;
    }

    #observeRun(run: RunView, current: Observation): void {
        const previous = this.#observations.get(run);
        this.#observations.set(run, current);
        if (previous !== undefined && current.atMs - previous.atMs <= MAX_OBSERVATION_GAP_MS) {
            const model = this.#modelOf(run.step.image);
            model.observe(previous, current);
            model.refresh(current.atMs);
        }
    }

    /** Discards the state of a removed server; the learned pressures stay. */
    forget(serverId: string): void {
        this.#observedAtMs.delete(serverId);
        this.#shares.delete(serverId);
        this.#observedCapacities.delete(serverId);
        this.#maxLogRatios.delete(serverId);
    }

    /**
     * Returns the share of the pressures on a standing image that would be new to a server: pressures of fillers that
     * affect the standing images already there less, or not at all. Undefined while no pressure on the image is known.
     */
    newPressureShare(server: ServerView, standingImage: string): number | undefined {
        const pressures = Object.entries(this.#models.get(standingImage)?.pressures ?? {});
        const total = pressures.reduce((sum, [, pressure]) => sum + pressure, 0);
        if (total === 0) {
            return undefined;
        }
        let added = 0;
        for (const [filler, pressure] of pressures) {
            const existing = [...server.standingByImage.keys()].map(image => this.expectedPressure(image, filler));
            added += Math.max(0, pressure - Math.max(0, ...existing));
        }
        return added / total;
    }

    /** Returns the learned pressures by standing image, then by filler image. */
    toTable(): PressureTable {
        return Object.fromEntries([...this.#models].map(([name, image]) => [name, image.pressures]));
    }

    #modelOf(name: string): StandingImageModel {
        let model = this.#models.get(name);
        if (model === undefined) {
            model = new StandingImageModel();
            this.#models.set(name, model);
        }
        return model;
    }
}

/** Returns the ratio of a standing task's tail latency to its target; undefined if it is not measured. */
export const tailRatioOf = (run: RunView): number | undefined => {
    const isMeasured = run.kind === TaskKind.Standing && run.measurement !== undefined && run.step.targetTailMs > 0;
    return isMeasured ? (run.measurement ?? 0) / run.step.targetTailMs : undefined;
};

/** Returns the highest ratio of tail latency to target on a server; undefined without a measured standing task. */
export const maxTailRatio = (server: ServerView): number | undefined => {
    const ratios = [...server.runs.values()].flatMap(run => tailRatioOf(run) ?? []);
    return ratios.length === 0 ? undefined : Math.max(...ratios);
};

const zeroIfInsignificant = (pressure: number): number => pressure < MIN_SIGNIFICANT_PRESSURE ? 0 : pressure;

const smoothShares = (
    previous: ReadonlyMap<string, number> | undefined,
    current: ReadonlyMap<string, number>,
): Map<string, number> => {
    const smoothed = new Map<string, number>();
    for (const image of new Set([...previous?.keys() ?? [], ...current.keys()])) {
        const previousShare = previous?.get(image) ?? 0;
        // An increase takes effect at once; only a decrease is smoothed.
        const share = Math.max(current.get(image) ?? 0, previousShare * (1 - USAGE_DECAY));
        if (share > 0.001) {
            smoothed.set(image, share);
        }
    }
    return smoothed;
};

const sharesByImage = (server: ServerView): Map<string, number> => {
    const shares = new Map<string, number>();
    for (const run of server.runs.values()) {
        const usedMillicores = run.kind === TaskKind.Filler ? run.measurement ?? 0 : 0;
        if (usedMillicores > 0) {
            const share = server.cpuShareOf(usedMillicores);
            shares.set(run.step.image, (shares.get(run.step.image) ?? 0) + share);
        }
    }
    return shares;
};

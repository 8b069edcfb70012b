import { TaskKind } from "../model/specification.js";
import type { PressureTable } from "../state/events.js";
import { RidgeRegression } from "./ridge-regression.js";
import type { RunView, ServerView } from "./server-view.js";

/** Prior pressure of a pair of images that has not been observed on the same server. */
const PRIOR_PRESSURE = 1.8;
/** Strength of that prior, in squared shares of a server's CPU capacity. */
const PRIOR_STRENGTH = 0.02;
/** Strength of the prior for pressures that a former leader has learned, in the same unit. */
const INHERITED_STRENGTH = 0.2;
/** Standard deviation of the residual log tail latency, after the persistent part of the last residual is removed. */
const OUTPUT_DEVIATION = 0.5;
/**
 * First-order autocorrelation of the residuals: the share of a residual that persists in the next observation. The own
 * load of a standing task changes over many seconds, so differences between observations reveal more about fillers
 * than the observations themselves.
 */
const PERSISTENCE = 0.85;
/** Tail latencies are measured over half a second; a shorter interval would count one measurement twice. */
const OBSERVE_INTERVAL_MS = 450;
/** Observations further apart than this are treated as uncorrelated and are not compared. */
const MAX_OBSERVE_GAP_MS = 1_000;
/** Bounds to which the ratio of a tail latency to its target is clamped. */
const MIN_RATIO = 0.03;
const MAX_RATIO = 10;
/** Upper bound on the filler images in the model of one standing image; further ones keep the prior. */
const MAX_IMAGES = 40;
/** Pressures below this are within the estimation error and count as zero. */
const MIN_PRESSURE = 0.8;
/** Decay of past filler usage per observation; it counts since a tail latency falls slowly after its cause ends. */
const USE_SMOOTHING = 0.4;
/** Logarithm of the ratio of tail latency to target up to which a filler may start. */
const PLACEMENT_LOG_RATIO = Math.log(0.65);
/** Assumed logarithm of that ratio for a standing task that has not been measured. */
const UNMEASURED_LOG_RATIO = Math.log(0.5);
/** Time after which the measured tail latencies include the effect of a new filler. */
const RECENT_MS = 700;
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

interface Pressure {
    expected: number;
    /** Lower confidence bound of the pressure: one standard error below the estimate. */
    atLeast: number;
}

/** Assumed logarithm of the ratio of a tail latency without fillers to its target. */
const BASE_LOG_RATIO = -1;
const BASE_CHANGE = BASE_LOG_RATIO * (1 - PERSISTENCE);

const UNKNOWN: Pressure = { expected: PRIOR_PRESSURE, atLeast: 0 };

/** Estimates the pressures of filler images on one standing image. */
class StandingImage {
    readonly #model = new RidgeRegression();
    readonly #positions = new Map<string, number>();
    readonly #pressures = new Map<string, Pressure>();
    #refreshedAtMs = -Infinity;

    /** Initializes the priors with the pressures that a former leader has learned. */
    inherit(pressures: Readonly<Record<string, number>>): void {
        for (const [image, weight] of Object.entries(pressures)) {
            this.#positions.set(image, this.#model.addInput({ weight, strength: INHERITED_STRENGTH }));
        }
        this.refresh(0);
    }

    /** Updates the model with the change between two consecutive observations of one task. */
    observe(former: Observation, present: Observation): void {
        const inputs: [number, number][] = [];
        for (const image of new Set([...former.shares.keys(), ...present.shares.keys()])) {
            const position = this.#positionOf(image);
            const change = (present.shares.get(image) ?? 0) - PERSISTENCE * (former.shares.get(image) ?? 0);
            if (position !== undefined && change !== 0) {
                inputs.push([position, change]);
            }
        }
        this.#model.observe(inputs, present.logRatio - PERSISTENCE * former.logRatio - BASE_CHANGE);
    }

    pressureOf(image: string): Pressure {
        return this.#pressures.get(image) ?? UNKNOWN;
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
                expected: significant(weight),
                atLeast: significant(weight - OUTPUT_DEVIATION * error),
            });
        });
    }

    get pressures(): Record<string, number> {
        return Object.fromEntries([...this.#pressures].map(([image, pressure]) => [image, pressure.expected]));
    }

    #positionOf(image: string): number | undefined {
        let position = this.#positions.get(image);
        if (position === undefined && this.#positions.size < MAX_IMAGES) {
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
export class PairPressure {
    readonly #images = new Map<string, StandingImage>();
    readonly #observedAtMs = new Map<string, number>();
    readonly #observations = new WeakMap<RunView, Observation>();
    /** Logarithm of the highest current ratio of tail latency to target, by server, then by standing image. */
    readonly #worstLogRatios = new Map<string, ReadonlyMap<string, number>>();
    /** Smoothed shares of the CPU capacity that fillers use, by server, then by image. */
    readonly #shares = new Map<string, Map<string, number>>();

    constructor(inherited: PressureTable) {
        for (const [name, pressures] of Object.entries(inherited)) {
            this.#imageOf(name).inherit(pressures);
        }
    }

    /** Returns the estimated pressure of a filler image on a standing image; the prior for an unknown pair. */
    expected(standingImage: string, fillerImage: string): number {
        return (this.#images.get(standingImage)?.pressureOf(fillerImage) ?? UNKNOWN).expected;
    }

    /** Returns the lower confidence bound of the pressure; low for pairs with little data, so that they are tried. */
    atLeast(standingImage: string, fillerImage: string): number {
        return (this.#images.get(standingImage)?.pressureOf(fillerImage) ?? UNKNOWN).atLeast;
    }

    /** Returns a lower bound of the increase of the log tail latency that a filler at full speed affects most. */
    riseBy(server: ServerView, image: string, cpuMillicores: number): number {
        let worst = 0;
        for (const standingImage of server.standingByImage.keys()) {
            worst = Math.max(worst, this.atLeast(standingImage, image));
        }
        return worst * server.shareOf(cpuMillicores);
    }

    /**
     * Whether one more filler is expected to keep the tail latencies on a server within the placement limit, given the
     * current measurements and the fillers that have just started there.
     */
    bears(server: ServerView, image: string, cpuMillicores: number, nowMs: number): boolean {
        for (const standingImage of server.standingByImage.keys()) {
            const rise = this.atLeast(standingImage, image) * server.shareOf(cpuMillicores);
            if (
                rise > 0 && this.#recentRise(server, standingImage, nowMs) + rise > this.#margin(server, standingImage)
            ) {
                return false;
            }
        }
        return true;
    }

    /** Returns by how much the logarithm of the highest tail latency of an image on a server may increase. */
    #margin(server: ServerView, standingImage: string): number {
        const worst = this.#worstLogRatios.get(server.id)?.get(standingImage) ?? UNMEASURED_LOG_RATIO;
        return PLACEMENT_LOG_RATIO - worst;
    }

    /** Returns the increase by fillers that started too recently to show in the measured tail latencies. */
    #recentRise(server: ServerView, standingImage: string, nowMs: number): number {
        let rise = 0;
        for (const run of server.runs.values()) {
            const isRecent = nowMs - (run.firstReportedAtMs ?? nowMs) < RECENT_MS;
            if (isRecent && run.kind === TaskKind.Filler) {
                const share = server.shareOf(run.step.amounts.cpuMillicores) * (run.pacePercent / 100);
                rise += this.atLeast(standingImage, run.step.image) * share;
            }
        }
        return rise;
    }

    /** Updates the model with a server's current measurements, at most once per observation interval. */
    observe(server: ServerView, nowMs: number): void {
        if (nowMs - (this.#observedAtMs.get(server.id) ?? -Infinity) < OBSERVE_INTERVAL_MS) {
            return;
        }
        this.#observedAtMs.set(server.id, nowMs);
        const shares = smooth(this.#shares.get(server.id), sharesByImage(server));
        this.#shares.set(server.id, shares);
        const worstLogRatios = new Map<string, number>();
        this.#worstLogRatios.set(server.id, worstLogRatios);
        for (const run of server.runs.values()) {
            const ratio = tailRatioOf(run);
            if (ratio !== undefined && ratio > 0) {
                const logRatio = Math.log(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
                const { image } = run.step;
                worstLogRatios.set(image, Math.max(logRatio, worstLogRatios.get(image) ?? -Infinity));
                this.#observeRun(run, { atMs: nowMs, shares, logRatio });
            }
        }
    }

    #observeRun(run: RunView, present: Observation): void {
        const former = this.#observations.get(run);
        this.#observations.set(run, present);
        if (former !== undefined && present.atMs - former.atMs <= MAX_OBSERVE_GAP_MS) {
            const image = this.#imageOf(run.step.image);
            image.observe(former, present);
            image.refresh(present.atMs);
        }
    }

    forget(serverId: string): void {
        this.#observedAtMs.delete(serverId);
        this.#shares.delete(serverId);
        this.#worstLogRatios.delete(serverId);
    }

    /**
     * Returns the share of the pressures on a standing image that would be new to a server: pressures of fillers that
     * affect the standing images already there less, or not at all. Undefined while no pressure on the image is known.
     */
    newShare(server: ServerView, standingImage: string): number | undefined {
        const pressures = Object.entries(this.#images.get(standingImage)?.pressures ?? {});
        const total = pressures.reduce((sum, [, pressure]) => sum + pressure, 0);
        if (total === 0) {
            return undefined;
        }
        let added = 0;
        for (const [filler, pressure] of pressures) {
            const others = [...server.standingByImage.keys()].map(image => this.expected(image, filler));
            added += Math.max(0, pressure - Math.max(0, ...others));
        }
        return added / total;
    }

    /** Returns the learned pressures by standing image, then by filler image. */
    toTable(): PressureTable {
        return Object.fromEntries([...this.#images].map(([name, image]) => [name, image.pressures]));
    }

    #imageOf(name: string): StandingImage {
        let image = this.#images.get(name);
        if (image === undefined) {
            image = new StandingImage();
            this.#images.set(name, image);
        }
        return image;
    }
}

/** Returns the ratio of a standing task's tail latency to its target; undefined if it is not measured. */
export const tailRatioOf = (run: RunView): number | undefined => {
    const isMeasured = run.kind === TaskKind.Standing && run.measurement !== undefined && run.step.targetTailMs > 0;
    return isMeasured ? (run.measurement ?? 0) / run.step.targetTailMs : undefined;
};

/** Returns the highest ratio of tail latency to target on a server; undefined without a measured standing task. */
export const worstTailRatio = (server: ServerView): number | undefined => {
    const ratios = [...server.runs.values()].flatMap(run => tailRatioOf(run) ?? []);
    return ratios.length === 0 ? undefined : Math.max(...ratios);
};

const significant = (pressure: number): number => pressure < MIN_PRESSURE ? 0 : pressure;

const smooth = (
    former: ReadonlyMap<string, number> | undefined,
    present: ReadonlyMap<string, number>,
): Map<string, number> => {
    const smoothed = new Map<string, number>();
    for (const image of new Set([...former?.keys() ?? [], ...present.keys()])) {
        const formerShare = former?.get(image) ?? 0;
        // An increase takes effect at once; only a decrease is smoothed.
        const share = Math.max(present.get(image) ?? 0, formerShare * (1 - USE_SMOOTHING));
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
            const share = usedMillicores / Math.max(1, server.capacity.cpuMillicores);
            shares.set(run.step.image, (shares.get(run.step.image) ?? 0) + share);
        }
    }
    return shares;
};

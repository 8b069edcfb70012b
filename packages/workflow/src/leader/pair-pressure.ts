import { TaskKind } from "../model/specification.js";
import type { PressureTable } from "../state/events.js";
import { LinearModel } from "./linear-model.js";
import type { RunView, ServerView } from "./server-view.js";

/** Pressure of a pair of images that has not been seen together. */
const PRIOR_PRESSURE = 1.8;
/** Strength of that prior, in squared shares of a server's processors. */
const PRIOR_STRENGTH = 0.02;
/** Strength of what a former leader has learned. */
const INHERITED_STRENGTH = 0.2;
/** Deviation of the logarithm of a tail from what is expected, after what persists of the last deviation. */
const OUTPUT_DEVIATION = 0.5;
/**
 * Share of a deviation that persists from one observation to the next: the own load of a standing task changes over
 * many seconds, so that changes between observations tell more about fillers than the observations themselves.
 */
const PERSISTENCE = 0.85;
/** Tails are measured over half a second; a shorter interval would count one measurement twice. */
const OBSERVE_INTERVAL_MS = 450;
/** Observations further apart don't share a deviation. */
const MAX_OBSERVE_GAP_MS = 1_000;
const MIN_RATIO = 0.03;
const MAX_RATIO = 10;
/** Filler images that one standing image is observed with; further ones keep the prior. */
const MAX_IMAGES = 40;
/** Pressures below this are within the error of what is learned and count as none. */
const MIN_PRESSURE = 0.8;
/** A tail falls back slowly after its cause has ended, so that use counts with the use before it. */
const USE_SMOOTHING = 0.4;
/** Logarithm of the ratio of tail to target up to which a filler may start. */
const PLACEMENT_LOG_RATIO = Math.log(0.65);
/** Assumed for a standing task that has not been measured. */
const UNMEASURED_LOG_RATIO = Math.log(0.5);
/** A filler's effect shows in the measured tails after this. */
const RECENT_MS = 700;
/** Weights are solved again after this long. */
const REFRESH_INTERVAL_MS = 500;

/** Use of fillers beside a standing task, and the task's tail, at one time. */
interface Observation {
    atMs: number;
    /** Shares of the server's processors that fillers use, by image. */
    shares: ReadonlyMap<string, number>;
    logRatio: number;
}

interface Pressure {
    expected: number;
    /** What the pressure is at least, within its error. */
    atLeast: number;
}

/** Logarithm of the ratio of a tail without fillers to its target. */
const BASE_LOG_RATIO = -1;
const BASE_CHANGE = BASE_LOG_RATIO * (1 - PERSISTENCE);

const UNKNOWN: Pressure = { expected: PRIOR_PRESSURE, atLeast: 0 };

class StandingImage {
    readonly #model = new LinearModel();
    readonly #positions = new Map<string, number>();
    readonly #pressures = new Map<string, Pressure>();
    #refreshedAtMs = -Infinity;

    /** Starts from what a former leader has learned. */
    inherit(pressures: Readonly<Record<string, number>>): void {
        for (const [image, weight] of Object.entries(pressures)) {
            this.#positions.set(image, this.#model.addInput({ weight, strength: INHERITED_STRENGTH }));
        }
        this.refresh(0);
    }

    /** Learns from the change between two observations of one task. */
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
 * Learns, by pair of images, how much a filler lengthens the tail of a standing task on the same server: the rise of
 * the logarithm of the tail for each share of the server's processors that the filler uses.
 */
export class PairPressure {
    readonly #images = new Map<string, StandingImage>();
    readonly #observedAtMs = new Map<string, number>();
    readonly #observations = new WeakMap<RunView, Observation>();
    /** Logarithm of the worst present tail over its target, by server, then by standing image. */
    readonly #worstLogRatios = new Map<string, ReadonlyMap<string, number>>();
    /** Smoothed shares of the processors that fillers use, by server, then by image. */
    readonly #shares = new Map<string, Map<string, number>>();

    constructor(inherited: PressureTable) {
        for (const [name, pressures] of Object.entries(inherited)) {
            this.#imageOf(name).inherit(pressures);
        }
    }

    /** Returns the expected pressure of a filler's image on a standing image. */
    expected(standingImage: string, fillerImage: string): number {
        return (this.#images.get(standingImage)?.pressureOf(fillerImage) ?? UNKNOWN).expected;
    }

    /** Returns what the pressure is at least; low for pairs that have hardly been seen, so that they are tried. */
    atLeast(standingImage: string, fillerImage: string): number {
        return (this.#images.get(standingImage)?.pressureOf(fillerImage) ?? UNKNOWN).atLeast;
    }

    /** Returns how far a filler at full speed raises the logarithm of the tail that it presses most, at least. */
    riseBy(server: ServerView, image: string, cpuMillicores: number): number {
        let worst = 0;
        for (const standingImage of server.standingByImage.keys()) {
            worst = Math.max(worst, this.atLeast(standingImage, image));
        }
        return worst * server.shareOf(cpuMillicores);
    }

    /**
     * Returns whether the tails on a server, as they are now and with the fillers that have just begun there, bear one
     * more filler.
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

    /** Returns how far the logarithm of the worst tail of an image on a server may rise. */
    #margin(server: ServerView, standingImage: string): number {
        const worst = this.#worstLogRatios.get(server.id)?.get(standingImage) ?? UNMEASURED_LOG_RATIO;
        return PLACEMENT_LOG_RATIO - worst;
    }

    /** Returns the rise by fillers that began too recently for the measured tails to show it. */
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

    /** Learns from a server's present measurements. */
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
     * Returns which share of the pressures on a standing image would be new to a server, so that fillers which now
     * press on no task there would; undefined while nothing is known of the image.
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

    /** Learned pressures by standing image, then by filler image. */
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

/** Returns a standing task's tail over its target; undefined where it isn't measured. */
export const tailRatioOf = (run: RunView): number | undefined => {
    const isMeasured = run.kind === TaskKind.Standing && run.measurement !== undefined && run.step.targetTailMs > 0;
    return isMeasured ? (run.measurement ?? 0) / run.step.targetTailMs : undefined;
};

/** Returns the worst ratio of tail to target on a server; undefined without a measured standing task. */
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
        // A rise acts at once.
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

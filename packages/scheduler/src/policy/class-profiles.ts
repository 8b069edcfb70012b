import type { ClassKey } from "./types.js";

/** Ratio of target to run time assumed while either is unknown. */
const UNKNOWN_SLACK_RATIO = 2.5;
/** Least ratio that is used, for classes whose target is shorter than their run time. */
const MINIMUM_SLACK_RATIO = 1.05;

/** Weight of the newest measured slowdown. */
const SLOWDOWN_SMOOTHING = 0.02;

/** Latency targets and run times of classes, as other policies have seen them. */
export class ClassProfiles {
    readonly #targetsMs = new Map<ClassKey, number>();
    readonly #meanSlowdowns = new Map<ClassKey, number>();
    readonly #expectedRunTimeMs: (classKey: ClassKey) => number | undefined;

    constructor(expectedRunTimeMs: (classKey: ClassKey) => number | undefined) {
        this.#expectedRunTimeMs = expectedRunTimeMs;
    }

    noteTarget(classKey: ClassKey, latencyTargetMs: number): void {
        if (latencyTargetMs > 0) {
            this.#targetsMs.set(classKey, latencyTargetMs);
        }
    }

    /** Observed run times include the slowdown, which is removed by its mean. */
    noteSlowdown(classKey: ClassKey, slowdown: number): void {
        const mean = this.#meanSlowdowns.get(classKey) ?? 1;
        this.#meanSlowdowns.set(classKey, mean + (slowdown - mean) * SLOWDOWN_SMOOTHING);
    }

    /** Slowdown at which a class misses its target without any waiting. */
    slackRatio(classKey: ClassKey): number {
        const targetMs = this.#targetsMs.get(classKey);
        const runTimeMs = this.#expectedRunTimeMs(classKey);
        if (targetMs === undefined || runTimeMs === undefined || runTimeMs <= 0) {
            return UNKNOWN_SLACK_RATIO;
        }
        return Math.max(MINIMUM_SLACK_RATIO, targetMs * (this.#meanSlowdowns.get(classKey) ?? 1) / runTimeMs);
    }
}

import type { ClassKey } from "./types.js";

/** Ratio of target to run time assumed while either is unknown. */
const UNKNOWN_SLACK_RATIO = 2.5;
/** Least ratio that is used, for classes whose target is shorter than their run time. */
const MINIMUM_SLACK_RATIO = 1.05;
/** Weight of the newest measured slowdown. */
const SLOWDOWN_SMOOTHING = 0.02;
/** Weight at which older run times stop counting in full. */
const MAXIMUM_RUN_TIME_WEIGHT = 64;

interface ClassProfile {
    targetMs: number | undefined;
    meanSlowdown: number;
    /** Mean run time on an idle VM. */
    idleRunTimeMs: number;
    runTimeWeight: number;
    slackRatio: number;
}

/** Latency targets and undisturbed run times of classes, as other policies have seen them. */
export class ClassProfiles {
    readonly #profiles = new Map<ClassKey, ClassProfile>();

    noteTarget(classKey: ClassKey, latencyTargetMs: number): void {
        const profile = this.#profileOf(classKey);
        if (latencyTargetMs > 0 && profile.targetMs !== latencyTargetMs) {
            profile.targetMs = latencyTargetMs;
            updateSlackRatio(profile);
        }
    }

    noteSlowdown(classKey: ClassKey, slowdown: number): void {
        const profile = this.#profileOf(classKey);
        profile.meanSlowdown += (slowdown - profile.meanSlowdown) * SLOWDOWN_SMOOTHING;
    }

    /**
     * Removes the mean slowdown from an observed run time at once. Keeping the two apart would raise the estimated
     * room of a class whose requests stall, since slow ones are measured but don't end.
     */
    noteRunTime(classKey: ClassKey, runTimeMs: number): void {
        const profile = this.#profileOf(classKey);
        profile.runTimeWeight = Math.min(MAXIMUM_RUN_TIME_WEIGHT, profile.runTimeWeight + 1);
        profile.idleRunTimeMs += (runTimeMs / profile.meanSlowdown - profile.idleRunTimeMs) / profile.runTimeWeight;
        updateSlackRatio(profile);
    }

    /** Slowdown at which a class misses its target without any waiting. */
    slackRatio(classKey: ClassKey): number {
        return this.#profiles.get(classKey)?.slackRatio ?? UNKNOWN_SLACK_RATIO;
    }

    #profileOf(classKey: ClassKey): ClassProfile {
        let profile = this.#profiles.get(classKey);
        if (profile === undefined) {
            profile = {
                targetMs: undefined,
                meanSlowdown: 1,
                idleRunTimeMs: 0,
                runTimeWeight: 0,
                slackRatio: UNKNOWN_SLACK_RATIO,
            };
            this.#profiles.set(classKey, profile);
        }
        return profile;
    }
}

const updateSlackRatio = (profile: ClassProfile): void => {
    if (profile.targetMs !== undefined && profile.idleRunTimeMs > 0) {
        profile.slackRatio = Math.max(MINIMUM_SLACK_RATIO, profile.targetMs / profile.idleRunTimeMs);
    }
};

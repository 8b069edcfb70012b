import type { ClassKey } from "./types.js";

/** Ratio of latency target to run time that is assumed while either is unknown. */
const UNKNOWN_SLACK_RATIO = 2.5;
/** Lower bound on the ratio, for classes whose target is shorter than their run time. */
const MINIMUM_SLACK_RATIO = 1.05;
/** Weight of the newest slowdown in the moving average. */
const SLOWDOWN_SMOOTHING = 0.02;
/** Upper bound on the weight of earlier run times in the mean; beyond it, older ones decay exponentially. */
const MAXIMUM_RUN_TIME_WEIGHT = 64;

interface ClassProfile {
    targetMs: number | undefined;
    meanSlowdown: number;
    /** Estimated mean run time on an idle VM. */
    idleRunTimeMs: number;
    runTimeWeight: number;
    slackRatio: number;
}

/** Latency target, mean slowdown and interference-free run time of each class, reported by other policies. */
export class ClassProfiles {
    readonly #profiles = new Map<ClassKey, ClassProfile>();

    setTarget(classKey: ClassKey, latencyTargetMs: number): void {
        const profile = this.#getOrCreateProfile(classKey);
        if (latencyTargetMs > 0 && profile.targetMs !== latencyTargetMs) {
            profile.targetMs = latencyTargetMs;
            updateSlackRatio(profile);
        }
    }

    recordSlowdown(classKey: ClassKey, slowdown: number): void {
        const profile = this.#getOrCreateProfile(classKey);
        profile.meanSlowdown += (slowdown - profile.meanSlowdown) * SLOWDOWN_SMOOTHING;
    }

    /**
     * Divides an observed run time by the current mean slowdown before averaging it. With separate averages, the
     * estimated slack of a class whose requests stall would grow, since stalled requests add slowdown samples but no
     * run times.
     */
    recordRunTime(classKey: ClassKey, runTimeMs: number): void {
        const profile = this.#getOrCreateProfile(classKey);
        profile.runTimeWeight = Math.min(MAXIMUM_RUN_TIME_WEIGHT, profile.runTimeWeight + 1);
        profile.idleRunTimeMs += (runTimeMs / profile.meanSlowdown - profile.idleRunTimeMs) / profile.runTimeWeight;
        updateSlackRatio(profile);
    }

    /** Slowdown factor at which a task of the class misses its latency target even if it never waits in a queue. */
    slackRatio(classKey: ClassKey): number {
        return this.#profiles.get(classKey)?.slackRatio ?? UNKNOWN_SLACK_RATIO;
    }

    #getOrCreateProfile(classKey: ClassKey): ClassProfile {
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

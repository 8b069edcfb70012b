import type { SeededRandom } from "@waxwingspread/common";
import { createPolicies } from "./policy/create-policies.js";
import type { PolicySet } from "./policy/types.js";

/** Timing and bounds of the scheduler. */
export interface SchedulerSettings {
    createPolicies: (random: SeededRandom) => PolicySet;
    /** Time after the decision within which a backend server accepts a start, by its own clock. */
    startWindowMs: number;
    /** Length of the leases of a backend server's tasks, by its own clock. */
    leaseMs: number;
    /** Added to the lease, with the bound on the clock rate, before it counts as expired. */
    leaseMarginMs: number;
    /** Greatest relative error of any clock's rate. */
    clockRateErrorRatio: number;
    /** A backend server that was not heard from for this long receives no new work. */
    silentAfterMs: number;
    /** A backend server that was not heard from for this long is forgotten once it holds nothing. */
    removeSilentAfterMs: number;
    /** Silence of an incarnation that holds no work after which another one replaces it without a proof of life. */
    incarnationQuietMs: number;
    /** An order is repeated when its effect was not observed for this long. */
    resendMs: number;
    /** Interval of repetitions after the first few. */
    slowResendMs: number;
    /** Entries that have not polled for this long receive no orders. */
    entryTimeoutMs: number;
    /** Time during which an outcome is offered to the entries that wait for it. */
    outcomeOfferMs: number;
    /** Ended jobs are kept at least this long. */
    minimumRetentionMs: number;
    /** Ended jobs of customers without a retention are kept this long. */
    defaultRetentionMs: number;
    /** Healthy backend servers on which a job may fail. */
    failuresBeforeGivingUp: number;
    /** Delay of a retry whose customer has spent the retry budget. */
    exhaustedRetryDelayMs: number;
    /** Interval at which interference is evaluated and quotas are reclaimed. */
    mitigationIntervalMs: number;
    /** Queued jobs tried in one round of placement. */
    placementsPerRound: number;
    /** Preemptions decided in one round of placement. */
    preemptionsPerRound: number;
    /** Drain time of a zone whose command names none. */
    defaultDrainMs: number;
}

export const defaultSchedulerSettings: SchedulerSettings = {
    createPolicies: random => createPolicies({ random }),
    startWindowMs: 1_000,
    leaseMs: 10_000,
    leaseMarginMs: 500,
    clockRateErrorRatio: 0.01,
    silentAfterMs: 3_000,
    removeSilentAfterMs: 300_000,
    incarnationQuietMs: 1_500,
    resendMs: 300,
    slowResendMs: 1_000,
    entryTimeoutMs: 1_500,
    outcomeOfferMs: 5_000,
    minimumRetentionMs: 900_000,
    defaultRetentionMs: 86_400_000,
    failuresBeforeGivingUp: 3,
    exhaustedRetryDelayMs: 30_000,
    mitigationIntervalMs: 250,
    placementsPerRound: 128,
    preemptionsPerRound: 16,
    defaultDrainMs: 60_000,
};

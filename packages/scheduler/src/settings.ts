import type { SeededRandom } from "@waxwingspread/common";
import { createPolicies } from "./policy/create-policies.js";
import type { PolicySet } from "./policy/types.js";

/** Timeouts, intervals and limits of the scheduler, and the factory of its policies. */
export interface SchedulerSettings {
    createPolicies: (random: SeededRandom) => PolicySet;
    /** Time after a placement decision during which a backend server accepts the start, by the server's clock. */
    startWindowMs: number;
    /** Duration of the leases of a backend server's tasks, by the server's clock. */
    leaseMs: number;
    /** Safety margin after which a lease counts as expired, in addition to the bound on the clock rate error. */
    leaseMarginMs: number;
    /** Upper bound of the relative error of any clock's rate. */
    clockRateErrorRatio: number;
    /** Time without an announcement after which a backend server receives no new work. */
    silentAfterMs: number;
    /** Time without an announcement after which a backend server is removed, once it holds no work. */
    removeSilentAfterMs: number;
    /**
     * Time without an announcement after which an incarnation that holds no work may be replaced by another one that
     * has not proved by a returned token that it is running.
     */
    incarnationSilenceMs: number;
    /** Time after which an order is sent again if its effect has not been observed. */
    resendMs: number;
    /** Resend interval after the first few resends. */
    slowResendMs: number;
    /** Time since its last poll after which an entry receives no orders. */
    entryTimeoutMs: number;
    /** Time after a job's end during which its outcome is sent to the entries that wait for it. */
    outcomeOfferMs: number;
    /** Retention of ended jobs whose answer was acknowledged, unless their regular retention is shorter. */
    acknowledgedRetentionMs: number;
    /** Retention of ended jobs if the customer's contract specifies none. */
    defaultRetentionMs: number;
    /** Number of healthy backend servers on which a job must fail before it ends as failed. */
    failedServersLimit: number;
    /** Added to the retry delay after a lost attempt if the customer's retry budget is exhausted. */
    exhaustedRetryDelayMs: number;
    /** Interval at which interference is evaluated and quotas are reclaimed. */
    mitigationIntervalMs: number;
    /** Maximum number of queued jobs tried in one placement round. */
    placementsPerRound: number;
    /** Maximum number of preemptions in one placement round. */
    preemptionsPerRound: number;
    /** Drain time of a zone if the operator's command specifies none. */
    defaultDrainMs: number;
}

/** Settings that apply unless a caller overrides them. */
export const defaultSchedulerSettings: SchedulerSettings = {
    createPolicies: random => createPolicies({ random }),
    startWindowMs: 1_000,
    leaseMs: 10_000,
    leaseMarginMs: 500,
    clockRateErrorRatio: 0.01,
    silentAfterMs: 3_000,
    removeSilentAfterMs: 300_000,
    incarnationSilenceMs: 1_500,
    resendMs: 300,
    slowResendMs: 1_000,
    entryTimeoutMs: 1_500,
    outcomeOfferMs: 5_000,
    acknowledgedRetentionMs: 900_000,
    defaultRetentionMs: 86_400_000,
    failedServersLimit: 3,
    exhaustedRetryDelayMs: 30_000,
    mitigationIntervalMs: 250,
    placementsPerRound: 128,
    preemptionsPerRound: 16,
    defaultDrainMs: 60_000,
};

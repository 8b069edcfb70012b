import type { PolicyParameters } from "@waxwingspread/scheduler";

/**
 * The first committed values of the policy parameters. The variant `previous` runs the current code with them, because
 * there is no earlier release to compare with yet.
 */
export const PREVIOUS_PARAMETERS: PolicyParameters = {
    placement: {
        maximumCandidates: 16,
        maximumProbes: 64,
        batchCostLimit: 1,
        headroom: { halfLifeMs: 60_000, marginFactor: 1 },
    },
    cost: {
        urgentWeight: 1,
        targetWeight: 12,
        riskRatio: 0.7,
        standingWeight: 0.1,
        cautionFactor: 0.5,
        packingWeight: 0.05,
        spreadWeight: 4,
    },
    model: {
        priorMean: 0.06,
        priorDeviation: 0.12,
        noiseDeviation: 0.08,
        driftVariancePerSecond: 0.00002,
        forgettingHalfLifeMs: 600_000,
    },
    history: { retentionMs: 15_000 },
    mitigator: {
        enterRatio: 0.9,
        exitRatio: 0.7,
        minimumSamples: 3,
        windowMs: 6_000,
        settleMs: 500,
        holdMs: 10_000,
        evictAfterMs: 8_000,
        minimumContribution: 0.08,
        evictionsPerSecond: 0.2,
        evictionBurst: 2,
    },
    overuse: { memoryRatio: 1.5, reports: 3 },
    reservation: {
        quantile: 0.95,
        marginRatio: 0.1,
        floorRatio: 0.25,
        minimumObservations: 8,
        declaredRunTimeWeight: 3,
    },
    fairShare: { rotationRatio: 0.25, reclaim: { graceMs: 1_000, claimMs: 10_000, repeatMs: 60_000 } },
    retry: { firstDelayMs: 250, maximumDelayMs: 30_000, jitterRatio: 0.5 },
    health: {
        failuresToQuarantine: 3,
        failuresWhileRecovering: 2,
        maximumQuarantinedRatio: 0.2,
        firstQuarantineMs: 10_000,
        maximumQuarantineMs: 600_000,
        recoverySlotRatios: [0.25, 0.5],
        successesPerStep: 2,
    },
    zone: {
        stopsPerSecond: 8,
        maximumStopsPerSecond: 32,
        latencyCriticalGraceMs: 2_000,
        returnMs: 30_000,
        firstFillRatio: 0.2,
        patienceRatio: 0.7,
    },
};

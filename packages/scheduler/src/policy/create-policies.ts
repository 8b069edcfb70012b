import type { SeededRandom } from "@waxwingspread/common";
import type { ResourceAmounts } from "../state/resources.js";
import { AdmissionControl } from "./admission-control.js";
import { ClassProfiles } from "./class-profiles.js";
import { FAIR_SHARE_DEFAULTS, FairShareQueue } from "./fair-share-queue.js";
import type { FairShareParameters } from "./fair-share-queue.js";
import { HEALTH_TRACKER_DEFAULTS, HealthTracker } from "./health-tracker.js";
import type { HealthTrackerParameters } from "./health-tracker.js";
import { InterferenceControl } from "./interference-control.js";
import { INTERFERENCE_MODEL_DEFAULTS, InterferenceModel } from "./interference-model.js";
import type { InterferenceModelParameters, SlowdownSource } from "./interference-model.js";
import { MITIGATOR_DEFAULTS } from "./mitigator.js";
import type { MitigatorParameters } from "./mitigator.js";
import { OCCUPANCY_HISTORY_DEFAULTS, OccupancyHistory } from "./occupancy-history.js";
import type { OccupancyHistoryParameters } from "./occupancy-history.js";
import { OVERUSE_DEFAULTS } from "./overuse-tracker.js";
import type { OveruseParameters } from "./overuse-tracker.js";
import { PLACEMENT_COST_DEFAULTS, PlacementCost } from "./placement-cost.js";
import type { PlacementCostParameters } from "./placement-cost.js";
import { PLACEMENT_INDEX_DEFAULTS, PlacementIndex } from "./placement-index.js";
import type { PlacementIndexParameters } from "./placement-index.js";
import { RESERVATION_ESTIMATOR_DEFAULTS, ReservationEstimator } from "./reservation-estimator.js";
import type { ReservationEstimatorParameters } from "./reservation-estimator.js";
import { RETRY_BACKOFF_DEFAULTS, RetryBackoff } from "./retry-backoff.js";
import type { RetryBackoffParameters } from "./retry-backoff.js";
import { TaskLoads } from "./task-loads.js";
import type { ClassKey, PolicySet } from "./types.js";
import { ZONE_DRAINER_DEFAULTS, ZoneDrainer } from "./zone-drainer.js";
import type { ZoneDrainerParameters } from "./zone-drainer.js";

export type { SlowdownSource } from "./interference-model.js";

/** Parameters of the policies that {@link createPolicies} builds. */
export interface PolicyParameters {
    placement: PlacementIndexParameters;
    cost: PlacementCostParameters;
    model: InterferenceModelParameters;
    history: OccupancyHistoryParameters;
    mitigator: MitigatorParameters;
    overuse: OveruseParameters;
    reservation: ReservationEstimatorParameters;
    fairShare: FairShareParameters;
    retry: RetryBackoffParameters;
    health: HealthTrackerParameters;
    zone: ZoneDrainerParameters;
}

/** Parameters that apply unless {@link PolicyOptions} replaces them. */
export const POLICY_DEFAULTS: PolicyParameters = {
    placement: PLACEMENT_INDEX_DEFAULTS,
    cost: PLACEMENT_COST_DEFAULTS,
    model: INTERFERENCE_MODEL_DEFAULTS,
    history: OCCUPANCY_HISTORY_DEFAULTS,
    mitigator: MITIGATOR_DEFAULTS,
    overuse: OVERUSE_DEFAULTS,
    reservation: RESERVATION_ESTIMATOR_DEFAULTS,
    fairShare: FAIR_SHARE_DEFAULTS,
    retry: RETRY_BACKOFF_DEFAULTS,
    health: HEALTH_TRACKER_DEFAULTS,
    zone: ZONE_DRAINER_DEFAULTS,
};

/** Options of {@link createPolicies}. */
export interface PolicyOptions {
    random: SeededRandom;
    /** Replaces the defaults of individual policies. */
    parameters?: Partial<PolicyParameters>;
    /** Known slowdowns to use instead of learned ones; benchmarks use them to measure the upper bound. */
    knownSlowdowns?: SlowdownSource;
}

/** Builds the policies of one scheduler and connects those that depend on each other. */
export const createPolicies = (options: PolicyOptions): PolicySet => {
    const parameters = { ...POLICY_DEFAULTS, ...options.parameters };
    const largestCapacity = (): ResourceAmounts | undefined => placement.largestCapacity;
    const profiles = new ClassProfiles();
    const reservation = new ReservationEstimator(
        largestCapacity,
        parameters.reservation,
        (classKey, runTimeMs) => profiles.recordRunTime(classKey, runTimeMs),
    );
    const observedRunTimeMs = (classKey: ClassKey): number | undefined => {
        const runTimeMs = reservation.expectedRunTimeMs(classKey, 0);
        return runTimeMs > 0 ? runTimeMs : undefined;
    };
    const model = options.knownSlowdowns === undefined ? new InterferenceModel(parameters.model) : undefined;
    const source = options.knownSlowdowns ?? model ?? new InterferenceModel(parameters.model);
    const loads = new TaskLoads();
    const cost = new PlacementCost(source, profiles, loads, parameters.cost);
    const placement = new PlacementIndex(cost, profiles, parameters.placement);
    const fairShare = new FairShareQueue(parameters.fairShare);
    return {
        placement,
        interference: new InterferenceControl({
            source,
            model,
            history: new OccupancyHistory(parameters.history),
            loads,
            profiles,
            mitigator: parameters.mitigator,
            overuse: parameters.overuse,
        }),
        reservation,
        fairShare,
        admission: new AdmissionControl({
            couldEverFit: reserved => placement.couldEverFit(reserved),
            queuedCount: customer => fairShare.queuedCount(customer),
            expectedRunTimeMs: (classKey, declaredMs) => reservation.expectedRunTimeMs(classKey, declaredMs),
        }),
        retry: new RetryBackoff(options.random, parameters.retry),
        health: new HealthTracker(parameters.health),
        zone: new ZoneDrainer(observedRunTimeMs, parameters.zone),
    };
};

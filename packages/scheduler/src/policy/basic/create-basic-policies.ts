import type { SeededRandom } from "@waxwingspread/common";
import type { PolicySet } from "../types.js";
import { BasicAdmissionPolicy } from "./admission-policy.js";
import { BasicFairSharePolicy } from "./fair-share-policy.js";
import { BasicHealthPolicy } from "./health-policy.js";
import { BasicInterferencePolicy } from "./interference-policy.js";
import { BasicPlacement, BasicPlacementPolicy } from "./placement-policy.js";
import { BasicReservationPolicy } from "./reservation-policy.js";
import { BasicRetryPolicy } from "./retry-policy.js";
import { BasicZonePolicy } from "./zone-policy.js";

/** Creates the simplest correct policies, for use as a baseline and in tests. */
export const createBasicPolicies = (
    random: SeededRandom,
    placement: BasicPlacement = BasicPlacement.LeastLoaded,
): PolicySet => ({
    placement: new BasicPlacementPolicy(placement),
    interference: new BasicInterferencePolicy(),
    reservation: new BasicReservationPolicy(),
    fairShare: new BasicFairSharePolicy(),
    admission: new BasicAdmissionPolicy(),
    retry: new BasicRetryPolicy(random),
    health: new BasicHealthPolicy(),
    zone: new BasicZonePolicy(),
});

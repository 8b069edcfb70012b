import { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import { BasicInterferencePolicy, createPolicies } from "@waxwingspread/scheduler";
import type { PolicyParameters, PolicySet } from "@waxwingspread/scheduler";
import { LeastLoadedPlacement } from "./baselines.js";
import type { Deployment } from "./deployments.js";
import { PREVIOUS_PARAMETERS } from "./previous-parameters.js";
import { serverIdOf } from "./registration.js";
import type { TrueSlowdowns } from "./true-slowdowns.js";

/** Creates the policies of a variant for one run. */
export type VariantBuilder = (
    deployment: Deployment,
    slowdowns: TrueSlowdowns,
    seed: number,
    parameters: Partial<PolicyParameters>,
) => PolicySet;

const withLeastLoaded = (
    seed: number,
    reservedSlotRatio: number,
    permits: (backendServerId: string, workKind: WorkKind) => boolean,
): PolicySet => ({
    ...createPolicies({ random: new SeededRandom(seed) }),
    placement: new LeastLoadedPlacement(permits, reservedSlotRatio),
    interference: new BasicInterferencePolicy(),
});

/** Without these free slots, `leastLoaded` fills every slot with batch tasks and preempts for almost every request. */
const RESERVED_SLOT_RATIO = 0.1;

const selectLatencyCriticalServers = (deployment: Deployment): Set<string> => {
    const ids = new Set<string>();
    for (let index = 0; index < deployment.servers; index += 1) {
        // Consecutive servers are in different zones, so that the share is the same in each zone.
        const position = Math.floor(index / deployment.zones.length);
        if (
            position < Math.round(deployment.latencyCriticalServerRatio * deployment.servers / deployment.zones.length)
        ) {
            ids.add(serverIdOf(index));
        }
    }
    return ids;
};

/** Policy variants to compare, by name. */
export const VARIANTS: Record<string, VariantBuilder> = {
    current: (deployment, slowdowns, seed, parameters) =>
        createPolicies({ random: new SeededRandom(seed), parameters }),
    previous: (deployment, slowdowns, seed) =>
        createPolicies({ random: new SeededRandom(seed), parameters: PREVIOUS_PARAMETERS }),
    leastLoaded: (deployment, slowdowns, seed) => withLeastLoaded(seed, RESERVED_SLOT_RATIO, () => true),
    staticSplit: (deployment, slowdowns, seed) => {
        const serverIds = selectLatencyCriticalServers(deployment);
        return withLeastLoaded(seed, 0, (id, workKind) => serverIds.has(id) === (workKind !== WorkKind.BATCH));
    },
    trueSlowdowns: (deployment, slowdowns, seed, parameters) =>
        createPolicies({ random: new SeededRandom(seed), parameters, knownSlowdowns: slowdowns }),
};

import { create } from "@bufbuild/protobuf";
import { QuotaSchema, ResourcesSchema } from "@waxwingspread/protocol";
import type { PolicySet, ServerView } from "@waxwingspread/scheduler";
import { customersOf } from "./deployments.js";
import type { Deployment } from "./deployments.js";

/** Returns the id of a simulated backend server. Consecutive indexes are in different zones. */
export const serverIdOf = (index: number): string => `server-${String(index).padStart(4, "0")}`;

/** Creates the servers of a deployment, assigned to its zones in round-robin order. */
export const createServerViews = (deployment: Deployment): ServerView[] =>
    Array.from({ length: deployment.servers }, (unused, index) => {
        const zone = deployment.zones[index % deployment.zones.length] ?? "";
        const rack = Math.floor(Math.floor(index / deployment.zones.length) / deployment.rackSize);
        return {
            backendServerId: serverIdOf(index),
            availabilityZone: zone,
            rack: `${zone}/${rack}`,
            capacity: deployment.capacity,
            slots: deployment.slots,
            placeable: true,
            slotLimit: deployment.slots,
            probing: false,
        };
    });

/** Registers the customers with quotas that are shares of the fleet's capacity. */
export const registerCustomers = (deployment: Deployment, policies: PolicySet): void => {
    const { capacity, servers } = deployment;
    const customers = customersOf(deployment);
    policies.fairShare.setFleetCapacity(create(ResourcesSchema, {
        cpuMillicores: capacity.cpuMillicores * servers,
        memoryMebibytes: capacity.memoryMebibytes * servers,
    }));
    for (const customer of customers) {
        const share = servers * (deployment.quotaShares[customer] ?? 0);
        policies.fairShare.setCustomer({
            customer,
            quota: create(QuotaSchema, {
                resources: {
                    cpuMillicores: Math.floor(capacity.cpuMillicores * share),
                    memoryMebibytes: Math.floor(capacity.memoryMebibytes * share),
                },
            }),
            weight: 1,
            latencyCriticalShare: 1,
            batchShare: 1,
        });
    }
};

/** Returns the zones that hold more tasks than the zone with the fewest, given the zone of each task. */
export const zonesToAvoid = (deployment: Deployment, zonesOfTasks: readonly string[]): string[] => {
    const countOf = (zone: string): number => zonesOfTasks.filter(other => other === zone).length;
    const least = Math.min(...deployment.zones.map(countOf));
    return deployment.zones.filter(zone => countOf(zone) > least);
};

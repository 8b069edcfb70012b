import { create } from "@bufbuild/protobuf";
import { QuotaSchema, ResourcesSchema } from "@waxwingspread/protocol";
import type { PolicySet, ServerView } from "@waxwingspread/scheduler";
import { customersOf } from "./shapes.js";
import type { FirmShape } from "./shapes.js";

/** Returns the id of a simulated backend server. Consecutive indexes are in different zones. */
export const serverIdOf = (index: number): string => `server-${String(index).padStart(4, "0")}`;

/** Creates the servers of a deployment, assigned to its zones in round-robin order. */
export const serverViewsOf = (firm: FirmShape): ServerView[] =>
    Array.from({ length: firm.servers }, (unused, index) => {
        const zone = firm.zones[index % firm.zones.length] ?? "";
        const rack = Math.floor(Math.floor(index / firm.zones.length) / firm.rackSize);
        return {
            backendServerId: serverIdOf(index),
            availabilityZone: zone,
            rack: `${zone}/${rack}`,
            capacity: firm.capacity,
            slots: firm.slots,
            placeable: true,
            slotLimit: firm.slots,
            probing: false,
        };
    });

/** Registers the customers with quotas that are shares of the fleet's capacity. */
export const registerCustomers = (firm: FirmShape, policies: PolicySet): void => {
    const { capacity, servers } = firm;
    const customers = customersOf(firm);
    policies.fairShare.setFleetCapacity(create(ResourcesSchema, {
        cpuMillicores: capacity.cpuMillicores * servers,
        memoryMebibytes: capacity.memoryMebibytes * servers,
    }));
    for (const customer of customers) {
        const share = servers * (firm.quotaShares[customer] ?? 0);
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
export const fullerZones = (firm: FirmShape, zonesOfTasks: readonly string[]): string[] => {
    const countOf = (zone: string): number => zonesOfTasks.filter(other => other === zone).length;
    const least = Math.min(...firm.zones.map(countOf));
    return firm.zones.filter(zone => countOf(zone) > least);
};

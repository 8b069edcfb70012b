import type { LeaderSettings } from "@waxwingspread/workflow";
import type { DeploymentOptions } from "../model/deployment.js";

const MIN_CLOCK_RATE = 0.98;

/** Settings of the leader in random tests. */
const LEADER_SETTINGS: LeaderSettings = {
    leaseMs: 3_000,
    maxLeaseMs: 6_000,
    busyHeartbeatMs: 100,
    idleHeartbeatMs: 100,
    maxOrderBytes: 128 * 1024,
    maintenanceMs: 4_000,
    orderLeaseMs: 3_000,
    retentionMs: 600_000,
    maxJobBytes: 40_000_000,
};

/** Properties of all deployments in random tests. */
export const FUZZ_OPTIONS: Omit<DeploymentOptions, "seed" | "servers"> = {
    settings: LEADER_SETTINGS,
    maxAttempts: 3,
    maxNetworkDelayMs: 60,
    maxCommitDelayMs: 10,
};

/** Properties of all servers in random tests. They list few ends at a time, so that their lists are often cut. */
export const FUZZ_SERVER = { rack: "r1", clockRate: 1, endsPerHeartbeat: 3 };

/** Four equal servers in two zones, one of them with a slow clock, two that guard their capacity. */
export const SMALL_FLEET_OPTIONS: Omit<DeploymentOptions, "seed"> = {
    ...FUZZ_OPTIONS,
    servers: ["a", "a", "b", "b"].map((availabilityZone, index) => ({
        ...FUZZ_SERVER,
        availabilityZone,
        labels: [index % 2 === 0 ? "even" : "odd", "r1"],
        capacity: { cpuMillicores: 4_000, memoryMebibytes: 8_000, accelerators: 0 },
        clockRate: index === 0 ? MIN_CLOCK_RATE : 1,
        guardsCapacity: index === 1 || index === 2,
        hiddenMillicores: 0,
        dropsAnswers: false,
    })),
};

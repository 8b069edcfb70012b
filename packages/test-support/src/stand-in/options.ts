import type { SeededRandom } from "@waxwingspread/common";

/** Amounts of each resource. */
export interface ResourceAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    accelerators: number;
}

/** Times in milliseconds of the stand-in's own clock. */
export interface StandInTiming {
    announceIntervalMs: number;
    /** Longer than the entry waits for the leader. */
    announceTimeoutMs: number;
    /** Longer than the entry waits for the settlement. */
    resultTimeoutMs: number;
    resultRetryMs: number;
    /** How long a checkpoint takes. */
    checkpointMs: number;
    usageIntervalMs: number;
    /** How late usage is reported. */
    usageLagMs: number;
}

export const DEFAULT_STAND_IN_TIMING: StandInTiming = {
    announceIntervalMs: 1_000,
    announceTimeoutMs: 1_500,
    resultTimeoutMs: 2_500,
    resultRetryMs: 500,
    checkpointMs: 50,
    usageIntervalMs: 1_000,
    usageLagMs: 3_000,
};

/** Faults that can be set and cleared at any time. */
export interface StandInFaults {
    /** Progress of every task per second, 1 when healthy. */
    speedRatio: number;
    /** Neither answers nor sends anything; tasks go on until their leases expire. */
    silent: boolean;
    /** Every task fails soon after its start. */
    failEveryTask: boolean;
}

export const NO_FAULTS: StandInFaults = { speedRatio: 1, silent: false, failEveryTask: false };

export interface StandInOptions {
    backendServerId: string;
    incarnation: string;
    address: string;
    availabilityZone: string;
    rack: string;
    capacity: ResourceAmounts;
    slots: number;
    /** Entries known from the settings; later ones arrive with replies. */
    entries: string[];
    random: SeededRandom;
    timing?: Partial<StandInTiming>;
    faults?: Partial<StandInFaults>;
    /** Reading of the stand-in's monotonic clock at its creation. */
    clockStartMs?: number;
    /** Speed of the stand-in's clock, within 1% of 1 to satisfy the platform's guarantee. */
    clockRateRatio?: number;
    /** Part of the reserved resources that tasks use. */
    usedRatio?: number;
    /** Factor, 1 or more, by which tasks of the other classes slow a task of this class. */
    slowdownOf?: (workClass: string, neighbours: string[]) => number;
}

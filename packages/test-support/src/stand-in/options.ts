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
    /** Timeout of an announcement; longer than the entry waits for the leader. */
    announceTimeoutMs: number;
    /** Timeout of a result; longer than the entry waits for its settlement. */
    resultTimeoutMs: number;
    resultRetryMs: number;
    /** Duration of writing a checkpoint. */
    checkpointMs: number;
    usageIntervalMs: number;
    /** Delay between the measurement of usage and its report. */
    usageLagMs: number;
}

/** Timing of a stand-in where its options set none. */
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
    /** Speed of every task, as seconds of progress per second; 1 when healthy. */
    speedRatio: number;
    /** The server neither replies nor sends anything; its tasks continue until their leases expire. */
    silent: boolean;
    /** Every task fails soon after its start. */
    failEveryTask: boolean;
}

/** Settings of a healthy stand-in. */
export const NO_FAULTS: StandInFaults = { speedRatio: 1, silent: false, failEveryTask: false };

/** Identity, capacity and behaviour of a stand-in. */
export interface StandInOptions {
    backendServerId: string;
    incarnation: string;
    address: string;
    availabilityZone: string;
    rack: string;
    capacity: ResourceAmounts;
    slots: number;
    /** Addresses of the entries to contact first; replies to announcements replace them. */
    entries: string[];
    random: SeededRandom;
    timing?: Partial<StandInTiming>;
    faults?: Partial<StandInFaults>;
    /** Reading of the stand-in's monotonic clock at its creation. */
    clockStartMs?: number;
    /** Rate of the stand-in's clock, within 1% of 1 to satisfy the platform's guarantee. */
    clockRateRatio?: number;
    /** Fraction of the reserved resources that tasks use. */
    usedRatio?: number;
    /** Returns the factor, 1 or more, by which the other running tasks, given by class, slow down a task. */
    slowdownOf?: (workClass: string, neighbours: string[]) => number;
}

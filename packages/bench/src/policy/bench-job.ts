import type { SeededRandom } from "@waxwingspread/common";
import type { PlacedTask } from "@waxwingspread/scheduler";
import type { WorkClassProfile } from "./deployments.js";
import type { MachineTask } from "./machines.js";

/** Bounds of a task's CPU use relative to the mean of its class. */
const CPU_FACTOR = [0.7, 1.3] as const;

/** State of a simulated job. `remainingRunMs` and `repeatedRunMs` are those at the start of its current attempt. */
export interface BenchJob {
    key: string;
    classIndex: number;
    profile: WorkClassProfile;
    totalRunMs: number;
    remainingRunMs: number;
    repeatedRunMs: number;
    arrivedAtMs: number;
    attempts: number;
    wasEvicted: boolean;
    lastPreemptionAtMs: number;
    task: PlacedTask | undefined;
    serverId: string;
    startedAtMs: number;
}

/** Creates a job that is submitted now and has not run yet. */
export const createJob = (
    key: string,
    classIndex: number,
    profile: WorkClassProfile,
    runTimeMs: number,
    nowMs: number,
): BenchJob => ({
    key,
    classIndex,
    profile,
    totalRunMs: runTimeMs,
    remainingRunMs: runTimeMs,
    repeatedRunMs: 0,
    arrivedAtMs: nowMs,
    attempts: 0,
    wasEvicted: false,
    lastPreemptionAtMs: Number.NEGATIVE_INFINITY,
    task: undefined,
    serverId: "",
    startedAtMs: 0,
});

/** Creates the task that a machine runs for the current attempt of a job, with a random CPU use. */
export const createMachineTask = (job: BenchJob, key: string, random: SeededRandom): MachineTask => ({
    key,
    classIndex: job.classIndex,
    profile: job.profile,
    remainingRunMs: job.remainingRunMs,
    repeatedRunMs: job.repeatedRunMs,
    cpuFactor: CPU_FACTOR[0] + (CPU_FACTOR[1] - CPU_FACTOR[0]) * random.nextRatio(),
    throttled: false,
    frozen: false,
    speed: 1,
    updatedAtMs: 0,
});

import type { SeededRandom } from "@waxwingspread/common";
import type { PlacedTask } from "@waxwingspread/scheduler";
import type { WorkClassProfile } from "./deployments.js";
import type { MachineTask } from "./machines.js";

/** Bounds of a task's CPU use relative to the mean of its class. */
const USE_FACTOR = [0.7, 1.3] as const;

/** State of a simulated job. `leftMs` and `overheadMs` are the values at the start of its current attempt. */
export interface BenchJob {
    key: string;
    classIndex: number;
    profile: WorkClassProfile;
    totalMs: number;
    leftMs: number;
    overheadMs: number;
    arrivedAtMs: number;
    attempts: number;
    evicted: boolean;
    preemptedForAtMs: number;
    task: PlacedTask | undefined;
    serverId: string;
    startedAtMs: number;
}

/** Creates a job that is submitted now and has not run yet. */
export const newJob = (
    key: string,
    classIndex: number,
    profile: WorkClassProfile,
    runTimeMs: number,
    nowMs: number,
): BenchJob => ({
    key,
    classIndex,
    profile,
    totalMs: runTimeMs,
    leftMs: runTimeMs,
    overheadMs: 0,
    arrivedAtMs: nowMs,
    attempts: 0,
    evicted: false,
    preemptedForAtMs: Number.NEGATIVE_INFINITY,
    task: undefined,
    serverId: "",
    startedAtMs: 0,
});

/** Creates the task that a machine runs for the current attempt of a job, with a random CPU use. */
export const machineTaskOf = (job: BenchJob, key: string, random: SeededRandom): MachineTask => ({
    key,
    classIndex: job.classIndex,
    profile: job.profile,
    leftMs: job.leftMs,
    overheadMs: job.overheadMs,
    useFactor: USE_FACTOR[0] + (USE_FACTOR[1] - USE_FACTOR[0]) * random.nextRatio(),
    throttled: false,
    frozen: false,
    speed: 1,
    updatedAtMs: 0,
});

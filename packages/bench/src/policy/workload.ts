import type { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import type { Deployment } from "./deployments.js";

/** Simulated time in which jobs arrive. The times below are relative to the start of the run. */
export const RUN_MS = 150_000;
/** Requests that arrive before this time are not counted, because the models start untrained. */
export const WARM_UP_MS = 20_000;
/** Time at which the drain of a zone starts. */
export const DRAIN_START_MS = 60_000;
/** Time from the start of the drain to its deadline. */
export const DRAIN_MS = 15_000;
/** Time at which the zone starts to return to service. */
export const ZONE_RETURN_MS = 95_000;
/** End of the interval that `zoneWork` covers; includes the 30 s in which the zone is refilled. */
export const ZONE_INTERVAL_END_MS = 125_000;
/** Time at which some of the actual slowdowns change. */
export const DRIFT_MS = 75_000;

/** Arrival of a latency-critical job. */
export interface LatencyCriticalArrival {
    atMs: number;
    classIndex: number;
    runTimeMs: number;
}

/** A batch job; submitted in order whenever its customer's backlog is too small. */
export interface BatchJobSpec {
    classIndex: number;
    runTimeMs: number;
}

/** Period in which the tasks of one batch class use more CPU and interfere more than usual. */
export interface InterferencePeriod {
    fromMs: number;
    untilMs: number;
    classIndex: number;
    intensity: number;
}

/** Sequence of events in a run; the same for each variant. */
export interface Workload {
    latencyCriticalArrivals: LatencyCriticalArrival[];
    batchByCustomer: Map<string, BatchJobSpec[]>;
    interferencePeriods: InterferencePeriod[];
    drainedZone: string;
}

const BATCH_JOBS_PER_CUSTOMER = 1_500;
/** Amplitude and period of the sine by which the arrival rate varies; the amplitude is relative to the mean rate. */
const RATE_AMPLITUDE = 0.4;
const RATE_PERIOD_MS = 90_000;
const BURSTS = 4;
const BURST_DURATION_MS = [4_000, 9_000] as const;
/** Increase of the arrival rate during a burst, relative to the mean rate. */
const BURST_RATE_INCREASE = 1;
const INTERFERENCE_PERIODS = 8;
const INTERFERENCE_PERIOD_MS = [5_000, 12_000] as const;
const INTERFERENCE_INTENSITY = [1.8, 3] as const;
const MILLISECONDS_PER_SECOND = 1_000;

const sampleUniform = (random: SeededRandom, [low, high]: readonly [number, number]): number =>
    low + (high - low) * random.nextRatio();

const generateArrivals = (deployment: Deployment, random: SeededRandom): LatencyCriticalArrival[] => {
    const classIndexes = deployment.classes.flatMap((profile, index) =>
        profile.workKind === WorkKind.LATENCY_CRITICAL ? [index] : []
    );
    const phase = random.nextRatio() * 2 * Math.PI;
    const bursts = Array.from({ length: BURSTS }, () => {
        const fromMs = random.nextRatio() * RUN_MS;
        return { fromMs, untilMs: fromMs + sampleUniform(random, BURST_DURATION_MS) };
    });
    const rateAt = (atMs: number): number => {
        const modulation = 1 + RATE_AMPLITUDE * Math.sin(phase + 2 * Math.PI * atMs / RATE_PERIOD_MS);
        const isBurst = bursts.some(burst => burst.fromMs <= atMs && atMs < burst.untilMs);
        return deployment.latencyCriticalPerSecond * (modulation + (isBurst ? BURST_RATE_INCREASE : 0));
    };
    const arrivals: LatencyCriticalArrival[] = [];
    let atMs = 0;
    for (;;) {
        atMs += random.nextExponential(MILLISECONDS_PER_SECOND / rateAt(atMs));
        if (atMs >= RUN_MS) {
            return arrivals;
        }
        const classIndex = random.pick(classIndexes);
        const profile = deployment.classes[classIndex];
        if (profile !== undefined) {
            arrivals.push({ atMs, classIndex, runTimeMs: sampleUniform(random, profile.runTimeMs) });
        }
    }
};

const generateBatchJobs = (deployment: Deployment, random: SeededRandom): Map<string, BatchJobSpec[]> => {
    const byCustomer = new Map<string, BatchJobSpec[]>();
    const indexes = new Map<string, number[]>();
    deployment.classes.forEach((profile, index) => {
        if (profile.workKind === WorkKind.BATCH) {
            indexes.set(profile.customer, [...indexes.get(profile.customer) ?? [], index]);
        }
    });
    for (const [customer, classIndexes] of indexes) {
        const jobs = Array.from({ length: BATCH_JOBS_PER_CUSTOMER }, () => {
            const classIndex = random.pick(classIndexes);
            const runTimeMs = sampleUniform(random, deployment.classes[classIndex]?.runTimeMs ?? [0, 0]);
            return { classIndex, runTimeMs };
        });
        byCustomer.set(customer, jobs);
    }
    return byCustomer;
};

const generateInterferencePeriods = (deployment: Deployment, random: SeededRandom): InterferencePeriod[] => {
    const classIndexes = deployment.classes.flatMap((profile, index) =>
        profile.workKind === WorkKind.BATCH ? [index] : []
    );
    return Array.from({ length: INTERFERENCE_PERIODS }, () => {
        const fromMs = random.nextRatio() * RUN_MS;
        return {
            fromMs,
            untilMs: fromMs + sampleUniform(random, INTERFERENCE_PERIOD_MS),
            classIndex: random.pick(classIndexes),
            intensity: sampleUniform(random, INTERFERENCE_INTENSITY),
        };
    });
};

/** Generates a random workload for a deployment. */
export const generateWorkload = (deployment: Deployment, random: SeededRandom): Workload => ({
    latencyCriticalArrivals: generateArrivals(deployment, random),
    batchByCustomer: generateBatchJobs(deployment, random),
    interferencePeriods: generateInterferencePeriods(deployment, random),
    drainedZone: random.pick(deployment.zones),
});

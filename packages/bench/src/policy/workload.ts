import type { SeededRandom } from "@waxwingspread/common";
import { WorkKind } from "@waxwingspread/protocol";
import type { Deployment } from "./deployments.js";

/** Simulated time in which jobs arrive. The times below are relative to the start of the run. */
export const RUN_MS = 150_000;
/** Requests that arrive before this time are not counted, because the models start untrained. */
export const WARM_UP_MS = 20_000;
/** Time at which the drain of a zone starts. */
export const ZONE_OUT_MS = 60_000;
/** Time from the start of the drain to its deadline. */
export const DRAIN_MS = 15_000;
/** Time at which the zone starts to return to service. */
export const ZONE_BACK_MS = 95_000;
/** End of the interval that `zoneWork` covers; includes the 30 s in which the zone is refilled. */
export const ZONE_WINDOW_END_MS = 125_000;
/** Time at which some of the actual slowdowns change. */
export const DRIFT_MS = 75_000;

/** Arrival of a latency-critical job. */
export interface LatencyCriticalArrival {
    atMs: number;
    classIndex: number;
    runTimeMs: number;
}

/** A batch job; submitted in order whenever its customer's backlog is too small. */
export interface BatchItem {
    classIndex: number;
    runTimeMs: number;
}

/** Period in which the tasks of one batch class use more CPU and interfere more than usual. */
export interface NoiseWave {
    fromMs: number;
    untilMs: number;
    classIndex: number;
    intensity: number;
}

/** Sequence of events in a run; the same for each variant. */
export interface Workload {
    latencyCriticalArrivals: LatencyCriticalArrival[];
    batchByCustomer: Map<string, BatchItem[]>;
    waves: NoiseWave[];
    zoneOut: string;
}

const BATCH_ITEMS = 1_500;
const SWING_RATIO = 0.4;
const SWING_PERIOD_MS = 90_000;
const BURSTS = 4;
const BURST_MS = [4_000, 9_000] as const;
const BURST_RATIO = 1;
const WAVES = 8;
const WAVE_MS = [5_000, 12_000] as const;
const WAVE_INTENSITY = [1.8, 3] as const;
const MILLISECONDS_PER_SECOND = 1_000;

const between = (random: SeededRandom, [low, high]: readonly [number, number]): number =>
    low + (high - low) * random.nextRatio();

const generateArrivals = (deployment: Deployment, random: SeededRandom): LatencyCriticalArrival[] => {
    const classIndexes = deployment.classes.flatMap((profile, index) =>
        profile.workKind === WorkKind.LATENCY_CRITICAL ? [index] : []
    );
    const phase = random.nextRatio() * 2 * Math.PI;
    const bursts = Array.from({ length: BURSTS }, () => {
        const fromMs = random.nextRatio() * RUN_MS;
        return { fromMs, untilMs: fromMs + between(random, BURST_MS) };
    });
    const rateAt = (atMs: number): number => {
        const swing = 1 + SWING_RATIO * Math.sin(phase + 2 * Math.PI * atMs / SWING_PERIOD_MS);
        const isBurst = bursts.some(burst => burst.fromMs <= atMs && atMs < burst.untilMs);
        return deployment.latencyCriticalPerSecond * (swing + (isBurst ? BURST_RATIO : 0));
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
            arrivals.push({ atMs, classIndex, runTimeMs: between(random, profile.runTimeMs) });
        }
    }
};

const batchItems = (deployment: Deployment, random: SeededRandom): Map<string, BatchItem[]> => {
    const byCustomer = new Map<string, BatchItem[]>();
    const indexes = new Map<string, number[]>();
    deployment.classes.forEach((profile, index) => {
        if (profile.workKind === WorkKind.BATCH) {
            indexes.set(profile.customer, [...indexes.get(profile.customer) ?? [], index]);
        }
    });
    for (const [customer, classIndexes] of indexes) {
        const items = Array.from({ length: BATCH_ITEMS }, () => {
            const classIndex = random.pick(classIndexes);
            const runTimeMs = between(random, deployment.classes[classIndex]?.runTimeMs ?? [0, 0]);
            return { classIndex, runTimeMs };
        });
        byCustomer.set(customer, items);
    }
    return byCustomer;
};

const noiseWaves = (deployment: Deployment, random: SeededRandom): NoiseWave[] => {
    const classIndexes = deployment.classes.flatMap((profile, index) =>
        profile.workKind === WorkKind.BATCH ? [index] : []
    );
    return Array.from({ length: WAVES }, () => {
        const fromMs = random.nextRatio() * RUN_MS;
        return {
            fromMs,
            untilMs: fromMs + between(random, WAVE_MS),
            classIndex: random.pick(classIndexes),
            intensity: between(random, WAVE_INTENSITY),
        };
    });
};

/** Generates a random workload for a deployment. */
export const drawWorkload = (deployment: Deployment, random: SeededRandom): Workload => ({
    latencyCriticalArrivals: generateArrivals(deployment, random),
    batchByCustomer: batchItems(deployment, random),
    waves: noiseWaves(deployment, random),
    zoneOut: random.pick(deployment.zones),
});

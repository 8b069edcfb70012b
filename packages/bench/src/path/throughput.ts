import { ClosedLoop, epochMs, pause } from "./callers.js";
import { rounded } from "./figures.js";
import type { PathFleet } from "./path-fleet.js";

const RUN_MS = 1;
const PARALLELISMS = [64, 160];
const RAMP_MS = 1_000;
const WINDOW_MS = 4_000;

export interface ThroughputResult {
    startsPerSecond: number;
    parallelism: number;
    byParallelism: Record<number, number>;
}

const measureOnce = async (running: PathFleet, parallelism: number): Promise<number> => {
    const loop = new ClosedLoop(running, `rate-${parallelism}`, parallelism, RUN_MS);
    await pause(RAMP_MS);
    const startsBefore = await running.startsAccepted();
    const beganAtMs = epochMs();
    await pause(WINDOW_MS);
    const starts = await running.startsAccepted() - startsBefore;
    const perSecond = starts / (epochMs() - beganAtMs) * 1_000;
    await loop.stop();
    return rounded(perSecond);
};

/** Measures the greatest rate of starts that one leader sustains. */
export const measureThroughput = async (running: PathFleet): Promise<ThroughputResult> => {
    const byParallelism: Record<number, number> = {};
    let best = { startsPerSecond: 0, parallelism: 0 };
    for (const parallelism of PARALLELISMS) {
        const startsPerSecond = await measureOnce(running, parallelism);
        byParallelism[parallelism] = startsPerSecond;
        best = startsPerSecond > best.startsPerSecond ? { startsPerSecond, parallelism } : best;
    }
    return { ...best, byParallelism };
};

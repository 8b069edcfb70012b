import { ClosedLoop, epochMs, pause } from "./callers.js";
import { rounded } from "./figures.js";
import type { PathFleet } from "./path-fleet.js";
import { cpuSecondsOf } from "./processor-time.js";

const RUN_MS = 1;
const PARALLELISMS = [64, 160];
const RAMP_MS = 1_000;
const WINDOW_MS = 4_000;

/** Rate and CPU cost of starts. On a machine with other load, the CPU time per start is more reliable than the rate. */
export interface RateFigures {
    startsPerSecond: number;
    leaderCpuMsPerStart: number;
    entryCpuMsPerStart: number;
}

/** Figures at the parallelism with the highest rate, and the rate at each parallelism. */
export interface ThroughputResult extends RateFigures {
    parallelism: number;
    startsPerSecondByParallelism: Record<number, number>;
}

/** Returns the CPU seconds of the leader and the sum of those of all entries. */
const cpuOf = async ({ fleet }: PathFleet): Promise<{ leader: number; entries: number }> => {
    const leader = await fleet.leader();
    const entries = await Promise.all(fleet.entries.map(({ process }) => cpuSecondsOf(process.pid)));
    return {
        leader: await cpuSecondsOf(leader.process.pid),
        entries: entries.reduce((sum, seconds) => sum + seconds, 0),
    };
};

const measureOnce = async (running: PathFleet, parallelism: number): Promise<RateFigures> => {
    const loop = new ClosedLoop(running, `rate-${parallelism}`, parallelism, RUN_MS);
    await pause(RAMP_MS);
    const cpuBefore = await cpuOf(running);
    const startsBefore = await running.startsAccepted();
    const beganAtMs = epochMs();
    await pause(WINDOW_MS);
    const starts = await running.startsAccepted() - startsBefore;
    const perSecond = starts / (epochMs() - beganAtMs) * 1_000;
    const cpuAfter = await cpuOf(running);
    await loop.stop();
    return {
        startsPerSecond: rounded(perSecond),
        leaderCpuMsPerStart: rounded((cpuAfter.leader - cpuBefore.leader) * 1_000 / starts),
        entryCpuMsPerStart: rounded((cpuAfter.entries - cpuBefore.entries) * 1_000 / starts),
    };
};

/** Measures the maximum rate of starts that one leader sustains. */
export const measureThroughput = async (running: PathFleet): Promise<ThroughputResult> => {
    const byParallelism: Record<number, number> = {};
    let best: ThroughputResult | undefined;
    for (const parallelism of PARALLELISMS) {
        const figures = await measureOnce(running, parallelism);
        byParallelism[parallelism] = figures.startsPerSecond;
        if (best === undefined || figures.startsPerSecond > best.startsPerSecond) {
            best = { ...figures, parallelism, startsPerSecondByParallelism: byParallelism };
        }
    }
    if (best === undefined) {
        throw new Error("no rate was measured");
    }
    return best;
};

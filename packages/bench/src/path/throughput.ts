import { ClosedLoop, epochMs, pause } from "./callers.js";
import { readCpuSeconds } from "./cpu-time.js";
import { roundToHundredths } from "./statistics.js";
import type { Testbed } from "./testbed.js";

const RUN_MS = 1;
const PARALLELISM_LEVELS = [64, 160];
const RAMP_MS = 1_000;
const WINDOW_MS = 4_000;

/** Rate and CPU cost of starts. On a machine with other load, the CPU time per start is more reliable than the rate. */
export interface ThroughputSample {
    startsPerSecond: number;
    leaderCpuMsPerStart: number;
    entryCpuMsPerStart: number;
}

/** Sample at the parallelism with the highest rate, and the rate at each parallelism. */
export interface ThroughputResult extends ThroughputSample {
    parallelism: number;
    startsPerSecondByParallelism: Record<number, number>;
}

/** Returns the CPU seconds of the leader and the sum of those of all entries. */
const readCpuTimes = async ({ fleet }: Testbed): Promise<{ leader: number; entries: number }> => {
    const leader = await fleet.leader();
    const entries = await Promise.all(fleet.entries.map(({ process }) => readCpuSeconds(process.pid)));
    return {
        leader: await readCpuSeconds(leader.process.pid),
        entries: entries.reduce((sum, seconds) => sum + seconds, 0),
    };
};

const measureOnce = async (testbed: Testbed, parallelism: number): Promise<ThroughputSample> => {
    const loop = new ClosedLoop(testbed, `rate-${parallelism}`, parallelism, RUN_MS);
    await pause(RAMP_MS);
    const cpuBefore = await readCpuTimes(testbed);
    const startsBefore = await testbed.startsAccepted();
    const beganAtMs = epochMs();
    await pause(WINDOW_MS);
    const starts = await testbed.startsAccepted() - startsBefore;
    const perSecond = starts / (epochMs() - beganAtMs) * 1_000;
    const cpuAfter = await readCpuTimes(testbed);
    await loop.stop();
    return {
        startsPerSecond: roundToHundredths(perSecond),
        leaderCpuMsPerStart: roundToHundredths((cpuAfter.leader - cpuBefore.leader) * 1_000 / starts),
        entryCpuMsPerStart: roundToHundredths((cpuAfter.entries - cpuBefore.entries) * 1_000 / starts),
    };
};

/** Measures the maximum rate of starts that one leader sustains. */
export const measureThroughput = async (testbed: Testbed): Promise<ThroughputResult> => {
    const byParallelism: Record<number, number> = {};
    let best: ThroughputResult | undefined;
    for (const parallelism of PARALLELISM_LEVELS) {
        const sample = await measureOnce(testbed, parallelism);
        byParallelism[parallelism] = sample.startsPerSecond;
        if (best === undefined || sample.startsPerSecond > best.startsPerSecond) {
            best = { ...sample, parallelism, startsPerSecondByParallelism: byParallelism };
        }
    }
    if (best === undefined) {
        throw new Error("no rate was measured");
    }
    return best;
};

import { waitUntil } from "@waxwingspread/test-support";
import { epochMs, OpenLoop } from "./callers.js";
import { computePercentiles } from "./statistics.js";
import type { Testbed } from "./testbed.js";

const KILLS = 10;
const JOBS_PER_SECOND = 50;
const RUN_MS = 5;
const START_TIMEOUT_MS = 10_000;

/** Failover times in milliseconds, and the number of jobs that did not complete. */
export interface FailoverResult {
    p50: number;
    max: number;
    all: number[];
    notCompleted: number;
}

/**
 * Kills the leader repeatedly. Each time, measures the time from the kill to the first start of a latency-critical job
 * that was submitted after it.
 */
export const measureFailover = async (testbed: Testbed): Promise<FailoverResult> => {
    const { fleet } = testbed;
    const durations: number[] = [];
    let notCompleted = 0;
    for (let kill = 1; kill <= KILLS; kill += 1) {
        const leader = await fleet.leader();
        const prefix = `kill-${kill}`;
        const killedAtMs = epochMs();
        await leader.process.kill();
        // Jobs are submitted only after the kill, so that no start can result from a decision of the killed leader.
        const loop = new OpenLoop(testbed, prefix, JOBS_PER_SECOND, RUN_MS);
        const others = fleet.controls.filter(member => member !== leader);
        await fleet.leader(others);
        const startedAtMs = await waitUntil("a latency-critical job starts", START_TIMEOUT_MS, async () => {
            const starts = [...await testbed.startTimes()].filter(([id]) => id.startsWith(`${prefix}-`));
            return starts.length === 0 ? undefined : Math.min(...starts.map(([, atMs]) => atMs));
        });
        durations.push(startedAtMs - killedAtMs);
        leader.restart();
        await fleet.waitForReady(leader);
        notCompleted += (await loop.stop()).filter(job => !job.completed).length;
    }
    const { p50, max } = computePercentiles(durations);
    return { p50, max, all: durations.map(Math.round), notCompleted };
};

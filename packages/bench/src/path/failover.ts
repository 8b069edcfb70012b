import { waitUntil } from "@waxwingspread/test-support";
import { epochMs, OpenLoop } from "./callers.js";
import { percentilesOf } from "./figures.js";
import type { PathFleet } from "./path-fleet.js";

const KILLS = 10;
const URGENT_JOBS_PER_SECOND = 50;
const RUN_MS = 5;
const START_TIMEOUT_MS = 10_000;

export interface FailoverResult {
    p50: number;
    max: number;
    all: number[];
    notCompleted: number;
}

/** Kills the leader repeatedly and takes the time to the first start of an urgent job submitted after the kill. */
export const measureFailover = async (running: PathFleet): Promise<FailoverResult> => {
    const { fleet } = running;
    const durations: number[] = [];
    let notCompleted = 0;
    for (let kill = 1; kill <= KILLS; kill += 1) {
        const leader = await fleet.leader();
        const prefix = `kill-${kill}`;
        const killedAtMs = epochMs();
        await leader.process.kill();
        // Submitted only from the kill on, so that no start can belong to a decision from before it.
        const loop = new OpenLoop(running, prefix, URGENT_JOBS_PER_SECOND, RUN_MS);
        const others = fleet.controls.filter(member => member !== leader);
        await fleet.leader(others);
        const startedAtMs = await waitUntil("an urgent job starts", START_TIMEOUT_MS, async () => {
            const starts = [...await running.startTimes()].filter(([id]) => id.startsWith(`${prefix}-`));
            return starts.length === 0 ? undefined : Math.min(...starts.map(([, atMs]) => atMs));
        });
        durations.push(startedAtMs - killedAtMs);
        leader.restart();
        await fleet.waitForReady(leader);
        notCompleted += (await loop.stop()).filter(job => !job.completed).length;
    }
    const { p50, max } = percentilesOf(durations);
    return { p50, max, all: durations.map(Math.round), notCompleted };
};

import { expect, it } from "vitest";
import { taskKindOf } from "../model/specification.js";
import { fillerStepOf, heartbeatOf } from "../testing/fixtures.js";
import { FillerMoves } from "./filler-moves.js";
import { newRunView, ServerView } from "./server-view.js";
import type { RunView } from "./server-view.js";

const MIN_SLOW_DURATION_MS = 500;

const pausedRunOn = (serverId: string): { server: ServerView; run: RunView } => {
    const server = new ServerView(serverId, 1, 0, 0);
    server.updateFrom(heartbeatOf(serverId, 1), 0);
    const step = fillerStepOf();
    const position = { jobId: serverId, occurrence: 0, step: 0, index: 0 };
    const run = newRunView({ task: serverId, run: 1, position, step, kind: taskKindOf(step), checkpoint: "" }, 0);
    run.isReported = true;
    run.targetPacePercent = 0;
    server.addRun(run);
    return { server, run };
};

// Load: fillers that interfere with the standing tasks of most servers, so that other servers have capacity for them
// only rarely and briefly. Guards against fillers that stay paused because capacity on other servers was checked only
// when the heartbeat of their own server arrived.
it("moves a paused filler as soon as another server has capacity", () => {
    let hasCapacity = false;
    const moves = new FillerMoves(() => hasCapacity);
    const { server, run } = pausedRunOn("a");
    moves.observe(server, 0);
    moves.observe(server, MIN_SLOW_DURATION_MS);
    moves.run(MIN_SLOW_DURATION_MS);
    expect(run.isStopping).toBe(false);
    hasCapacity = true;
    moves.run(MIN_SLOW_DURATION_MS + 5);
    expect(run.isStopping).toBe(true);
});

// Guards against stopping many tasks at once after one change of load.
it("moves one filler at a time, and none that is no longer slow", () => {
    const moves = new FillerMoves(() => true);
    const [first, second] = [pausedRunOn("a"), pausedRunOn("b")];
    for (const { server } of [first, second]) {
        moves.observe(server, 0);
        moves.observe(server, MIN_SLOW_DURATION_MS);
    }
    moves.run(MIN_SLOW_DURATION_MS);
    moves.run(MIN_SLOW_DURATION_MS + 10);
    expect([first.run.isStopping, second.run.isStopping]).toEqual([true, false]);
    second.run.targetPacePercent = 100;
    moves.run(MIN_SLOW_DURATION_MS + 100);
    expect(second.run.isStopping).toBe(false);
});

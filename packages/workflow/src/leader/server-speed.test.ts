import { beforeEach, expect, it } from "vitest";
import { taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { heartbeatOf, stepOf } from "../testing/fixtures.js";
import { ServerSpeed } from "./server-speed.js";
import { newRunView, ServerView } from "./server-view.js";
import type { RunView } from "./server-view.js";

let servers: ServerView[];
let runs: RunView[];

const addRun = (server: ServerView, index: number, step: StepSpecification): RunView => {
    const position = { jobId: "j", occurrence: 0, step: 0, index };
    const run = newRunView(
        { task: `j.0.0.${index}`, run: 1, position, step, kind: taskKindOf(step), checkpoint: "" },
        0,
    );
    run.isReported = true;
    server.addRun(run);
    return run;
};

/** Reports progress every 100 ms for 1.5 seconds, with a given speed for each run. */
const reportProgress = (speed: ServerSpeed, percentPerSecond: readonly number[]): void => {
    for (let nowMs = 0; nowMs <= 1_500; nowMs += 100) {
        runs.forEach((run, index) => {
            run.progressPercent = Math.floor(((percentPerSecond[index] ?? 0) * nowMs) / 1_000);
        });
        servers.forEach(server => speed.observe(server, nowMs));
    }
};

beforeEach(() => {
    const step = stepOf({ estimatedRunTimeMs: 4_000, taskCount: 4 });
    servers = ["a", "b"].map(id => {
        const server = new ServerView(id, 1, 0, 0);
        server.updateFrom(heartbeatOf(id, 1), 0);
        return server;
    });
    runs = servers.flatMap((server, position) => [
        addRun(server, 2 * position, step),
        addRun(server, 2 * position + 1, step),
    ]);
});

// Guards against jobs that wait for tasks which stall on a server that still sends heartbeats.
it("stops the tasks of a server on which nothing progresses, and avoids the server", () => {
    reportProgress(new ServerSpeed(), [25, 25, 0, 0]);
    expect(runs.map(run => run.isStopping)).toEqual([false, false, true, true]);
    expect(servers.map(server => server.avoidUntilMs > 1_500)).toEqual([false, true]);
});

// Guards against classifying healthy servers as slow because a job's estimate was far too low.
it("does not classify servers as slow when a step progresses slowly on all of them", () => {
    reportProgress(new ServerSpeed(), [8, 8, 8, 8]);
    expect(runs.some(run => run.isStopping)).toBe(false);
});

// Guards against a server that is avoided forever because nothing runs there that could show its recovery.
it("stops avoiding a slow server when nothing has been measured there for a while", () => {
    const speed = new ServerSpeed();
    reportProgress(speed, [25, 25, 0, 0]);
    const [, slow] = servers;
    expect(slow?.avoidUntilMs).toBeGreaterThan(1_500);
    runs.slice(2).forEach(run => slow?.removeRun(run.task));
    for (let nowMs = 1_600; nowMs <= 6_000; nowMs += 100) {
        servers.forEach(server => speed.observe(server, nowMs));
    }
    expect(slow?.avoidUntilMs).toBeLessThan(6_000);
});

// Guards against a sound server that is avoided, and whose tasks are stopped, because its heartbeats were delayed on their
// way to the leader: the progress in a heartbeat is that at the time when it was sent.
it("does not classify a server as slow whose heartbeats arrive late", () => {
    const speed = new ServerSpeed();
    const report = (index: number, sequence: number, clockMs: number, nowMs: number): void => {
        const server = servers[index];
        server?.updateFrom(heartbeatOf(server.id, sequence, { clockMs }), nowMs);
        server?.runs.forEach(run => {
            run.progressPercent = clockMs / 40;
        });
        if (server !== undefined) {
            speed.observe(server, nowMs);
        }
    };
    for (let sequence = 2; sequence < 12; sequence += 1) {
        const clockMs = 100 * sequence;
        report(0, sequence, clockMs, clockMs);
        // Each heartbeat of the second server takes 800 ms longer than the one before.
        report(1, sequence, clockMs, clockMs + 800 * sequence);
    }
    expect(servers.map(server => server.avoidUntilMs)).toEqual([-Infinity, -Infinity]);
    expect(runs.some(run => run.isStopping)).toBe(false);
});

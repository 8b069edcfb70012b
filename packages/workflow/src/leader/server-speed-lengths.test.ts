import { describe, expect, it } from "vitest";
import { taskKindOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { heartbeatOf, stepOf } from "../testing/fixtures.js";
import { ServerSpeed } from "./server-speed.js";
import { newRunView, ServerView } from "./server-view.js";
import type { RunView } from "./server-view.js";

const HEARTBEAT_MS = 100;
/** Heartbeats of the longest tasks come less often here, so that a test takes no more than some thousand of them. */
const MAX_HEARTBEATS = 4_000;
/** Time for which a slow server is watched at least. */
const MIN_WATCH_MS = 5_000;
const LENGTHS_MS = [50, 1_000, 60_000, 80_000, 120_000, 600_000, 3_600_000, 86_400_000];

interface Scenario {
    lengthMs: number;
    servers: number;
    runsPerServer: number;
    /** Quantum of the reports in percent; undefined if no progress is reported. */
    quantumPercent: number | undefined;
    /** Estimate of the length as a multiple of it. */
    estimateRatio: number;
    /** Speed of the first server from half of the time on. */
    laterSpeed: number;
    /** Speed of the first server until then. */
    firstSpeed: number;
}

const SOUND: Scenario = {
    lengthMs: 0,
    servers: 3,
    runsPerServer: 3,
    quantumPercent: 1,
    estimateRatio: 1,
    laterSpeed: 1,
    firstSpeed: 1,
};

interface Played {
    /** Time at which the first server was found to be slow; undefined if it wasn't. */
    foundAtMs: number | undefined;
    stoppedServers: string[];
    avoidedServers: string[];
}

const addRun = (server: ServerView, index: number, step: StepSpecification): RunView => {
    const position = { jobId: "j", occurrence: 0, step: 0, index };
    const run = newRunView(
        { task: `j.0.0.${index}`, run: 1, position, step, kind: taskKindOf(step), checkpoint: "" },
        0,
    );
    run.isReported = true;
    run.firstReportedAtMs = 0;
    server.addRun(run);
    return run;
};

/** Reports the progress of all runs until the sound ones have ended, or until the first server was found to be slow. */
const play = (scenario: Scenario): Played => {
    const { lengthMs, quantumPercent, estimateRatio, firstSpeed, laterSpeed } = scenario;
    const step = stepOf({ estimatedRunTimeMs: lengthMs * estimateRatio, savesCheckpoints: true });
    const servers = Array.from({ length: scenario.servers }, (unused, index) => {
        const server = new ServerView(`s${index}`, 1, 0, 0);
        server.updateFrom(heartbeatOf(server.id, 1), 0);
        return server;
    });
    const runs = servers.map((server, position) =>
        Array.from(
            { length: scenario.runsPerServer },
            (unused, index) => addRun(server, position * scenario.runsPerServer + index, step),
        )
    );
    const speed = new ServerSpeed();
    const intervalMs = Math.max(HEARTBEAT_MS, lengthMs / MAX_HEARTBEATS);
    const isSlowed = firstSpeed < 1 || laterSpeed < 1;
    const endMs = isSlowed ? 2 * lengthMs + MIN_WATCH_MS : lengthMs;
    let foundAtMs: number | undefined;
    for (let nowMs = 0; nowMs < endMs && foundAtMs === undefined; nowMs += intervalMs) {
        servers.forEach((server, position) => {
            const firstHalfMs = Math.min(nowMs, lengthMs / 2);
            const workedMs = position === 0 ? firstHalfMs * firstSpeed + (nowMs - firstHalfMs) * laterSpeed : nowMs;
            const percent = Math.min(99.9, (100 * workedMs) / lengthMs);
            runs[position]?.forEach(run => {
                run.progressPercent = quantumPercent === undefined
                    ? 0
                    : Math.floor(percent / quantumPercent) * quantumPercent;
            });
            if (percent < 99.9) {
                speed.observe(server, nowMs);
            }
        });
        foundAtMs = servers[0]?.avoidUntilMs === -Infinity ? undefined : nowMs;
    }
    return {
        foundAtMs,
        stoppedServers: servers.filter((unused, index) => runs[index]?.some(run => run.isStopping)).map(({ id }) => id),
        avoidedServers: servers.filter(server => server.avoidUntilMs > -Infinity).map(({ id }) => id),
    };
};

const FLEETS = [{ servers: 1, runsPerServer: 1 }, { servers: 1, runsPerServer: 5 }, { servers: 3, runsPerServer: 3 }];

describe.each(LENGTHS_MS)("tasks of %i ms", lengthMs => {
    // Guards against long tasks that are stopped and begun again for ever on sound servers, whatever their reports and
    // estimates are.
    it.each([1, 0.25, 25, undefined])("run on when they report progress in quanta of %s percent", quantumPercent => {
        for (const estimateRatio of [0, 0.1, 1, 10]) {
            for (const fleet of FLEETS) {
                const played = play({ ...SOUND, ...fleet, lengthMs, quantumPercent, estimateRatio });
                expect({ ...played, estimateRatio, fleet }).toMatchObject({ stoppedServers: [], avoidedServers: [] });
            }
        }
    });
});

// Guards against tasks that stay on a server on which nothing progresses, however long they are.
describe.each(LENGTHS_MS.filter(lengthMs => lengthMs >= 1_000))(
    "a server that stalls under tasks of %i ms",
    lengthMs => {
        it.each([0.1, 1, 10])("is found with an estimate that is wrong by a factor of %s", estimateRatio => {
            const stalled = { ...SOUND, lengthMs, estimateRatio, laterSpeed: 0 };
            const { foundAtMs, stoppedServers, avoidedServers } = play(stalled);
            expect(foundAtMs).toBeLessThanOrEqual(lengthMs / 2 + Math.max(1_500, 0.09 * lengthMs));
            expect(stoppedServers).toEqual(["s0"]);
            expect(avoidedServers).toEqual(["s0"]);
        });

        it("is found within eight quanta when progress is reported in tenths", () => {
            const { foundAtMs } = play({ ...SOUND, lengthMs, quantumPercent: 10, laterSpeed: 0 });
            expect(foundAtMs).toBeLessThanOrEqual(lengthMs / 2 + Math.max(1_500, 0.8 * lengthMs) + 1_500);
        });

        it("is found by a single task, compared with its own progress before", () => {
            const { foundAtMs } = play({ ...SOUND, lengthMs, servers: 1, runsPerServer: 1, laterSpeed: 0 });
            expect(foundAtMs).toBeLessThanOrEqual(lengthMs / 2 + Math.max(2_500, 0.09 * lengthMs));
        });

        it("is found when it has stalled from the start", () => {
            const { foundAtMs } = play({ ...SOUND, lengthMs, firstSpeed: 0, laterSpeed: 0 });
            expect(foundAtMs).toBeLessThanOrEqual(Math.max(2_500, 0.12 * lengthMs));
        });
    },
);

// Guards against servers that take five times as long and are not avoided.
describe.each(LENGTHS_MS.filter(lengthMs => lengthMs >= 1_000))(
    "a server that is slow under tasks of %i ms",
    lengthMs => {
        it.each([0.1, 1, 10])("is found with an estimate that is wrong by a factor of %s", estimateRatio => {
            const { foundAtMs, avoidedServers } = play({
                ...SOUND,
                lengthMs,
                estimateRatio,
                firstSpeed: 0.2,
                laterSpeed: 0.2,
            });
            expect(foundAtMs).toBeLessThanOrEqual(Math.max(3_000, 0.25 * lengthMs));
            expect(avoidedServers).toEqual(["s0"]);
        });
    },
);

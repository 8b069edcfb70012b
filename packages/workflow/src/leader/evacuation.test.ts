import { expect, it } from "vitest";
import { taskKeyOf, TaskKind } from "../model/specification.js";
import { heartbeatOf, standingStepOf } from "../testing/fixtures.js";
import { LEADER_SETTINGS } from "../testing/single-replica.js";
import { Evacuation } from "./evacuation.js";
import { ServerDirectory } from "./server-directory.js";
import { newRunView } from "./server-view.js";
import type { RunView } from "./server-view.js";

const TIMES = { nowMs: 0, timeOfDayMs: 0 };
/** Election of a leader that has led for long. */
const LONG_AGO_MS = -60_000;
const STEP = standingStepOf({ taskCount: 2, maxUnavailable: 1 });

/** Returns a standing task at work. */
const standingRunOf = (index: number, occurrence = 0): RunView => {
    const position = { jobId: "j", occurrence, step: 0, index };
    const run = newRunView(
        { task: taskKeyOf(position), run: 1, position, step: STEP, kind: TaskKind.Standing, checkpoint: "" },
        0,
    );
    run.isReported = true;
    run.progressPercent = 100;
    return run;
};

// Guards against an occurrence of a standing step that loses more tasks at once than its bound allows, because the tasks
// of other occurrences were counted as its own.
it("counts the available tasks of each occurrence on its own", () => {
    const directory = new ServerDirectory(LEADER_SETTINGS, 0);
    const runs = [["leaving", 0], ["leaving", 1], ["other", 2], ["other", 3]].map(([serverId, number]) => {
        const run = standingRunOf(Number(number) % 2, Math.floor(Number(number) / 2));
        const isDraining = serverId === "leaving";
        const server = directory.get(String(serverId))
            ?? directory.recordHeartbeat(heartbeatOf(String(serverId), 1, { isDraining }), TIMES);
        server?.addRun(run);
        return run;
    });
    new Evacuation(directory, LONG_AGO_MS).run(0);
    expect(runs.map(run => run.isStopping)).toEqual([true, false, false, false]);
});

// Guards against a second unavailable task of a step whose bound is one: a task that its server no longer lists has ended.
it("doesn't count a task as available that its server no longer lists", () => {
    const directory = new ServerDirectory(LEADER_SETTINGS, 0);
    const [leaving] = ["leaving", "other"].map((serverId, index) => {
        const run = standingRunOf(index);
        run.missingSinceMs = serverId === "other" ? 0 : undefined;
        directory.recordHeartbeat(heartbeatOf(serverId, 1, { isDraining: serverId === "leaving" }), TIMES)?.addRun(run);
        return run;
    });
    new Evacuation(directory, LONG_AGO_MS).run(0);
    expect(leaving?.isStopping).toBe(false);
});

// Guards against a second unavailable task of a step whose bound is one: the server of the other task has been silent for
// so long that its tasks count as away, although its leases may not have expired.
it("doesn't count the tasks of a silent server as available", () => {
    const directory = new ServerDirectory(LEADER_SETTINGS, 0);
    const [leaving] = ["leaving", "silent"].map((serverId, index) => {
        const run = standingRunOf(index);
        directory.recordHeartbeat(heartbeatOf(serverId, 1, { isDraining: serverId === "leaving" }), TIMES)?.addRun(run);
        return run;
    });
    const nowMs = 4_500;
    directory.recordHeartbeat(heartbeatOf("leaving", 2, { isDraining: true }), { nowMs, timeOfDayMs: nowMs });
    new Evacuation(directory, LONG_AGO_MS).run(nowMs);
    expect(leaving?.isStopping).toBe(false);
});

/** Where a task is at work. */
interface Placement {
    serverId: string;
    /** Whether the VM of the server is to be maintained. */
    isLeaving?: boolean;
}

/** A standing step, or a finite one, just before a decision. */
interface Scenario {
    maxUnavailable: number | undefined;
    savesCheckpoints?: boolean;
    kind?: TaskKind;
    /** Places of the tasks, by their index. */
    placements: readonly Placement[];
    /** Changes the servers and the runs before the decision. */
    prepare?: (directory: ServerDirectory, runs: readonly RunView[]) => void;
}

/** Returns the indexes of the tasks of one step that are stopped by one decision. */
const stoppedIn = ({ maxUnavailable, savesCheckpoints = true, kind, placements, prepare }: Scenario): number[] => {
    const directory = new ServerDirectory(LEADER_SETTINGS, 0);
    const step = { ...STEP, taskCount: placements.length, maxUnavailable, savesCheckpoints };
    const runs = placements.map(({ serverId, isLeaving }, index) => {
        const server = directory.get(serverId) ?? directory.recordHeartbeat(heartbeatOf(serverId, 1), TIMES);
        const run = { ...standingRunOf(index), step, kind: kind ?? TaskKind.Standing };
        if (server !== undefined) {
            server.isInMaintenance = isLeaving === true;
            server.addRun(run);
        }
        return run;
    });
    prepare?.(directory, runs);
    new Evacuation(directory, LONG_AGO_MS).run(0);
    return runs.filter(run => run.isStopping).map(run => run.position.index);
};

const LEAVING = { serverId: "leaving", isLeaving: true };
const OTHER = { serverId: "other" };

// Guards against a wave that stops all tasks of a standing step at once (review/15): tasks that save checkpoints were stopped
// whatever the bound on unavailable tasks, as if they were finite.
it.each<[string, Scenario, number[]]>([
    ["one of four with a bound of one", { maxUnavailable: 1, placements: [LEAVING, LEAVING, LEAVING, LEAVING] }, [0]],
    ["two of four with a bound of two", { maxUnavailable: 2, placements: [LEAVING, LEAVING, LEAVING, LEAVING] }, [
        0,
        1,
    ]],
    ["none with a bound of zero", { maxUnavailable: 0, placements: [LEAVING, OTHER] }, []],
    ["all without a bound", { maxUnavailable: undefined, placements: [LEAVING, LEAVING] }, [0, 1]],
    ["all of a finite step", { maxUnavailable: 1, kind: TaskKind.Finite, placements: [LEAVING, LEAVING] }, [0, 1]],
    ["one on two VMs of a wave", {
        maxUnavailable: 1,
        placements: [LEAVING, { serverId: "second", isLeaving: true }, OTHER],
    }, [0]],
    ["none while another one is stopped on a draining server", {
        maxUnavailable: 1,
        placements: [LEAVING, { serverId: "draining" }],
        prepare: (directory, runs) => {
            const [, onDraining] = runs;
            Object.assign(directory.get("draining") ?? {}, { isDraining: true });
            Object.assign(onDraining ?? {}, { isStopping: true });
        },
    }, [1]],
    ["none while another one isn't at work after a crash", {
        maxUnavailable: 1,
        placements: [LEAVING, OTHER],
        prepare: (unusedDirectory, [, other]) => Object.assign(other ?? {}, { progressPercent: 40 }),
    }, []],
    ["none while a new leader hasn't heard of another one", {
        maxUnavailable: 1,
        placements: [LEAVING, OTHER],
        prepare: (unusedDirectory, [, other]) => Object.assign(other ?? {}, { isReported: false }),
    }, []],
])("stops %s that save checkpoints in maintenance", (unusedName, scenario, stopped) => {
    expect(stoppedIn(scenario)).toEqual(stopped);
});

// Guards against the loss of the work since the last checkpoint: a server that is about to exit ends its tasks in any case.
it("stops all standing tasks that save checkpoints just before their server exits", () => {
    const placements = [OTHER, OTHER];
    const prepare = (directory: ServerDirectory): void => {
        Object.assign(directory.get("other") ?? {}, { isDraining: true, leavesAtMs: 500 });
    };
    expect(stoppedIn({ maxUnavailable: 1, placements, prepare })).toEqual([0, 1]);
});

// Guards against a second unavailable task of a step whose bound is one: the former leader has ordered a stop, of which the
// first heartbeats of the new leader's term show nothing.
it("stops no task of a bounded step while the stops of a former leader may be under way", () => {
    const directory = new ServerDirectory(LEADER_SETTINGS, 0);
    const server = directory.recordHeartbeat(heartbeatOf("leaving", 1), TIMES);
    const runs = [standingRunOf(0), standingRunOf(1)];
    Object.assign(server ?? {}, { isInMaintenance: true });
    runs.forEach(run => server?.addRun(run));
    const evacuation = new Evacuation(directory, 0);
    evacuation.run(1_000);
    expect(runs.map(run => run.isStopping)).toEqual([false, false]);
    evacuation.run(1_500);
    expect(runs.map(run => run.isStopping)).toEqual([true, false]);
});

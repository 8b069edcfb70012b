import { expect, it } from "vitest";
import { RunEnd } from "../model/heartbeat.js";
import type { HeartbeatReport, ReportedEnd, ReportedRun } from "../model/heartbeat.js";
import { taskKeyOf } from "../model/specification.js";
import { heartbeatOf, jobOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";

const TASKS = 8;
const ENDS_PER_HEARTBEAT = 3;
const SMALL_STEP = stepOf({
    taskCount: TASKS,
    amounts: { cpuMillicores: 100, memoryMebibytes: 1, accelerators: 0 },
});

const taskOf = (index: number): string => taskKeyOf({ jobId: "job", occurrence: 0, step: 0, index });

const runningRow = (task: string, progressPercent = 50): ReportedRun => ({
    task,
    run: 1,
    checkpoint: "",
    progressPercent,
    measurement: undefined,
});

/** Returns a heartbeat of a server on which all tasks have ended, and which lists only a part of these ends. */
const cutReportOf = (
    sequence: number,
    acknowledgedEnd: number,
    changes: Partial<HeartbeatReport> = {},
): HeartbeatReport => {
    const ends = Array.from({ length: TASKS }, (unused, index): ReportedEnd => ({
        sequence: index + 1,
        task: taskOf(index),
        run: 1,
        end: RunEnd.Done,
        checkpoint: "",
    }));
    const open = ends.slice(acknowledgedEnd);
    return heartbeatOf("s", sequence, {
        ended: open.slice(0, ENDS_PER_HEARTBEAT),
        mayHaveMoreEnds: open.length >= ENDS_PER_HEARTBEAT,
        ...changes,
    });
};

/** Sends cut reports of `s` until all ends are acknowledged. Returns the tasks that are started meanwhile. */
const startsWhileEndsAreListed = (replica: SingleReplica, changes: Partial<HeartbeatReport> = {}): string[] => {
    const started: string[] = [];
    let acknowledgedEnd = 0;
    for (let sequence = 4; sequence < 10; sequence += 1) {
        const orders = replica.heartbeat(cutReportOf(sequence, acknowledgedEnd, changes));
        acknowledgedEnd = orders?.acknowledgedEnd ?? acknowledgedEnd;
        const other = replica.heartbeat(heartbeatOf("other", sequence));
        started.push(...[orders, other].flatMap(answer => answer?.starts ?? []).map(({ task }) => task));
        replica.advance(100);
    }
    expect(acknowledgedEnd).toBe(TASKS);
    return started;
};

// Guards against a second start of tasks that have ended on a server that was cut off: its first heartbeats list a part
// of its ends, and a run that is listed nowhere doesn't count as missing because of that.
it("starts no task again whose end the list of ends has no room for", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("job", SMALL_STEP));
    const started = replica.heartbeat(heartbeatOf("s", 2))?.starts ?? [];
    expect(started).toHaveLength(TASKS);
    replica.heartbeat(heartbeatOf("s", 3, { running: started.map(({ task }) => runningRow(task)) }));
    replica.advance(1_000);
    expect(startsWhileEndsAreListed(replica)).toEqual([]);
    expect(replica.stateOf("job")).toBe("completed");
});

// Guards against a second start of tasks that began and ended between two heartbeats of a server which may start nothing
// more: that their runs were never reported doesn't show that they never began.
it.each<[string, Partial<HeartbeatReport>, zoneOut: boolean]>([
    ["drains", { isDraining: true }, false],
    ["is in a zone out of service", { availabilityZone: "b" }, true],
])(
    "gives up no run without a report while the list of ends may be cut and the server %s",
    (name, changes, isZoneOut) => {
        const replica = SingleReplica.started();
        replica.heartbeat(heartbeatOf("s", 1, { ...changes, isDraining: false }));
        replica.submit(jobOf("job", SMALL_STEP));
        expect(replica.heartbeat(heartbeatOf("s", 2, { ...changes, isDraining: false }))?.starts).toHaveLength(TASKS);
        if (isZoneOut) {
            replica.node.setZone("b", true, () => undefined, replica.times);
        }
        replica.advance(1_000);
        expect(startsWhileEndsAreListed(replica, changes)).toEqual([]);
        expect(replica.stateOf("job")).toBe("completed");
    },
);

// Guards against a sound server that is avoided, and whose other tasks are stopped, because runs that have ended and aren't
// listed yet show no progress.
it("takes no server for slow whose list of ends may be cut", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1, { clockMs: 0 }));
    replica.submit(jobOf("long", { ...SMALL_STEP, taskCount: 2, estimatedRunTimeMs: 10_000 }));
    replica.submit(jobOf("job", SMALL_STEP));
    const started = replica.heartbeat(heartbeatOf("s", 2, { clockMs: 0 }))?.starts.map(({ task }) => task) ?? [];
    const listAt = (clockMs: number): ReportedRun[] =>
        started.filter(task => clockMs === 0 || task.startsWith("long")).map(task => runningRow(task, clockMs / 100));
    replica.heartbeat(heartbeatOf("s", 3, { clockMs: 0, running: listAt(0) }));
    replica.advance(2_500);
    const stops = [2_500, 3_000, 3_500].flatMap((clockMs, index) => {
        const changes = { clockMs, running: listAt(clockMs) };
        const orders = replica.heartbeat(cutReportOf(4 + index, index * ENDS_PER_HEARTBEAT, changes));
        replica.advance(500);
        return orders?.stops ?? [];
    });
    expect(stops).toEqual([]);
    expect(replica.node.session?.utilization().servers).toBe(1);
});

// Guards against a run that waits for ever for an end which its server doesn't have.
it("starts a task again whose run is listed nowhere although the list of ends is complete", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.submit(jobOf("job", stepOf()));
    replica.heartbeat(heartbeatOf("s", 2));
    replica.heartbeat(heartbeatOf("s", 3, { running: [runningRow(taskOf(0))] }));
    replica.heartbeat(heartbeatOf("s", 4, { mayHaveMoreEnds: false }));
    const starts = replica.heartbeat(heartbeatOf("s", 5))?.starts;
    expect(starts?.map(({ task, run }) => `${task}/${run}`)).toEqual([`${taskOf(0)}/2`]);
});

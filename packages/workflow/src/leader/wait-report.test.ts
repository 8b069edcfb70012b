import { expect, it } from "vitest";
import { RunEnd } from "../model/heartbeat.js";
import type { ReportedRun } from "../model/heartbeat.js";
import { TaskKind } from "../model/specification.js";
import { fillerStepOf, heartbeatOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { SingleReplica } from "../testing/single-replica.js";
import { Exclusion } from "./placement.js";
import type { WaitReport } from "./wait-report.js";

const reportsOf = (replica: SingleReplica): WaitReport[] => replica.node.session?.waitReports(replica.times) ?? [];

const reportedRunOf = (task: string, run: number): ReportedRun => ({
    task,
    run,
    checkpoint: "",
    progressPercent: 0,
    measurement: undefined,
});

const LARGE = { cpuMillicores: 8_000, memoryMebibytes: 1, accelerators: 0 };

// Guards against a task that waits and no record that tells why.
it("reports the longest waits of standing and finite tasks with the reasons that exclude servers", () => {
    const replica = SingleReplica.started();
    replica.submit(jobOf("standing", standingStepOf({ amounts: LARGE })));
    replica.submit(jobOf("finite", stepOf({ requiredLabel: "other" })));
    replica.advance(2_000);
    expect(reportsOf(replica)).toEqual([]);
    for (const sequence of [1, 2]) {
        replica.heartbeat(heartbeatOf("full", sequence));
        replica.heartbeat(heartbeatOf("draining", sequence, { isDraining: true }));
    }
    replica.advance(2_000);
    expect(reportsOf(replica)).toEqual([
        {
            kind: TaskKind.Standing,
            task: "standing.0.0.0",
            waitedMs: 4_000,
            serverId: undefined,
            lostRuns: 0,
            rejectedRuns: 0,
            serversWithRoom: 0,
            excludedServers: { [Exclusion.NoRoom]: 1, [Exclusion.Draining]: 1 },
        },
        expect.objectContaining({
            kind: TaskKind.Finite,
            excludedServers: { [Exclusion.Label]: 1, [Exclusion.Draining]: 1 },
        }),
    ]);
});

// Guards against a task that is assigned again and again without a start and that looks like one that has just come.
it("counts the assignments that ended without a start and the time since the first of them", () => {
    const replica = SingleReplica.started();
    replica.submit(jobOf("j", standingStepOf()));
    const [start] = replica.heartbeat(heartbeatOf("s", 1))?.starts ?? [];
    const ended = [{ sequence: 1, task: "j.0.0.0", run: start?.run ?? 0, end: RunEnd.NotStarted, checkpoint: "" }];
    replica.advance(1_500);
    replica.heartbeat(heartbeatOf("s", 2, { ended }));
    replica.advance(2_000);
    replica.heartbeat(heartbeatOf("s", 3, { ended }));
    expect(reportsOf(replica)).toMatchObject([{ task: "j.0.0.0", waitedMs: 3_500, serverId: "s", rejectedRuns: 1 }]);
});

// Guards against a job of fillers that is accepted and never at work, and no record that tells why.
it("reports the longest wait of a filler whose job has nothing at work, with the reasons that exclude servers", () => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.heartbeat(heartbeatOf("s", 2));
    replica.submit(jobOf("first", fillerStepOf({ taskCount: 8 })));
    replica.submit(jobOf("second", fillerStepOf()));
    replica.advance(2_000);
    const running = (replica.heartbeat(heartbeatOf("s", 3))?.starts ?? []).map(({ task, run }) =>
        reportedRunOf(task, run)
    );
    replica.heartbeat(heartbeatOf("s", 4, { running }));
    replica.advance(1_500);
    expect(reportsOf(replica)).toMatchObject([{
        kind: TaskKind.Filler,
        task: "second.0.0.0",
        waitedMs: 3_500,
        serversWithRoom: 0,
        excludedServers: { [Exclusion.LittleIdleCpu]: 1 },
    }]);
});

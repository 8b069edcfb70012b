import { expect, it } from "vitest";
import type { QueueContract } from "../../model/configuration.js";
import { RunEnd } from "../../model/heartbeat.js";
import { TaskKind } from "../../model/specification.js";
import { JobRecord } from "../../state/job-record.js";
import { configurationOf, heartbeatOf, HOST, jobOf, standingStepOf, stepOf } from "../../testing/fixtures.js";
import { SingleReplica } from "../../testing/single-replica.js";
import { Exclusion } from "../placement.js";
import { newRunView } from "../server-view.js";
import { Punctuality } from "./job-outcomes.js";
import type { OverloadReport } from "./overload-control.js";

const startWithServer = (): SingleReplica => {
    const replica = SingleReplica.started();
    replica.heartbeat(heartbeatOf("s", 1));
    replica.advance(2_000);
    replica.heartbeat(heartbeatOf("s", 2));
    return replica;
};

const reportOf = (replica: SingleReplica): OverloadReport | undefined =>
    replica.node.session?.overload.takeReport(replica.times);

// Load: standing and finite work of one priority compete for 4 cores. Guards against a standing job that is accepted, waits
// for room and then takes it from all finite jobs to come.
it("refuses a standing job at once while finite work takes the room, and accepts it when the load has fallen", () => {
    const replica = startWithServer();
    replica.submit(jobOf("finite", stepOf({ taskCount: 12 })));
    expect(replica.submit(jobOf("standing", standingStepOf()))).toMatchObject({ ok: false, retryAfterMs: 30_000 });
    expect(reportOf(replica)?.standingAdmission).toMatchObject({
        byPriority: { 0: { accepted: 0, refused: 1, refusedCores: 1 } },
        isShort: true,
    });
    replica.advance(40_000);
    replica.heartbeat(heartbeatOf("s", 3));
    replica.heartbeat(heartbeatOf("s", 4));
    expect(replica.submit(jobOf("standing", standingStepOf()))).toMatchObject({ ok: true });
});

// Guards against a new leader that knows nothing of the load and lets standing jobs take all room, and against one that
// refuses them since it has not heard of the servers yet.
it("knows the load of the former leader, and refuses nothing until the servers have found it", () => {
    const replica = startWithServer();
    replica.submit(jobOf("finite", stepOf({ taskCount: 12 })));
    replica.failOver();
    expect(replica.submit(jobOf("early", standingStepOf()))).toMatchObject({ ok: true });
    replica.advance(2_000);
    replica.heartbeat(heartbeatOf("s", 3));
    expect(replica.submit(jobOf("standing", standingStepOf()))).toMatchObject({ ok: false });
});

// Guards against standing jobs that are accepted for room in a zone that takes nothing new.
it("counts no room in zones that are out of service", () => {
    const replica = startWithServer();
    replica.submit(jobOf("finite", stepOf()));
    expect(replica.submit(jobOf("first", standingStepOf()))).toMatchObject({ ok: true });
    replica.node.setZone("a", true, () => undefined, replica.times);
    replica.settle();
    expect(replica.submit(jobOf("second", standingStepOf()))).toMatchObject({ ok: false });
});

// Guards against waits of which no line tells how many there are and what keeps servers from ending them.
it("summarizes the waiting steps by kind and priority with the reasons that exclude servers", () => {
    const replica = startWithServer();
    const large = { cpuMillicores: 3_000, memoryMebibytes: 10_000, accelerators: 0 };
    replica.submit(jobOf("first", stepOf({ amounts: large })));
    replica.submit(jobOf("second", stepOf({ amounts: large })));
    replica.submit(jobOf("third", stepOf({ amounts: { ...large, cpuMillicores: 1_000 } })));
    replica.advance(1_000);
    expect(reportOf(replica)?.waits).toMatchObject([{
        kind: TaskKind.Finite,
        priority: 0,
        steps: 2,
        tasks: 2,
        workCoreSeconds: 4,
        longestWaitMs: 1_000,
        excludedServers: { [Exclusion.NoRoom]: 1, [Exclusion.NoMemory]: 1 },
    }]);
});

// Guards against jobs that end late and no line that tells whether they waited, started slowly or ran for long.
it("reports a late job once, with its waits", () => {
    const replica = SingleReplica.started();
    replica.submit(jobOf("late", stepOf()));
    replica.advance(5_000);
    replica.heartbeat(heartbeatOf("s", 1));
    const [start] = replica.heartbeat(heartbeatOf("s", 2))?.starts ?? [];
    const run = { task: start?.task ?? "", run: start?.run ?? 0, checkpoint: "" };
    replica.advance(200);
    replica.heartbeat(heartbeatOf("s", 3, { running: [{ ...run, progressPercent: 0, measurement: undefined }] }));
    replica.advance(1_000);
    replica.submit(jobOf("cancelled", stepOf({ requiredLabel: "none" })));
    replica.node.cancel("cancelled", () => undefined, replica.times);
    replica.heartbeat(heartbeatOf("s", 4, { ended: [{ ...run, sequence: 1, end: RunEnd.Done }] }));
    replica.settle();
    const outcomes = reportOf(replica)?.outcomes;
    expect(outcomes?.counts).toEqual({
        [`${HOST} /batch/`]: { [Punctuality.Late]: 1, [Punctuality.Cancelled]: 1 },
    });
    expect(outcomes?.lateJobs).toMatchObject([{ jobId: "late", waitMs: 5_000, startMs: 200, repeatedRuns: 0 }]);
});

// Guards against run times of one queue that are taken for those of another queue with the same name.
it("learns the run times of queues that share a name apart", () => {
    const replica = startWithServer();
    const overload = replica.node.session?.overload;
    const [queue] = configurationOf(1).queues as [QueueContract];
    for (const pathPrefix of ["/batch/", "/other/"]) {
        const job = JobRecord.accepted(jobOf("j", stepOf()), { ...queue, pathPrefix }, 0);
        const position = { jobId: "j", occurrence: 0, step: 0, index: 0 };
        const run = newRunView(
            { task: "j.0.0.0", run: 1, position, step: stepOf(), kind: TaskKind.Finite, checkpoint: "" },
            0,
        );
        overload?.recordRunEnd(job, run, RunEnd.Done, 1_000);
    }
    expect(Object.keys(reportOf(replica)?.runTimeRatios ?? {})).toEqual([`${HOST} /batch/`, `${HOST} /other/`]);
});

import { expect, it } from "vitest";
import { JobState } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import { configurationOf, jobOf, stepOf } from "../testing/fixtures.js";
import { CrashInvolvement, LossReason } from "./crash-history.js";
import type { CrashReport } from "./crash-history.js";
import { JobRecord } from "./job-record.js";
import type { JobContent } from "./job-record.js";
import { TaskPhase } from "./occurrence-records.js";

const [QUEUE] = configurationOf(1).queues;

const gangOf = (taskCount: number): JobRecord =>
    JobRecord.accepted(jobOf("j", stepOf({ taskCount, isGang: true })), QUEUE as QueueContract, 0);

const positionOf = (index: number) => ({ jobId: "j", occurrence: 0, step: 0, index });

/** Runs all members once: those in `failed` end as failed, the others because the gang is broken. */
const runGang = (job: JobRecord, members: number, run: number, failed: readonly number[]): void => {
    for (let index = 0; index < members; index += 1) {
        job.assign(positionOf(index), { task: `j.0.0.${index}`, run, serverId: "s", incarnation: 1 });
    }
    for (let index = 0; index < members; index += 1) {
        const end = failed.includes(index) ? RunEnd.Failed : RunEnd.GangBroken;
        job.end(positionOf(index), { task: `j.0.0.${index}`, run, end, checkpoint: "" }, 0);
    }
};

// Guards against a gang that is retried forever because a different member fails in each run.
it("counts the failures of a gang's members together", () => {
    const job = gangOf(2);
    runGang(job, 2, 1, [0]);
    expect(job.state).toBe(JobState.Running);
    runGang(job, 2, 2, [1]);
    expect(job.state).toBe(JobState.Failed);
});

// Guards against a gang that exhausts its attempts in one run because several members fail in it.
it("counts one failure for each run of a gang", () => {
    const job = gangOf(3);
    runGang(job, 3, 1, [0, 1, 2]);
    expect(job.state).toBe(JobState.Running);
    runGang(job, 3, 2, [2, 0]);
    expect(job.state).toBe(JobState.Failed);
});

const FIRST = positionOf(0);

const crashOf = (serverId: string, involvement: CrashInvolvement): CrashReport => ({
    serverId,
    vmId: `vm-${serverId}`,
    involvement,
});

const loseRun = (job: JobRecord, run: number, involvement?: CrashInvolvement, serverId = `s${run}`): void => {
    const crash = involvement === undefined ? {} : { crash: crashOf(serverId, involvement) };
    job.assign(FIRST, { task: "j.0.0.0", run, serverId, incarnation: 1 });
    job.lose(FIRST, { task: "j.0.0.0", run, checkpoint: "", reason: LossReason.LeaseExpired, ...crash }, 7);
};

const singleTask = (): JobRecord => JobRecord.accepted(jobOf("j", stepOf()), QUEUE as QueueContract, 0);

// Guards against a task that is started for as long as it crashes servers (issue 22).
it("fails a job when one of its tasks was the sole suspect of two crashes", () => {
    const job = singleTask();
    loseRun(job, 1, CrashInvolvement.SoleSuspect);
    loseRun(job, 2, CrashInvolvement.Suspected);
    expect(job.state).toBe(JobState.Queued);
    loseRun(job, 3, CrashInvolvement.SoleSuspect);
    expect([job.state, job.endedAtMs]).toEqual([JobState.Failed, 7]);
    expect(job.crashingTask).toMatchObject({ task: "j.0.0.0", run: 3, crashes: [{ run: 1 }, { run: 2 }, { run: 3 }] });
});

// Guards against a bound that a task escapes because something else always had just started beside it.
it("fails a job when one of its tasks was involved in five crashes in a row", () => {
    const job = singleTask();
    [1, 2, 3, 4].forEach(run => loseRun(job, run, CrashInvolvement.Present));
    expect(job.state).toBe(JobState.Queued);
    loseRun(job, 5, CrashInvolvement.Present);
    expect(job.state).toBe(JobState.Failed);
});

// Guards against standing tasks that are given up for crashes that lie weeks apart.
it("forgets the crashes once a run has run on or ended", () => {
    const job = singleTask();
    loseRun(job, 1, CrashInvolvement.SoleSuspect);
    loseRun(job, 2, CrashInvolvement.RanOn);
    loseRun(job, 3, CrashInvolvement.SoleSuspect);
    job.assign(FIRST, { task: "j.0.0.0", run: 4, serverId: "s", incarnation: 1 });
    job.end(FIRST, { task: "j.0.0.0", run: 4, end: RunEnd.Stopped, checkpoint: "" }, 0);
    loseRun(job, 5, CrashInvolvement.SoleSuspect);
    expect(job.state).toBe(JobState.Running);
});

it("updates the involvement of an earlier run, while a later one is assigned, once only", () => {
    const job = singleTask();
    loseRun(job, 1, CrashInvolvement.Suspected);
    job.assign(FIRST, { task: "j.0.0.0", run: 2, serverId: "s", incarnation: 1 });
    const update = { task: "j.0.0.0", run: 1, checkpoint: "", crash: crashOf("s1", CrashInvolvement.SoleSuspect) };
    expect([job.lose(FIRST, update, 0), job.lose(FIRST, update, 0)]).toEqual([false, false]);
    expect(job.task(FIRST)).toMatchObject({
        phase: TaskPhase.Assigned,
        crashes: [{ run: 1, serverId: "s1", vmId: "vm-s1", involvement: CrashInvolvement.SoleSuspect }],
    });
});

// Guards against an upgrade that rewrites history: former versions record neither reasons nor crashes.
it("applies the losses and restores the content of former versions unchanged", () => {
    const job = singleTask();
    for (let run = 1; run <= 9; run += 1) {
        loseRun(job, run);
    }
    const restored = new JobRecord(JSON.parse(JSON.stringify(job.toContent())) as JobContent);
    expect(restored.task(FIRST)).toEqual({
        phase: TaskPhase.Waiting,
        run: 9,
        failures: 0,
        checkpoint: "",
        server: { serverId: "s9", incarnation: 1 },
    });
    expect(restored.state).toBe(JobState.Queued);
});

// Guards against a bound that begins anew when a replica restores a snapshot.
it("keeps the crashes in a snapshot", () => {
    const job = singleTask();
    loseRun(job, 1, CrashInvolvement.SoleSuspect);
    const restored = new JobRecord(JSON.parse(JSON.stringify(job.toContent())) as JobContent);
    loseRun(restored, 2, CrashInvolvement.SoleSuspect);
    expect(restored.state).toBe(JobState.Failed);
});

// Guards against a gang that is given up after one run, because several of its members crash their servers.
it("counts one crash for each run of a gang, for all members", () => {
    const job = gangOf(2);
    const assign = (run: number): void =>
        [0, 1].forEach(index =>
            void job.assign(positionOf(index), {
                task: `j.0.0.${index}`,
                run,
                serverId: `s${run}${index}`,
                incarnation: 1,
            })
        );
    const lose = (index: number, run: number): boolean => {
        const crash = crashOf(`s${run}${index}`, CrashInvolvement.SoleSuspect);
        return job.lose(positionOf(index), { task: `j.0.0.${index}`, run, checkpoint: "", crash }, 0);
    };
    assign(1);
    expect([lose(0, 1), lose(1, 1)]).toEqual([true, true]);
    expect(job.state).toBe(JobState.Queued);
    assign(2);
    lose(1, 2);
    expect(job.state).toBe(JobState.Failed);
});

// Guards against a sound job that is given up because one broken VM crashes again and again.
it("doesn't fail a job for crashes of one VM", () => {
    const job = singleTask();
    [1, 2, 3, 4].forEach(run => loseRun(job, run, CrashInvolvement.SoleSuspect, "s"));
    expect(job.state).toBe(JobState.Queued);
});

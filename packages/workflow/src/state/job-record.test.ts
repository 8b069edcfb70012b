import { expect, it } from "vitest";
import { JobState } from "../model/calls.js";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import { configurationOf, jobOf, stepOf } from "../testing/fixtures.js";
import { JobRecord } from "./job-record.js";

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

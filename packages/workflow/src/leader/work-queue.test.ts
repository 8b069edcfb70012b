import { expect, it } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import type { StepSpecification } from "../model/specification.js";
import { JobRecord } from "../state/job-record.js";
import { configurationOf, fillerStepOf, jobOf } from "../testing/fixtures.js";
import { WorkQueue } from "./work-queue.js";

const [QUEUE] = configurationOf(1).queues;

const accept = (queue: WorkQueue, id: string, acceptedAtMs: number, ...steps: StepSpecification[]): void => {
    queue.refresh(JobRecord.accepted(jobOf(id, ...steps), QUEUE as QueueContract, acceptedAtMs), acceptedAtMs);
};

const orderAt = (queue: WorkQueue, timeOfDayMs: number): string[] =>
    queue.ordered(timeOfDayMs).map(waiting => waiting.job.id);

// Load: more batch work than the servers can do. Guards against giving capacity to jobs that end late in any case,
// which makes the next jobs late, too.
it("puts batch jobs that cannot end in time behind those that can", () => {
    const queue = new WorkQueue();
    const step = fillerStepOf({ estimatedRunTimeMs: 4_000 });
    accept(queue, "first", 0, step);
    accept(queue, "second", 5_000, step);
    expect(orderAt(queue, 5_000)).toEqual(["first", "second"]);
    // The first job is expected to end by 9,000 and needs 4,000 more.
    expect(orderAt(queue, 7_000)).toEqual(["second", "first"]);
});

// Guards against counting a job of several steps as in time until its last step is overdue.
it("includes the estimated time of later steps", () => {
    const queue = new WorkQueue();
    const step = fillerStepOf({ estimatedRunTimeMs: 2_000 });
    accept(queue, "chain", 0, step, { ...step, dependsOn: [0] });
    accept(queue, "single", 6_000, step);
    expect(orderAt(queue, 6_100)).toEqual(["chain", "single"]);
    expect(orderAt(queue, 6_500)).toEqual(["single", "chain"]);
});

import { expect, it } from "vitest";
import type { QueueContract } from "../model/configuration.js";
import { RunEnd } from "../model/heartbeat.js";
import { taskKeyOf } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { JobRecord } from "../state/job-record.js";
import { configurationOf, fillerStepOf, jobOf, standingStepOf, stepOf } from "../testing/fixtures.js";
import { WorkQueue } from "./work-queue.js";

const [QUEUE] = configurationOf(1).queues;

const accept = (queue: WorkQueue, id: string, acceptedAtMs: number, ...steps: StepSpecification[]): void => {
    queue.refresh(JobRecord.accepted(jobOf(id, ...steps), QUEUE as QueueContract, acceptedAtMs), acceptedAtMs);
};

/** Adds a job with two tasks, of which one has been done. */
const acceptBegun = (queue: WorkQueue, id: string, acceptedAtMs: number, step: StepSpecification): JobRecord => {
    const job = JobRecord.accepted(jobOf(id, step), QUEUE as QueueContract, acceptedAtMs);
    const position = { jobId: id, occurrence: 0, step: 0, index: 0 };
    const task = taskKeyOf(position);
    job.assign(position, { task, run: 1, serverId: "s", incarnation: 1 });
    job.end(position, { task, run: 1, end: RunEnd.Done, checkpoint: "" }, acceptedAtMs);
    queue.refresh(job, acceptedAtMs);
    return job;
};

/** Returns the jobs in the order of their first turns. */
const orderAt = (queue: WorkQueue, timeOfDayMs: number, isRoomScarce = false): string[] => [
    ...new Set(queue.turns(timeOfDayMs, () => isRoomScarce).map(({ waiting }) => waiting.job.id)),
];

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
    accept(queue, "single", 4_500, step);
    // The chain is expected to end by 9,000 and needs 4,000.
    expect(orderAt(queue, 4_900)).toEqual(["chain", "single"]);
    expect(orderAt(queue, 5_100)).toEqual(["single", "chain"]);
});

// Load: more finite work than the servers can do, for example after an outage. Guards against giving capacity to jobs
// that end late in any case, which makes all later jobs late, too.
it("puts finite jobs that cannot end in time behind those that can", () => {
    const queue = new WorkQueue();
    const step = stepOf({ estimatedRunTimeMs: 1_000 });
    accept(queue, "first", 0, step);
    accept(queue, "second", 2_000, step);
    expect(orderAt(queue, 2_000)).toEqual(["first", "second"]);
    // The first job is expected to end by 3,000 and needs 1,000 more.
    expect(orderAt(queue, 2_100)).toEqual(["second", "first"]);
});

// Guards against wide jobs that are never finished, because each new job in time takes the capacity for their rest.
it("finishes finite jobs that have begun before it begins others, even if they end late", () => {
    const queue = new WorkQueue();
    const step = stepOf({ estimatedRunTimeMs: 1_000, taskCount: 2 });
    accept(queue, "late", 0, step);
    acceptBegun(queue, "begun-late", 0, step);
    accept(queue, "in-time", 2_000, step);
    acceptBegun(queue, "begun-in-time", 2_000, step);
    expect(orderAt(queue, 2_500)).toEqual(["begun-in-time", "begun-late", "in-time", "late"]);
});

// Load: more batch work than the servers can do. Guards against a job that waits for as long as there are others, because
// those that are late and older get one server after the other.
it("puts late jobs with nothing at work before late jobs that have a task at work", () => {
    const queue = new WorkQueue();
    const step = fillerStepOf({ estimatedRunTimeMs: 4_000, taskCount: 2 });
    const older = JobRecord.accepted(jobOf("older", step), QUEUE as QueueContract, 0);
    const position = { jobId: "older", occurrence: 0, step: 0, index: 0 };
    const task = taskKeyOf(position);
    queue.refresh(older, 0);
    accept(queue, "newer", 1_000, step);
    expect(orderAt(queue, 9_000)).toEqual(["older", "newer"]);
    older.assign(position, { task, run: 1, serverId: "s", incarnation: 1 });
    queue.refreshTask(older, 0, 9_000);
    expect(orderAt(queue, 9_000)).toEqual(["newer", "older"]);
    older.end(position, { task, run: 1, end: RunEnd.Stopped, checkpoint: "" }, 9_000);
    queue.refreshTask(older, 0, 9_000);
    expect(orderAt(queue, 9_000)).toEqual(["newer", "older"]);
});

// Load: an outage leaves more finite work than the servers can do. Guards against a job that has begun and then waits until
// an older, wider one is done.
it("puts begun finite jobs with nothing at work before others that end late as well", () => {
    const queue = new WorkQueue();
    const step = stepOf({ taskCount: 3 });
    const older = acceptBegun(queue, "older", 0, step);
    acceptBegun(queue, "newer", 100, step);
    expect(orderAt(queue, 9_000)).toEqual(["older", "newer"]);
    const position = { jobId: "older", occurrence: 0, step: 0, index: 1 };
    older.assign(position, { task: taskKeyOf(position), run: 1, serverId: "s", incarnation: 1 });
    queue.refreshTask(older, 0, 9_000);
    expect(orderAt(queue, 9_000)).toEqual(["newer", "older"]);
});

// Guards against standing tasks that count as late and wait behind all finite ones, and against standing tasks that take
// the capacity, for long, which a finite job needs to be finished.
it("orders a standing job by its expected end, after finite jobs that have begun, until it is overdue", () => {
    const queue = new WorkQueue();
    accept(queue, "late", 0, stepOf());
    accept(queue, "standing", 8_000, standingStepOf({ estimatedRunTimeMs: 1_000 }));
    accept(queue, "finite", 9_000, stepOf());
    acceptBegun(queue, "begun", 9_000, stepOf({ taskCount: 2 }));
    accept(queue, "new-standing", 9_500, standingStepOf({ estimatedRunTimeMs: 1_000 }));
    expect(orderAt(queue, 9_999)).toEqual(["begun", "standing", "finite", "new-standing", "late"]);
    expect(orderAt(queue, 10_000)).toEqual(["standing", "begun", "finite", "new-standing", "late"]);
});

// Load: standing and finite work of one priority compete for too little room. Guards against standing tasks that take the
// capacity, for long, which finite jobs need to end in time, and against standing tasks that wait behind late ones.
it("puts a standing job after finite jobs in time while room is scarce, until it is overdue", () => {
    const queue = new WorkQueue();
    accept(queue, "late", 0, stepOf());
    accept(queue, "standing", 8_000, standingStepOf({ estimatedRunTimeMs: 1_000 }));
    accept(queue, "finite", 9_000, stepOf());
    expect(orderAt(queue, 9_999, true)).toEqual(["finite", "standing", "late"]);
    expect(orderAt(queue, 10_000, true)).toEqual(["standing", "finite", "late"]);
});

// Load: more finite work than the servers can do for many seconds. Guards against begun jobs that nobody needs any more and
// that make all newer ones late.
it("puts finite jobs that have begun behind those in time when room is scarce and callers have little use for them", () => {
    const queue = new WorkQueue();
    const step = stepOf({ estimatedRunTimeMs: 1_000, taskCount: 2 });
    acceptBegun(queue, "begun", 0, step);
    accept(queue, "in-time", 7_900, step);
    // The begun job was to end by 3,000, and is of use until 9,000.
    expect(orderAt(queue, 8_000, true)).toEqual(["begun", "in-time"]);
    expect(orderAt(queue, 8_100, true)).toEqual(["in-time", "begun"]);
    expect(orderAt(queue, 8_100)).toEqual(["begun", "in-time"]);
});

// Guards against standing tasks that never start, because finite work that is more important takes all capacity.
it("puts a standing job that is overdue before all other work, whatever its priority", () => {
    const queue = new WorkQueue();
    const lessImportant = { ...(QUEUE as QueueContract), priority: 2 };
    queue.refresh(JobRecord.accepted(jobOf("standing", standingStepOf()), lessImportant, 0), 0);
    accept(queue, "finite", 0, stepOf());
    expect(orderAt(queue, 1_999)).toEqual(["finite", "standing"]);
    expect(orderAt(queue, 2_000)).toEqual(["standing", "finite"]);
});

// Guards against a standing task that never becomes overdue, because each assignment that ends without a start makes it
// wait anew.
it("counts the wait of a standing task through assignments that ended without a start", () => {
    const queue = new WorkQueue(task => task === "standing.0.0.0" ? 500 : undefined);
    const job = JobRecord.accepted(jobOf("standing", standingStepOf()), QUEUE as QueueContract, 0);
    const position = { jobId: "standing", occurrence: 0, step: 0, index: 0 };
    job.assign(position, { task: taskKeyOf(position), run: 1, serverId: "s", incarnation: 1 });
    job.lose(position, { task: taskKeyOf(position), run: 1, checkpoint: "" }, 0);
    queue.refresh(job, 2_400);
    acceptBegun(queue, "begun", 2_400, stepOf({ taskCount: 2 }));
    expect(orderAt(queue, 2_499)).toEqual(["begun", "standing"]);
    expect(orderAt(queue, 2_500)).toEqual(["standing", "begun"]);
});

// Guards against an order of lateness that outweighs the priority of the queue.
it("keeps jobs of a more important queue in front of those that are in time", () => {
    const queue = new WorkQueue();
    const step = stepOf({ estimatedRunTimeMs: 1_000 });
    accept(queue, "late", 0, step);
    const lessImportant = { ...(QUEUE as QueueContract), priority: 1 };
    queue.refresh(JobRecord.accepted(jobOf("less-important", step), lessImportant, 5_000), 5_000);
    expect(orderAt(queue, 5_000)).toEqual(["late", "less-important"]);
});

// Guards against a job that ends each leader in turn, as the functions that handled its dependencies took them as
// arguments, of which there may not be so many.
it("accepts a job with a very long list of dependencies", () => {
    const queue = new WorkQueue();
    accept(queue, "j", 0, stepOf(), stepOf({ dependsOn: Array<number>(500_000).fill(0) }));
    expect(orderAt(queue, 0)).toEqual(["j"]);
});

// Load: a job of 50,000 tasks. Guards against a leader that loses its lease, and a next one that does as well, while
// the critical path of the whole job is computed for each of its steps and occurrences.
it("adds a job of many steps and occurrences well within an election timeout", () => {
    const steps = Array.from({ length: 500 }, () => stepOf());
    const schedule = { occurrences: 100, firstDueMs: 0, intervalMs: 0 };
    const job = JobRecord.accepted({ ...jobOf("j", ...steps), schedule }, QUEUE as QueueContract, 0);
    const startedAt = process.cpuUsage();
    new WorkQueue().refresh(job, 0);
    const { user, system } = process.cpuUsage(startedAt);
    expect((user + system) / 1_000).toBeLessThan(300);
});

import * as fc from "fast-check";
import type { CallerJob, JobRequest } from "./callers.js";
import type { Fleet } from "./fleet.js";
import { anyIndex, defineCommand } from "./fuzz-command.js";
import type { Model, WeightedCommand } from "./fuzz-command.js";

const anyJobRequest: fc.Arbitrary<JobRequest> = fc.record({
    workClass: fc.constantFrom("check", "trial", "study", "study", "watch"),
    runMs: fc.constantFrom(30, 300, 1_500, 6_000),
    fail: fc.constantFrom(false, false, false, false, false, true),
    repeatable: fc.constantFrom(true, true, true, false),
    deadlineInMs: fc.constantFrom(undefined, undefined, undefined, 500, 8_000),
});

const pickJob = (fleet: Fleet, number: number): CallerJob | undefined =>
    fleet.callers.jobs[number % Math.max(1, fleet.callers.jobs.length)];

const hasJobs = (model: Readonly<Model>): boolean => model.jobs > 0;

/** Commands that submit, resubmit, cancel and query jobs, and that abandon the requests in flight. */
export const callerCommands: WeightedCommand[] = [
    defineCommand({
        weight: 14,
        argument: anyJobRequest,
        text: ({ workClass, runMs, fail, repeatable, deadlineInMs }: JobRequest) => {
            const deadline = deadlineInMs === undefined ? "" : `, within ${deadlineInMs} ms`;
            return `submit ${workClass} of ${runMs} ms${fail ? ", fails" : ""}${
                repeatable ? "" : ", non-repeatable"
            }${deadline}`;
        },
        execute: (fleet: Fleet, argument: JobRequest, model: Model) => {
            fleet.callers.submit(argument);
            model.jobs += 1;
        },
    }),
    defineCommand({
        weight: 3,
        argument: fc.integer({ min: 4, max: 30 }),
        text: (count: number) => `submit ${count} batch jobs`,
        execute: (fleet: Fleet, count: number, model: Model) => {
            for (let number = 0; number < count; number += 1) {
                const workClass = number % 3 === 0 ? "trial" : "study";
                fleet.callers.submit({ workClass, runMs: 3_000 });
            }
            model.jobs += count;
        },
    }),
    defineCommand({
        weight: 3,
        argument: fc.integer({ min: 2, max: 12 }),
        text: (count: number) => `submit ${count} latency-critical jobs`,
        execute: (fleet: Fleet, count: number, model: Model) => {
            for (let number = 0; number < count; number += 1) {
                fleet.callers.submit({ workClass: "check", runMs: 200 });
            }
            model.jobs += count;
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyJobRequest,
        text: ({ workClass }: JobRequest) => `submit two different ${workClass} jobs with one request id`,
        execute: (fleet: Fleet, argument: JobRequest, model: Model) => {
            fleet.callers.submit(argument, 2);
            model.jobs += 1;
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyIndex,
        text: (number: number) => `submit job ${number} again with different content`,
        isPermitted: hasJobs,
        execute: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job?.acceptedBody !== undefined) {
                fleet.callers.submitDifferent(job);
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyIndex,
        text: (number: number) => `submit job ${number} again at a random entry`,
        isPermitted: hasJobs,
        execute: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job !== undefined) {
                fleet.callers.putOnce(job, job.body);
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "abandon the requests of all callers",
        execute: (fleet: Fleet) => {
            fleet.callers.abandonRequests();
        },
    }),
    defineCommand({
        weight: 3,
        argument: anyIndex,
        text: (number: number) => `cancel job ${number}`,
        isPermitted: hasJobs,
        execute: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job !== undefined) {
                fleet.callers.cancel([job]);
            }
        },
    }),
    defineCommand({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "cancel every second open job",
        isPermitted: hasJobs,
        execute: (fleet: Fleet) => {
            fleet.callers.cancel(fleet.callers.open.filter((_unused, number) => number % 2 === 0));
        },
    }),
    defineCommand({
        weight: 2,
        argument: anyIndex,
        text: (number: number) => `query job ${number}`,
        isPermitted: hasJobs,
        execute: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job?.acceptedBody !== undefined) {
                fleet.callers.queryOnce(job);
            }
        },
    }),
];

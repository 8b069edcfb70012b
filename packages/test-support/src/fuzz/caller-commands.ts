import * as fc from "fast-check";
import type { CallerJob, JobWish } from "./callers.js";
import type { Fleet } from "./fleet.js";
import { position, step } from "./step.js";
import type { Model, WeightedStep } from "./step.js";

const wish: fc.Arbitrary<JobWish> = fc.record({
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
export const callerCommands: WeightedStep[] = [
    step({
        weight: 14,
        argument: wish,
        text: ({ workClass, runMs, fail, repeatable, deadlineInMs }: JobWish) => {
            const deadline = deadlineInMs === undefined ? "" : `, within ${deadlineInMs} ms`;
            return `submit ${workClass} of ${runMs} ms${fail ? ", fails" : ""}${
                repeatable ? "" : ", non-repeatable"
            }${deadline}`;
        },
        act: (fleet: Fleet, argument: JobWish, model: Model) => {
            fleet.callers.submit(argument);
            model.jobs += 1;
        },
    }),
    step({
        weight: 3,
        argument: fc.integer({ min: 4, max: 30 }),
        text: (count: number) => `submit ${count} batch jobs`,
        act: (fleet: Fleet, count: number, model: Model) => {
            for (let number = 0; number < count; number += 1) {
                const workClass = number % 3 === 0 ? "trial" : "study";
                fleet.callers.submit({ workClass, runMs: 3_000 });
            }
            model.jobs += count;
        },
    }),
    step({
        weight: 3,
        argument: fc.integer({ min: 2, max: 12 }),
        text: (count: number) => `submit ${count} latency-critical jobs`,
        act: (fleet: Fleet, count: number, model: Model) => {
            for (let number = 0; number < count; number += 1) {
                fleet.callers.submit({ workClass: "check", runMs: 200 });
            }
            model.jobs += count;
        },
    }),
    step({
        weight: 2,
        argument: wish,
        text: ({ workClass }: JobWish) => `submit two different jobs of ${workClass} with one request id`,
        act: (fleet: Fleet, argument: JobWish, model: Model) => {
            fleet.callers.submit(argument, 2);
            model.jobs += 1;
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `submit job ${number} again with different content`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job?.winner !== undefined) {
                fleet.callers.submitOther(job);
            }
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `submit job ${number} again at a random entry`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job !== undefined) {
                fleet.callers.putOnce(job, job.body);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "abandon the requests of all callers",
        act: (fleet: Fleet) => {
            fleet.callers.loseAnswers();
        },
    }),
    step({
        weight: 3,
        argument: position,
        text: (number: number) => `cancel job ${number}`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job !== undefined) {
                fleet.callers.cancel([job]);
            }
        },
    }),
    step({
        weight: 2,
        argument: fc.constant(undefined),
        text: () => "cancel every second open job",
        permitted: hasJobs,
        act: (fleet: Fleet) => {
            fleet.callers.cancel(fleet.callers.open.filter((_unused, number) => number % 2 === 0));
        },
    }),
    step({
        weight: 2,
        argument: position,
        text: (number: number) => `query job ${number}`,
        permitted: hasJobs,
        act: (fleet: Fleet, number: number) => {
            const job = pickJob(fleet, number);
            if (job?.winner !== undefined) {
                fleet.callers.askAgain(job);
            }
        },
    }),
];

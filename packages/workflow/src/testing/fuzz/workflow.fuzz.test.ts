import fc from "fast-check";
import { expect, it } from "vitest";
import { JobState } from "../../model/calls.js";
import { commandArbitraries } from "./commands.js";
import type { FuzzModel } from "./commands.js";
import { World } from "./world.js";

const RUNS = Number(process.env.WORKFLOW_FUZZ_RUNS ?? 300);
const SEED = Number(process.env.WORKFLOW_FUZZ_SEED ?? 20_261_204);
const MAX_COMMANDS = 60;
/** Leases run out and everything that is left is run within this. */
const RECOVERY_MS = 60_000;

/** Returns what is wrong once everything has healed: jobs that are unknown, stranded or shown in a wrong state. */
const strandedJobs = (world: World): string[] => {
    const faults: string[] = [];
    for (const [id, job] of world.jobs) {
        const state = world.stateOf(id);
        const isStanding = job.specification.steps.some(step => step.isStanding);
        const isDone = world.oracle.isDone(job.specification);
        if (job.isAccepted && state === undefined) {
            faults.push(`${id} is accepted and unknown`);
        }
        else if (state === JobState.Completed && !isDone) {
            faults.push(`${id} is shown as completed before every task is done`);
        }
        else if (state === JobState.Failed && !world.oracle.hasFailed(job)) {
            faults.push(`${id} is shown as failed without cause`);
        }
        else if (job.isAccepted && job.cancelledAtMs === undefined && state === JobState.Cancelled) {
            faults.push(`${id} is cancelled without a caller's doing`);
        }
        else if (job.isAccepted && !isStanding && (state === JobState.Queued || state === JobState.Running)) {
            faults.push(`${id} is stranded as ${state}`);
        }
    }
    return faults;
};

const play = (seed: number, commands: Iterable<fc.Command<FuzzModel, World>>): string[] => {
    const world = new World(seed);
    world.advance(1_000);
    fc.modelRun(() => ({ model: { jobs: 0 }, real: world }), commands);
    // What a caller has asked to cancel without an answer may be cancelled, or not.
    world.loseLeader();
    world.advance(1_000);
    world.heal();
    world.resubmit();
    world.jobs.forEach((job, id) => {
        if (job.specification.steps.some(step => step.isStanding)) {
            world.cancel(id);
        }
    });
    world.advance(RECOVERY_MS);
    return [...world.oracle.faults, ...strandedJobs(world)];
};

// Guards every promise about runs and jobs against losses of the leader, workers that are cut off, restart, drain or
// fail, zones out of service and cancellations, in any order.
it("keeps its promises through any series of disruptions", () => {
    fc.assert(
        fc.property(
            fc.integer(),
            fc.commands(commandArbitraries, { maxCommands: MAX_COMMANDS, size: "max" }),
            (seed, commands) => {
                expect(play(seed, commands)).toEqual([]);
            },
        ),
        { numRuns: RUNS, seed: SEED, endOnFailure: false },
    );
}, 600_000);

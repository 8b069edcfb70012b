import fc from "fast-check";
import { expect, it } from "vitest";
import { JobState } from "../../model/calls.js";
import { commandArbitraries } from "./commands.js";
import type { FuzzModel } from "./commands.js";
import { World } from "./world.js";

const RUNS = Number(process.env.WORKFLOW_FUZZ_RUNS ?? 300);
const SEED = Number(process.env.WORKFLOW_FUZZ_SEED ?? 20_261_204);
const MAX_COMMANDS = 60;
/** Time within which all leases expire and all remaining work is completed. */
const RECOVERY_MS = 60_000;

/** Returns what is wrong after the recovery: jobs that are unknown, unfinished or reported in a wrong state. */
const findJobViolations = (world: World): string[] => {
    const violations: string[] = [];
    for (const [id, job] of world.jobs) {
        const state = world.stateOf(id);
        const isStanding = job.specification.steps.some(step => step.isStanding);
        const isDone = world.oracle.isDone(job.specification);
        if (job.isAccepted && state === undefined) {
            violations.push(`${id} is accepted but unknown`);
        }
        else if (state === JobState.Completed && !isDone) {
            violations.push(`${id} is reported as completed before every task is done`);
        }
        else if (state === JobState.Failed && !world.oracle.hasFailed(job)) {
            violations.push(`${id} is reported as failed although no task has used up its attempts`);
        }
        else if (job.isAccepted && job.cancelledAtMs === undefined && state === JobState.Cancelled) {
            violations.push(`${id} is cancelled although no cancellation was acknowledged`);
        }
        else if (job.isAccepted && !isStanding && (state === JobState.Queued || state === JobState.Running)) {
            violations.push(`${id} has not ended and is still ${state}`);
        }
    }
    return violations;
};

const runScenario = (seed: number, commands: Iterable<fc.Command<FuzzModel, World>>): string[] => {
    const world = new World(seed);
    world.advance(1_000);
    fc.modelRun(() => ({ model: { jobs: 0 }, real: world }), commands);
    // A cancellation whose caller received no answer may or may not take effect.
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
    return [...world.oracle.violations, ...findJobViolations(world)];
};

// Checks the guarantees about runs and jobs under losses of the leader, workers that are partitioned, restart, drain or
// fail, zones out of service and cancellations, in any order.
it("keeps its guarantees through any sequence of disruptions", () => {
    fc.assert(
        fc.property(
            fc.integer(),
            fc.commands(commandArbitraries, { maxCommands: MAX_COMMANDS, size: "max" }),
            (seed, commands) => {
                expect(runScenario(seed, commands)).toEqual([]);
            },
        ),
        { numRuns: RUNS, seed: SEED, endOnFailure: false },
    );
}, 600_000);

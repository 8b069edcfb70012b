import fc from "fast-check";
import { expect, it } from "vitest";
import { JobState } from "../../model/calls.js";
import { commandArbitraries } from "./commands.js";
import type { FuzzModel } from "./commands.js";
import { Simulation } from "./simulation.js";

const RUNS = Number(process.env.WORKFLOW_FUZZ_RUNS ?? 300);
const SEED = Number(process.env.WORKFLOW_FUZZ_SEED ?? 20_261_204);
const MAX_COMMANDS = 60;
/** Time within which a new leader serves, even if the log has just stalled. */
const FAILOVER_MS = 2_500;
/** Time after the last disturbance within which all leases and all avoidances of servers expire. */
const SETTLING_MS = 10_000;
/** Time for which the capacity of the workers must be used once everything has settled. */
const STEADY_MS = 12_000;
/** Time within which all leases expire and all remaining work is completed. */
const RECOVERY_MS = 60_000;

/** Returns what is wrong after the recovery: jobs that are unknown, unfinished or reported in a wrong state. */
const findJobViolations = (simulation: Simulation): string[] => {
    const violations: string[] = [];
    for (const [id, job] of simulation.jobs) {
        const state = simulation.stateOf(id);
        const isStanding = job.specification.steps.some(step => step.isStanding);
        const isDone = simulation.oracle.isDone(job.specification);
        if (job.isAccepted && state === undefined) {
            violations.push(`${id} is accepted but unknown`);
        }
        else if (state === JobState.Completed && !isDone) {
            violations.push(`${id} is reported as completed before every task is done`);
        }
        else if (state === JobState.Failed && !simulation.oracle.hasFailed(job)) {
            violations.push(`${id} is reported as failed although no task has used up its attempts`);
        }
        else if (job.isAccepted && job.possibleCancellations === 0 && state === JobState.Cancelled) {
            violations.push(`${id} is cancelled although no cancellation can have had an effect`);
        }
        else if (job.isAccepted && !isStanding && (state === JobState.Queued || state === JobState.Running)) {
            violations.push(`${id} has not ended and is still ${state}`);
        }
    }
    return violations;
};

const runScenario = (seed: number, commands: Iterable<fc.Command<FuzzModel, Simulation>>): string[] => {
    const simulation = new Simulation(seed);
    simulation.advance(1_000);
    fc.modelRun(() => ({ model: { jobs: 0 }, real: simulation }), commands);
    // A cancellation whose caller received no answer may or may not take effect.
    simulation.loseLeader();
    simulation.advance(FAILOVER_MS);
    simulation.heal();
    simulation.resubmit();
    simulation.advance(SETTLING_MS);
    simulation.advanceCheckingLiveness(STEADY_MS);
    simulation.jobs.forEach((job, id) => {
        if (job.specification.steps.some(step => step.isStanding)) {
            simulation.cancel(id);
        }
    });
    simulation.advance(RECOVERY_MS);
    return [
        ...simulation.oracle.violations,
        ...simulation.liveness.violations,
        ...findJobViolations(simulation),
    ];
};

// Checks the guarantees about runs and jobs under losses of the leader, workers that are partitioned, restart, drain,
// fail or shrink, zones out of service and cancellations, in any order. Also guards against accepted tasks that stand
// still after the last disturbance although there is capacity for them.
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

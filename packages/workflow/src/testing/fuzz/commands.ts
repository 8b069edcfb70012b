import fc from "fast-check";
import type { JobSpecification, StepSpecification } from "../../model/specification.js";
import { jobOf, stepOf } from "../fixtures.js";
import type { JobBehaviour, Simulation } from "./simulation.js";

/** State that the commands keep outside of the simulation. */
export interface FuzzModel {
    /** Number of jobs submitted so far; gives each job its id. */
    jobs: number;
}

/** A command without a precondition. Its name appears in reports of counterexamples. */
class SimulationCommand implements fc.Command<FuzzModel, Simulation> {
    readonly #name: string;
    readonly #execute: (simulation: Simulation, model: FuzzModel) => void;

    constructor(name: string, execute: (simulation: Simulation, model: FuzzModel) => void) {
        this.#name = name;
        this.#execute = execute;
    }

    check(): boolean {
        return true;
    }

    run(model: FuzzModel, simulation: Simulation): void {
        this.#execute(simulation, model);
    }

    toString(): string {
        return this.#name;
    }
}

const WORKER_COUNT = 4;
const MAX_ADVANCE_MS = 4_000;
/** Shares of a worker's full capacity to which it shrinks and grows. */
const CAPACITY_RATIOS = [0, 0.3, 0.6, 1];

const stepArbitrary: fc.Arbitrary<Partial<StepSpecification>> = fc.record({
    taskCount: fc.integer({ min: 1, max: 5 }),
    amounts: fc.record({
        cpuMillicores: fc.integer({ min: 200, max: 3_000 }),
        memoryMebibytes: fc.integer({ min: 100, max: 3_000 }),
        accelerators: fc.constant(0),
    }),
    savesCheckpoints: fc.boolean(),
    isFiller: fc.boolean(),
    maxTasksPerServer: fc.constantFrom(0, 0, 2),
    requiredLabel: fc.constantFrom("", "", "odd"),
    isStanding: fc.constantFrom(false, false, false, true),
    isGang: fc.constantFrom(false, false, true),
});

/** Limits a gang to a few small tasks, so that it always fits on the workers. A standing step is never a gang. */
const normalizeStep = (step: Partial<StepSpecification>): StepSpecification => {
    const isGang = step.isGang === true && step.isStanding !== true;
    const amounts = { cpuMillicores: 500, memoryMebibytes: 200, accelerators: 0 };
    return stepOf(isGang ? { ...step, isGang, amounts, taskCount: 3, maxTasksPerServer: 0 } : { ...step, isGang });
};

/** Makes each step depend on the one before. A standing step stands alone: it would block its successors forever. */
const chainSteps = (steps: readonly Partial<StepSpecification>[]): StepSpecification[] => {
    const [first] = steps;
    if (first?.isStanding === true) {
        return [normalizeStep(first)];
    }
    return steps.map((step, index) => ({
        ...normalizeStep({ ...step, isStanding: false }),
        dependsOn: index === 0 ? [] : [index - 1],
    }));
};

const behaviourArbitrary: fc.Arbitrary<JobBehaviour> = fc.record({
    durationMs: fc.integer({ min: 50, max: 3_000 }),
    failsAlways: fc.constantFrom(false, false, false, false, true),
});

const submitCommand = (steps: readonly Partial<StepSpecification>[], behaviour: JobBehaviour): SimulationCommand =>
    new SimulationCommand(`submit ${JSON.stringify(steps)} ${JSON.stringify(behaviour)}`, (simulation, model) => {
        model.jobs += 1;
        const specification: JobSpecification = jobOf(`job${model.jobs}`, ...chainSteps(steps));
        simulation.submit(specification, behaviour);
    });

const workerCommand = (
    name: string,
    execute: (simulation: Simulation, worker: number) => void,
): fc.Arbitrary<SimulationCommand> =>
    fc.integer({ min: 0, max: WORKER_COUNT - 1 }).map(worker =>
        new SimulationCommand(`${name} w${worker}`, simulation => execute(simulation, worker))
    );

/** Arbitraries of all commands. Submissions and time steps are listed twice, so that they are the most frequent. */
export const commandArbitraries: fc.Arbitrary<fc.Command<FuzzModel, Simulation>>[] = [
    fc.tuple(fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }), behaviourArbitrary)
        .map(([steps, behaviour]) => submitCommand(steps, behaviour)),
    fc.tuple(fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }), behaviourArbitrary)
        .map(([steps, behaviour]) => submitCommand(steps, behaviour)),
    fc.integer({ min: 20, max: MAX_ADVANCE_MS }).map(durationMs =>
        new SimulationCommand(`advance ${durationMs}`, simulation => simulation.advance(durationMs))
    ),
    fc.integer({ min: 20, max: 500 }).map(durationMs =>
        new SimulationCommand(`advance ${durationMs}`, simulation => simulation.advance(durationMs))
    ),
    fc.constant(new SimulationCommand("lose the leader", simulation => simulation.loseLeader())),
    fc.integer({ min: 100, max: 1_500 }).map(durationMs =>
        new SimulationCommand(`stall the log for ${durationMs}`, simulation => simulation.stallLog(durationMs))
    ),
    fc.constant(new SimulationCommand("submit again", simulation => simulation.resubmit())),
    fc.nat(20).map(number =>
        new SimulationCommand(
            `cancel job ${number}`,
            (simulation, model) => simulation.cancel(`job${(number % (model.jobs + 1))}`),
        )
    ),
    fc.tuple(fc.constantFrom("a", "b"), fc.boolean()).map(([zone, isOut]) =>
        new SimulationCommand(`zone ${zone} ${isOut ? "out" : "back"}`, simulation => simulation.setZone(zone, isOut))
    ),
    workerCommand("restart", (simulation, worker) => simulation.restartWorker(worker)),
    workerCommand("drain", (simulation, worker) => simulation.drainWorker(worker)),
    fc.integer({ min: 200, max: 9_000 }).chain(durationMs =>
        workerCommand(
            `partition for ${durationMs}`,
            (simulation, worker) => simulation.partitionWorker(worker, durationMs),
        )
    ),
    fc.integer({ min: 200, max: 5_000 }).chain(durationMs =>
        workerCommand(
            `delay messages for ${durationMs}`,
            (simulation, worker) => simulation.slowDownNetwork(worker, durationMs),
        )
    ),
    fc.integer({ min: 200, max: 5_000 }).chain(durationMs =>
        workerCommand(`fail for ${durationMs}`, (simulation, worker) => simulation.failWorker(worker, durationMs))
    ),
    fc.tuple(fc.constantFrom(...CAPACITY_RATIOS), fc.constantFrom(...CAPACITY_RATIOS)).chain((
        [cpuRatio, memoryRatio],
    ) => workerCommand(
        `resize to ${cpuRatio} of the CPU and ${memoryRatio} of the memory`,
        (simulation, worker) => simulation.resizeWorker(worker, cpuRatio, memoryRatio),
    )),
];

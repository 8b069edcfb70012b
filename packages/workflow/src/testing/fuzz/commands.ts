import fc from "fast-check";
import type { JobSpecification, StepSpecification } from "../../model/specification.js";
import { jobOf, stepOf } from "../fixtures.js";
import type { JobBehaviour, World } from "./world.js";

/** State that the commands keep outside of the world. */
export interface FuzzModel {
    /** Number of jobs submitted so far; gives each job its id. */
    jobs: number;
}

/** A command without a precondition. Its name appears in reports of counterexamples. */
class WorldCommand implements fc.Command<FuzzModel, World> {
    readonly #name: string;
    readonly #act: (world: World, model: FuzzModel) => void;

    constructor(name: string, act: (world: World, model: FuzzModel) => void) {
        this.#name = name;
        this.#act = act;
    }

    check(): boolean {
        return true;
    }

    run(model: FuzzModel, world: World): void {
        this.#act(world, model);
    }

    toString(): string {
        return this.#name;
    }
}

const WORKERS = 4;
const MAX_ADVANCE_MS = 4_000;

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
const normalize = (step: Partial<StepSpecification>): StepSpecification => {
    const isGang = step.isGang === true && step.isStanding !== true;
    const amounts = { cpuMillicores: 500, memoryMebibytes: 200, accelerators: 0 };
    return stepOf(isGang ? { ...step, isGang, amounts, taskCount: 3, maxTasksPerServer: 0 } : { ...step, isGang });
};

/** Makes each step depend on the one before. A standing step stands alone: it would block its successors forever. */
const chain = (steps: readonly Partial<StepSpecification>[]): StepSpecification[] => {
    const [first] = steps;
    if (first?.isStanding === true) {
        return [normalize(first)];
    }
    return steps.map((step, index) => ({
        ...normalize({ ...step, isStanding: false }),
        dependsOn: index === 0 ? [] : [index - 1],
    }));
};

const behaviourArbitrary: fc.Arbitrary<JobBehaviour> = fc.record({
    durationMs: fc.integer({ min: 50, max: 3_000 }),
    failsAlways: fc.constantFrom(false, false, false, false, true),
});

const submit = (steps: readonly Partial<StepSpecification>[], behaviour: JobBehaviour): WorldCommand =>
    new WorldCommand(`submit ${JSON.stringify(steps)} ${JSON.stringify(behaviour)}`, (world, model) => {
        model.jobs += 1;
        const specification: JobSpecification = jobOf(`job${model.jobs}`, ...chain(steps));
        world.submit(specification, behaviour);
    });

const onWorker = (name: string, act: (world: World, worker: number) => void): fc.Arbitrary<WorldCommand> =>
    fc.integer({ min: 0, max: WORKERS - 1 }).map(worker =>
        new WorldCommand(`${name} w${worker}`, world => act(world, worker))
    );

/** Arbitraries of all commands. Submissions and time steps are listed twice, so that they are the most frequent. */
export const commandArbitraries: fc.Arbitrary<fc.Command<FuzzModel, World>>[] = [
    fc.tuple(fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }), behaviourArbitrary)
        .map(([steps, behaviour]) => submit(steps, behaviour)),
    fc.tuple(fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }), behaviourArbitrary)
        .map(([steps, behaviour]) => submit(steps, behaviour)),
    fc.integer({ min: 20, max: MAX_ADVANCE_MS }).map(durationMs =>
        new WorldCommand(`advance ${durationMs}`, world => world.advance(durationMs))
    ),
    fc.integer({ min: 20, max: 500 }).map(durationMs =>
        new WorldCommand(`advance ${durationMs}`, world => world.advance(durationMs))
    ),
    fc.constant(new WorldCommand("lose the leader", world => world.loseLeader())),
    fc.integer({ min: 100, max: 1_500 }).map(durationMs =>
        new WorldCommand(`stall the log for ${durationMs}`, world => world.stallLog(durationMs))
    ),
    fc.constant(new WorldCommand("submit again", world => world.resubmit())),
    fc.nat(20).map(number =>
        new WorldCommand(`cancel job ${number}`, (world, model) => world.cancel(`job${(number % (model.jobs + 1))}`))
    ),
    fc.tuple(fc.constantFrom("a", "b"), fc.boolean()).map(([zone, isOut]) =>
        new WorldCommand(`zone ${zone} ${isOut ? "out" : "back"}`, world => world.setZone(zone, isOut))
    ),
    onWorker("restart", (world, worker) => world.restartWorker(worker)),
    onWorker("drain", (world, worker) => world.drainWorker(worker)),
    fc.integer({ min: 200, max: 9_000 }).chain(durationMs =>
        onWorker(`cut for ${durationMs}`, (world, worker) => world.cutWorker(worker, durationMs))
    ),
    fc.integer({ min: 200, max: 5_000 }).chain(durationMs =>
        onWorker(`fail for ${durationMs}`, (world, worker) => world.failWorker(worker, durationMs))
    ),
];

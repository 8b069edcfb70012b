import type { JobSpecification, StepSpecification } from "@waxwingspread/workflow";
import { jobOf, stepOf } from "@waxwingspread/workflow/testing";
import fc from "fast-check";
import type { Deployment } from "../model/deployment.js";
import type { JobBehaviour } from "../model/job-behaviours.js";

/** State that the commands keep outside of the deployment. */
export interface FuzzModel {
    /** Number of jobs submitted so far; gives each job its id. */
    jobs: number;
}

/** A command without a precondition. Its name appears in reports of counterexamples. */
class DeploymentCommand implements fc.Command<FuzzModel, Deployment> {
    readonly #name: string;
    readonly #execute: (deployment: Deployment, model: FuzzModel) => void;

    constructor(name: string, execute: (deployment: Deployment, model: FuzzModel) => void) {
        this.#name = name;
        this.#execute = execute;
    }

    check(): boolean {
        return true;
    }

    run(model: FuzzModel, deployment: Deployment): void {
        this.#execute(deployment, model);
    }

    toString(): string {
        return this.#name;
    }
}

const SERVER_COUNT = 4;
const MAX_ADVANCE_MS = 4_000;
/** Shares of a server's full capacity to which it shrinks and grows. */
const CAPACITY_RATIOS = [0, 0.3, 0.6, 1];
/** Shares of its speed at which a server's tasks stand still, are slow or proceed as ever. */
const SPEEDS = [0, 0.2, 1];
/** Shares of their targets at which standing tasks are calm, so busy that fillers are left alone, or over them. */
const TAIL_RATIOS = [0.1, 0.72, 1.5];
const MAX_MAINTENANCE_MS = 20_000;
const MAX_SUBMISSION_DELAY_MS = 8_000;

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
    targetTailMs: fc.constantFrom(0, 100),
});

/** Limits a gang to a few small tasks, so that it always fits on the servers. A standing step is never a gang. */
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
    crashesServers: fc.constantFrom(false, false, false, false, false, true),
    quantumPercent: fc.constantFrom(1, 1, 20, Infinity),
});

const submitCommand = (
    steps: readonly Partial<StepSpecification>[],
    behaviour: JobBehaviour,
    delayMs = 0,
    organisation?: string,
): DeploymentCommand => {
    const name = `submit ${JSON.stringify(steps)} ${JSON.stringify(behaviour)} arriving after ${delayMs}`
        + (organisation === undefined ? "" : ` of ${organisation}`);
    return new DeploymentCommand(name, (deployment, model) => {
        model.jobs += 1;
        const job = jobOf(`job${model.jobs}`, ...chainSteps(steps));
        const specification: JobSpecification = organisation === undefined ? job : { ...job, organisation };
        deployment.submit(specification, behaviour, delayMs);
    });
};

const serverCommand = (
    name: string,
    execute: (deployment: Deployment, server: number) => void,
): fc.Arbitrary<DeploymentCommand> =>
    fc.integer({ min: 0, max: SERVER_COUNT - 1 }).map(server =>
        new DeploymentCommand(`${name} w${server}`, deployment => execute(deployment, server))
    );

type CommandArbitrary = fc.Arbitrary<fc.Command<FuzzModel, Deployment>>;

const submitArbitrary: CommandArbitrary = fc
    .tuple(fc.array(stepArbitrary, { minLength: 1, maxLength: 3 }), behaviourArbitrary)
    .map(([steps, behaviour]) => submitCommand(steps, behaviour));

/** Submits a standing step, or a filler that takes some seconds. */
const submitPacedArbitrary: CommandArbitrary = fc
    .tuple(fc.boolean(), fc.integer({ min: 1, max: 4 }), fc.integer({ min: 1_000, max: 8_000 }))
    .map(([isStanding, taskCount, durationMs]) =>
        submitCommand([{ isStanding, isFiller: !isStanding, targetTailMs: 100, taskCount }], {
            durationMs,
            failsAlways: false,
        })
    );

/** Submits a job whose submission arrives late, so that it may be cancelled before. Tasks of one image behave alike. */
const submitLateArbitrary: CommandArbitrary = fc
    .tuple(
        fc.array(stepArbitrary, { minLength: 1, maxLength: 2 }),
        behaviourArbitrary,
        fc.integer({ min: 0, max: MAX_SUBMISSION_DELAY_MS }),
    )
    .map(([steps, behaviour, delayMs]) => submitCommand(steps, { ...behaviour, quantumPercent: 1 }, delayMs));

/** Submits standing tasks, or tasks without checkpoints that a VM is kept up for while it is emptied. */
const submitLastingArbitrary: CommandArbitrary = fc
    .tuple(fc.boolean(), fc.integer({ min: 2, max: 8 }), fc.integer({ min: 3_000, max: 9_000 }))
    .map(([isStanding, taskCount, durationMs]) =>
        submitCommand([{ isStanding, taskCount }], { durationMs, failsAlways: false })
    );

const advanceArbitrary: CommandArbitrary = fc.integer({ min: 20, max: MAX_ADVANCE_MS }).map(durationMs =>
    new DeploymentCommand(`advance ${durationMs}`, deployment => deployment.advance(durationMs))
);

const advanceBrieflyArbitrary: CommandArbitrary = fc.integer({ min: 20, max: 500 }).map(durationMs =>
    new DeploymentCommand(`advance ${durationMs}`, deployment => deployment.advance(durationMs))
);

const loseLeaderArbitrary: CommandArbitrary = fc.constant(
    new DeploymentCommand("lose the leader", deployment => deployment.loseLeader()),
);

const stallLogArbitrary: CommandArbitrary = fc.integer({ min: 100, max: 1_500 }).map(durationMs =>
    new DeploymentCommand(`stall the log for ${durationMs}`, deployment => deployment.stallLog(durationMs))
);

const suspendLeaderArbitrary: CommandArbitrary = fc.integer({ min: 100, max: 6_000 }).map(durationMs =>
    new DeploymentCommand(`suspend the leader for ${durationMs}`, deployment => deployment.suspendLeader(durationMs))
);

const suspendLeaderForLongArbitrary: CommandArbitrary = fc.integer({ min: 3_500, max: 8_000 }).map(durationMs =>
    new DeploymentCommand(`suspend the leader for ${durationMs}`, deployment => deployment.suspendLeader(durationMs))
);

const maintainArbitrary: CommandArbitrary = fc
    .tuple(fc.uniqueArray(fc.nat(SERVER_COUNT - 1), { minLength: 2 }), fc.integer({ min: 1, max: 2 }))
    .map(([servers, maxConcurrent]) =>
        new DeploymentCommand(
            `maintain ${servers.join()} ${maxConcurrent} at a time`,
            deployment => deployment.orderMaintenance(servers, maxConcurrent, MAX_MAINTENANCE_MS),
        )
    );

const tailArbitrary: CommandArbitrary = fc.constantFrom(...TAIL_RATIOS).map(ratio =>
    new DeploymentCommand(`set the tails to ${ratio} of the targets`, deployment => deployment.setTailRatio(ratio))
);

const cancelArbitrary: CommandArbitrary = fc.nat(20).map(number =>
    new DeploymentCommand(
        `cancel job ${number}`,
        (deployment, model) => deployment.cancel(`job${(number % (model.jobs + 1))}`),
    )
);

const cancelLatestArbitrary: CommandArbitrary = fc.constant(
    new DeploymentCommand("cancel the latest job", (deployment, model) => deployment.cancel(`job${model.jobs}`)),
);

const zoneArbitrary: CommandArbitrary = fc.tuple(fc.constantFrom("a", "b"), fc.boolean()).map(([zone, isOut]) =>
    new DeploymentCommand(`zone ${zone} ${isOut ? "out" : "back"}`, deployment => deployment.setZone(zone, isOut))
);

const crashArbitrary: CommandArbitrary = fc.integer({ min: 200, max: 6_000 }).chain(downMs =>
    serverCommand(`crash for ${downMs}`, (deployment, server) => deployment.crashServer(server, downMs))
);

const partitionArbitrary: CommandArbitrary = fc.integer({ min: 200, max: 9_000 }).chain(durationMs =>
    serverCommand(
        `partition for ${durationMs}`,
        (deployment, server) => deployment.partitionServer(server, durationMs),
    )
);

const serverArbitraries: readonly CommandArbitrary[] = [
    crashArbitrary,
    partitionArbitrary,
    serverCommand("restart", (deployment, server) => deployment.restartServer(server)),
    serverCommand("drain", (deployment, server) => deployment.drainServer(server)),
    fc.constantFrom(...SPEEDS).chain(speed =>
        serverCommand(`set the speed to ${speed} of`, (deployment, server) => deployment.setSpeed(server, speed))
    ),
    fc.integer({ min: 200, max: 5_000 }).chain(durationMs =>
        serverCommand(
            `delay messages for ${durationMs}`,
            (deployment, server) => deployment.slowDownNetwork(server, durationMs),
        )
    ),
    fc.integer({ min: 200, max: 5_000 }).chain(durationMs =>
        serverCommand(`fail for ${durationMs}`, (deployment, server) => deployment.failServer(server, durationMs))
    ),
    fc.tuple(fc.constantFrom(...CAPACITY_RATIOS), fc.constantFrom(...CAPACITY_RATIOS)).chain((
        [cpuRatio, memoryRatio],
    ) => serverCommand(
        `resize to ${cpuRatio} of the CPU and ${memoryRatio} of the memory`,
        (deployment, server) => deployment.resizeServer(server, cpuRatio, memoryRatio),
    )),
];

/** Organisations of the jobs of {@link QUOTA_COMMANDS}. */
export const ORGANISATIONS = ["a", "b"];

const submitForOrganisationArbitrary: CommandArbitrary = fc
    .tuple(
        fc.array(stepArbitrary, { minLength: 1, maxLength: 2 }),
        behaviourArbitrary,
        fc.constantFrom(...ORGANISATIONS),
    )
    .map(([steps, behaviour, organisation]) => submitCommand(steps, behaviour, 0, organisation));

/** Quotas from one task up to more than the fleet; 0 for no limit. */
const quotaArbitrary = fc.record({
    cpuMillicores: fc.constantFrom(0, 1_000, 3_000, 6_000, 20_000),
    memoryMebibytes: fc.constantFrom(0, 1_000, 4_000, 10_000),
    accelerators: fc.constant(0),
});

const quotasArbitrary: CommandArbitrary = fc.tuple(...ORGANISATIONS.map(() => quotaArbitrary)).map(quotas =>
    new DeploymentCommand(
        `set the quotas to ${JSON.stringify(quotas)}`,
        deployment => deployment.setQuotas(new Map(quotas.map((quota, index) => [ORGANISATIONS[index] ?? "", quota]))),
    )
);

/** Jobs of organisations whose quotas change, under all disruptions. */
export const QUOTA_COMMANDS: readonly CommandArbitrary[] = [
    submitForOrganisationArbitrary,
    submitForOrganisationArbitrary,
    submitForOrganisationArbitrary,
    quotasArbitrary,
    quotasArbitrary,
    advanceArbitrary,
    advanceArbitrary,
    advanceBrieflyArbitrary,
    loseLeaderArbitrary,
    stallLogArbitrary,
    suspendLeaderArbitrary,
    cancelArbitrary,
    zoneArbitrary,
    ...serverArbitraries,
];

/** All commands. Submissions and time steps are listed twice, so that they are the most frequent. */
export const ALL_COMMANDS: readonly CommandArbitrary[] = [
    submitArbitrary,
    submitArbitrary,
    advanceArbitrary,
    advanceBrieflyArbitrary,
    loseLeaderArbitrary,
    stallLogArbitrary,
    suspendLeaderArbitrary,
    maintainArbitrary,
    tailArbitrary,
    fc.constant(new DeploymentCommand("submit again", deployment => deployment.resubmit())),
    cancelArbitrary,
    zoneArbitrary,
    ...serverArbitraries,
];

/** Orders for maintenance while leaders and servers come and go. */
export const MAINTENANCE_COMMANDS: readonly CommandArbitrary[] = [
    submitLastingArbitrary,
    submitLastingArbitrary,
    advanceArbitrary,
    advanceBrieflyArbitrary,
    maintainArbitrary,
    loseLeaderArbitrary,
    suspendLeaderForLongArbitrary,
    suspendLeaderForLongArbitrary,
    crashArbitrary,
    partitionArbitrary,
];

/** Fillers beside standing tasks that are busy at times, while leaders come and go. */
export const PACE_COMMANDS: readonly CommandArbitrary[] = [
    submitPacedArbitrary,
    submitPacedArbitrary,
    advanceArbitrary,
    advanceArbitrary,
    tailArbitrary,
    tailArbitrary,
    loseLeaderArbitrary,
    suspendLeaderArbitrary,
    partitionArbitrary,
];

/** Cancellations that arrive before the submissions of their jobs, and repeated submissions, while leaders come and go. */
export const CANCELLATION_COMMANDS: readonly CommandArbitrary[] = [
    submitLateArbitrary,
    submitLateArbitrary,
    cancelLatestArbitrary,
    cancelLatestArbitrary,
    cancelArbitrary,
    advanceArbitrary,
    advanceBrieflyArbitrary,
    fc.constant(new DeploymentCommand("submit again", deployment => deployment.resubmit())),
    loseLeaderArbitrary,
    suspendLeaderArbitrary,
    stallLogArbitrary,
];

import { SeededRandom } from "@waxwingspread/common";
import type { StepSpecification } from "@waxwingspread/workflow";
import { fillerStepOf, jobOf, standingStepOf, stepOf } from "@waxwingspread/workflow/testing";
import { Deployment } from "../model/deployment.js";
import type { DeploymentOptions } from "../model/deployment.js";
import type { JobBehaviour } from "../model/job-behaviours.js";
import { FUZZ_OPTIONS, FUZZ_SERVER } from "./fuzz-deployment.js";

const FLEET_SIZES = [3, 5, 9];
const IMAGES = 3;
const ROUND_MS = 250;
const SETTLING_MS = 1_500;
const MIN_MILLICORES = 100;
const MIN_FINITE_MS = 200;

/** Upper bounds on the size of tasks and on the duration of the finite ones. */
interface TaskProfile {
    maxStandingMillicores: number;
    maxFiniteMillicores: number;
    maxFiniteMs: number;
}

/** With small and short tasks, servers always have some room between the end of a task and the start of the next. */
const PROFILES: readonly TaskProfile[] = [
    { maxStandingMillicores: 2_000, maxFiniteMillicores: 2_000, maxFiniteMs: 2_800 },
    { maxStandingMillicores: 600, maxFiniteMillicores: 600, maxFiniteMs: 700 },
];

/** Probability of a disruption in a round. */
const DISRUPTION_RATIO = 0.03;
/** Last part of a scenario, without disruptions. */
const CALM_ROUNDS = 50;

/**
 * A fleet with standing tasks that fail by themselves, under a load of finite tasks and fillers near or beyond its
 * capacity, with disruptions. All choices follow from the seed.
 */
export class LoadScenario {
    readonly #random: SeededRandom;
    readonly #deployment: Deployment;
    readonly #guardsCapacity: boolean;
    readonly #profile: TaskProfile;
    /** Finite work that arrives, as a share of the fleet's capacity. */
    readonly #load: number;
    readonly #fleetMillicores: number;
    #jobs = 0;
    #finiteBudget = 0;

    constructor(seed: number) {
        this.#random = new SeededRandom(seed);
        this.#guardsCapacity = this.#isChosen(0.5);
        const fleet = this.#createFleet();
        this.#fleetMillicores = fleet.reduce((sum, { capacity }) => sum + capacity.cpuMillicores, 0);
        this.#profile = this.#pick(PROFILES);
        this.#load = this.#random.nextInteger(5, 16) / 10;
        this.#deployment = new Deployment({ ...FUZZ_OPTIONS, seed, servers: fleet });
    }

    /** Plays the scenario and returns the violations. */
    run(rounds: number): string[] {
        const deployment = this.#deployment;
        deployment.advance(SETTLING_MS);
        this.#submitStanding();
        for (let round = 0; round < rounds; round += 1) {
            this.#submitFinite();
            if (round < rounds - CALM_ROUNDS && this.#isChosen(DISRUPTION_RATIO)) {
                this.#disrupt();
            }
            deployment.advanceCheckingStanding(ROUND_MS);
        }
        return [...deployment.oracle.violations, ...deployment.standing.violations];
    }

    #createFleet(): DeploymentOptions["servers"] {
        const size = this.#pick(FLEET_SIZES);
        return Array.from({ length: size }, (unused, index) => {
            const cpuMillicores = 1_000 * this.#pick([4, 8, 16]);
            const hiddenShare = this.#guardsCapacity && this.#isChosen(0.25) ? this.#random.nextInteger(3, 10) / 10 : 0;
            return {
                ...FUZZ_SERVER,
                availabilityZone: index % 3 === 0 ? "a" : "b",
                labels: [index % 2 === 0 ? "even" : "odd", "r1"],
                capacity: { cpuMillicores, memoryMebibytes: 16_000, accelerators: 0 },
                guardsCapacity: this.#guardsCapacity,
                hiddenMillicores: Math.floor(cpuMillicores * hiddenShare),
                dropsAnswers: index > 1 && this.#isChosen(0.15),
            };
        });
    }

    /** Submits standing tasks for a part of the fleet's capacity. */
    #submitStanding(): void {
        let millicores = 0;
        while (millicores < this.#fleetMillicores * 0.35) {
            const step = standingStepOf({
                taskCount: this.#random.nextInteger(1, 6),
                amounts: this.#amounts(this.#profile.maxStandingMillicores),
                image: `standing-${this.#random.nextInteger(1, IMAGES)}`,
                requiredLabel: this.#isChosen(0.2) ? "odd" : "",
                maxTasksPerServer: this.#isChosen(0.3) ? 2 : 0,
            });
            millicores += step.taskCount * step.amounts.cpuMillicores;
            this.#submit([step], {
                durationMs: 0,
                failsAlways: false,
                ...this.#isChosen(0.7) ? { standingFailureMs: this.#random.nextInteger(1_500, 9_000) } : {},
            });
        }
    }

    /** Submits the finite work and the fillers of one round. */
    #submitFinite(): void {
        const { maxFiniteMillicores, maxFiniteMs } = this.#profile;
        const meanCost = ((MIN_MILLICORES + maxFiniteMillicores) / 2) * ((MIN_FINITE_MS + maxFiniteMs) / 2);
        const perRound = (this.#fleetMillicores * ROUND_MS) / meanCost;
        this.#finiteBudget += this.#load * perRound;
        while (this.#finiteBudget > 0) {
            const step = this.#finiteStep();
            const later = this.#isChosen(0.4) ? [{ ...this.#finiteStep(), dependsOn: [0] }] : [];
            this.#finiteBudget -= [step, ...later].reduce((sum, { taskCount }) => sum + taskCount, 0);
            this.#submit([step, ...later], {
                durationMs: this.#random.nextInteger(MIN_FINITE_MS, maxFiniteMs),
                failsAlways: this.#isChosen(0.02),
            });
        }
    }

    #finiteStep(): StepSpecification {
        const changes = {
            taskCount: this.#random.nextInteger(1, 8),
            amounts: this.#amounts(this.#profile.maxFiniteMillicores),
            image: `image-${this.#random.nextInteger(1, IMAGES)}`,
            estimatedRunTimeMs: this.#random.nextInteger(MIN_FINITE_MS, this.#profile.maxFiniteMs),
            maxTasksPerServer: this.#isChosen(0.1) ? 2 : 0,
        };
        return this.#isChosen(0.25) ? fillerStepOf(changes) : stepOf(changes);
    }

    #submit(steps: StepSpecification[], behaviour: JobBehaviour): void {
        this.#jobs += 1;
        const queue = this.#isChosen(0.5) ? "urgent" : "batch";
        this.#deployment.submit(jobOf(`job${this.#jobs}`, ...steps), { ...behaviour, queue });
    }

    #disrupt(): void {
        const deployment = this.#deployment;
        const server = this.#random.nextInteger(0, deployment.servers.length - 1);
        const durationMs = this.#random.nextInteger(300, 6_000);
        const disrupt = this.#pick<() => void>([
            () => deployment.restartServer(server),
            () => deployment.loseLeader(),
            () => deployment.partitionServer(server, durationMs),
            () => deployment.slowDownNetwork(server, durationMs),
            () => this.#resize(server),
            () => deployment.stallLog(Math.min(durationMs, 1_500)),
        ]);
        disrupt();
        deployment.recordDisruption(durationMs);
    }

    /** An order that is planned before the change may exceed the capacity of a server that doesn't guard it. */
    #resize(server: number): void {
        const ratio = this.#guardsCapacity ? this.#random.nextInteger(4, 10) / 10 : 1;
        this.#deployment.resizeServer(server, ratio, ratio);
    }

    #amounts(maxMillicores: number) {
        return {
            cpuMillicores: this.#random.nextInteger(MIN_MILLICORES, maxMillicores),
            memoryMebibytes: this.#random.nextInteger(50, 300),
            accelerators: 0,
        };
    }

    #isChosen(ratio: number): boolean {
        return this.#random.nextInteger(1, 1_000) <= ratio * 1_000;
    }

    #pick<Value>(values: readonly Value[]): Value {
        return values[this.#random.nextInteger(0, values.length - 1)] as Value;
    }
}

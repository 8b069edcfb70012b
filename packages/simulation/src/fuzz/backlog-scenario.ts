import { SeededRandom } from "@waxwingspread/common";
import { fillerStepOf, jobOf, stepOf } from "@waxwingspread/workflow/testing";
import { JobProgressCheck } from "../checks/job-progress-check.js";
import { Deployment } from "../model/deployment.js";
import { FUZZ_OPTIONS, FUZZ_SERVER } from "./fuzz-deployment.js";

const SERVER_CORES = 8;
const MAX_TASKS = 30;
const MIN_TASK_MS = 200;
const MAX_TASK_MS = 800;
const ROUND_MS = 50;
const SETTLING_MS = 1_500;
/** Time that starts and changes of the leader may add to a job's wait. */
const MAX_OVERHEAD_MS = 3_000;

/** Fleet that is given much more work at once than it can do in time: jobs of one kind and of very different widths. */
export class BacklogScenario {
    readonly #random: SeededRandom;
    readonly #deployment: Deployment;
    readonly #check: JobProgressCheck;

    constructor(seed: number) {
        this.#random = new SeededRandom(seed);
        const servers = this.#random.nextInteger(2, 4);
        const jobs = this.#random.nextInteger(20, 60);
        this.#deployment = new Deployment({
            ...FUZZ_OPTIONS,
            seed,
            servers: Array.from({ length: servers }, () => ({
                ...FUZZ_SERVER,
                availabilityZone: "a",
                labels: ["r1"],
                capacity: { cpuMillicores: SERVER_CORES * 1_000, memoryMebibytes: 32_000, accelerators: 0 },
                guardsCapacity: true,
                hiddenMillicores: 0,
                dropsAnswers: false,
            })),
        });
        this.#deployment.advance(SETTLING_MS);
        this.#submit(jobs);
        // Twice the time in which each job gets a place once.
        const maxIdleMs = (2 * jobs * MAX_TASK_MS) / (servers * SERVER_CORES) + MAX_OVERHEAD_MS;
        const { jobs: submitted, oracle } = this.#deployment;
        this.#check = new JobProgressCheck(submitted, this.#deployment.servers, oracle, maxIdleMs);
    }

    /** Plays the scenario with one change of the leader and returns the violations. */
    run(rounds: number): string[] {
        const changeAtRound = this.#random.nextInteger(0, rounds);
        for (let round = 0; round < rounds; round += 1) {
            if (round === changeAtRound) {
                this.#deployment.loseLeader();
            }
            this.#deployment.advance(ROUND_MS);
            this.#check.observe(this.#deployment.nowMs);
        }
        return [...this.#deployment.oracle.violations, ...this.#check.violations];
    }

    #submit(jobs: number): void {
        const createStep = this.#random.nextInteger(0, 1) === 0 ? fillerStepOf : stepOf;
        for (let index = 0; index < jobs; index += 1) {
            const durationMs = this.#random.nextInteger(MIN_TASK_MS, MAX_TASK_MS);
            const step = createStep({
                taskCount: this.#random.nextInteger(1, MAX_TASKS),
                amounts: { cpuMillicores: 1_000, memoryMebibytes: 100, accelerators: 0 },
                estimatedRunTimeMs: durationMs,
            });
            this.#deployment.submit(jobOf(`job${index}`, step), { durationMs, failsAlways: false });
        }
    }
}

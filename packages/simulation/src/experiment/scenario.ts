import { SeededRandom } from "@waxwingspread/common";
import { TaskKind } from "@waxwingspread/workflow";
import type { JobSpecification, StepSpecification } from "@waxwingspread/workflow";
import { stepOf } from "@waxwingspread/workflow/testing";
import type { DeploymentOptions } from "../model/deployment.js";
import type { JobBehaviour } from "../model/job-behaviours.js";

const SECOND_MS = 1_000;
const MIN_LENGTH_MS = 50;
const MAX_LENGTH_MS = 24 * 60 * 60 * SECOND_MS;
const MIN_SPAN_MS = 60 * SECOND_MS;
const MAX_SPAN_MS = 60 * 60 * SECOND_MS;
const MAX_SERVERS = 1_000;
const MAX_TASKS_PER_JOB = 20_000;
const MAX_RUNS_PER_SERVER = 4_000;
const MAX_PAYLOAD_CHARACTERS = 4_000;
/** Bounds on what one scenario costs to simulate. */
const MAX_HEARTBEATS = 60_000;
const MAX_REPORTED_RUNS = 6_000_000;
const MAX_TASKS = 30_000;
const HEARTBEAT_MS = 100;
/** Share of the processors and of the memory that all work together reserves at most. */
const MAX_LOAD_RATIO = 0.4;
const QUANTA_PERCENT = [1, 1, 1, 0.1, 5, 25, Infinity];
const CORES = [4, 16, 64];
const IMAGES = 6;
const WARM_UP_DRAWS = 32;

/** What disrupts a scenario. */
export enum Disruption {
    /** Nothing. */
    None = "none",
    /** A server is cut off for less than its lease. */
    Cut = "cut",
    /** The leader is lost. */
    Failover = "failover",
    /** There is no leader until all leases have expired. */
    Outage = "outage",
}

/** A job of a scenario. */
export interface ScenarioJob {
    submittedAtMs: number;
    specification: JobSpecification;
    behaviour: JobBehaviour;
    kind: TaskKind;
    /** Length of its tasks at full speed. */
    lengthMs: number;
}

/** A fleet and its work, drawn from a seed. */
export interface Scenario {
    seed: number;
    disruption: Disruption;
    servers: DeploymentOptions["servers"];
    jobs: ScenarioJob[];
    /** Time for which the scenario is played. */
    spanMs: number;
    /** Time of the disruption. */
    disruptedAtMs: number;
}

/** Draws scenarios with tasks of all lengths and counts. */
export class ScenarioFactory {
    readonly #random: SeededRandom;
    readonly #seed: number;
    readonly #disruption: Disruption;
    #remainingMillicores = 0;
    #remainingMebibytes = 0;
    #remainingTasks = MAX_TASKS;
    #remainingReportedRuns = MAX_REPORTED_RUNS;

    constructor(seed: number, disruption: Disruption) {
        this.#seed = seed;
        this.#disruption = disruption;
        this.#random = new SeededRandom(seed);
        // The first numbers of neighbouring seeds are alike.
        for (let count = 0; count < WARM_UP_DRAWS; count += 1) {
            this.#random.nextRatio();
        }
    }

    /** Draws the scenario. */
    create(): Scenario {
        const serverCount = Math.round(this.#logUniform(1, MAX_SERVERS));
        const servers = Array.from({ length: serverCount }, () => this.#createServer());
        const longestMs = Math.max(MIN_SPAN_MS, (MAX_HEARTBEATS * HEARTBEAT_MS) / Math.min(serverCount, HEARTBEAT_MS));
        const spanMs = Math.min(MAX_SPAN_MS, longestMs, this.#logUniform(MIN_SPAN_MS, MAX_SPAN_MS));
        const total = (select: (server: (typeof servers)[number]) => number): number =>
            servers.reduce((sum, server) => sum + select(server), 0);
        this.#remainingMillicores = total(({ capacity }) => capacity.cpuMillicores) * MAX_LOAD_RATIO;
        this.#remainingMebibytes = total(({ capacity }) => capacity.memoryMebibytes) * MAX_LOAD_RATIO;
        const disruptedAtMs = spanMs / 2;
        const jobs = this.#createJobs(serverCount, spanMs, disruptedAtMs);
        return { seed: this.#seed, disruption: this.#disruption, servers, jobs, spanMs, disruptedAtMs };
    }

    #createServer(): DeploymentOptions["servers"][number] {
        const cores = this.#random.pick(CORES);
        return {
            availabilityZone: this.#random.pick(["a", "b", "c"]),
            rack: "r1",
            labels: ["kind", "r1"],
            capacity: { cpuMillicores: cores * 1_000, memoryMebibytes: cores * 4_000, accelerators: 0 },
            guardsCapacity: true,
            clockRate: 0.98 + 0.02 * this.#random.nextRatio(),
            hiddenMillicores: 0,
            dropsAnswers: false,
            endsPerHeartbeat: 500,
        };
    }

    #createJobs(serverCount: number, spanMs: number, disruptedAtMs: number): ScenarioJob[] {
        const jobs = this.#disruption === Disruption.None ? [] : [this.#createLargeJob(serverCount, disruptedAtMs)];
        const count = this.#random.nextInteger(1, 30);
        for (let number = jobs.length; number < count; number += 1) {
            const job = this.#createJob(number, serverCount, spanMs);
            jobs.push(...job === undefined ? [] : [job]);
        }
        return jobs;
    }

    /** Creates a job of many small tasks that end while the disruption lasts, or that last until it is over. */
    #createLargeJob(serverCount: number, disruptedAtMs: number): ScenarioJob {
        const tasks = Math.min(MAX_TASKS / 2, serverCount * this.#random.nextInteger(600, 1_500));
        const lengthMs = this.#random.nextInteger(3, 6) * SECOND_MS;
        const isLasting = this.#disruption !== Disruption.Cut;
        const kind = isLasting ? TaskKind.Standing : TaskKind.Finite;
        this.#remainingTasks -= tasks;
        return this.#jobOf(0, kind, lengthMs, disruptedAtMs - (isLasting ? 30 : 2) * SECOND_MS, [{
            taskCount: tasks,
            amounts: { cpuMillicores: 1, memoryMebibytes: 1, accelerators: 0 },
        }]);
    }

    #createJob(number: number, serverCount: number, spanMs: number): ScenarioJob | undefined {
        const kind = this.#random.pick([TaskKind.Finite, TaskKind.Finite, TaskKind.Filler, TaskKind.Standing]);
        const lengthMs = this.#logUniform(MIN_LENGTH_MS, MAX_LENGTH_MS);
        const stepCount = kind === TaskKind.Standing ? 1 : this.#random.nextInteger(1, 3);
        const heartbeatsInLife = Math.max(1, Math.min(lengthMs, spanMs) / HEARTBEAT_MS);
        const maxTasks = Math.min(
            MAX_TASKS_PER_JOB,
            this.#remainingTasks / stepCount,
            this.#remainingReportedRuns / heartbeatsInLife / stepCount,
            (serverCount * MAX_RUNS_PER_SERVER) / 4,
        );
        if (maxTasks < 1) {
            return undefined;
        }
        const taskCount = Math.round(this.#logUniform(1, maxTasks));
        const cpuMillicores = Math.floor(Math.min(2_000, this.#remainingMillicores / 2 / taskCount));
        const memoryMebibytes = Math.floor(Math.min(2_000, this.#remainingMebibytes / 2 / taskCount));
        if (cpuMillicores < 1 || memoryMebibytes < 1) {
            return undefined;
        }
        this.#remainingMillicores -= cpuMillicores * taskCount;
        this.#remainingMebibytes -= memoryMebibytes * taskCount;
        this.#remainingTasks -= taskCount * stepCount;
        this.#remainingReportedRuns -= taskCount * stepCount * heartbeatsInLife;
        const amounts = { cpuMillicores, memoryMebibytes, accelerators: 0 };
        const steps = Array.from({ length: stepCount }, () => ({ taskCount, amounts }));
        return this.#jobOf(number, kind, lengthMs, spanMs * 0.4 * this.#random.nextRatio(), steps);
    }

    #jobOf(
        number: number,
        kind: TaskKind,
        lengthMs: number,
        submittedAtMs: number,
        steps: readonly Partial<StepSpecification>[],
    ): ScenarioJob {
        const random = this.#random;
        const isStanding = kind === TaskKind.Standing;
        const quantumPercent = random.pick(QUANTA_PERCENT);
        const common = {
            estimatedRunTimeMs: lengthMs * this.#logUniform(0.1, 10),
            savesCheckpoints: random.nextInteger(0, 1) === 1,
            // Tasks of the same image behave alike.
            image: `${kind}-${quantumPercent}-${random.nextInteger(1, IMAGES)}`,
            isStanding,
            isFiller: kind === TaskKind.Filler,
            targetTailMs: isStanding ? 100 : 0,
        };
        return {
            submittedAtMs: Math.max(0, submittedAtMs),
            kind,
            lengthMs,
            specification: {
                id: `job${number}`,
                payload: "p".repeat(random.nextInteger(0, MAX_PAYLOAD_CHARACTERS)),
                steps: steps.map((step, index) =>
                    stepOf({ ...common, ...step, dependsOn: index === 0 ? [] : [index - 1] })
                ),
                schedule: undefined,
            },
            behaviour: { durationMs: lengthMs, failsAlways: false, quantumPercent },
        };
    }

    #logUniform(minimum: number, maximum: number): number {
        return minimum * (Math.max(1, maximum) / minimum) ** this.#random.nextRatio();
    }
}

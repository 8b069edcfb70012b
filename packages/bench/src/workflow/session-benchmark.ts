import type { Configuration, JobSpecification, StepSpecification } from "@waxwingspread/workflow";
import { configurationOf, fillerStepOf, HOST, jobOf, standingStepOf, stepOf } from "@waxwingspread/workflow/testing";
import { BenchmarkLeader } from "./benchmark-leader.js";
import { SimulatedServer } from "./simulated-server.js";

const START_MS = 1_000_000;
const CYCLE_MS = 5;
const HEARTBEAT_MS = 100;
/** Time before the measurement begins, so that the first jobs are already running. */
const WARM_UP_MS = 2_000;
/** Share of the task starts that belong to short jobs (two steps, 16 tasks in total); the rest are fillers. */
const SHORT_START_RATIO = 0.38;
const TASKS_PER_SHORT_JOB = 16;
const TASKS_PER_FILLER_JOB = 40;
const STANDING_TASKS_PER_SERVER = 3.4;
const STANDING_TASKS_PER_JOB = 14;
const IMAGE_COUNTS = { standing: 5, filler: 9 };

enum Queue {
    Short = "short",
    Filler = "filler",
    Standing = "standing",
}

const DURATIONS_MS: Readonly<Record<Queue, number | undefined>> = {
    [Queue.Short]: 640,
    [Queue.Filler]: 2_700,
    [Queue.Standing]: undefined,
};

/** Size, load and duration of a benchmark run. */
export interface SessionLoad {
    servers: number;
    startsPerSecond: number;
    durationMs: number;
}

/** Rates and CPU cost of a benchmark run. */
export interface SessionFigures {
    startsPerSecond: number;
    heartbeatsPerSecond: number;
    /** CPU time per second, as a share of one core. Includes the simulated servers, which run in the same process. */
    cores: number;
    /** CPU time per task start, in milliseconds, on the same basis. */
    msPerStart: number;
}

const createShortStep = (taskCount: number, dependsOn: number[]): StepSpecification =>
    stepOf({
        taskCount,
        dependsOn,
        estimatedRunTimeMs: 640,
        amounts: { cpuMillicores: 1_000, memoryMebibytes: 2_000, accelerators: 0 },
    });

const createFillerStep = (taskCount: number, number: number, dependsOn: number[]): StepSpecification =>
    fillerStepOf({
        taskCount,
        dependsOn,
        image: `filler-${number % IMAGE_COUNTS.filler}`,
        estimatedRunTimeMs: 2_700,
        amounts: { cpuMillicores: 1_800, memoryMebibytes: 3_200, accelerators: 0 },
    });

/** Steps of the jobs of each queue; the number of the job selects the image. */
const STEP_FACTORIES: Readonly<Record<Queue, (number: number) => StepSpecification[]>> = {
    [Queue.Short]: () => [createShortStep(10, []), createShortStep(TASKS_PER_SHORT_JOB - 10, [0])],
    [Queue.Filler]: number => [
        createFillerStep(TASKS_PER_FILLER_JOB / 2, number, []),
        createFillerStep(TASKS_PER_FILLER_JOB / 2, number, [0]),
    ],
    [Queue.Standing]: number => [standingStepOf({
        taskCount: STANDING_TASKS_PER_JOB,
        image: `standing-${number % IMAGE_COUNTS.standing}`,
        targetTailMs: 150,
        amounts: { cpuMillicores: 3_200, memoryMebibytes: 6_400, accelerators: 0 },
    })],
};

const createConfiguration = (): Configuration => {
    const base = configurationOf(1);
    const queues = base.queues.flatMap(queue =>
        Object.values(Queue).map(name => ({
            ...queue,
            name,
            pathPrefix: `/${name}/`,
            priority: name === Queue.Filler ? 2 : 0,
        }))
    );
    return { ...base, queues };
};

/**
 * Drives the workflow node of a leader in simulated time, at a steady load and without disk or network. The backend
 * servers are simulated.
 */
export class SessionBenchmark {
    readonly #load: SessionLoad;
    readonly #servers: SimulatedServer[];
    readonly #queues = new Map<string, Queue>();
    readonly #leader: BenchmarkLeader;
    #jobCount = 0;
    #nowMs = START_MS;

    constructor(load: SessionLoad) {
        this.#load = load;
        this.#servers = Array.from({ length: load.servers }, (unused, index) =>
            new SimulatedServer(
                `server-${index}`,
                START_MS + (index * HEARTBEAT_MS) / load.servers,
                jobId => DURATIONS_MS[this.#queues.get(jobId) ?? Queue.Short],
            ));
        this.#leader = new BenchmarkLeader(this.#times);
    }

    run(): SessionFigures {
        this.#leader.runCycle(this.#times);
        this.#leader.node.configure(createConfiguration(), () => undefined, this.#times);
        this.#leader.runCycle(this.#times);
        const standingJobs = (this.#load.servers * STANDING_TASKS_PER_SERVER) / STANDING_TASKS_PER_JOB;
        for (let job = 0; job < standingJobs; job += 1) {
            this.#submit(Queue.Standing);
        }
        this.#advance(WARM_UP_MS);
        const before = this.#counters();
        const cpuBefore = process.cpuUsage();
        this.#advance(this.#load.durationMs);
        const { user, system } = process.cpuUsage(cpuBefore);
        const after = this.#counters();
        const seconds = this.#load.durationMs / 1_000;
        const starts = after.starts - before.starts;
        return {
            startsPerSecond: starts / seconds,
            heartbeatsPerSecond: (after.heartbeats - before.heartbeats) / seconds,
            cores: (user + system) / 1e6 / seconds,
            msPerStart: (user + system) / 1_000 / starts,
        };
    }

    #advance(durationMs: number): void {
        const endMs = this.#nowMs + durationMs;
        const startsPerCycle = (this.#load.startsPerSecond * CYCLE_MS) / 1_000;
        let shortJobs = 0;
        let fillerJobs = 0;
        while (this.#nowMs < endMs) {
            this.#nowMs += CYCLE_MS;
            shortJobs += (startsPerCycle * SHORT_START_RATIO) / TASKS_PER_SHORT_JOB;
            fillerJobs += (startsPerCycle * (1 - SHORT_START_RATIO)) / TASKS_PER_FILLER_JOB;
            for (; shortJobs >= 1; shortJobs -= 1) {
                this.#submit(Queue.Short);
            }
            for (; fillerJobs >= 1; fillerJobs -= 1) {
                this.#submit(Queue.Filler);
            }
            this.#servers.forEach(server => this.#advanceServer(server));
            this.#leader.runCycle(this.#times);
        }
    }

    #advanceServer(server: SimulatedServer): void {
        server.advance(this.#nowMs);
        if (server.nextHeartbeatAtMs !== undefined && server.nextHeartbeatAtMs <= this.#nowMs) {
            const report = server.report(this.#nowMs);
            this.#leader.node.heartbeat(report, result => {
                if (result.ok && result.value !== undefined) {
                    server.executeOrders(result.value, this.#nowMs);
                }
            }, this.#times);
        }
    }

    #submit(queue: Queue): void {
        this.#jobCount += 1;
        const id = this.#jobCount.toString(16).padStart(16, "0");
        this.#queues.set(id, queue);
        const job: JobSpecification = {
            ...jobOf(id, ...STEP_FACTORIES[queue](this.#jobCount)),
            payload: "p".repeat(200),
        };
        this.#leader.node.submit({ host: HOST, path: `/${queue}/${id}` }, job, () => undefined, this.#times);
    }

    get #times() {
        return { nowMs: this.#nowMs, timeOfDayMs: this.#nowMs };
    }

    #counters(): { starts: number; heartbeats: number } {
        return {
            starts: this.#servers.reduce((sum, server) => sum + server.starts, 0),
            heartbeats: this.#servers.reduce((sum, server) => sum + server.heartbeats, 0),
        };
    }
}

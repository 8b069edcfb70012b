import type { OrganisationContract } from "@waxwingspread/workflow";
import { configurationOf, fillerStepOf, HOST, jobOf, organisationOf, stepOf } from "@waxwingspread/workflow/testing";
import { performance } from "node:perf_hooks";
import { BenchmarkLeader } from "./benchmark-leader.js";
import { SimulatedServer } from "./simulated-server.js";

const START_MS = 1_000_000;
const CYCLE_MS = 5;
const HEARTBEAT_MS = 100;
const WARM_UP_MS = 4_000;
const TASKS_PER_JOB = 20;
/** Run times of tasks are spread evenly between these, so that some of them end in each cycle. */
const RUN_TIMES_MS = { min: 5_000, max: 15_000 };
const AMOUNTS = { cpuMillicores: 1_000, memoryMebibytes: 2_000, accelerators: 0 };

/** Size of a benchmark run. */
export interface PlanningLoad {
    /** Organisations with equal parts of the work; 0 for a configuration without any. */
    organisations: number;
    servers: number;
    /** Tasks at work, as far as the servers have room. */
    runningTasks: number;
    /** Jobs that wait for room. */
    waitingJobs: number;
    durationMs: number;
}

/** Processor time of the leader's decisions. */
export interface PlanningFigures {
    runningTasks: number;
    /** Time of one cycle of 5 ms: planning, answers to heartbeats and the application of what was recorded. */
    meanCycleMs: number;
    p99CycleMs: number;
}

/** Measures the decisions of a leader with a full fleet and a long queue. */
export class PlanningBenchmark {
    readonly #load: PlanningLoad;
    readonly #servers: SimulatedServer[];
    readonly #leader: BenchmarkLeader;
    #nowMs = START_MS;
    #jobCount = 0;

    constructor(load: PlanningLoad) {
        this.#load = load;
        this.#servers = Array.from({ length: load.servers }, (unused, index) =>
            new SimulatedServer(
                `server-${index}`,
                START_MS + (index * HEARTBEAT_MS) / load.servers,
                jobId => RUN_TIMES_MS.min + (Number(jobId) * 7_919) % (RUN_TIMES_MS.max - RUN_TIMES_MS.min),
            ));
        this.#leader = new BenchmarkLeader(this.#times);
    }

    run(): PlanningFigures {
        this.#leader.runCycle(this.#times);
        const organisations = Array.from(
            { length: this.#load.organisations },
            (unused, index) => this.#contractOf(index),
        );
        const configuration = configurationOf(1, organisations.length === 0 ? {} : { organisations });
        this.#leader.node.configure(configuration, () => undefined, this.#times);
        this.#advance(1_000);
        this.#submit(this.#load.runningTasks / TASKS_PER_JOB);
        this.#advance(1_000);
        this.#submit(this.#load.waitingJobs);
        this.#advance(WARM_UP_MS);
        const cyclesMs = this.#advance(this.#load.durationMs).sort((a, b) => a - b);
        return {
            runningTasks: this.#servers.reduce((sum, server) => sum + server.runningTasks, 0),
            meanCycleMs: cyclesMs.reduce((sum, cycleMs) => sum + cycleMs, 0) / cyclesMs.length,
            p99CycleMs: cyclesMs[Math.floor(cyclesMs.length * 0.99)] ?? 0,
        };
    }

    /** Returns the times of the cycles in milliseconds. */
    #advance(durationMs: number): number[] {
        const endMs = this.#nowMs + durationMs;
        const cyclesMs: number[] = [];
        while (this.#nowMs < endMs) {
            this.#nowMs += CYCLE_MS;
            this.#servers.forEach(server => this.#advanceServer(server));
            const beganMs = performance.now();
            this.#leader.runCycle(this.#times);
            cyclesMs.push(performance.now() - beganMs);
        }
        return cyclesMs;
    }

    #advanceServer(server: SimulatedServer): void {
        server.advance(this.#nowMs);
        if (server.nextHeartbeatAtMs !== undefined && server.nextHeartbeatAtMs <= this.#nowMs) {
            this.#leader.node.heartbeat(server.report(this.#nowMs), result => {
                if (result.ok && result.value !== undefined) {
                    server.executeOrders(result.value, this.#nowMs);
                }
            }, this.#times);
        }
    }

    /** Submits jobs of the organisations in turn. Every second one has fillers. */
    #submit(count: number): void {
        for (let job = 0; job < count; job += 1) {
            this.#jobCount += 1;
            const id = String(this.#jobCount);
            const createStep = this.#jobCount % 2 === 0 ? fillerStepOf : stepOf;
            const step = createStep({
                taskCount: TASKS_PER_JOB,
                amounts: AMOUNTS,
                estimatedRunTimeMs: RUN_TIMES_MS.max,
            });
            const { organisations } = this.#load;
            const specification = organisations === 0
                ? jobOf(id, step)
                : { ...jobOf(id, step), organisation: nameOf(this.#jobCount % organisations) };
            this.#leader.node.submit({ host: HOST, path: `/batch/${id}` }, specification, () => undefined, this.#times);
        }
    }

    /** Returns the contract of an organisation with a quota that doesn't hold back its work. */
    #contractOf(index: number): OrganisationContract {
        const quota = { cpuMillicores: 20_000_000, memoryMebibytes: 40_000_000, accelerators: 0 };
        return organisationOf(nameOf(index), { weight: 1 + index % 5, quota });
    }

    get #times() {
        return { nowMs: this.#nowMs, timeOfDayMs: this.#nowMs };
    }
}

const nameOf = (index: number): string => `organisation-${index}`;

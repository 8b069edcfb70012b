import type { StepSpecification, TaskPosition } from "@waxwingspread/workflow";
import type { SubmittedJob } from "../checks/oracle.js";
import type { SimulatedServer } from "./simulated-server.js";
import type { TaskBehaviour } from "./task-behaviour.js";

/** Share of its target at which a standing task's tail lies without fillers. */
const CALM_TAIL_RATIO = 0.4;

/** Duration and outcome of the runs of a job. */
export interface JobBehaviour {
    durationMs: number;
    /** Whether the tasks fail wherever they run. */
    failsAlways: boolean;
    /** Whether each run crashes its server. */
    crashesServers?: boolean;
    /** Time after which a run of a standing task fails; undefined if it runs until it is stopped. */
    standingFailureMs?: number;
    /** Path prefix of the job's queue; `batch` by default. */
    queue?: string;
    /** Quantum in percent in which the tasks report progress; 1 by default, Infinity for none. */
    quantumPercent?: number;
    /** Factor by which a filler at full speed raises the tails of the standing tasks beside it; 1 by default. */
    pressure?: number;
}

const DEFAULT_BEHAVIOUR: JobBehaviour = { durationMs: 100, failsAlways: false };

/** Behaviours of all jobs, and what disrupts them: servers that fail their runs, and busy standing tasks. */
export class JobBehaviours implements TaskBehaviour {
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #readNowMs: () => number;
    readonly #behaviours = new Map<string, JobBehaviour>();
    /** Times until which servers fail all runs that end by themselves, by server. */
    readonly #failingUntilMs = new Map<string, number>();
    #tailRatio = CALM_TAIL_RATIO;

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, readNowMs: () => number) {
        this.#jobs = jobs;
        this.#readNowMs = readNowMs;
    }

    /** Returns the behaviour of a job. */
    of(jobId: string): JobBehaviour {
        return this.#behaviours.get(jobId) ?? DEFAULT_BEHAVIOUR;
    }

    set(jobId: string, behaviour: JobBehaviour): void {
        this.#behaviours.set(jobId, behaviour);
    }

    /** Lets a server fail all runs that end by themselves until the given time. */
    failServer(serverId: string, untilMs: number): void {
        this.#failingUntilMs.set(serverId, untilMs);
    }

    /** Sets the share of their targets at which the tails of standing tasks lie without fillers. */
    setTailRatio(ratio: number): void {
        this.#tailRatio = ratio;
    }

    /** Ends all disruptions. */
    heal(): void {
        this.#failingUntilMs.clear();
        this.#tailRatio = CALM_TAIL_RATIO;
    }

    stepOf({ jobId, step }: TaskPosition): StepSpecification | undefined {
        return this.#jobs.get(jobId)?.specification.steps[step];
    }

    workMs(position: TaskPosition): number | undefined {
        const { durationMs, standingFailureMs } = this.of(position.jobId);
        return this.#isStanding(position) ? standingFailureMs : durationMs;
    }

    fails(position: TaskPosition, unusedRun: number, serverId: string): boolean {
        return this.of(position.jobId).failsAlways
            || this.#isStanding(position)
            || this.#readNowMs() < (this.#failingUntilMs.get(serverId) ?? 0);
    }

    crashes({ jobId }: TaskPosition): boolean {
        return this.of(jobId).crashesServers === true;
    }

    quantumPercent({ jobId }: TaskPosition): number {
        return this.of(jobId).quantumPercent ?? 1;
    }

    tailRatio(server: SimulatedServer): number {
        let ratio = this.#tailRatio;
        for (const { position, pacePercent } of server.runs.values()) {
            ratio *= (this.of(position.jobId).pressure ?? 1) ** (pacePercent / 100);
        }
        return ratio;
    }

    #isStanding(position: TaskPosition): boolean {
        return this.stepOf(position)?.isStanding === true;
    }
}

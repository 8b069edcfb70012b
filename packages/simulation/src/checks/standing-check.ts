import { taskKeyOf } from "@waxwingspread/workflow";
import type { StepSpecification, TaskPosition } from "@waxwingspread/workflow";
import type { SimulatedServer } from "../model/simulated-server.js";
import { countPlaces } from "./liveness.js";
import type { Oracle, SubmittedJob } from "./oracle.js";

/** Time after a task's last run, or its first observation, within which it must run again. */
const MAX_RESTART_MS = 6_000;
/** Time for which servers must have had room before a task that doesn't run counts as a violation. */
const MIN_ROOM_MS = 3_000;
/** Time without a disruption before that. */
const MIN_CALM_MS = 4_000;
/** Number of tasks for which the servers must have room together. */
const MIN_PLACES = 2;

/** What was observed of a standing task. */
interface Observation {
    /** Time of the last observation of a run, or of the first observation. */
    lastRunAtMs: number;
    /** Time since which servers have had room at each observation; undefined if they have none. */
    roomSinceMs: number | undefined;
    isReported: boolean;
}

/** Checks that standing tasks run again soon after their ends, whatever other work there is, if a server has room. */
export class StandingCheck {
    readonly violations: string[] = [];
    readonly #jobs: ReadonlyMap<string, SubmittedJob>;
    readonly #servers: readonly SimulatedServer[];
    readonly #oracle: Oracle;
    readonly #observations = new Map<string, Observation>();
    #calmSinceMs = -Infinity;

    constructor(jobs: ReadonlyMap<string, SubmittedJob>, servers: readonly SimulatedServer[], oracle: Oracle) {
        this.#jobs = jobs;
        this.#servers = servers;
        this.#oracle = oracle;
    }

    recordDisruption(untilMs: number): void {
        this.#calmSinceMs = Math.max(this.#calmSinceMs, untilMs);
    }

    /** Observes all servers; to be called at short intervals. */
    observe(nowMs: number): void {
        for (const job of this.#jobs.values()) {
            const isOpen = job.isAccepted && job.possibleCancellations === 0;
            job.specification.steps.forEach((step, stepIndex) => {
                if (step.isStanding && isOpen) {
                    this.#observeStep(job.specification.id, stepIndex, step, nowMs);
                }
            });
        }
    }

    #observeStep(jobId: string, stepIndex: number, step: StepSpecification, nowMs: number): void {
        for (let index = 0; index < step.taskCount; index += 1) {
            this.#observeTask({ jobId, occurrence: 0, step: stepIndex, index }, step, nowMs);
        }
    }

    #observeTask(position: TaskPosition, step: StepSpecification, nowMs: number): void {
        const task = taskKeyOf(position);
        const observation = this.#observations.get(task)
            ?? { lastRunAtMs: nowMs, roomSinceMs: undefined, isReported: false };
        this.#observations.set(task, observation);
        if (this.#servers.some(server => server.isUp && server.runs.has(task))) {
            observation.lastRunAtMs = nowMs;
            observation.roomSinceMs = undefined;
            return;
        }
        observation.roomSinceMs = this.#hasRoomFor(position, step) ? observation.roomSinceMs ?? nowMs : undefined;
        const roomSinceMs = Math.max(observation.roomSinceMs ?? Infinity, this.#calmSinceMs + MIN_CALM_MS);
        const isViolated = nowMs - observation.lastRunAtMs > MAX_RESTART_MS && nowMs - roomSinceMs > MIN_ROOM_MS;
        if (isViolated && !observation.isReported) {
            observation.isReported = true;
            const waitedMs = nowMs - observation.lastRunAtMs;
            this.violations.push(`violated: ${task} is to run and doesn't, for ${waitedMs} ms, at ${nowMs} ms`);
        }
    }

    #hasRoomFor(position: TaskPosition, step: StepSpecification): boolean {
        let places = 0;
        for (const server of this.#servers) {
            const { availabilityZone, dropsAnswers } = server.options;
            const isUsable = !server.isDraining && !dropsAnswers && !this.#oracle.zonesOutSinceMs.has(availabilityZone);
            places += isUsable ? countPlaces(server, position, step) : 0;
        }
        return places >= MIN_PLACES;
    }
}

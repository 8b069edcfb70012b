import type { Amounts } from "../model/specification.js";
import type { AssignedRun } from "../state/events.js";
import { TaskPhase } from "../state/job-record.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { Eligibility } from "./eligibility.js";
import { chooseServer, serversWithCapacity } from "./placement.js";
import type { PlacementConstraints } from "./placement.js";
import type { PressureModel } from "./pressure-model.js";
import type { ServerDirectory } from "./server-directory.js";
import { newRunView } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";
import type { Times } from "./times.js";
import { stepKeyOf, taskKeyIn } from "./work-queue.js";
import type { WaitingStep, WorkQueue } from "./work-queue.js";

interface PlannedRun {
    server: ServerView;
    assigned: AssignedRun;
}

/** Placement constraints that hold for all tasks of a step. */
type StepConstraints = Omit<PlacementConstraints, "rackOfStep">;

/** Assigns waiting tasks to backend servers. */
export class Planner {
    readonly #state: WorkflowState;
    readonly #queue: WorkQueue;
    readonly #directory: ServerDirectory;
    readonly #pressure: PressureModel;
    readonly #eligibility: Eligibility;
    /** Keys of the tasks whose assignment is proposed but not committed. */
    readonly #pendingTasks = new Set<string>();
    /**
     * The latest amounts for which no server was found in this planning pass, by the other constraints on the choice.
     * Tasks that need at least as much are not tried again in the pass.
     */
    readonly #unplaceableAmounts = new Map<string, Amounts>();

    constructor(options: {
        state: WorkflowState;
        queue: WorkQueue;
        directory: ServerDirectory;
        pressure: PressureModel;
        eligibility: Eligibility;
    }) {
        this.#state = options.state;
        this.#queue = options.queue;
        this.#directory = options.directory;
        this.#pressure = options.pressure;
        this.#eligibility = options.eligibility;
    }

    /** Returns the assignments that the current capacity allows, and reserves that capacity at once. */
    plan({ nowMs, timeOfDayMs }: Times): AssignedRun[] {
        this.#unplaceableAmounts.clear();
        return this.#queue.ordered(timeOfDayMs).flatMap(waiting => this.#planStep(waiting, nowMs));
    }

    /** Clears the pending assignment of a task after it is committed. */
    clearPending(task: string): void {
        this.#pendingTasks.delete(task);
    }

    /** Whether some server has capacity for the run now. */
    canPlaceElsewhere(run: RunView, nowMs: number): boolean {
        const { jobId, occurrence, step: stepIndex } = run.position;
        const job = this.#state.job(jobId);
        const record = job?.occurrences[occurrence]?.[stepIndex];
        if (job === undefined || record === undefined) {
            return false;
        }
        const { step, kind } = run;
        const waiting = {
            job,
            occurrence,
            stepIndex,
            step,
            kind,
            record,
            expectedEndMs: 0,
            remainingCriticalPathMs: 0,
        };
        const constraints = { ...this.#constraintsFor(waiting, nowMs), rackOfStep: "" };
        return chooseServer(waiting, this.#directory.servers, constraints, this.#pressure, nowMs) !== undefined;
    }

    #planStep(waiting: WaitingStep, nowMs: number): AssignedRun[] {
        if (waiting.job.isOver) {
            return [];
        }
        const planned: PlannedRun[] = [];
        const constraints = this.#constraintsFor(waiting, nowMs);
        const { tasks } = waiting.record;
        // Members of a gang share one run number, above every earlier one.
        const gangRun = waiting.step.isGang ? Math.max(...tasks.map(task => task.run)) + 1 : undefined;
        let isComplete = true;
        for (let index = 0; index < tasks.length; index += 1) {
            const key = taskKeyIn(waiting, index);
            const task = tasks[index];
            if (task?.phase !== TaskPhase.Waiting || this.#pendingTasks.has(key)) {
                isComplete &&= gangRun === undefined;
                continue;
            }
            const run = this.#planTask(waiting, constraints, index, gangRun ?? task.run + 1, nowMs);
            if (run === undefined) {
                isComplete = false;
                break;
            }
            planned.push(run);
        }
        if (gangRun !== undefined && !isComplete) {
            planned.forEach(run => this.#rollBack(run));
            return [];
        }
        return planned.map(run => run.assigned);
    }

    #planTask(
        waiting: WaitingStep,
        stepConstraints: StepConstraints,
        index: number,
        run: number,
        nowMs: number,
    ): PlannedRun | undefined {
        const { job, occurrence, stepIndex, step, kind } = waiting;
        // The first task that is placed determines the rack of the others.
        const constraints = { ...stepConstraints, rackOfStep: step.prefersOneRack ? this.#rackOfStep(waiting) : "" };
        const constraintKey = `${kind} ${constraints.service} ${step.image} ${step.requiredLabel}`;
        if (needsAtLeast(step.amounts, this.#unplaceableAmounts.get(constraintKey))) {
            return undefined;
        }
        const server = chooseServer(waiting, this.#directory.servers, constraints, this.#pressure, nowMs);
        if (server === undefined) {
            this.#queryEligibility(waiting, constraints, nowMs);
            if (step.maxTasksPerServer === 0 && constraints.isEligible === undefined) {
                this.#unplaceableAmounts.set(constraintKey, step.amounts);
            }
            return undefined;
        }
        const task = taskKeyIn(waiting, index);
        const position = { jobId: job.id, occurrence, step: stepIndex, index };
        const checkpoint = waiting.record.tasks[index]?.checkpoint ?? "";
        const eligibilityToken = this.#eligibility.tokenFor(stepKeyOf(waiting), server, nowMs);
        server.addRun(newRunView({ task, run, position, step, kind, checkpoint, eligibilityToken }, nowMs));
        this.#pendingTasks.add(task);
        return { server, assigned: { task, run, serverId: server.id, incarnation: server.incarnation } };
    }

    #constraintsFor(waiting: WaitingStep, nowMs: number): StepConstraints {
        const { service, eligibility } = this.#state.currentQueueOf(waiting.job);
        const step = stepKeyOf(waiting);
        return {
            service,
            zonesOutOfService: this.#state.zonesOutOfService,
            isEligible: eligibility === undefined
                ? undefined
                : server => this.#eligibility.tokenFor(step, server, nowMs) !== undefined,
        };
    }

    /** Queries on which further servers with capacity the step may run, if its queue requires approvals. */
    #queryEligibility(waiting: WaitingStep, constraints: PlacementConstraints, nowMs: number): void {
        const { eligibility } = this.#state.currentQueueOf(waiting.job);
        if (eligibility !== undefined) {
            const candidates = (): ServerView[] =>
                serversWithCapacity(waiting, this.#directory.servers, constraints, nowMs);
            const { tasks, doneCount } = waiting.record;
            this.#eligibility.queryCandidates(
                stepKeyOf(waiting),
                candidates,
                tasks.length - doneCount,
                eligibility,
                nowMs,
            );
        }
    }

    #rackOfStep(waiting: WaitingStep): string {
        for (let index = 0; index < waiting.record.tasks.length; index += 1) {
            const key = taskKeyIn(waiting, index);
            for (const server of this.#directory.servers) {
                if (server.runs.has(key)) {
                    return server.rack;
                }
            }
        }
        return "";
    }

    #rollBack({ server, assigned }: PlannedRun): void {
        server.removeRun(assigned.task);
        this.#pendingTasks.delete(assigned.task);
    }
}

const needsAtLeast = (amounts: Amounts, minimum: Amounts | undefined): boolean =>
    minimum !== undefined
    && amounts.cpuMillicores >= minimum.cpuMillicores
    && amounts.memoryMebibytes >= minimum.memoryMebibytes
    && amounts.accelerators >= minimum.accelerators;

import type { QueueContract } from "../model/configuration.js";
import { TaskKind } from "../model/specification.js";
import type { JobSpecification } from "../model/specification.js";
import type { OrganisationLimits } from "../organisations/organisation-limits.js";
import { exceedsRate } from "../organisations/share-turns.js";
import { isSuspect } from "../state/crash-history.js";
import type { AssignedRun } from "../state/events.js";
import { JobRecord } from "../state/job-record.js";
import { TaskPhase } from "../state/occurrence-records.js";
import type { WorkflowState } from "../state/workflow-state.js";
import type { Eligibility } from "./eligibility.js";
import { FailedPlacements } from "./failed-placements.js";
import { chooseServer, countServers, mayRunAny } from "./placement.js";
import type { PlacementConstraints, ServerCounts } from "./placement.js";
import type { PressureModel } from "./pressure-model.js";
import { QueueConstraints } from "./queue-constraints.js";
import type { ServerDirectory } from "./server-directory.js";
import { newRunView } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";
import type { Times } from "./times.js";
import { TrialWaits } from "./trial-waits.js";
import { untimedStepOf, untimedStepsOf } from "./untimed-steps.js";
import { stepKeyOf, taskKeyIn } from "./work-queue.js";
import type { Turn, WaitingStep, WorkQueue } from "./work-queue.js";

interface PlannedRun {
    server: ServerView;
    assigned: AssignedRun;
}

/**
 * Upper bound on the servers examined in one call, which bounds the time for which the planning holds the event loop.
 * The rest is planned in the next call.
 */
const MAX_EXAMINED_SERVERS_PER_CALL = 10_000;

/**
 * Servers of a large fleet that are examined first for a task that needs none in particular. The best of so many is nearly
 * as good as the best of all.
 */
const SERVERS_IN_PART = 64;

/** Servers that each call may examine for the steps of the round, beside those for overdue steps. */
const MIN_EXAMINED_SERVERS_IN_ROUND = MAX_EXAMINED_SERVERS_PER_CALL / 2;
/** Upper bound on the overdue steps that are considered again in each further call of a round. */
const MAX_RECONSIDERED_STEPS = 16;

/** Assignments of one call of the {@link Planner}. */
export interface Plan {
    runs: AssignedRun[];
    /** Whether all waiting tasks were considered; otherwise planning is to continue soon. */
    isComplete: boolean;
}

/**
 * Assigns waiting tasks to backend servers. Planning proceeds in rounds, which may take several calls. A step for which
 * no server was found waits until a round finds a server for it among those that have changed since the last round.
 */
export class Planner {
    readonly #state: WorkflowState;
    readonly #queue: WorkQueue;
    readonly #directory: ServerDirectory;
    readonly #pressure: PressureModel;
    readonly #constraints: QueueConstraints;
    readonly #limits: OrganisationLimits;
    /** Servers of the tasks whose assignment is proposed but not committed, by task. */
    readonly #pendingTasks = new Map<string, ServerView>();
    /** Steps that no server can run, except perhaps for those that have changed since the round began. */
    readonly #failures = new FailedPlacements();
    /** Steps that the changed servers of this round cannot run either. */
    readonly #failuresInRound = new FailedPlacements();
    /** Servers that had changed when the round began; undefined between two rounds. */
    #changedServers: readonly ServerView[] | undefined;
    /** Servers that have changed since the round began; the next round searches them. */
    #changedInRound: ServerView[] = [];
    #remainingServers = 0;
    /** Part of the fleet that is examined next. */
    #nextPart = 0;
    readonly #trialWaits = new TrialWaits();

    constructor(options: {
        state: WorkflowState;
        queue: WorkQueue;
        directory: ServerDirectory;
        pressure: PressureModel;
        eligibility: Eligibility;
        limits: OrganisationLimits;
        /** Returns the size of the finite tasks for which a queue's service has too little room; 0 if it has enough. */
        scarceTaskMillicores?: (queue: QueueContract, nowMs: number) => number;
    }) {
        this.#state = options.state;
        this.#queue = options.queue;
        this.#directory = options.directory;
        this.#pressure = options.pressure;
        this.#constraints = new QueueConstraints({
            state: options.state,
            directory: options.directory,
            eligibility: options.eligibility,
            scarceTaskMillicores: options.scarceTaskMillicores ?? (() => 0),
        });
        this.#limits = options.limits;
    }

    /**
     * Returns the assignments that the current capacity allows, and reserves that capacity at once. A call examines a
     * bounded number of servers.
     */
    plan({ nowMs, timeOfDayMs }: Times): Plan {
        this.#remainingServers = MAX_EXAMINED_SERVERS_PER_CALL;
        if (this.#changedServers === undefined) {
            this.#beginRound(nowMs);
        }
        else {
            this.#changedServers = this.#changedServers.filter(server => this.#directory.get(server.id) === server);
        }
        const runs = this.#reconsiderOverdue({ nowMs, timeOfDayMs });
        // The round must go on, however many servers change during it.
        this.#remainingServers = Math.max(this.#remainingServers, MIN_EXAMINED_SERVERS_IN_ROUND);
        const isRoomScarce = (queue: QueueContract): boolean => this.#constraints.isRoomScarce(queue, nowMs);
        for (const turn of this.#limits.order(this.#queue.turns(timeOfDayMs, isRoomScarce), timeOfDayMs)) {
            const planned = this.#planTurn(turn, nowMs);
            runs.push(...planned.runs);
            if (!planned.isComplete) {
                return { runs, isComplete: false };
            }
        }
        this.#changedServers = undefined;
        this.#failuresInRound.clear();
        this.#trialWaits.retain(jobId => this.#state.job(jobId)?.isOver === false);
        return { runs, isComplete: true };
    }

    /** Considers all servers again for all steps, after the constraints on placement have changed. */
    restart(): void {
        this.#changedServers = undefined;
        this.#failures.clear();
        this.#failuresInRound.clear();
    }

    /** Clears the pending assignment of a task after it is committed. */
    clearPending(task: string): void {
        this.#pendingTasks.delete(task);
    }

    /** Counts the servers that can run a task of the step now, and the others by the reason that excludes them. */
    countServersFor(waiting: WaitingStep, nowMs: number): ServerCounts {
        const constraints = this.#constraintsFor(waiting, nowMs);
        return countServers(waiting, this.#directory.servers, constraints, this.#pressure, nowMs);
    }

    /** Whether some server can run a task now with which a job begins that isn't accepted yet. */
    hasRoomFor(specification: JobSpecification, queue: QueueContract, { nowMs, timeOfDayMs }: Times): boolean {
        const steps = untimedStepsOf(JobRecord.accepted(specification, queue, timeOfDayMs));
        return steps.some(waiting =>
            waiting.step.dependsOn.length === 0 && this.countServersFor(waiting, nowMs).serversWithRoom > 0
        );
    }

    /** Returns the server that suits a task of the step best now, without reserving anything; undefined without one. */
    bestServerFor(waiting: WaitingStep, nowMs: number): ServerView | undefined {
        const constraints = this.#constraintsFor(waiting, nowMs);
        return chooseServer(waiting, this.#directory.servers, constraints, this.#pressure, nowMs);
    }

    /** Returns the step of a run as if its task was waiting; undefined if its job is gone. */
    stepOf({ position, step, kind }: RunView): WaitingStep | undefined {
        const { jobId, occurrence, step: stepIndex } = position;
        const job = this.#state.job(jobId);
        const record = job?.stepsOf(occurrence)?.[stepIndex];
        return job === undefined || record === undefined
            ? undefined
            : untimedStepOf({ job, occurrence, stepIndex, step, kind, record });
    }

    /** Whether some other server has capacity for the run now. */
    canPlaceElsewhere(run: RunView, nowMs: number): boolean {
        const waiting = this.stepOf(run);
        if (waiting === undefined) {
            return false;
        }
        const constraints = this.#constraintsFor(waiting, nowMs);
        const key = this.#constraints.keyFor(waiting);
        if (this.#failures.includes(waiting, key)) {
            return false;
        }
        const { servers } = this.#directory;
        const server = chooseServer(waiting, servers, constraints, this.#pressure, nowMs);
        if (server === undefined && constraints.eligibilityExclusionOf === undefined) {
            this.#failures.record(waiting, key);
        }
        const isOwnServer = server?.findRun(run.task, run.run) !== undefined;
        if (!isOwnServer) {
            return server !== undefined;
        }
        const others = servers.filter(other => other !== server);
        return chooseServer(waiting, others, constraints, this.#pressure, nowMs) !== undefined;
    }

    /** Takes the changed servers, and searches them for the amounts that no server could run before. */
    #beginRound(nowMs: number): void {
        const candidates = new Set([...this.#changedInRound, ...this.#directory.takeChanged()]);
        const changedServers = [...candidates].filter(server => this.#directory.get(server.id) === server);
        this.#changedInRound = [];
        this.#changedServers = changedServers;
        // Many steps wait for a place when most servers are full, so that each server is asked once for all of them.
        const serversByKind = {
            [TaskKind.Finite]: changedServers.filter(server => mayRunAny(TaskKind.Finite, server)),
            [TaskKind.Standing]: changedServers.filter(server => mayRunAny(TaskKind.Standing, server)),
            [TaskKind.Filler]: changedServers.filter(server => mayRunAny(TaskKind.Filler, server)),
        };
        this.#failures.recheck((waiting, key) => {
            const servers = serversByKind[waiting.kind];
            const server = this.#search(waiting, servers, this.#constraintsFor(waiting, nowMs), nowMs);
            if (server === undefined) {
                this.#failuresInRound.record(waiting, key);
            }
            return server !== undefined;
        });
    }

    /**
     * Assigns the tasks of overdue standing steps to the servers that have changed since the last call, whose capacity
     * would otherwise go to the steps that follow in the round. Does nothing in the first call of a round.
     */
    #reconsiderOverdue({ nowMs, timeOfDayMs }: Times): AssignedRun[] {
        const changedServers = this.#directory.takeChanged();
        this.#changedInRound.push(...changedServers);
        if (changedServers.length === 0) {
            return [];
        }
        const overdue = this.#queue.overdue(timeOfDayMs).slice(0, MAX_RECONSIDERED_STEPS);
        return overdue.filter(waiting => !waiting.job.isOver && !exceedsRate(waiting)).flatMap(waiting => {
            const constraints = this.#constraintsFor(waiting, nowMs);
            const find = (): ServerView | undefined => this.#search(waiting, changedServers, constraints, nowMs);
            return this.#planTasks({ waiting, maxTasks: Infinity }, constraints, find, nowMs).runs;
        });
    }

    #planTurn({ waiting, maxTasks }: Turn, nowMs: number): Plan {
        const isSkipped = waiting.job.isOver
            || this.#failuresInRound.includes(waiting, this.#constraints.keyFor(waiting));
        if (isSkipped) {
            return NOTHING_TO_PLAN;
        }
        if (!this.#limits.ledger.allowsStart(waiting.job, waiting.step)) {
            return NOTHING_TO_PLAN;
        }
        if (waiting.step.isGang) {
            return this.#planGang(waiting, nowMs);
        }
        const constraints = this.#constraintsFor(waiting, nowMs);
        const find = (): ServerView | undefined => this.#findServer(waiting, constraints, nowMs);
        return this.#planTasks({ waiting, maxTasks }, constraints, find, nowMs);
    }

    #planTasks(
        { waiting, maxTasks }: Turn,
        constraints: PlacementConstraints,
        findServer: () => ServerView | undefined,
        nowMs: number,
    ): Plan {
        const runs: AssignedRun[] = [];
        for (const [index, task] of waiting.record.tasks.entries()) {
            if (!this.#isUnassigned(waiting, index)) {
                continue;
            }
            if (runs.length >= maxTasks || !this.#limits.ledger.allowsStart(waiting.job, waiting.step)) {
                break;
            }
            if (this.#remainingServers <= 0) {
                return { runs, isComplete: false };
            }
            const isTrial = isSuspect(task.crashes);
            const server = isTrial ? this.#findTrialServer(waiting, constraints, index, nowMs) : findServer();
            if (server !== undefined) {
                runs.push(this.#assign(waiting, constraints, server, index, task.run + 1, nowMs).assigned);
            }
            else if (!isTrial) {
                break;
            }
        }
        return { runs, isComplete: true };
    }

    /** Assigns all tasks of a gang, under one run number above every earlier one, or none. */
    #planGang(waiting: WaitingStep, nowMs: number): Plan {
        if (this.#remainingServers <= 0) {
            return { runs: [], isComplete: false };
        }
        if (this.#failures.includes(waiting, this.#constraints.keyFor(waiting))) {
            return NOTHING_TO_PLAN;
        }
        const { tasks } = waiting.record;
        const run = Math.max(...tasks.map(task => task.run)) + 1;
        const constraints = this.#constraintsFor(waiting, nowMs);
        constraints.isIsolated = tasks.some(({ crashes }) => isSuspect(crashes))
            && this.#trialWaits.isOpen(stepKeyOf(waiting), nowMs);
        const planned: PlannedRun[] = [];
        for (let index = 0; index < tasks.length; index += 1) {
            const server = this.#isUnassigned(waiting, index)
                ? this.#findServer(waiting, constraints, nowMs)
                : undefined;
            if (server === undefined) {
                planned.forEach(earlier => this.#rollBack(earlier));
                // Only now do the servers of the earlier members count, whose approvals may have to be renewed as well.
                this.#constraints.queryEligibility(waiting, this.#constraintsFor(waiting, nowMs), nowMs);
                this.#failuresInRound.record(waiting, "");
                return NOTHING_TO_PLAN;
            }
            planned.push(this.#assign(waiting, constraints, server, index, run, nowMs));
        }
        this.#trialWaits.end(stepKeyOf(waiting));
        return { runs: planned.map(member => member.assigned), isComplete: true };
    }

    /** Chooses a server for a task that may crash it. That none is found says nothing about other tasks of its size. */
    #findTrialServer(
        waiting: WaitingStep,
        constraints: PlacementConstraints,
        index: number,
        nowMs: number,
    ): ServerView | undefined {
        const task = taskKeyIn(waiting, index);
        const isIsolated = this.#trialWaits.isOpen(task, nowMs);
        const { crashes = [] } = waiting.record.tasks[index] ?? {};
        const trialConstraints = { ...constraints, isIsolated, crashes };
        const server = this.#search(waiting, this.#directory.servers, trialConstraints, nowMs);
        if (server === undefined) {
            this.#constraints.queryEligibility(waiting, constraints, nowMs);
        }
        else {
            this.#trialWaits.end(task);
        }
        return server;
    }

    #isUnassigned(waiting: WaitingStep, index: number): boolean {
        return waiting.record.tasks[index]?.phase === TaskPhase.Waiting
            && !this.#pendingTasks.has(taskKeyIn(waiting, index));
    }

    /** Reserves a task's amounts on a server. */
    #assign(
        waiting: WaitingStep,
        constraints: PlacementConstraints,
        server: ServerView,
        index: number,
        run: number,
        nowMs: number,
    ): PlannedRun {
        const { job, occurrence, stepIndex, step, kind, record, waitingSinceMs } = waiting;
        const task = taskKeyIn(waiting, index);
        const position = { jobId: job.id, occurrence, step: stepIndex, index };
        const checkpoint = record.tasks[index]?.checkpoint ?? "";
        const isTrial = isSuspect(record.tasks[index]?.crashes);
        const eligibilityToken = this.#constraints.tokenFor(waiting, server, nowMs);
        server.addRun(newRunView(
            { task, run, position, step, kind, checkpoint, eligibilityToken, isSuspect: isTrial, waitingSinceMs },
            nowMs,
        ));
        this.#pendingTasks.set(task, server);
        this.#limits.ledger.propose(task, job, step);
        if (step.prefersOneRack && constraints.rackOfStep === "") {
            // The first task that is placed determines the rack of the others.
            constraints.rackOfStep = server.rack;
        }
        return { server, assigned: { task, run, serverId: server.id, incarnation: server.incarnation } };
    }

    /**
     * Chooses a server among all. If none was found in an earlier round, all are searched only after one is found among
     * the changed ones. The members of a gang need several servers, which may have changed in different rounds.
     */
    #findServer(waiting: WaitingStep, constraints: PlacementConstraints, nowMs: number): ServerView | undefined {
        const key = this.#constraints.keyFor(waiting);
        if (!waiting.step.isGang && this.#failures.includes(waiting, key)) {
            const found = this.#search(waiting, this.#changedServers ?? [], constraints, nowMs);
            if (found === undefined) {
                this.#recordFailure(waiting, constraints, key, nowMs);
                return undefined;
            }
            this.#failures.forget(waiting);
        }
        const server = this.#searchAll(waiting, constraints, nowMs);
        if (server === undefined) {
            this.#recordFailure(waiting, constraints, key, nowMs);
        }
        return server;
    }

    /** Searches all servers; in a large fleet a part of them first, the next one each time. */
    #searchAll(waiting: WaitingStep, constraints: PlacementConstraints, nowMs: number): ServerView | undefined {
        const { servers } = this.#directory;
        const { kind, step } = waiting;
        // Standing tasks are packed, and others look for a rack: the best server matters.
        const needsBest = kind === TaskKind.Standing || step.dataRack !== "" || step.prefersOneRack;
        if (needsBest || servers.length < 2 * SERVERS_IN_PART) {
            return this.#search(waiting, servers, constraints, nowMs);
        }
        const first = this.#nextPart * SERVERS_IN_PART;
        const end = first + SERVERS_IN_PART;
        this.#nextPart = end < servers.length ? this.#nextPart + 1 : 0;
        return this.#search(waiting, servers.slice(first, end), constraints, nowMs)
            ?? this.#search(waiting, [...servers.slice(0, first), ...servers.slice(end)], constraints, nowMs);
    }

    #search(
        waiting: WaitingStep,
        servers: readonly ServerView[],
        constraints: PlacementConstraints,
        nowMs: number,
    ): ServerView | undefined {
        this.#remainingServers -= servers.length;
        return chooseServer(waiting, servers, constraints, this.#pressure, nowMs);
    }

    #recordFailure(waiting: WaitingStep, constraints: PlacementConstraints, key: string, nowMs: number): void {
        // The members of a gang that are already placed are removed again, so that its failure shows nothing.
        if (waiting.step.isGang) {
            return;
        }
        this.#constraints.queryEligibility(waiting, constraints, nowMs);
        this.#failuresInRound.record(waiting, key);
        if (constraints.eligibilityExclusionOf === undefined) {
            this.#failures.record(waiting, key);
        }
    }

    #constraintsFor(waiting: WaitingStep, nowMs: number): PlacementConstraints {
        const rackOfStep = waiting.step.prefersOneRack ? this.#rackOfStep(waiting) : "";
        return this.#constraints.constraintsFor(waiting, rackOfStep, nowMs);
    }

    #rackOfStep(waiting: WaitingStep): string {
        for (const [index, { phase, server }] of waiting.record.tasks.entries()) {
            const assigned = phase === TaskPhase.Assigned && server !== undefined
                ? this.#directory.find(server.serverId, server.incarnation)
                : this.#pendingTasks.get(taskKeyIn(waiting, index));
            if (assigned !== undefined) {
                return assigned.rack;
            }
        }
        return "";
    }

    #rollBack({ server, assigned }: PlannedRun): void {
        server.removeRun(assigned.task);
        this.#pendingTasks.delete(assigned.task);
        this.#limits.ledger.withdraw(assigned.task);
    }
}

const NOTHING_TO_PLAN: Plan = { runs: [], isComplete: true };

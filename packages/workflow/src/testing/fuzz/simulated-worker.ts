import { RunEnd } from "../../model/heartbeat.js";
import type { HeartbeatOrders, HeartbeatReport, ReportedEnd, StartOrder } from "../../model/heartbeat.js";
import { countedMillicoresOf, parseTaskKey } from "../../model/specification.js";
import type { Amounts, StepSpecification, TaskPosition } from "../../model/specification.js";
import { ChangingCapacity } from "./changing-capacity.js";

/** An answer that arrives later than this after its heartbeat was sent has no effect. */
const ANSWER_TIMEOUT_MS = 1_000;
const STOP_DELAY_MS = 150;
const GANG_TIMEOUT_MS = 3_000;
const HEARTBEAT_RETRY_MS = 100;
/** Delay from the start of a run that crashes its worker to the crash. */
const CRASH_DELAY_MS = 10;
/** Ends that a worker lists at a time; few, so that its lists are often cut. */
const ENDS_PER_HEARTBEAT = 3;
/** Time for which a worker is down after one of its runs has crashed it. */
const CRASH_DOWN_MS = 1_500;

/** Decides how long the runs of a task take and whether they fail. */
export interface TaskBehaviour {
    stepOf: (position: TaskPosition) => StepSpecification | undefined;
    /** Duration of a run; undefined when it never ends by itself. */
    durationMs: (position: TaskPosition, workerId: string) => number | undefined;
    fails: (position: TaskPosition, run: number, workerId: string) => boolean;
    /** Whether a run of the task crashes its worker as soon as it starts. */
    crashes: (position: TaskPosition) => boolean;
}

/** A run on a simulated worker. */
export interface WorkerRun {
    task: string;
    run: number;
    position: TaskPosition;
    step: StepSpecification;
    startedAtMs: number;
    /** Time at which the run ends by itself; undefined when it never does. */
    endsAtMs: number | undefined;
    /** Time at which an ordered stop takes effect; undefined without a stop order. */
    stopsAtMs: number | undefined;
    checkpoint: string;
    /** Whether all members of its gang are present. */
    isGangComplete: boolean;
}

/** Callbacks for the events of simulated workers. */
export interface WorkerObserver {
    started: (worker: SimulatedWorker, order: StartOrder, run: WorkerRun, nowMs: number) => void;
    /** A worker that guards its capacity has rejected a run that doesn't fit. */
    rejected: (worker: SimulatedWorker, run: WorkerRun, nowMs: number) => void;
    ended: (worker: SimulatedWorker, run: WorkerRun, end: RunEnd) => void;
    acknowledged: (task: string, run: number, end: RunEnd) => void;
    /** Called before the runs of a worker that crashes are gone. */
    crashed: (worker: SimulatedWorker, nowMs: number) => void;
}

/** Properties and dependencies of a simulated worker. */
export interface WorkerOptions {
    id: string;
    availabilityZone: string;
    labels: string[];
    /** Capacity at the start of the simulation. */
    capacity: Amounts;
    /** Whether the worker rejects runs that exceed its capacity. */
    guardsCapacity: boolean;
    /** Rate of the worker's clock relative to the simulated time; at least 0.98. */
    clockRate: number;
    /** CPU that is in use although neither the worker's capacity nor its runs show it. */
    hiddenMillicores: number;
    /** Whether all answers arrive too late, so that the worker executes no orders. */
    dropsAnswers: boolean;
    behaviour: TaskBehaviour;
    observer: WorkerObserver;
}

/**
 * A simulated backend server that behaves as the platform's documentation describes: it measures leases on its own
 * clock, ignores orders with a lower term than the highest it has received, repeats ends until they are acknowledged,
 * and checks its capacity only if it guards it.
 */
export class SimulatedWorker {
    readonly options: WorkerOptions;
    readonly runs = new Map<string, WorkerRun>();
    readonly capacity: ChangingCapacity;
    isUp = true;
    isDraining = false;
    incarnation = 1;
    #ended: ReportedEnd[] = [];
    /** Ends not acknowledged before the lease expired; their tasks may be assigned to other workers nevertheless. */
    readonly #expiredEnds = new WeakSet<ReportedEnd>();
    #endCount = 0;
    #sequence = 0;
    #term = 0;
    #leaseEndMs = -Infinity;
    readonly #highestRuns = new Map<string, number>();
    /** The heartbeat that waits for its answer; undefined for none. */
    #openHeartbeat: { sequence: number; sentAtMs: number } | undefined;
    nextHeartbeatAtMs = 0;
    /** Time at which the worker is up again; undefined while it is up. */
    #backAtMs: number | undefined;

    constructor(options: WorkerOptions) {
        this.options = options;
        this.capacity = new ChangingCapacity(options.capacity);
    }

    get id(): string {
        return this.options.id;
    }

    /** Advances to the given time: expires the leases, ends runs, and times out the open heartbeat. */
    advance(nowMs: number): void {
        if (this.#backAtMs !== undefined && nowMs >= this.#backAtMs) {
            this.restart();
        }
        const isCrashing = [...this.runs.values()].some(run =>
            nowMs >= run.startedAtMs + CRASH_DELAY_MS && this.options.behaviour.crashes(run.position)
        );
        if (isCrashing) {
            this.crash(CRASH_DOWN_MS, nowMs);
        }
        if (!this.isUp) {
            return;
        }
        if (nowMs >= this.#leaseEndMs) {
            [...this.runs.values()].forEach(run => this.#end(run, RunEnd.LeaseExpired));
            this.#ended.forEach(end => this.#expiredEnds.add(end));
        }
        for (const run of [...this.runs.values()]) {
            // The end of one member may have ended others of its gang.
            if (this.runs.get(run.task) === run) {
                this.#advanceRun(run, nowMs);
            }
        }
        if (this.#openHeartbeat !== undefined && nowMs - this.#openHeartbeat.sentAtMs > ANSWER_TIMEOUT_MS) {
            this.#openHeartbeat = undefined;
            this.nextHeartbeatAtMs = nowMs + HEARTBEAT_RETRY_MS;
        }
    }

    /** Whether the worker is up, waits for no answer, and the time of its next heartbeat has come. */
    isHeartbeatDue(nowMs: number): boolean {
        return this.isUp && this.#openHeartbeat === undefined && nowMs >= this.nextHeartbeatAtMs;
    }

    /** Returns a heartbeat, which stays open until it is answered or times out. */
    report(nowMs: number): HeartbeatReport {
        this.#sequence += 1;
        this.#openHeartbeat = { sequence: this.#sequence, sentAtMs: nowMs };
        const { id, availabilityZone, labels } = this.options;
        return {
            serverId: id,
            incarnation: this.incarnation,
            sequence: this.#sequence,
            clockMs: nowMs,
            vmId: `vm-${id}`,
            service: "pool",
            availabilityZone,
            rack: "r1",
            labels,
            capacity: this.capacity.current,
            isDraining: this.isDraining,
            remainingMs: undefined,
            running: [...this.runs.values()].map(run => ({
                task: run.task,
                run: run.run,
                checkpoint: run.checkpoint,
                progressPercent: computeProgressPercent(run, nowMs),
                measurement: undefined,
            })),
            ended: this.#ended.slice(0, ENDS_PER_HEARTBEAT),
            mayHaveMoreEnds: this.#ended.length >= ENDS_PER_HEARTBEAT,
        };
    }

    /** Handles the answer to a heartbeat and executes its orders; undefined for an answer without orders. */
    answer(sequence: number, incarnation: number, orders: HeartbeatOrders | undefined, nowMs: number): void {
        const heartbeat = this.#openHeartbeat;
        if (!this.isUp || incarnation !== this.incarnation || heartbeat?.sequence !== sequence) {
            return;
        }
        this.#openHeartbeat = undefined;
        this.nextHeartbeatAtMs = nowMs + (orders?.nextHeartbeatMs ?? HEARTBEAT_RETRY_MS);
        if (
            orders === undefined || this.options.dropsAnswers || nowMs - heartbeat.sentAtMs > ANSWER_TIMEOUT_MS
            || orders.term < this.#term
        ) {
            return;
        }
        this.#term = orders.term;
        this.#leaseEndMs = Math.max(this.#leaseEndMs, heartbeat.sentAtMs + orders.leaseMs / this.options.clockRate);
        const acknowledged = this.#ended.filter(end => end.sequence <= orders.acknowledgedEnd);
        this.#ended = this.#ended.filter(end => end.sequence > orders.acknowledgedEnd);
        acknowledged
            .filter(end => !this.#expiredEnds.has(end))
            .forEach(({ task, run, end }) => this.options.observer.acknowledged(task, run, end));
        orders.stops.forEach(({ task, run }) => this.#stop(task, run, nowMs));
        orders.starts.forEach(order => this.#start(order, nowMs));
    }

    /** Goes down for a time, with all its runs. */
    crash(downMs: number, nowMs: number): void {
        if (this.isUp) {
            this.options.observer.crashed(this, nowMs);
            this.runs.clear();
            this.isUp = false;
            this.#backAtMs = nowMs + downMs;
        }
    }

    /** Loses all state, as after a crash; the next heartbeat belongs to a new incarnation. */
    restart(): void {
        this.runs.clear();
        this.#ended = [];
        this.#endCount = 0;
        this.#sequence = 0;
        this.#term = 0;
        this.#openHeartbeat = undefined;
        this.#leaseEndMs = -Infinity;
        this.#highestRuns.clear();
        this.incarnation += 1;
        this.isDraining = false;
        this.isUp = true;
        this.#backAtMs = undefined;
    }

    /** Ends a member of a gang because another one ended. The success of one member is reported for all of them. */
    endGangMember(task: string, end: RunEnd): void {
        const run = this.runs.get(task);
        if (run !== undefined && end === RunEnd.Done) {
            this.runs.delete(task);
        }
        else if (run !== undefined) {
            this.#end(run, end);
        }
    }

    #advanceRun(run: WorkerRun, nowMs: number): void {
        if (run.stopsAtMs !== undefined && nowMs >= run.stopsAtMs) {
            this.#end(run, RunEnd.Stopped);
        }
        else if (!run.isGangComplete && nowMs - run.startedAtMs >= GANG_TIMEOUT_MS) {
            this.#end(run, RunEnd.GangIncomplete);
        }
        else if (run.isGangComplete && run.endsAtMs !== undefined && nowMs >= run.endsAtMs) {
            const { position } = run;
            const hasFailed = this.options.behaviour.fails(position, run.run, this.id);
            this.#end(run, hasFailed ? RunEnd.Failed : RunEnd.Done);
        }
    }

    #start(order: StartOrder, nowMs: number): void {
        const position = parseTaskKey(order.task);
        const step = position === undefined ? undefined : this.options.behaviour.stepOf(position);
        const isOutdated = order.run <= (this.#highestRuns.get(order.task) ?? 0) || this.runs.has(order.task);
        if (position === undefined || step === undefined || isOutdated) {
            return;
        }
        const durationMs = this.options.behaviour.durationMs(position, this.id);
        const run: WorkerRun = {
            task: order.task,
            run: order.run,
            position,
            step,
            startedAtMs: nowMs,
            endsAtMs: durationMs === undefined ? undefined : nowMs + durationMs,
            stopsAtMs: undefined,
            checkpoint: order.checkpoint,
            isGangComplete: !step.isGang,
        };
        this.#highestRuns.set(order.task, order.run);
        if (this.options.guardsCapacity && !this.#hasRoomFor(step)) {
            this.options.observer.rejected(this, run, nowMs);
            this.#end(run, RunEnd.NotStarted);
            return;
        }
        this.runs.set(order.task, run);
        this.options.observer.started(this, order, run, nowMs);
    }

    #hasRoomFor(step: StepSpecification): boolean {
        const { cpuMillicores, memoryMebibytes } = freeAmountsOf(this);
        const neededMillicores = countedMillicoresOf(step);
        return neededMillicores <= cpuMillicores && step.amounts.memoryMebibytes <= memoryMebibytes;
    }

    #stop(task: string, run: number, nowMs: number): void {
        this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
        const running = this.runs.get(task);
        if (running?.run === run) {
            running.stopsAtMs ??= nowMs + STOP_DELAY_MS;
        }
    }

    #end(run: WorkerRun, end: RunEnd): void {
        this.runs.delete(run.task);
        this.#endCount += 1;
        const isSaved = run.step.savesCheckpoints && end === RunEnd.Stopped;
        const checkpoint = isSaved ? `${run.task}/${run.run}` : "";
        this.#ended.push({ sequence: this.#endCount, task: run.task, run: run.run, end, checkpoint });
        this.options.observer.ended(this, run, end);
    }
}

const computeProgressPercent = ({ step, startedAtMs, endsAtMs, isGangComplete }: WorkerRun, nowMs: number): number => {
    if (step.isStanding) {
        return 100;
    }
    const durationMs = (endsAtMs ?? startedAtMs) - startedAtMs;
    return isGangComplete && durationMs > 0 ? Math.floor((100 * (nowMs - startedAtMs)) / durationMs) : 0;
};

/** Amounts that a worker has left. */
export interface FreeAmounts {
    cpuMillicores: number;
    memoryMebibytes: number;
    /** CPU that neither reservations nor fillers need. */
    idleMillicores: number;
}

/** Returns what a worker has left beside its runs. */
export const freeAmountsOf = (worker: SimulatedWorker): FreeAmounts => {
    const { cpuMillicores, memoryMebibytes } = worker.capacity.current;
    const usableMillicores = cpuMillicores - worker.options.hiddenMillicores;
    const free = { cpuMillicores: usableMillicores, memoryMebibytes, idleMillicores: usableMillicores };
    for (const { step } of worker.runs.values()) {
        free.cpuMillicores -= countedMillicoresOf(step);
        free.memoryMebibytes -= step.amounts.memoryMebibytes;
        free.idleMillicores -= step.amounts.cpuMillicores;
    }
    return free;
};

import { countedMillicoresOf, parseTaskKey, RunEnd, TaskKind, taskKindOf } from "@waxwingspread/workflow";
import type {
    Amounts,
    HeartbeatOrders,
    HeartbeatReport,
    ReportedEnd,
    ReportedRun,
    StartOrder,
    StepSpecification,
} from "@waxwingspread/workflow";
import { ChangingCapacity } from "./changing-capacity.js";
import { encodedBytesOf } from "./encoded-size.js";
import type { EventQueue } from "./event-queue.js";
import {
    checkpointOf,
    freeAmountsOf,
    FULL_PERCENT,
    newRun,
    progressPercentOf,
    savedIntervalsOf,
} from "./server-run.js";
import type { ServerRun } from "./server-run.js";
import type { TaskBehaviour } from "./task-behaviour.js";

/** An answer that arrives later than this after its heartbeat was sent has no effect. */
const ANSWER_TIMEOUT_MS = 1_000;
/** A longer answer has no effect either. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;
/** Delay after which a heartbeat without an answer is followed by the next one, to another replica. */
const RETRY_DELAY_MS = 50;
/** Delay of the heartbeat that reports an end. */
const END_REPORT_DELAY_MS = 50;
const STOP_DELAY_MS = 150;
const GANG_TIMEOUT_MS = 3_000;
/** Delay from the start of a run that crashes its server to the crash. */
const CRASH_DELAY_MS = 10;
/** Time for which a server is down after one of its runs has crashed it. */
const CRASH_DOWN_MS = 1_500;

/** Callbacks for the events of simulated servers. */
export interface ServerObserver {
    started: (server: SimulatedServer, order: StartOrder, run: ServerRun, nowMs: number) => void;
    /** A server that guards its capacity has rejected a run that doesn't fit. */
    rejected: (server: SimulatedServer, run: ServerRun, nowMs: number) => void;
    stopOrdered: (server: SimulatedServer, run: ServerRun, nowMs: number) => void;
    /** A checkpoint that a heartbeat or an end reports. */
    saved: (run: ServerRun, checkpoint: string) => void;
    ended: (server: SimulatedServer, run: ServerRun, end: RunEnd) => void;
    acknowledged: (task: string, run: number, end: RunEnd) => void;
    /** Called before the runs of a server that crashes are gone. */
    crashed: (server: SimulatedServer, nowMs: number) => void;
    /** An answer with orders, whether the server takes it or not. */
    answered: (server: SimulatedServer, bytes: number, isTooLong: boolean, nowMs: number) => void;
}

/** Properties of a simulated server. */
export interface ServerOptions {
    id: string;
    availabilityZone: string;
    rack: string;
    labels: string[];
    /** Capacity at the start of the simulation. */
    capacity: Amounts;
    /** Whether the server rejects runs that exceed its capacity. */
    guardsCapacity: boolean;
    /** Rate of the server's clock relative to the simulated time; at least 0.98. */
    clockRate: number;
    /** CPU that is in use although neither the server's capacity nor its runs show it. */
    hiddenMillicores: number;
    /** Whether all answers arrive too late, so that the server executes no orders. */
    dropsAnswers: boolean;
    /** Number of ends that one heartbeat lists. */
    endsPerHeartbeat: number;
}

/** Dependencies of a simulated server. */
export interface ServerDependencies {
    events: EventQueue;
    behaviour: TaskBehaviour;
    observer: ServerObserver;
    /** Sends a heartbeat to the leader. */
    send: (server: SimulatedServer, report: HeartbeatReport) => void;
}

/**
 * A simulated backend server that behaves as the platform's documentation describes: it measures leases on its own clock,
 * ignores orders with a lower term than the highest it has received, lists a part of its ends until they are acknowledged,
 * drops answers that are late or too long, and checks its capacity only if it guards it.
 */
export class SimulatedServer {
    readonly options: ServerOptions;
    readonly runs = new Map<string, ServerRun>();
    readonly capacity: ChangingCapacity;
    isUp = true;
    isDraining = false;
    incarnation = 1;
    readonly #dependencies: ServerDependencies;
    #ended: ReportedEnd[] = [];
    /** Ends not acknowledged before the lease expired; their tasks may be assigned to other servers nevertheless. */
    readonly #expiredEnds = new WeakSet<ReportedEnd>();
    #endCount = 0;
    #sequence = 0;
    #term = 0;
    #leaseEndMs = -Infinity;
    #isLeaseWatched = false;
    readonly #highestRuns = new Map<string, number>();
    /** The heartbeat that waits for its answer; undefined for none. */
    #openHeartbeat: { sequence: number; sentAtMs: number } | undefined;
    /** Time of the next heartbeat; undefined while one waits for its answer. */
    #nextHeartbeatAtMs: number | undefined;
    #hasUnreportedEnd = false;
    /** Share of its normal speed; 0 if its tasks stand still. */
    #speed = 1;

    constructor(options: ServerOptions, dependencies: ServerDependencies) {
        this.options = options;
        this.#dependencies = dependencies;
        this.capacity = new ChangingCapacity(options.capacity);
        this.#scheduleHeartbeat(0);
    }

    get id(): string {
        return this.options.id;
    }

    /** Handles the answer to a heartbeat and executes its orders; undefined for an answer without orders. */
    answer(sequence: number, incarnation: number, orders: HeartbeatOrders | undefined): void {
        const heartbeat = this.#openHeartbeat;
        if (!this.isUp || incarnation !== this.incarnation || heartbeat?.sequence !== sequence) {
            return;
        }
        const isTooLong = this.#checkSize(orders);
        this.#openHeartbeat = undefined;
        const isLate = this.#nowMs - heartbeat.sentAtMs > ANSWER_TIMEOUT_MS;
        if (isTooLong || isLate || this.options.dropsAnswers || orders === undefined || orders.term < this.#term) {
            this.#scheduleHeartbeat(RETRY_DELAY_MS);
            return;
        }
        this.#term = orders.term;
        this.#extendLease(heartbeat.sentAtMs + orders.leaseMs / this.options.clockRate);
        this.#forgetAcknowledged(orders.acknowledgedEnd);
        orders.stops.forEach(({ task, run }) => this.#stop(task, run));
        orders.paces.forEach(({ task, run, pacePercent }) => this.#setPace(task, run, pacePercent));
        orders.starts.forEach(order => this.#start(order));
        this.#scheduleHeartbeat(this.#hasUnreportedEnd ? END_REPORT_DELAY_MS : orders.nextHeartbeatMs);
    }

    /** Goes down for a time, with all its runs. */
    crash(downMs: number): void {
        if (this.isUp) {
            this.#dependencies.observer.crashed(this, this.#nowMs);
            this.goDown(downMs);
        }
    }

    /** Goes down as planned, with all its runs. */
    goDown(downMs: number): void {
        this.runs.clear();
        this.isUp = false;
        this.#afterInThisLife(downMs, () => this.restart());
    }

    /** Loses all state, as after a crash; the next heartbeat belongs to a new incarnation. */
    restart(): void {
        this.runs.clear();
        this.#ended = [];
        this.#endCount = 0;
        this.#sequence = 0;
        this.#term = 0;
        this.#openHeartbeat = undefined;
        this.#nextHeartbeatAtMs = undefined;
        this.#hasUnreportedEnd = false;
        this.#leaseEndMs = -Infinity;
        this.#isLeaseWatched = false;
        this.#highestRuns.clear();
        this.incarnation += 1;
        this.isDraining = false;
        this.isUp = true;
        this.#scheduleHeartbeat(0);
    }

    /** Sets the share of the normal speed at which all runs proceed. */
    setSpeed(speed: number): void {
        this.runs.forEach(run => this.#advanceRun(run));
        this.#speed = speed;
        this.runs.forEach(run => this.#scheduleEnd(run));
    }

    /** Lets the members of a gang work. */
    completeGang(task: string): void {
        const run = this.runs.get(task);
        if (run !== undefined) {
            run.isGangComplete = true;
            run.advancedAtMs = this.#nowMs;
            this.#scheduleEnd(run);
        }
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

    get #nowMs(): number {
        return this.#dependencies.events.nowMs;
    }

    /** Schedules an event unless the server's present life has ended by then. */
    #afterInThisLife(delayMs: number, execute: () => void): void {
        const { incarnation } = this;
        this.#dependencies.events.after(delayMs, () => {
            if (this.incarnation === incarnation) {
                execute();
            }
        });
    }

    #scheduleHeartbeat(delayMs: number): void {
        const atMs = this.#nowMs + delayMs;
        if (this.#openHeartbeat !== undefined || atMs >= (this.#nextHeartbeatAtMs ?? Infinity)) {
            return;
        }
        this.#nextHeartbeatAtMs = atMs;
        this.#afterInThisLife(delayMs, () => {
            if (this.isUp && this.#nextHeartbeatAtMs === atMs) {
                this.#sendHeartbeat();
            }
        });
    }

    #sendHeartbeat(): void {
        const report = this.#report();
        const heartbeat = { sequence: report.sequence, sentAtMs: this.#nowMs };
        this.#nextHeartbeatAtMs = undefined;
        this.#openHeartbeat = heartbeat;
        this.#hasUnreportedEnd = false;
        this.#afterInThisLife(ANSWER_TIMEOUT_MS + 1, () => {
            if (this.isUp && this.#openHeartbeat === heartbeat) {
                this.#openHeartbeat = undefined;
                this.#scheduleHeartbeat(RETRY_DELAY_MS);
            }
        });
        this.#dependencies.send(this, report);
    }

    #report(): HeartbeatReport {
        this.#sequence += 1;
        const { id, availabilityZone, rack, labels, endsPerHeartbeat } = this.options;
        const tailRatio = this.#dependencies.behaviour.tailRatio(this);
        return {
            serverId: id,
            incarnation: this.incarnation,
            sequence: this.#sequence,
            clockMs: this.#nowMs,
            vmId: `vm-${id}`,
            service: "pool",
            availabilityZone,
            rack,
            labels,
            capacity: this.capacity.current,
            isDraining: this.isDraining,
            remainingMs: undefined,
            running: [...this.runs.values()].map(run => this.#reportedRunOf(run, tailRatio)),
            ended: this.#ended.slice(0, endsPerHeartbeat),
            mayHaveMoreEnds: this.#ended.length >= endsPerHeartbeat,
        };
    }

    #reportedRunOf(run: ServerRun, tailRatio: number): ReportedRun {
        this.#advanceRun(run);
        const { task, position, step, pacePercent } = run;
        const { behaviour } = this.#dependencies;
        const isStanding = taskKindOf(step) === TaskKind.Standing;
        return {
            task,
            run: run.run,
            checkpoint: this.#saveCheckpoint(run, Math.floor(savedIntervalsOf(run))),
            progressPercent: isStanding ? FULL_PERCENT : progressPercentOf(run, behaviour.quantumPercent(position)),
            measurement: isStanding
                ? Math.round(step.targetTailMs * tailRatio)
                : Math.floor(step.amounts.cpuMillicores * (pacePercent / FULL_PERCENT) * this.#speed),
        };
    }

    /** Returns whether an answer is too long to be taken. */
    #checkSize(orders: HeartbeatOrders | undefined): boolean {
        const hasOrders = orders !== undefined && orders.starts.length + orders.stops.length + orders.paces.length > 0;
        if (!hasOrders) {
            return false;
        }
        const bytes = encodedBytesOf(orders);
        const isTooLong = bytes > MAX_ANSWER_BYTES;
        this.#dependencies.observer.answered(this, bytes, isTooLong, this.#nowMs);
        return isTooLong;
    }

    #forgetAcknowledged(acknowledgedEnd: number): void {
        const acknowledged = this.#ended.filter(end => end.sequence <= acknowledgedEnd);
        this.#ended = this.#ended.filter(end => end.sequence > acknowledgedEnd);
        acknowledged
            .filter(end => !this.#expiredEnds.has(end))
            .forEach(({ task, run, end }) => this.#dependencies.observer.acknowledged(task, run, end));
    }

    #extendLease(endMs: number): void {
        this.#leaseEndMs = Math.max(this.#leaseEndMs, endMs);
        if (!this.#isLeaseWatched) {
            this.#isLeaseWatched = true;
            this.#afterInThisLife(this.#leaseEndMs - this.#nowMs, () => this.#checkLease());
        }
    }

    #checkLease(): void {
        if (this.#nowMs < this.#leaseEndMs) {
            this.#afterInThisLife(this.#leaseEndMs - this.#nowMs, () => this.#checkLease());
            return;
        }
        this.#isLeaseWatched = false;
        [...this.runs.values()].forEach(run => this.#end(run, RunEnd.LeaseExpired));
        this.#ended.forEach(end => this.#expiredEnds.add(end));
    }

    #start(order: StartOrder): void {
        const position = parseTaskKey(order.task);
        const step = position === undefined ? undefined : this.#dependencies.behaviour.stepOf(position);
        const present = this.runs.get(order.task);
        if (position === undefined || step === undefined || present?.run === order.run) {
            return;
        }
        const run = newRun(order, position, step, this.#dependencies.behaviour.workMs(position), this.#nowMs);
        if (present !== undefined || order.run <= (this.#highestRuns.get(order.task) ?? 0)) {
            this.#listEnd(run, RunEnd.NotStarted, "");
            return;
        }
        this.#highestRuns.set(order.task, order.run);
        if (this.options.guardsCapacity && !this.#hasRoomFor(step)) {
            this.#dependencies.observer.rejected(this, run, this.#nowMs);
            this.#end(run, RunEnd.NotStarted);
            return;
        }
        this.runs.set(order.task, run);
        this.#dependencies.observer.started(this, order, run, this.#nowMs);
        this.#beginRun(run);
    }

    #beginRun(run: ServerRun): void {
        this.#scheduleEnd(run);
        if (run.step.isGang) {
            this.#afterInThisLife(GANG_TIMEOUT_MS, () => {
                if (this.runs.get(run.task) === run && !run.isGangComplete) {
                    this.#end(run, RunEnd.GangIncomplete);
                }
            });
        }
        if (this.#dependencies.behaviour.crashes(run.position)) {
            this.#afterInThisLife(CRASH_DELAY_MS, () => {
                if (this.runs.get(run.task) === run) {
                    this.crash(CRASH_DOWN_MS);
                }
            });
        }
    }

    #hasRoomFor(step: StepSpecification): boolean {
        const { cpuMillicores, memoryMebibytes } = freeAmountsOf(this);
        const neededMillicores = countedMillicoresOf(step);
        return neededMillicores <= cpuMillicores && step.amounts.memoryMebibytes <= memoryMebibytes;
    }

    #stop(task: string, run: number): void {
        this.#highestRuns.set(task, Math.max(run, this.#highestRuns.get(task) ?? 0));
        const running = this.runs.get(task);
        if (running?.run !== run || running.isStopping) {
            return;
        }
        running.isStopping = true;
        this.#dependencies.observer.stopOrdered(this, running, this.#nowMs);
        this.#afterInThisLife(STOP_DELAY_MS, () => {
            if (this.runs.get(task) === running) {
                this.#end(running, RunEnd.Stopped);
            }
        });
    }

    #setPace(task: string, number: number, pacePercent: number): void {
        const run = this.runs.get(task);
        if (run?.run === number) {
            this.#advanceRun(run);
            run.pacePercent = pacePercent;
            this.#scheduleEnd(run);
        }
    }

    #rateOf(run: ServerRun): number {
        return run.isGangComplete ? (run.pacePercent / FULL_PERCENT) * this.#speed : 0;
    }

    #advanceRun(run: ServerRun): void {
        run.workedMs += (this.#nowMs - run.advancedAtMs) * this.#rateOf(run);
        run.advancedAtMs = this.#nowMs;
    }

    #scheduleEnd(run: ServerRun): void {
        run.version += 1;
        const { version, workMs } = run;
        const rate = this.#rateOf(run);
        if (workMs === undefined || rate === 0) {
            return;
        }
        this.#afterInThisLife((workMs - run.workedMs) / rate, () => {
            if (this.runs.get(run.task) === run && run.version === version) {
                const hasFailed = this.#dependencies.behaviour.fails(run.position, run.run, this.id);
                this.#end(run, hasFailed ? RunEnd.Failed : RunEnd.Done);
            }
        });
    }

    #end(run: ServerRun, end: RunEnd): void {
        this.#advanceRun(run);
        this.runs.delete(run.task);
        // A stop produces a checkpoint of its own.
        const intervals = end === RunEnd.Stopped ? savedIntervalsOf(run) : Math.floor(savedIntervalsOf(run));
        const checkpoint = end === RunEnd.NotStarted ? "" : this.#saveCheckpoint(run, intervals);
        this.#listEnd(run, end, checkpoint);
        this.#dependencies.observer.ended(this, run, end);
    }

    /** Returns the checkpoint of a run after the given number of intervals of work; empty for none. */
    #saveCheckpoint(run: ServerRun, intervals: number): string {
        const checkpoint = checkpointOf(run, intervals);
        if (checkpoint !== "") {
            this.#dependencies.observer.saved(run, checkpoint);
        }
        return checkpoint;
    }

    #listEnd({ task, run }: ServerRun, end: RunEnd, checkpoint: string): void {
        this.#endCount += 1;
        this.#ended.push({ sequence: this.#endCount, task, run, end, checkpoint });
        this.#hasUnreportedEnd = true;
        this.#scheduleHeartbeat(END_REPORT_DELAY_MS);
    }
}

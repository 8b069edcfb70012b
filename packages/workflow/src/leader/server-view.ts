import type { HeartbeatReport } from "../model/heartbeat.js";
import { countedMillicoresOf, TaskKind } from "../model/specification.js";
import type { Amounts, StepSpecification, TaskPosition } from "../model/specification.js";

/** The leader's view of a run on a backend server. */
export interface RunView {
    readonly task: string;
    readonly run: number;
    readonly position: TaskPosition;
    readonly step: StepSpecification;
    readonly kind: TaskKind;
    /** Approval of the eligibility service for this run; undefined where none is needed or the last one has expired. */
    eligibilityToken: string | undefined;
    /** Whether an earlier run of the task may have crashed its server, so that this one is tried apart from others. */
    readonly isSuspect: boolean;
    /** Whether a former leader recorded the run; that leader may have sent the start order. */
    readonly isAdopted: boolean;
    /** Time at which the run was assigned, or taken over from a former leader. */
    readonly assignedAtMs: number;
    /** Wall-clock time since which the task had waited; undefined for a run that a former leader assigned. */
    readonly waitingSinceMs: number | undefined;
    /** Whether the assignment is committed, so that the start order may be sent. */
    isCommitted: boolean;
    /** Sequence number of the heartbeat whose response carried the start order; undefined before. */
    orderedAtSequence: number | undefined;
    /** Time of the first response that carried the start order; undefined before. */
    firstOrderedAtMs: number | undefined;
    /** Number of responses that carried the start order. */
    startOrders: number;
    /** Whether the server has reported the run. */
    isReported: boolean;
    /** Time of the first heartbeat that reported the run; undefined before. */
    firstReportedAtMs: number | undefined;
    checkpoint: string;
    progressPercent: number;
    /** Time at which the reported progress last increased. */
    progressAtMs: number;
    /** Tail latency in ms of a standing task, CPU usage in millicores of any other; undefined if not measured. */
    measurement: number | undefined;
    /** Percentage of full speed that was ordered last; an estimate if {@link isPaceKnown} is false. */
    pacePercent: number;
    /** Whether the pace is the one that was ordered last. A new leader doesn't know it of the fillers that it takes over. */
    isPaceKnown: boolean;
    /** Time of the last pace order; undefined before the first. */
    paceOrderedAtMs: number | undefined;
    /** Percentage of full speed that the next pace order will set. */
    targetPacePercent: number;
    /** Whether the run is to be stopped. */
    isStopping: boolean;
    /** Time of the first heartbeat that no longer reported the run; undefined while it is reported. */
    missingSinceMs: number | undefined;
}

/** Time after the first report of a run for which it counts as fresh: it may be about to crash the server. */
const FRESH_RUN_MS = 250;

/**
 * Time between two heartbeats, on the server's clock, from which the first one was not answered in time: a server waits
 * 1 s for an answer, and its clock may be 2% slow.
 */
const MISSED_ANSWER_INTERVAL_MS = 980;

/** Assumed lower bound on the rate of a server's clock, relative to the leader's. */
const MIN_CLOCK_RATE = 0.98;

/**
 * A server counts as saturated when its fillers get less than this share of the CPU time that their paces allow. Tasks that
 * nothing holds up may use a good deal less than they declare.
 */
const SATURATION_RATIO = 0.5;

const ZERO: Amounts = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };

/** The leader's view of one incarnation of a backend server and of the runs assigned to it. */
export class ServerView {
    readonly id: string;
    readonly incarnation: number;
    service = "";
    availabilityZone = "";
    rack = "";
    labels: readonly string[] = [];
    capacity: Amounts = ZERO;
    isDraining = false;
    /** Whether the server is certainly there, so that tasks may be assigned to it. */
    isConfirmed = false;
    /** Whether the VM is being emptied for its maintenance. */
    isInMaintenance = false;
    /** Time from which on the platform may have taken the VM down for its maintenance; undefined before. */
    maintenanceRequestedAtMs: number | undefined;
    /** The VM that the server runs on; empty when unknown. */
    vmId = "";
    /** Time after which a draining server may exit. */
    leavesAtMs = Infinity;
    /** Sequence of the latest heartbeat; undefined before the first in this term. */
    sequence: number | undefined;
    lastHeartbeatAtMs: number;
    /** The server's monotonic clock when it sent the latest heartbeat; undefined when unknown. */
    clockMs: number | undefined;
    /** Whether the server has sent the latest heartbeat without having received the answer to the one before. */
    hasMissedAnswer = false;
    /** Interval to the next heartbeat that the latest answer has ordered. */
    orderedIntervalMs = 0;
    /** Arrival of the first heartbeat of this term in the present contact; undefined before the first. */
    #contactSinceMs: number | undefined;
    /** The server's monotonic clock when it sent that heartbeat; undefined when unknown. */
    #contactSinceClockMs: number | undefined;
    /** Time at which all of the server's leases have certainly expired unless another heartbeat is answered. */
    leaseExpiresAtMs: number;
    /** Sequence number of the last run end that was proposed for the log. */
    lastProposedEnd = 0;
    /** Whether the server reports runs that the leader does not track (any more); {@link reserved} excludes them. */
    hasUntrackedRuns = false;
    /**
     * The server is avoided until this time, after failures or slow progress: only standing tasks start here, and only
     * if no other server can run them.
     */
    avoidUntilMs = -Infinity;
    /** Nothing is assigned to the server until this time, after it has not started runs that it was ordered to start. */
    excludedUntilMs = -Infinity;
    readonly #runs = new Map<string, RunView>();
    /** Whether a heartbeat has arrived or a run has been removed since the last planning. */
    #hasChanged = true;
    #reserved: Amounts = ZERO;
    #standingCpuMillicores = 0;
    #reservedByStandingMillicores = 0;
    #fillerCpuMillicores = 0;
    /** Cached; undefined until they are computed again. */
    #freshRuns: readonly RunView[] | undefined;
    /** Cached; undefined until it is computed again. */
    #isSaturated: boolean | undefined;
    readonly #standingByImage = new Map<string, number>();
    readonly #fillersByImage = new Map<string, number>();

    constructor(id: string, incarnation: number, nowMs: number, leaseExpiresAtMs: number) {
        this.id = id;
        this.incarnation = incarnation;
        this.lastHeartbeatAtMs = nowMs;
        this.leaseExpiresAtMs = leaseExpiresAtMs;
    }

    get runs(): ReadonlyMap<string, RunView> {
        return this.#runs;
    }

    /** Amounts reserved by all runs; fillers reserve no CPU time. */
    get reserved(): Amounts {
        return this.#reserved;
    }

    /** CPU need of the standing tasks. */
    get standingCpuMillicores(): number {
        return this.#standingCpuMillicores;
    }

    /** CPU capacity that the standing tasks reserve: their need, except for those that fill. */
    get reservedByStandingMillicores(): number {
        return this.#reservedByStandingMillicores;
    }

    /** CPU need of the fillers. */
    get fillerCpuMillicores(): number {
        return this.#fillerCpuMillicores;
    }

    /** CPU need of the standing tasks in millicores, by image. */
    get standingByImage(): ReadonlyMap<string, number> {
        return this.#standingByImage;
    }

    /** CPU need of the fillers in millicores, by image. */
    get fillersByImage(): ReadonlyMap<string, number> {
        return this.#fillersByImage;
    }

    /** Returns the share of the server's CPU capacity that a task can use of the given amount; at most 1. */
    cpuShareOf(cpuMillicores: number): number {
        return Math.min(1, cpuMillicores / Math.max(1, this.capacity.cpuMillicores));
    }

    /** The runs that have just started or are about to start. */
    get freshRuns(): readonly RunView[] {
        this.#freshRuns ??= [...this.#runs.values()].filter(run => this.isFresh(run));
        return this.#freshRuns;
    }

    /** Whether a run has just started or is about to start, as far as the heartbeats show. */
    isFresh(run: RunView): boolean {
        return this.reportedMsOf(run) < FRESH_RUN_MS;
    }

    /** Returns the time for which heartbeats of this term have shown a run. */
    reportedMsOf({ firstReportedAtMs }: RunView): number {
        return firstReportedAtMs === undefined ? 0 : this.lastHeartbeatAtMs - firstReportedAtMs;
    }

    /** Whether running fillers get clearly less CPU time than their paces allow. */
    get isSaturated(): boolean {
        this.#isSaturated ??= this.#computeSaturation();
        return this.#isSaturated;
    }

    /** Invalidates the cached saturation after measurements or paces of runs have changed. */
    invalidateSaturation(): void {
        this.#isSaturated = undefined;
    }

    /** Invalidates the cached fresh runs after a heartbeat has shown runs for longer. */
    invalidateFreshRuns(): void {
        this.#freshRuns = undefined;
    }

    /** CPU capacity that is not reserved; includes what fillers use. */
    get unreservedCpuMillicores(): number {
        return this.capacity.cpuMillicores - this.#reserved.cpuMillicores;
    }

    /** Whether the server has shown in this term that it is there, and accepts new work. */
    get isUsable(): boolean {
        return this.isConfirmed && !this.isDraining && !this.isInMaintenance && !this.hasUntrackedRuns;
    }

    /** Returns whether a task may fit that didn't fit at the last call. */
    takeHasChanged(): boolean {
        const hasChanged = this.#hasChanged;
        this.#hasChanged = false;
        return hasChanged;
    }

    /**
     * Returns the time over which heartbeats of this term show without a gap what runs on the server. Heartbeats that arrive
     * late are few and far apart, on the server's clock or in their arrival.
     */
    observedMs(nowMs: number): number {
        const elapsedMs = nowMs - (this.#contactSinceMs ?? nowMs);
        return this.clockMs === undefined || this.#contactSinceClockMs === undefined
            ? elapsedMs
            : Math.min(elapsedMs, (this.clockMs - this.#contactSinceClockMs) / MIN_CLOCK_RATE);
    }

    /** Updates the server's properties from a heartbeat. */
    updateFrom(report: HeartbeatReport, nowMs: number): void {
        this.#hasChanged = true;
        this.service = report.service;
        this.vmId = report.vmId;
        this.availabilityZone = report.availabilityZone;
        this.rack = report.rack;
        this.labels = report.labels;
        this.capacity = report.capacity;
        this.isDraining = report.isDraining;
        this.leavesAtMs = report.isDraining && report.remainingMs !== undefined ? nowMs + report.remainingMs : Infinity;
        const sinceLastMs = (report.clockMs ?? 0) - (this.clockMs ?? Infinity);
        this.hasMissedAnswer = sinceLastMs >= MISSED_ANSWER_INTERVAL_MS;
        if (this.#contactSinceMs === undefined || sinceLastMs > MISSED_ANSWER_INTERVAL_MS + this.orderedIntervalMs) {
            this.#contactSinceMs = nowMs;
            this.#contactSinceClockMs = report.clockMs;
        }
        this.sequence = report.sequence;
        this.clockMs = report.clockMs;
        this.lastHeartbeatAtMs = nowMs;
    }

    /** Whether a task of the step fits into the unreserved capacity. */
    fits(step: StepSpecification): boolean {
        return this.fitsBesideMemory(step)
            && this.#reserved.memoryMebibytes + step.amounts.memoryMebibytes <= this.capacity.memoryMebibytes;
    }

    /** Whether a task of the step fits into the unreserved capacity, whatever memory it needs. */
    fitsBesideMemory(step: StepSpecification): boolean {
        const { capacity } = this;
        return this.#reserved.cpuMillicores + countedMillicoresOf(step) <= capacity.cpuMillicores
            && this.#reserved.accelerators + step.amounts.accelerators <= capacity.accelerators;
    }

    /** Adds a run and reserves its amounts. */
    addRun(run: RunView): void {
        this.#runs.set(run.task, run);
        this.#updateTotals(run, 1);
    }

    /** Removes the run of a task and releases its amounts. */
    removeRun(task: string): RunView | undefined {
        const run = this.#runs.get(task);
        if (run !== undefined) {
            this.#runs.delete(task);
            this.#hasChanged = true;
            this.#updateTotals(run, -1);
        }
        return run;
    }

    /** Returns a task's run by its number; undefined if the server has another run of the task, or none. */
    findRun(task: string, run: number): RunView | undefined {
        const view = this.#runs.get(task);
        return view?.run === run ? view : undefined;
    }

    /** Whether the assignment of a run is not committed yet. */
    get hasUncommittedRuns(): boolean {
        for (const run of this.#runs.values()) {
            if (!run.isCommitted) {
                return true;
            }
        }
        return false;
    }

    /** Returns how many tasks of one step of one occurrence are on the server. */
    countOfStep({ jobId, occurrence, step }: TaskPosition): number {
        let count = 0;
        for (const { position } of this.#runs.values()) {
            const isSame = position.jobId === jobId && position.step === step && position.occurrence === occurrence;
            count += isSame ? 1 : 0;
        }
        return count;
    }

    #computeSaturation(): boolean {
        let allowedMillicores = 0;
        let usedMillicores = 0;
        for (const run of this.#runs.values()) {
            if (run.kind === TaskKind.Filler && run.measurement !== undefined && run.measurement > 0) {
                allowedMillicores += run.step.amounts.cpuMillicores * (run.pacePercent / 100);
                usedMillicores += run.measurement;
            }
        }
        return usedMillicores < allowedMillicores * SATURATION_RATIO;
    }

    #updateTotals(run: RunView, sign: 1 | -1): void {
        this.invalidateSaturation();
        this.invalidateFreshRuns();
        const { amounts } = run.step;
        const isFiller = run.kind === TaskKind.Filler;
        this.#reserved = {
            cpuMillicores: this.#reserved.cpuMillicores + sign * countedMillicoresOf(run.step),
            memoryMebibytes: this.#reserved.memoryMebibytes + sign * amounts.memoryMebibytes,
            accelerators: this.#reserved.accelerators + sign * amounts.accelerators,
        };
        if (run.kind === TaskKind.Standing) {
            this.#standingCpuMillicores += sign * amounts.cpuMillicores;
            this.#reservedByStandingMillicores += sign * countedMillicoresOf(run.step);
            addTo(this.#standingByImage, run.step.image, sign * amounts.cpuMillicores);
        }
        if (isFiller) {
            this.#fillerCpuMillicores += sign * amounts.cpuMillicores;
            addTo(this.#fillersByImage, run.step.image, sign * amounts.cpuMillicores);
        }
    }
}

const addTo = (sums: Map<string, number>, key: string, amount: number): void => {
    const sum = (sums.get(key) ?? 0) + amount;
    if (sum > 0) {
        sums.set(key, sum);
    }
    else {
        sums.delete(key);
    }
};

/** Whether the latest heartbeat of the run's server lists it as running. */
export const isListed = ({ isReported, missingSinceMs }: RunView): boolean =>
    isReported && missingSinceMs === undefined;

/** Lets the start order of a run be repeated as if none had been sent before. */
export const resetStartOrders = (run: RunView): void => {
    run.startOrders = 0;
    run.firstOrderedAtMs = undefined;
};

/** Properties of a run at its assignment. */
export interface NewRun {
    task: string;
    run: number;
    position: TaskPosition;
    step: StepSpecification;
    kind: TaskKind;
    checkpoint: string;
    eligibilityToken?: string | undefined;
    isSuspect?: boolean;
    isAdopted?: boolean;
    waitingSinceMs?: number | undefined;
}

/**
 * Creates the view of a run whose assignment is not committed yet. Each property is named, because an object that is
 * created by rest and spread costs ten times as much, for each start and for each run that a new leader takes over.
 */
export const newRunView = (assigned: NewRun, nowMs: number): RunView => ({
    task: assigned.task,
    run: assigned.run,
    position: assigned.position,
    step: assigned.step,
    kind: assigned.kind,
    checkpoint: assigned.checkpoint,
    eligibilityToken: assigned.eligibilityToken,
    isSuspect: assigned.isSuspect ?? false,
    isAdopted: assigned.isAdopted ?? false,
    assignedAtMs: nowMs,
    waitingSinceMs: assigned.waitingSinceMs,
    isCommitted: false,
    orderedAtSequence: undefined,
    firstOrderedAtMs: undefined,
    startOrders: 0,
    isReported: false,
    firstReportedAtMs: undefined,
    progressPercent: 0,
    progressAtMs: nowMs,
    measurement: undefined,
    pacePercent: 100,
    isPaceKnown: true,
    paceOrderedAtMs: undefined,
    targetPacePercent: 100,
    isStopping: false,
    missingSinceMs: undefined,
});

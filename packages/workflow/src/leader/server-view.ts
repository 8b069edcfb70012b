import type { HeartbeatReport } from "../model/heartbeat.js";
import { TaskKind } from "../model/specification.js";
import type { Amounts, StepSpecification, TaskPosition } from "../model/specification.js";

/** A run on a backend server as the leader knows it. */
export interface RunView {
    readonly task: string;
    readonly run: number;
    readonly position: TaskPosition;
    readonly step: StepSpecification;
    readonly kind: TaskKind;
    /** Approval of the eligibility service for this run; undefined where none is needed. */
    readonly eligibilityToken: string | undefined;
    /** Whether a former leader recorded the run; it may have sent the order. */
    readonly isAdopted: boolean;
    /** Whether the assignment is recorded, so that the order may leave. */
    isCommitted: boolean;
    /** Sequence of the heartbeat whose answer carried the start; undefined before. */
    orderedAtSequence: number | undefined;
    /** Whether the server has reported the run. */
    isReported: boolean;
    /** First report of the run; undefined before. */
    firstReportedAtMs: number | undefined;
    checkpoint: string;
    progressPercent: number;
    /** When the reported progress last rose. */
    progressAtMs: number;
    measurement: number | undefined;
    /** Share of full speed that was ordered last. */
    pacePercent: number;
    /** Share of full speed that is wanted. */
    wantedPacePercent: number;
    /** Whether a stop is wanted. */
    isStopping: boolean;
    /** Since when the server has no longer reported the run; undefined while it does. */
    missingSinceMs: number | undefined;
}

/** Share of their wanted processor time below which fillers show that a server is saturated. */
const SATURATION_RATIO = 0.8;

const ZERO: Amounts = { cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 };

/** What the leader knows about one incarnation of a backend server. */
export class ServerView {
    readonly id: string;
    readonly incarnation: number;
    service = "";
    availabilityZone = "";
    rack = "";
    labels: readonly string[] = [];
    capacity: Amounts = ZERO;
    isDraining = false;
    /** Whether the VM is being emptied for its maintenance. */
    isInMaintenance = false;
    /** The VM that the server runs on; empty when unknown. */
    vmId = "";
    /** When a draining server may leave. */
    leavesAtMs = Infinity;
    /** Sequence of the latest heartbeat; undefined before the first in this term. */
    sequence: number | undefined;
    heardAtMs: number;
    /** First heartbeat in this term; undefined before. */
    firstHeardAtMs: number | undefined;
    /** When every lease has certainly expired unless another heartbeat is answered. */
    leaseExpiresAtMs: number;
    /** Ends up to here are proposed for the log. */
    proposedEnd = 0;
    /** Whether the server still has runs that the leader has given up; their amounts aren't in {@link reserved}. */
    hasStrays = false;
    /** No starts before this time, after failures. */
    avoidUntilMs = -Infinity;
    readonly #runs = new Map<string, RunView>();
    #reserved: Amounts = ZERO;
    #standingCpuMillicores = 0;
    #fillerCpuMillicores = 0;
    /** Undefined until it is worked out again. */
    #isSaturated: boolean | undefined;
    readonly #standingByImage = new Map<string, number>();
    readonly #fillersByImage = new Map<string, number>();

    constructor(id: string, incarnation: number, nowMs: number, leaseExpiresAtMs: number) {
        this.id = id;
        this.incarnation = incarnation;
        this.heardAtMs = nowMs;
        this.leaseExpiresAtMs = leaseExpiresAtMs;
    }

    get runs(): ReadonlyMap<string, RunView> {
        return this.#runs;
    }

    /** Amounts held by all runs; fillers hold no processor time. */
    get reserved(): Amounts {
        return this.#reserved;
    }

    get standingCpuMillicores(): number {
        return this.#standingCpuMillicores;
    }

    get fillerCpuMillicores(): number {
        return this.#fillerCpuMillicores;
    }

    /** Processor need of the standing tasks in millicores, by image. */
    get standingByImage(): ReadonlyMap<string, number> {
        return this.#standingByImage;
    }

    /** Processor need of the fillers in millicores, by image. */
    get fillersByImage(): ReadonlyMap<string, number> {
        return this.#fillersByImage;
    }

    /** Returns the share of the processors that an amount is. */
    shareOf(cpuMillicores: number): number {
        return cpuMillicores / Math.max(1, this.capacity.cpuMillicores);
    }

    /** Whether running fillers get clearly less processor time than their pace allows. */
    get isSaturated(): boolean {
        this.#isSaturated ??= this.#findSaturation();
        return this.#isSaturated;
    }

    /** Takes note that measurements or paces of runs changed. */
    useChanged(): void {
        this.#isSaturated = undefined;
    }

    /** Processor time that no reservation holds. */
    get unreservedCpuMillicores(): number {
        return this.capacity.cpuMillicores - this.#reserved.cpuMillicores;
    }

    /** Whether the server has been heard in this term and takes new work. */
    get isUsable(): boolean {
        return this.sequence !== undefined && !this.isDraining && !this.isInMaintenance && !this.hasStrays;
    }

    describe(report: HeartbeatReport, nowMs: number): void {
        this.service = report.service;
        this.vmId = report.vmId;
        this.availabilityZone = report.availabilityZone;
        this.rack = report.rack;
        this.labels = report.labels;
        this.capacity = report.capacity;
        this.isDraining = report.isDraining;
        this.leavesAtMs = report.isDraining && report.remainingMs !== undefined ? nowMs + report.remainingMs : Infinity;
        this.sequence = report.sequence;
        this.heardAtMs = nowMs;
        this.firstHeardAtMs ??= nowMs;
    }

    /** Whether a task fits beside what is reserved. */
    fits(step: StepSpecification): boolean {
        const { capacity } = this;
        const { amounts } = step;
        const needsCpu = step.isFiller ? 0 : amounts.cpuMillicores;
        return this.#reserved.cpuMillicores + needsCpu <= capacity.cpuMillicores
            && this.#reserved.memoryMebibytes + amounts.memoryMebibytes <= capacity.memoryMebibytes
            && this.#reserved.accelerators + amounts.accelerators <= capacity.accelerators;
    }

    addRun(run: RunView): void {
        this.#runs.set(run.task, run);
        this.#account(run, 1);
    }

    removeRun(task: string): RunView | undefined {
        const run = this.#runs.get(task);
        if (run !== undefined) {
            this.#runs.delete(task);
            this.#account(run, -1);
        }
        return run;
    }

    /** Returns a task's run by its number; undefined when the leader knows another run of the task here, or none. */
    findRun(task: string, run: number): RunView | undefined {
        const view = this.#runs.get(task);
        return view?.run === run ? view : undefined;
    }

    /** Whether a run still waits for its record. */
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

    #findSaturation(): boolean {
        let wantedMillicores = 0;
        let usedMillicores = 0;
        for (const run of this.#runs.values()) {
            if (run.kind === TaskKind.Filler && run.measurement !== undefined && run.measurement > 0) {
                wantedMillicores += run.step.amounts.cpuMillicores * (run.pacePercent / 100);
                usedMillicores += run.measurement;
            }
        }
        return usedMillicores < wantedMillicores * SATURATION_RATIO;
    }

    #account(run: RunView, sign: 1 | -1): void {
        this.useChanged();
        const { amounts } = run.step;
        const isFiller = run.kind === TaskKind.Filler;
        this.#reserved = {
            cpuMillicores: this.#reserved.cpuMillicores + (isFiller ? 0 : sign * amounts.cpuMillicores),
            memoryMebibytes: this.#reserved.memoryMebibytes + sign * amounts.memoryMebibytes,
            accelerators: this.#reserved.accelerators + sign * amounts.accelerators,
        };
        if (run.kind === TaskKind.Standing) {
            this.#standingCpuMillicores += sign * amounts.cpuMillicores;
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

/** What is known of a run when it is assigned. */
export interface NewRun {
    task: string;
    run: number;
    position: TaskPosition;
    step: StepSpecification;
    kind: TaskKind;
    checkpoint: string;
    eligibilityToken?: string | undefined;
    isAdopted?: boolean;
}

/** Creates the view of a run that is about to be recorded. */
export const newRunView = ({ eligibilityToken, isAdopted = false, ...assigned }: NewRun, nowMs: number): RunView => ({
    ...assigned,
    eligibilityToken,
    isAdopted,
    isCommitted: false,
    orderedAtSequence: undefined,
    isReported: false,
    firstReportedAtMs: undefined,
    progressPercent: 0,
    progressAtMs: nowMs,
    measurement: undefined,
    pacePercent: 100,
    wantedPacePercent: 100,
    isStopping: false,
    missingSinceMs: undefined,
});

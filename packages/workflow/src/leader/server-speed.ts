import { TaskKind } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { ProgressQuanta } from "./progress-quanta.js";
import { RunProgress } from "./run-progress.js";
import type { ExpectedRates, ProgressWindow } from "./run-progress.js";
import { isListed } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";
import { StepRates } from "./step-rates.js";

/** Weight of a new measurement in the moving average of a server's speed. */
const SMOOTHING = 0.35;
/** A server is slow if its tasks progress at less than this share of the expected rate. */
const SLOW_RATIO = 0.35;
/** Upper bound on a measurement that enters the moving average. */
const MAX_RATIO = 1.5;
/** Minimum number of measurements before a server may count as slow. */
const MIN_MEASUREMENTS = 3;
/** Runs that must be slow: one alone may be a task that takes longer than the others of its step. */
const MIN_SLOW_RUNS = 2;
/** Time for which a slow server is avoided; after that, a few tasks show whether it has recovered. */
const AVOID_MS = 2_000;
/** Factor by which estimates, and the lengths of the tasks of one step, may be off. */
const MAX_LENGTH_ERROR = 10;
/** Share of full speed below which the progress of a filler shows nothing. */
const MIN_CPU_SHARE = 0.3;
/** Time that a stop and a new start on another server take. */
const MOVE_COST_MS = 700;
/** Minimum ratio of a task's remaining time here to that on another server for a move, as estimates may be wrong. */
const MIN_MOVE_GAIN_RATIO = 1.5;
const WHOLE_PERCENT = 100;

/** Moving average of the progress on a server, relative to the expected one. */
interface Speed {
    ratio: number;
    measurements: number;
    /** Tasks that were slow since the server's speed was last sound. */
    slowTasks: Set<string>;
    /** Whether a run has made no progress although the slowest plausible task would have. */
    hasStalledRun: boolean;
}

/**
 * Detects backend servers on which tasks stall or progress far more slowly than elsewhere, and moves those tasks. A rate is
 * compared with that of the same step on other servers, or of the same run before, never with an estimate. How long it takes
 * follows from the length of the tasks: a few quanta of their reported progress must have become due.
 */
export class ServerSpeed {
    readonly #progress = new WeakMap<RunView, RunProgress>();
    readonly #quanta = new ProgressQuanta();
    readonly #rates = new StepRates();
    readonly #speeds = new Map<string, Speed>();

    /** Updates a server's speed from the reported progress of its runs. */
    observe(server: ServerView, nowMs: number): void {
        // Heartbeats may be delayed on their way. Measured by their arrival, the progress of a sound server would be low.
        const reportedAtMs = server.clockMs ?? nowMs;
        const speed = this.#speeds.get(server.id) ?? newSpeed();
        this.#speeds.set(server.id, speed);
        const previousMeasurements = speed.measurements;
        for (const run of server.runs.values()) {
            const window = isComparable(run, server) ? this.#measure(run, server, reportedAtMs) : undefined;
            if (window?.ratio !== undefined) {
                addMeasurement(speed, run, window.ratio, window.hasStalled);
            }
        }
        if (speed.measurements === previousMeasurements || !isSlow(speed)) {
            return;
        }
        server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + AVOID_MS);
        for (const run of server.runs.values()) {
            run.isStopping ||= this.#isWorthMoving(run, server, speed.ratio, nowMs);
        }
    }

    /** Discards the state of a removed server. */
    forget(serverId: string): void {
        this.#speeds.delete(serverId);
    }

    /** Returns what a run's progress shows; undefined while it shows nothing yet. */
    #measure(run: RunView, server: ServerView, reportedAtMs: number): ProgressWindow | undefined {
        const { step, progressPercent } = run;
        const cpuShare = run.kind === TaskKind.Filler ? grantedCpuShare(run) : 1;
        if (run.kind === TaskKind.Standing || !isListed(run) || run.isStopping || cpuShare < MIN_CPU_SHARE) {
            this.#progress.delete(run);
            return undefined;
        }
        this.#quanta.observe(step, progressPercent);
        const progress = this.#progress.get(run);
        if (progress === undefined) {
            this.#progress.set(run, new RunProgress(run, reportedAtMs));
            return undefined;
        }
        progress.advance(cpuShare, reportedAtMs);
        if (!progress.isDue(reportedAtMs)) {
            return undefined;
        }
        const expected = this.#expectedRates(run, server, progress);
        const window = progress.judge(progressPercent, this.#quanta.of(step), expected);
        if (window !== undefined && window.rate > 0) {
            this.#rates.record(step, server.id, window.rate);
        }
        return window;
    }

    #expectedRates({ step, run }: RunView, server: ServerView, { meanRate }: RunProgress): ExpectedRates {
        const elsewhere = this.#rates.meanElsewhere(step, server.id);
        return {
            measured: elsewhere ?? meanRate,
            lowest: meanRate ?? (elsewhere ?? lowestEstimatedRate(step, run)) / MAX_LENGTH_ERROR,
        };
    }

    /**
     * Whether a run is expected to end clearly sooner on another server, in spite of the cost of the move and, without
     * checkpoints, of the work that it loses.
     */
    #isWorthMoving(run: RunView, server: ServerView, speedRatio: number, nowMs: number): boolean {
        if (run.kind === TaskKind.Standing || run.step.isGang || !isListed(run)) {
            return false;
        }
        const runTimeMs = this.#runTimeMsOf(run, server, nowMs);
        const doneMs = runTimeMs * (run.progressPercent / WHOLE_PERCENT);
        const lostMs = run.step.savesCheckpoints ? 0 : doneMs;
        const hereMs = (runTimeMs - doneMs) / Math.max(0.01, speedRatio);
        const elsewhereMs = runTimeMs - doneMs + lostMs + MOVE_COST_MS;
        return hereMs > Math.max(MIN_MOVE_GAIN_RATIO * elsewhereMs, elsewhereMs + lostMs);
    }

    /** Returns the time that a task takes on a sound server, by its rate, its estimate, or the time that it has run. */
    #runTimeMsOf({ step, firstReportedAtMs }: RunView, server: ServerView, nowMs: number): number {
        const rate = this.#rates.meanElsewhere(step, server.id);
        if (rate !== undefined) {
            return WHOLE_PERCENT / rate;
        }
        return step.estimatedRunTimeMs > 0 ? step.estimatedRunTimeMs : nowMs - (firstReportedAtMs ?? nowMs);
    }
}

/**
 * Returns the rate by the estimate, halved with each further run of the task: one that takes far longer than estimated ends
 * in spite of moves.
 */
const lowestEstimatedRate = ({ estimatedRunTimeMs }: StepSpecification, run: number): number =>
    estimatedRunTimeMs > 0 ? WHOLE_PERCENT / estimatedRunTimeMs / 2 ** (run - 1) : 0;

const newSpeed = (): Speed => ({ ratio: 1, measurements: 0, slowTasks: new Set(), hasStalledRun: false });

const addMeasurement = (speed: Speed, run: RunView, ratio: number, hasStalled: boolean): void => {
    speed.ratio += SMOOTHING * (Math.min(MAX_RATIO, ratio) - speed.ratio);
    speed.measurements += 1;
    speed.hasStalledRun = hasStalled;
    if (ratio < SLOW_RATIO) {
        speed.slowTasks.add(run.task);
    }
    else if (speed.ratio >= SLOW_RATIO) {
        speed.slowTasks.clear();
    }
};

const isSlow = ({ ratio, measurements, slowTasks, hasStalledRun }: Speed): boolean =>
    measurements >= MIN_MEASUREMENTS
    && ratio < SLOW_RATIO
    && (slowTasks.size >= MIN_SLOW_RUNS || hasStalledRun);

/** Whether a run's speed depends only on its server, and not on the location of data or of other tasks. */
const isComparable = (run: RunView, server: ServerView): boolean =>
    !run.step.prefersOneRack
    && !run.step.isGang && (run.step.dataRack === "" || run.step.dataRack === server.rack);

/** Returns the share of full speed that a filler is granted, by its pace and by the CPU time that it gets. */
const grantedCpuShare = (run: RunView): number => {
    const used = run.measurement ?? run.step.amounts.cpuMillicores;
    return Math.min(run.pacePercent / 100, used / Math.max(1, run.step.amounts.cpuMillicores));
};

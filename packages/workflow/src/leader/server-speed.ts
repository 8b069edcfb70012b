import { TaskKind } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import { isListed } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";

/** Minimum interval over which progress is measured, since reports are in whole percents. */
const MEASURE_INTERVAL_MS = 400;
/** Weight of a new measurement in the moving average of a server's speed. */
const SMOOTHING = 0.35;
/** A server is slow if its tasks progress at less than this share of the mean progress of their steps. */
const SLOW_RATIO = 0.35;
/** Minimum number of measurements before a server may count as slow. */
const MIN_MEASUREMENTS = 3;
/** Time for which a slow server is avoided; after that, a few tasks show whether it has recovered. */
const AVOID_MS = 2_000;
/** Upper bound on the progress, as a multiple of the estimate, that enters the mean of a step. */
const MAX_PROGRESS = 3;
/** Time that a stop and a new start on another server take. */
const MOVE_COST_MS = 700;
/** Minimum ratio of a task's remaining time here to that on another server for a move, as estimates may be wrong. */
const MIN_MOVE_GAIN_RATIO = 1.5;

/** Progress of a run at the start of a measurement. */
interface ProgressSample {
    progressPercent: number;
    /** On the clock of the server, or of the leader if the server reports none. */
    atMs: number;
}

/** Sum and count of the progress of a step's tasks on all servers, as a share of the estimated progress. */
interface StepProgress {
    sum: number;
    count: number;
}

/** Moving average of the progress on a server, relative to that of the same steps on all servers. */
interface Speed {
    ratio: number;
    measurements: number;
}

/** Detects backend servers on which tasks stall or progress far more slowly than expected, and moves those tasks. */
export class ServerSpeed {
    readonly #samples = new WeakMap<RunView, ProgressSample>();
    readonly #progressBySteps = new WeakMap<StepSpecification, StepProgress>();
    readonly #speeds = new Map<string, Speed>();

    /** Updates a server's speed from the reported progress of its runs. */
    observe(server: ServerView, nowMs: number): void {
        // Heartbeats may be delayed on their way. Measured by their arrival, the progress of a sound server would be low.
        const reportedAtMs = server.clockMs ?? nowMs;
        const speed = this.#speeds.get(server.id) ?? { ratio: 1, measurements: 0 };
        this.#speeds.set(server.id, speed);
        const previousMeasurements = speed.measurements;
        for (const run of server.runs.values()) {
            const measured = isComparable(run, server) ? this.#measure(run, reportedAtMs) : undefined;
            if (measured !== undefined) {
                speed.ratio += SMOOTHING * (Math.min(1.5, measured) - speed.ratio);
                speed.measurements += 1;
            }
        }
        const hasEvidence = speed.measurements > previousMeasurements && speed.measurements >= MIN_MEASUREMENTS;
        if (!hasEvidence || speed.ratio >= SLOW_RATIO) {
            return;
        }
        server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + AVOID_MS);
        for (const run of server.runs.values()) {
            run.isStopping ||= isWorthMoving(run, speed.ratio);
        }
    }

    /** Discards the state of a removed server. */
    forget(serverId: string): void {
        this.#speeds.delete(serverId);
    }

    /** Returns a run's progress since the last sample, relative to its step; undefined until the interval ends. */
    #measure(run: RunView, reportedAtMs: number): number | undefined {
        const cpuShare = run.kind === TaskKind.Filler ? grantedCpuShare(run) : 1;
        if (run.kind === TaskKind.Standing || !isListed(run) || run.isStopping || cpuShare < 0.3) {
            this.#samples.delete(run);
            return undefined;
        }
        const sample = this.#samples.get(run);
        if (sample === undefined) {
            this.#samples.set(run, { progressPercent: run.progressPercent, atMs: reportedAtMs });
            return undefined;
        }
        if (reportedAtMs - sample.atMs < MEASURE_INTERVAL_MS) {
            return undefined;
        }
        this.#samples.set(run, { progressPercent: run.progressPercent, atMs: reportedAtMs });
        const doneMs = ((run.progressPercent - sample.progressPercent) / 100) * run.step.estimatedRunTimeMs;
        return this.#relateToStep(run.step, doneMs / ((reportedAtMs - sample.atMs) * cpuShare));
    }

    /** Relates a run's progress to the mean of its step, since the estimate may be wrong for the whole step. */
    #relateToStep(step: StepSpecification, progress: number): number {
        const stepProgress = this.#progressBySteps.get(step) ?? { sum: 1, count: 1 };
        const ratio = progress / Math.max(0.05, stepProgress.sum / stepProgress.count);
        this.#progressBySteps.set(step, {
            sum: stepProgress.sum + Math.min(MAX_PROGRESS, progress),
            count: stepProgress.count + 1,
        });
        return ratio;
    }
}

/** Whether a run's speed depends only on its server, and not on the location of data or of other tasks. */
const isComparable = (run: RunView, server: ServerView): boolean =>
    !run.step.prefersOneRack
    && !run.step.isGang && (run.step.dataRack === "" || run.step.dataRack === server.rack);

/** Returns the share of full speed that a filler is granted, by its pace and by the CPU time that it gets. */
const grantedCpuShare = (run: RunView): number => {
    const used = run.measurement ?? run.step.amounts.cpuMillicores;
    return Math.min(run.pacePercent / 100, used / Math.max(1, run.step.amounts.cpuMillicores));
};

/** Whether a run is expected to end clearly sooner on another server, in spite of the cost of the move. */
const isWorthMoving = (run: RunView, speedRatio: number): boolean => {
    if (run.kind === TaskKind.Standing || run.step.isGang || !isListed(run)) {
        return false;
    }
    const { estimatedRunTimeMs, savesCheckpoints } = run.step;
    const remainingMs = estimatedRunTimeMs * (1 - run.progressPercent / 100);
    const elsewhereMs = (savesCheckpoints ? remainingMs : estimatedRunTimeMs) + MOVE_COST_MS;
    return remainingMs / Math.max(0.01, speedRatio) > MIN_MOVE_GAIN_RATIO * elsewhereMs;
};

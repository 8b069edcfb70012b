import { TaskKind } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
import type { RunView, ServerView } from "./server-view.js";

/** Progress is measured over at least this long; reports are whole percents. */
const MEASURE_INTERVAL_MS = 400;
/** Weight of a new measurement in a server's speed. */
const SMOOTHING = 0.35;
/** Servers on which tasks progress at less than this share of their step's progress elsewhere are slow. */
const SLOW_BELOW = 0.35;
/** Measurements on which the verdict on a server rests at least. */
const MIN_MEASUREMENTS = 3;
/** A slow server gets no starts for this long; then a few tasks show whether it has recovered. */
const AVOID_MS = 2_000;
/** Progress above this multiple of the estimate says no more. */
const MAX_PROGRESS = 3;
/** Time that a stop and a new start elsewhere take. */
const MOVE_COST_MS = 700;
/** A task is moved when it would end this much sooner elsewhere, to allow for estimates that are off. */
const MIN_GAIN_RATIO = 1.5;

interface Mark {
    progressPercent: number;
    atMs: number;
}

/** Mean progress of a step's tasks on all servers, as a share of what was estimated. */
interface StepProgress {
    sum: number;
    count: number;
}

interface Speed {
    ratio: number;
    measurements: number;
}

/** Finds backend servers on which tasks stand still or progress far slower than estimated, and frees their tasks. */
export class ServerSpeed {
    readonly #marks = new WeakMap<RunView, Mark>();
    readonly #steps = new WeakMap<StepSpecification, StepProgress>();
    readonly #speeds = new Map<string, Speed>();

    /** Takes in a server's reported progress. */
    observe(server: ServerView, nowMs: number): void {
        const speed = this.#speeds.get(server.id) ?? { ratio: 1, measurements: 0 };
        this.#speeds.set(server.id, speed);
        const formerMeasurements = speed.measurements;
        for (const run of server.runs.values()) {
            const measured = isComparable(run, server) ? this.#measure(run, nowMs) : undefined;
            if (measured !== undefined) {
                speed.ratio += SMOOTHING * (Math.min(1.5, measured) - speed.ratio);
                speed.measurements += 1;
            }
        }
        const hasEvidence = speed.measurements > formerMeasurements && speed.measurements >= MIN_MEASUREMENTS;
        if (!hasEvidence || speed.ratio >= SLOW_BELOW) {
            return;
        }
        server.avoidUntilMs = Math.max(server.avoidUntilMs, nowMs + AVOID_MS);
        for (const run of server.runs.values()) {
            run.isStopping ||= isWorthMoving(run, speed.ratio);
        }
    }

    forget(serverId: string): void {
        this.#speeds.delete(serverId);
    }

    /** Returns a run's progress since the last mark as a share of what is expected; undefined until it is due. */
    #measure(run: RunView, nowMs: number): number | undefined {
        const shareOfProcessors = run.kind === TaskKind.Filler ? shareGranted(run) : 1;
        if (run.kind === TaskKind.Standing || !run.isReported || run.isStopping || shareOfProcessors < 0.3) {
            this.#marks.delete(run);
            return undefined;
        }
        const mark = this.#marks.get(run);
        if (mark === undefined) {
            this.#marks.set(run, { progressPercent: run.progressPercent, atMs: nowMs });
            return undefined;
        }
        if (nowMs - mark.atMs < MEASURE_INTERVAL_MS) {
            return undefined;
        }
        this.#marks.set(run, { progressPercent: run.progressPercent, atMs: nowMs });
        const doneMs = ((run.progressPercent - mark.progressPercent) / 100) * run.step.estimatedRunTimeMs;
        return this.#compare(run.step, doneMs / ((nowMs - mark.atMs) * shareOfProcessors));
    }

    /** Relates a run's progress to that of its step everywhere, since estimates may be far off for a whole step. */
    #compare(step: StepSpecification, progress: number): number {
        const known = this.#steps.get(step) ?? { sum: 1, count: 1 };
        const ratio = progress / Math.max(0.05, known.sum / known.count);
        this.#steps.set(step, { sum: known.sum + Math.min(MAX_PROGRESS, progress), count: known.count + 1 });
        return ratio;
    }
}

/** Whether a run's speed depends on its server alone, and not on where data or other tasks are. */
const isComparable = (run: RunView, server: ServerView): boolean =>
    !run.step.prefersOneRack
    && !run.step.isGang && (run.step.dataRack === "" || run.step.dataRack === server.rack);

/** Returns the share of full speed at which a filler can work, by its pace and by what others leave. */
const shareGranted = (run: RunView): number => {
    const used = run.measurement ?? run.step.amounts.cpuMillicores;
    return Math.min(run.pacePercent / 100, used / Math.max(1, run.step.amounts.cpuMillicores));
};

const isWorthMoving = (run: RunView, speedRatio: number): boolean => {
    if (run.kind === TaskKind.Standing || run.step.isGang || !run.isReported) {
        return false;
    }
    const { estimatedRunTimeMs, savesCheckpoints } = run.step;
    const remainingMs = estimatedRunTimeMs * (1 - run.progressPercent / 100);
    const elsewhereMs = (savesCheckpoints ? remainingMs : estimatedRunTimeMs) + MOVE_COST_MS;
    return remainingMs / Math.max(0.01, speedRatio) > MIN_GAIN_RATIO * elsewhereMs;
};

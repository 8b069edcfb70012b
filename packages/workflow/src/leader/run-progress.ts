import type { RunView } from "./server-view.js";

/** Minimum time between two judgements of a run's progress. */
const MIN_WINDOW_MS = 400;
/**
 * Quanta of progress that a window must show, or that a sound server must have made in it. With four, the rounding of the
 * reports changes a measured rate by at most a quarter.
 */
const MIN_WINDOW_QUANTA = 4;
/** Progress of tasks that report none: they have certainly ended by then if they could work. */
const OVERDUE_PERCENT = 150;
/** Progress from which on no further quantum may be reported before the end. */
const LAST_REPORTED_PERCENT = 99;

/** Progress of a run on a sound server, in percent per millisecond of work at full speed. */
export interface ExpectedRates {
    /** Mean of the other servers that run the step, otherwise of this run before; undefined if neither is known. */
    measured: number | undefined;
    /** Lower bound, however far off the estimate and the length of this task are. */
    lowest: number;
}

/** What a window has shown. */
export interface ProgressWindow {
    /** Progress in percent per millisecond of work at full speed; 0 if none was reported. */
    rate: number;
    /** Progress as a share of the expected one; undefined if that is not known well enough. */
    ratio: number | undefined;
    /** Whether no progress was reported, although the slowest plausible task would have made some. */
    hasStalled: boolean;
}

/** Measures the progress of one run in windows that are long enough for the quantum of its reports. */
export class RunProgress {
    #startPercent: number;
    #judgedAtMs: number;
    #observedAtMs: number;
    #workMs = 0;
    /** A run that resumes from a checkpoint may report no progress until it has restored it. */
    #isRestoring: boolean;
    #measuredPercent = 0;
    #measuredWorkMs = 0;

    constructor({ progressPercent, checkpoint }: RunView, reportedAtMs: number) {
        this.#startPercent = progressPercent;
        this.#judgedAtMs = reportedAtMs;
        this.#observedAtMs = reportedAtMs;
        this.#isRestoring = checkpoint !== "" && progressPercent === 0;
    }

    /** Mean rate of this run in the windows that have shown progress; undefined before the first. */
    get meanRate(): number | undefined {
        return this.#measuredWorkMs === 0 ? undefined : this.#measuredPercent / this.#measuredWorkMs;
    }

    /** Adds the time since the last report, in which the run had the given share of its full speed. */
    advance(cpuShare: number, reportedAtMs: number): void {
        this.#workMs += Math.max(0, reportedAtMs - this.#observedAtMs) * cpuShare;
        this.#observedAtMs = reportedAtMs;
    }

    /** Whether enough time has passed since the last judgement. */
    isDue(reportedAtMs: number): boolean {
        return reportedAtMs - this.#judgedAtMs >= MIN_WINDOW_MS;
    }

    /** Returns what the window shows; undefined as long as it is too short to show anything. */
    judge(
        progressPercent: number,
        quantumPercent: number | undefined,
        expected: ExpectedRates,
    ): ProgressWindow | undefined {
        const visiblePercent = progressPercent - this.#startPercent;
        if (this.#isRestoring && visiblePercent > 0) {
            this.#isRestoring = false;
            this.#restart(progressPercent);
            return undefined;
        }
        const neededPercent = quantumPercent === undefined ? OVERDUE_PERCENT : quantumPercent * MIN_WINDOW_QUANTA;
        const expectedPercent = this.#workMs * (expected.measured ?? expected.lowest);
        if (progressPercent >= LAST_REPORTED_PERCENT || Math.max(visiblePercent, expectedPercent) < neededPercent) {
            return undefined;
        }
        const window = {
            rate: visiblePercent / this.#workMs,
            ratio: this.#ratioOf(visiblePercent, quantumPercent ?? 0, expected),
            hasStalled: visiblePercent === 0 && this.#workMs * expected.lowest >= neededPercent,
        };
        this.#judgedAtMs = this.#observedAtMs;
        if (visiblePercent > 0) {
            this.#measuredPercent += visiblePercent;
            this.#measuredWorkMs += this.#workMs;
            this.#restart(progressPercent);
        }
        return window;
    }

    /** Without a measured rate only a stall shows anything, since the estimate may be wrong. */
    #ratioOf(visiblePercent: number, quantumPercent: number, { measured }: ExpectedRates): number | undefined {
        if (measured === undefined) {
            return visiblePercent === 0 ? 0 : undefined;
        }
        return (visiblePercent + quantumPercent / 2) / (this.#workMs * measured);
    }

    #restart(progressPercent: number): void {
        this.#startPercent = progressPercent;
        this.#workMs = 0;
    }
}

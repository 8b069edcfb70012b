import { TaskKind } from "../model/specification.js";
import { isListed } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";

/** A filler with at most this pace is a candidate for a move to another server. */
const SLOW_PACE_PERCENT = 40;
/** Time for which a filler must have been slow before it is moved; most tail latencies recover sooner. */
const MIN_SLOW_DURATION_MS = 500;
/** A filler with more progress than this finishes where it is. */
const MAX_PROGRESS_PERCENT = 75;
/** A filler with less remaining run time than this is not moved, since a move costs about a second. */
const MIN_REMAINING_MS = 800;
/** Minimum interval between two moves, so that one change of load does not move many tasks at once. */
const MOVE_INTERVAL_MS = 40;

/** Moves fillers that are slowed for the sake of standing tasks to servers where they can run at full speed. */
export class FillerMoves {
    readonly #canPlaceElsewhere: (run: RunView, nowMs: number) => boolean;
    readonly #slowSinceMs = new WeakMap<RunView, number>();
    /** One run of each server, by server id, that has been slow for long enough. */
    readonly #candidates = new Map<string, RunView>();
    #movedAtMs = -Infinity;

    constructor(canPlaceElsewhere: (run: RunView, nowMs: number) => boolean) {
        this.#canPlaceElsewhere = canPlaceElsewhere;
    }

    /** Updates the candidates after a server's paces have changed. */
    observe(server: ServerView, nowMs: number): void {
        const run = this.#findCandidate(server, nowMs);
        if (run === undefined) {
            this.#candidates.delete(server.id);
        }
        else {
            this.#candidates.set(server.id, run);
        }
    }

    /** Stops at most one filler, which resumes from its checkpoint on another server. */
    run(nowMs: number): void {
        if (nowMs - this.#movedAtMs < MOVE_INTERVAL_MS) {
            return;
        }
        for (const [serverId, run] of this.#candidates) {
            if (isMovable(run) && this.#canPlaceElsewhere(run, nowMs)) {
                run.isStopping = true;
                this.#movedAtMs = nowMs;
                this.#candidates.delete(serverId);
                return;
            }
        }
    }

    /** Discards the state of a removed server. */
    forget(serverId: string): void {
        this.#candidates.delete(serverId);
    }

    #findCandidate(server: ServerView, nowMs: number): RunView | undefined {
        let found: RunView | undefined;
        for (const run of server.runs.values()) {
            if (!isMovable(run)) {
                this.#slowSinceMs.delete(run);
                continue;
            }
            const sinceMs = this.#slowSinceMs.get(run) ?? nowMs;
            this.#slowSinceMs.set(run, sinceMs);
            if (nowMs - sinceMs >= MIN_SLOW_DURATION_MS) {
                found ??= run;
            }
        }
        return found;
    }
}

const isMovable = (run: RunView): boolean => {
    const remainingMs = run.step.estimatedRunTimeMs * (1 - run.progressPercent / 100);
    return run.kind === TaskKind.Filler
        && run.step.savesCheckpoints
        && isListed(run)
        && !run.isStopping
        && run.targetPacePercent <= SLOW_PACE_PERCENT
        && run.progressPercent <= MAX_PROGRESS_PERCENT
        && remainingMs >= MIN_REMAINING_MS;
};

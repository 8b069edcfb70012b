import { TaskKind } from "../model/specification.js";
import type { RunView, ServerView } from "./server-view.js";

/** A filler that may work at no more than this is better off on another server. */
const SLOW_PACE_PERCENT = 40;
/** A filler is moved after it was slow for this long; most tails recover sooner. */
const SLOW_FOR_MS = 500;
/** A filler that is further is left to end where it is. */
const MAX_PROGRESS_PERCENT = 75;
/** A move costs about a second; shorter tasks are left where they are. */
const MIN_REMAINING_MS = 800;
/** Least time between two moves, so that one change of load doesn't move many tasks at once. */
const MOVE_INTERVAL_MS = 40;

/** Moves fillers that press on standing tasks to servers where they may work at full speed. */
export class FillerMoves {
    readonly #canPlaceElsewhere: (run: RunView, nowMs: number) => boolean;
    readonly #slowSinceMs = new WeakMap<RunView, number>();
    /** A run of each server, by id, that has been slow for long enough. */
    readonly #candidates = new Map<string, RunView>();
    #movedAtMs = -Infinity;

    constructor(canPlaceElsewhere: (run: RunView, nowMs: number) => boolean) {
        this.#canPlaceElsewhere = canPlaceElsewhere;
    }

    /** Takes in a server's paces. */
    observe(server: ServerView, nowMs: number): void {
        const run = this.#findSlow(server, nowMs);
        if (run === undefined) {
            this.#candidates.delete(server.id);
        }
        else {
            this.#candidates.set(server.id, run);
        }
    }

    /** Orders at most one filler to stop; its checkpoint lets it go on elsewhere. */
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

    /** Forgets a server that is gone. */
    forget(serverId: string): void {
        this.#candidates.delete(serverId);
    }

    #findSlow(server: ServerView, nowMs: number): RunView | undefined {
        let found: RunView | undefined;
        for (const run of server.runs.values()) {
            if (!isMovable(run)) {
                this.#slowSinceMs.delete(run);
                continue;
            }
            const sinceMs = this.#slowSinceMs.get(run) ?? nowMs;
            this.#slowSinceMs.set(run, sinceMs);
            if (nowMs - sinceMs >= SLOW_FOR_MS) {
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
        && run.isReported
        && !run.isStopping
        && run.wantedPacePercent <= SLOW_PACE_PERCENT
        && run.progressPercent <= MAX_PROGRESS_PERCENT
        && remainingMs >= MIN_REMAINING_MS;
};

import { stepKeyOf, TaskKind } from "../model/specification.js";
import type { ServerDirectory } from "./server-directory.js";
import { isListed } from "./server-view.js";
import type { RunView, ServerView } from "./server-view.js";

/** Time before a server's exit at which tasks that save checkpoints are stopped, to be resumed on other servers. */
const CHECKPOINT_LEAD_TIME_MS = 900;

/**
 * Time since a server's last heartbeat after which its tasks don't count as available. A server that runs sends one within a
 * second of its last answer, or of an answer that didn't come.
 */
const MAX_SILENCE_MS = 2_000;

/**
 * Time after the election in which heartbeats from before a stop of the former leader, or its last answers, may still arrive.
 * What they show as available may be about to end.
 */
const FORMER_STOPS_WINDOW_MS = 1_500;

/** Stops tasks on backend servers that are draining or about to be maintained, so that they move to other servers. */
export class Evacuation {
    readonly #directory: ServerDirectory;
    readonly #boundedStopsFromMs: number;

    constructor(directory: ServerDirectory, electedAtMs: number) {
        this.#directory = directory;
        this.#boundedStopsFromMs = electedAtMs + FORMER_STOPS_WINDOW_MS;
    }

    /** Marks the runs that have to leave their server now as stopping. */
    run(nowMs: number): void {
        for (const server of this.#directory.servers) {
            if (server.isDraining || server.isInMaintenance) {
                this.#stopRuns(server, nowMs);
            }
        }
    }

    #stopRuns(server: ServerView, nowMs: number): void {
        for (const run of server.runs.values()) {
            if (this.#isStopDue(run, server, nowMs)) {
                run.isStopping = true;
            }
        }
    }

    /**
     * Whether a run is to be stopped now. That it saves checkpoints only tells that its work isn't lost: a standing task is
     * unavailable until it is at work elsewhere, so that the bound of its step holds, unless its server is about to exit and
     * to end it in any case. The maintenance of a VM waits.
     */
    #isStopDue(run: RunView, server: ServerView, nowMs: number): boolean {
        const isExiting = nowMs >= server.leavesAtMs - CHECKPOINT_LEAD_TIME_MS;
        const { savesCheckpoints } = run.step;
        return run.kind === TaskKind.Standing
            ? (savesCheckpoints && isExiting) || this.#isStopAllowed(run, nowMs)
            : savesCheckpoints && (isExiting || server.isInMaintenance);
    }

    /** Whether a standing task may be stopped within the bound on unavailable tasks of its step and occurrence. */
    #isStopAllowed(run: RunView, nowMs: number): boolean {
        const { maxUnavailable, taskCount } = run.step;
        if (maxUnavailable === undefined || run.isStopping) {
            return true;
        }
        if (nowMs < this.#boundedStopsFromMs) {
            return false;
        }
        let availableCount = 0;
        const step = stepKeyOf(run.position);
        for (const server of this.#directory.servers) {
            if (nowMs - server.lastHeartbeatAtMs > MAX_SILENCE_MS) {
                continue;
            }
            for (const other of server.runs.values()) {
                availableCount += stepKeyOf(other.position) === step && isAvailable(other) ? 1 : 0;
            }
        }
        return taskCount - availableCount < maxUnavailable;
    }
}

/** Whether a standing task is at work and stays so. */
const isAvailable = (run: RunView): boolean => isListed(run) && !run.isStopping && run.progressPercent >= 100;

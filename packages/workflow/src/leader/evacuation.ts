import { stepKeyOf, TaskKind } from "../model/specification.js";
import type { StepSpecification } from "../model/specification.js";
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
        const { servers } = this.#directory;
        const leaving = servers.filter(server => server.isDraining || server.isInMaintenance);
        if (leaving.length === 0) {
            return;
        }
        const availableTasks = countAvailableTasks(boundedStepsOn(leaving), servers, nowMs);
        for (const server of leaving) {
            for (const run of server.runs.values()) {
                if (!run.isStopping && this.#isStopDue(run, server, availableTasks, nowMs)) {
                    availableTasks.remove(run);
                    run.isStopping = true;
                }
            }
        }
    }

    /**
     * Whether a run is to be stopped now. That it saves checkpoints only tells that its work isn't lost: a standing task is
     * unavailable until it is at work elsewhere, so that the bound of its step holds, unless its server is about to exit and
     * to end it in any case. The maintenance of a VM waits.
     */
    #isStopDue(run: RunView, server: ServerView, availableTasks: AvailableTasks, nowMs: number): boolean {
        const isExiting = nowMs >= server.leavesAtMs - CHECKPOINT_LEAD_TIME_MS;
        const { savesCheckpoints } = run.step;
        return run.kind === TaskKind.Standing
            ? (savesCheckpoints && isExiting) || this.#isWithinBound(run, availableTasks, nowMs)
            : savesCheckpoints && (isExiting || server.isInMaintenance);
    }

    /** Whether a standing task may be stopped within the bound on unavailable tasks of its step and occurrence. */
    #isWithinBound(run: RunView, availableTasks: AvailableTasks, nowMs: number): boolean {
        const { maxUnavailable, taskCount } = run.step;
        return maxUnavailable === undefined
            || (nowMs >= this.#boundedStopsFromMs && taskCount - availableTasks.countOf(run) < maxUnavailable);
    }
}

/** Numbers of the available tasks by step and occurrence. */
class AvailableTasks {
    readonly #counts = new Map<string, number>();

    add(run: RunView): void {
        this.#counts.set(stepKeyOf(run.position), this.countOf(run) + 1);
    }

    /** Takes a task off the count that is no longer available. */
    remove(run: RunView): void {
        if (isAvailable(run)) {
            this.#counts.set(stepKeyOf(run.position), this.countOf(run) - 1);
        }
    }

    /** Returns the number of available tasks of the run's step and occurrence. */
    countOf({ position }: RunView): number {
        return this.#counts.get(stepKeyOf(position)) ?? 0;
    }
}

/** Returns the steps with a bound on unavailable tasks of which some task is on a server. */
const boundedStepsOn = (servers: readonly ServerView[]): ReadonlySet<StepSpecification> =>
    new Set(
        servers.flatMap(({ runs }) => [...runs.values()])
            .filter(({ kind, step }) => kind === TaskKind.Standing && step.maxUnavailable !== undefined)
            .map(({ step }) => step),
    );

/** Counts the available tasks of some steps, in one pass over all runs. */
const countAvailableTasks = (
    steps: ReadonlySet<StepSpecification>,
    servers: readonly ServerView[],
    nowMs: number,
): AvailableTasks => {
    const availableTasks = new AvailableTasks();
    if (steps.size === 0) {
        return availableTasks;
    }
    for (const server of servers) {
        if (nowMs - server.lastHeartbeatAtMs > MAX_SILENCE_MS) {
            continue;
        }
        for (const run of server.runs.values()) {
            if (steps.has(run.step) && isAvailable(run)) {
                availableTasks.add(run);
            }
        }
    }
    return availableTasks;
};

/** Whether a standing task is at work and stays so. */
const isAvailable = (run: RunView): boolean => isListed(run) && !run.isStopping && run.progressPercent >= 100;

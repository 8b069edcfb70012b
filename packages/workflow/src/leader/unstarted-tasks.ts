import { RunEnd } from "../model/heartbeat.js";
import { parseTaskKey } from "../model/specification.js";
import type { RecordedEnd } from "../state/events.js";
import type { RunView, ServerView } from "./server-view.js";

/** Assignments of a task that ended without a start. */
export interface UnstartedTask {
    /** Wall-clock time since which the task has waited for a start; undefined if a former leader assigned it first. */
    waitingSinceMs: number | undefined;
    /** Number of assignments whose run was lost before the server reported it. */
    lostRuns: number;
    /** Number of assignments whose start the server rejected. */
    rejectedRuns: number;
}

/** Counts for each task the assignments since its last start that ended without a start. */
export class UnstartedTasks {
    readonly #tasks = new Map<string, UnstartedTask>();

    get(task: string): UnstartedTask | undefined {
        return this.#tasks.get(task);
    }

    /** Counts a lost run, unless the server has reported it. */
    recordLost(run: RunView): void {
        if (run.firstReportedAtMs === undefined) {
            this.#countersOf(run).lostRuns += 1;
        }
    }

    /** Counts the rejected starts among the ends that a server has reported. */
    recordEnds(server: ServerView, ends: readonly RecordedEnd[]): void {
        for (const { task, run, end } of ends) {
            const view = end === RunEnd.NotStarted ? server.findRun(task, run) : undefined;
            if (view !== undefined) {
                this.#countersOf(view).rejectedRuns += 1;
            }
        }
    }

    /** Removes a task that has started. */
    recordStarted(task: string): void {
        this.#tasks.delete(task);
    }

    /** Removes the tasks of jobs that have ended. */
    retain(isOpen: (jobId: string) => boolean): void {
        for (const task of this.#tasks.keys()) {
            if (!isOpen(parseTaskKey(task)?.jobId ?? "")) {
                this.#tasks.delete(task);
            }
        }
    }

    #countersOf(run: RunView): UnstartedTask {
        const counters = this.#tasks.get(run.task)
            ?? { waitingSinceMs: run.waitingSinceMs, lostRuns: 0, rejectedRuns: 0 };
        this.#tasks.set(run.task, counters);
        return counters;
    }
}

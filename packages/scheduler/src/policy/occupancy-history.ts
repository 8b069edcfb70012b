import type { PlacedTask, TaskKey } from "./types.js";

interface OccupancyInterval {
    task: PlacedTask;
    fromMs: number;
    untilMs: number;
}

interface ServerHistory {
    current: Map<TaskKey, OccupancyInterval>;
    /** Ended intervals, in the order in which they ended. */
    past: OccupancyInterval[];
}

/** Parameters of the {@link OccupancyHistory}. */
export interface OccupancyHistoryParameters {
    /** Minimum time for which ended intervals are kept; older samples may not be matched to any task. */
    retentionMs: number;
}

/** Defaults; usage reports are at most a few seconds late. */
export const OCCUPANCY_HISTORY_DEFAULTS: OccupancyHistoryParameters = { retentionMs: 15_000 };

/** Records which tasks shared a VM, so that late samples are matched to the neighbours at the time of measurement. */
export class OccupancyHistory {
    readonly #servers = new Map<string, ServerHistory>();
    readonly #retentionMs: number;

    constructor(parameters: OccupancyHistoryParameters = OCCUPANCY_HISTORY_DEFAULTS) {
        this.#retentionMs = parameters.retentionMs;
    }

    /** Records a new task, or a change of a task such as the start of throttling. */
    record(backendServerId: string, task: PlacedTask, nowMs: number): void {
        const history = this.#getOrCreateHistory(backendServerId);
        this.#closeInterval(history, task.taskKey, nowMs);
        history.current.set(task.taskKey, { task, fromMs: nowMs, untilMs: Number.POSITIVE_INFINITY });
    }

    /** Records that a task no longer holds capacity. */
    remove(backendServerId: string, taskKey: TaskKey, nowMs: number): void {
        const history = this.#servers.get(backendServerId);
        if (history === undefined) {
            return;
        }
        this.#closeInterval(history, taskKey, nowMs);
        if (history.current.size === 0 && history.past.length === 0) {
            this.#servers.delete(backendServerId);
        }
    }

    /** Returns the tasks that are on the server now. */
    currentTasks(backendServerId: string): PlacedTask[] {
        const history = this.#servers.get(backendServerId);
        return history === undefined ? [] : [...history.current.values()].map(interval => interval.task);
    }

    /** Returns the tasks on the server at a past time; those that ended more than `retentionMs` ago may be missing. */
    tasksAt(backendServerId: string, atMs: number): PlacedTask[] {
        const history = this.#servers.get(backendServerId);
        if (history === undefined) {
            return [];
        }
        const tasks: PlacedTask[] = [];
        for (let index = history.past.length - 1; index >= 0; index -= 1) {
            const interval = history.past[index];
            if (interval === undefined || interval.untilMs <= atMs) {
                break;
            }
            if (interval.fromMs <= atMs) {
                tasks.push(interval.task);
            }
        }
        for (const interval of history.current.values()) {
            if (interval.fromMs <= atMs) {
                tasks.push(interval.task);
            }
        }
        return tasks;
    }

    #closeInterval(history: ServerHistory, taskKey: TaskKey, nowMs: number): void {
        const interval = history.current.get(taskKey);
        if (interval === undefined) {
            return;
        }
        history.current.delete(taskKey);
        interval.untilMs = nowMs;
        history.past.push(interval);
        this.#prune(history, nowMs);
    }

    #prune(history: ServerHistory, nowMs: number): void {
        const oldest = history.past[0];
        // Pruning only after twice the retention keeps the cost of the copy proportional to the entries removed.
        if (oldest === undefined || oldest.untilMs >= nowMs - 2 * this.#retentionMs) {
            return;
        }
        const firstKept = history.past.findIndex(interval => interval.untilMs >= nowMs - this.#retentionMs);
        history.past.splice(0, firstKept < 0 ? history.past.length : firstKept);
    }

    #getOrCreateHistory(backendServerId: string): ServerHistory {
        let history = this.#servers.get(backendServerId);
        if (history === undefined) {
            history = { current: new Map(), past: [] };
            this.#servers.set(backendServerId, history);
        }
        return history;
    }
}

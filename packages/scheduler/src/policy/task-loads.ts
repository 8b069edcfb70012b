import type { ClassKey, PlacedTask, TaskKey } from "./types.js";

/** Bounds on the load of a task relative to its class; usage that is reported late is noisy. */
const MINIMUM_LOAD = 0.25;
const MAXIMUM_LOAD = 4;
/** Load assumed for a throttled task until its usage is reported. */
const THROTTLED_LOAD = 0.4;
/** Weights of the newest report in the moving averages of a task and of its class. */
const TASK_SMOOTHING = 0.5;
const CLASS_SMOOTHING = 0.02;

/** Estimates the load of each task relative to the mean of its class, from reported CPU usage. */
export class TaskLoads {
    readonly #loads = new Map<TaskKey, number>();
    readonly #meanClassUsage = new Map<ClassKey, number>();

    /** Updates the load from a usage report; reports of throttled tasks do not affect the mean of the class. */
    observe(task: PlacedTask, usedCpuMillicores: number): void {
        const meanUsage = this.#meanClassUsage.get(task.classKey) ?? usedCpuMillicores;
        if (!task.throttled) {
            this.#meanClassUsage.set(task.classKey, meanUsage + (usedCpuMillicores - meanUsage) * CLASS_SMOOTHING);
        }
        const relative = meanUsage > 0 ? usedCpuMillicores / meanUsage : 1;
        const load = Math.min(MAXIMUM_LOAD, Math.max(MINIMUM_LOAD, relative));
        const previous = this.#loads.get(task.taskKey) ?? load;
        this.#loads.set(task.taskKey, previous + (load - previous) * TASK_SMOOTHING);
    }

    /** Discards the load of a task, for example when throttling begins or ends and earlier reports no longer apply. */
    reset(taskKey: TaskKey): void {
        this.#loads.delete(taskKey);
    }

    /**
     * Returns the load of a task relative to its class. Until usage is reported, this is 1, or {@link THROTTLED_LOAD}
     * if the task is throttled.
     */
    loadOf(task: PlacedTask): number {
        return this.#loads.get(task.taskKey) ?? (task.throttled ? THROTTLED_LOAD : 1);
    }
}

import type { ClassKey, PlacedTask, TaskKey } from "./types.js";

/** Bounds of a task's load relative to its class; use that is reported late is noisy. */
const MINIMUM_LOAD = 0.25;
const MAXIMUM_LOAD = 4;
/** Load assumed for a throttled task until its use is reported. */
const THROTTLED_LOAD = 0.4;
/** Weight of the newest report. */
const SMOOTHING = 0.5;
const CLASS_SMOOTHING = 0.02;

/** How hard each task works relative to its class, from reported processor use. */
export class TaskLoads {
    readonly #loads = new Map<TaskKey, number>();
    readonly #classUse = new Map<ClassKey, number>();

    /** Learns from a report; those of throttled tasks don't count for their class. */
    observe(task: PlacedTask, usedCpuMillicores: number): void {
        const classUse = this.#classUse.get(task.classKey) ?? usedCpuMillicores;
        if (!task.throttled) {
            this.#classUse.set(task.classKey, classUse + (usedCpuMillicores - classUse) * CLASS_SMOOTHING);
        }
        const relative = classUse > 0 ? usedCpuMillicores / classUse : 1;
        const load = Math.min(MAXIMUM_LOAD, Math.max(MINIMUM_LOAD, relative));
        const previous = this.#loads.get(task.taskKey) ?? load;
        this.#loads.set(task.taskKey, previous + (load - previous) * SMOOTHING);
    }

    /** Called where throttling begins or ends, as earlier reports no longer apply. */
    reset(taskKey: TaskKey): void {
        this.#loads.delete(taskKey);
    }

    loadOf(task: PlacedTask): number {
        return this.#loads.get(task.taskKey) ?? (task.throttled ? THROTTLED_LOAD : 1);
    }
}

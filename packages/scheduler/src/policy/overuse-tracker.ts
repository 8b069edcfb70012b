import { Reason, WorkKind } from "@waxwingspread/protocol";
import type { Resources } from "@waxwingspread/protocol";
import { MitigationKind } from "./types.js";
import type { Mitigation, PlacedTask, TaskKey } from "./types.js";

/** Parameters of the {@link OveruseTracker}. */
export interface OveruseParameters {
    /** Memory usage relative to the reservation above which a report counts as overuse. */
    memoryRatio: number;
    /** Number of consecutive reports of overuse after which a task is evicted. */
    reports: number;
}

/** Defaults. Only memory overuse leads to an eviction, since memory, unlike CPU time, is not shared among tasks. */
export const OVERUSE_DEFAULTS: OveruseParameters = { memoryRatio: 1.5, reports: 3 };

/** Evicts batch tasks that persistently use more memory than they reserved, once per series of such reports. */
export class OveruseTracker {
    readonly #parameters: OveruseParameters;
    readonly #consecutiveReports = new Map<TaskKey, number>();
    #pendingSteps: Mitigation[] = [];

    constructor(parameters: OveruseParameters = OVERUSE_DEFAULTS) {
        this.#parameters = parameters;
    }

    observe(backendServerId: string, task: PlacedTask, used: Resources): void {
        const reserved = task.reserved.memoryMebibytes;
        const limit = reserved * this.#parameters.memoryRatio;
        if (task.workKind !== WorkKind.BATCH || reserved === 0 || used.memoryMebibytes <= limit) {
            this.#consecutiveReports.delete(task.taskKey);
            return;
        }
        const reports = (this.#consecutiveReports.get(task.taskKey) ?? 0) + 1;
        this.#consecutiveReports.set(task.taskKey, reports);
        if (reports === this.#parameters.reports) {
            this.#pendingSteps.push({
                kind: MitigationKind.Evict,
                backendServerId,
                taskKey: task.taskKey,
                reason: Reason.OVERUSE,
                explanation: `uses ${used.memoryMebibytes} MiB, reserved ${reserved} MiB`,
            });
        }
    }

    removeTask(taskKey: TaskKey): void {
        this.#consecutiveReports.delete(taskKey);
        this.#pendingSteps = this.#pendingSteps.filter(step => step.taskKey !== taskKey);
    }

    /** Returns the pending evictions and removes them from the tracker. */
    takeSteps(): Mitigation[] {
        const steps = this.#pendingSteps;
        this.#pendingSteps = [];
        return steps;
    }
}

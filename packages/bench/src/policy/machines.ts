import { WorkKind } from "@waxwingspread/protocol";
import type { Deployment, WorkClassProfile } from "./deployments.js";
import type { TrueSlowdowns } from "./true-slowdowns.js";

/** A task on a simulated machine. */
export interface MachineTask {
    key: string;
    classIndex: number;
    profile: WorkClassProfile;
    /** Remaining run time on an idle VM. */
    remainingRunMs: number;
    /** Run time for repeating progress that the last checkpoint did not save; it is not counted as work done. */
    repeatedRunMs: number;
    /** CPU use of this task relative to the mean of its class. */
    cpuFactor: number;
    throttled: boolean;
    /** The task makes no progress and uses no CPU, but still occupies its slot, as during a checkpoint. */
    frozen: boolean;
    speed: number;
    updatedAtMs: number;
}

/** Speed, CPU use and interference of a throttled task, relative to an unthrottled one. */
const THROTTLED_FACTOR = 0.4;

/** Simulates the actual speeds of the tasks on one backend server, which the policies can't see. */
export class Machine {
    readonly tasks = new Map<string, MachineTask>();
    readonly #slowdowns: TrueSlowdowns;
    readonly #intensities: Float64Array;
    readonly #deployment: Deployment;

    constructor(deployment: Deployment, slowdowns: TrueSlowdowns, intensities: Float64Array) {
        this.#deployment = deployment;
        this.#slowdowns = slowdowns;
        this.#intensities = intensities;
    }

    /** Advances all tasks to `nowMs`; returns the batch work done, in milliseconds of run time on an idle VM. */
    advance(nowMs: number): number {
        let batchMs = 0;
        for (const task of this.tasks.values()) {
            const progressMs = Math.min(
                task.remainingRunMs + task.repeatedRunMs,
                (nowMs - task.updatedAtMs) * task.speed,
            );
            const repeatedMs = Math.min(task.repeatedRunMs, progressMs);
            task.repeatedRunMs -= repeatedMs;
            task.remainingRunMs -= progressMs - repeatedMs;
            task.updatedAtMs = nowMs;
            if (task.profile.workKind === WorkKind.BATCH) {
                batchMs += progressMs - repeatedMs;
            }
        }
        return batchMs;
    }

    /** Recomputes all speeds. Must be called after each change, which itself must follow {@link advance}. */
    updateSpeeds(): void {
        const usedMillicores = this.usedMillicores();
        const cpuUtilization = Math.min(1, usedMillicores / this.#deployment.capacity.cpuMillicores);
        const contention = Math.max(1, usedMillicores / this.#deployment.capacity.cpuMillicores);
        for (const task of this.tasks.values()) {
            let slowdown = 1;
            for (const other of this.tasks.values()) {
                if (other !== task && !other.frozen) {
                    slowdown += this.#intensityOf(other)
                        * this.#slowdowns.addedSlowdown(task.classIndex, other.classIndex, cpuUtilization);
                }
            }
            task.speed = task.frozen ? 0 : (task.throttled ? THROTTLED_FACTOR : 1) / (slowdown * contention);
        }
    }

    usedMillicores(): number {
        let used = 0;
        for (const task of this.tasks.values()) {
            used += this.cpuMillicoresOf(task);
        }
        return used;
    }

    /** Returns the current CPU use of a task in millicores. */
    cpuMillicoresOf(task: MachineTask): number {
        return task.frozen ? 0 : task.profile.used.cpuMillicores * task.cpuFactor * this.#intensityOf(task);
    }

    #intensityOf(task: MachineTask): number {
        return (this.#intensities[task.classIndex] ?? 1) * (task.throttled ? THROTTLED_FACTOR : 1);
    }
}

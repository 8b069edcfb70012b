import { WorkKind } from "@waxwingspread/protocol";
import type { ClassShape, FirmShape } from "./shapes.js";
import type { TrueSlowdowns } from "./true-slowdowns.js";

/** A task on a simulated machine. */
export interface MachineTask {
    key: string;
    classIndex: number;
    shape: ClassShape;
    /** Run time that is left, on an idle VM. */
    leftMs: number;
    /** Run time that repeats what a checkpoint didn't keep; counts for nothing. */
    overheadMs: number;
    /** What it uses relative to its class. */
    useFactor: number;
    throttled: boolean;
    /** No longer makes progress, but still holds its slot. */
    frozen: boolean;
    speed: number;
    updatedAtMs: number;
}

/** Speed and disturbance of a throttled task, relative to one that is not. */
const THROTTLED_FACTOR = 0.4;

/** True speeds of the tasks on one backend server. */
export class Machine {
    readonly tasks = new Map<string, MachineTask>();
    readonly #slowdowns: TrueSlowdowns;
    readonly #intensities: Float64Array;
    readonly #firm: FirmShape;

    constructor(firm: FirmShape, slowdowns: TrueSlowdowns, intensities: Float64Array) {
        this.#firm = firm;
        this.#slowdowns = slowdowns;
        this.#intensities = intensities;
    }

    /** Lets all tasks progress up to now; returns the batch work done, in ms of run time on an idle VM. */
    advance(nowMs: number): number {
        let batchMs = 0;
        for (const task of this.tasks.values()) {
            const progressMs = Math.min(task.leftMs + task.overheadMs, (nowMs - task.updatedAtMs) * task.speed);
            const repeatedMs = Math.min(task.overheadMs, progressMs);
            task.overheadMs -= repeatedMs;
            task.leftMs -= progressMs - repeatedMs;
            task.updatedAtMs = nowMs;
            if (task.shape.workKind === WorkKind.BATCH) {
                batchMs += progressMs - repeatedMs;
            }
        }
        return batchMs;
    }

    /** Recomputes all speeds; to be called after {@link advance} and a change. */
    updateSpeeds(): void {
        const usedMillicores = this.usedMillicores();
        const usedRatio = Math.min(1, usedMillicores / this.#firm.capacity.cpuMillicores);
        const contention = Math.max(1, usedMillicores / this.#firm.capacity.cpuMillicores);
        for (const task of this.tasks.values()) {
            let slowdown = 1;
            for (const other of this.tasks.values()) {
                if (other !== task && !other.frozen) {
                    slowdown += this.#intensityOf(other)
                        * this.#slowdowns.between(task.classIndex, other.classIndex, usedRatio);
                }
            }
            task.speed = task.frozen ? 0 : (task.throttled ? THROTTLED_FACTOR : 1) / (slowdown * contention);
        }
    }

    usedMillicores(): number {
        let used = 0;
        for (const task of this.tasks.values()) {
            used += this.cpuOf(task);
        }
        return used;
    }

    /** Processor use of one task at present. */
    cpuOf(task: MachineTask): number {
        return task.frozen ? 0 : task.shape.used.cpuMillicores * task.useFactor * this.#intensityOf(task);
    }

    #intensityOf(task: MachineTask): number {
        return (this.#intensities[task.classIndex] ?? 1) * (task.throttled ? THROTTLED_FACTOR : 1);
    }
}

import { create } from "@bufbuild/protobuf";
import { TaskUsageSchema } from "@waxwingspread/protocol";
import type { TaskUsage } from "@waxwingspread/protocol";
import type { StandInTiming } from "./options.js";
import type { Task } from "./task.js";

const DEFAULT_USED_RATIO = 0.6;
/** Limit on the samples retained while no announcement can be sent. */
const MAX_SAMPLES = 1_000;

/** Samples the usage of tasks at a fixed interval and reports it with a delay, as the platform does. */
export class UsageReporter {
    #samples: TaskUsage[] = [];
    #nextMs = 0;

    constructor(readonly timing: StandInTiming, readonly usedRatio = DEFAULT_USED_RATIO) {}

    /** Samples the usage of the running tasks if a sample is due. */
    measure(running: Task[], speeds: number[], clockMs: number): void {
        if (clockMs < this.#nextMs) {
            return;
        }
        this.#nextMs = clockMs + this.timing.usageIntervalMs;
        running.forEach(({ start }, position) => {
            this.#samples.push(create(TaskUsageSchema, {
                customer: start.customer,
                requestId: start.requestId,
                attemptNumber: start.attemptNumber,
                measuredAtBackendMs: clockMs,
                used: {
                    cpuMillicores: Math.round(start.resources.cpuMillicores * this.usedRatio),
                    memoryMebibytes: Math.round(start.resources.memoryMebibytes * this.usedRatio),
                    accelerators: start.resources.accelerators,
                },
                speedRatio: Math.min(1, speeds[position] ?? 1),
            }));
        });
        this.#samples = this.#samples.slice(-MAX_SAMPLES);
    }

    /** Removes and returns the samples that are old enough to be reported. */
    takeDue(clockMs: number): TaskUsage[] {
        const isDue = (sample: TaskUsage): boolean => sample.measuredAtBackendMs + this.timing.usageLagMs <= clockMs;
        const due = this.#samples.filter(isDue);
        this.#samples = this.#samples.filter(sample => !isDue(sample));
        return due;
    }
}

import type { SeededRandom } from "@waxwingspread/common";
import type { Deployment } from "./deployments.js";
import type { EventQueue } from "./event-queue.js";
import { Machine } from "./machines.js";
import type { MachineTask } from "./machines.js";
import type { TrueSlowdowns } from "./true-slowdowns.js";

/** Usage and speed of one task as reported by its machine, with measurement noise. */
export interface TaskReport {
    serverId: string;
    taskKey: string;
    measuredAtMs: number;
    speedRatio: number;
    usedCpuMillicores: number;
    usedMemoryMebibytes: number;
    throttled: boolean;
}

/** Callbacks for completed tasks and for the progress of batch tasks (run time on an idle VM). */
export interface FleetListener {
    ended(serverId: string, task: MachineTask, nowMs: number): void;
    batchProgressed(workMs: number, nowMs: number): void;
}

/** Bounds of the relative measurement errors of speed and resource usage. */
const SPEED_NOISE = 0.06;
const USAGE_NOISE = 0.1;
const END_TOLERANCE_MS = 0.001;

/** Simulated machines of a deployment; schedules the completion of their tasks in the event queue. */
export class Fleet {
    readonly #machines = new Map<string, Machine>();
    readonly #versions = new Map<string, number>();
    readonly #intensities: Float64Array;
    readonly #events: EventQueue;
    readonly #listener: FleetListener;
    readonly #random: SeededRandom;

    constructor(
        deployment: Deployment,
        serverIds: readonly string[],
        slowdowns: TrueSlowdowns,
        events: EventQueue,
        listener: FleetListener,
        random: SeededRandom,
    ) {
        this.#intensities = new Float64Array(deployment.classes.length).fill(1);
        this.#events = events;
        this.#listener = listener;
        this.#random = random;
        for (const id of serverIds) {
            this.#machines.set(id, new Machine(deployment, slowdowns, this.#intensities));
        }
    }

    start(serverId: string, task: MachineTask, nowMs: number): void {
        this.#changeMachine(serverId, nowMs, machine => {
            task.updatedAtMs = nowMs;
            machine.tasks.set(task.key, task);
        });
    }

    /** Removes a task and returns it; undefined if it has already completed. */
    remove(serverId: string, taskKey: string, nowMs: number): MachineTask | undefined {
        let removed: MachineTask | undefined;
        this.#changeMachine(serverId, nowMs, machine => {
            removed = machine.tasks.get(taskKey);
            machine.tasks.delete(taskKey);
        });
        return removed;
    }

    update(serverId: string, taskKey: string, change: { throttled?: boolean; frozen?: boolean }, nowMs: number): void {
        this.#changeMachine(serverId, nowMs, machine => {
            const task = machine.tasks.get(taskKey);
            if (task !== undefined) {
                Object.assign(task, change);
            }
        });
    }

    /** Multiplies the CPU use and the interference of all tasks of a class. */
    multiplyIntensity(classIndex: number, factor: number, nowMs: number): void {
        this.advanceAll(nowMs, () => {
            this.#intensities[classIndex] = (this.#intensities[classIndex] ?? 1) * factor;
        });
    }

    /** Advances all machines to `nowMs`, applies a change that affects all of them and recomputes the speeds. */
    advanceAll(nowMs: number, change: () => void): void {
        for (const machine of this.#machines.values()) {
            this.#listener.batchProgressed(machine.advance(nowMs), nowMs);
        }
        change();
        for (const [serverId, machine] of this.#machines) {
            this.#reschedule(serverId, machine, nowMs);
        }
    }

    report(serverId: string, nowMs: number): TaskReport[] {
        const machine = this.#machines.get(serverId);
        const reports: TaskReport[] = [];
        for (const task of machine?.tasks.values() ?? []) {
            if (!task.frozen && machine !== undefined) {
                reports.push({
                    serverId,
                    taskKey: task.key,
                    measuredAtMs: nowMs,
                    speedRatio: Math.min(1, task.speed * this.#noiseFactor(SPEED_NOISE)),
                    usedCpuMillicores: Math.round(machine.cpuMillicoresOf(task) * this.#noiseFactor(USAGE_NOISE)),
                    usedMemoryMebibytes: Math.round(task.profile.used.memoryMebibytes * this.#noiseFactor(USAGE_NOISE)),
                    throttled: task.throttled,
                });
            }
        }
        return reports;
    }

    #noiseFactor(bound: number): number {
        return 1 + bound * (2 * this.#random.nextRatio() - 1);
    }

    #changeMachine(serverId: string, nowMs: number, change: (machine: Machine) => void): void {
        const machine = this.#machines.get(serverId);
        if (machine !== undefined) {
            this.#listener.batchProgressed(machine.advance(nowMs), nowMs);
            change(machine);
            this.#reschedule(serverId, machine, nowMs);
        }
    }

    #reschedule(serverId: string, machine: Machine, nowMs: number): void {
        machine.updateSpeeds();
        const version = (this.#versions.get(serverId) ?? 0) + 1;
        this.#versions.set(serverId, version);
        let earliestMs = Number.POSITIVE_INFINITY;
        for (const task of machine.tasks.values()) {
            if (task.speed > 0) {
                earliestMs = Math.min(earliestMs, nowMs + (task.remainingRunMs + task.repeatedRunMs) / task.speed);
            }
        }
        if (Number.isFinite(earliestMs)) {
            this.#events.add(earliestMs, () => this.#endDueTasks(serverId, version, earliestMs));
        }
    }

    #endDueTasks(serverId: string, version: number, nowMs: number): void {
        const machine = this.#machines.get(serverId);
        if (machine === undefined || this.#versions.get(serverId) !== version) {
            return;
        }
        this.#listener.batchProgressed(machine.advance(nowMs), nowMs);
        const ended = [...machine.tasks.values()].filter(task =>
            task.remainingRunMs + task.repeatedRunMs <= END_TOLERANCE_MS
        );
        ended.forEach(task => machine.tasks.delete(task.key));
        this.#reschedule(serverId, machine, nowMs);
        ended.forEach(task => this.#listener.ended(serverId, task, nowMs));
    }
}

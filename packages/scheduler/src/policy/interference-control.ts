import { WorkKind } from "@waxwingspread/protocol";
import type { InterferenceModel, SlowdownSource } from "./interference-model.js";
import { predictSlowdown } from "./interference-model.js";
import { Mitigator } from "./mitigator.js";
import type { MitigatorDependencies, MitigatorParameters } from "./mitigator.js";
import { OveruseTracker } from "./overuse-tracker.js";
import type { OveruseParameters } from "./overuse-tracker.js";
import { MitigationKind } from "./types.js";
import type { ClassKey, InterferencePolicy, Mitigation, PlacedTask, SpeedSample, TaskKey } from "./types.js";

/** Components and parameters of the {@link InterferenceControl}. */
export interface InterferenceControlOptions extends MitigatorDependencies {
    /** Undefined if the slowdowns are known in advance, as for the upper bound in bench:policy. */
    model: InterferenceModel | undefined;
    mitigator: MitigatorParameters;
    overuse: OveruseParameters;
}

/**
 * Matches late samples to the tasks that shared the VM at the time, updates the interference model from them, and
 * protects latency-critical work.
 */
export class InterferenceControl implements InterferencePolicy {
    readonly #options: InterferenceControlOptions;
    readonly #source: SlowdownSource;
    readonly #mitigator: Mitigator;
    readonly #overuse: OveruseTracker;
    readonly #throttled = new Map<TaskKey, boolean>();

    constructor(options: InterferenceControlOptions) {
        this.#options = options;
        this.#source = options.source;
        this.#mitigator = new Mitigator(options, options.mitigator);
        this.#overuse = new OveruseTracker(options.overuse);
    }

    /** Called again whenever a task changes, for example when it is throttled or asked to stop. */
    taskPlaced(backendServerId: string, task: PlacedTask, nowMs: number): void {
        const wasThrottled = this.#throttled.get(task.taskKey);
        if (wasThrottled !== undefined && wasThrottled !== task.throttled) {
            this.#options.loads.reset(task.taskKey);
        }
        this.#throttled.set(task.taskKey, task.throttled);
        this.#options.history.record(backendServerId, task, nowMs);
    }

    taskReleased(backendServerId: string, taskKey: TaskKey, nowMs: number): void {
        this.#throttled.delete(taskKey);
        this.#options.loads.reset(taskKey);
        this.#options.history.remove(backendServerId, taskKey, nowMs);
        this.#mitigator.removeTask(backendServerId, taskKey, nowMs);
        this.#overuse.removeTask(taskKey);
    }

    observe(sample: SpeedSample, nowMs: number): void {
        const { history, loads, model } = this.#options;
        const tasksAtMeasurement = history.tasksAt(sample.backendServerId, sample.measuredAtMs);
        const task = tasksAtMeasurement.find(candidate => candidate.taskKey === sample.taskKey);
        if (task === undefined || sample.speedRatio <= 0) {
            return;
        }
        if (this.#throttled.get(task.taskKey) === task.throttled) {
            loads.observe(task, sample.used.cpuMillicores);
        }
        this.#overuse.observe(sample.backendServerId, task, sample.used);
        if (task.throttled) {
            // The speed of a throttled task reflects the throttling, not its neighbours.
            return;
        }
        const neighbours = tasksAtMeasurement
            .filter(other => other !== task)
            .map(other => ({ classKey: other.classKey, load: loads.loadOf(other) }));
        model?.learn(task.classKey, neighbours, sample.speedRatio, nowMs);
        if (task.workKind === WorkKind.LATENCY_CRITICAL) {
            this.#options.profiles.recordSlowdown(task.classKey, 1 / sample.speedRatio);
            this.#mitigator.recordSlowdown(
                sample.backendServerId,
                task.classKey,
                1 / sample.speedRatio,
                sample.measuredAtMs,
            );
        }
    }

    expectedSlowdown(
        classKey: ClassKey,
        neighbours: readonly ClassKey[],
        nowMs: number,
    ): { mean: number; uncertainty: number } {
        const loads = neighbours.map(neighbour => ({ classKey: neighbour, load: 1 }));
        return predictSlowdown(this.#source, classKey, loads, nowMs);
    }

    evaluate(nowMs: number): Mitigation[] {
        const overuse = this.#overuse.takeSteps();
        const evicted = new Set(overuse.map(step => step.taskKey));
        const protectiveSteps = this.#mitigator.evaluate(nowMs).filter(step => !evicted.has(step.taskKey));
        const steps = [...overuse, ...protectiveSteps];
        steps.forEach(step => this.#recordStep(step, nowMs));
        return steps;
    }

    /** Records the step as executed, so that it takes effect even if the caller does not report the changed task. */
    #recordStep(step: Mitigation, nowMs: number): void {
        const currentTasks = this.#options.history.currentTasks(step.backendServerId);
        const task = currentTasks.find(candidate => candidate.taskKey === step.taskKey);
        if (task !== undefined) {
            const change = step.kind === MitigationKind.Evict
                ? { stopping: true }
                : { throttled: step.kind === MitigationKind.Throttle };
            this.taskPlaced(step.backendServerId, { ...task, ...change }, nowMs);
        }
    }
}

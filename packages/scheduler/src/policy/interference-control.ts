import { WorkKind } from "@waxwingspread/protocol";
import type { InterferenceModel, SlowdownSource } from "./interference-model.js";
import { slowdownBeside } from "./interference-model.js";
import { Mitigator } from "./mitigator.js";
import type { MitigatorParameters, MitigatorSources } from "./mitigator.js";
import { OveruseTracker } from "./overuse-tracker.js";
import type { OveruseParameters } from "./overuse-tracker.js";
import { MitigationKind } from "./types.js";
import type { ClassKey, InterferencePolicy, Mitigation, PlacedTask, SpeedSample, TaskKey } from "./types.js";

/** Components and parameters of the {@link InterferenceControl}. */
export interface InterferenceControlParts extends MitigatorSources {
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
    readonly #parts: InterferenceControlParts;
    readonly #source: SlowdownSource;
    readonly #mitigator: Mitigator;
    readonly #overuse: OveruseTracker;
    readonly #throttled = new Map<TaskKey, boolean>();

    constructor(parts: InterferenceControlParts) {
        this.#parts = parts;
        this.#source = parts.source;
        this.#mitigator = new Mitigator(parts, parts.mitigator);
        this.#overuse = new OveruseTracker(parts.overuse);
    }

    /** Called again whenever a task changes, for example when it is throttled or asked to stop. */
    occupied(backendServerId: string, task: PlacedTask, nowMs: number): void {
        const wasThrottled = this.#throttled.get(task.taskKey);
        if (wasThrottled !== undefined && wasThrottled !== task.throttled) {
            this.#parts.loads.reset(task.taskKey);
        }
        this.#throttled.set(task.taskKey, task.throttled);
        this.#parts.history.record(backendServerId, task, nowMs);
    }

    released(backendServerId: string, taskKey: TaskKey, nowMs: number): void {
        this.#throttled.delete(taskKey);
        this.#parts.loads.reset(taskKey);
        this.#parts.history.remove(backendServerId, taskKey, nowMs);
        this.#mitigator.forgetTask(backendServerId, taskKey, nowMs);
        this.#overuse.forgetTask(taskKey);
    }

    observe(sample: SpeedSample, nowMs: number): void {
        const { history, loads, model } = this.#parts;
        const present = history.at(sample.backendServerId, sample.measuredAtMs);
        const task = present.find(candidate => candidate.taskKey === sample.taskKey);
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
        const neighbours = present
            .filter(other => other !== task)
            .map(other => ({ classKey: other.classKey, load: loads.loadOf(other) }));
        model?.learn(task.classKey, neighbours, sample.speedRatio, nowMs);
        if (task.workKind === WorkKind.LATENCY_CRITICAL) {
            this.#parts.profiles.noteSlowdown(task.classKey, 1 / sample.speedRatio);
            this.#mitigator.note(sample.backendServerId, task.classKey, 1 / sample.speedRatio, sample.measuredAtMs);
        }
    }

    expectedSlowdown(
        classKey: ClassKey,
        neighbours: readonly ClassKey[],
        nowMs: number,
    ): { mean: number; uncertainty: number } {
        const loads = neighbours.map(neighbour => ({ classKey: neighbour, load: 1 }));
        return slowdownBeside(this.#source, classKey, loads, nowMs);
    }

    evaluate(nowMs: number): Mitigation[] {
        const overuse = this.#overuse.takeSteps();
        const evicted = new Set(overuse.map(step => step.taskKey));
        const protective = this.#mitigator.evaluate(nowMs).filter(step => !evicted.has(step.taskKey));
        const steps = [...overuse, ...protective];
        steps.forEach(step => this.#noteStep(step, nowMs));
        return steps;
    }

    /** Records the step as carried out, so that it takes effect even if the caller does not report the changed task. */
    #noteStep(step: Mitigation, nowMs: number): void {
        const present = this.#parts.history.present(step.backendServerId);
        const task = present.find(candidate => candidate.taskKey === step.taskKey);
        if (task !== undefined) {
            const change = step.kind === MitigationKind.Evict
                ? { stopping: true }
                : { throttled: step.kind === MitigationKind.Throttle };
            this.occupied(step.backendServerId, { ...task, ...change }, nowMs);
        }
    }
}

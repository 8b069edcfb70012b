import { TokenBucket } from "@waxwingspread/common";
import { Reason, WorkKind } from "@waxwingspread/protocol";
import type { ClassProfiles } from "./class-profiles.js";
import type { SlowdownSource } from "./interference-model.js";
import type { OccupancyHistory } from "./occupancy-history.js";
import type { TaskLoads } from "./task-loads.js";
import { MitigationKind } from "./types.js";
import type { ClassKey, Mitigation, PlacedTask, TaskKey } from "./types.js";

/** Parameters of the {@link Mitigator}. Ratios are slowdowns relative to the one that the latency target permits. */
export interface MitigatorParameters {
    /** Mean sample ratio above which a class is at risk. */
    enterRatio: number;
    /** Mean sample ratio up to which the throttling of a task may end. */
    exitRatio: number;
    /** Number of samples of a class that are needed for an action. */
    minimumSamples: number;
    /** Age beyond which a sample is ignored. */
    windowMs: number;
    /** Samples measured within this time after an action are ignored, since they do not show its effect yet. */
    settleMs: number;
    /** Minimum time for which a task stays throttled; doubled each time that it is soon throttled again. */
    holdMs: number;
    /** Time for which the risk must persist in spite of throttling before the throttled task is evicted. */
    evictAfterMs: number;
    /** Expected slowdown above which a neighbour may be throttled or evicted for causing it. */
    minimumContribution: number;
    /** Rate limit for evictions in the whole fleet. */
    evictionsPerSecond: number;
    /** Burst size of that rate limit. */
    evictionBurst: number;
}

/** Defaults; docs/policy.md states the reasons for the values. */
export const MITIGATOR_DEFAULTS: MitigatorParameters = {
    enterRatio: 0.75,
    exitRatio: 0.7,
    minimumSamples: 2,
    windowMs: 6_000,
    settleMs: 500,
    holdMs: 10_000,
    evictAfterMs: 8_000,
    minimumContribution: 0.08,
    evictionsPerSecond: 0.2,
    evictionBurst: 2,
};

/** A task that is throttled again within this multiple of `holdMs` is throttled for longer. */
const REPEAT_WINDOW_HOLDS = 6;
const MAXIMUM_HOLD_DOUBLINGS = 4;
/** Number of samples kept for each server. */
const MAXIMUM_SAMPLES = 64;

interface RiskSample {
    classKey: ClassKey;
    measuredAtMs: number;
    ratio: number;
}

interface ThrottledTask {
    sinceMs: number;
    releaseAtMs: number;
}

interface ServerEvidence {
    samples: RiskSample[];
    /** Samples measured up to this time are ignored, so that the same samples never cause two actions. */
    ignoredUntilMs: number;
    throttled: Map<TaskKey, ThrottledTask>;
    /** Number of repeated throttlings of each task and the time of the last one, which determine its hold time. */
    throttleHistory: Map<TaskKey, { count: number; lastMs: number }>;
}

/** Components of the interference policy on which the {@link Mitigator} depends. */
export interface MitigatorDependencies {
    source: SlowdownSource;
    history: OccupancyHistory;
    loads: TaskLoads;
    profiles: ClassProfiles;
}

/**
 * Protects latency-critical work that samples show to be at risk of missing its target: throttles the batch neighbour
 * that is expected to slow it most, and evicts that neighbour only if later samples still show the risk.
 */
export class Mitigator {
    readonly #dependencies: MitigatorDependencies;
    readonly #parameters: MitigatorParameters;
    readonly #servers = new Map<string, ServerEvidence>();
    /** Servers with new samples since the last evaluation. */
    readonly #serversWithNewSamples = new Set<string>();
    readonly #serversWithThrottledTasks = new Set<string>();
    readonly #evictionBucket: TokenBucket;

    constructor(dependencies: MitigatorDependencies, parameters: MitigatorParameters = MITIGATOR_DEFAULTS) {
        this.#dependencies = dependencies;
        this.#parameters = parameters;
        this.#evictionBucket = new TokenBucket(parameters.evictionsPerSecond, parameters.evictionBurst);
    }

    /** Records the measured slowdown factor of a latency-critical task. */
    recordSlowdown(backendServerId: string, classKey: ClassKey, slowdown: number, measuredAtMs: number): void {
        const evidence = this.#getOrCreateEvidence(backendServerId);
        if (measuredAtMs <= evidence.ignoredUntilMs) {
            return;
        }
        evidence.samples.push({
            classKey,
            measuredAtMs,
            ratio: slowdown / this.#dependencies.profiles.slackRatio(classKey),
        });
        if (evidence.samples.length > MAXIMUM_SAMPLES) {
            evidence.samples.shift();
        }
        this.#serversWithNewSamples.add(backendServerId);
    }

    removeTask(backendServerId: string, taskKey: TaskKey, nowMs: number): void {
        const evidence = this.#servers.get(backendServerId);
        if (evidence === undefined) {
            return;
        }
        evidence.throttleHistory.delete(taskKey);
        evidence.throttled.delete(taskKey);
        if (evidence.throttled.size === 0) {
            this.#serversWithThrottledTasks.delete(backendServerId);
        }
        const isSettled = nowMs > evidence.ignoredUntilMs + this.#parameters.windowMs;
        if (isSettled && evidence.samples.length === 0 && evidence.throttleHistory.size === 0) {
            this.#servers.delete(backendServerId);
        }
    }

    /** Returns the actions that are due: for each server at most one against a risk and one that ends throttling. */
    evaluate(nowMs: number): Mitigation[] {
        const steps: Mitigation[] = [];
        for (const backendServerId of this.#serversWithNewSamples) {
            const step = this.#mitigateRisk(backendServerId, nowMs);
            if (step !== undefined) {
                steps.push(step);
            }
        }
        this.#serversWithNewSamples.clear();
        for (const backendServerId of [...this.#serversWithThrottledTasks]) {
            const step = this.#endThrottling(backendServerId, nowMs);
            if (step !== undefined) {
                steps.push(step);
            }
        }
        return steps;
    }

    #mitigateRisk(backendServerId: string, nowMs: number): Mitigation | undefined {
        const evidence = this.#getOrCreateEvidence(backendServerId);
        evidence.samples = evidence.samples.filter(sample => sample.measuredAtMs >= nowMs - this.#parameters.windowMs);
        const risk = this.#classAtRisk(evidence.samples);
        if (risk === undefined) {
            return undefined;
        }
        const worst = this.#worstNeighbour(backendServerId, risk.classKey, nowMs);
        if (worst === undefined) {
            return undefined;
        }
        const throttled = evidence.throttled.get(worst.taskKey);
        const explanation = `${risk.classKey} at ${risk.ratio.toFixed(2)} of what its target permits, `
            + `measured ${risk.count} times`;
        if (throttled === undefined) {
            return this.#throttle(backendServerId, evidence, worst, explanation, nowMs);
        }
        if (nowMs - throttled.sinceMs < this.#parameters.evictAfterMs || !this.#evictionBucket.take(nowMs)) {
            throttled.releaseAtMs = Math.max(throttled.releaseAtMs, nowMs + this.#parameters.holdMs);
            return undefined;
        }
        this.#discardSamples(evidence, nowMs);
        return {
            kind: MitigationKind.Evict,
            backendServerId,
            taskKey: worst.taskKey,
            reason: Reason.INTERFERENCE,
            explanation,
        };
    }

    #throttle(
        backendServerId: string,
        evidence: ServerEvidence,
        task: PlacedTask,
        explanation: string,
        nowMs: number,
    ): Mitigation {
        const { holdMs } = this.#parameters;
        const previous = evidence.throttleHistory.get(task.taskKey);
        const isRepeated = previous !== undefined && nowMs - previous.lastMs < REPEAT_WINDOW_HOLDS * holdMs;
        const count = isRepeated ? Math.min(MAXIMUM_HOLD_DOUBLINGS, previous.count + 1) : 0;
        evidence.throttleHistory.set(task.taskKey, { count, lastMs: nowMs });
        evidence.throttled.set(task.taskKey, { sinceMs: nowMs, releaseAtMs: nowMs + holdMs * 2 ** count });
        this.#serversWithThrottledTasks.add(backendServerId);
        this.#discardSamples(evidence, nowMs);
        return {
            kind: MitigationKind.Throttle,
            backendServerId,
            taskKey: task.taskKey,
            reason: Reason.INTERFERENCE,
            explanation,
        };
    }

    /** Ends the throttling of one task on a server, if its hold time is over and the risk is low. */
    #endThrottling(backendServerId: string, nowMs: number): Mitigation | undefined {
        const evidence = this.#getOrCreateEvidence(backendServerId);
        for (const [taskKey, throttled] of evidence.throttled) {
            if (throttled.releaseAtMs > nowMs) {
                continue;
            }
            const ratio = this.#greatestRecentRatio(backendServerId, evidence, nowMs);
            if (ratio > this.#parameters.exitRatio) {
                throttled.releaseAtMs = nowMs + this.#parameters.holdMs;
                continue;
            }
            evidence.throttled.delete(taskKey);
            if (evidence.throttled.size === 0) {
                this.#serversWithThrottledTasks.delete(backendServerId);
            }
            this.#discardSamples(evidence, nowMs);
            return {
                kind: MitigationKind.Unthrottle,
                backendServerId,
                taskKey,
                reason: Reason.INTERFERENCE,
                explanation: `latency-critical work at ${ratio.toFixed(2)} of what its targets permit`,
            };
        }
        return undefined;
    }

    /** Highest mean ratio of any class in recent samples, taken under throttling; 0 if no class has enough of them. */
    #greatestRecentRatio(backendServerId: string, evidence: ServerEvidence, nowMs: number): number {
        const recent = evidence.samples.filter(sample => sample.measuredAtMs >= nowMs - this.#parameters.windowMs);
        return this.#classAtGreatestRatio(recent)?.ratio ?? 0;
    }

    #classAtRisk(samples: readonly RiskSample[]): { classKey: ClassKey; ratio: number; count: number } | undefined {
        const greatest = this.#classAtGreatestRatio(samples);
        return greatest !== undefined && greatest.ratio > this.#parameters.enterRatio ? greatest : undefined;
    }

    #classAtGreatestRatio(
        samples: readonly RiskSample[],
    ): { classKey: ClassKey; ratio: number; count: number } | undefined {
        const sums = new Map<ClassKey, { sum: number; count: number }>();
        for (const sample of samples) {
            const entry = sums.get(sample.classKey) ?? { sum: 0, count: 0 };
            entry.sum += sample.ratio;
            entry.count += 1;
            sums.set(sample.classKey, entry);
        }
        let greatest: { classKey: ClassKey; ratio: number; count: number } | undefined;
        for (const [classKey, { sum, count }] of sums) {
            const ratio = sum / count;
            if (count >= this.#parameters.minimumSamples && ratio > (greatest?.ratio ?? 0)) {
                greatest = { classKey, ratio, count };
            }
        }
        return greatest;
    }

    #worstNeighbour(backendServerId: string, classKey: ClassKey, nowMs: number): PlacedTask | undefined {
        const { source, history, loads } = this.#dependencies;
        let worst: PlacedTask | undefined;
        let worstContribution = this.#parameters.minimumContribution;
        for (const task of history.currentTasks(backendServerId)) {
            if (task.workKind !== WorkKind.BATCH || task.stopping) {
                continue;
            }
            const contribution = loads.loadOf(task) * source.coefficient(classKey, task.classKey, nowMs);
            if (contribution > worstContribution) {
                worst = task;
                worstContribution = contribution;
            }
        }
        return worst;
    }

    #discardSamples(evidence: ServerEvidence, nowMs: number): void {
        evidence.samples = [];
        evidence.ignoredUntilMs = nowMs + this.#parameters.settleMs;
    }

    #getOrCreateEvidence(backendServerId: string): ServerEvidence {
        let evidence = this.#servers.get(backendServerId);
        if (evidence === undefined) {
            evidence = {
                samples: [],
                ignoredUntilMs: Number.NEGATIVE_INFINITY,
                throttled: new Map(),
                throttleHistory: new Map(),
            };
            this.#servers.set(backendServerId, evidence);
        }
        return evidence;
    }
}

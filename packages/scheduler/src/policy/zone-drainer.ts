import { WorkKind } from "@waxwingspread/protocol";
import type { ClassKey, PlacedTask, TaskKey, ZonePolicy } from "./types.js";

/** Parameters of the {@link ZoneDrainer}. */
export interface ZoneDrainerParameters {
    /** Default rate at which tasks are stopped, over all zones. */
    stopsPerSecond: number;
    /** Upper bound on the rate if the default rate would miss the drain deadline. */
    maximumStopsPerSecond: number;
    /** Age below which latency-critical tasks are expected to end by themselves. */
    latencyCriticalGraceMs: number;
    /** Time over which a zone that returns to service is refilled. */
    returnMs: number;
    /** Part of the slots of a returning zone that may be filled immediately. */
    firstFillRatio: number;
    /** Part of the time until the drain deadline during which batch that is expected to end in time is not stopped. */
    patienceRatio: number;
}

/** Defaults, as specified in section 6.3 of the design. */
export const ZONE_DRAINER_DEFAULTS: ZoneDrainerParameters = {
    stopsPerSecond: 8,
    maximumStopsPerSecond: 32,
    latencyCriticalGraceMs: 2_000,
    returnMs: 30_000,
    firstFillRatio: 0.2,
    patienceRatio: 0.7,
};

const MILLISECONDS_PER_SECOND = 1_000;
/** Time after its deadline during which a drain still determines the rate for other zones and servers. */
const OVERDUE_MS = 10_000;
/** Safety factor on the time needed to stop the remaining tasks, since stops take time to be confirmed. */
const RATE_MARGIN = 1.5;

interface Drain {
    startedAtMs: number;
    deadlineMs: number;
    /** True once no task is left to drain, so that the deadline no longer matters. */
    completed: boolean;
}

/** Time limits that apply to all zones that are being drained. */
interface DrainLimits {
    deadlineMs: number;
    /** Time until which batch that is expected to end before the deadline is not stopped. */
    completionWindowEndsMs: number;
}

interface DrainCandidate {
    task: PlacedTask;
    order: number;
    expectedEndMs: number;
}

const DRAIN_ORDER: Record<WorkKind, number> = {
    [WorkKind.LATENCY_CRITICAL]: 0,
    [WorkKind.STANDING]: 1,
    [WorkKind.BATCH]: 2,
    [WorkKind.UNSPECIFIED]: 2,
};

/** Drains zones that are out of service and refills those that return, both at bounded rates. */
export class ZoneDrainer implements ZonePolicy {
    readonly #parameters: ZoneDrainerParameters;
    readonly #expectedRunTimeMs: (classKey: ClassKey) => number | undefined;
    readonly #drains = new Map<string, Drain>();
    readonly #refillStartedAtMs = new Map<string, number>();
    #tokens: number;
    #tokensUpdatedAtMs: number | undefined;

    /** `expectedRunTimeMs` returns the run time of a class, or undefined if it is unknown. */
    constructor(
        expectedRunTimeMs: (classKey: ClassKey) => number | undefined,
        parameters: ZoneDrainerParameters = ZONE_DRAINER_DEFAULTS,
    ) {
        this.#expectedRunTimeMs = expectedRunTimeMs;
        this.#parameters = parameters;
        this.#tokens = parameters.stopsPerSecond;
    }

    /** `drainDeadlineMs` is a point in time. */
    startDrain(availabilityZone: string, drainDeadlineMs: number, nowMs: number): void {
        this.#refillStartedAtMs.delete(availabilityZone);
        const known = this.#drains.get(availabilityZone);
        this.#drains.set(availabilityZone, {
            startedAtMs: known?.startedAtMs ?? nowMs,
            deadlineMs: drainDeadlineMs,
            completed: false,
        });
    }

    startRefill(availabilityZone: string, nowMs: number): void {
        this.#drains.delete(availabilityZone);
        this.#refillStartedAtMs.set(availabilityZone, nowMs);
    }

    selectTasksToStop(tasks: readonly PlacedTask[], nowMs: number): TaskKey[] {
        if (tasks.length === 0) {
            this.#completeDrains();
            return [];
        }
        const remaining = tasks.filter(task => !task.stopping);
        const limits = this.#currentLimits(remaining.length, nowMs);
        this.#refillTokens(remaining.length, limits.deadlineMs, nowMs);
        const candidates = remaining
            .map(task => this.#toCandidate(task))
            .filter(candidate => this.#isDue(candidate, limits, nowMs))
            .sort(compareCandidates);
        const count = Math.min(candidates.length, Math.floor(this.#tokens));
        this.#tokens -= count;
        return candidates.slice(0, count).map(candidate => candidate.task.taskKey);
    }

    fillRatio(availabilityZone: string, nowMs: number): number {
        if (this.#drains.has(availabilityZone)) {
            return 0;
        }
        const sinceMs = this.#refillStartedAtMs.get(availabilityZone);
        if (sinceMs === undefined) {
            return 1;
        }
        const { firstFillRatio, returnMs } = this.#parameters;
        return Math.min(1, firstFillRatio + (1 - firstFillRatio) * Math.max(0, nowMs - sinceMs) / returnMs);
    }

    takeRefilledZones(nowMs: number): string[] {
        const zones: string[] = [];
        for (const [zone, sinceMs] of this.#refillStartedAtMs) {
            if (nowMs - sinceMs >= this.#parameters.returnMs) {
                this.#refillStartedAtMs.delete(zone);
                zones.push(zone);
            }
        }
        return zones;
    }

    #toCandidate(task: PlacedTask): DrainCandidate {
        const runTimeMs = this.#expectedRunTimeMs(task.classKey);
        return {
            task,
            order: DRAIN_ORDER[task.workKind],
            expectedEndMs: runTimeMs === undefined ? Number.POSITIVE_INFINITY : task.placedAtMs + runTimeMs,
        };
    }

    #isDue(candidate: DrainCandidate, limits: DrainLimits, nowMs: number): boolean {
        if (nowMs >= limits.completionWindowEndsMs || candidate.expectedEndMs > limits.deadlineMs) {
            return candidate.task.workKind !== WorkKind.LATENCY_CRITICAL || this.#exceedsGrace(candidate, nowMs)
                || nowMs >= limits.deadlineMs;
        }
        return candidate.task.workKind === WorkKind.STANDING || this.#exceedsGrace(candidate, nowMs);
    }

    #exceedsGrace(candidate: DrainCandidate, nowMs: number): boolean {
        return candidate.task.workKind === WorkKind.LATENCY_CRITICAL
            && nowMs - candidate.task.placedAtMs >= this.#parameters.latencyCriticalGraceMs;
    }

    #currentLimits(remaining: number, nowMs: number): DrainLimits {
        let deadlineMs = Number.POSITIVE_INFINITY;
        let startedAtMs = Number.POSITIVE_INFINITY;
        for (const drain of this.#drains.values()) {
            if (!drain.completed && nowMs <= drain.deadlineMs + OVERDUE_MS) {
                deadlineMs = Math.min(deadlineMs, drain.deadlineMs);
                startedAtMs = Math.min(startedAtMs, drain.startedAtMs);
            }
        }
        if (startedAtMs === Number.POSITIVE_INFINITY) {
            // The tasks are on servers that leave individually, or in a zone that should already be empty.
            return { deadlineMs: Number.POSITIVE_INFINITY, completionWindowEndsMs: nowMs };
        }
        const { patienceRatio, stopsPerSecond } = this.#parameters;
        const byRatioMs = startedAtMs + Math.max(0, deadlineMs - startedAtMs) * patienceRatio;
        const byRateMs = deadlineMs - RATE_MARGIN * remaining / stopsPerSecond * MILLISECONDS_PER_SECOND;
        return { deadlineMs, completionWindowEndsMs: Math.min(byRatioMs, byRateMs) };
    }

    #completeDrains(): void {
        for (const drain of this.#drains.values()) {
            drain.completed = true;
        }
    }

    #refillTokens(remaining: number, deadlineMs: number, nowMs: number): void {
        const { stopsPerSecond, maximumStopsPerSecond } = this.#parameters;
        const remainingSeconds = Math.max(1, (deadlineMs - nowMs) / MILLISECONDS_PER_SECOND);
        const rate = Math.min(
            maximumStopsPerSecond,
            Math.max(stopsPerSecond, RATE_MARGIN * remaining / remainingSeconds),
        );
        const elapsedMs = Math.max(0, nowMs - (this.#tokensUpdatedAtMs ?? nowMs));
        this.#tokens = Math.min(rate, this.#tokens + elapsedMs * rate / MILLISECONDS_PER_SECOND);
        this.#tokensUpdatedAtMs = nowMs;
    }
}

/** Orders latency-critical before standing before batch, and tasks of the same kind by latest expected end first. */
const compareCandidates = (left: DrainCandidate, right: DrainCandidate): number => {
    if (left.order !== right.order) {
        return left.order - right.order;
    }
    if (left.expectedEndMs !== right.expectedEndMs) {
        return left.expectedEndMs > right.expectedEndMs ? -1 : 1;
    }
    return left.task.taskKey < right.task.taskKey ? -1 : 1;
};

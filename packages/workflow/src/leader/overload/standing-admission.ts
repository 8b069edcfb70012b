import { Refusal, refused } from "../../model/calls.js";
import type { RefusedCall } from "../../model/calls.js";
import type { QueueContract } from "../../model/configuration.js";
import { countedMillicoresOf, TaskKind, taskKindOf } from "../../model/specification.js";
import type { JobSpecification } from "../../model/specification.js";
import type { Times } from "../times.js";
import { DecayedRate } from "./decayed-rate.js";
import { competitionKeyOf } from "./work-demand.js";

/** Room for finite work, as a multiple of its mean need, below which standing jobs are refused. */
const REFUSAL_RATIO = 1.25;
/** The same from which on they are accepted again; the gap keeps one job from switching the decision. */
export const READMISSION_RATIO = 1.5;
/** Time over which the departures of standing jobs are averaged. They stay long, so that few of them leave at a time. */
const DEPARTURE_HALF_LIFE_MS = 20_000;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;

/** Room for finite work beside the standing work that has been accepted, and its mean need; both in cores. */
export interface RoomForecast {
    roomCores: number;
    neededCores: number;
}

/** Returns the room for the finite work that competes with a queue. */
export type Forecast = (queue: QueueContract, nowMs: number) => RoomForecast;

/** Decisions on the standing jobs of one priority. */
export interface StandingDecisions {
    accepted: number;
    refused: number;
    refusedCores: number;
}

/** Decisions since the last report. */
export interface StandingAdmissionReport {
    byPriority: Record<number, StandingDecisions>;
    /** Whether the last decision for some queue was a refusal. */
    isShort: boolean;
}

/**
 * Refuses new standing jobs while there is too little room for the finite work of the same or a higher priority. A standing
 * job takes its room for long, and all of it in addition to what waits; many finite jobs would end late for it. The size of
 * the job doesn't count, so that large ones aren't refused more often than small ones.
 */
export class StandingAdmission {
    readonly #departures = new DecayedRate(DEPARTURE_HALF_LIFE_MS);
    readonly #forecast: Forecast;
    /** Keys of the competing queues whose last decision was a refusal. */
    readonly #shortQueues = new Set<string>();
    /** Time at which the next refused client may return: one after the other, as departures make room for it. */
    #nextReturnAtMs = -Infinity;
    #decisions: StandingAdmissionReport["byPriority"] = {};

    constructor(forecast: Forecast) {
        this.#forecast = forecast;
    }

    /** Records that a standing job has ended and leaves its room to others. */
    recordDeparture(cores: number, nowMs: number): void {
        this.#departures.add(cores, nowMs);
    }

    /**
     * Returns the refusal of a standing job for which there is too little room; undefined for any other job. A preview has
     * no influence on later decisions.
     */
    check(
        job: JobSpecification,
        queue: QueueContract,
        { nowMs }: Times,
        isPreview = false,
    ): RefusedCall | undefined {
        const cores = standingCoresOf(job);
        if (cores === 0) {
            return undefined;
        }
        const { roomCores, neededCores } = this.#forecast(queue, nowMs);
        const key = competitionKeyOf(queue);
        const ratio = this.#shortQueues.has(key) ? READMISSION_RATIO : REFUSAL_RATIO;
        const isShort = neededCores > 0 && roomCores < ratio * neededCores;
        const retryAfterMs = isShort
            ? this.#retryAfterMs(READMISSION_RATIO * neededCores - roomCores, nowMs)
            : undefined;
        if (!isPreview) {
            this.#record(queue, cores, retryAfterMs, nowMs);
        }
        return retryAfterMs === undefined ? undefined : refused(Refusal.Overloaded, retryAfterMs);
    }

    /** Returns the decisions since the last call. */
    takeReport(): StandingAdmissionReport {
        const report = { byPriority: this.#decisions, isShort: this.#shortQueues.size > 0 };
        this.#decisions = {};
        return report;
    }

    /** Records a decision; the clients that were refused return one after the other. */
    #record(queue: QueueContract, cores: number, retryAfterMs: number | undefined, nowMs: number): void {
        const key = competitionKeyOf(queue);
        const decisions = this.#decisions[queue.priority] ??= { accepted: 0, refused: 0, refusedCores: 0 };
        if (retryAfterMs === undefined) {
            this.#shortQueues.delete(key);
            decisions.accepted += 1;
            return;
        }
        this.#shortQueues.add(key);
        decisions.refused += 1;
        decisions.refusedCores += cores;
        const coresPerMs = this.#departures.perSecond(nowMs) / 1_000;
        this.#nextReturnAtMs = nowMs + retryAfterMs + (coresPerMs === 0 ? 0 : cores / coresPerMs);
    }

    #retryAfterMs(shortageCores: number, nowMs: number): number {
        const coresPerMs = this.#departures.perSecond(nowMs) / 1_000;
        const waitMs = coresPerMs === 0 ? MAX_RETRY_AFTER_MS : shortageCores / coresPerMs;
        const returnAtMs = Math.max(nowMs + waitMs, this.#nextReturnAtMs);
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, returnAtMs - nowMs));
    }
}

/** Returns the cores that the standing tasks of a job reserve. */
export const standingCoresOf = ({ steps }: Pick<JobSpecification, "steps">): number =>
    steps
        .filter(step => taskKindOf(step) === TaskKind.Standing)
        .reduce((sum, step) => sum + (step.taskCount * countedMillicoresOf(step)) / 1_000, 0);

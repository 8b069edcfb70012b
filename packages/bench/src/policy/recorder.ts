import type { WorkClassProfile } from "./deployments.js";
import { DRAIN_START_MS, RUN_MS, WARM_UP_MS, ZONE_INTERVAL_END_MS } from "./workload.js";

/** Reasons for stopping a task before its completion. */
export enum StopCause {
    Preempted = "preempted",
    Interference = "interference",
    Reclaimed = "reclaimed",
    Zone = "zone",
}

/** Measurements of one run. */
export interface RunResult {
    latenciesMs: number[];
    onTargetRatio: number;
    /** Completed batch work, in seconds of run time on an idle VM. */
    batchWork: number;
    evictions: number;
    evictionsByCause: Record<StopCause, number>;
    throttlings: number;
    /**
     * Batch work and latency-critical work that met its target, from the start of the zone's drain to the end of its
     * return, in seconds of run time on an idle VM.
     */
    zoneWork: number;
    completedBatchJobs: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

const isCounted = (atMs: number): boolean => atMs >= WARM_UP_MS && atMs <= RUN_MS;
const isInZoneInterval = (atMs: number): boolean => atMs > DRAIN_START_MS && atMs <= ZONE_INTERVAL_END_MS;

/** Collects the measurements of one run. Excludes latencies, batch work and evictions outside the counted interval. */
export class Recorder {
    readonly #latenciesMs: number[] = [];
    readonly #evictions: Record<StopCause, number> = { preempted: 0, interference: 0, reclaimed: 0, zone: 0 };
    #arrived = 0;
    #onTarget = 0;
    #batchMs = 0;
    #zoneMs = 0;
    #throttlings = 0;
    #completedBatchJobs = 0;

    recordRequestArrival(atMs: number): void {
        this.#arrived += isCounted(atMs) ? 1 : 0;
    }

    recordRequestCompletion(profile: WorkClassProfile, arrivedAtMs: number, runTimeMs: number, nowMs: number): void {
        const latencyMs = nowMs - arrivedAtMs;
        const isOnTarget = latencyMs <= profile.targetMs;
        if (isCounted(arrivedAtMs)) {
            this.#latenciesMs.push(latencyMs);
            this.#onTarget += isOnTarget ? 1 : 0;
        }
        if (isOnTarget && isInZoneInterval(nowMs)) {
            this.#zoneMs += runTimeMs;
        }
    }

    /** Adds batch work done; `workMs` is negative if progress was lost. */
    recordBatchWork(workMs: number, nowMs: number): void {
        if (isCounted(nowMs)) {
            this.#batchMs += workMs;
        }
        if (isInZoneInterval(nowMs)) {
            this.#zoneMs += workMs;
        }
    }

    recordBatchCompletion(): void {
        this.#completedBatchJobs += 1;
    }

    recordEviction(cause: StopCause, nowMs: number): void {
        this.#evictions[cause] += isCounted(nowMs) ? 1 : 0;
    }

    recordThrottling(): void {
        this.#throttlings += 1;
    }

    /** Operators order the evictions of a zone drain, so these are listed by cause but not included in the total. */
    result(): RunResult {
        const { preempted, interference, reclaimed } = this.#evictions;
        return {
            latenciesMs: this.#latenciesMs,
            onTargetRatio: this.#arrived === 0 ? 1 : this.#onTarget / this.#arrived,
            batchWork: this.#batchMs / MILLISECONDS_PER_SECOND,
            evictions: preempted + interference + reclaimed,
            evictionsByCause: this.#evictions,
            throttlings: this.#throttlings,
            zoneWork: this.#zoneMs / MILLISECONDS_PER_SECOND,
            completedBatchJobs: this.#completedBatchJobs,
        };
    }
}

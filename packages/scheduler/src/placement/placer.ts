import type { JobKey } from "@waxwingspread/common";
import { parseJobKey } from "@waxwingspread/common";
import { AttemptState, JobState, Outcome, Reason, WorkKind, ZoneState } from "@waxwingspread/protocol";
import type { Job, Resources } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import { specificationOf } from "../decision.js";
import type { Decision } from "../decision.js";
import type { Explanations } from "../operators/explanations.js";
import type { PlacementQuery, QueuedJob } from "../policy/types.js";
import type { BackendClocks } from "../servers/backend-clocks.js";
import { addResources, fitsWithin, NO_RESOURCES } from "../state/resources.js";
import { heldAttempt } from "../state/usage.js";
import { parseTaskKey } from "../work-view.js";
import type { WorkView } from "../work-view.js";

/** Assigns queued jobs to backend servers. */
export class Placer {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #clocks: BackendClocks;
    readonly #attempts: Attempts;
    readonly #explanations: Explanations;
    /** Keys of the evicted tasks whose stop a job waits for. */
    readonly #victims = new Map<JobKey, readonly string[]>();
    #rejectedPlacements = 0;

    constructor(
        decision: Decision,
        view: WorkView,
        clocks: BackendClocks,
        attempts: Attempts,
        explanations: Explanations,
    ) {
        this.#decision = decision;
        this.#view = view;
        this.#clocks = clocks;
        this.#attempts = attempts;
        this.#explanations = explanations;
    }

    /** Number of choices of the policy that the state did not permit; each is an error of the policy. */
    get rejectedPlacements(): number {
        return this.#rejectedPlacements;
    }

    /** Places queued jobs in fair-share order; tries at most `limit` jobs. */
    placeQueued(limit: number): void {
        const { policies, nowMs, settings } = this.#decision;
        const failedShapes = new Set<string>();
        let preemptions = 0;
        for (const queued of policies.fairShare.next(nowMs, limit)) {
            const job = this.#decision.state.job(queued.jobKey);
            const shape = shapeOf(queued, job);
            if (job === undefined || policies.fairShare.blockingReason(queued) !== undefined) {
                continue;
            }
            const placed = !failedShapes.has(shape) && this.#tryPlace(job, queued);
            if (placed) {
                continue;
            }
            failedShapes.add(shape);
            if (preemptions < settings.preemptionsPerRound && this.#preempt(job, queued)) {
                preemptions += 1;
            }
        }
    }

    /** Places one job that was just accepted, evicting batch work for it if necessary. */
    placeNew(key: JobKey): void {
        const job = this.#decision.state.job(key);
        const queued = this.#view.queuedJob(key);
        if (job === undefined || queued === undefined) {
            return;
        }
        if (this.#decision.policies.fairShare.blockingReason(queued) === undefined && !this.#tryPlace(job, queued)) {
            this.#preempt(job, queued);
        }
    }

    /** Returns true if the job could be placed now. */
    canPlace(job: Job, queued: QueuedJob): boolean {
        const { fairShare, placement } = this.#decision.policies;
        return fairShare.blockingReason(queued) === undefined
            && placement.choose(this.#view.placementQuery(job, queued), this.#decision.nowMs) !== undefined;
    }

    /** Assigns a queued job to a given server; returns false if the state does not permit it. */
    assign(key: JobKey, backendServerId: string, reserved: Resources, explanation: string): boolean {
        const { state, settings, nowMs, term } = this.#decision;
        const job = state.job(key);
        const server = state.backendServer(backendServerId);
        const clockMs = this.#clocks.clockLowerBoundMs(backendServerId, nowMs);
        if (job === undefined || server === undefined || clockMs === undefined) {
            return false;
        }
        if (!this.#isPermitted(job, backendServerId, reserved)) {
            return false;
        }
        const { customer, requestId } = specificationOf(job);
        const attempt = {
            number: job.attemptsMade + 1,
            backendServerId,
            incarnation: server.incarnation,
            term,
            startDeadlineBackendMs: clockMs + settings.startWindowMs,
            reserved,
            state: AttemptState.ASSIGNED,
            assignedAtMs: nowMs,
        };
        this.#decision.record({ case: "attemptAssigned", value: { customer, requestId, attempt } });
        this.#victims.delete(key);
        this.#explanations.add(key, `Placed on ${backendServerId}: ${explanation}.`, nowMs);
        return true;
    }

    forget(key: JobKey): void {
        this.#victims.delete(key);
    }

    #tryPlace(job: Job, queued: QueuedJob): boolean {
        if (job.failedOn.length > 0 && this.#attempts.failedOnAll(job)) {
            this.#attempts.endJob(job, Outcome.FAILED, Reason.FAILS_EVERYWHERE);
            return true;
        }
        const query = this.#view.placementQuery(job, queued);
        const placement = this.#decision.policies.placement.choose(query, this.#decision.nowMs);
        if (placement === undefined) {
            return false;
        }
        const placed = this.assign(queued.jobKey, placement.backendServerId, queued.reserved, placement.explanation);
        this.#rejectedPlacements += placed ? 0 : 1;
        return placed;
    }

    #isPermitted(job: Job, backendServerId: string, reserved: Resources): boolean {
        const { state, nowMs } = this.#decision;
        const server = state.backendServer(backendServerId);
        const use = state.useOfBackendServer(backendServerId);
        const canStart = !job.everStarted || this.#view.isRepeatable(job) || job.checkpoint !== undefined;
        return server !== undefined && job.state === JobState.QUEUED && !job.cancelRequested && canStart
            && !server.leaving && this.#clocks.isResponsive(backendServerId, nowMs)
            && state.zoneState(server.availabilityZone) !== ZoneState.OUT_OF_SERVICE
            && use.jobKeys.size < server.slots
            && fitsWithin(addResources(use.resources, reserved), server.capacity ?? NO_RESOURCES);
    }

    /** Evicts batch work for latency-critical or standing work. */
    #preempt(job: Job, queued: QueuedJob): boolean {
        const canPreempt = queued.workKind === WorkKind.LATENCY_CRITICAL || queued.workKind === WorkKind.STANDING;
        if (!canPreempt || job.state !== JobState.QUEUED) {
            return false;
        }
        const { customer, requestId } = parseJobKey(queued.jobKey);
        return this.evictFor(queued.jobKey, this.#view.placementQuery(job, queued), `${customer}/${requestId}`);
    }

    /**
     * Evicts batch work to free capacity for the query; returns false if nothing is evicted. Evicts no more tasks for a
     * job until the tasks that were evicted for it before have stopped.
     */
    evictFor(key: JobKey, query: PlacementQuery, beneficiary: string): boolean {
        if (this.#isWaitingForVictims(key)) {
            return false;
        }
        const preemption = this.#decision.policies.placement.choosePreemption(query, this.#decision.nowMs);
        if (preemption === undefined) {
            return false;
        }
        const { backendServerId, victims, explanation } = preemption;
        for (const taskKey of victims) {
            const victim = parseTaskKey(taskKey);
            const job = this.#decision.state.job(victim.jobKey);
            const sentence = `Evicted from ${backendServerId} to make room for ${beneficiary}: ${explanation}.`;
            if (job !== undefined && heldAttempt(job)?.number === victim.attemptNumber) {
                this.#attempts.stop(job, Reason.PREEMPTED, sentence);
            }
        }
        this.#victims.set(key, victims);
        return victims.length > 0;
    }

    #isWaitingForVictims(key: JobKey): boolean {
        return (this.#victims.get(key) ?? []).some(taskKey => {
            const victim = parseTaskKey(taskKey);
            return heldAttempt(this.#decision.state.job(victim.jobKey))?.number === victim.attemptNumber;
        });
    }
}

/** Jobs of equal shape fit on the same servers, so a round skips all further jobs of a shape that found no server. */
const shapeOf = (queued: QueuedJob, job: Job | undefined): string => {
    const { cpuMillicores, memoryMebibytes, accelerators } = queued.reserved;
    const excluded = job?.failedOn.join(",") ?? "";
    const repeatable = String(job?.specification?.repeatable);
    return [queued.classKey, cpuMillicores, memoryMebibytes, accelerators, excluded, repeatable].join("|");
};

import { parseJobKey } from "@waxwingspread/common";
import type { JobKey } from "@waxwingspread/common";
import { AttemptState, JobState } from "@waxwingspread/protocol";
import type { Job, Reason, Resources } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import type { Decision } from "../decision.js";
import { heldAttempt } from "../state/usage.js";
import type { WorkView } from "../work-view.js";
import type { Placer } from "./placer.js";

interface Reservation {
    backendServerId: string;
    taskKey: string;
    reserved: Resources;
}

/**
 * Moves standing work: reserves capacity on another server, stops the old attempt, and starts a new one once the stop
 * is confirmed. Reservations are held in memory only; a new leader places a stopped job like any other.
 */
export class Handover {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #placer: Placer;
    readonly #attempts: Attempts;
    readonly #reservations = new Map<JobKey, Reservation>();

    constructor(decision: Decision, view: WorkView, placer: Placer, attempts: Attempts) {
        this.#decision = decision;
        this.#view = view;
        this.#placer = placer;
        this.#attempts = attempts;
    }

    /**
     * Starts to move a job; returns false if its attempt is stopping or no server has capacity for it. In the latter
     * case batch work is evicted, so that a later call can succeed.
     */
    begin(key: JobKey, job: Job, reason: Reason): boolean {
        const task = this.#view.task(key);
        const attempt = heldAttempt(job);
        if (task === undefined || attempt === undefined || attempt.state === AttemptState.STOPPING) {
            return false;
        }
        const { placement } = this.#decision.policies;
        const query = this.#view.placementQuery(job, { ...this.#view.describe(key, job), reserved: task.reserved });
        const place = placement.choose(query, this.#decision.nowMs);
        if (place === undefined) {
            const { customer, requestId } = parseJobKey(key);
            this.#placer.evictFor(key, query, `${customer}/${requestId}`);
            return false;
        }
        const taskKey = `${task.taskKey}-handover`;
        placement.occupy(place.backendServerId, { ...task, taskKey, placedAtMs: this.#decision.nowMs });
        this.#reservations.set(key, { backendServerId: place.backendServerId, taskKey, reserved: task.reserved });
        const { backendServerId } = attempt;
        this.#attempts.stop(job, reason, `Moved from ${backendServerId} to ${place.backendServerId}.`);
        return true;
    }

    /** Places a job whose old attempt has ended on the server that was reserved for it. */
    requeued(key: JobKey): void {
        const reservation = this.#release(key);
        if (reservation !== undefined) {
            this.#placer.assign(key, reservation.backendServerId, reservation.reserved, "reserved for the handover");
        }
    }

    jobChanged(key: JobKey, after: Job | undefined): void {
        if (after === undefined || after.state === JobState.ENDED) {
            this.#release(key);
        }
    }

    #release(key: JobKey): Reservation | undefined {
        const reservation = this.#reservations.get(key);
        if (reservation !== undefined) {
            this.#reservations.delete(key);
            this.#decision.policies.placement.release(reservation.backendServerId, reservation.taskKey);
        }
        return reservation;
    }
}

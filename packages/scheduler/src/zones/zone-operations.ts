import { create } from "@bufbuild/protobuf";
import {
    AttemptEnd,
    AttemptState,
    AvailabilityZoneSchema,
    JobState,
    Reason,
    WorkKind,
    ZoneState,
} from "@waxwingspread/protocol";
import type { Attempt, AvailabilityZone, Job } from "@waxwingspread/protocol";
import type { Attempts } from "../attempts/attempts.js";
import type { Decision } from "../decision.js";
import type { Handover } from "../placement/handover.js";
import type { PlacedTask } from "../policy/types.js";
import { heldAttempt } from "../state/usage.js";
import { parseTaskKey } from "../work-view.js";
import type { WorkView } from "../work-view.js";

/** Interval at which the fill limit of returning zones is updated. */
const FILL_INTERVAL_MS = 1_000;

/**
 * Numbers of attempts moved out of a zone and lost in it since it was taken out of service. Held in memory only: a new
 * leader counts only in zones that it takes out itself.
 */
export interface ZoneCounts {
    moved: number;
    lost: number;
}

/** Drains zones that are out of service and servers that are leaving, and refills returning zones. */
export class ZoneOperations {
    readonly #decision: Decision;
    readonly #view: WorkView;
    readonly #attempts: Attempts;
    readonly #handover: Handover;
    readonly #counts = new Map<string, ZoneCounts>();
    #nextFillMs = 0;

    constructor(decision: Decision, view: WorkView, attempts: Attempts, handover: Handover) {
        this.#decision = decision;
        this.#view = view;
        this.#attempts = attempts;
        this.#handover = handover;
    }

    /** Passes a change of a zone's record to the policies. */
    zoneChanged(name: string, zone: AvailabilityZone | undefined): void {
        const { policies, nowMs } = this.#decision;
        if (zone?.state === ZoneState.OUT_OF_SERVICE) {
            policies.zone.startDrain(name, zone.drainDeadlineMs, nowMs);
        }
        if (zone?.state === ZoneState.RETURNING) {
            policies.zone.startRefill(name, nowMs);
        }
        this.#view.refreshZone(name);
    }

    /** Takes a zone out of service: nothing starts there any more, and attempts that have not started are stopped. */
    takeOut(name: string, drainWithinMs: number): void {
        const { nowMs, settings } = this.#decision;
        const drainMs = drainWithinMs > 0 ? drainWithinMs : settings.defaultDrainMs;
        this.#counts.set(name, { moved: 0, lost: 0 });
        this.#recordZoneState(name, ZoneState.OUT_OF_SERVICE, nowMs + drainMs);
        for (const id of this.#view.serversInZone(name)) {
            this.#stopUnstarted(id);
        }
    }

    bringBack(name: string): void {
        this.#recordZoneState(name, ZoneState.RETURNING, 0);
    }

    tick(): void {
        const { policies, nowMs, state } = this.#decision;
        for (const name of policies.zone.takeRefilledZones(nowMs)) {
            if (state.zoneState(name) === ZoneState.RETURNING) {
                this.#recordZoneState(name, ZoneState.IN_SERVICE, 0);
            }
        }
        if (nowMs >= this.#nextFillMs) {
            this.#nextFillMs = nowMs + FILL_INTERVAL_MS;
            this.#zonesInState(ZoneState.RETURNING).forEach(name => this.#view.refreshZone(name));
        }
        this.#drain();
    }

    counts(name: string): ZoneCounts {
        return this.#counts.get(name) ?? { moved: 0, lost: 0 };
    }

    /** Counts the attempts that were moved out of a zone that is out of service. */
    jobChanged(before: Job | undefined, after: Job | undefined): void {
        const previous = heldAttempt(before);
        if (previous === undefined || heldAttempt(after) !== undefined) {
            return;
        }
        const zone = this.#decision.state.backendServer(previous.backendServerId)?.availabilityZone ?? "";
        const counts = this.#counts.get(zone);
        if (counts !== undefined && this.#decision.state.zoneState(zone) === ZoneState.OUT_OF_SERVICE) {
            counts.moved += Number(previous.stopReason === Reason.ZONE_OUT_OF_SERVICE);
        }
    }

    /** Counts the attempts that were lost in a zone since it was taken out of service. */
    attemptEnded(attempt: Attempt, end: AttemptEnd): void {
        const zone = this.#decision.state.backendServer(attempt.backendServerId)?.availabilityZone ?? "";
        const counts = this.#counts.get(zone);
        if (counts !== undefined && end === AttemptEnd.LOST) {
            counts.lost += 1;
        }
    }

    #recordZoneState(name: string, state: ZoneState, drainDeadlineMs: number): void {
        const { nowMs } = this.#decision;
        const availabilityZone = create(AvailabilityZoneSchema, { name, state, changedAtMs: nowMs, drainDeadlineMs });
        const revision = this.#decision.state.revision + 1;
        this.#decision.record({ case: "zoneChanged", value: { revision, availabilityZone } });
    }

    #stopUnstarted(backendServerId: string): void {
        const { state } = this.#decision;
        for (const key of [...state.useOfBackendServer(backendServerId).jobKeys]) {
            const job = state.job(key);
            if (job !== undefined && heldAttempt(job)?.state === AttemptState.ASSIGNED) {
                this.#attempts.stop(
                    job,
                    Reason.ZONE_OUT_OF_SERVICE,
                    "Not started there: the zone went out of service.",
                );
            }
        }
    }

    #zonesInState(zoneState: ZoneState): string[] {
        return [...this.#decision.state.zones()].filter(zone => zone.state === zoneState).map(zone => zone.name);
    }

    #drain(): void {
        const { policies, nowMs, state } = this.#decision;
        const draining = new Set(
            this.#zonesInState(ZoneState.OUT_OF_SERVICE).flatMap(name => this.#view.serversInZone(name)),
        );
        this.#view.leavingServers().forEach(id => draining.add(id));
        const tasks = [...draining].flatMap(id => this.#view.tasksOn(id)).filter(canBeMoved);
        if (tasks.length === 0) {
            return;
        }
        for (const taskKey of policies.zone.selectTasksToStop(tasks, nowMs)) {
            const { jobKey } = parseTaskKey(taskKey);
            const job = state.job(jobKey);
            const task = this.#view.task(jobKey);
            if (job?.state === JobState.ACTIVE && task?.taskKey === taskKey) {
                this.#move(jobKey, job, task);
            }
        }
    }

    #move(key: string, job: Job, task: PlacedTask): void {
        const { state } = this.#decision;
        const id = heldAttempt(job)?.backendServerId ?? "";
        const zone = state.backendServer(id)?.availabilityZone ?? "";
        const isZoneOut = state.zoneState(zone) === ZoneState.OUT_OF_SERVICE;
        const reason = isZoneOut ? Reason.ZONE_OUT_OF_SERVICE : Reason.EVICTED;
        if (task.workKind === WorkKind.STANDING) {
            this.#handover.begin(key, job, reason);
            return;
        }
        const cause = isZoneOut ? `zone ${zone} is out of service` : `${id} is leaving`;
        this.#attempts.stop(job, reason, `Moved away because ${cause}.`);
    }
}

/** A latency-critical request that must not be repeated would be lost by a move, so it runs to its end. */
const canBeMoved = (task: PlacedTask): boolean =>
    !task.stopping && (task.workKind !== WorkKind.LATENCY_CRITICAL || task.repeatable);

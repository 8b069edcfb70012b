import { HealthState } from "@waxwingspread/protocol";
import type { HealthChange, HealthPolicy } from "./types.js";

/** Parameters of the {@link HealthTracker}. */
export interface HealthTrackerParameters {
    /** Consecutive failures of different jobs after which a server is quarantined. */
    failuresToQuarantine: number;
    /** The same limit for a server that is recovering. */
    failuresWhileRecovering: number;
    /** Upper bound on the part of the fleet that is quarantined or probed; at least one server is allowed. */
    maximumQuarantinedRatio: number;
    /** Time until the first probe; doubled with each further quarantine until the server is healthy. */
    firstQuarantineMs: number;
    maximumQuarantineMs: number;
    /** Part of the slots that may be used in each step of the recovery; all of them after the last step. */
    recoverySlotRatios: readonly number[];
    /** Successful tasks needed to complete each step of the recovery. */
    successesPerStep: number;
}

/** Defaults, as specified in section 6.3 of the design. */
export const HEALTH_TRACKER_DEFAULTS: HealthTrackerParameters = {
    failuresToQuarantine: 3,
    failuresWhileRecovering: 2,
    maximumQuarantinedRatio: 0.2,
    firstQuarantineMs: 10_000,
    maximumQuarantineMs: 600_000,
    recoverySlotRatios: [0.25, 0.5],
    successesPerStep: 2,
};

/** Bounds the recorded job keys, since a server that waits for quarantine may fail any number of jobs. */
const MAXIMUM_FAILED_JOBS = 64;

interface TrackedServer {
    backendServerId: string;
    slots: number;
    health: HealthState;
    consecutiveFailures: number;
    /** Jobs that caused the consecutive failures; repeated failures of a job count once. */
    failedJobs: Set<string>;
    /** Number of quarantines since the server was last healthy. */
    quarantines: number;
    probeAtMs: number | undefined;
    recoveryStep: number;
    successes: number;
}

/**
 * Tracks the health of servers. Consecutive failures of different jobs, which distinguish a faulty server from a faulty
 * job, lead to quarantine; a server that passes a probe regains its slots in steps.
 */
export class HealthTracker implements HealthPolicy {
    readonly #parameters: HealthTrackerParameters;
    readonly #servers = new Map<string, TrackedServer>();
    /** Servers that are quarantined or being probed. */
    readonly #suspended = new Set<TrackedServer>();
    /** Servers that are due for quarantine but would exceed the bound for the fleet. */
    readonly #awaitingQuarantine = new Set<TrackedServer>();

    constructor(parameters: HealthTrackerParameters = HEALTH_TRACKER_DEFAULTS) {
        this.#parameters = parameters;
    }

    /**
     * Adds a server or updates its slots. A server that is registered as quarantined, for example by a new leader, is
     * probed `firstQuarantineMs` after the next call of {@link applyDueChanges}.
     */
    register(backendServerId: string, slots: number, health: HealthState, consecutiveFailures: number): void {
        const known = this.#servers.get(backendServerId);
        if (known !== undefined) {
            known.slots = slots;
            return;
        }
        const server: TrackedServer = {
            backendServerId,
            slots,
            health: health === HealthState.UNSPECIFIED ? HealthState.HEALTHY : health,
            consecutiveFailures,
            failedJobs: new Set(),
            quarantines: health === HealthState.HEALTHY || health === HealthState.UNSPECIFIED ? 0 : 1,
            probeAtMs: undefined,
            recoveryStep: 0,
            successes: 0,
        };
        this.#servers.set(backendServerId, server);
        if (this.#isSuspended(server)) {
            this.#suspended.add(server);
        }
    }

    unregister(backendServerId: string): void {
        const server = this.#servers.get(backendServerId);
        if (server !== undefined) {
            this.#suspended.delete(server);
            this.#awaitingQuarantine.delete(server);
            this.#servers.delete(backendServerId);
        }
    }

    failed(backendServerId: string, jobKey: string, nowMs: number): HealthChange | undefined {
        const server = this.#servers.get(backendServerId);
        if (server === undefined || server.health === HealthState.QUARANTINED || server.failedJobs.has(jobKey)) {
            return undefined;
        }
        if (server.failedJobs.size < MAXIMUM_FAILED_JOBS) {
            server.failedJobs.add(jobKey);
        }
        server.consecutiveFailures += 1;
        server.successes = 0;
        if (server.health === HealthState.PROBING) {
            return this.#quarantine(server, nowMs);
        }
        const { failuresToQuarantine, failuresWhileRecovering } = this.#parameters;
        const isRecovering = server.health === HealthState.RECOVERING;
        if (server.consecutiveFailures < (isRecovering ? failuresWhileRecovering : failuresToQuarantine)) {
            return undefined;
        }
        if (this.#suspended.size >= this.#maximumSuspended()) {
            this.#awaitingQuarantine.add(server);
            return undefined;
        }
        return this.#quarantine(server, nowMs);
    }

    succeeded(backendServerId: string, unusedNowMs: number): HealthChange | undefined {
        const server = this.#servers.get(backendServerId);
        if (server === undefined || server.health === HealthState.QUARANTINED) {
            return undefined;
        }
        server.consecutiveFailures = 0;
        server.failedJobs.clear();
        this.#awaitingQuarantine.delete(server);
        if (server.health === HealthState.PROBING) {
            this.#suspended.delete(server);
            return this.#recover(server, 0);
        }
        if (server.health !== HealthState.RECOVERING) {
            return undefined;
        }
        server.successes += 1;
        return server.successes < this.#parameters.successesPerStep
            ? undefined
            : this.#recover(server, server.recoveryStep + 1);
    }

    applyDueChanges(nowMs: number): HealthChange[] {
        const changes: HealthChange[] = [];
        for (const server of this.#suspended) {
            if (server.health !== HealthState.QUARANTINED) {
                continue;
            }
            server.probeAtMs ??= nowMs + this.#parameters.firstQuarantineMs;
            if (server.probeAtMs <= nowMs) {
                server.health = HealthState.PROBING;
                server.failedJobs.clear();
                changes.push(this.#toHealthChange(server));
            }
        }
        for (const server of this.#awaitingQuarantine) {
            if (this.#suspended.size >= this.#maximumSuspended()) {
                break;
            }
            changes.push(this.#quarantine(server, nowMs));
        }
        return changes;
    }

    /** Returns zero for unknown servers. */
    slotLimit(backendServerId: string): number {
        const server = this.#servers.get(backendServerId);
        return server === undefined ? 0 : this.#slotLimitOf(server);
    }

    #quarantine(server: TrackedServer, nowMs: number): HealthChange {
        const { firstQuarantineMs, maximumQuarantineMs } = this.#parameters;
        server.health = HealthState.QUARANTINED;
        server.probeAtMs = nowMs + Math.min(maximumQuarantineMs, firstQuarantineMs * 2 ** server.quarantines);
        server.quarantines += 1;
        this.#awaitingQuarantine.delete(server);
        this.#suspended.add(server);
        return this.#toHealthChange(server);
    }

    #recover(server: TrackedServer, step: number): HealthChange {
        server.successes = 0;
        server.recoveryStep = step;
        if (step < this.#parameters.recoverySlotRatios.length) {
            server.health = HealthState.RECOVERING;
        }
        else {
            server.health = HealthState.HEALTHY;
            server.quarantines = 0;
        }
        return this.#toHealthChange(server);
    }

    #toHealthChange(server: TrackedServer): HealthChange {
        return {
            backendServerId: server.backendServerId,
            health: server.health,
            consecutiveFailures: server.consecutiveFailures,
            slotLimit: this.#slotLimitOf(server),
        };
    }

    #slotLimitOf(server: TrackedServer): number {
        switch (server.health) {
            case HealthState.QUARANTINED:
                return 0;
            case HealthState.PROBING:
                return 1;
            case HealthState.RECOVERING:
                return Math.max(
                    1,
                    Math.floor(server.slots * (this.#parameters.recoverySlotRatios[server.recoveryStep] ?? 1)),
                );
            default:
                return server.slots;
        }
    }

    #isSuspended(server: TrackedServer): boolean {
        return server.health === HealthState.QUARANTINED || server.health === HealthState.PROBING;
    }

    #maximumSuspended(): number {
        return Math.max(1, Math.floor(this.#servers.size * this.#parameters.maximumQuarantinedRatio));
    }
}

import { HealthState } from "@waxwingspread/protocol";
import type { HealthChange, HealthPolicy } from "../types.js";

const FAILURES_BEFORE_QUARANTINE = 3;
const MAXIMUM_QUARANTINED_RATIO = 0.2;
const QUARANTINE_MS = 30_000;

interface ServerHealth {
    slots: number;
    health: HealthState;
    failures: number;
    failedJobs: Set<string>;
    quarantinedUntilMs: number;
}

/** Quarantines a server after three consecutive failures of different jobs; one successful probe restores it. */
export class BasicHealthPolicy implements HealthPolicy {
    readonly #servers = new Map<string, ServerHealth>();

    register(backendServerId: string, slots: number, health: HealthState, consecutiveFailures: number): void {
        const { quarantinedUntilMs = 0, failedJobs = new Set<string>() } = this.#servers.get(backendServerId) ?? {};
        const failures = consecutiveFailures;
        this.#servers.set(backendServerId, { slots, health, failures, failedJobs, quarantinedUntilMs });
    }

    unregister(backendServerId: string): void {
        this.#servers.delete(backendServerId);
    }

    failed(backendServerId: string, jobKey: string, nowMs: number): HealthChange | undefined {
        const server = this.#servers.get(backendServerId);
        if (server === undefined || server.health === HealthState.QUARANTINED || server.failedJobs.has(jobKey)) {
            return undefined;
        }
        server.failedJobs.add(jobKey);
        server.failures += 1;
        const isFaulty = server.health === HealthState.PROBING || server.failures >= FAILURES_BEFORE_QUARANTINE;
        if (isFaulty && this.#canQuarantine()) {
            server.health = HealthState.QUARANTINED;
            server.quarantinedUntilMs = nowMs + QUARANTINE_MS;
        }
        return this.#toHealthChange(backendServerId, server);
    }

    succeeded(backendServerId: string): HealthChange | undefined {
        const server = this.#servers.get(backendServerId);
        if (server === undefined || server.health === HealthState.QUARANTINED) {
            return undefined;
        }
        const hasChanged = server.failures > 0 || server.health !== HealthState.HEALTHY;
        server.failures = 0;
        server.failedJobs.clear();
        server.health = HealthState.HEALTHY;
        return hasChanged ? this.#toHealthChange(backendServerId, server) : undefined;
    }

    applyDueChanges(nowMs: number): HealthChange[] {
        const changes: HealthChange[] = [];
        for (const [id, server] of this.#servers) {
            if (server.health === HealthState.QUARANTINED && nowMs >= server.quarantinedUntilMs) {
                server.health = HealthState.PROBING;
                server.failedJobs.clear();
                changes.push(this.#toHealthChange(id, server));
            }
        }
        return changes;
    }

    slotLimit(backendServerId: string): number {
        const server = this.#servers.get(backendServerId);
        const limits = new Map([[HealthState.QUARANTINED, 0], [HealthState.PROBING, 1]]);
        return server === undefined ? 0 : limits.get(server.health) ?? server.slots;
    }

    #canQuarantine(): boolean {
        const quarantined = [...this.#servers.values()].filter(({ health }) => health === HealthState.QUARANTINED);
        return quarantined.length < Math.max(1, Math.floor(this.#servers.size * MAXIMUM_QUARANTINED_RATIO));
    }

    #toHealthChange(backendServerId: string, { health, failures }: ServerHealth): HealthChange {
        const slotLimit = this.slotLimit(backendServerId);
        return { backendServerId, health, consecutiveFailures: failures, slotLimit };
    }
}

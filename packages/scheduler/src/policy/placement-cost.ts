import { WorkKind } from "@waxwingspread/protocol";
import type { ClassProfiles } from "./class-profiles.js";
import type { SlowdownSource } from "./interference-model.js";
import type { ClassOnServer, ServerRecord } from "./server-record.js";
import type { TaskLoads } from "./task-loads.js";
import type { PlacedTask, PlacementQuery } from "./types.js";

/** Parameters of the {@link PlacementCost}. All weights are relative to the throughput of one batch slot. */
export interface PlacementCostParameters {
    /** Cost of each unit of slowdown of a latency-critical task. */
    urgentWeight: number;
    /** Cost of the squared excess over `riskRatio`, for latency-critical tasks. */
    targetWeight: number;
    /** Part of the slowdown permitted by the latency target above which a task is at risk of missing the target. */
    riskRatio: number;
    /** Cost of the throughput that a standing task loses to interference. */
    standingWeight: number;
    /** Number of standard deviations added to the expected slowdown of a latency-critical task. */
    cautionFactor: number;
    /** Cost reduction for batch on servers that are in use already, multiplied by the share of their slots in use. */
    packingWeight: number;
    /** Cost of sharing a zone with another task of the class, for standing work; sharing a rack costs half of it. */
    spreadWeight: number;
}

/** Defaults; docs/policy.md states the reasons for the values. */
export const PLACEMENT_COST_DEFAULTS: PlacementCostParameters = {
    urgentWeight: 2,
    targetWeight: 30,
    riskRatio: 0.55,
    standingWeight: 0.1,
    cautionFactor: 0.5,
    packingWeight: 0.05,
    spreadWeight: 4,
};

/** Estimated effect of placing a task on one server. */
export interface PlacementEstimate {
    /** Increase of the cost of all tasks on the server, including the cost of the new task. */
    cost: number;
    /** Expected slowdown factor of the new task. */
    expectedSlowdown: number;
}

/** Age after which the expected slowdowns of a server's tasks are recomputed with the current coefficients. */
const SLOWDOWN_REFRESH_MS = 2_000;
/** Age after which the loads of a server's tasks are read again, which takes time in proportion to the tasks. */
const LOAD_REFRESH_MS = 2_000;

/** Estimates the cost of a placement from the expected slowdown of the new task and of its neighbours. */
export class PlacementCost {
    readonly #source: SlowdownSource;
    readonly #profiles: ClassProfiles;
    readonly #loads: TaskLoads;
    readonly #parameters: PlacementCostParameters;

    constructor(
        source: SlowdownSource,
        profiles: ClassProfiles,
        loads: TaskLoads,
        parameters: PlacementCostParameters,
    ) {
        this.#source = source;
        this.#profiles = profiles;
        this.#loads = loads;
        this.#parameters = parameters;
    }

    /** Estimates the cost of placing the task on the server; does not check that it fits. */
    estimate(server: ServerRecord, query: PlacementQuery, nowMs: number): PlacementEstimate {
        const isLatencyCritical = query.workKind === WorkKind.LATENCY_CRITICAL;
        let expectedSlowdown = 1;
        let variance = 0;
        let cost = 0;
        for (const entry of this.#currentClasses(server, nowMs)) {
            expectedSlowdown += entry.load * this.#source.coefficient(query.classKey, entry.classKey, nowMs);
            if (isLatencyCritical) {
                variance += entry.load ** 2 * this.#source.variance(query.classKey, entry.classKey, nowMs);
            }
            const added = this.#source.coefficient(entry.classKey, query.classKey, nowMs);
            const after = this.#costOf(entry.workKind, entry.classKey, (entry.slowdown ?? 1) + added);
            cost += entry.count * (after - entry.cost);
        }
        const upperSlowdown = isLatencyCritical
            ? expectedSlowdown + this.#parameters.cautionFactor * Math.sqrt(variance)
            : expectedSlowdown;
        cost += this.#costOf(query.workKind, query.classKey, upperSlowdown);
        return { cost: cost + this.#preferenceCost(server, query), expectedSlowdown };
    }

    /** Returns the slowdown factor expected for the class on the server without the given tasks. */
    slowdownWithout(
        server: ServerRecord,
        query: PlacementQuery,
        excludedTasks: readonly PlacedTask[],
        nowMs: number,
    ): number {
        let slowdown = 1;
        for (const entry of this.#currentClasses(server, nowMs)) {
            slowdown += entry.load * this.#source.coefficient(query.classKey, entry.classKey, nowMs);
        }
        for (const task of excludedTasks) {
            slowdown -= this.#loads.loadOf(task) * this.#source.coefficient(query.classKey, task.classKey, nowMs);
        }
        return Math.max(1, slowdown);
    }

    #costOf(workKind: WorkKind, classKey: string, slowdown: number): number {
        if (workKind === WorkKind.LATENCY_CRITICAL) {
            const { urgentWeight, targetWeight, riskRatio } = this.#parameters;
            const excessRatio = Math.max(0, slowdown / this.#profiles.slackRatio(classKey) - riskRatio);
            return urgentWeight * (slowdown - 1) + targetWeight * excessRatio * excessRatio;
        }
        const lostThroughput = 1 - 1 / slowdown;
        return workKind === WorkKind.STANDING ? this.#parameters.standingWeight * lostThroughput : lostThroughput;
    }

    #preferenceCost(server: ServerRecord, query: PlacementQuery): number {
        if (query.workKind === WorkKind.BATCH) {
            return -this.#parameters.packingWeight * server.usedSlotShare();
        }
        if (query.avoidedDomains.length === 0) {
            return 0;
        }
        const sharesZone = query.avoidedDomains.includes(server.view.availabilityZone);
        const sharesRack = query.avoidedDomains.includes(server.view.rack);
        return this.#parameters.spreadWeight * ((sharesZone ? 1 : 0) + (sharesRack ? 0.5 : 0));
    }

    /**
     * Returns the classes on a server with their expected slowdowns. These are recomputed when they are too old;
     * otherwise only the changes since then are added.
     */
    #currentClasses(server: ServerRecord, nowMs: number): Iterable<ClassOnServer> {
        if (nowMs - server.loadsUpdatedAtMs >= LOAD_REFRESH_MS) {
            this.#refreshLoads(server, nowMs);
        }
        if (nowMs - server.slowdownsComputedAtMs >= SLOWDOWN_REFRESH_MS) {
            server.slowdownsComputedAtMs = nowMs;
            server.changes = [];
            for (const entry of server.classes.values()) {
                this.#computeSlowdown(server, entry, nowMs);
            }
        }
        else if (server.changes.length > 0) {
            this.#applyChanges(server, nowMs);
        }
        return server.classes.values();
    }

    #applyChanges(server: ServerRecord, nowMs: number): void {
        for (const entry of server.classes.values()) {
            if (entry.slowdown === undefined) {
                this.#computeSlowdown(server, entry, nowMs);
                continue;
            }
            for (const change of server.changes) {
                entry.slowdown += change.load * this.#source.coefficient(entry.classKey, change.classKey, nowMs);
            }
            entry.cost = this.#costOf(entry.workKind, entry.classKey, entry.slowdown);
        }
        server.changes = [];
    }

    #computeSlowdown(server: ServerRecord, entry: ClassOnServer, nowMs: number): void {
        // Excludes the task's own contribution, since a task does not slow itself.
        const ownContribution = entry.load / entry.count
            * this.#source.coefficient(entry.classKey, entry.classKey, nowMs);
        let slowdown = 1 - ownContribution;
        for (const other of server.classes.values()) {
            slowdown += other.load * this.#source.coefficient(entry.classKey, other.classKey, nowMs);
        }
        entry.slowdown = slowdown;
        entry.cost = this.#costOf(entry.workKind, entry.classKey, slowdown);
    }

    #refreshLoads(server: ServerRecord, nowMs: number): void {
        for (const entry of server.classes.values()) {
            entry.load = 0;
        }
        for (const task of server.tasks.values()) {
            const entry = server.classes.get(task.classKey);
            if (entry !== undefined) {
                entry.load += this.#loads.loadOf(task);
            }
        }
        server.loadsUpdatedAtMs = nowMs;
        server.slowdownsComputedAtMs = Number.NEGATIVE_INFINITY;
    }
}

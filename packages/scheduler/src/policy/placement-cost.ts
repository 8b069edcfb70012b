import { WorkKind } from "@waxwingspread/protocol";
import type { ClassProfiles } from "./class-profiles.js";
import type { SlowdownSource } from "./interference-model.js";
import type { ServerRecord } from "./server-record.js";
import type { TaskLoads } from "./task-loads.js";
import type { PlacedTask, PlacementQuery } from "./types.js";

/** Parameters of the {@link PlacementCost}. All weights are relative to the work of one batch slot. */
export interface PlacementCostParameters {
    /** Cost of each unit of slowdown of a latency-critical task. */
    urgentWeight: number;
    /** Cost of a latency-critical task beyond the risk ratio, squared. */
    targetWeight: number;
    /** Part of the slowdown permitted by the target from which on the task is at risk. */
    riskRatio: number;
    standingWeight: number;
    /** Standard deviations added to the expected slowdown of a latency-critical task. */
    cautionFactor: number;
    /** Gain of using servers that are in use already, for batch. */
    packingWeight: number;
    /** Cost of the zone or the rack of another task of the class, for standing work. */
    spreadWeight: number;
}

/** Defaults; docs/policy.md states how they were chosen. */
export const PLACEMENT_COST_DEFAULTS: PlacementCostParameters = {
    urgentWeight: 1,
    targetWeight: 12,
    riskRatio: 0.7,
    standingWeight: 0.1,
    cautionFactor: 0.5,
    packingWeight: 0.05,
    spreadWeight: 4,
};

/** What placing the queried task on one server would mean. */
export interface PlacementEstimate {
    /** Added cost of all tasks on the server, that of the new one included. */
    cost: number;
    expectedSlowdown: number;
}

/** Age at which the expected slowdowns of a server's tasks are computed again. */
const CACHE_MS = 1_000;

/** Adds up how a placement changes the slowdown of the new task and of its neighbours. */
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

    estimate(server: ServerRecord, query: PlacementQuery, nowMs: number): PlacementEstimate {
        const slowdowns = this.#slowdowns(server, nowMs);
        let expectedSlowdown = 1;
        let variance = 0;
        let cost = 0;
        for (const task of server.tasks.values()) {
            const load = this.#loads.loadOf(task);
            expectedSlowdown += load * this.#source.coefficient(query.classKey, task.classKey, nowMs);
            variance += load * load * this.#source.variance(query.classKey, task.classKey, nowMs);
            const before = slowdowns.get(task.taskKey) ?? 1;
            const added = this.#source.coefficient(task.classKey, query.classKey, nowMs);
            cost += this.#costOf(task.workKind, task.classKey, before + added)
                - this.#costOf(task.workKind, task.classKey, before);
        }
        const cautious = query.workKind === WorkKind.LATENCY_CRITICAL
            ? expectedSlowdown + this.#parameters.cautionFactor * Math.sqrt(variance)
            : expectedSlowdown;
        cost += this.#costOf(query.workKind, query.classKey, cautious);
        return { cost: cost + this.#preference(server, query), expectedSlowdown };
    }

    /** Slowdown that the class would have on the server without the given tasks. */
    slowdownWithout(
        server: ServerRecord,
        query: PlacementQuery,
        without: readonly PlacedTask[],
        nowMs: number,
    ): number {
        let slowdown = 1;
        for (const task of server.tasks.values()) {
            if (!without.includes(task)) {
                slowdown += this.#loads.loadOf(task) * this.#source.coefficient(query.classKey, task.classKey, nowMs);
            }
        }
        return slowdown;
    }

    #costOf(workKind: WorkKind, classKey: string, slowdown: number): number {
        if (workKind === WorkKind.LATENCY_CRITICAL) {
            const { urgentWeight, targetWeight, riskRatio } = this.#parameters;
            const beyond = Math.max(0, slowdown / this.#profiles.slackRatio(classKey) - riskRatio);
            return urgentWeight * (slowdown - 1) + targetWeight * beyond * beyond;
        }
        const lost = 1 - 1 / slowdown;
        return workKind === WorkKind.STANDING ? this.#parameters.standingWeight * lost : lost;
    }

    #preference(server: ServerRecord, query: PlacementQuery): number {
        if (query.workKind === WorkKind.BATCH) {
            return -this.#parameters.packingWeight * server.slotShare();
        }
        if (query.spreadAway.length === 0) {
            return 0;
        }
        const sharesZone = query.spreadAway.includes(server.view.availabilityZone);
        const sharesRack = query.spreadAway.includes(server.view.rack);
        return this.#parameters.spreadWeight * ((sharesZone ? 1 : 0) + (sharesRack ? 0.5 : 0));
    }

    #slowdowns(server: ServerRecord, nowMs: number): Map<string, number> {
        const { cache } = server;
        if (cache !== undefined && nowMs - cache.computedAtMs < CACHE_MS) {
            return cache.slowdowns;
        }
        const slowdowns = new Map<string, number>();
        for (const task of server.tasks.values()) {
            let slowdown = 1;
            for (const other of server.tasks.values()) {
                if (other !== task) {
                    slowdown += this.#loads.loadOf(other)
                        * this.#source.coefficient(task.classKey, other.classKey, nowMs);
                }
            }
            slowdowns.set(task.taskKey, slowdown);
        }
        server.cache = { computedAtMs: nowMs, slowdowns };
        return slowdowns;
    }
}

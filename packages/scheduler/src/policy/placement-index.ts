import { WorkKind } from "@waxwingspread/protocol";
import { addAmounts, fitsWithin, RESOURCE_NAMES, subtractAmounts, zeroAmounts } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { ClassProfiles } from "./class-profiles.js";
import { LATENCY_CRITICAL_HEADROOM_DEFAULTS, LatencyCriticalHeadroom } from "./latency-critical-headroom.js";
import type { LatencyCriticalHeadroomParameters } from "./latency-critical-headroom.js";
import { MaxSegmentTree } from "./max-segment-tree.js";
import type { PlacementCost } from "./placement-cost.js";
import { evictionCost, selectVictims } from "./preemption-victims.js";
import { FREE_CAPACITY_LEVELS, moveToList, ServerRecord } from "./server-record.js";
import type {
    PlacedTask,
    Placement,
    PlacementPolicy,
    PlacementQuery,
    Preemption,
    ServerView,
    TaskKey,
} from "./types.js";

/** Parameters of the {@link PlacementIndex}. */
export interface PlacementIndexParameters {
    /** Approximate number of servers that are compared for one decision, divided evenly among the zones. */
    maximumCandidates: number;
    /** Upper bound on the servers that are examined for one decision, including those that do not fit. */
    maximumProbes: number;
    /** Cost above which batch waits rather than slow other tasks; running without interference gains 1. */
    batchCostLimit: number;
    headroom: LatencyCriticalHeadroomParameters;
}

/** Defaults; docs/policy.md states the reasons for the values. */
export const PLACEMENT_INDEX_DEFAULTS: PlacementIndexParameters = {
    maximumCandidates: 24,
    maximumProbes: 64,
    batchCostLimit: 1,
    headroom: LATENCY_CRITICAL_HEADROOM_DEFAULTS,
};

/** Upper bound on the tree nodes visited if no sampled server fits. */
const MAXIMUM_TREE_VISITS = 256;

interface ZoneLists {
    /** Servers with free slots, by level of free capacity. */
    levels: ServerRecord[][];
    /** Servers with batch tasks that may be evicted. */
    evictable: ServerRecord[];
}

/** Returns the columns of a row in the trees: the amounts of each resource and one slot. */
const toRow = (amounts: ResourceAmounts): number[] => [
    amounts.cpuMillicores,
    amounts.memoryMebibytes,
    amounts.accelerators,
    1,
];

/** Indexes servers by zone and free capacity, so that each decision examines a bounded number of them. */
export class PlacementIndex implements PlacementPolicy {
    readonly #cost: PlacementCost;
    readonly #profiles: ClassProfiles;
    readonly #parameters: PlacementIndexParameters;
    readonly #headroom: LatencyCriticalHeadroom;
    readonly #servers = new Map<string, ServerRecord>();
    /** Servers by their row in the trees. */
    readonly #rows: (ServerRecord | undefined)[] = [];
    readonly #unusedRows: number[] = [];
    readonly #zones = new Map<string, ZoneLists>();
    readonly #probing = new Map<string, ServerRecord>();
    /** Trees over the free capacity, the free and evictable capacity, and the total capacity of each server. */
    readonly #freeTree = new MaxSegmentTree(4);
    readonly #evictableTree = new MaxSegmentTree(4);
    readonly #capacityTree = new MaxSegmentTree(4);
    /** Total free capacity of the servers that are open and have free slots. */
    readonly #openFreeCapacity = zeroAmounts();
    readonly #largestAmounts = zeroAmounts();
    #openFreeSlots = 0;
    /** Rotates the order of zones and servers, so that decisions are spread without randomness. */
    #decisionCount = 0;

    constructor(cost: PlacementCost, profiles: ClassProfiles, parameters = PLACEMENT_INDEX_DEFAULTS) {
        this.#cost = cost;
        this.#profiles = profiles;
        this.#parameters = parameters;
        this.#headroom = new LatencyCriticalHeadroom(parameters.headroom);
    }

    /** Largest amount of each resource on any server so far; undefined before the first server. */
    get largestCapacity(): ResourceAmounts | undefined {
        return this.#largestAmounts.cpuMillicores > 0 ? this.#largestAmounts : undefined;
    }

    upsertServer(view: ServerView): void {
        const record = this.#getOrCreateRecord(view.backendServerId);
        this.#removeFromIndex(record);
        record.view = view;
        for (const name of RESOURCE_NAMES) {
            this.#largestAmounts[name] = Math.max(this.#largestAmounts[name], view.capacity[name]);
        }
        this.#capacityTree.set(record.row, toRow(view.capacity));
        this.#addToIndex(record);
    }

    removeServer(backendServerId: string): void {
        const record = this.#servers.get(backendServerId);
        if (record === undefined) {
            return;
        }
        this.#removeFromIndex(record);
        for (const task of record.tasks.values()) {
            this.#headroom.taskRemoved(task);
        }
        this.#capacityTree.clear(record.row);
        this.#rows[record.row] = undefined;
        this.#unusedRows.push(record.row);
        this.#servers.delete(backendServerId);
    }

    /** Adds a task, or replaces the one with the same key, for example when it is asked to stop. */
    occupy(backendServerId: string, task: PlacedTask): void {
        const record = this.#getOrCreateRecord(backendServerId);
        this.#removeFromIndex(record);
        const previous = record.removeTask(task.taskKey);
        if (previous !== undefined) {
            this.#headroom.taskRemoved(previous);
        }
        record.addTask(task);
        this.#headroom.taskAdded(task);
        this.#addToIndex(record);
    }

    release(backendServerId: string, taskKey: TaskKey): void {
        const record = this.#servers.get(backendServerId);
        if (record === undefined) {
            return;
        }
        this.#removeFromIndex(record);
        const task = record.removeTask(taskKey);
        if (task !== undefined) {
            this.#headroom.taskRemoved(task);
        }
        this.#addToIndex(record);
    }

    choose(query: PlacementQuery, nowMs: number): Placement | undefined {
        this.#profiles.setTarget(query.classKey, query.latencyTargetMs);
        this.#decisionCount += 1;
        const probe = query.repeatable ? this.#chooseProbe(query) : undefined;
        if (probe !== undefined) {
            return { backendServerId: probe.id, explanation: "probe of a server that was quarantined" };
        }
        if (query.workKind === WorkKind.BATCH && !this.#leavesHeadroom(query.reserved, nowMs)) {
            return undefined;
        }
        const candidates = this.#sampleCandidates(query);
        let best: ServerRecord | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        let bestSlowdown = 1;
        for (const record of candidates) {
            const { cost, expectedSlowdown } = this.#cost.estimate(record, query, nowMs);
            if (cost < bestCost || (cost === bestCost && best !== undefined && record.id < best.id)) {
                best = record;
                bestCost = cost;
                bestSlowdown = expectedSlowdown;
            }
        }
        if (best === undefined || (query.workKind === WorkKind.BATCH && bestCost > this.#parameters.batchCostLimit)) {
            return undefined;
        }
        const slowdown = bestSlowdown.toFixed(2);
        return {
            backendServerId: best.id,
            explanation: `least cost ${bestCost.toFixed(2)} of ${candidates.length}, expected slowdown ${slowdown}`,
        };
    }

    choosePreemption(query: PlacementQuery, nowMs: number): Preemption | undefined {
        this.#decisionCount += 1;
        let best: Preemption | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        for (const record of this.#samplePreemptionCandidates(query)) {
            const victims = selectVictims(record, query.reserved);
            if (victims === undefined) {
                continue;
            }
            const slowdown = this.#cost.slowdownWithout(record, query, victims, nowMs);
            const cost = evictionCost(victims, nowMs) + slowdown - 1;
            if (cost < bestCost || (cost === bestCost && best !== undefined && record.id < best.backendServerId)) {
                bestCost = cost;
                best = {
                    backendServerId: record.id,
                    victims: victims.map(victim => victim.taskKey),
                    explanation: `cheapest of the batch tasks compared, expected slowdown ${slowdown.toFixed(2)}`,
                };
            }
        }
        return best;
    }

    couldEverFit(reserved: ResourceAmounts): boolean {
        return this.#capacityTree.find(toRow(reserved), () => true, this.#rows.length * 4 + 4) !== undefined;
    }

    #chooseProbe(query: PlacementQuery): ServerRecord | undefined {
        for (const record of this.#probing.values()) {
            if (record.tasks.size === 0 && this.#fits(record, query)) {
                return record;
            }
        }
        return undefined;
    }

    #leavesHeadroom(reserved: ResourceAmounts, nowMs: number): boolean {
        const slots = Math.max(0, this.#headroom.slots(nowMs));
        const mean = this.#headroom.meanReserved();
        return this.#openFreeSlots - 1 >= slots
            && this.#openFreeCapacity.cpuMillicores - reserved.cpuMillicores >= slots * mean.cpuMillicores
            && this.#openFreeCapacity.memoryMebibytes - reserved.memoryMebibytes >= slots * mean.memoryMebibytes;
    }

    /**
     * Samples servers of each zone by level of free capacity: fullest first for batch, emptiest first for other work.
     * Falls back to a tree search if none of them fits.
     */
    #sampleCandidates(query: PlacementQuery): ServerRecord[] {
        const found: ServerRecord[] = [];
        let examined = 0;
        const zones = this.#zonesInOrder(query);
        const perZone = Math.max(2, Math.ceil(this.#parameters.maximumCandidates / Math.max(1, zones.length)));
        const perLevel = Math.max(1, Math.ceil(perZone / 3));
        for (const zone of zones) {
            let foundInZone = 0;
            for (let step = 0; step <= FREE_CAPACITY_LEVELS && foundInZone < perZone; step += 1) {
                const level = query.workKind === WorkKind.BATCH ? step : FREE_CAPACITY_LEVELS - step;
                const list = zone.levels[level] ?? [];
                const count = Math.min(perLevel, list.length, perZone - foundInZone);
                for (let taken = 0; taken < count && examined < this.#parameters.maximumProbes; taken += 1) {
                    examined += 1;
                    const record = list[(this.#decisionCount + taken) % list.length];
                    if (record !== undefined && this.#fits(record, query)) {
                        found.push(record);
                        foundInZone += 1;
                    }
                }
            }
        }
        return found.length > 0 ? found : this.#searchTree(this.#freeTree, query);
    }

    #samplePreemptionCandidates(query: PlacementQuery): ServerRecord[] {
        const found: ServerRecord[] = [];
        const zones = this.#zonesInOrder(query);
        const perZone = Math.max(2, Math.ceil(this.#parameters.maximumCandidates / Math.max(1, zones.length)));
        for (const { evictable } of zones) {
            for (let taken = 0; taken < Math.min(perZone, evictable.length); taken += 1) {
                const record = evictable[(this.#decisionCount + taken) % evictable.length];
                if (record !== undefined && this.#fitsAfterEviction(record, query)) {
                    found.push(record);
                }
            }
        }
        return found.length > 0 ? found : this.#searchTree(this.#evictableTree, query);
    }

    #searchTree(tree: MaxSegmentTree, query: PlacementQuery): ServerRecord[] {
        const row = tree.find(
            toRow(query.reserved),
            found => !query.excludedServerIds.includes(this.#rows[found]?.id ?? ""),
            MAXIMUM_TREE_VISITS,
        );
        const record = row === undefined ? undefined : this.#rows[row];
        return record === undefined ? [] : [record];
    }

    /** Returns zones without tasks of the class first, and rotates the order with each decision. */
    #zonesInOrder(query: PlacementQuery): ZoneLists[] {
        const names = [...this.#zones.keys()];
        const start = names.length === 0 ? 0 : this.#decisionCount % names.length;
        const rotated = [...names.slice(start), ...names.slice(0, start)];
        const preferred = rotated.filter(name => !query.avoidedDomains.includes(name));
        const others = rotated.filter(name => query.avoidedDomains.includes(name));
        return [...preferred, ...others].map(name => this.#getOrCreateZone(name));
    }

    #fits(record: ServerRecord, query: PlacementQuery): boolean {
        return record.view.placeable
            && record.freeSlots > 0
            && fitsWithin(query.reserved, record.free())
            && !query.excludedServerIds.includes(record.id);
    }

    #fitsAfterEviction(record: ServerRecord, query: PlacementQuery): boolean {
        const free = record.free();
        addAmounts(free, record.evictableAmounts);
        return record.freeSlots + record.evictableTaskCount > 0
            && fitsWithin(query.reserved, free)
            && !query.excludedServerIds.includes(record.id);
    }

    #addToIndex(record: ServerRecord): void {
        if (record.view.probing && record.view.placeable) {
            this.#probing.set(record.id, record);
        }
        if (!record.isOpen) {
            return;
        }
        const zone = this.#getOrCreateZone(record.view.availabilityZone);
        const free = record.free();
        const freeSlots = record.freeSlots;
        if (freeSlots > 0) {
            addAmounts(this.#openFreeCapacity, free);
            this.#openFreeSlots += freeSlots;
            moveToList(record, "bucket", zone.levels[record.freeCapacityLevel()]);
            this.#freeTree.set(record.row, [free.cpuMillicores, free.memoryMebibytes, free.accelerators, freeSlots]);
        }
        if (record.evictableTaskCount > 0) {
            moveToList(record, "evictionBucket", zone.evictable);
            this.#evictableTree.set(record.row, [
                free.cpuMillicores + record.evictableAmounts.cpuMillicores,
                free.memoryMebibytes + record.evictableAmounts.memoryMebibytes,
                free.accelerators + record.evictableAmounts.accelerators,
                freeSlots + record.evictableTaskCount,
            ]);
        }
    }

    /** Reverts {@link #addToIndex}; must be called before the record changes. */
    #removeFromIndex(record: ServerRecord): void {
        this.#probing.delete(record.id);
        if (record.bucket !== undefined) {
            addAmounts(this.#openFreeCapacity, subtractAmounts(record.view.capacity, record.used), -1);
            this.#openFreeSlots -= record.freeSlots;
            moveToList(record, "bucket", undefined);
            this.#freeTree.clear(record.row);
        }
        if (record.evictionBucket !== undefined) {
            moveToList(record, "evictionBucket", undefined);
            this.#evictableTree.clear(record.row);
        }
    }

    #getOrCreateRecord(backendServerId: string): ServerRecord {
        let record = this.#servers.get(backendServerId);
        if (record === undefined) {
            const row = this.#unusedRows.pop() ?? this.#rows.length;
            record = new ServerRecord(row, unannouncedServerView(backendServerId));
            this.#rows[row] = record;
            this.#servers.set(backendServerId, record);
        }
        return record;
    }

    #getOrCreateZone(name: string): ZoneLists {
        let zone = this.#zones.get(name);
        if (zone === undefined) {
            zone = { levels: Array.from({ length: FREE_CAPACITY_LEVELS + 1 }, () => []), evictable: [] };
            this.#zones.set(name, zone);
        }
        return zone;
    }
}

/** Returns the view of a server that holds tasks but has not announced itself yet, as after a change of leader. */
const unannouncedServerView = (backendServerId: string): ServerView => ({
    backendServerId,
    availabilityZone: "",
    rack: "",
    capacity: { $typeName: "waxwingspread.v1.Resources", cpuMillicores: 0, memoryMebibytes: 0, accelerators: 0 },
    slots: 0,
    placeable: false,
    slotLimit: 0,
    probing: false,
});

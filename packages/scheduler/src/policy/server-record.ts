import { WorkKind } from "@waxwingspread/protocol";
import { addAmounts, dominantShare, subtractAmounts, zeroAmounts } from "../state/resources.js";
import type { ResourceAmounts } from "../state/resources.js";
import type { ClassKey, PlacedTask, ServerView, TaskKey } from "./types.js";

/** Number of steps into which free capacity is divided, for grouping servers of similar free capacity. */
export const FREE_CAPACITY_LEVELS = 16;

/** Position of a server in one of the lists of the placement index. */
export interface ListPosition {
    list: ServerRecord[];
    index: number;
}

/** Tasks of one class on a server. */
export interface ClassOnServer {
    classKey: ClassKey;
    workKind: WorkKind;
    count: number;
    /** Sum of their loads, each relative to the usual load of the class (1 = usual). */
    load: number;
    /** Expected slowdown factor of each of the tasks; undefined until it is computed. */
    slowdown: number | undefined;
    /** Placement cost of one of the tasks at that slowdown. */
    cost: number;
}

/** Load that a task of a class added to or removed from a server since its slowdowns were computed. */
export interface ClassLoadChange {
    classKey: ClassKey;
    /** Negative if the task left. */
    load: number;
}

/** Number of changes beyond which the slowdowns of a server are recomputed in full instead of updated. */
const MAXIMUM_CHANGES = 16;

/** State that placement keeps for each backend server: its tasks, usage and expected slowdowns. */
export class ServerRecord {
    readonly tasks = new Map<TaskKey, PlacedTask>();
    readonly used = zeroAmounts();
    /** Capacity held by batch tasks that may be evicted. */
    readonly evictableAmounts = zeroAmounts();
    evictableTaskCount = 0;
    /** Position in the list of its zone and level of free capacity; undefined without free slots. */
    bucket: ListPosition | undefined;
    /** Position in the list of its zone's servers with evictable tasks. */
    evictionBucket: ListPosition | undefined;
    /** Time at which the loads were last updated from usage reports. */
    loadsUpdatedAtMs = Number.NEGATIVE_INFINITY;
    /** Time at which the slowdowns were last computed. */
    slowdownsComputedAtMs = Number.NEGATIVE_INFINITY;
    /** Changes since the slowdowns were computed; cleared when a full recomputation is due. */
    changes: ClassLoadChange[] = [];
    /** Updated with each task, so that the cost of a decision does not grow with the number of tasks on a server. */
    readonly classes = new Map<ClassKey, ClassOnServer>();

    constructor(readonly row: number, public view: ServerView) {}

    get id(): string {
        return this.view.backendServerId;
    }

    get freeSlots(): number {
        return Math.min(this.view.slots, this.view.slotLimit) - this.tasks.size;
    }

    /** True if the server is placeable and not being probed. */
    get isOpen(): boolean {
        return this.view.placeable && !this.view.probing;
    }

    free(): ResourceAmounts {
        return subtractAmounts(this.view.capacity, this.used);
    }

    /** Level of the scarcest free resource, slots included, from 0 (full) to {@link FREE_CAPACITY_LEVELS} (empty). */
    freeCapacityLevel(): number {
        const usedShare = Math.max(dominantShare(this.used, this.view.capacity), this.usedSlotShare());
        return Math.max(0, Math.floor((1 - usedShare) * FREE_CAPACITY_LEVELS));
    }

    /** Share of the slots that is in use; slots above the slot limit count as used. */
    usedSlotShare(): number {
        return this.view.slots > 0 ? 1 - this.freeSlots / this.view.slots : 1;
    }

    /** Adds a task, or replaces the one with the same key. */
    addTask(task: PlacedTask): void {
        this.removeTask(task.taskKey);
        this.tasks.set(task.taskKey, task);
        this.#updateUsage(task, 1);
    }

    /** Removes and returns a task; undefined if the server does not hold it. */
    removeTask(taskKey: TaskKey): PlacedTask | undefined {
        const task = this.tasks.get(taskKey);
        if (task !== undefined) {
            this.tasks.delete(taskKey);
            this.#updateUsage(task, -1);
        }
        return task;
    }

    #updateUsage(task: PlacedTask, sign: 1 | -1): void {
        this.#updateClass(task, sign);
        addAmounts(this.used, task.reserved, sign);
        if (task.workKind === WorkKind.BATCH && !task.stopping) {
            addAmounts(this.evictableAmounts, task.reserved, sign);
            this.evictableTaskCount += sign;
        }
    }

    #recordChange(change: ClassLoadChange): void {
        if (this.changes.length >= MAXIMUM_CHANGES) {
            this.slowdownsComputedAtMs = Number.NEGATIVE_INFINITY;
            this.changes = [];
        }
        this.changes.push(change);
    }

    #updateClass(task: PlacedTask, sign: 1 | -1): void {
        let entry = this.classes.get(task.classKey);
        if (entry === undefined) {
            entry = {
                classKey: task.classKey,
                workKind: task.workKind,
                count: 0,
                load: 0,
                slowdown: undefined,
                cost: 0,
            };
            this.classes.set(task.classKey, entry);
        }
        const meanLoad = entry.count > 0 ? entry.load / entry.count : 1;
        entry.count += sign;
        const load = sign > 0 ? 1 : -meanLoad;
        entry.load += load;
        this.#recordChange({ classKey: task.classKey, load });
        if (entry.count === 0) {
            this.classes.delete(task.classKey);
        }
    }
}

/** Moves a record to another list, or out of all lists of this kind if `list` is undefined. Takes constant time. */
export const moveToList = (
    record: ServerRecord,
    kind: "bucket" | "evictionBucket",
    list: ServerRecord[] | undefined,
): void => {
    const previous = record[kind];
    if (previous !== undefined && previous.list === list) {
        return;
    }
    if (previous !== undefined) {
        const last = previous.list.pop();
        if (last !== undefined && last !== record) {
            previous.list[previous.index] = last;
            last[kind] = { list: previous.list, index: previous.index };
        }
    }
    record[kind] = undefined;
    if (list !== undefined) {
        record[kind] = { list, index: list.length };
        list.push(record);
    }
};

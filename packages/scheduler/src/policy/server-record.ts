import { WorkKind } from "@waxwingspread/protocol";
import { addTo, difference, dominantShare, noAmounts } from "./amounts.js";
import type { Amounts } from "./amounts.js";
import type { ClassKey, PlacedTask, ServerView, TaskKey } from "./types.js";

/** Number of steps into which free capacity is divided. */
export const FREE_LEVELS = 16;

/** Where a server is listed. */
export interface BucketPosition {
    list: ServerRecord[];
    index: number;
}

/** Tasks of one class on a server. */
export interface ClassOnServer {
    classKey: ClassKey;
    workKind: WorkKind;
    count: number;
    /** Sum of how hard they work relative to their class. */
    load: number;
    /** Expected slowdown of each of them; undefined until it is computed. */
    slowdown: number | undefined;
    /** Cost of one of them at that slowdown. */
    cost: number;
}

/** Tasks of a class that arrived or left since the slowdowns were computed. */
export interface ClassChange {
    classKey: ClassKey;
    /** Negative where they left. */
    load: number;
}

/** Changes after which the slowdowns of a server are computed anew. */
const MAXIMUM_CHANGES = 16;

/** A backend server as placement keeps it. */
export class ServerRecord {
    readonly tasks = new Map<TaskKey, PlacedTask>();
    readonly used = noAmounts();
    /** Held by batch tasks that may be asked to stop. */
    readonly evictable = noAmounts();
    evictableCount = 0;
    bucket: BucketPosition | undefined;
    evictionBucket: BucketPosition | undefined;
    /** Time at which the loads were last taken from reports. */
    loadsAtMs = Number.NEGATIVE_INFINITY;
    /** Time at which the slowdowns were last computed. */
    slowdownsAtMs = Number.NEGATIVE_INFINITY;
    /** Since then; empty where the slowdowns are to be computed anew. */
    changes: ClassChange[] = [];
    /** Kept up to date with each task, so that the cost of a decision doesn't grow with the tasks on a server. */
    readonly classes = new Map<ClassKey, ClassOnServer>();

    constructor(readonly row: number, public view: ServerView) {}

    get id(): string {
        return this.view.backendServerId;
    }

    get freeSlots(): number {
        return Math.min(this.view.slots, this.view.slotLimit) - this.tasks.size;
    }

    /** Placeable by the common rules, not as a probe. */
    get isOpen(): boolean {
        return this.view.placeable && !this.view.probing;
    }

    free(): Amounts {
        return difference(this.view.capacity, this.used);
    }

    /** Step of the scarcest resource that is free: 0 is full, {@link FREE_LEVELS} is empty. */
    freeLevel(): number {
        const usedShare = Math.max(dominantShare(this.used, this.view.capacity), this.slotShare());
        return Math.max(0, Math.floor((1 - usedShare) * FREE_LEVELS));
    }

    slotShare(): number {
        return this.view.slots > 0 ? 1 - this.freeSlots / this.view.slots : 1;
    }

    put(task: PlacedTask): void {
        this.take(task.taskKey);
        this.tasks.set(task.taskKey, task);
        this.#count(task, 1);
    }

    take(taskKey: TaskKey): PlacedTask | undefined {
        const task = this.tasks.get(taskKey);
        if (task !== undefined) {
            this.tasks.delete(taskKey);
            this.#count(task, -1);
        }
        return task;
    }

    #count(task: PlacedTask, sign: 1 | -1): void {
        this.#countClass(task, sign);
        addTo(this.used, task.reserved, sign);
        if (task.workKind === WorkKind.BATCH && !task.stopping) {
            addTo(this.evictable, task.reserved, sign);
            this.evictableCount += sign;
        }
    }

    #noteChange(change: ClassChange): void {
        if (this.changes.length >= MAXIMUM_CHANGES) {
            this.slowdownsAtMs = Number.NEGATIVE_INFINITY;
            this.changes = [];
        }
        this.changes.push(change);
    }

    #countClass(task: PlacedTask, sign: 1 | -1): void {
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
        const loadOfOne = entry.count > 0 ? entry.load / entry.count : 1;
        entry.count += sign;
        const load = sign > 0 ? 1 : -loadOfOne;
        entry.load += load;
        this.#noteChange({ classKey: task.classKey, load });
        if (entry.count === 0) {
            this.classes.delete(task.classKey);
        }
    }
}

/** Lists a record, removing it from where it was listed before. */
export const moveTo = (
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

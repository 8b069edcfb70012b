interface TimedAction {
    atMs: number;
    order: number;
    action: () => void;
}

/** Queue of actions in simulated time (a binary heap). Actions of the same time run in the order of their addition. */
export class EventQueue {
    readonly #entries: TimedAction[] = [];
    #addedCount = 0;

    add(atMs: number, action: () => void): void {
        const entry = { atMs, order: this.#addedCount, action };
        this.#addedCount += 1;
        let index = this.#entries.length;
        this.#entries.push(entry);
        while (index > 0) {
            const parent = (index - 1) >> 1;
            const parentEntry = this.#entries[parent];
            if (parentEntry === undefined || !precedes(entry, parentEntry)) {
                break;
            }
            this.#entries[index] = parentEntry;
            index = parent;
        }
        this.#entries[index] = entry;
    }

    /** Removes and returns the next action that is due by `untilMs`; undefined if there is none. */
    take(untilMs: number): { atMs: number; action: () => void } | undefined {
        const first = this.#entries[0];
        if (first === undefined || first.atMs > untilMs) {
            return undefined;
        }
        const last = this.#entries.pop();
        if (last !== undefined && last !== first) {
            this.#siftDown(last);
        }
        return first;
    }

    #siftDown(entry: TimedAction): void {
        const length = this.#entries.length;
        let index = 0;
        for (;;) {
            let child = 2 * index + 1;
            const left = this.#entries[child];
            const right = this.#entries[child + 1];
            if (left === undefined) {
                break;
            }
            let smallest = left;
            if (child + 1 < length && right !== undefined && precedes(right, left)) {
                smallest = right;
                child += 1;
            }
            if (!precedes(smallest, entry)) {
                break;
            }
            this.#entries[index] = smallest;
            index = child;
        }
        this.#entries[index] = entry;
    }
}

const precedes = (left: TimedAction, right: TimedAction): boolean =>
    left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

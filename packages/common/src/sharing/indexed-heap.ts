/** Item of an {@link IndexedHeap}. */
export interface HeapItem {
    /** Breaks ties between equal keys. */
    readonly id: string;
}

interface Entry<T> {
    item: T;
    key: number;
}

/** Binary min-heap that indexes the positions of its items, so that keys can change and items can be deleted. */
export class IndexedHeap<T extends HeapItem> {
    readonly #entries: Entry<T>[] = [];
    readonly #positions = new Map<T, number>();

    get size(): number {
        return this.#entries.length;
    }

    has(item: T): boolean {
        return this.#positions.has(item);
    }

    /** Returns the item with the smallest key, or undefined if the heap is empty. */
    peek(): T | undefined {
        return this.#entries[0]?.item;
    }

    /** Returns the smallest key; infinite if the heap is empty. */
    peekKey(): number {
        return this.#entries[0]?.key ?? Number.POSITIVE_INFINITY;
    }

    /** Adds the item or changes its key. */
    set(item: T, key: number): void {
        const position = this.#positions.get(item);
        if (position === undefined) {
            this.#entries.push({ item, key });
            this.#positions.set(item, this.#entries.length - 1);
            this.#siftUp(this.#entries.length - 1);
            return;
        }
        const entry = this.#entries[position];
        if (entry !== undefined) {
            entry.key = key;
            this.#siftDown(this.#siftUp(position));
        }
    }

    delete(item: T): void {
        const position = this.#positions.get(item);
        if (position === undefined) {
            return;
        }
        this.#positions.delete(item);
        const last = this.#entries.pop();
        if (last !== undefined && last.item !== item) {
            this.#setEntry(position, last);
            this.#siftDown(this.#siftUp(position));
        }
    }

    #siftUp(start: number): number {
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (!this.#precedes(position, parent)) {
                break;
            }
            this.#swap(position, parent);
            position = parent;
        }
        return position;
    }

    #siftDown(start: number): void {
        let position = start;
        for (;;) {
            let smallest = position;
            for (const child of [2 * position + 1, 2 * position + 2]) {
                if (child < this.#entries.length && this.#precedes(child, smallest)) {
                    smallest = child;
                }
            }
            if (smallest === position) {
                return;
            }
            this.#swap(position, smallest);
            position = smallest;
        }
    }

    #precedes(left: number, right: number): boolean {
        const first = this.#entries[left];
        const second = this.#entries[right];
        if (first === undefined || second === undefined) {
            return false;
        }
        return first.key < second.key || (first.key === second.key && first.item.id < second.item.id);
    }

    #swap(left: number, right: number): void {
        const first = this.#entries[left];
        const second = this.#entries[right];
        if (first !== undefined && second !== undefined) {
            this.#setEntry(left, second);
            this.#setEntry(right, first);
        }
    }

    #setEntry(position: number, entry: Entry<T>): void {
        this.#entries[position] = entry;
        this.#positions.set(entry.item, position);
    }
}

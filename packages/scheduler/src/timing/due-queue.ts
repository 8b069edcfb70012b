interface DueItem {
    key: string;
    atMs: number;
    version: number;
}

/**
 * Priority queue of keys by due time; a key has at most one due time. Replaced and deleted items stay in the heap until
 * they reach its top.
 */
export class DueQueue {
    readonly #heap: DueItem[] = [];
    readonly #current = new Map<string, DueItem>();
    #nextVersion = 0;

    get size(): number {
        return this.#current.size;
    }

    /** Sets or replaces the due time of a key. */
    set(key: string, atMs: number): void {
        const due = { key, atMs, version: this.#nextVersion };
        this.#nextVersion += 1;
        this.#current.set(key, due);
        this.#heap.push(due);
        this.#siftUp(this.#heap.length - 1);
    }

    delete(key: string): void {
        this.#current.delete(key);
    }

    timeOf(key: string): number | undefined {
        return this.#current.get(key)?.atMs;
    }

    /** Removes and returns the keys that are due, the earliest first, at most `limit`. */
    takeDue(nowMs: number, limit = Number.POSITIVE_INFINITY): string[] {
        const keys: string[] = [];
        while (keys.length < limit) {
            const first = this.#heap[0];
            if (first === undefined || first.atMs > nowMs) {
                break;
            }
            this.#removeFirst();
            if (this.#current.get(first.key) === first) {
                this.#current.delete(first.key);
                keys.push(first.key);
            }
        }
        return keys;
    }

    #isBefore(a: number, b: number): boolean {
        const first = this.#heap[a] as DueItem;
        const second = this.#heap[b] as DueItem;
        return first.atMs < second.atMs || first.atMs === second.atMs && first.version < second.version;
    }

    #swap(a: number, b: number): void {
        const first = this.#heap[a] as DueItem;
        this.#heap[a] = this.#heap[b] as DueItem;
        this.#heap[b] = first;
    }

    #siftUp(start: number): void {
        let position = start;
        while (position > 0) {
            const parent = (position - 1) >> 1;
            if (!this.#isBefore(position, parent)) {
                return;
            }
            this.#swap(position, parent);
            position = parent;
        }
    }

    #removeFirst(): void {
        const last = this.#heap.pop();
        if (last === undefined || this.#heap.length === 0) {
            return;
        }
        this.#heap[0] = last;
        let position = 0;
        for (;;) {
            const left = 2 * position + 1;
            const right = left + 1;
            let least = position;
            if (left < this.#heap.length && this.#isBefore(left, least)) {
                least = left;
            }
            if (right < this.#heap.length && this.#isBefore(right, least)) {
                least = right;
            }
            if (least === position) {
                return;
            }
            this.#swap(position, least);
            position = least;
        }
    }
}

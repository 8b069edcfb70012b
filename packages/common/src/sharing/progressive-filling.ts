import type { HeapItem, IndexedHeap } from "./indexed-heap.js";

/** Steps of progressive filling that depend on who takes part. */
export interface Filling<Holder extends HeapItem, Item> {
    /** Weighted shares of the holders. Holders without further items are removed. */
    heap: IndexedHeap<Holder>;
    /** Returns the holder's next item; undefined if it has none. */
    next: (holder: Holder) => Item | undefined;
    /** Returns the weighted share of the holder after its item was used. */
    shareAfter: (holder: Holder, item: Item, shareBefore: number) => number;
}

/**
 * Yields items of the holder with the smallest weighted share, again and again: progressive filling, as in "Dominant
 * Resource Fairness: Fair Allocation of Multiple Resource Types" (Ghodsi et al., 2011).
 */
export function* fillProgressively<Holder extends HeapItem, Item>(
    { heap, next, shareAfter }: Filling<Holder, Item>,
): Generator<Item, void> {
    for (let holder = heap.peek(); holder !== undefined; holder = heap.peek()) {
        const shareBefore = heap.peekKey();
        const item = next(holder);
        if (item === undefined) {
            heap.delete(holder);
            continue;
        }
        yield item;
        heap.set(holder, shareAfter(holder, item, shareBefore));
    }
}

import type { Order } from "@waxwingspread/protocol";

/** Maximum number of orders in one poll response. */
export const MAX_ORDERS_PER_POLL = 256;

interface Outbox {
    orders: Order[];
    nextSequence: number;
}

/** Unacknowledged orders of each entry, kept in memory by the leader of one term. */
export class EntryOutboxes {
    readonly #outboxes = new Map<string, Outbox>();

    /** Appends an order and gives it the entry's next sequence number. */
    add(entryId: string, order: Order): void {
        const outbox = this.#getOrCreateOutbox(entryId);
        outbox.orders.push({ ...order, sequence: outbox.nextSequence });
        outbox.nextSequence += 1;
    }

    /** Removes the orders up to the given sequence number. */
    acknowledge(entryId: string, sequence: number): void {
        const outbox = this.#getOrCreateOutbox(entryId);
        const firstKept = outbox.orders.findIndex(order => order.sequence > sequence);
        outbox.orders = firstKept === -1 ? [] : outbox.orders.slice(firstKept);
    }

    /** Removes all orders of an entry that has stopped polling; its sequence numbers continue. */
    discard(entryId: string): void {
        const outbox = this.#outboxes.get(entryId);
        if (outbox !== undefined) {
            outbox.orders = [];
        }
    }

    /** Returns the oldest orders that are not acknowledged. */
    pending(entryId: string): Order[] {
        return this.#outboxes.get(entryId)?.orders.slice(0, MAX_ORDERS_PER_POLL) ?? [];
    }

    #getOrCreateOutbox(entryId: string): Outbox {
        const existing = this.#outboxes.get(entryId);
        if (existing !== undefined) {
            return existing;
        }
        const created: Outbox = { orders: [], nextSequence: 1 };
        this.#outboxes.set(entryId, created);
        return created;
    }
}

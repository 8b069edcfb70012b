interface Delivery {
    atMs: number;
    deliver: () => void;
}

/** Messages in transit, in the order in which they were sent. */
export class DelayedMessages {
    #deliveries: Delivery[] = [];

    /** Delivers a message at the given time. */
    send(atMs: number, deliver: () => void): void {
        this.#deliveries.push({ atMs, deliver });
    }

    /** Delivers the messages that are due. */
    deliverDue(nowMs: number): void {
        const due = this.#deliveries.filter(({ atMs }) => atMs <= nowMs);
        this.#deliveries = this.#deliveries.filter(({ atMs }) => atMs > nowMs);
        due.forEach(({ deliver }) => deliver());
    }
}

/** Ids that are kept; beyond it, the one that was cancelled first is forgotten. */
export const MAX_CANCELLED_JOB_IDS = 10_000;

/**
 * Ids of jobs that were cancelled before they were accepted. Callers' requests may arrive in another order than they were
 * sent, so that the submission of such a job may still arrive.
 */
export class CancelledJobIds implements Iterable<string> {
    readonly #ids: Set<string>;

    /** Creates the collection with the given ids, the one cancelled first at the beginning. */
    constructor(ids: readonly string[] = []) {
        this.#ids = new Set(ids);
    }

    [Symbol.iterator](): Iterator<string> {
        return this.#ids.values();
    }

    has(id: string): boolean {
        return this.#ids.has(id);
    }

    /** Adds an id as the one that was cancelled last. */
    add(id: string): void {
        this.#ids.delete(id);
        this.#ids.add(id);
        if (this.#ids.size > MAX_CANCELLED_JOB_IDS) {
            const [oldest] = this.#ids;
            this.#ids.delete(oldest ?? "");
        }
    }

    delete(id: string): void {
        this.#ids.delete(id);
    }
}

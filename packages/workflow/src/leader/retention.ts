/**
 * Decides what was kept for long enough. The time counts on the monotonic clock from when this leader saw it first, since
 * the time of day may jump and differs between replicas. It begins anew with the next leader.
 */
export class Retention {
    readonly #retentionMs: number;
    #keptSinceMs = new Map<string, number>();

    constructor(retentionMs: number) {
        this.#retentionMs = retentionMs;
    }

    /** Begins the time of an id anew. */
    restart(id: string, nowMs: number): void {
        this.#keptSinceMs.set(id, nowMs);
    }

    /** Returns those of the ids whose time has passed. What is known of any other id is discarded. */
    takeExpired(ids: Iterable<string>, nowMs: number): string[] {
        const keptSinceMs = new Map<string, number>();
        for (const id of ids) {
            keptSinceMs.set(id, this.#keptSinceMs.get(id) ?? nowMs);
        }
        this.#keptSinceMs = keptSinceMs;
        return [...keptSinceMs.keys()].filter(id => nowMs - (keptSinceMs.get(id) ?? nowMs) >= this.#retentionMs);
    }
}

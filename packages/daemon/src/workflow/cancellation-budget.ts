const MS_PER_SECOND = 1_000;
/** Below the 1,000 cancellations at once that an HTTP/2 server of Node accepts. */
const MAX_CANCELLATIONS = 800;
/** Below the 33 cancellations a second that an HTTP/2 server of Node accepts in the long run. */
const CANCELLATIONS_PER_SECOND = 25;

/**
 * Limits the requests that are cancelled on one HTTP/2 connection. A server takes more of them for an attack and closes
 * the connection, with all calls on it.
 */
export class CancellationBudget {
    #available = MAX_CANCELLATIONS;
    #updatedAtMs: number;

    constructor(nowMs: number) {
        this.#updatedAtMs = nowMs;
    }

    /** Returns whether a request may be cancelled now, and counts it if so. */
    take(nowMs: number): boolean {
        const earned = (nowMs - this.#updatedAtMs) * CANCELLATIONS_PER_SECOND / MS_PER_SECOND;
        this.#available = Math.min(MAX_CANCELLATIONS, this.#available + earned);
        this.#updatedAtMs = nowMs;
        if (this.#available < 1) {
            return false;
        }
        this.#available -= 1;
        return true;
    }
}

/** Time after which a step that has asked for a query in vain goes before all others. */
const MAX_WAIT_MS = 2_000;
/** Time after its last request from which on a step doesn't need its query any more. */
const REQUEST_LIFETIME_MS = 500;

interface Request {
    sinceMs: number;
    repeatedAtMs: number;
}

/** Lets each step have its query within a bounded time, although the steps that come first could take every turn. */
export class QueryTurns {
    /** Requests that were not granted, by step; the oldest first. */
    readonly #requests = new Map<string, Request>();

    /** Whether a step may send a query before the others that have asked for one; the request stays until it is closed. */
    request(step: string, nowMs: number): boolean {
        const sinceMs = this.#requests.get(step)?.sinceMs ?? nowMs;
        this.#requests.set(step, { sinceMs, repeatedAtMs: nowMs });
        const overdue = this.#firstOverdue(nowMs);
        return overdue === undefined || overdue === step;
    }

    /** Ends the request of a step that has sent its query or needs none. */
    close(step: string): void {
        this.#requests.delete(step);
    }

    #firstOverdue(nowMs: number): string | undefined {
        for (const [step, { sinceMs, repeatedAtMs }] of this.#requests) {
            if (nowMs - repeatedAtMs > REQUEST_LIFETIME_MS) {
                this.#requests.delete(step);
            }
            else if (nowMs - sinceMs >= MAX_WAIT_MS) {
                return step;
            }
        }
        return undefined;
    }
}

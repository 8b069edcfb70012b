/** Shortest time over which a rate is formed, so that the first amounts don't count as a flood. */
const MIN_SPAN_MS = 2_000;

/** Estimates the rate of a sum of amounts; amounts lose half of their weight in each half-life. */
export class DecayedRate {
    readonly #halfLifeMs: number;
    #sum = 0;
    #sinceMs: number | undefined;
    #updatedAtMs = 0;

    constructor(halfLifeMs: number) {
        this.#halfLifeMs = halfLifeMs;
    }

    add(amount: number, nowMs: number): void {
        this.#advance(nowMs);
        this.#sum += amount;
    }

    /** Returns the amount per second; 0 before the first amount. */
    perSecond(nowMs: number): number {
        if (this.#sinceMs === undefined) {
            return 0;
        }
        this.#advance(nowMs);
        // The weight that a constant stream of 1/ms since the first amount would have now.
        const spanMs = Math.max(MIN_SPAN_MS, nowMs - this.#sinceMs);
        const weightMs = (this.#halfLifeMs / Math.LN2) * (1 - 2 ** (-spanMs / this.#halfLifeMs));
        return (this.#sum / weightMs) * 1_000;
    }

    #advance(nowMs: number): void {
        this.#sinceMs ??= nowMs;
        const elapsedMs = Math.max(0, nowMs - this.#updatedAtMs);
        this.#sum *= 2 ** (-elapsedMs / this.#halfLifeMs);
        this.#updatedAtMs = Math.max(this.#updatedAtMs, nowMs);
    }
}

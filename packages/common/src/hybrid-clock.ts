/** A reading of a hybrid logical clock: a wall-clock time and a counter that orders readings with the same time. */
export interface HybridTime {
    wallMs: number;
    logical: number;
}

/** Orders two readings: negative when `a` is earlier. */
export const compareHybridTimes = (a: HybridTime, b: HybridTime): number =>
    a.wallMs - b.wallMs || a.logical - b.logical;

/** Hybrid logical clock: readings never go back and follow every reading received from a peer. */
export class HybridClock {
    #latest: HybridTime = { wallMs: 0, logical: 0 };

    /** Advances the clock and returns the time of a local event. */
    next(wallNowMs: number): HybridTime {
        this.#latest = wallNowMs > this.#latest.wallMs
            ? { wallMs: wallNowMs, logical: 0 }
            : { wallMs: this.#latest.wallMs, logical: this.#latest.logical + 1 };
        return this.#latest;
    }

    /** Merges a peer's reading, so that later local readings follow it. */
    observe(remote: HybridTime): void {
        if (compareHybridTimes(remote, this.#latest) > 0) {
            this.#latest = remote;
        }
    }
}
